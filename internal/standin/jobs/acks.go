package jobs

import (
	"fmt"
	"time"
)

// ackTimeout is the steady time after which an acknowledgement is overdue (ack_timeout_ms).
const ackTimeout = 5 * time.Second

// ackKind is what is acknowledged.
type ackKind int

const (
	listedEnds ackKind = iota
	leaves
	cancels
	ackKinds
)

// ackRules are the names of the kinds, and the shares above which overdue acknowledgements are a violation, from
// a number on.
var ackRules = [ackKinds]struct {
	name   string
	share  float64
	fewest int
}{
	listedEnds: {"ends that runners list", 0.2, 1},
	leaves:     {"runners that leave", 0.2, 1},
	cancels:    {"cancelled jobs", 0.1, 3},
}

// awaited is an acknowledgement that somebody waits for.
type awaited struct {
	of             string
	since          time.Time // when it was first asked for
	answered, over time.Time // when it came, and when nobody waited for it any more
}

// await records that an acknowledgement is asked for.
func (l *Ledger) await(kind ackKind, format string, args ...any) *awaited {
	a := &awaited{of: fmt.Sprintf(format, args...), since: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.awaited[kind] = append(l.awaited[kind], a)
	return a
}

// settle records that an acknowledgement came, or that nobody waits for it any more. It does nothing for one that
// was not asked for.
func (l *Ledger) settle(a *awaited, answered bool) {
	if a == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !a.over.IsZero() {
		return
	}
	a.over = time.Now()
	if answered {
		a.answered = a.over
	}
}

// AckCounts are numbers of acknowledgements of one kind.
type AckCounts struct {
	Kind    string
	Judged  int
	Overdue []string // those without an answer for ackTimeout of one steady stretch
	Slowest time.Duration
}

// JudgeAcknowledgements judges the acknowledgements that were asked for so far. It records a violation for each
// kind of which too large a share is overdue.
func (l *Ledger) JudgeAcknowledgements() []AckCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.closeStretch(now)
	counts := make([]AckCounts, ackKinds)
	for kind, rule := range ackRules {
		c := &counts[kind]
		c.Kind = rule.name
		for _, a := range l.awaited[kind] {
			judged, overdue := l.judgeAck(ackKind(kind), a, now)
			if !judged {
				continue
			}
			c.Judged++
			if overdue {
				c.Overdue = append(c.Overdue, fmt.Sprintf("%s, asked for at %s, answered at %s", a.of, clock(a.since), clock(a.answered)))
			}
			c.Slowest = max(c.Slowest, l.steadyFor(a.since, a.until(now)))
		}
		if len(c.Overdue) >= rule.fewest && float64(len(c.Overdue)) > rule.share*float64(c.Judged) {
			l.addViolationLocked("ACKS %s: %d of %d not acknowledged in %v of one steady stretch, the first: %s", rule.name, len(c.Overdue), c.Judged, ackTimeout, c.Overdue[0])
		}
	}
	return counts
}

// until returns when the wait for an acknowledgement ended, or now.
func (a *awaited) until(now time.Time) time.Time {
	if a.over.IsZero() {
		return now
	}
	return a.over
}

// judgeAck reports whether an acknowledgement counts, and whether it is overdue. The caller holds l.mu.
func (l *Ledger) judgeAck(kind ackKind, a *awaited, now time.Time) (judged, overdue bool) {
	until := a.until(now)
	overdue = l.steadyFor(a.since, until) >= ackTimeout
	if kind == leaves { // of runners that say so in steady state, one that ends without an answer is overdue at any time
		whole := until.Sub(a.since)
		steady := l.steadyFor(a.since, a.since.Add(time.Nanosecond)) > 0
		overdue = overdue || (!a.over.IsZero() && a.answered.IsZero() && l.steadyFor(a.since, until) == whole)
		return steady && (overdue || !a.answered.IsZero()), overdue
	}
	return overdue || !a.answered.IsZero(), overdue
}

// defaultStopTimeout is the longest time that a stop takes, unless SetStopTimeout sets another one.
const defaultStopTimeout = 900 * time.Millisecond

// SetStopTimeout sets the longest time that a stop takes (stop_timeout_ms).
func (l *Ledger) SetStopTimeout(timeout time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopTimeout = timeout
}

// JudgeCancelledRuns records a violation for each run of a job that went on for cancelTime and the time of a stop
// of one steady stretch after its cancellation was acknowledged. It returns the number of runs that it judged, and
// the longest such time.
func (l *Ledger) JudgeCancelledRuns() (judged int, longest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.closeStretch(now)
	bound := cancelTime + l.stopTimeout
	for t, runs := range l.runs {
		j := l.submitted[t.Job]
		if j == nil || j.CancelAcknowledged.IsZero() {
			continue
		}
		for _, r := range runs {
			from, until := j.CancelAcknowledged, now
			if r.began.Sub(from) > cancelTime {
				from = r.began
			}
			if r.late {
				from = latest(from, r.began.Add(contactTime))
			}
			if r.ended {
				until = r.over
			}
			if !until.After(from) {
				continue
			}
			judged++
			steady := l.steadyFor(from, until)
			longest = max(longest, steady)
			if steady > bound {
				l.addViolationLocked("UNASKED %v run %d on %s: it went on for %v of one steady stretch after the cancellation was acknowledged at %s", t, r.number, r.runner, steady.Round(time.Millisecond), clock(j.CancelAcknowledged))
			}
		}
	}
	return judged, longest
}
