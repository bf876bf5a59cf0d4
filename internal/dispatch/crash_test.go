package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

// crashWorker lets the life of a worker end in a crash, and its next one join after
// three seconds. It returns the next life.
func (h *harness) crashWorker(crashed dispatch.Target) dispatch.Target {
	h.t.Helper()
	h.core.PollUnanswered(crashed)
	h.advance(3 * time.Second)
	next := proto.CloneOf(h.core.Life(crashed))
	next.BornUnixMs++
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{EndLife: &egretmuxv1.EndLife{
		Worker: crashed.Worker, BornUnixMs: crashed.Born, CrashedRuns: h.core.CrashedRuns(crashed),
	}}})
	h.core.WorkerGone(crashed, "replaced", h.now)
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_RecordLife{RecordLife: &egretmuxv1.RecordLife{Life: next}}})
	h.core.WorkerJoined(next, h.now)
	h.endNumbers[next.GetWorker()] = 0
	h.handleListing(targetOf(next), nil, nil)
	return targetOf(next)
}

// noticesOf returns the notices of an event.
func (h *harness) noticesOf(event string) []dispatch.Notice {
	var out []dispatch.Notice
	for _, n := range h.notices {
		if n.Event == event {
			out = append(out, n)
		}
	}
	return out
}

// Guards against logs that cannot tell a task that crashes its worker from one that was
// there by chance: how long each lost run had been there, and how many were lost.
func TestCrashOfAWorkerIsLoggedWithTheAgesOfItsRuns(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	h.submit(id(1), tasks(1, 1))
	h.plan()
	first := h.acceptStarts()
	h.advance(time.Second)
	h.handleListing(a, []dispatch.ListedRun{listedRun(first[0])}, nil)
	h.submit(id(2), tasks(1, 1))
	h.plan()
	h.acceptStarts()
	h.crashWorker(a)
	lost := h.noticesOf("run_lost")
	require.Len(t, lost, 2)
	require.Equal(t, 4*time.Second, lost[0].Age)
	require.Equal(t, 3*time.Second, lost[1].Age)
	gone := h.noticesOf("worker_gone")
	require.Len(t, gone, 1)
	require.Equal(t, 2, gone[0].Lost)
	require.Equal(t, 3*time.Second, gone[0].Age)
}

// startAndCrash plans, accepts the starts and crashes the workers that started a task of
// the job. It returns the starts of that job.
func (h *harness) startAndCrash(deadly string) []dispatch.StartOrder {
	h.t.Helper()
	h.plan()
	var started []dispatch.StartOrder
	for _, s := range h.acceptStarts() {
		if s.Task.Job == deadly {
			started = append(started, s)
		}
	}
	h.advance(40 * time.Millisecond)
	for _, s := range started {
		h.crashWorker(s.Target)
	}
	return started
}

// Guards against a task that crashes each worker that starts it and is started again and
// again: a crash lists no end, so it did not count as an attempt (BUDGET).
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	h := newHarness(t)
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		h.addWorker(name, 4)
	}
	h.submit(id(1), tasks(1, 1))
	crashes := 0
	for range 8 {
		crashes += len(h.startAndCrash(id(1)))
	}
	require.Equal(t, 2, crashes, "two crashed workers are enough to give a task up")
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_FAILED, h.phase(id(1)))
}

// Guards against a count of crashes in the memory of one leader: a task that crashes its
// workers is often started by a leader that is lost soon after.
func TestCrashesAreRememberedByTheNextLeader(t *testing.T) {
	h := newHarness(t)
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		h.addWorker(name, 4)
	}
	h.submit(id(1), tasks(1, 1))
	crashes := 0
	for range 5 {
		crashes += len(h.startAndCrash(id(1)))
		h.beginTenure()
		for _, w := range h.book.Workers() {
			h.handleListing(targetOf(w.Life), nil, nil)
		}
	}
	require.Equal(t, 2, crashes)
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_FAILED, h.phase(id(1)))
}
