// Package contract reads and checks the contracts that operators write, one
// INI file for each customer. Every limit on a customer's work follows from it.
package contract

import (
	"strings"
	"time"

	"github.com/egretmux/egretmux/internal/inifile"
)

// Answer tells how a class of work is served.
type Answer string

// Values of Answer.
const (
	AtOnce  Answer = "at-once"  // somebody waits for it; never shed before work that can wait
	CanWait Answer = "can-wait" // queued and shed first
)

// Class is one class of a customer's work.
type Class struct {
	Name       string
	Answer     Answer
	AtMostOnce bool          // never repeated once it may have run
	Deadline   time.Duration // of a request that names none; zero: none
	Queue      int           // requests that may wait at one instance
	Urgent     bool          // tasks may preempt others
	Paths      []string      // requests whose path starts with one of these belong to the class
}

// Quota is the most a customer may hold. Zero means no limit.
type Quota struct {
	CPUMillis    int64
	MemoryMiB    int64
	Accelerators int64
	QueuedTasks  int // members waiting at a time
	InFlight     int // requests in flight at one instance
}

// Contract is one customer's checked contract.
type Contract struct {
	Customer    string
	Share       float64 // of the cell, 0 to 1
	Credentials []string
	Services    []string // services it may call; empty: all
	Classes     []Class
	Quota       Quota
}

// classPrefix begins the name of a class's section.
const classPrefix = "class."

const (
	maxDeadline = 7 * 24 * 3600 // seconds
	maxCores    = 1e6
	maxMemory   = 1e6 // GiB
)

// Schema describes a contract file.
func Schema() []inifile.Section {
	return []inifile.Section{
		{Name: "contract", Required: true, Doc: "Who and how much.", Keys: []inifile.Key{
			{Name: "customer", Required: true, Doc: "name: lower-case letters, digits and hyphens"},
			{Name: "share", Type: inifile.Float, Required: true, Min: 0, Max: 1, Unit: "part of the cell", Doc: "room that is due to the customer when it wants it"},
			{Name: "credential_sha256", Type: inifile.List, Required: true, Doc: "SHA-256 of each credential, in hex; two while one replaces the other"},
			{Name: "services", Type: inifile.List, Doc: "services it may call; empty: all"},
		}},
		{Name: "quota", Doc: "The most it may hold; 0: no limit.", Keys: []inifile.Key{
			{Name: "cores", Type: inifile.Float, Default: "0", Min: 0, Max: maxCores, Unit: "cores", Doc: "processors held by running tasks"},
			{Name: "memory", Type: inifile.Float, Default: "0", Min: 0, Max: maxMemory, Unit: "GiB", Doc: "memory held by running tasks"},
			{Name: "accelerators", Type: inifile.Int, Default: "0", Min: 0, Max: 1e6, Unit: "accelerators", Doc: "accelerators held by running tasks"},
			{Name: "queued_tasks", Type: inifile.Int, Default: "10000", Min: 0, Max: 1e6, Unit: "tasks", Doc: "tasks waiting at a time"},
			{Name: "in_flight", Type: inifile.Int, Default: "1024", Min: 0, Max: 1e6, Unit: "requests", Doc: "requests at one instance at a time"},
		}},
		{Name: classPrefix, Required: true, Doc: "A class of work.", Keys: []inifile.Key{
			{Name: "answer", Type: inifile.Choice, Default: "can-wait", Choices: []string{"at-once", "can-wait"}, Doc: "whether somebody waits for it"},
			{Name: "at_most_once", Type: inifile.Bool, Default: "no", Doc: "never repeat it once it may have run"},
			{Name: "deadline", Type: inifile.Duration, Default: "30s", Min: 0, Max: maxDeadline, Doc: "for requests that name none; 0s: none"},
			{Name: "queue", Type: inifile.Int, Default: "256", Min: 0, Max: 1e6, Unit: "requests", Doc: "requests waiting at one instance"},
			{Name: "urgent", Type: inifile.Bool, Default: "no", Doc: "its tasks may preempt others"},
			{Name: "paths", Type: inifile.List, Doc: "beginnings of the paths, after /service/NAME, that belong to it; empty: named by header only"},
		}},
	}
}

// Parse checks the text of a contract file and returns every fault at once.
func Parse(file, text string) (*Contract, error) {
	doc, faults := inifile.Parse(file, text, Schema())
	c := read(doc)
	if err := faults.AppendNew(check(doc, c)).ErrorOrNil(); err != nil {
		return nil, err
	}
	return c, nil
}

// read returns the contract of a document; a value that is not valid reads as zero.
func read(doc *inifile.Document) *Contract {
	c := &Contract{
		Customer:    doc.String("contract", "customer"),
		Share:       doc.Float("contract", "share"),
		Credentials: lower(doc.List("contract", "credential_sha256")),
		Services:    doc.List("contract", "services"),
		Quota:       readQuota(doc),
	}
	for _, s := range doc.Sections(classPrefix) {
		c.Classes = append(c.Classes, readClass(doc, s))
	}
	return c
}

func lower(list []string) []string {
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

// Class returns the class of that name, or nil.
func (c *Contract) Class(name string) *Class {
	for i := range c.Classes {
		if c.Classes[i].Name == name {
			return &c.Classes[i]
		}
	}
	return nil
}

// ClassOf returns the class of a request path (after /service/NAME): the one
// with the longest matching beginning, or the first class.
func (c *Contract) ClassOf(path string) *Class {
	best, length := &c.Classes[0], -1
	for i := range c.Classes {
		for _, p := range c.Classes[i].Paths {
			if strings.HasPrefix(path, p) && len(p) > length {
				best, length = &c.Classes[i], len(p)
			}
		}
	}
	return best
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
