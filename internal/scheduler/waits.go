package scheduler

import (
	"time"

	"github.com/egretmux/egretmux/internal/dispatch"
)

// Wait is one of several waits, one after the other, before a bound is met.
type Wait struct {
	Of     string
	Length time.Duration
}

// Sum returns the time that waits take together.
func Sum(waits []Wait) time.Duration {
	sum := time.Duration(0)
	for _, w := range waits {
		sum += w.Length
	}
	return sum
}

// stopHedge covers the time until a stop takes a second path, and the way to the worker.
const stopHedge = 300 * time.Millisecond

// stopWaits returns the waits until a worker has stopped a run, the first stop of which gets no answer on any path.
func stopWaits(stopTimeout time.Duration) []Wait {
	return []Wait{{"stop without an answer", stopWait}, {"second stop", stopHedge}, {"worker", stopTimeout}}
}

// GangWaits returns the waits from the first start of a gang, not all members of which begin, until the others
// have been stopped.
func GangWaits(gangTimeout, stopTimeout time.Duration) []Wait {
	return append([]Wait{{"members to begin", dispatch.FormTimeout(gangTimeout, stopTimeout)}, {"tick", tickPeriod}}, stopWaits(stopTimeout)...)
}

// AdoptedGangWaits returns the same for a gang whose leader is lost as it sends the starts, and which another leader
// stops. Longer losses are disruptions.
func AdoptedGangWaits(election, gangTimeout, stopTimeout time.Duration) []Wait {
	return []Wait{
		{"election", election},
		{"members to be listed", dispatch.AdoptedFormTimeout(gangTimeout, stopTimeout)},
		{"tick", tickPeriod},
		{"stop", stopHedge},
		{"worker", stopTimeout},
	}
}

// CancelWaits returns the waits from the acknowledgement of a cancellation until the runs of the job have been
// stopped.
func CancelWaits(stopTimeout time.Duration) []Wait { return stopWaits(stopTimeout) }

// StartWaits returns the waits from the time at which no start may be sent any more until the last one that was
// sent has begun. The slack is that of orders through other instances. Starts of cancelled jobs, and those on workers
// that drain, are not repeated.
func StartWaits(slack time.Duration) []Wait {
	return []Wait{{"start without an answer", orderTimeout + slack}}
}

// EndWaits returns the waits from the first listing of an end until it is acknowledged, where the answer with it
// does not arrive.
func EndWaits(slack time.Duration) []Wait {
	return []Wait{
		{"poll without an answer", pollWait + orderTimeout + slack},
		{"pause", pollRetryPause},
		{"ends to be stored", endsStoreTimeout},
		{"pause", pollPause},
	}
}
