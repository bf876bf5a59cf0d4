package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

const stopped = egretmuxv1.RunOutcome_RUN_OUTCOME_STOPPED

// startOne starts a task on worker a, beside an idle worker b. The start is not answered yet.
func startOne(h *harness) (first dispatch.StartOrder) {
	h.t.Helper()
	h.addWorker("a", 4)
	h.submit(id(1), tasks(1, 1))
	h.advance(time.Second)
	h.plan()
	require.Len(h.t, h.starts, 1)
	first, h.starts = h.starts[0], nil
	h.addWorker("b", 4)
	return first
}

// Guards against TWICE: a listing that was requested before a start was accepted, and lacks its run, was taken for a proof
// that it is not there.
func TestListingThatWasRequestedBeforeAnAcceptedStartProvesNoAbsence(t *testing.T) {
	h := newHarness(t)
	first := startOne(h)
	asked := h.now
	h.now += 10 * time.Millisecond
	h.core.StartAnswered(first, dispatch.Accepted, asked, h.now)
	h.now += 10 * time.Millisecond
	h.core.HandleListing(first.Target, asked, h.now, dispatch.Listing{Clock: 1000 + h.now.Milliseconds(), Complete: true})
	h.plan()
	require.Empty(t, h.starts)
}

// Guards against TWICE: a stop without an answer was taken for one that the worker has carried out, while the start, which
// was not answered either, may still arrive.
func TestListingAfterAStopWithoutAnswerProvesNoAbsence(t *testing.T) {
	h := newHarness(t)
	first := startOne(h)
	h.core.StartAnswered(first, dispatch.Unanswered, h.now, h.now)
	h.takeActions()
	require.Len(t, h.stops, 1)
	h.now += 10 * time.Millisecond
	require.False(t, h.core.StopAnswered(h.stops[0], false, h.now))
	h.takeActions()
	require.Len(t, h.stops, 2, "the stop is repeated")
	h.now += 10 * time.Millisecond
	h.handleListing(first.Target, nil, nil)
	h.plan()
	require.Empty(t, h.starts)
}

// Guards against TWICE: a refusal that came after the listing of its run, as one of two tries was refused, removed the run.
func TestRefusalOfAStartWhoseRunIsListedRemovesNoRun(t *testing.T) {
	for _, answer := range []dispatch.StartResult{dispatch.NoRoom, dispatch.OldRun, dispatch.LeaseTooOld, dispatch.WorkerUnhealthy} {
		h := newHarness(t)
		first := startOne(h)
		h.handleListing(first.Target, []dispatch.ListedRun{listedRun(first)}, nil)
		h.core.StartAnswered(first, answer, h.now, h.now)
		h.plan()
		require.Empty(t, h.starts, "%v", answer)
	}
}

// Guards against TWICE: a run whose end, as done, is being stored was taken for absent as a listing lacks it.
func TestRunWhoseEndIsBeingStoredIsNotTakenForAbsent(t *testing.T) {
	h := newHarness(t)
	first := startOne(h)
	h.core.StartAnswered(first, dispatch.Accepted, h.now, h.now)
	h.advance(10 * time.Millisecond)
	h.handleListing(first.Target, nil, []dispatch.ListedEnd{h.listedEnd(first, done)})
	h.advance(10 * time.Millisecond)
	h.handleListing(first.Target, nil, nil)
	h.plan()
	require.Empty(t, h.starts)
}

// Guards against TWICE: of two runs of a task that may go on unheard, one was listed, and the task was not held for the other
// one's lease any more.
func TestTaskIsHeldForAnUnheardRunAlsoOnceAnotherOneIsListed(t *testing.T) {
	h := newHarness(t)
	h.addWorker("c", 1)
	a := h.addWorker("a", 4)
	h.submit(id(1), tasks(1, 1))
	first := dispatch.StartOrder{Target: a, Task: dispatch.TaskKey{StepKey: dispatch.StepKey{Job: id(1)}}, Run: 1}
	for run, worker := range map[uint64]string{1: "a", 2: "b"} { // worker b was retired
		h.store(dispatch.StartOrder{Target: dispatch.Target{Worker: worker, Born: 1}, Task: first.Task, Run: run})
	}
	h.beginTenure()
	h.handleListing(dispatch.Target{Worker: "c", Born: 1}, nil, nil)
	h.handleListing(a, []dispatch.ListedRun{listedRun(first)}, nil)
	h.advance(10 * time.Millisecond)
	h.handleListing(a, nil, []dispatch.ListedEnd{h.listedEnd(first, stopped)})
	h.storeEnds()
	for h.now < testLease {
		h.advance(100 * time.Millisecond)
		h.handleListing(a, nil, nil)
		h.plan()
		require.Empty(t, h.starts, "%v after the beginning of the tenure", h.now)
	}
	h.advance(time.Second)
	h.handleListing(a, nil, nil)
	h.plan()
	require.Len(t, h.starts, 1)
}

