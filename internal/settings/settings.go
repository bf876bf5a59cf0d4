// Package settings reads and checks the INI file of one instance.
package settings

import (
	"encoding/hex"
	"net"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/egretmux/egretmux/internal/inifile"
)

// Voter is an instance that keeps the replicated log.
type Voter struct {
	Instance string
	Address  string // of its cell listener
}

// Listener is one listening address with its optional TLS files.
type Listener struct {
	Address  string
	CertFile string
	KeyFile  string
}

// Settings is the checked content of the file.
type Settings struct {
	Instance   string
	Datacentre string
	DataFolder string // empty: the instance keeps no log

	Callers Listener
	Control Listener
	Cell    Listener

	Voters    []Voter
	CellKey   string
	CellCA    string // file of the certificates that cell listeners are checked against
	Operator  string // SHA-256 of the operator credential, hex
	Announcer string // SHA-256 of the workers' and endpoints' credential, hex
	WorkerCA  string // file of the certificates that workers' addresses are checked against
	Open      bool   // accept everything unauthenticated

	MaxHeaderBytes int
	MaxBodyBytes   int64
	MaxInFlight    int
	MaxQueue       int
	BufferBytes    int64

	EntryLease     time.Duration
	WorkerLease    time.Duration
	Tick           time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	ReadinessWait  time.Duration
	DrainLimit     time.Duration
	EndpointSilent time.Duration

	SnapshotEntries uint64
	TaskKeep        time.Duration
	RequestKeep     time.Duration

	LogLevel string
}

// Limits of the settings' ranges, in seconds where the key is a duration.
const (
	maxLease = 60
	day      = 24 * 3600
)

