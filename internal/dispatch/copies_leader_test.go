package dispatch_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

// copiedTask returns a harness in which the only task of a speculative step, which has two
// attempts, runs as run 1 and, on another worker, as run 2.
func copiedTask(t *testing.T) (h *harness, runs map[uint64]dispatch.StartOrder) {
	t.Helper()
	h = newHarness(t)
	workers := []dispatch.Target{h.addWorker("w", 10), h.addWorker("w2", 10), h.addWorker("w3", 10)}
	step := tasks(1, 4)
	step.Speculative = true
	h.submit(id(1), step)
	h.plan()
	original := h.acceptStarts()[0]
	copied := original
	copied.Run, copied.Target = 2, workers[1]
	if original.Worker == copied.Worker {
		copied.Target = workers[0]
	}
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_NoteStarts{NoteStarts: &egretmuxv1.NoteStarts{Starts: []*egretmuxv1.RunStart{
		{Job: id(1), Run: 2, Worker: copied.Worker, BornUnixMs: copied.Born},
	}}}})
	h.handleListing(copied.Target, []dispatch.ListedRun{listedRun(copied)}, nil)
	return h, map[uint64]dispatch.StartOrder{1: original, 2: copied}
}

// Failure: the leader is lost while a task has a copy, before or after the end of one of them.
// Each failure counts once, and no third run starts while the end of one of the two is unknown.
func TestNewLeaderCountsTheEndsOfARunAndOfItsCopy(t *testing.T) {
	type runEnd struct {
		run     uint64
		outcome egretmuxv1.RunOutcome
	}
	for name, c := range map[string]struct {
		ends  []runEnd
		phase egretmuxv1.JobPhase
	}{
		"run fails, then copy": {[]runEnd{{1, failed}, {2, failed}}, egretmuxv1.JobPhase_JOB_PHASE_FAILED},
		"copy fails, then run": {[]runEnd{{2, failed}, {1, failed}}, egretmuxv1.JobPhase_JOB_PHASE_FAILED},
		"run fails, copy done": {[]runEnd{{1, failed}, {2, done}}, egretmuxv1.JobPhase_JOB_PHASE_COMPLETED},
		"copy fails, run done": {[]runEnd{{2, failed}, {1, done}}, egretmuxv1.JobPhase_JOB_PHASE_COMPLETED},
		"run done, copy fails": {[]runEnd{{1, done}, {2, failed}}, egretmuxv1.JobPhase_JOB_PHASE_COMPLETED},
	} {
		for lostAfter := range 2 {
			t.Run(name, func(t *testing.T) {
				h, runs := copiedTask(t)
				for i, e := range c.ends {
					if i == lostAfter {
						h.beginTenure()
						require.Empty(t, h.newStarts())
					}
					ended := []dispatch.ListedEnd{h.listedEnd(runs[e.run], e.outcome)}
					h.handleListing(runs[e.run].Target, nil, ended)
					h.storeEnds()
					require.Empty(t, h.newStarts(), "after end %d", i+1)
				}
				require.Equal(t, c.phase, h.phase(id(1)))
			})
		}
	}
}

// Failure: as before, and the worker of one run is out of reach until its lease has expired and
// the task was started again. A failure that it lists late counts, and only once.
func TestLateFailureOfASupersededRunCountsOnce(t *testing.T) {
	h, runs := copiedTask(t)
	h.beginTenure()
	h.handleListing(runs[2].Target, nil, []dispatch.ListedEnd{h.listedEnd(runs[2], failed)})
	h.storeEnds()
	h.advance(2 * testLease)
	third := h.newStarts()
	require.Len(t, third, 1)
	late := []dispatch.ListedEnd{h.listedEnd(runs[1], failed)}
	h.handleListing(runs[1].Target, nil, late)
	h.handleListing(runs[1].Target, nil, late)
	h.storeEnds()
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_FAILED, h.phase(id(1)))
}
