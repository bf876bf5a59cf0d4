package dispatch

import "time"

// clockDrift is the maximum relative drift between the monotonic clocks of a worker
// and of this process; the workers' protocol allows 2%.
const clockDrift = 0.02

// leaseExpiryMargin is added to the time after which a lease has certainly expired. It
// covers the resolution of the workers' clocks.
const leaseExpiryMargin = 50 * time.Millisecond

// lease holds readings of a worker's clock and the lease granted to the worker on that
// clock.
//
// A grant counts from a moment at which a quorum confirmed this leader, so it ends
// at most one lease length after that moment. A new leader is elected after that
// moment, so that waiting for inheritedLeaseWait outlasts every grant of its
// predecessors. It is computed from a reading before that moment: the clock of this
// process may stand still while its machine is suspended, and a reading after the
// suspension would let the moment look more recent than it is.
type lease struct {
	length       time.Duration
	latest       clockReading
	anchor       clockReading  // one from before the latest confirmation, from which grants are computed
	next         clockReading  // the earliest one after anchor that no confirmation is known to follow
	grantedUntil int64         // end of the latest grant on the worker's clock, milliseconds
	expiresAt    time.Duration // when the latest grant has certainly expired
}

// clockReading is a reading of a worker's clock.
type clockReading struct {
	known bool
	clock int64         // milliseconds
	at    time.Duration // when the answer with the reading arrived
}

// observeClock records a reading of the worker's clock that arrived at now.
func (l *lease) observeClock(clock int64, now, confirmedAt time.Duration) {
	if l.latest.known && clock <= l.latest.clock {
		return // an older answer that arrived out of order
	}
	l.latest = clockReading{true, clock, now}
	if !l.next.known {
		l.next = l.latest
	}
	l.confirm(confirmedAt)
}

// confirm takes note of a confirmation of this leader that began at the given time. Readings may
// have arrived since.
func (l *lease) confirm(at time.Duration) {
	switch {
	case l.latest.known && l.latest.at <= at:
		l.anchor, l.next = l.latest, clockReading{}
	case l.next.known && l.next.at <= at:
		l.anchor, l.next = l.next, l.latest
	}
}

// grant extends the lease for a leader that was confirmed at the given time, and
// returns its end on the worker's clock, or zero before the first reading that a confirmation
// follows. The two clocks may drift by clockDrift, so the end on the worker's clock is rounded
// down, and the time here at which the lease has certainly expired is rounded up
// (1+2*clockDrift is more than 1/(1-clockDrift)).
func (l *lease) grant(confirmedAt time.Duration) int64 {
	if !l.anchor.known {
		return 0
	}
	return l.extendTo(l.longestUntil(confirmedAt))
}

// longestUntil returns the end of the longest lease that a leader which was confirmed at the given time may
// grant.
func (l *lease) longestUntil(confirmedAt time.Duration) int64 {
	return l.anchor.clock + (time.Duration(float64(confirmedAt-l.anchor.at)*(1-clockDrift)) + l.length).Milliseconds()
}

// extendTo extends the lease to a moment on the worker's clock, if it ends before, and returns its end.
func (l *lease) extendTo(until int64) int64 {
	if until <= l.grantedUntil {
		return l.grantedUntil
	}
	l.grantedUntil = until
	remaining := time.Duration(until-l.latest.clock) * time.Millisecond
	l.expiresAt = max(l.expiresAt, l.latest.at+time.Duration(float64(remaining)*(1+2*clockDrift))+leaseExpiryMargin)
	return until
}

// grantFor is like grant for a lease that ends about the given time from now. The worker's clock is at least
// as far as the latest reading and the time since then show.
func (l *lease) grantFor(length, confirmedAt, now time.Duration) int64 {
	if !l.anchor.known {
		return 0
	}
	clock := l.latest.clock + time.Duration(float64(now-l.latest.at)*(1-clockDrift)).Milliseconds()
	return l.extendTo(min(l.longestUntil(confirmedAt), clock+length.Milliseconds()))
}

// reserve lets the lease count as running for its full length, before it is granted.
func (l *lease) reserve(now time.Duration) {
	l.expiresAt = max(l.expiresAt, now+inheritedLeaseWait(l.length))
}

// runningUntil returns the end of the latest grant on the worker's clock, and whether the lease may
// still run.
func (l *lease) runningUntil(now time.Duration) (until int64, running bool) {
	clock := l.latest.clock + time.Duration(float64(now-l.latest.at)*(1-clockDrift)).Milliseconds()
	return l.grantedUntil, clock < l.grantedUntil
}

// inheritedLeaseWait returns how long a new leader waits until all leases that
// earlier leaders may have granted have certainly expired.
func inheritedLeaseWait(length time.Duration) time.Duration {
	return time.Duration(float64(length)*(1+2*clockDrift)) + leaseExpiryMargin
}
