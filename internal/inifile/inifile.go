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
	Duration // a number with its unit, such as 250ms or 2s
	Bool     // yes or no
	List     // values separated by commas
	Choice   // one of Key.Choices
)

// Key describes one key of a section.
type Key struct {
	Name     string
	Type     Type
	Default  string
	Required bool
	Min, Max float64 // inclusive range of an Int, a Float or, in seconds, a Duration; no range if both are zero
	Choices  []string
	Unit     string // shown in the template, such as bytes
	Doc      string
}

// Section describes one section. A name that ends in a dot is the prefix of any
// number of sections, such as "class." for [class.lookup].
type Section struct {
	Name     string
	Required bool
	Doc      string
	Keys     []Key
}

// Fault is one mistake in a file.
type Fault struct {
	File    string
	Line    int // zero for a fault of the file as a whole
	Section string
	Key     string
	Problem string
	Remedy  string
}

// Error returns the location, the problem and the remedy.
func (f Fault) Error() string {
	location := f.File
	if f.Line > 0 {
		location += ":" + strconv.Itoa(f.Line)
	}
	if f.Section != "" {
		location += ": [" + f.Section + "]"
	}
	if f.Key != "" {
		location += " " + f.Key
	}
	return location + ": " + f.Problem + "; " + f.Remedy
}

func (f Fault) less(other Fault) bool {
	if f.Line != other.Line {
		return f.Line < other.Line
	}
	if f.Section != other.Section {
		return f.Section < other.Section
	}
	return f.Key < other.Key
}

// Faults holds every fault of a file. ErrorOrNil makes it an error.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// ErrorOrNil sorts the faults by location and returns them as an error, or nil
// when there are none.
func (f Faults) ErrorOrNil() error {
	if len(f) == 0 {
		return nil
	}
	sort.SliceStable(f, func(i, j int) bool { return f[i].less(f[j]) })
	return f
}

// AppendNew appends those of the other faults whose key has no fault in f.
func (f Faults) AppendNew(others Faults) Faults {
	type location struct{ section, key string }
	seen := make(map[location]bool)
	for _, fault := range f {
		seen[location{fault.Section, fault.Key}] = true
	}
	for _, fault := range others {
		if !seen[location{fault.Section, fault.Key}] {
			f = append(f, fault)
		}
	}
	return f
}

// Document is a checked file.
type Document struct {
	file     string
	lines    map[string]int               // line numbers: of keys by lineKey, of section headers by section
	values   map[string]map[string]string // by section and key
	repeated map[string]bool              // sections that occur more than once
	sections []string                     // names of known sections, in the order of the file
	schema   []Section
}

// byteOrderMark is what some editors write at the start of a UTF-8 file.
const byteOrderMark = "\ufeff"

// Parse reads text and checks it against the schema. Missing keys have their
// defaults in the document. A document with faults may only be used to check for more faults.
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
			continue // reported by scanText
		}
		seen[name] = true
		faults = append(faults, d.readSection(s)...)
	}
	return d, append(faults, d.fillMissing(seen)...)
}

// iniOptions let a comment begin only after a space, so that a value such as a
// path may contain # and ;. Malformed lines are skipped: scanText reports them.
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

// Fault returns a fault at a key of the document, for checks that the schema
// cannot express.
func (d *Document) Fault(section, key, problem, remedy string) Fault {
	return d.fault(section, key, problem, remedy)
}

// sectionSchema returns the schema of a section, or nil if there is none.
func (d *Document) sectionSchema(name string) *Section {
	for i, s := range d.schema {
		prefixed := strings.HasSuffix(s.Name, ".") && strings.HasPrefix(name, s.Name) && len(name) > len(s.Name)
		if prefixed || s.Name == name && !strings.HasSuffix(name, ".") {
			return &d.schema[i]
		}
	}
	return nil
}

// readSection stores the values of a section and reports unknown keys and values
// that are not valid.
func (d *Document) readSection(s *ini.Section) Faults {
	name := s.Name()
	schema := d.sectionSchema(name)
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

// fillMissing sets the defaults of missing keys and reports missing sections and
// keys that are required. seen holds the sections of the file.
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
		schema := d.sectionSchema(name)
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
