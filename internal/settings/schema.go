package settings

import "github.com/egretmux/egretmux/internal/inifile"

// Times in seconds, for the bounds of durations.
const (
	minute = 60
	day    = 24 * 3600
)

// Schema describes the settings file.
func Schema() []inifile.Section {
	return []inifile.Section{
		{Name: "instance", Required: true, Doc: "This instance.", Keys: []inifile.Key{
			{Name: "id", Required: true, Doc: "name of the instance, unique in the cell"},
			{Name: "datacentre", Required: true, Doc: "data centre that the instance is in"},
			{Name: "data_folder", Doc: "folder for the replicated log; empty on instances that keep none"},
		}},
		{Name: "listen", Required: true, Doc: "Listening addresses, as IP:port.", Keys: []inifile.Key{
			{Name: "callers", Required: true, Doc: "requests to services"},
			{Name: "control", Required: true, Doc: "tasks, operators, workers and endpoints, metrics, health"},
			{Name: "cell", Required: true, Doc: "other instances"},
		}},
		{Name: "cell", Required: true, Doc: "The cell.", Keys: []inifile.Key{
			{Name: "voters", Type: inifile.List, Required: true, Doc: "instances that keep the replicated log, as id=IP:port of the cell listener"},
			{Name: "key_file", Doc: "file with the secret that instances show each other"},
		}},
		{Name: "access", Doc: "Credentials.", Keys: []inifile.Key{
			{Name: "operator_sha256", Doc: "SHA-256 of the operators' credential, in hex"},
			{Name: "announcer_sha256", Doc: "SHA-256 of the workers' and endpoints' credential, in hex"},
			{Name: "metrics_sha256", Doc: "SHA-256 of the credential that reads /metrics, in hex; empty: only the operators' credential reads it"},
			{Name: "worker_token_file", Doc: "file with the secret that instances show to workers with each command"},
			{Name: "accept_unauthenticated", Type: inifile.Choice, Default: "no", Choices: []string{"no", "accept everything from everyone"}, Doc: "whether to accept everything without credentials"},
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
		{Name: "limits", Doc: "Limits on requests and messages.", Keys: []inifile.Key{
			{Name: "max_header", Type: inifile.Int, Default: "32768", Min: 1024, Max: 1 << 20, Unit: "bytes", Doc: "size of a request's header"},
			{Name: "max_body", Type: inifile.Int, Default: "8388608", Min: 1024, Max: 1 << 30, Unit: "bytes", Doc: "size of a request's body"},
			{Name: "max_in_flight", Type: inifile.Int, Default: "4096", Min: 1, Max: 1e6, Unit: "requests", Doc: "requests accepted at a time"},
			{Name: "max_queue", Type: inifile.Int, Default: "2048", Min: 1, Max: 1e6, Unit: "requests", Doc: "requests waiting for an endpoint"},
			{Name: "max_message", Type: inifile.Int, Default: "4194304", Min: 65536, Max: 1 << 26, Unit: "bytes", Doc: "size of a message on the control listener"},
			{Name: "max_control_calls", Type: inifile.Int, Default: "1024", Min: 1, Max: 1e5, Unit: "calls", Doc: "operators' and submitters' calls at a time"},
			{Name: "max_members", Type: inifile.Int, Default: "4096", Min: 1, Max: 1e5, Unit: "members", Doc: "members of one task"},
			{Name: "buffer", Type: inifile.Int, Default: "65536", Min: 0, Max: 1 << 24, Unit: "bytes", Doc: "answers up to this size are read and checked whole before the first byte is sent to the caller"},
		}},
		{Name: "timing", Doc: "Timeouts, leases and elections.", Keys: []inifile.Key{
			{Name: "header_timeout", Type: inifile.Duration, Default: "10s", Min: 0.1, Max: 300, Doc: "longest time for a client to send a request's header"},
			{Name: "body_timeout", Type: inifile.Duration, Default: "30s", Min: 0.1, Max: 3600, Doc: "longest time for a client to send a request's body"},
			{Name: "idle_timeout", Type: inifile.Duration, Default: "2m", Min: 1, Max: 3600, Doc: "time after which a client's connection without a request is closed"},
			{Name: "entry_lease", Type: inifile.Duration, Default: "8s", Min: 1, Max: minute, Doc: "how long an instance serves without hearing from the leader"},
			{Name: "worker_lease", Type: inifile.Duration, Default: "6s", Min: 1, Max: minute, Doc: "how long a worker runs its tasks without hearing from the leader"},
			{Name: "tick", Type: inifile.Duration, Default: "50ms", Min: 0.005, Max: 1, Doc: "unit of election_ticks and heartbeat_ticks"},
			{Name: "election_ticks", Type: inifile.Int, Default: "10", Min: 3, Max: 100, Unit: "ticks", Doc: "time without a message from the leader before an election; the wait is up to twice this"},
			{Name: "heartbeat_ticks", Type: inifile.Int, Default: "2", Min: 1, Max: 50, Unit: "ticks", Doc: "time between a leader's heartbeats"},
			{Name: "readiness_wait", Type: inifile.Duration, Default: "2s", Min: 0, Max: minute, Doc: "time between dropping readiness and refusing requests at a graceful shutdown"},
			{Name: "drain_limit", Type: inifile.Duration, Default: "30s", Min: 0.1, Max: 3600, Doc: "longest wait for requests in flight at a graceful shutdown"},
			{Name: "endpoint_silent", Type: inifile.Duration, Default: "1500ms", Min: 0.2, Max: minute, Doc: "silence after which an endpoint gets no new work"},
		}},
		{Name: "log", Doc: "The replicated log and the state kept in it.", Keys: []inifile.Key{
			{Name: "snapshot_entries", Type: inifile.Int, Default: "20000", Min: 100, Max: 1e7, Unit: "entries", Doc: "entries between two snapshots"},
			{Name: "task_keep", Type: inifile.Duration, Default: "168h", Min: 60, Max: 90 * day, Doc: "how long an ended task can be looked up"},
			{Name: "request_keep", Type: inifile.Duration, Default: "24h", Min: 60, Max: 90 * day, Doc: "how long an idempotency key is remembered"},
		}},
		{Name: "logging", Doc: "Structured logs on standard error.", Keys: []inifile.Key{
			{Name: "level", Type: inifile.Choice, Default: "info", Choices: []string{"debug", "info", "warn", "error"}, Doc: "lowest level that is written"},
		}},
	}
}
