package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/dispatch"
)

// reportProgress lists a run every half second for the given time, with a progress
// that starts at from and grows by perSecond.
func (h *harness) reportProgress(s dispatch.StartOrder, from, perSecond float64, d time.Duration) {
	for elapsed := time.Duration(0); elapsed < d; elapsed += 500 * time.Millisecond {
		h.advance(500 * time.Millisecond)
		r := listedRun(s)
		r.ProgressPercent = from + perSecond*(elapsed+500*time.Millisecond).Seconds()
		h.handleListing(s.Target, []dispatch.ListedRun{r}, nil)
	}
	h.advance(0)
}

func TestRunWithoutProgressIsMovedAndItsWorkerBacksOff(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", 4)
	h.submit(id(1), tasks(1, 1))
	h.plan()
	accepted := h.acceptStarts()
	h.reportProgress(accepted[0], 0, 10, 2*time.Second)
	require.Empty(t, h.stops)
	h.reportProgress(accepted[0], 20, 0, 4*time.Second)
	require.Len(t, h.stops, 1)
	h.handleListing(accepted[0].Target, nil, []dispatch.ListedEnd{h.listedEnd(accepted[0], 3)})
	h.storeEnds()
	h.plan()
	require.Empty(t, h.starts, "the worker backs off")
	h.addWorker("b", 4)
	h.plan()
	require.Len(t, h.starts, 1)
	require.Equal(t, "b", h.starts[0].Worker)
}

func TestRunThatOutlastsADrainingWorkerIsMoved(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	h.submit(id(1), tasks(1, 1))
	long := tasks(1, 1)
	long.EstimateMs = 20_000
	h.submit(id(2), long)
	h.plan()
	accepted := h.acceptStarts()
	require.Len(t, accepted, 2)
	h.core.WorkerDraining(a, 2*time.Second, h.now)
	h.advance(100 * time.Millisecond)
	require.Len(t, h.stops, 1)
	require.Equal(t, id(2), h.stops[0].Task.Job)
}

// A run with checkpoints goes on until shortly before its worker leaves.
func TestCheckpointingRunStaysUntilItsWorkerIsAboutToLeave(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	long := tasks(1, 1)
	long.EstimateMs, long.Checkpoints = 20_000, true
	h.submit(id(2), long)
	h.plan()
	h.acceptStarts()
	h.core.WorkerDraining(a, 2*time.Second, h.now)
	h.advance(time.Second)
	require.Empty(t, h.stops)
	h.advance(800 * time.Millisecond)
	require.Len(t, h.stops, 1)
}

func TestFailingWorkerIsProbedWithOneRun(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 8)
	for n := range 3 {
		h.submit(id(n), tasks(1, 1))
	}
	h.plan()
	accepted := h.acceptStarts()
	require.Len(t, accepted, 3)
	h.handleListing(a, nil, []dispatch.ListedEnd{h.listedEnd(accepted[0], failed), h.listedEnd(accepted[1], failed), h.listedEnd(accepted[2], failed)})
	h.storeEnds()
	h.plan()
	require.Empty(t, h.starts)
	h.advance(5 * time.Second)
	h.handleListing(a, nil, nil)
	h.plan()
	require.Len(t, h.starts, 1)
}

// A gang member without progress is not stuck while another member makes progress.
func TestGangMembersThatWaitForTheSlowestAreNotStopped(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 8)
	gang := tasks(2, 1)
	gang.Gang, gang.EstimateMs = true, 20_000
	h.submit(id(1), gang)
	h.plan()
	accepted := h.acceptStarts()
	for n := range 12 {
		h.advance(500 * time.Millisecond)
		waiting, slow := listedRun(accepted[0]), listedRun(accepted[1])
		waiting.ProgressPercent, slow.ProgressPercent = 40, float64(10+n)
		h.handleListing(a, []dispatch.ListedRun{waiting, slow}, nil)
	}
	h.advance(0)
	require.Empty(t, h.stops)
}
