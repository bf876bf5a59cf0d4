package dispatch

import "time"

// clockDrift is the maximum relative drift between the monotonic clocks of a worker
// and of this process; the workers' protocol allows 2%.
const clockDrift = 0.02

// leaseExpiryMargin is added to the time after which a lease has certainly expired. It
// covers the resolution of the workers' clocks.
const leaseExpiryMargin = 50 * time.Millisecond

// lease holds the last reading of a worker's clock and the lease granted to the
// worker on that clock.
//
// A grant counts from a moment at which a quorum confirmed this leader, so it ends
// at most one lease length after that moment. A new leader is elected after that
// moment, so that waiting for inheritedLeaseWait outlasts every grant of its
// predecessors.
type lease struct {
	length       time.Duration
	clockKnown   bool
	clock        int64         // last reading of the worker's clock, milliseconds
	clockReadAt  time.Duration // when the answer with that reading arrived
	grantedUntil int64         // end of the latest grant on the worker's clock, milliseconds
	expiresAt    time.Duration // when the latest grant has certainly expired
}

// observeClock records a reading of the worker's clock that arrived at now.
func (l *lease) observeClock(clock int64, now time.Duration) {
	if l.clockKnown && clock <= l.clock {
		return // an older answer that arrived out of order
	}
	l.clock, l.clockReadAt, l.clockKnown = clock, now, true
}

// grant extends the lease for a leader that was confirmed at the given time, and
// returns its end on the worker's clock. The two clocks may drift by clockDrift, so the
// end on the worker's clock is rounded down, and the time here at which the lease has
// certainly expired is rounded up (1+2*clockDrift is more than 1/(1-clockDrift)).
func (l *lease) grant(confirmedAt time.Duration) int64 {
	confirmedAfterReading := confirmedAt - l.clockReadAt
	if confirmedAfterReading > 0 {
		confirmedAfterReading = time.Duration(float64(confirmedAfterReading) * (1 - clockDrift))
	} else {
		confirmedAfterReading = time.Duration(float64(confirmedAfterReading) * (1 + clockDrift))
	}
	until := l.clock + (confirmedAfterReading + l.length).Milliseconds()
	if until <= l.grantedUntil {
		return l.grantedUntil
	}
	l.grantedUntil = until
	remaining := time.Duration(until-l.clock) * time.Millisecond
	l.expiresAt = max(l.expiresAt, l.clockReadAt+time.Duration(float64(remaining)*(1+2*clockDrift))+leaseExpiryMargin)
	return until
}

// runningUntil returns the end of the latest grant on the worker's clock, and whether the lease may
// still run.
func (l *lease) runningUntil(now time.Duration) (until int64, running bool) {
	clock := l.clock + time.Duration(float64(now-l.clockReadAt)*(1-clockDrift)).Milliseconds()
	return l.grantedUntil, clock < l.grantedUntil
}

// inheritedLeaseWait returns how long a new leader waits until all leases that
// earlier leaders may have granted have certainly expired.
func inheritedLeaseWait(length time.Duration) time.Duration {
	return time.Duration(float64(length)*(1+2*clockDrift)) + leaseExpiryMargin
}
