package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/dispatch"
)

// Guards against TWICE: a worker that was retired reports itself again with its run, and the leader
// took the run's lease for expired before the next poll.
func TestRunOfAWorkerThatJoinsAgainIsNotGivenUpBeforeItsLeaseHasExpired(t *testing.T) {
	h := newHarness(t)
	a, first := retireWithRun(h)
	h.core.WorkerGone(a, "silent", h.now)
	require.Equal(t, a, h.addWorker("a", 4))
	b := h.addWorker("b", 1)
	h.handleListing(a, []dispatch.ListedRun{listedRun(first)}, nil)
	h.advance(100 * time.Millisecond) // its ends are being stored: the next poll is still to come
	h.handleListing(b, nil, nil)
	h.plan()
	require.Empty(t, h.starts)
}
