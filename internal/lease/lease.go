// Package lease computes the durations of leases between machines whose clocks
// are not synchronised and may drift.
package lease

import "time"

const (
	// driftDivisor bounds the clock drift: the clock rates of two machines differ by
	// at most 1/driftDivisor.
	driftDivisor = 20
	safetyMargin = 100 * time.Millisecond
)

// GrantorDuration returns how long the grantor of a lease of length d must wait
// until it has certainly ended at the holder, which measures it by another clock.
func GrantorDuration(d time.Duration) time.Duration { return d + d/driftDivisor + safetyMargin }

// EnforcementDelayLimit is the maximum time from the acceptance of a contract
// change until it must be in force everywhere.
const EnforcementDelayLimit = 14 * time.Second

// MaxEnforcementDelay returns the worst-case time from the acceptance of a
// contract change until it is in force everywhere while any one instance, also
// the leader, is isolated: two elections, as the first may fail, the wait until
// the entry leases granted by an earlier leader have ended, and a round of
// reports. An election begins after one to two election timeouts of silence.
func MaxEnforcementDelay(entryLease, electionTimeout time.Duration) time.Duration {
	const (
		elections     = 2
		reportTimeout = 2 * time.Second // an unanswered report is repeated after at most this time
	)
	return elections*2*electionTimeout + GrantorDuration(entryLease) + reportTimeout
}
