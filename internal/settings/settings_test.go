package settings

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/inifile"
)

const zeroHash = "0000000000000000000000000000000000000000000000000000000000000000"

// validSettings returns the text of valid settings, with the files they name.
func validSettings(t *testing.T) (text, folder string) {
	folder = t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, "key"), []byte("0123456789abcdef\n"), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "short"), []byte("short"), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "lines"), []byte("0123456789\nabcdefghij"), 0o600))
	require.NoError(t, os.Mkdir(filepath.Join(folder, "data"), 0o700))
	return strings.ReplaceAll(`[instance]
id = a1
datacentre = se-atl
data_folder = DIR/data
[listen]
callers = 127.0.0.1:7100
control = 127.0.0.1:7101
cell = 127.0.0.1:7102
[cell]
voters = a1=127.0.0.1:7102, a2=127.0.0.2:7102, a3=127.0.0.3:7102
key_file = DIR/key
[access]
operator_sha256 = `+zeroHash+`
announcer_sha256 = `+zeroHash+`
worker_token_file = DIR/key
`, "DIR", folder), folder
}

func TestGoodSettings(t *testing.T) {
	text, _ := validSettings(t)
	s, err := Parse("f", text)
	require.NoError(t, err)
	require.True(t, s.IsVoter())
	require.False(t, s.AcceptUnauthenticated)
	require.Equal(t, "0123456789abcdef", s.WorkerToken)
}

// Each mistake gives exactly one fault, with its line, section, key and remedy.
func TestBadSettings(t *testing.T) {
	tests := []struct{ name, from, to, want string }{
		{"id", "id = a1", "id = A 1", `f:2: [instance] id: "A 1" is not a name; use lower-case`},
		{"datacentre", "se-atl", "se_atl", `f:3: [instance] datacentre: "se_atl" is not a name`},
		{"missing data folder", "DIR/data", "DIR/none", "f:4: [instance] data_folder: stat DIR/none: no such file or directory; create the folder"},
		{"file as data folder", "DIR/data", "DIR/key", "f:4: [instance] data_folder: DIR/key is not a folder"},
		{"voter without folder", "data_folder = DIR/data", "", "f:1: [instance] data_folder: this instance is a voter and has no data folder"},
		{"folder without vote", "a1=127.0.0.1:7102", "a9=127.0.0.1:7109", "f:4: [instance] data_folder: this instance is no voter"},
		{"host name", "callers = 127.0.0.1:7100", "callers = localhost:7100", "f:6: [listen] callers: localhost:7100 is not IP:port"},
		{"no port", "control = 127.0.0.1:7101", "control = 127.0.0.1", "f:7: [listen] control: 127.0.0.1 is not IP:port"},
		{"port zero", "control = 127.0.0.1:7101", "control = 127.0.0.1:0", "f:7: [listen] control: 127.0.0.1:0 is not IP:port"},
		{"port clash", "control = 127.0.0.1:7101", "control = 127.0.0.1:7100", "f:7: [listen] control: 127.0.0.1:7100 is taken by callers"},
		{"wildcard clash", "callers = 127.0.0.1:7100", "callers = 0.0.0.0:7101", "f:7: [listen] control: 127.0.0.1:7101 is taken by callers"},
		{"wildcard control", "control = 127.0.0.1:7101", "control = 0.0.0.0:7101", "f:7: [listen] control: 0.0.0.0:7101 cannot be reached by others"},
		{"even voters", ", a3=127.0.0.3:7102", "", "f:10: [cell] voters: 2 voters; use 3 or 5 voters"},
		{"voter form", "a2=127.0.0.2:7102", "a2:127.0.0.2:7102", "f:10: [cell] voters: a2:127.0.0.2:7102 is not id=IP:port"},
		{"voter twice", "a3=127.0.0.3:7102", "a2=127.0.0.3:7102", "f:10: [cell] voters: a2 stands twice"},
		{"voter address twice", "a3=127.0.0.3", "a3=127.0.0.2", "f:10: [cell] voters: 127.0.0.2:7102 is the address of both a2 and a3"},
		{"own address", "cell = 127.0.0.1:7102", "cell = 127.0.0.1:7103", "f:10: [cell] voters: a1 is listed with 127.0.0.1:7102 but listens on 127.0.0.1:7103"},
		{"no key file", "key_file = DIR/key\n[access]", "[access]", "f:9: [cell] key_file: no secret between instances"},
		{"key file missing", "key_file = DIR/key\n[access]", "key_file = DIR/none\n[access]", "f:11: [cell] key_file: open DIR/none: no such file"},
		{"short key", "key_file = DIR/key\n[access]", "key_file = DIR/short\n[access]", "f:11: [cell] key_file: the secret in DIR/short is shorter than 16 characters"},
		{"key of lines", "key_file = DIR/key\n[access]", "key_file = DIR/lines\n[access]", "f:11: [cell] key_file: the secret in DIR/lines is not one line of printable ASCII"},
		{"no worker token", "worker_token_file = DIR/key", "", "f:12: [access] worker_token_file: no secret for commands to workers"},
		{"no operator", "operator_sha256 = " + zeroHash, "", "f:12: [access] operator_sha256: no credential"},
		{"short hash", "operator_sha256 = " + zeroHash, "operator_sha256 = 00ff", "f:13: [access] operator_sha256: not a SHA-256 in hex"},
		{"open by a short word", "[access]", "[access]\naccept_unauthenticated = yes", `f:13: [access] accept_unauthenticated: "yes" is not a choice; use one of no, accept everything from everyone`},
		{"heartbeats", "[access]", "[timing]\nheartbeat_ticks = 6\n[access]", "f:13: [timing] heartbeat_ticks: heartbeats are too rare"},
		{"lease", "[access]", "[timing]\nentry_lease = 1s\n[access]", "f:13: [timing] entry_lease: shorter than two elections; use at least 2s"},
		{"lease beyond the bound", "[access]", "[timing]\nentry_lease = 12s\n[access]", "f:13: [timing] entry_lease: a contract could take 16.7s to be in force everywhere"},
		{"certificate alone", "[access]", "[tls]\ncontrol_cert = DIR/key\n[access]", "f:13: [tls] control_cert: certificate and key go together"},
		{"no certificate", "[access]", "[tls]\ncontrol_cert = DIR/key\ncontrol_key = DIR/key\n[access]", "f:13: [tls] control_cert: tls: failed to find any PEM data"},
		{"no CA", "[access]", "[tls]\nworker_ca = DIR/key\n[access]", "f:13: [tls] worker_ca: DIR/key holds no certificate in PEM form"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text, folder := validSettings(t)
			inFolder := strings.NewReplacer("DIR", folder)
			require.Contains(t, text, inFolder.Replace(test.from))
			_, err := Parse("f", strings.Replace(text, inFolder.Replace(test.from), inFolder.Replace(test.to), 1))
			var faults inifile.Faults
			require.ErrorAs(t, err, &faults)
			require.Len(t, faults, 1, "%v", err)
			require.True(t, strings.HasPrefix(err.Error(), inFolder.Replace(test.want)), err.Error())
			require.NotEmpty(t, faults[0].Remedy)
		})
	}
}

