// Package contract reads and checks the contracts that operators write, one
// INI file for each customer. Every limit on a customer's work follows from it.
package contract

import (
	"strings"
	"time"

	"github.com/egretmux/egretmux/internal/inifile"
)

// Answer tells whether callers wait for the answers of a class of work.
type Answer string

// Values of Answer.
const (
	AtOnce  Answer = "at-once"  // a caller waits for the answer; never shed before work that can wait
	CanWait Answer = "can-wait" // no caller waits; queued behind at-once work and shed before it
)

// Class is one class of a customer's work.
type Class struct {
	Name       string
	Answer     Answer
	AtMostOnce bool          // a request that may have run is never repeated
	Deadline   time.Duration // deadline of requests that name none; zero: no deadline
	Queue      int           // requests that may wait at one instance
	Urgent     bool          // tasks may preempt others
	Paths      []string      // prefixes of the request paths that belong to the class
}

// Quota holds the upper limits of a customer. Zero means no limit.
type Quota struct {
	CPUMillis    int64
	MemoryMiB    int64
	Accelerators int64
	QueuedTasks  int // members of tasks waiting at a time
	InFlight     int // requests in flight at one instance
}

// Contract is one customer's checked contract.
type Contract struct {
	Customer    string
	Share       float64  // part of the cell, from 0 to 1
	Credentials []string // SHA-256 of each, in lower-case hex
	Services    []string // services that the customer may call; empty: all
	Classes     []Class
	Quota       Quota
}

// classPrefix begins the name of a class's section.
const classPrefix = "class."

// Bounds of ranges.
const (
	maxDeadlineSeconds = 7 * 24 * 3600
	maxCores           = 1e6
	maxMemoryGiB       = 1e6
)

// Schema describes a contract file.
func Schema() []inifile.Section {
	return []inifile.Section{
		{Name: "contract", Required: true, Doc: "The customer and its share of the cell.", Keys: []inifile.Key{
			{Name: "customer", Required: true, Doc: "name: lower-case letters, digits and hyphens"},
			{Name: "share", Type: inifile.Float, Required: true, Min: 0, Max: 1, Unit: "part of the cell", Doc: "capacity that the customer is entitled to when it needs it"},
			{Name: "credential_sha256", Type: inifile.List, Required: true, Doc: "SHA-256 of each credential, in hex; list two during a rotation"},
			{Name: "services", Type: inifile.List, Doc: "services it may call; empty: all"},
		}},
		{Name: "quota", Doc: "Upper limits of the customer; 0: no limit.", Keys: []inifile.Key{
			{Name: "cores", Type: inifile.Float, Default: "0", Min: 0, Max: maxCores, Unit: "cores", Doc: "processors held by running tasks"},
			{Name: "memory", Type: inifile.Float, Default: "0", Min: 0, Max: maxMemoryGiB, Unit: "GiB", Doc: "memory held by running tasks"},
			{Name: "accelerators", Type: inifile.Int, Default: "0", Min: 0, Max: 1e6, Unit: "accelerators", Doc: "accelerators held by running tasks"},
			{Name: "queued_tasks", Type: inifile.Int, Default: "10000", Min: 0, Max: 1e6, Unit: "tasks", Doc: "tasks waiting at a time"},
			{Name: "in_flight", Type: inifile.Int, Default: "1024", Min: 0, Max: 1e6, Unit: "requests", Doc: "requests in flight at one instance"},
		}},
		{Name: classPrefix, Required: true, Doc: "A class of work.", Keys: []inifile.Key{
			{Name: "answer", Type: inifile.Choice, Default: "can-wait", Choices: []string{"at-once", "can-wait"}, Doc: "at-once if a caller waits for the answer"},
			{Name: "at_most_once", Type: inifile.Bool, Default: "no", Doc: "whether a request that may have run is never repeated"},
			{Name: "deadline", Type: inifile.Duration, Default: "30s", Min: 0, Max: maxDeadlineSeconds, Doc: "deadline of requests that name none; 0s: no deadline"},
			{Name: "queue", Type: inifile.Int, Default: "256", Min: 0, Max: 1e6, Unit: "requests", Doc: "requests that may wait at one instance"},
			{Name: "urgent", Type: inifile.Bool, Default: "no", Doc: "whether tasks of the class may preempt others"},
			{Name: "paths", Type: inifile.List, Doc: "prefixes of the request paths, after /service/NAME, that belong to the class; empty: requests name the class by header only"},
		}},
	}
}

// Parse checks the text of a contract file and returns every fault at once.
func Parse(file, text string) (*Contract, error) {
	doc, faults := inifile.Parse(file, text, Schema())
	c := fromDocument(doc)
	if err := faults.AppendNew(check(doc, c)).ErrorOrNil(); err != nil {
		return nil, err
	}
	return c, nil
}

// fromDocument returns the contract in a document. A value that is not valid
// becomes zero.
func fromDocument(doc *inifile.Document) *Contract {
	c := &Contract{
		Customer:    doc.String("contract", "customer"),
		Share:       doc.Float("contract", "share"),
		Credentials: lowerAll(doc.List("contract", "credential_sha256")),
		Services:    doc.List("contract", "services"),
		Quota:       readQuota(doc),
	}
	for _, s := range doc.Sections(classPrefix) {
		c.Classes = append(c.Classes, readClass(doc, s))
	}
	return c
}

func lowerAll(list []string) []string {
	for i, s := range list {
		list[i] = strings.ToLower(s)
	}
	return list
}

func readQuota(d *inifile.Document) Quota {
	const millis, mib = 1000, 1024
	return Quota{
		CPUMillis:    int64(d.Float("quota", "cores") * millis),
		MemoryMiB:    int64(d.Float("quota", "memory") * mib),
		Accelerators: d.Int("quota", "accelerators"),
		QueuedTasks:  int(d.Int("quota", "queued_tasks")),
		InFlight:     int(d.Int("quota", "in_flight")),
	}
}

func readClass(d *inifile.Document, section string) Class {
	return Class{
		Name:       strings.TrimPrefix(section, classPrefix),
		Answer:     Answer(d.String(section, "answer")),
		AtMostOnce: d.Bool(section, "at_most_once"),
		Deadline:   d.Duration(section, "deadline"),
		Queue:      int(d.Int(section, "queue")),
		Urgent:     d.Bool(section, "urgent"),
		Paths:      d.List(section, "paths"),
	}
}

// Class returns the class with the name, or nil.
func (c *Contract) Class(name string) *Class {
	for i := range c.Classes {
		if c.Classes[i].Name == name {
			return &c.Classes[i]
		}
	}
	return nil
}

// ClassOf returns the class of a request path (after /service/NAME): the one
// with the longest matching prefix, or the first class if none matches.
func (c *Contract) ClassOf(path string) *Class {
	match, length := &c.Classes[0], -1
	for i := range c.Classes {
		for _, p := range c.Classes[i].Paths {
			if strings.HasPrefix(path, p) && len(p) > length {
				match, length = &c.Classes[i], len(p)
			}
		}
	}
	return match
}

// MayCall reports whether the customer may call a service.
func (c *Contract) MayCall(service string) bool {
	if len(c.Services) == 0 {
		return true
	}
	for _, s := range c.Services {
		if s == service {
			return true
		}
	}
	return false
}
