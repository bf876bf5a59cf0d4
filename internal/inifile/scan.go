package inifile

import (
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

// MaxBytes is the size limit of a file.
const MaxBytes = 1 << 20

// scanner makes the first pass over a file. It records the line of each section
// and key, and reports what the INI library silently accepts: repeated keys,
// quoted values and lines that are neither header, key nor comment.
type scanner struct {
	file    string
	lines   map[string]int // line numbers: of keys by lineKey, of section headers by section
	section string         // section of the current line
	faults  Faults

	repeated map[string]bool // sections that occur more than once
}

func lineKey(section, key string) string { return section + "\x00" + key }

func scanText(file, text string) *scanner {
	s := &scanner{file: file, lines: make(map[string]int), repeated: make(map[string]bool)}
	for i, line := range strings.Split(text, "\n") {
		s.readLine(i+1, strings.TrimSpace(line))
	}
	return s
}

func (s *scanner) addFault(line int, key, problem, remedy string) {
	s.faults = append(s.faults, Fault{File: s.file, Line: line, Section: s.section, Key: key, Problem: problem, Remedy: remedy})
}

func (s *scanner) readLine(number int, line string) {
	switch {
	case line == "" || line[0] == ';' || line[0] == '#':
	case line[0] == '[':
		s.readHeader(number, line)
	default:
		s.readKey(number, line)
	}
}

func (s *scanner) readHeader(number int, line string) {
	name, rest, closed := strings.Cut(line[1:], "]")
	s.section = strings.TrimSpace(name)
	rest = strings.TrimSpace(rest)
	switch {
	case !closed:
		s.addFault(number, "", "section header has no ]", "write [name]")
	case s.section == "":
		s.addFault(number, "", "section has no name", "write [name]")
	case rest != "" && rest[0] != ';' && rest[0] != '#':
		s.addFault(number, "", "text stands after the section header", "write it on a line of its own")
	case s.lines[s.section] != 0:
		s.addFault(number, "", "section stands twice, first on line "+strconv.Itoa(s.lines[s.section]), "merge the two sections")
		s.repeated[s.section] = true
		return
	}
	s.lines[s.section] = number
}

func (s *scanner) readKey(number int, line string) {
	key, value, found := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	if !found || key == "" {
		s.addFault(number, "", fmt.Sprintf("%.40q is not a key with a value", line), "write key = value; a comment begins with ;")
		return
	}
	if s.section == "" {
		s.addFault(number, key, "key stands before any section", "move it below a [section]")
		return
	}
	if first := s.lines[lineKey(s.section, key)]; first != 0 {
		s.addFault(number, key, "key stands twice, first on line "+strconv.Itoa(first), "keep one of them")
		return
	}
	s.lines[lineKey(s.section, key)] = number
	if value != "" && strings.ContainsRune("\"'`", rune(value[0])) {
		s.addFault(number, key, "value is quoted", "write it without quotes")
	}
	if strings.HasSuffix(value, `\`) {
		s.addFault(number, key, "value ends in a backslash", "write the whole value on one line")
	}
}

// checkText reports the first fault that keeps a file from being read at all: its
// size, no content, an encoding other than UTF-8 or a control character.
func checkText(file, text string) Faults {
	fault := Fault{File: file}
	switch control := strings.IndexFunc(text, isControl); {
	case len(text) > MaxBytes:
		fault.Problem, fault.Remedy = fmt.Sprintf("file is larger than %d bytes", MaxBytes), "check the path; settings and contracts are short text files"
	case strings.TrimSpace(text) == "":
		fault.Problem, fault.Remedy = "file is empty", "write the settings or the contract into it"
	case !utf8.ValidString(text):
		fault.Line = invalidLine(text)
		fault.Problem, fault.Remedy = "text is not UTF-8", "save the file as UTF-8"
	case control >= 0:
		fault.Line = 1 + strings.Count(text[:control], "\n")
		fault.Problem, fault.Remedy = "line holds a control character", "delete it"
	default:
		return nil
	}
	return Faults{fault}
}

func isControl(r rune) bool {
	return r < ' ' && r != '\n' && r != '\r' && r != '\t' || r == 0x7f
}

// invalidLine returns the number of the first line that is not UTF-8.
func invalidLine(text string) int {
	for i, line := range strings.Split(text, "\n") {
		if !utf8.ValidString(line) {
			return i + 1
		}
	}
	return 0
}
