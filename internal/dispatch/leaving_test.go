package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/dispatch"
)

// Guards against a task that runs twice: its worker has announced its end, and runs on until it has ended,
// or until its lease has.
func TestTaskOfAWorkerThatLeavesIsNotStartedElsewhereWhileItMayRun(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	h.submit(id(1), tasks(1, 1))
	h.plan()
	started := h.acceptStarts()
	require.Len(t, started, 1)
	b := h.addWorker("b", 4)
	require.True(t, h.core.MayRun(a))
	h.core.WorkerLeft(a, true, h.now)
	left := h.now
	for h.now-left < 2*time.Second { // it does not get the stop, and lists the run
		h.advance(100 * time.Millisecond)
		until, _ := h.core.GrantLease(a)
		require.Zero(t, until, "its lease is not extended")
		h.handleListing(a, []dispatch.ListedRun{listedRun(started[0])}, nil)
		h.handleListing(b, nil, nil)
		h.plan()
		require.Empty(t, h.starts)
		require.Empty(t, h.core.WorkersThatLeft())
	}
	for len(h.starts) == 0 && h.now-left < 2*testLease {
		h.advance(100 * time.Millisecond)
		h.handleListing(b, nil, nil)
		h.plan()
	}
	require.Len(t, h.starts, 1)
	require.Equal(t, "b", h.starts[0].Worker)
	require.Greater(t, h.now-left, testLease/2)
	require.Equal(t, []dispatch.Left{{Target: a, Over: true}}, h.core.WorkersThatLeft())
}