// Schema describes the settings file.
func Schema() []inifile.Section {
	return []inifile.Section{
		{Name: "instance", Required: true, Doc: "This instance.", Keys: []inifile.Key{
			{Name: "id", Required: true, Doc: "name of the instance, unique in the cell"},
			{Name: "datacentre", Required: true, Doc: "data centre it stands in"},
			{Name: "data_folder", Doc: "folder for the replicated log; empty on instances that keep none"},
		}},
		{Name: "listen", Required: true, Doc: "Listening addresses, as IP:port.", Keys: []inifile.Key{
			{Name: "callers", Required: true, Doc: "requests to services"},
			{Name: "control", Required: true, Doc: "tasks, operators, workers and endpoints, metrics, health"},
			{Name: "cell", Required: true, Doc: "other instances"},
		}},
		{Name: "cell", Required: true, Doc: "The cell.", Keys: []inifile.Key{
			{Name: "voters", Type: inifile.List, Required: true, Doc: "instances that keep the log, as id=IP:port of the cell listener"},
			{Name: "key_file", Doc: "file with the secret that instances show each other"},
		}},
		{Name: "access", Doc: "Credentials.", Keys: []inifile.Key{
			{Name: "operator_sha256", Doc: "SHA-256 of the operators' credential, in hex"},
			{Name: "announcer_sha256", Doc: "SHA-256 of the workers' and endpoints' credential, in hex"},
			{Name: "accept_unauthenticated", Type: inifile.Choice, Default: "no", Choices: []string{"no", "accept everything from everyone"}, Doc: "whether to go without credentials"},
		}},
		{Name: "tls", Doc: "Certificates; empty: plain TCP. Files are read again when they change.", Keys: []inifile.Key{
			{Name: "callers_cert", Doc: "certificate file of the callers listener"},
			{Name: "callers_key", Doc: "key file of the callers listener"},
			{Name: "control_cert", Doc: "certificate file of the control listener"},
			{Name: "control_key", Doc: "key file of the control listener"},
			{Name: "cell_cert", Doc: "certificate file of the cell listener"},
			{Name: "cell_key", Doc: "key file of the cell listener"},
			{Name: "cell_ca", Doc: "certificates that other instances' cell listeners are checked against"},
			{Name: "worker_ca", Doc: "certificates that workers' addresses are checked against"},
		}},
		{Name: "limits", Doc: "Limits of what is accepted.", Keys: []inifile.Key{
			{Name: "max_header", Type: inifile.Int, Default: "32768", Min: 1024, Max: 1 << 20, Unit: "bytes", Doc: "size of a request's header"},
			{Name: "max_body", Type: inifile.Int, Default: "8388608", Min: 1024, Max: 1 << 30, Unit: "bytes", Doc: "size of a request's body"},
			{Name: "max_in_flight", Type: inifile.Int, Default: "4096", Min: 1, Max: 1e6, Unit: "requests", Doc: "requests accepted at a time"},
			{Name: "max_queue", Type: inifile.Int, Default: "2048", Min: 1, Max: 1e6, Unit: "requests", Doc: "requests waiting for an endpoint"},
			{Name: "buffer", Type: inifile.Int, Default: "65536", Min: 0, Max: 1 << 24, Unit: "bytes", Doc: "answers up to this size are checked whole before the first byte goes to the caller"},
		}},
		{Name: "timing", Doc: "Times.", Keys: []inifile.Key{
			{Name: "entry_lease", Type: inifile.Duration, Default: "8s", Min: 1, Max: maxLease, Doc: "how long an instance serves without hearing from the leader"},
			{Name: "worker_lease", Type: inifile.Duration, Default: "6s", Min: 1, Max: maxLease, Doc: "how long a worker runs its tasks without hearing from the leader"},
			{Name: "tick", Type: inifile.Duration, Default: "50ms", Min: 0.005, Max: 1, Doc: "unit of the election times"},
			{Name: "election_ticks", Type: inifile.Int, Default: "10", Min: 3, Max: 100, Unit: "ticks", Doc: "silence of the leader before an election; the wait is up to twice this"},
			{Name: "heartbeat_ticks", Type: inifile.Int, Default: "2", Min: 1, Max: 50, Unit: "ticks", Doc: "time between a leader's heartbeats"},
			{Name: "readiness_wait", Type: inifile.Duration, Default: "2s", Min: 0, Max: maxLease, Doc: "time between dropping readiness and refusing requests at a graceful shutdown"},
			{Name: "drain_limit", Type: inifile.Duration, Default: "30s", Min: 0.1, Max: 3600, Doc: "longest wait for requests in flight at a graceful shutdown"},
			{Name: "endpoint_silent", Type: inifile.Duration, Default: "1500ms", Min: 0.2, Max: maxLease, Doc: "silence after which an endpoint gets no new work"},
		}},
		{Name: "log", Doc: "The replicated log and the state kept in it.", Keys: []inifile.Key{
			{Name: "snapshot_entries", Type: inifile.Int, Default: "20000", Min: 100, Max: 1e7, Unit: "entries", Doc: "entries between two snapshots"},
			{Name: "task_keep", Type: inifile.Duration, Default: "168h", Min: 60, Max: 90 * day, Doc: "how long an ended task can be looked up"},
			{Name: "request_keep", Type: inifile.Duration, Default: "24h", Min: 60, Max: 90 * day, Doc: "how long an idempotency key is remembered"},
		}},
		{Name: "logging", Doc: "Structured logs on standard error.", Keys: []inifile.Key{
			{Name: "level", Type: inifile.Choice, Default: "info", Choices: []string{"debug", "info", "warn", "error"}, Doc: "least level written"},
		}},
	}
}

// Load reads and checks a settings file.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, inifile.Faults{{File: file, Problem: err.Error(), Remedy: "check the path; egretmuxd --print-defaults shows a file to start from"}}
	}
	return Parse(file, string(text))
}

// Parse checks the text of a settings file.
func Parse(file, text string) (*Settings, error) {
	doc, faults := inifile.Parse(file, text, Schema())
	if len(faults) > 0 {
		return nil, faults.OrNil()
	}
	s := build(doc)
	c := checker{doc: doc, settings: s}
	c.checkAll()
	if err := c.faults.OrNil(); err != nil {
		return nil, err
	}
	return s, nil
}