// Guards against TWICE: of two given-up runs of a task on one worker, one was listed after all, and the next start did not
// name the other one as superseded.
func TestStartNamesOnlyTheUnheardRunsThatWereNotListed(t *testing.T) {
	h := newHarness(t)
	first := startOne(h)
	a := first.Target
	h.core.StartAnswered(first, dispatch.OldRun, h.now, h.now)
	h.core.PollUnanswered(dispatch.Target{Worker: "b", Born: 1})
	h.advance(10 * time.Second)
	h.handleListing(a, nil, nil)
	h.plan()
	require.Len(t, h.starts, 1)
	second := h.starts[0]
	h.starts = nil
	require.Equal(t, a, second.Target)
	require.Len(t, second.Superseded, 1)
	require.Equal(t, first.Run, second.Superseded[0].GetRun())

	h.core.StartAnswered(second, dispatch.Accepted, h.now, h.now)
	h.advance(10 * time.Millisecond)
	h.handleListing(a, nil, nil) // it lacks the second run
	h.advance(10 * time.Millisecond)
	h.handleListing(a, []dispatch.ListedRun{listedRun(second)}, nil) // after all
	h.advance(10 * time.Millisecond)
	h.handleListing(a, nil, []dispatch.ListedEnd{h.listedEnd(second, failed)})
	h.storeEnds()
	h.advance(10 * time.Second)
	h.handleListing(a, nil, nil)
	h.plan()
	require.Len(t, h.starts, 1)
	require.Empty(t, h.starts[0].Superseded, "its end has counted")
}

// Guards against TWICE: the next leader took in a superseded run that its worker still listed, and let its end count.
func TestSupersededRunThatIsListedToTheNextLeaderIsStoppedAndDoesNotCount(t *testing.T) {
	h := newHarness(t)
	a, end, second := superseded(h, done)
	h.beginTenure()
	h.handleListing(second.Target, []dispatch.ListedRun{listedRun(second)}, nil)
	h.handleListing(a, []dispatch.ListedRun{{Task: end.Task, Run: end.Run}}, nil)
	require.Len(t, h.stops, 1)
	require.Equal(t, a, h.stops[0].Target)
	requireUnacknowledged(h, a, end)
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED, h.phase(id(1)))
}

// Guards against a gang that starts in part: some members of its former run are still being stopped, or may go on under the
// lease of a worker that is not known.
func TestGangDoesNotStartWhileAMemberOfItsFormerRunMayGoOn(t *testing.T) {
	start := func(h *harness) (a, b dispatch.StartOrder) {
		h.addWorker("a", 2)
		h.addWorker("b", 2)
		h.submit(id(1), gang(2, 2))
		h.plan()
		started := h.acceptStarts()
		require.Len(t, started, 2)
		h.addWorker("c", 8)
		if started[0].Worker == "b" {
			return started[1], started[0]
		}
		return started[0], started[1]
	}
	t.Run("being stopped", func(t *testing.T) {
		h := newHarness(t)
		a, b := start(h)
		h.handleListing(a.Target, nil, []dispatch.ListedEnd{h.listedEnd(a, failed)})
		h.storeEnds()
		h.handleListing(b.Target, []dispatch.ListedRun{listedRun(b)}, nil)
		h.plan()
		require.Empty(t, h.starts)
		h.handleListing(b.Target, nil, []dispatch.ListedEnd{h.listedEnd(b, stopped)})
		h.storeEnds()
		h.plan()
		require.Len(t, h.starts, 2)
		for _, again := range h.starts {
			require.Equal(t, a.Run+1, again.Run, "all members under one new number")
		}
	})
	t.Run("held", func(t *testing.T) {
		h := newHarness(t)
		a, b := start(h)
		h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{EndLife: &egretmuxv1.EndLife{Worker: b.Worker, BornUnixMs: b.Born}}})
		h.beginTenure()
		c := targetOf(life("c", 8))
		for h.now < testLease {
			h.advance(100 * time.Millisecond)
			h.handleListing(c, nil, nil)
			h.handleListing(a.Target, nil, nil)
			h.plan()
			require.Empty(t, h.starts, "%v after the beginning of the tenure", h.now)
		}
		h.advance(time.Second)
		h.handleListing(c, nil, nil)
		h.plan()
		require.Len(t, h.starts, 2)
	})
}

