package jobcell

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/telemetry"
)

const (
	callWatchPeriod = 500 * time.Millisecond
	// callStallGrace is the time beyond its deadline after which a call of a client
	// counts as stalled. Calls end at their deadline unless something holds them here.
	callStallGrace = 250 * time.Millisecond
	// instanceCallStall is the age at which a call of another instance counts as
	// stalled. A commit outlasts leaderCallTimeout on a slow disk.
	instanceCallStall = 3 * time.Second
	// maxStalledLines limits the lines of one pass; further calls are reported later.
	maxStalledLines = 16
)

// Sources of calls.
const (
	fromClient   = "client"
	fromInstance = "instance" // passed on by another instance
)

// callWatch holds the calls in progress and reports those that are stalled.
type callWatch struct {
	gauges map[string][]*metrics.Gauge // by source and verb

	mu    sync.Mutex
	calls map[*egretmuxv1.JobCall]progressingCall
}

type progressingCall struct {
	source    string
	began     time.Time
	stalledAt time.Time // when it counts as stalled; zero once that is reported
}

func newCallWatch() *callWatch {
	w := &callWatch{gauges: make(map[string][]*metrics.Gauge), calls: make(map[*egretmuxv1.JobCall]progressingCall)}
	for _, source := range []string{fromClient, fromInstance} {
		for verb := range len(egretmuxv1.JobVerb_name) {
			w.gauges[source] = append(w.gauges[source], telemetry.Gauge(`calls_in_progress{verb="`+VerbName(egretmuxv1.JobVerb(verb))+`",source="`+source+`"}`))
		}
	}
	return w
}

// begin adds a call that a source waits for until the context ends.
func (w *callWatch) begin(ctx context.Context, call *egretmuxv1.JobCall, source string) {
	now := time.Now()
	stalledAt := now.Add(instanceCallStall)
	if deadline, ok := ctx.Deadline(); ok && source == fromClient {
		stalledAt = deadline.Add(callStallGrace)
	}
	w.count(call, source, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[call] = progressingCall{source: source, began: now, stalledAt: stalledAt}
}

// end removes a call.
func (w *callWatch) end(call *egretmuxv1.JobCall, source string) {
	w.count(call, source, -1)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.calls, call)
}

func (w *callWatch) count(call *egretmuxv1.JobCall, source string, n float64) {
	if verb := int(call.GetVerb()); verb >= 0 && verb < len(w.gauges[source]) {
		w.gauges[source][verb].Add(n)
	}
}

// stalledCall is a call that is reported as stalled.
type stalledCall struct {
	call   *egretmuxv1.JobCall
	source string
	age    time.Duration
}

// newlyStalled returns the stalled calls that it has not returned before, at most
// maxStalledLines of them.
func (w *callWatch) newlyStalled(now time.Time) []stalledCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []stalledCall
	for call, c := range w.calls {
		if c.stalledAt.IsZero() || now.Before(c.stalledAt) || len(out) == maxStalledLines {
			continue
		}
		c.stalledAt = time.Time{}
		w.calls[call] = c
		out = append(out, stalledCall{call: call, source: c.source, age: now.Sub(c.began)})
	}
	return out
}

// logStalledCalls reports the calls that have become stalled.
func (c *Cell) logStalledCalls(now time.Time) {
	for _, s := range c.calls.newlyStalled(now) {
		c.cfg.Logger.Warn().Str("event", "call_stalled").Str("path", s.call.GetAddress().GetPath()).Str("verb", VerbName(s.call.GetVerb())).
			Str("source", s.source).Int64("age_ms", s.age.Milliseconds()).Msg("a call is held here beyond its deadline")
	}
}
