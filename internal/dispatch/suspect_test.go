package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

// crashUnder starts the only waiting task, a run of the job, and crashes its worker after the given time.
func (h *harness) crashUnder(job string, after time.Duration) {
	h.t.Helper()
	h.plan()
	started := h.acceptStarts()
	require.Len(h.t, started, 1)
	require.Equal(h.t, job, started[0].Task.Job)
	for waited := time.Duration(0); waited < after; waited += 100 * time.Millisecond {
		h.advance(100 * time.Millisecond)
		h.handleListing(started[0].Target, []dispatch.ListedRun{listedRun(started[0])}, nil)
	}
	h.crashWorker(started[0].Target)
}

// newHarnessWithAnIsolatedRun returns a harness with a worker of 16 cores and three of 4, of which the
// first is isolated for the whole run of job 1, as two workers have crashed under it. The quarter of the pool
// that may be isolated is used up.
func newHarnessWithAnIsolatedRun(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	h.addWorker("a", 16)
	for _, name := range []string{"b", "c", "d"} {
		h.addWorker(name, 4)
	}
	h.submit(id(1), tasks(1, 5))
	h.crashUnder(id(1), time.Second)
	h.crashUnder(id(1), time.Second)
	h.plan()
	isolated := h.acceptAll()
	require.Len(t, isolated, 1)
	require.Equal(t, "a", isolated[0].Worker)
	h.advance(time.Second)
	h.handlePresent()
	return h
}

// Guards against a job that waits for as long as another task that was under crashes works: once the
// worker under it had crashed it started only isolated, and the share of isolated workers was used up.
func TestSuspectDoesNotWaitForIsolatedRunsToEnd(t *testing.T) {
	h := newHarnessWithAnIsolatedRun(t)
	h.submit(id(2), tasks(1, 1))
	h.crashUnder(id(2), 0)
	require.Less(t, h.idleTime(id(2)), maxIdleTime)
}

// Guards against a job that waits for as long as a suspect works on the only worker that suits it.
func TestJobDoesNotWaitForTheIsolatedRunOnTheOnlyWorkerThatSuits(t *testing.T) {
	h := newHarnessWithAnIsolatedRun(t)
	h.submit(id(2), tasks(1, 5))
	h.plan()
	require.Empty(t, h.starts, "a preference as long as the job can wait")
	require.Less(t, h.idleTime(id(2)), maxIdleTime)
}

// Guards against the same for a gang, which asked for no tickets while too few workers were open.
func TestGangDoesNotWaitForTheIsolatedRunOnAWorkerThatItNeeds(t *testing.T) {
	h := newHarnessWithAnIsolatedRun(t)
	gang := tasks(2, 5)
	gang.Gang = true
	h.submit(id(2), gang)
	require.Less(t, h.idleTime(id(2)), maxIdleTime)
}

// Guards against a pool that is closed to all others by a gang: each member under which workers had crashed
// isolated its worker, whatever the share of isolated workers.
func TestGangOfSuspectsLeavesMostWorkersOpen(t *testing.T) {
	h := newHarness(t)
	targets := make(map[string]dispatch.Target)
	for _, name := range []string{"a", "b", "c", "d"} {
		targets[name] = h.addWorker(name, 4)
	}
	gang := tasks(4, 1)
	gang.Gang, gang.MaxPerWorker = true, 1
	h.submit(id(1), gang)
	for crash := range 2 {
		h.plan()
		started := h.acceptStarts()
		require.Len(t, started, 4)
		h.advance(time.Second)
		for _, s := range started {
			h.handleListing(s.Target, []dispatch.ListedRun{listedRun(s)}, nil)
		}
		for _, s := range started {
			targets[s.Worker] = h.crashWorker(s.Target)
		}
		require.NotEqual(t, egretmuxv1.JobPhase_JOB_PHASE_FAILED, h.phase(id(1)), "crash %d", crash)
	}
	h.plan()
	require.Len(t, h.acceptAll(), 4)
	h.advance(time.Second)
	h.handlePresent()
	h.submit(id(2), tasks(9, 1))
	h.plan()
	require.Len(t, h.acceptAll(), 9, "a quarter of the pool is isolated")
}

// Guards against a lasting task that waits for an isolation in a pool of which more than half is in use.
func TestLastingSuspectDoesNotWaitForIsolatedRunsToEndInABusyPool(t *testing.T) {
	h := newHarnessWithAnIsolatedRun(t)
	lasting := tasks(1, 1)
	lasting.LongRunning = true
	h.submit(id(2), lasting)
	h.crashUnder(id(2), 0)
	h.submit(id(3), tasks(9, 1))
	h.plan()
	require.Len(t, h.acceptAll(), 9)
	require.Less(t, h.idleTime(id(2)), maxIdleTime)
}