// Guards against TWICE: the lease of a worker expired while the end of its run, as done, was being stored, and the run was
// given up.
func TestRunWhoseEndIsBeingStoredIsNotGivenUpWithTheLease(t *testing.T) {
	h := newHarness(t)
	first := startOne(h)
	h.core.StartAnswered(first, dispatch.Accepted, h.now, h.now)
	h.handleListing(first.Target, nil, []dispatch.ListedEnd{h.listedEnd(first, done)})
	h.core.PollUnanswered(first.Target)
	h.advance(2 * testLease)
	h.handleListing(targetOf(life("b", 4)), nil, nil)
	h.plan()
	require.Empty(t, h.starts)
	h.storeEnds()
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_COMPLETED, h.phase(id(1)))
}

// Guards against TWICE: two heartbeats of a new life were stored one after the other, and the second one replaced the worker
// with its runs.
func TestLifeThatIsStoredAgainKeepsItsRuns(t *testing.T) {
	h := newHarness(t)
	first := startOne(h)
	h.core.WorkerJoined(life("a", 4), h.now)
	require.True(t, h.core.MayRun(first.Target))
	require.True(t, h.core.StartWanted(first))
}

// Guards against TWICE: a worker was retired while a run was there, or its lease had not expired.
func TestWorkerIsRetiredOnlyOnceNothingCanRunThere(t *testing.T) {
	const limit = time.Second
	t.Run("silent with a run", func(t *testing.T) {
		h := newHarness(t)
		first := startOne(h)
		h.core.StartAnswered(first, dispatch.Accepted, h.now, h.now)
		later := h.now + 2*testLease // no tick has given the run up yet
		require.NotContains(t, h.core.WorkersSilentFor(limit, later), first.Target)
		require.False(t, h.core.RetireSilent(first.Target, limit, later))
	})
	t.Run("silent with a lease", func(t *testing.T) {
		h := newHarness(t)
		a := h.addWorker("a", 4)
		h.advance(10 * time.Second)
		h.handleListing(a, nil, nil)
		h.advance(time.Millisecond)
		until, _ := h.core.GrantLease(a)
		require.Positive(t, until)
		for 1000+h.now.Milliseconds() < until {
			require.False(t, h.core.RetireSilent(a, limit, h.now), "%v", h.now)
			h.now += 100 * time.Millisecond
		}
		require.True(t, h.core.RetireSilent(a, limit, h.now+time.Second))
	})
	t.Run("left with a run", func(t *testing.T) {
		h := newHarness(t)
		first := startOne(h)
		h.core.WorkerLeft(first.Target, true, h.now)
		require.False(t, h.core.RetireLeft(first.Target))
	})
	t.Run("left without a run", func(t *testing.T) {
		h := newHarness(t)
		a := h.addWorker("a", 4)
		h.core.WorkerLeft(a, true, h.now)
		require.True(t, h.core.RetireLeft(a))
		h.handleListing(a, nil, []dispatch.ListedEnd{{Number: 1, Run: 1, Outcome: done, TaskParsed: true}})
		require.Empty(t, h.endBatches, "the end of its life is being stored")
	})
}

// Guards against TWICE: a leader that finds the worker of a stored run gone gave the next start the number of that run. The
// log does not take such a start, so that the next leader would not know of it.
func TestNextLeaderNumbersStartsAfterTheStoredRunOfARetiredWorker(t *testing.T) {
	h := newHarness(t)
	_, first := retireWithRun(h)
	h.beginTenure()
	b := h.addWorker("b", 4)
	h.advance(testLease + time.Second)
	h.handleListing(b, nil, nil)
	h.plan()
	require.Len(t, h.starts, 1)
	require.Greater(t, h.starts[0].Run, first.Run)
}

// Guards against TWICE: the stored run of a former life, which is not known to be over, was taken for one of the life that
// the log holds, and for absent as that lists no runs.
func TestRunOfAFormerLifeIsNotProvenAbsentByTheListingOfTheNextOne(t *testing.T) {
	h := newHarness(t)
	_, first := retireWithRun(h)
	next := life("a", 4)
	next.BornUnixMs = 2
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_RecordLife{RecordLife: &egretmuxv1.RecordLife{Life: next}}})
	h.beginTenure()
	for h.now < testLease {
		h.advance(100 * time.Millisecond)
		h.handleListing(targetOf(next), nil, nil)
		h.plan()
		require.Empty(t, h.starts, "%v after the beginning of the tenure; run %d may go on", h.now, first.Run)
	}
}

// Guards against TWICE: a run was taken for lost as a listing that is not complete lacks it.
func TestListingThatIsNotCompleteProvesNoAbsence(t *testing.T) {
	h := newHarness(t)
	first := startOne(h)
	h.core.StartAnswered(first, dispatch.Accepted, h.now, h.now)
	h.advance(10 * time.Millisecond)
	h.core.HandleListing(first.Target, h.now, h.now, dispatch.Listing{Clock: 1000 + h.now.Milliseconds()})
	h.plan()
	require.Empty(t, h.starts)
	require.True(t, h.core.MayRun(first.Target))
}
