package leader

import "time"

// ForceLimit is the time within which an accepted contract change must be in
// force everywhere while any one instance is isolated.
const ForceLimit = 14 * time.Second

// ForceBound returns the longest time from an accepted change until it is in
// force everywhere while one instance is isolated, the leader included: an
// election with one repetition, the wait until the leases of an unknown
// leader have ended, and a round of reports. An election begins after one to
// two election times of silence.
func ForceBound(entryLease, election time.Duration) time.Duration {
	const (
		elections = 2
		reports   = 2 * time.Second // the longest a report goes unanswered before it is repeated
	)
	return elections*2*election + outlast(entryLease) + reports
}
