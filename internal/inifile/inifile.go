// Package inifile reads INI files against a schema and reports every fault
// with its line and remedy.
package inifile

import (
	"sort"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

// Type is the type of a key's value.
type Type int

// Types of values.
const (
	String Type = iota
	Int
	Float
	Duration // such as 250ms or 2s
	Bool     // yes or no
	List     // separated by commas
	Choice   // one of Key.Choices
)

// Key describes one key of a section.
type Key struct {
	Name     string
	Type     Type
	Default  string
	Required bool
	Min, Max float64 // of Int and Float, or of Duration in seconds; both zero: no range
	Choices  []string
	Unit     string
	Doc      string
}

// Section describes one section. A section whose name ends in a dot stands for
// any number of sections with that prefix, such as "class." for [class.lookup].
type Section struct {
	Name     string
	Required bool
	Doc      string
	Keys     []Key
}

// Fault is one thing wrong with a file.
type Fault struct {
	File    string
	Line    int // 0: the file as a whole
	Section string
	Key     string
	Problem string
	Remedy  string
}

// Error returns the place, the problem and the remedy.
func (f Fault) Error() string {
	place := f.File
	if f.Line > 0 {
		place += ":" + strconv.Itoa(f.Line)
	}
	if f.Section != "" {
		place += ": [" + f.Section + "]"
	}
	if f.Key != "" {
		place += " " + f.Key
	}
	return place + ": " + f.Problem + "; " + f.Remedy
}

func (f Fault) less(g Fault) bool {
	if f.Line != g.Line {
		return f.Line < g.Line
	}
	if f.Section != g.Section {
		return f.Section < g.Section
	}
	return f.Key < g.Key
}

// Faults is every fault of a file. It is an error when not empty.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// ErrorOrNil returns the faults as an error, or nil when there are none.
func (f Faults) ErrorOrNil() error {
	if len(f) == 0 {
		return nil
	}
	sort.SliceStable(f, func(i, j int) bool { return f[i].less(f[j]) })
	return f
}

// AppendNew returns the faults with those of more that stand at a key without a
// fault so far.
func (f Faults) AppendNew(more Faults) Faults {
	type place struct{ section, key string }
	seen := make(map[place]bool)
	for _, x := range f {
		seen[place{x.Section, x.Key}] = true
	}
	for _, x := range more {
		if !seen[place{x.Section, x.Key}] {
			f = append(f, x)
		}
	}
	return f
}

// Document is a checked file.
type Document struct {
	file     string
	lines    map[string]int
	values   map[string]map[string]string
	repeated map[string]bool // sections that stand twice
	sections []string
	schema   []Section
}

// byteOrderMark may begin a file that another system wrote.
const byteOrderMark = "\ufeff"

// Parse reads text against the schema. The document holds the defaults of
// missing keys; it is usable only when there are no faults.
func Parse(file, text string, schema []Section) (*Document, Faults) {
	d := &Document{file: file, schema: schema, values: make(map[string]map[string]string)}
	text = strings.ReplaceAll(strings.TrimPrefix(text, byteOrderMark), "\r\n", "\n")
	if faults := checkText(file, text); len(faults) > 0 {
		return d, faults
	}
	scanned := scanText(file, text)
	d.lines, d.repeated = scanned.lines, scanned.repeated
	faults := scanned.faults
	parsed, err := ini.LoadSources(iniOptions, []byte(text))
	if err != nil && len(faults) > 0 {
		return d, faults
	}
	if err != nil {
		return d, append(faults, Fault{File: file, Problem: err.Error(), Remedy: "write sections as [name] and keys as key = value"})
	}
	seen := make(map[string]bool)
	for _, s := range parsed.Sections() {
		name := s.Name()
		if seen[name] || name == ini.DefaultSection && d.lines[name] == 0 {
			continue // reported by the scan
		}
		seen[name] = true
		faults = append(faults, d.readSection(s)...)
	}
	return d, append(faults, d.fillMissing(seen)...)
}

// iniOptions make a value end at a comment only after a space, so that a path
// may hold # and ;, and leave the reports on malformed lines to the scan.
var iniOptions = ini.LoadOptions{
	AllowNonUniqueSections: true, KeyValueDelimiters: "=", SpaceBeforeInlineComment: true,
	IgnoreContinuation: true, SkipUnrecognizableLines: true,
}

func (d *Document) fault(section, key, problem, remedy string) Fault {
	line := d.lines[lineKey(section, key)]
	if line == 0 {
		line = d.lines[section]
	}
	return Fault{File: d.file, Line: line, Section: section, Key: key, Problem: problem, Remedy: remedy}
}

// Fault returns a fault at a key of the document, for checks beyond the schema.
func (d *Document) Fault(section, key, problem, remedy string) Fault {
	return d.fault(section, key, problem, remedy)
}

func (d *Document) schemaOf(name string) *Section {
	for i, s := range d.schema {
		prefixed := strings.HasSuffix(s.Name, ".") && strings.HasPrefix(name, s.Name) && len(name) > len(s.Name)
		if prefixed || s.Name == name && !strings.HasSuffix(name, ".") {
			return &d.schema[i]
		}
	}
	return nil
}

func (d *Document) readSection(s *ini.Section) Faults {
	name := s.Name()
	schema := d.schemaOf(name)
	if schema == nil {
		return Faults{d.fault(name, "", "section is not known", "use one of "+sectionNames(d.schema))}
	}
	d.sections = append(d.sections, name)
	d.values[name] = make(map[string]string)
	var faults Faults
	for _, k := range s.Keys() {
		key := schema.key(k.Name())
		if key == nil {
			faults = append(faults, d.fault(name, k.Name(), "key is not known", "use one of "+keyNames(schema.Keys)))
			continue
		}
		value := strings.TrimSpace(k.Value())
		d.values[name][key.Name] = value
		if problem, remedy := key.check(value); problem != "" {
			faults = append(faults, d.fault(name, key.Name, problem, remedy))
		}
	}
	return faults
}

// fillMissing sets defaults and reports required sections and keys that are missing.
func (d *Document) fillMissing(seen map[string]bool) Faults {
	var faults Faults
	for _, s := range d.schema {
		if strings.HasSuffix(s.Name, ".") {
			if s.Required && len(d.Sections(s.Name)) == 0 {
				faults = append(faults, Fault{File: d.file, Problem: "no section [" + s.Name + "NAME]", Remedy: "add at least one"})
			}
			continue
		}
		if seen[s.Name] {
			continue
		}
		if s.Required {
			faults = append(faults, Fault{File: d.file, Section: s.Name, Problem: "section is missing", Remedy: "add [" + s.Name + "]"})
		}
		d.values[s.Name] = make(map[string]string)
	}
	for name, values := range d.values {
		schema := d.schemaOf(name)
		for _, k := range schema.Keys {
			if _, ok := values[k.Name]; ok {
				continue
			}
			if k.Required && seen[name] && !d.repeated[name] {
				faults = append(faults, d.fault(name, k.Name, "key is missing", "add "+k.Name+" = "+k.example()))
			}
			values[k.Name] = k.Default
		}
	}
	return faults
}

func sectionNames(schema []Section) string {
	names := make([]string, len(schema))
	for i, s := range schema {
		names[i] = "[" + s.Name + "]"
		if strings.HasSuffix(s.Name, ".") {
			names[i] = "[" + s.Name + "NAME]"
		}
	}
	return strings.Join(names, ", ")
}

func keyNames(keys []Key) string {
	names := make([]string, len(keys))
	for i, k := range keys {
		names[i] = k.Name
	}
	return strings.Join(names, ", ")
}
