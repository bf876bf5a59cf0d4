package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	calmTime        = 4 * time.Second         // after the last fault, from which on no work may wait for maxIdleTime
	longestElection = 1200 * time.Millisecond // twice the election timeout
)

// Guards against a job that waits too long for the lease of its worker, which was lost at the same
// time as the leader: the new leader counts the whole lease from its own beginning.
func TestTaskOfAWorkerThatIsLostWithTheLeaderIsStartedInTime(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", 4)
	h.submit(id(1), tasks(1, 1))
	h.plan()
	require.Len(t, h.acceptStarts(), 1)
	h.beginTenure()
	b := h.addWorker("b", 4)
	for len(h.starts) == 0 && h.now < 2*testLease {
		h.advance(100 * time.Millisecond)
		h.handleListing(b, nil, nil)
		h.plan()
	}
	require.Len(t, h.starts, 1)
	require.LessOrEqual(t, longestElection+h.now, calmTime+maxIdleTime, "since the loss")
}
