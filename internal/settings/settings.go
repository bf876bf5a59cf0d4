// Package settings reads and checks the INI file of one instance.
package settings

import (
	"net"
	"time"

	"github.com/egretmux/egretmux/internal/inifile"
)

// Voter is an instance that keeps the replicated log.
type Voter struct {
	Instance string
	Address  string // IP:port of its cell listener
}

// Listener is one listening address with its optional TLS files.
type Listener struct {
	Address  string
	CertFile string
	KeyFile  string
}

// Settings is the checked content of a settings file.
type Settings struct {
	Instance   string
	Datacentre string
	DataFolder string // folder of the replicated log; empty on an instance that is not a voter

	Callers Listener
	Control Listener
	Cell    Listener

	Voters                []Voter
	CellKey               string // secret that instances show each other
	CellCA                string // file of the certificates that cell listeners are checked against
	OperatorSHA256        string // hash of the operators' credential, in hex
	AnnouncerSHA256       string // hash of the workers' and endpoints' credential, in hex
	MetricsSHA256         string // hash of the credential that reads /metrics, in hex; may be empty
	WorkerToken           string // secret that instances show to workers
	WorkerCA              string // file of the certificates that workers' addresses are checked against
	AcceptUnauthenticated bool   // no caller needs credentials

	MaxHeaderBytes  int
	MaxBodyBytes    int64
	MaxInFlight     int
	MaxQueue        int
	MaxMessageBytes int
	MaxControlCalls int   // operators' and submitters' calls in flight
	MaxMembers      int32 // members of one task
	BufferBytes     int64 // answers up to this size are read and checked whole before the first byte is sent

	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	IdleTimeout   time.Duration

	EntryLease     time.Duration
	WorkerLease    time.Duration
	Tick           time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	ReadinessWait  time.Duration
	DrainLimit     time.Duration
	EndpointSilent time.Duration // time without an announcement after which an endpoint gets no new work

	SnapshotEntries uint64
	TaskKeep        time.Duration // how long an ended task can be looked up
	RequestKeep     time.Duration // how long an idempotency key is remembered

	LogLevel string

	doc *inifile.Document
}

// Load reads and checks a settings file.
func Load(file string) (*Settings, error) {
	text, err := inifile.ReadFile(file)
	if err != nil {
		return nil, inifile.Faults{{File: file, Problem: err.Error(), Remedy: "check the path; egretmuxd --print-defaults shows a file to start from"}}
	}
	return Parse(file, text)
}

// Parse checks the text of a settings file.
func Parse(file, text string) (*Settings, error) {
	doc, faults := inifile.Parse(file, text, Schema())
	if len(faults) > 0 {
		return nil, faults.ErrorOrNil()
	}
	s := fromDocument(doc)
	c := checker{doc: doc, settings: s}
	c.checkAll()
	if err := c.faults.ErrorOrNil(); err != nil {
		return nil, err
	}
	return s, nil
}

func fromDocument(d *inifile.Document) *Settings {
	return &Settings{
		doc:                   d,
		Instance:              d.String("instance", "id"),
		Datacentre:            d.String("instance", "datacentre"),
		DataFolder:            d.String("instance", "data_folder"),
		Callers:               readListener(d, "callers"),
		Control:               readListener(d, "control"),
		Cell:                  readListener(d, "cell"),
		CellCA:                d.String("tls", "cell_ca"),
		WorkerCA:              d.String("tls", "worker_ca"),
		OperatorSHA256:        d.String("access", "operator_sha256"),
		AnnouncerSHA256:       d.String("access", "announcer_sha256"),
		MetricsSHA256:         d.String("access", "metrics_sha256"),
		AcceptUnauthenticated: d.String("access", "accept_unauthenticated") != "no",

		MaxHeaderBytes:  int(d.Int("limits", "max_header")),
		MaxBodyBytes:    d.Int("limits", "max_body"),
		MaxInFlight:     int(d.Int("limits", "max_in_flight")),
		MaxQueue:        int(d.Int("limits", "max_queue")),
		MaxMessageBytes: int(d.Int("limits", "max_message")),
		MaxControlCalls: int(d.Int("limits", "max_control_calls")),
		MaxMembers:      int32(d.Int("limits", "max_members")),
		BufferBytes:     d.Int("limits", "buffer"),

		HeaderTimeout: d.Duration("timing", "header_timeout"),
		BodyTimeout:   d.Duration("timing", "body_timeout"),
		IdleTimeout:   d.Duration("timing", "idle_timeout"),

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

func readListener(d *inifile.Document, name string) Listener {
	return Listener{
		Address:  d.String("listen", name),
		CertFile: d.String("tls", name+"_cert"),
		KeyFile:  d.String("tls", name+"_key"),
	}
}

// IsVoter reports whether this instance keeps the replicated log.
func (s *Settings) IsVoter() bool { return s.DataFolder != "" }

// CheckPorts tries to bind the address of each listener. The error names those
// that fail.
func (s *Settings) CheckPorts() error {
	var faults inifile.Faults
	for _, name := range listenerNames {
		l, err := net.Listen("tcp", s.doc.String("listen", name))
		if err != nil {
			faults = append(faults, s.doc.Fault("listen", name, err.Error(), "stop the other process or choose another port"))
			continue
		}
		_ = l.Close()
	}
	return faults.ErrorOrNil()
}
