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

	Voters                []Voter
	CellKey               string
	CellCA                string // file of the certificates that cell listeners are checked against
	OperatorSHA256        string // SHA-256 of the operator credential, hex
	AnnouncerSHA256       string // SHA-256 of the workers' and endpoints' credential, hex
	MetricsSHA256         string // SHA-256 of the credential that reads metrics, hex; may be empty
	WorkerKey             string // secret that instances show to workers
	WorkerCA              string // file of the certificates that workers' addresses are checked against
	AcceptUnauthenticated bool   // accept everything unauthenticated

	MaxHeaderBytes  int
	MaxBodyBytes    int64
	MaxInFlight     int
	MaxQueue        int
	MaxMessageBytes int
	MaxControlCalls int // on the control listener
	MaxMembers      int32
	BufferBytes     int64

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
	EndpointSilent time.Duration

	SnapshotEntries uint64
	TaskKeep        time.Duration
	RequestKeep     time.Duration

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
	s := build(doc)
	c := checker{doc: doc, settings: s}
	c.checkAll()
	if err := c.faults.ErrorOrNil(); err != nil {
		return nil, err
	}
	return s, nil
}

func build(d *inifile.Document) *Settings {
	return &Settings{
		doc:                   d,
		Instance:              d.String("instance", "id"),
		Datacentre:            d.String("instance", "datacentre"),
		DataFolder:            d.String("instance", "data_folder"),
		Callers:               listener(d, "callers"),
		Control:               listener(d, "control"),
		Cell:                  listener(d, "cell"),
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

func listener(d *inifile.Document, name string) Listener {
	return Listener{
		Address:  d.String("listen", name),
		CertFile: d.String("tls", name+"_cert"),
		KeyFile:  d.String("tls", name+"_key"),
	}
}

// IsVoter reports whether this instance keeps the log.
func (s *Settings) IsVoter() bool { return s.DataFolder != "" }

// CheckPorts reports the listeners whose addresses cannot be taken.
func (s *Settings) CheckPorts() error {
	var faults inifile.Faults
	for _, name := range listenerNames {
		probe, err := net.Listen("tcp", s.doc.String("listen", name))
		if err != nil {
			faults = append(faults, s.doc.Fault("listen", name, err.Error(), "stop the other process or choose another port"))
			continue
		}
		_ = probe.Close()
	}
	return faults.ErrorOrNil()
}
