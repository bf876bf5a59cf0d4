// Package inifile reads INI files against a schema and reports every fault
// with its line and remedy.
package inifile

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

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

// OrNil returns the faults as an error, or nil when there are none.
func (f Faults) OrNil() error {
	if len(f) == 0 {
		return nil
	}
	sort.SliceStable(f, func(i, j int) bool { return f[i].Line < f[j].Line })
	return f
}

// Document is a checked file.
type Document struct {
	file     string
	lines    map[string]int
	values   map[string]map[string]string
	sections []string
	schema   []Section
}

// Parse reads text against the schema. The document holds the defaults of
// missing keys; it is usable only when there are no faults.
func Parse(file, text string, schema []Section) (*Document, Faults) {
	d := &Document{file: file, schema: schema, values: make(map[string]map[string]string)}
	var faults Faults
	d.lines = scanLines(text)
	options := ini.LoadOptions{AllowNonUniqueSections: true, KeyValueDelimiters: "=", IgnoreInlineComment: false}
	parsed, err := ini.LoadSources(options, []byte(text))
	if err != nil {
		return d, Faults{{File: file, Problem: err.Error(), Remedy: "write sections as [name] and keys as key = value"}}
	}
	seen := make(map[string]bool)
	for _, s := range parsed.Sections() {
		name := s.Name()
		if name == ini.DefaultSection {
			for _, k := range s.Keys() {
				faults = append(faults, d.fault("", k.Name(), "key stands before any section", "move it below a [section]"))
			}
			continue
		}
		if seen[name] {
			faults = append(faults, d.fault(name, "", "section stands twice", "merge the two sections"))
			continue
		}
		seen[name] = true
		faults = append(faults, d.readSection(s)...)
	}
	faults = append(faults, d.fillMissing(seen)...)
	return d, faults
}

// scanLines maps "section" and "section\x00key" to their line numbers.
func scanLines(text string) map[string]int {
	lines := make(map[string]int)
	section := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") && strings.Contains(line, "]") {
			section = strings.TrimSpace(line[1:strings.Index(line, "]")])
			lines[section] = i + 1
			continue
		}
		key, _, ok := strings.Cut(line, "=")
		if ok && !strings.HasPrefix(line, ";") && !strings.HasPrefix(line, "#") {
			lines[section+"\x00"+strings.TrimSpace(key)] = i + 1
		}
	}
	return lines
}

func (d *Document) fault(section, key, problem, remedy string) Fault {
	line := d.lines[section+"\x00"+key]
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
		if s.Name == name || strings.HasSuffix(s.Name, ".") && strings.HasPrefix(name, s.Name) && len(name) > len(s.Name) {
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
			if k.Required && seen[name] {
				faults = append(faults, d.fault(name, k.Name, "key is missing", "add "+k.Name+" = "+k.example()))
			}
			values[k.Name] = k.Default
		}
	}
	return faults
}

func (s *Section) key(name string) *Key {
	for i := range s.Keys {
		if s.Keys[i].Name == name {
			return &s.Keys[i]
		}
	}
	return nil
}

func (k *Key) example() string {
	switch {
	case k.Default != "":
		return k.Default
	case len(k.Choices) > 0:
		return k.Choices[0]
	case k.Unit != "":
		return "<" + k.Unit + ">"
	}
	return "<value>"
}

// check returns what is wrong with a value and how to mend it.
func (k *Key) check(value string) (problem, remedy string) {
	if value == "" {
		if k.Required {
			return "value is empty", "give a value such as " + k.example()
		}
		return "", ""
	}
	switch k.Type {
	case Int:
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return fmt.Sprintf("%q is not a whole number", value), k.rangeRemedy()
		}
		return k.checkRange(float64(n), value)
	case Float:
		x, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return fmt.Sprintf("%q is not a number", value), k.rangeRemedy()
		}
		return k.checkRange(x, value)
	case Duration:
		t, err := time.ParseDuration(value)
		if err != nil {
			return fmt.Sprintf("%q is not a duration", value), "write a number with its unit, such as 250ms, 2s or 5m"
		}
		return k.checkRange(t.Seconds(), value)
	case Bool:
		if value != "yes" && value != "no" {
			return fmt.Sprintf("%q is neither yes nor no", value), "write yes or no"
		}
	case Choice:
		for _, c := range k.Choices {
			if c == value {
				return "", ""
			}
		}
		return fmt.Sprintf("%q is not a choice", value), "use one of " + strings.Join(k.Choices, ", ")
	}
	return "", ""
}

func (k *Key) checkRange(x float64, value string) (problem, remedy string) {
	if k.Min == 0 && k.Max == 0 || x >= k.Min && x <= k.Max {
		return "", ""
	}
	return value + " is out of range", k.rangeRemedy()
}

func (k *Key) rangeRemedy() string {
	if k.Min == 0 && k.Max == 0 {
		return "write a number"
	}
	if k.Type == Duration {
		return "use " + seconds(k.Min).String() + " to " + seconds(k.Max).String()
	}
	return fmt.Sprintf("use %v to %v", k.Min, k.Max)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

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

// Sections returns the names of the file's sections with the prefix, in order.
func (d *Document) Sections(prefix string) []string {
	var names []string
	for _, s := range d.sections {
		if strings.HasPrefix(s, prefix) {
			names = append(names, s)
		}
	}
	return names
}

// String returns a value.
func (d *Document) String(section, key string) string { return d.values[section][key] }

// Int returns a whole number; zero for an empty value.
func (d *Document) Int(section, key string) int64 {
	n, _ := strconv.ParseInt(d.String(section, key), 10, 64)
	return n
}

// Float returns a number; zero for an empty value.
func (d *Document) Float(section, key string) float64 {
	x, _ := strconv.ParseFloat(d.String(section, key), 64)
	return x
}

// Duration returns a duration; zero for an empty value.
func (d *Document) Duration(section, key string) time.Duration {
	t, _ := time.ParseDuration(d.String(section, key))
	return t
}

// Bool returns whether a value is yes.
func (d *Document) Bool(section, key string) bool { return d.String(section, key) == "yes" }

// List returns the comma-separated parts of a value, without empty ones.
func (d *Document) List(section, key string) []string {
	var parts []string
	for _, p := range strings.Split(d.String(section, key), ",") {
		if p = strings.TrimSpace(p); p != "" {
			parts = append(parts, p)
		}
	}
	return parts
}

// Defaults writes the schema as a commented file.
func Defaults(schema []Section) string {
	var b strings.Builder
	for i, s := range schema {
		if i > 0 {
			b.WriteString("\n")
		}
		if s.Doc != "" {
			fmt.Fprintf(&b, "; %s\n", s.Doc)
		}
		name := s.Name
		if strings.HasSuffix(name, ".") {
			name += "NAME"
		}
		fmt.Fprintf(&b, "[%s]\n", name)
		for _, k := range s.Keys {
			b.WriteString(k.describe())
		}
	}
	return b.String()
}

func (k *Key) describe() string {
	notes := k.Doc
	if k.Unit != "" {
		notes += " (" + k.Unit + ")"
	}
	if len(k.Choices) > 0 {
		notes += "; one of " + strings.Join(k.Choices, ", ")
	}
	if k.Min != 0 || k.Max != 0 {
		notes += "; " + strings.TrimPrefix(k.rangeRemedy(), "use ")
	}
	if k.Required {
		notes += "; required"
	}
	return fmt.Sprintf("; %s\n%s = %s\n", notes, k.Name, k.Default)
}
