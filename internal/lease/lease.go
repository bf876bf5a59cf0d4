// Package lease holds the arithmetic of leases between machines whose clocks
// are not synchronised and may run at slightly different rates.
package lease

import "time"

const (
	// driftPart bounds clock rates: two machines differ by at most 1/driftPart.
	driftPart = 20
	margin    = 100 * time.Millisecond
)

// GrantorDuration returns how long the grantor of a lease of length d waits to be sure
// that it has ended at its holder, who counts it on another clock.
func GrantorDuration(d time.Duration) time.Duration { return d + d/driftPart + margin }

// EnforcementDelayLimit is the time within which an accepted contract change must be in
// force everywhere.
const EnforcementDelayLimit = 14 * time.Second

// MaxEnforcementDelay returns the longest time from an accepted change until it is in
// force everywhere while one instance is isolated, the leader included: an
// election with one repetition, the wait until the entry leases of an unknown
// leader have ended, and a round of reports. An election begins after one to
// two election times of silence.
func MaxEnforcementDelay(entryLease, election time.Duration) time.Duration {
	const (
		elections = 2
		reports   = 2 * time.Second // the longest a report goes unanswered before it is repeated
	)
	return elections*2*election + GrantorDuration(entryLease) + reports
}
