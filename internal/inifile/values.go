package inifile

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

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

// String returns a value, or "" for an unknown key.
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

// Line returns the line of a key, or of its section if the key is missing; zero
// if the file has neither.
func (d *Document) Line(section, key string) int { return d.fault(section, key, "", "").Line }

// Defaults returns a template with a comment for each section and key, and the
// default values.
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
			b.WriteString(k.template())
		}
	}
	return b.String()
}

// template returns the lines of a key in the template: its comment and default.
func (k *Key) template() string {
	comment := k.Doc
	if k.Unit != "" {
		comment += " (" + k.Unit + ")"
	}
	if len(k.Choices) > 0 {
		comment += "; one of " + strings.Join(k.Choices, ", ")
	}
	if k.Min != 0 || k.Max != 0 {
		comment += "; " + strings.TrimPrefix(k.rangeRemedy(), "use ")
	}
	if k.Required {
		comment += "; required"
	}
	return fmt.Sprintf("; %s\n%s = %s\n", comment, k.Name, k.Default)
}
