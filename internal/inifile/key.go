package inifile

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

func (s *Section) key(name string) *Key {
	for i := range s.Keys {
		if s.Keys[i].Name == name {
			return &s.Keys[i]
		}
	}
	return nil
}

// example returns a value to show in a remedy.
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

// check validates a value. It returns a problem and its remedy, or two empty
// strings.
func (k *Key) check(value string) (problem, remedy string) {
	if value == "" {
		if k.Required {
			return "value is empty", "give a value such as " + k.example()
		}
		if k.Type != String && k.Type != List {
			return "value is empty", "give a value, or delete the line for the default " + k.Default
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
		return "use " + secondsToDuration(k.Min).String() + " to " + secondsToDuration(k.Max).String()
	}
	return "use " + formatDecimal(k.Min) + " to " + formatDecimal(k.Max)
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// formatDecimal formats a number without an exponent.
func formatDecimal(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }
