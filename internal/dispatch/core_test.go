package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

func running(s dispatch.Start) dispatch.ListedRun {
	return dispatch.ListedRun{Task: s.Task, Run: s.Run}
}

func TestTasksAreNotStartedBeyondTheRoom(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", 4)
	w.submit(id(1), tasks(6, 1))
	w.plan()
	require.Len(t, w.starts, 4)
	given := w.accept()
	w.plan()
	require.Empty(t, w.starts)

	// A run that is being stopped still takes its room.
	w.core.JobEnded(id(1), "cancelled")
	w.take()
	require.Len(t, w.stops, 4)
	w.submit(id(2), tasks(1, 1))
	w.plan()
	require.Empty(t, w.starts)
	w.list(a, []dispatch.ListedRun{running(given[1]), running(given[2]), running(given[3])}, []dispatch.ListedEnd{w.end(given[0], egretmuxv1.RunOutcome_RUN_OUTCOME_STOPPED)})
	w.plan()
	require.Len(t, w.starts, 1)
}

func TestStepsWaitForThoseTheyDependOn(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", 4)
	second := tasks(1, 1)
	second.After = []uint32{0}
	w.submit(id(1), tasks(2, 1), second)
	w.plan()
	require.Len(t, w.starts, 2)
	given := w.accept()
	w.list(a, []dispatch.ListedRun{running(given[1])}, []dispatch.ListedEnd{w.end(given[0], done)})
	w.note()
	w.plan()
	require.Empty(t, w.starts)
	w.list(a, nil, []dispatch.ListedEnd{w.end(given[1], done)})
	w.note()
	w.plan()
	require.Len(t, w.starts, 1)
	require.Equal(t, uint32(1), w.starts[0].Task.Step)
	last := w.accept()
	w.list(a, nil, []dispatch.ListedEnd{w.end(last[0], done)})
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED, w.phase(id(1)))
	w.note()
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_COMPLETED, w.phase(id(1)))
}

func TestTaskThatFailsItsAttemptsEndsTheJob(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", 4)
	w.submit(id(1), tasks(1, 1))
	for try := range 2 {
		w.plan()
		require.Len(t, w.starts, 1, "try %d", try)
		given := w.accept()
		w.list(a, nil, []dispatch.ListedEnd{w.end(given[0], failed)})
		w.plan()
		require.Empty(t, w.starts, "an end that is not stored decides nothing")
		w.note()
	}
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_FAILED, w.phase(id(1)))
	w.plan()
	require.Empty(t, w.starts)
}

func TestStartWithoutAnswerIsStoppedBeforeAnotherIsMade(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", 4)
	w.worker("b", 4)
	w.submit(id(1), tasks(1, 1))
	w.plan()
	first := w.starts[0]
	w.starts = nil
	w.core.StartAnswered(first, dispatch.Unanswered, w.now, w.now)
	w.take()
	require.Len(t, w.stops, 1)
	w.plan()
	require.Empty(t, w.starts)
	asked := w.now
	w.now += 10 * time.Millisecond
	w.core.StopAnswered(w.stops[0], true, w.now)
	// A listing asked for before the stop was answered proves nothing.
	w.core.HandleListing(a, asked, w.now, dispatch.Listing{Clock: 2000, Whole: true})
	w.plan()
	require.Empty(t, w.starts)
	w.now += 10 * time.Millisecond
	w.list(first.Target, nil, nil)
	w.plan()
	require.Len(t, w.starts, 1)
	require.Greater(t, w.starts[0].Run, first.Run)
}

func TestGangIsStartedWholeOrNotAtAll(t *testing.T) {
	w := newWorld(t)
	w.worker("a", 4)
	gang := tasks(6, 1)
	gang.Gang = true
	w.submit(id(1), gang)
	w.plan()
	require.Empty(t, w.starts)
	w.worker("b", 4)
	w.plan()
	require.Len(t, w.starts, 6)
	for _, s := range w.starts {
		require.Equal(t, w.starts[0].Run, s.Run)
	}
	// One refusal takes the others down, and all start again under one number.
	given := w.starts
	w.starts = nil
	w.core.StartAnswered(given[0], dispatch.WorkerUnhealthy, w.now, w.now)
	w.take()
	require.Len(t, w.stops, 5)
}

func TestOneEndOfAGangStandsForAll(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", 8)
	gang := tasks(3, 1)
	gang.Gang = true
	w.submit(id(1), gang)
	w.plan()
	given := w.accept()
	w.list(a, []dispatch.ListedRun{running(given[1]), running(given[2])}, []dispatch.ListedEnd{w.end(given[0], done)})
	w.note()
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_COMPLETED, w.phase(id(1)))
	require.Empty(t, w.stops)
}

func TestRunsOfASilentWorkerAreGivenUpAfterItsLease(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", 4)
	w.submit(id(1), tasks(1, 1))
	w.plan()
	w.accept()
	w.worker("b", 4)
	w.core.PollUnanswered(a)
	w.core.PollUnanswered(a)
	w.pass(testLease)
	w.plan()
	require.Empty(t, w.starts, "the worker's clock may be slow")
	w.pass(time.Second)
	w.plan()
	require.Len(t, w.starts, 1)
	require.Equal(t, "b", w.starts[0].Worker)
}

func TestNewLeaderStartsNothingOldBeforeAllWorkersAreRead(t *testing.T) {
	w := newWorld(t)
	a, b := w.worker("a", 4), w.worker("b", 4)
	w.submit(id(1), tasks(1, 1))
	w.plan()
	given := w.accept()
	require.Len(t, given, 1)
	w.elect()
	other := a
	if given[0].Target == a {
		other = b
	}
	w.list(other, nil, nil)
	w.plan()
	require.Empty(t, w.starts)
	w.list(given[0].Target, []dispatch.ListedRun{running(given[0])}, nil)
	w.plan()
	require.Empty(t, w.starts)
	w.pass(100 * time.Millisecond)
	require.Empty(t, w.stops)
	for _, n := range w.notices {
		require.NotEqual(t, "run_lost", n.Event, "an adopted run has the lease of the leader before")
	}
}

func TestNewLeaderWaitsOutAWorkerThatItCannotRead(t *testing.T) {
	w := newWorld(t)
	a, b := w.worker("a", 4), w.worker("b", 4)
	w.submit(id(1), tasks(1, 1))
	w.plan()
	silent := w.accept()[0].Target
	w.elect()
	other := a
	if silent == a {
		other = b
	}
	w.list(other, nil, nil)
	w.pass(testLease)
	w.plan()
	require.Empty(t, w.starts)
	w.pass(time.Second)
	w.plan()
	require.Len(t, w.starts, 1)
}

// A task that no leader stored a start of has certainly not been started.
func TestNewLeaderStartsWhatWasNeverStartedWithoutWaiting(t *testing.T) {
	w := newWorld(t)
	w.worker("a", 4)
	b := w.worker("b", 4)
	w.submit(id(1), tasks(1, 1))
	w.elect()
	w.list(b, nil, nil)
	w.plan()
	require.Len(t, w.starts, 1)
	require.Equal(t, "b", w.starts[0].Worker)
}

func TestStartThatIsNoLongerWantedIsNotSent(t *testing.T) {
	w := newWorld(t)
	w.worker("a", 4)
	w.submit(id(1), tasks(1, 1))
	w.plan()
	require.True(t, w.core.StartWanted(w.starts[0]))
	w.core.JobEnded(id(1), "cancelled")
	require.False(t, w.core.StartWanted(w.starts[0]))
}

// The end of a run that an earlier leader started is read, and on its way to
// the log the task must not be started again.
func TestEndOnItsWayToTheLogHoldsItsTask(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", 4)
	w.submit(id(1), tasks(1, 1))
	w.plan()
	given := w.accept()
	w.elect()
	w.list(a, nil, []dispatch.ListedEnd{w.end(given[0], done)})
	w.plan()
	require.Empty(t, w.starts)
	w.note()
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_COMPLETED, w.phase(id(1)))
}

// A run of a job that has ended is stopped; until it is gone nobody knows how
// much room it takes.
func TestForeignRunHoldsItsWorker(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", 4)
	w.submit(id(1), tasks(4, 1))
	w.plan()
	given := w.accept()
	w.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Cancel{Cancel: &egretmuxv1.CancelJob{Job: id(1)}}})
	w.elect()
	w.submit(id(2), tasks(1, 1))
	w.list(a, []dispatch.ListedRun{running(given[0])}, nil)
	require.Len(t, w.stops, 1)
	w.plan()
	require.Empty(t, w.starts)
	w.list(a, []dispatch.ListedRun{running(given[0])}, nil)
	require.Len(t, w.stops, 1, "the stop is not repeated at each look")
	w.list(a, nil, []dispatch.ListedEnd{w.end(given[0], egretmuxv1.RunOutcome_RUN_OUTCOME_STOPPED)})
	w.plan()
	require.Len(t, w.starts, 1)
}

