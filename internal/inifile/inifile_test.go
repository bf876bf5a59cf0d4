package inifile

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var testSchema = []Section{
	{Name: "main", Required: true, Doc: "Main.", Keys: []Key{
		{Name: "name", Required: true, Doc: "a name"},
		{Name: "size", Type: Int, Default: "5", Min: 1, Max: 9, Unit: "things", Doc: "a size"},
		{Name: "part", Type: Float, Default: "0.5", Min: 0, Max: 1, Doc: "a part"},
		{Name: "time", Type: Duration, Default: "2s", Min: 1, Max: 60, Doc: "a time"},
		{Name: "on", Type: Bool, Default: "no", Doc: "a switch"},
		{Name: "way", Type: Choice, Default: "up", Choices: []string{"up", "down"}, Doc: "a way"},
		{Name: "list", Type: List, Doc: "a list"},
	}},
	{Name: "item.", Doc: "An item.", Keys: []Key{{Name: "weight", Type: Int, Default: "1", Doc: "its weight"}}},
}

func TestFaults(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"empty", "", "f: file is empty"},
		{"blank", " \r\n\t\n", "f: file is empty"},
		{"huge", "[main]\nname = " + strings.Repeat("x", MaxBytes), "f: file is larger than 1048576 bytes"},
		{"not UTF-8", "[main]\nname = \xff\xfe\n", "f:2: text is not UTF-8"},
		{"NUL", "[main]\nname = a\x00b\n", "f:2: line holds a control character"},
		{"UTF-16", "\xff\xfe[\x00m\x00", "f:1: text is not UTF-8"},
		{"unknown section", "[main]\nname = a\n[mian]\nx = 1\n", "f:3: [mian]: section is not known; use one of [main], [item.NAME]"},
		{"unknown key", "[main]\nname = a\nsiez = 3\n", "f:3: [main] siez: key is not known; use one of name, size"},
		{"key case", "[main]\nname = a\nSize = 3\n", "f:3: [main] Size: key is not known"},
		{"missing section", "[item.a]\n", "f: [main]: section is missing; add [main]"},
		{"missing key", "; c\n[main]\n", "f:2: [main] name: key is missing; add name = <value>"},
		{"empty required", "[main]\nname =\n", "f:2: [main] name: value is empty"},
		{"empty typed", "[main]\nname = a\nsize =\n", "f:3: [main] size: value is empty; give a value, or delete the line for the default 5"},
		{"two sections", "[main]\nname = a\n[item.a]\n[main]\n", "f:4: [main]: section stands twice, first on line 1; merge the two sections"},
		{"two sections, the first empty", "[main]\n[main]\nname = a\n", "f:2: [main]: section stands twice, first on line 1"},
		{"two keys", "[main]\nname = a\nname = b\n", "f:3: [main] name: key stands twice, first on line 2; keep one of them"},
		{"no section", "name = a\n[main]\nname = a\n", "f:1 name: key stands before any section"},
		{"DEFAULT", "[main]\nname = a\n[DEFAULT]\nx = 1\n", "f:3: [DEFAULT]: section is not known"},
		{"no value", "[main]\nname = a\nsize\n", `f:3: [main]: "size" is not a key with a value; write key = value`},
		{"colon", "[main]\nname = a\nsize: 3\n", `f:3: [main]: "size: 3" is not a key with a value`},
		{"no key", "[main]\nname = a\n= 3\n", `f:3: [main]: "= 3" is not a key with a value`},
		{"open header", "[main\nname = a\n", "f:1: [main]: section header has no ]"},
		{"nameless header", "[]\n[main]\nname = a\n", "f:1: section has no name"},
		{"text after header", "[main] text\nname = a\n", "f:1: [main]: text stands after the section header"},
		{"double quotes", "[main]\nname = \"a\"\n", "f:2: [main] name: value is quoted; write it without quotes"},
		{"triple quotes", "[main]\nname = \"\"\"a\"\"\"\n", "f:2: [main] name: value is quoted"},
		{"backquote", "[main]\nname = `a\n", "f:2: [main] name: value is quoted"},
		{"continuation", "[main]\nname = a \\\nsize = 3\n", "f:2: [main] name: value ends in a backslash"},
		{"not whole", "[main]\nname = a\nsize = 3.5\n", `f:3: [main] size: "3.5" is not a whole number; use 1 to 9`},
		{"with unit", "[main]\nname = a\nsize = 3k\n", `f:3: [main] size: "3k" is not a whole number`},
		{"above", "[main]\nname = a\nsize = 10\n", "f:3: [main] size: 10 is out of range; use 1 to 9"},
		{"overflow", "[main]\nname = a\nsize = 99999999999999999999\n", "f:3: [main] size: "},
		{"NaN", "[main]\nname = a\npart = NaN\n", "f:3: [main] part: NaN is out of range; use 0 to 1"},
		{"infinite", "[main]\nname = a\npart = Inf\n", "f:3: [main] part: Inf is out of range"},
		{"no unit", "[main]\nname = a\ntime = 5\n", `f:3: [main] time: "5" is not a duration; write a number with its unit`},
		{"too short", "[main]\nname = a\ntime = 10ms\n", "f:3: [main] time: 10ms is out of range; use 1s to 1m0s"},
		{"not a switch", "[main]\nname = a\non = true\n", `f:3: [main] on: "true" is neither yes nor no`},
		{"not a choice", "[main]\nname = a\nway = left\n", `f:3: [main] way: "left" is not a choice; use one of up, down`},
		{"nameless item", "[main]\nname = a\n[item.]\n", "f:3: [item.]: section is not known"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, faults := Parse("f", test.text, testSchema)
			require.Len(t, faults, 1, "one fault for one mistake: %v", faults)
			require.True(t, strings.HasPrefix(faults[0].Error(), test.want), faults[0].Error())
		})
	}
}

func TestEveryFaultIsReportedInOrder(t *testing.T) {
	_, faults := Parse("f", "[main]\nsize = 77\nnope = 1\non = maybe\nnope = 2\n[other]\n", testSchema)
	require.Error(t, faults.ErrorOrNil()) // sorts
	var lines []int
	for _, f := range faults {
		lines = append(lines, f.Line)
	}
	require.Equal(t, []int{1, 2, 3, 4, 5, 6}, lines, "%v", faults.ErrorOrNil())
}

func TestAcceptedForms(t *testing.T) {
	text := "\ufeff; comment\r\n# comment\r\n[main] ; comment\r\n\tname\t=  a#b;c = \"d\" ; comment \r\nsize=3\r\nlist = x, ,y,\r\n[item.a]\r\n"
	d, faults := Parse("f", text, testSchema)
	require.NoError(t, faults.ErrorOrNil())
	require.Equal(t, `a#b;c = "d"`, d.String("main", "name"), "a comment needs a space before it")
	require.EqualValues(t, 3, d.Int("main", "size"))
	require.Equal(t, []string{"x", "y"}, d.List("main", "list"))
	require.Equal(t, []string{"item.a"}, d.Sections("item."))
	require.EqualValues(t, 1, d.Int("item.a", "weight"))
	require.Equal(t, 0.5, d.Float("main", "part"))
}

// The printed defaults parse, apart from the values that have none.
func TestDefaultsParse(t *testing.T) {
	_, faults := Parse("f", Defaults(testSchema), testSchema)
	require.Len(t, faults, 1, "%v", faults)
	require.Equal(t, "f:4: [main] name: value is empty; give a value such as <value>", faults[0].Error())
}