func build(d *inifile.Document) *Settings {
	return &Settings{
		Instance:   d.String("instance", "id"),
		Datacentre: d.String("instance", "datacentre"),
		DataFolder: d.String("instance", "data_folder"),
		Callers:    listener(d, "callers"),
		Control:    listener(d, "control"),
		Cell:       listener(d, "cell"),
		CellCA:     d.String("tls", "cell_ca"),
		WorkerCA:   d.String("tls", "worker_ca"),
		Operator:   d.String("access", "operator_sha256"),
		Announcer:  d.String("access", "announcer_sha256"),
		Open:       d.String("access", "accept_unauthenticated") != "no",

		MaxHeaderBytes: int(d.Int("limits", "max_header")),
		MaxBodyBytes:   d.Int("limits", "max_body"),
		MaxInFlight:    int(d.Int("limits", "max_in_flight")),
		MaxQueue:       int(d.Int("limits", "max_queue")),
		BufferBytes:    d.Int("limits", "buffer"),

		EntryLease:     d.Duration("timing", "entry_lease"),
		WorkerLease:    d.Duration("timing", "worker_lease"),
		Tick:           d.Duration("timing", "tick"),
		ElectionTicks:  int(d.Int("timing", "election_ticks")),
		HeartbeatTicks: int(d.Int("timing", "heartbeat_ticks")),
		ReadinessWait:  d.Duration("timing", "readiness_wait"),
		DrainLimit:     d.Duration("timing", "drain_limit"),
		EndpointSilent: d.Duration("timing", "endpoint_silent"),

		SnapshotEntries: uint64(d.Int("log", "snapshot_entries")),
		TaskKeep:        d.Duration("log", "task_keep"),
		RequestKeep:     d.Duration("log", "request_keep"),
		LogLevel:        d.String("logging", "level"),
	}
}

func listener(d *inifile.Document, name string) Listener {
	return Listener{
		Address:  d.String("listen", name),
		CertFile: d.String("tls", name+"_cert"),
		KeyFile:  d.String("tls", name+"_key"),
	}
}

// checker looks for faults that no single key shows.
type checker struct {
	doc      *inifile.Document
	settings *Settings
	faults   inifile.Faults
}

func (c *checker) add(section, key, problem, remedy string) {
	c.faults = append(c.faults, c.doc.Fault(section, key, problem, remedy))
}

func (c *checker) checkAll() {
	c.checkListeners()
	c.checkVoters()
	c.checkKey()
	c.checkCredentials()
	c.checkFolder()
	c.checkTimes()
	c.checkTLS()
}

func (c *checker) checkListeners() {
	seen := make(map[string]string)
	for _, name := range []string{"callers", "control", "cell"} {
		address := c.doc.String("listen", name)
		if !validAddress(address) {
			c.add("listen", name, address+" is not IP:port", "write an IP number and a port from 1 to 65535, such as 10.0.0.5:7100")
			continue
		}
		if other := seen[address]; other != "" {
			c.add("listen", name, address+" is taken by "+other, "give each listener a port of its own")
		}
		seen[address] = name
	}
}

func validAddress(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0
}

func (c *checker) checkVoters() {
	names := make(map[string]bool)
	for _, part := range c.doc.List("cell", "voters") {
		id, address, ok := strings.Cut(part, "=")
		if !ok || !validAddress(address) {
			c.add("cell", "voters", part+" is not id=IP:port", "write each voter as a1=10.0.0.5:7102")
			continue
		}
		if names[id] {
			c.add("cell", "voters", id+" stands twice", "name each voter once")
		}
		names[id] = true
		c.settings.Voters = append(c.settings.Voters, Voter{Instance: id, Address: address})
	}
	if len(c.settings.Voters)%2 == 0 {
		c.add("cell", "voters", "the number of voters is even", "use 3 or 5 voters (1 for trials)")
	}
	if names[c.settings.Instance] && c.settings.DataFolder == "" {
		c.add("instance", "data_folder", "this instance is a voter and has no data folder", "set data_folder, or take it out of voters")
	}
	if !names[c.settings.Instance] && c.settings.DataFolder != "" {
		c.add("instance", "data_folder", "this instance is no voter and needs no data folder", "add it to voters, or clear data_folder")
	}
	for _, v := range c.settings.Voters {
		if v.Instance == c.settings.Instance && v.Address != c.settings.Cell.Address {
			c.add("cell", "voters", v.Instance+" is listed with "+v.Address+" but listens on "+c.settings.Cell.Address, "use the same address in both places")
		}
	}
}

