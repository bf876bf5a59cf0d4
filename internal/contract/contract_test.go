package contract

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/inifile"
)

const (
	oneHash       = "24c4d007ee3f27d97dbce7386487ffefd30e8a2bab33f2290aa00b6db0653ba1"
	otherHash     = "ed35f3dd07201e0e567f8b49905f57a9492d2196b1ec2a2adce3d1e92cb6ba4c"
	validContract = `[contract]
customer = dixie
share = 0.5
credential_sha256 = ` + oneHash + `
services = lease
[class.lookup]
answer = at-once
deadline = 2s
paths = /lookup
[class.rollup]
paths = /rollup
`
)

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/contracts/*.ini")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		text, err := inifile.ReadFile(file)
		require.NoError(t, err)
		c, err := Parse(file, text)
		require.NoError(t, err)
		require.Equal(t, c.Customer+".ini", filepath.Base(file))
	}
}

func TestBadContracts(t *testing.T) {
	tests := []struct{ name, from, to, want string }{
		{"customer", "dixie", "Dixie", `f:2: [contract] customer: "Dixie" is not a name`},
		{"long customer", "dixie", strings.Repeat("d", 64), "f:2: [contract] customer: "},
		{"share above one", "0.5", "1.5", "f:3: [contract] share: 1.5 is out of range; use 0 to 1"},
		{"share in percent", "0.5", "50%", `f:3: [contract] share: "50%" is not a number`},
		{"plain credential", oneHash, "secret", `f:4: [contract] credential_sha256: "secret" is not a SHA-256 in hex; printf`},
		{"no credential", oneHash, "", "f:4: [contract] credential_sha256: value is empty"},
		{"same credential twice", oneHash, oneHash + "," + strings.ToUpper(oneHash), "f:4: [contract] credential_sha256: a hash stands twice"},
		{"service", "services = lease", "services = lease, /rent", `f:5: [contract] services: "/rent" is not a name`},
		{"class name", "[class.lookup]", "[class.Lookup]", `f:6: [class.Lookup]: "Lookup" is not a name`},
		{"answer", "at-once", "soon", `f:7: [class.lookup] answer: "soon" is not a choice; use one of at-once, can-wait`},
		{"at once without deadline", "2s", "0s", "f:8: [class.lookup] deadline: work that answers at once has no deadline"},
		{"negative deadline", "2s", "-2s", "f:8: [class.lookup] deadline: -2s is out of range"},
		{"path", "paths = /lookup", "paths = lookup", `f:9: [class.lookup] paths: "lookup" does not start with /`},
		{"path of two classes", "/rollup", "/lookup", "f:11: [class.rollup] paths: /lookup belongs to class lookup already"},
		{"two classes of one name", "[class.rollup]", "[class.lookup]", "f:10: [class.lookup]: section stands twice, first on line 6"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse("f", strings.Replace(validContract, test.from, test.to, 1))
			require.Error(t, err)
			first, _, _ := strings.Cut(err.Error(), "\n")
			require.True(t, strings.HasPrefix(first, test.want), err.Error())
		})
	}
}

func TestAllFaultsAreReported(t *testing.T) {
	text := strings.NewReplacer("dixie", "D", "0.5", "2", oneHash, "x", "at-once", "soon", "/rollup", "/lookup").Replace(validContract)
	_, err := Parse("f", text)
	var faults inifile.Faults
	require.ErrorAs(t, err, &faults)
	var lines []int
	for _, f := range faults {
		lines = append(lines, f.Line)
	}
	require.Equal(t, []int{2, 3, 4, 7, 11}, lines, "%v", err)
}

func TestCredentialHashIgnoresCase(t *testing.T) {
	c, err := Parse("f", strings.Replace(validContract, oneHash, strings.ToUpper(oneHash), 1))
	require.NoError(t, err)
	require.Equal(t, []string{oneHash}, c.Credentials)
}

func TestSharedCredential(t *testing.T) {
	c, err := Parse("f", validContract)
	require.NoError(t, err)
	same := &Contract{Customer: "kalahari", Credentials: []string{otherHash, oneHash}}
	require.Equal(t, "kalahari", SharedCredential(c, []*Contract{c, same}))
	require.Empty(t, SharedCredential(c, []*Contract{c, {Customer: "kalahari", Credentials: []string{otherHash}}}))
}

func TestClassOf(t *testing.T) {
	c, err := Parse("f", validContract+"[class.audit]\npaths = /lookup/audit\n")
	require.NoError(t, err)
	for path, class := range map[string]string{"/lookup/7": "lookup", "/lookup/audit/7": "audit", "/rollup": "rollup", "/other": "lookup"} {
		require.Equal(t, class, c.ClassOf(path).Name, path)
	}
}

// The template parses, except that required keys without a default are reported
// as empty.
func TestTemplateParses(t *testing.T) {
	_, err := Parse("f", strings.ReplaceAll(inifile.Defaults(Schema()), "class.NAME", "class.name"))
	var faults inifile.Faults
	require.ErrorAs(t, err, &faults)
	for _, f := range faults {
		require.Contains(t, f.Problem, "value is empty")
	}
	require.Len(t, faults, 3)
}
