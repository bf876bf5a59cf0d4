package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

// retireWithRun retires worker a as silent although a run was just started on it, and returns the run.
func retireWithRun(h *harness) (a dispatch.Target, first dispatch.StartOrder) {
	h.t.Helper()
	a = h.addWorker("a", 4)
	h.submit(id(1), tasks(1, 1))
	h.plan()
	first = h.acceptStarts()[0]
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{EndLife: &egretmuxv1.EndLife{Worker: a.Worker, BornUnixMs: a.Born}}})
	return a, first
}

// Guards against TWICE: the end of a silent worker's life was stored after a start on it, and the next
// leader started the task at once, while the lease of the first run was valid.
func TestRunOfARetiredWorkerHoldsItsTaskUntilItsLeaseHasExpired(t *testing.T) {
	h := newHarness(t)
	retireWithRun(h)
	h.beginTenure()
	b := h.addWorker("b", 4)
	for h.now < testLease {
		h.advance(100 * time.Millisecond)
		h.handleListing(b, nil, nil)
		h.plan()
		require.Empty(t, h.starts, "%v after the beginning of the tenure", h.now)
	}
}