func (c *checker) checkKey() {
	file := c.doc.String("cell", "key_file")
	if file == "" {
		if !c.settings.Open {
			c.add("cell", "key_file", "no secret between instances", "name a file with one, or set accept_unauthenticated")
		}
		return
	}
	data, err := os.ReadFile(file)
	if err != nil {
		c.add("cell", "key_file", err.Error(), "create the file, readable by this process only")
		return
	}
	c.settings.CellKey = strings.TrimSpace(string(data))
	const shortest = 16
	if len(c.settings.CellKey) < shortest {
		c.add("cell", "key_file", "the secret is shorter than 16 characters", "write a longer random one")
	}
}

func (c *checker) checkCredentials() {
	for _, key := range []string{"operator_sha256", "announcer_sha256"} {
		value := c.doc.String("access", key)
		if value == "" {
			if !c.settings.Open {
				c.add("access", key, "no credential", "set the SHA-256 of one, or set accept_unauthenticated")
			}
			continue
		}
		if raw, err := hex.DecodeString(value); err != nil || len(raw) != 32 {
			c.add("access", key, "not a SHA-256 in hex", "printf %s SECRET | sha256sum prints one")
		}
	}
}

func (c *checker) checkFolder() {
	folder := c.settings.DataFolder
	if folder == "" {
		return
	}
	info, err := os.Stat(folder)
	switch {
	case err != nil:
		c.add("instance", "data_folder", err.Error(), "create the folder on a disk that lasts")
	case !info.IsDir():
		c.add("instance", "data_folder", folder+" is not a folder", "name a folder")
	}
}

func (c *checker) checkTimes() {
	s := c.settings
	if s.HeartbeatTicks*2 > s.ElectionTicks {
		c.add("timing", "heartbeat_ticks", "heartbeats are too rare for the election time", "use at most half of election_ticks")
	}
	if election := 2 * time.Duration(s.ElectionTicks) * s.Tick; s.EntryLease < 2*election {
		c.add("timing", "entry_lease", "shorter than two elections", "use at least "+(2*election).String())
	}
}

func (c *checker) checkTLS() {
	for _, name := range []string{"callers", "control", "cell"} {
		cert, key := c.doc.String("tls", name+"_cert"), c.doc.String("tls", name+"_key")
		if (cert == "") != (key == "") {
			c.add("tls", name+"_cert", "certificate and key go together", "set both or neither")
		}
	}
	for _, key := range []string{"callers_cert", "callers_key", "control_cert", "control_key", "cell_cert", "cell_key", "cell_ca", "worker_ca"} {
		if file := c.doc.String("tls", key); file != "" {
			if _, err := os.Stat(file); err != nil {
				c.add("tls", key, err.Error(), "check the path")
			}
		}
	}
	if (c.settings.Cell.CertFile != "") != (c.settings.CellCA != "") {
		c.add("tls", "cell_ca", "cell_cert and cell_ca go together", "set both or neither on every instance")
	}
}

// IsVoter reports whether this instance keeps the log.
func (s *Settings) IsVoter() bool { return s.DataFolder != "" }

// CheckPorts reports the listeners whose addresses cannot be taken.
func (s *Settings) CheckPorts() error {
	var faults inifile.Faults
	for name, l := range map[string]Listener{"callers": s.Callers, "control": s.Control, "cell": s.Cell} {
		probe, err := net.Listen("tcp", l.Address)
		if err != nil {
			faults = append(faults, inifile.Fault{File: "settings", Section: "listen", Key: name, Problem: err.Error(), Remedy: "stop the other process or choose another port"})
			continue
		}
		_ = probe.Close()
	}
	return faults.OrNil()
}