func TestDrainingWorkerGetsNothingNew(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", 4)
	w.core.WorkerDraining(a, time.Second, w.now)
	w.submit(id(1), tasks(1, 1))
	w.plan()
	require.Empty(t, w.starts)
}

func TestSecondLifeOfAWorkerEndsTheFirst(t *testing.T) {
	w := newWorld(t)
	w.worker("a", 4)
	w.submit(id(1), tasks(1, 1))
	w.plan()
	first := w.accept()[0]
	second := life("a", 4)
	second.BornUnixMs = 2
	w.core.WorkerJoined(second, w.now)
	w.list(targetOf(second), nil, nil)
	w.plan()
	require.Len(t, w.starts, 1)
	require.Equal(t, int64(2), w.starts[0].Born)
	require.Greater(t, w.starts[0].Run, first.Run)
	// A late report of the first life changes nothing.
	w.core.WorkerJoined(life("a", 4), w.now)
	require.True(t, w.core.Knows(targetOf(second)))
}

func TestOccurrencesStartWhenTheyAreDue(t *testing.T) {
	w := newWorld(t)
	w.worker("a", 4)
	w.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: &egretmuxv1.Job{
		Id: id(1), Host: "h", Prefix: "/q/", Service: "ledger", Steps: []*egretmuxv1.JobStep{tasks(1, 1)}, Attempts: 2,
		Repeats: 2, FirstDueUnixMs: 1000, IntervalMs: 500,
	}}}})
	w.core.JobAccepted(id(1), w.now)
	w.plan()
	require.Empty(t, w.starts)
	w.pass(1000 * time.Millisecond)
	w.plan()
	require.Len(t, w.starts, 1)
	w.pass(500 * time.Millisecond)
	w.plan()
	require.Len(t, w.starts, 2)
	require.Equal(t, uint32(1), w.starts[1].Task.Occurrence)
}

func TestStepWithAdviceStartsOnlyWithATicket(t *testing.T) {
	q := queue()
	q.Advice = &egretmuxv1.QueueAdvice{DecideMs: 10, PerWorkerMs: 1, ValidityMs: 1000}
	w := newWorld(t, q)
	w.worker("a", 4)
	w.worker("b", 4)
	w.submit(id(1), tasks(2, 1))
	w.plan()
	require.Empty(t, w.starts)
	require.NotEmpty(t, w.asks)
	ask := w.asks[0]
	w.core.AdviceAnswered(ask, map[string]string{"b": "t"}, false, w.now, w.now)
	w.plan()
	require.Len(t, w.starts, 2)
	for _, s := range w.starts {
		require.Equal(t, "b", s.Worker)
		require.Equal(t, "t", s.Ticket)
	}
}

func TestSpreadStepKeepsItsLimitPerWorker(t *testing.T) {
	w := newWorld(t)
	w.worker("a", 8)
	w.worker("b", 8)
	spread := tasks(4, 1)
	spread.MaxPerWorker = 1
	w.submit(id(1), spread)
	w.plan()
	require.Len(t, w.starts, 2)
	require.NotEqual(t, w.starts[0].Worker, w.starts[1].Worker)
}

// A worker that was out of reach until its lease had passed lists the end of a
// run whose task was started again since. Acknowledged, that end would count.
func TestEndOfASupersededRunIsNeitherCountedNorAcknowledged(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", 4)
	w.submit(id(1), tasks(1, 1))
	w.plan()
	first := w.accept()[0]
	w.worker("b", 4)
	w.core.PollUnanswered(a)
	w.core.PollUnanswered(a)
	w.pass(testLease + time.Second)
	w.plan()
	second := w.accept()[0]
	require.Equal(t, "b", second.Worker)
	w.list(a, nil, []dispatch.ListedEnd{w.end(first, failed)})
	w.note()
	_, cursor := w.core.GrantLease(a)
	require.Zero(t, cursor)
	require.True(t, w.core.HasWithheldEnd(a))
	w.list(second.Target, nil, []dispatch.ListedEnd{w.end(second, failed)})
	w.note()
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED, w.phase(id(1)), "one failure counts, not two")
}

