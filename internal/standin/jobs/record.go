package jobs

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// RecordTo lets the ledger write what clients, runners and operators saw as lines of JSON, in the form of an instance's
// log, so that package explain joins both by the id of a job or the number of a configuration. A nil writer ends it.
func (l *Ledger) RecordTo(w io.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record = zerolog.Nop()
	if w != nil {
		l.record = zerolog.New(w)
	}
}

// recordLocked begins a line about what somebody saw. The caller holds l.mu.
func (l *Ledger) recordLocked(who, event string) *zerolog.Event {
	return l.record.Log().Str("time", time.Now().UTC().Format(time.RFC3339Nano)).Str("instance", who).Str("event", event)
}

// recordJobLocked writes what a client saw of its job. The caller holds l.mu.
func (l *Ledger) recordJobLocked(event, id, reason string) {
	e := l.recordLocked("client", event).Str("job", id)
	if reason != "" {
		e = e.Str("reason", reason)
	}
	e.Send()
}

// recordRunLocked begins a line about what a runner saw of a run. The caller holds l.mu.
func (l *Ledger) recordRunLocked(event string, t Task, number uint64, runner string) *zerolog.Event {
	return l.recordLocked("runner", event).Str("task", t.name()).Str("worker", runner).Uint64("run", number)
}

// name returns the name of the task in the logs of instances.
func (t Task) name() string { return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index) }

// RecordTry records an operator's try to put a configuration, which took some time.
func (l *Ledger) RecordTry(version uint64, instance string, status int, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordLocked("operator", "operator_tried").Uint64("version", version).Str("to", instance).Int("status", status).Int64("age_ms", took.Milliseconds()).Send()
}
