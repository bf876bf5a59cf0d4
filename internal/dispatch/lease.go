package dispatch

import "time"

// clockDrift is the relative error between the steady clocks of a worker and of
// this process; the workers' protocol allows 2%.
const clockDrift = 0.02

// lapseMargin is added to the time after which a lease has certainly ended; it
// covers the resolution of the workers' clocks.
const lapseMargin = 50 * time.Millisecond

// lease keeps what is known of a worker's clock and what was granted on it.
//
// A grant counts from a moment at which a quorum confirmed this leader, so it
// ends at most one lease after that moment. A new leader, elected after it, can
// wait it out without having heard of it.
type lease struct {
	length   time.Duration
	known    bool
	clock    int64         // worker's clock, milliseconds
	readAt   time.Duration // when an answer with that clock arrived
	granted  int64         // highest grant, on the worker's clock
	lapsesAt time.Duration // when the highest grant has certainly ended
}

// observe takes up a clock reading that arrived at now.
func (l *lease) observe(clock int64, now time.Duration) {
	if l.known && clock <= l.clock {
		return // an older answer, overtaken on the way
	}
	l.clock, l.readAt, l.known = clock, now, true
}

// grant returns the lease's end on the worker's clock for a leader that was
// confirmed at the given time.
func (l *lease) grant(confirmed time.Duration) int64 {
	since := confirmed - l.readAt
	if since > 0 {
		since = time.Duration(float64(since) * (1 - clockDrift))
	} else {
		since = time.Duration(float64(since) * (1 + clockDrift))
	}
	until := l.clock + (since + l.length).Milliseconds()
	if until <= l.granted {
		return l.granted
	}
	l.granted = until
	left := time.Duration(until-l.clock) * time.Millisecond
	l.lapsesAt = max(l.lapsesAt, l.readAt+time.Duration(float64(left)*(1+2*clockDrift))+lapseMargin)
	return until
}

// waitOut returns how long a new leader waits for leases that earlier leaders
// may have granted.
func waitOut(length time.Duration) time.Duration {
	return time.Duration(float64(length)*(1+2*clockDrift)) + lapseMargin
}