// Looks at a worker that does not answer go on. None of them may extend its
// lease, or its runs would never be given up.
func TestLooksDoNotExtendTheLeaseOfASilentWorker(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", 4)
	w.submit(id(1), tasks(1, 1))
	w.plan()
	w.accept()
	w.worker("b", 4)
	until, _ := w.core.GrantLease(a)
	require.Positive(t, until)
	for range 15 {
		w.core.PollUnanswered(a)
		w.pass(500 * time.Millisecond)
		until, _ = w.core.GrantLease(a)
		require.Zero(t, until)
	}
	w.plan()
	require.Len(t, w.starts, 1)
	require.Equal(t, "b", w.starts[0].Worker)
	w.list(a, nil, nil)
	until, _ = w.core.GrantLease(a)
	require.Positive(t, until, "once it answers, its lease is renewed")
}

// A job counts as waiting until a worker has begun one of its tasks; a start
// that was refused or got no answer is none.
func TestJobWaitsUntilAWorkerHasBegunIt(t *testing.T) {
	w := newWorld(t)
	w.worker("a", 4)
	w.submit(id(1), tasks(1, 1))
	require.Equal(t, 1, w.core.PendingJobs("h", "/q/"))
	w.plan()
	require.Equal(t, 1, w.core.PendingJobs("h", "/q/"))
	refused := w.starts[0]
	w.starts = nil
	w.core.StartAnswered(refused, dispatch.WorkerUnhealthy, w.now, w.now)
	require.Equal(t, 1, w.core.PendingJobs("h", "/q/"))
	w.pass(2 * time.Second)
	w.plan()
	w.accept()
	require.Zero(t, w.core.PendingJobs("h", "/q/"))
	require.True(t, w.core.JobStarted(id(1)))
}

// Room is held back for a gang that waits; short work of the first priority may
// use it meanwhile, other work may not.
func TestUrgentWorkUsesRoomThatIsHeldBackForAGang(t *testing.T) {
	urgent, other := queue(), queue()
	other.Name, other.Prefix, other.Priority = "other", "/other/", 2
	w := newWorld(t, urgent, other)
	w.worker("a", 8)
	w.worker("b", 8)
	w.submitTo("/other/", id(1), tasks(1, 6))
	w.plan()
	require.Len(t, w.accept(), 1)
	gang := tasks(2, 8)
	gang.Gang = true
	w.submitTo("/other/", id(2), gang)
	w.plan()
	require.Empty(t, w.starts)

	late := tasks(1, 4)
	late.EstimateMs = 9000
	w.submitTo("/other/", id(3), late)
	w.submitTo("/q/", id(4), tasks(1, 4))
	w.plan()
	require.Len(t, w.starts, 1)
	require.Equal(t, id(4), w.starts[0].Task.Job)
}

// Many jobs ask for a label that no worker has; the job behind them runs.
func TestStepsThatCannotBePlacedDoNotKeepTheRestOut(t *testing.T) {
	w := newWorld(t)
	w.worker("a", 8)
	for n := range 400 {
		step := tasks(1, 1)
		step.RequiredLabel = "none"
		w.submit(id(n), step)
	}
	w.now += time.Second
	w.submit(id(1000), tasks(1, 1))
	for range 5 {
		w.plan()
	}
	require.Len(t, w.starts, 1)
	require.Equal(t, id(1000), w.starts[0].Task.Job)
}

// A run that no listing has held may never have been there; its task waits for
// the listing that tells.
func TestStopOfARunThatWasNeverListedAsksForAListing(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", 8)
	w.submit(id(1), tasks(2, 1))
	w.plan()
	require.Len(t, w.starts, 2)
	lost, seen := w.starts[0], w.starts[1]
	w.core.StartAnswered(lost, dispatch.Unanswered, w.now, w.now)
	w.core.StartAnswered(seen, dispatch.Accepted, w.now, w.now)
	w.list(a, []dispatch.ListedRun{{Task: seen.Task, Run: seen.Run}}, nil)
	w.core.JobEnded(id(1), "cancelled")
	w.take()
	require.Len(t, w.stops, 2)
	for _, s := range w.stops {
		require.Equal(t, s.Task == lost.Task, w.core.StopAnswered(s, true, w.now), "%v", s.Task)
	}
}
