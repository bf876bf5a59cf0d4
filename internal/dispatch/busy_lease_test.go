package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a lease that gets ever shorter: the clock of a busy worker is read between the
// beginning of each confirmation and its result, so that no latest reading is from before one.
func TestLeaseOfABusyWorkerKeepsItsLength(t *testing.T) {
	const confirmed, read, answered = 300 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond
	h := newHarness(t)
	a := h.addWorker("a", 4)
	for h.now < 10*time.Minute {
		began := h.now
		h.now = began + read
		h.handleListing(a, nil, nil)
		h.now = began + answered
		h.core.LeaderConfirmed(began)
		until, _ := h.core.GrantLease(a)
		left := time.Duration(until-1000)*time.Millisecond - began // on the worker's clock, which runs as this one
		require.Greater(t, left, testLease*9/10, "%v after the beginning of the tenure", h.now)
		require.LessOrEqual(t, left, testLease)
		h.now = began + confirmed
	}
}
