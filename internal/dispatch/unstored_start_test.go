package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

// planUnstored plans and returns the starts, which are not stored yet.
func (h *harness) planUnstored() []dispatch.StartOrder {
	h.core.Plan(h.now)
	actions := h.core.TakeActions()
	h.stops = append(h.stops, actions.Stops...)
	return actions.Starts
}

func (h *harness) storeStart(s dispatch.StartOrder) {
	h.t.Helper()
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_NoteStarts{NoteStarts: &egretmuxv1.NoteStarts{Starts: []*egretmuxv1.RunStart{{
		Job: s.Task.Job, Occurrence: s.Task.Occurrence, Step: s.Task.Step, Index: s.Task.Index, Run: s.Run, Worker: s.Worker, BornUnixMs: s.Born, Superseded: s.Superseded,
	}}}}})
	h.core.StartStored(s)
}

// Guards against TWICE: the start that named a superseded run was not stored before another one took its place, as its
// worker was replaced, or was stored after that one had completed the job. The next leader acknowledged the end of the
// superseded run.
func TestStartThatTakesThePlaceOfAnUnstoredOneNamesItsSupersededRuns(t *testing.T) {
	for _, storedLate := range []bool{true, false} {
		h := newHarness(t)
		a := h.addWorker("a", 4)
		h.submit(id(1), tasks(1, 1))
		h.plan()
		first := h.acceptStarts()[0]
		b := h.addWorker("b", 4)
		h.core.PollUnanswered(a)
		h.advance(testLease + time.Second)
		second := h.planUnstored()[0]
		require.Len(t, second.Superseded, 1)
		h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{EndLife: &egretmuxv1.EndLife{Worker: b.Worker, BornUnixMs: b.Born, Over: true}}})
		h.core.WorkerGone(b, "replaced", h.now)
		h.addWorker("c", 4)
		third := h.planUnstored()[0]
		h.storeStart(third)
		h.core.StartAnswered(third, dispatch.Accepted, h.now, h.now)
		endSecond(h, third)
		if storedLate {
			h.storeStart(second)
		}
		h.beginTenure()
		requireUnacknowledged(h, a, h.listedEnd(first, done))
	}
}

// Guards against runs that are superseded in the log of each later start of their task.
func TestStoredStartNamesItsSupersededRunsOnce(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	h.submit(id(1), tasks(1, 1))
	h.plan()
	h.acceptStarts()
	b := h.addWorker("b", 4)
	h.core.PollUnanswered(a)
	h.advance(testLease + time.Second)
	second := h.planUnstored()[0]
	h.storeStart(second)
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{EndLife: &egretmuxv1.EndLife{Worker: b.Worker, BornUnixMs: b.Born, Over: true}}})
	h.core.WorkerGone(b, "replaced", h.now)
	h.addWorker("c", 4)
	require.Empty(t, h.planUnstored()[0].Superseded)
}