func TestAcceptUnauthenticated(t *testing.T) {
	text, _ := validSettings(t)
	before, _, _ := strings.Cut(text, "[access]")
	s, err := Parse("f", before+"[access]\naccept_unauthenticated = accept everything from everyone\n")
	require.NoError(t, err)
	require.True(t, s.AcceptUnauthenticated)
}

// The printed defaults parse, except that required keys without a default are
// reported as empty.
func TestDefaultsParse(t *testing.T) {
	_, err := Parse("f", inifile.Defaults(Schema()))
	var faults inifile.Faults
	require.ErrorAs(t, err, &faults)
	var keys []string
	for _, f := range faults {
		require.Contains(t, f.Problem, "value is empty")
		keys = append(keys, f.Key)
	}
	require.Equal(t, []string{"id", "datacentre", "callers", "control", "cell", "voters"}, keys)
}

// Every key has a doc. Whole numbers and durations have a range and a default;
// whole numbers also have a unit.
func TestSchemaKeysAreDocumented(t *testing.T) {
	for _, section := range Schema() {
		for _, key := range section.Keys {
			require.NotEmpty(t, key.Doc, key.Name)
			if key.Type == inifile.Int || key.Type == inifile.Duration {
				require.NotZero(t, key.Max, "%s has no range", key.Name)
				require.NotEmpty(t, key.Default, "%s has no default", key.Name)
			}
			if key.Type == inifile.Int {
				require.NotEmpty(t, key.Unit, "%s has no unit", key.Name)
			}
		}
	}
}

func TestCheckPorts(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	text, _ := validSettings(t)
	s, err := Parse("f", strings.Replace(text, "127.0.0.1:7100", taken.Addr().String(), 1))
	require.NoError(t, err)
	err = s.CheckPorts()
	require.ErrorContains(t, err, "f:6: [listen] callers: ")
	require.ErrorContains(t, err, "stop the other process or choose another port")
}

func TestLoadRejectsUnreadableFiles(t *testing.T) {
	for _, name := range []string{t.TempDir(), filepath.Join(t.TempDir(), "none"), "/dev/zero"} {
		_, err := Load(name)
		require.ErrorContains(t, err, "check the path")
	}
}
