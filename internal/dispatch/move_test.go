package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
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
	h.handleListing(accepted[0].Target, nil, []dispatch.ListedEnd{h.listedEnd(accepted[0], 3)}) // RUN_OUTCOME_STOPPED
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

// failingWorker returns a harness with a worker of 16 cores that runs tasks of other jobs,
// with run numbers as started, and on which three runs have ended failed or, if stuck, one has
// shown no progress.
func failingWorker(t *testing.T, stuck bool, others ...*egretmuxv1.JobStep) (h *harness, a dispatch.Target) {
	t.Helper()
	h = newHarness(t)
	a = h.addWorker("a", 16)
	for n, step := range others {
		h.submit(id(100+n), step)
	}
	h.plan()
	h.acceptAll()
	h.handlePresent()
	h.submit(id(1), tasks(3, 1))
	h.plan()
	runs := h.acceptStarts()
	require.Len(t, runs, 3)
	present := func(more ...dispatch.StartOrder) (running []dispatch.ListedRun) {
		for _, s := range append(more, h.present...) {
			running = append(running, dispatch.ListedRun{Task: s.Task, Run: s.Run, ProgressPercent: h.now.Seconds()})
		}
		return running
	}
	if !stuck {
		var ends []dispatch.ListedEnd
		for _, s := range runs {
			ends = append(ends, h.listedEnd(s, failed))
		}
		h.handleListing(a, present(), ends)
	} else {
		for range 20 { // without progress of the three runs
			h.advance(100 * time.Millisecond)
			h.core.GrantLease(a)
			running := present()
			for _, s := range runs {
				running = append(running, listedRun(s))
			}
			h.handleListing(a, running, nil)
		}
		require.Len(t, h.stops, 3)
		var ends []dispatch.ListedEnd
		for _, s := range runs {
			ends = append(ends, h.listedEnd(s, egretmuxv1.RunOutcome_RUN_OUTCOME_STOPPED))
		}
		h.handleListing(a, present(), ends)
	}
	h.storeEnds()
	h.core.JobEnded(id(1), "cancelled")
	h.submit(id(2), tasks(8, 1))
	h.plan()
	require.Empty(t, h.starts, "the worker rests")
	return h, a
}

// pass plays time in which the runs that are present make progress, and plans.
func (h *harness) pass(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.advance(100 * time.Millisecond)
		h.handlePresent()
		h.plan()
	}
}

// Guards against workers that stay closed for ever: a failing worker was to get a run once those
// that it had were over, but it had a task that lasts.
func TestFailingWorkerIsProbedBesideRunsThatGoOn(t *testing.T) {
	lasting := tasks(1, 1)
	lasting.LongRunning = true
	long := tasks(1, 1)
	long.EstimateMs = 3_600_000
	for name, c := range map[string]struct {
		stuck bool
		other *egretmuxv1.JobStep
	}{
		"failed runs beside a task that lasts":           {false, lasting},
		"failed runs beside a long one":                  {false, long},
		"runs without progress beside a task that lasts": {true, lasting},
	} {
		t.Run(name, func(t *testing.T) {
			h, _ := failingWorker(t, c.stuck, c.other)
			h.pass(4500 * time.Millisecond)
			require.Len(t, h.starts, 1, "one run probes the worker")
			h.endOne(h.acceptAll()[0])
			require.Len(t, h.starts, 7, "it was done")
		})
	}
}

// Guards against workers that stay closed for as long as a probe takes.
func TestFailingWorkerGetsMoreProbesAsNoneFails(t *testing.T) {
	h, _ := failingWorker(t, false)
	for period, probes := range []int{1, 1, 2, 4} { // in all: 1, 2, 4, 8
		h.pass(4100 * time.Millisecond)
		require.Len(t, h.starts, probes, "probe period %d", period)
		h.acceptAll()
	}
}

// A probe that fails closes the worker again, whatever other probes it has.
func TestProbeThatFailsLetsItsWorkerRestAgain(t *testing.T) {
	h, a := failingWorker(t, false)
	h.pass(4500 * time.Millisecond)
	probes := h.acceptAll()
	require.Len(t, probes, 1)
	h.pass(4500 * time.Millisecond)
	probes = append(probes, h.acceptAll()...)
	require.Len(t, probes, 2)
	h.handleListing(a, []dispatch.ListedRun{listedRun(probes[1])}, []dispatch.ListedEnd{h.listedEnd(probes[0], failed)})
	h.storeEnds()
	h.present = probes[1:]
	h.pass(3900 * time.Millisecond)
	require.Empty(t, h.starts)
	h.pass(600 * time.Millisecond)
	require.Len(t, h.starts, 1, "as at first, beside one that has not failed for a while")
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
