package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

// listedRun is the listing entry of a started run.
func listedRun(s dispatch.StartOrder) dispatch.ListedRun {
	return dispatch.ListedRun{Task: s.Task, Run: s.Run}
}

func TestTasksAreNotStartedBeyondCapacity(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	h.submit(id(1), tasks(6, 1))
	h.plan()
	require.Len(t, h.starts, 4)
	accepted := h.acceptStarts()
	h.plan()
	require.Empty(t, h.starts)

	// A run that is being stopped still uses its resources.
	h.core.JobEnded(id(1), "cancelled")
	h.takeActions()
	require.Len(t, h.stops, 4)
	h.submit(id(2), tasks(1, 1))
	h.plan()
	require.Empty(t, h.starts)
	h.handleListing(a, []dispatch.ListedRun{listedRun(accepted[1]), listedRun(accepted[2]), listedRun(accepted[3])}, []dispatch.ListedEnd{h.listedEnd(accepted[0], egretmuxv1.RunOutcome_RUN_OUTCOME_STOPPED)})
	h.plan()
	require.Len(t, h.starts, 1)
}

func TestStepsWaitForThoseTheyDependOn(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	second := tasks(1, 1)
	second.After = []uint32{0}
	h.submit(id(1), tasks(2, 1), second)
	h.plan()
	require.Len(t, h.starts, 2)
	accepted := h.acceptStarts()
	h.handleListing(a, []dispatch.ListedRun{listedRun(accepted[1])}, []dispatch.ListedEnd{h.listedEnd(accepted[0], done)})
	h.storeEnds()
	h.plan()
	require.Empty(t, h.starts)
	h.handleListing(a, nil, []dispatch.ListedEnd{h.listedEnd(accepted[1], done)})
	h.storeEnds()
	h.plan()
	require.Len(t, h.starts, 1)
	require.Equal(t, uint32(1), h.starts[0].Task.Step)
	last := h.acceptStarts()
	h.handleListing(a, nil, []dispatch.ListedEnd{h.listedEnd(last[0], done)})
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED, h.phase(id(1)))
	h.storeEnds()
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_COMPLETED, h.phase(id(1)))
}

func TestTaskThatFailsItsAttemptsEndsTheJob(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	h.submit(id(1), tasks(1, 1))
	for try := range 2 {
		h.plan()
		require.Len(t, h.starts, 1, "try %d", try)
		accepted := h.acceptStarts()
		h.handleListing(a, nil, []dispatch.ListedEnd{h.listedEnd(accepted[0], failed)})
		h.plan()
		require.Empty(t, h.starts, "an end that is not stored decides nothing")
		h.storeEnds()
	}
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_FAILED, h.phase(id(1)))
	h.plan()
	require.Empty(t, h.starts)
}

func TestStartWithoutAnswerIsStoppedBeforeAnotherIsMade(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	h.addWorker("b", 4)
	h.submit(id(1), tasks(1, 1))
	h.plan()
	first := h.starts[0]
	h.starts = nil
	h.core.StartAnswered(first, dispatch.Unanswered, h.now, h.now)
	h.takeActions()
	require.Len(t, h.stops, 1)
	h.plan()
	require.Empty(t, h.starts)
	h.now += 10 * time.Millisecond
	asked := h.now
	h.now += 10 * time.Millisecond
	h.core.StopAnswered(h.stops[0], true, h.now)
	// A listing requested before the stop was answered does not prove that the run is
	// absent.
	h.core.HandleListing(a, asked, h.now, dispatch.Listing{Clock: 2000, Complete: true})
	h.plan()
	require.Empty(t, h.starts)
	h.now += 10 * time.Millisecond
	h.handleListing(first.Target, nil, nil)
	h.plan()
	require.Len(t, h.starts, 1)
	require.Greater(t, h.starts[0].Run, first.Run)
}

func TestGangIsStartedWholeOrNotAtAll(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", 4)
	gang := tasks(6, 1)
	gang.Gang = true
	h.submit(id(1), gang)
	h.plan()
	require.Empty(t, h.starts)
	h.addWorker("b", 4)
	h.plan()
	require.Len(t, h.starts, 6)
	for _, s := range h.starts {
		require.Equal(t, h.starts[0].Run, s.Run)
	}
	// The refusal of one member stops the others; all start again under one number.
	accepted := h.starts
	h.starts = nil
	h.core.StartAnswered(accepted[0], dispatch.WorkerUnhealthy, h.now, h.now)
	h.takeActions()
	require.Len(t, h.stops, 5)
}

func TestEndOfOneMemberCompletesItsGang(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 8)
	gang := tasks(3, 1)
	gang.Gang = true
	h.submit(id(1), gang)
	h.plan()
	accepted := h.acceptStarts()
	h.handleListing(a, []dispatch.ListedRun{listedRun(accepted[1]), listedRun(accepted[2])}, []dispatch.ListedEnd{h.listedEnd(accepted[0], done)})
	h.storeEnds()
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_COMPLETED, h.phase(id(1)))
	require.Empty(t, h.stops)
}

func TestRunsOfASilentWorkerAreGivenUpAfterItsLease(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	h.submit(id(1), tasks(1, 1))
	h.plan()
	h.acceptStarts()
	h.addWorker("b", 4)
	h.core.PollUnanswered(a)
	h.core.PollUnanswered(a)
	h.advance(testLease)
	h.plan()
	require.Empty(t, h.starts, "the worker's clock may be slow")
	h.advance(time.Second)
	h.plan()
	require.Len(t, h.starts, 1)
	require.Equal(t, "b", h.starts[0].Worker)
}

func TestNewLeaderDoesNotRestartATaskBeforeItsWorkerIsRead(t *testing.T) {
	h := newHarness(t)
	a, b := h.addWorker("a", 4), h.addWorker("b", 4)
	h.submit(id(1), tasks(1, 1))
	h.plan()
	accepted := h.acceptStarts()
	require.Len(t, accepted, 1)
	h.beginTenure()
	other := a
	if accepted[0].Target == a {
		other = b
	}
	h.handleListing(other, nil, nil)
	h.plan()
	require.Empty(t, h.starts)
	h.handleListing(accepted[0].Target, []dispatch.ListedRun{listedRun(accepted[0])}, nil)
	h.plan()
	require.Empty(t, h.starts)
	h.advance(100 * time.Millisecond)
	require.Empty(t, h.stops)
	for _, n := range h.notices {
		require.NotEqual(t, "run_lost", n.Event, "an adopted run has the lease of the earlier leader")
	}
}

func TestNewLeaderWaitsForTheLeaseOfAnUnreadableWorker(t *testing.T) {
	h := newHarness(t)
	a, b := h.addWorker("a", 4), h.addWorker("b", 4)
	h.submit(id(1), tasks(1, 1))
	h.plan()
	silent := h.acceptStarts()[0].Target
	h.beginTenure()
	other := a
	if silent == a {
		other = b
	}
	h.handleListing(other, nil, nil)
	h.advance(testLease)
	h.plan()
	require.Empty(t, h.starts)
	h.advance(time.Second)
	h.plan()
	require.Len(t, h.starts, 1)
}

// No leader has stored a start of the task, so it has certainly not been started.
func TestNewLeaderStartsNeverStartedTasksAtOnce(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", 4)
	b := h.addWorker("b", 4)
	h.submit(id(1), tasks(1, 1))
	h.beginTenure()
	h.handleListing(b, nil, nil)
	h.plan()
	require.Len(t, h.starts, 1)
	require.Equal(t, "b", h.starts[0].Worker)
}

func TestStartThatIsNoLongerWantedIsNotSent(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", 4)
	h.submit(id(1), tasks(1, 1))
	h.plan()
	require.True(t, h.core.StartWanted(h.starts[0]))
	h.core.JobEnded(id(1), "cancelled")
	require.False(t, h.core.StartWanted(h.starts[0]))
}

// A new leader reads the end of a run that an earlier leader started. While that end
// is being stored, the task must not be started again.
func TestTaskIsNotRestartedWhileItsEndIsBeingStored(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	h.submit(id(1), tasks(1, 1))
	h.plan()
	accepted := h.acceptStarts()
	h.beginTenure()
	h.handleListing(a, nil, []dispatch.ListedEnd{h.listedEnd(accepted[0], done)})
	h.plan()
	require.Empty(t, h.starts)
	h.storeEnds()
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_COMPLETED, h.phase(id(1)))
}

// A run of a job that has ended is stopped. Its demand is not known, so its worker
// gets no new runs until it is gone.
func TestRunOfAnEndedJobBlocksItsWorker(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	h.submit(id(1), tasks(4, 1))
	h.plan()
	accepted := h.acceptStarts()
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Cancel{Cancel: &egretmuxv1.CancelJob{Job: id(1)}}})
	h.beginTenure()
	h.submit(id(2), tasks(1, 1))
	h.handleListing(a, []dispatch.ListedRun{listedRun(accepted[0])}, nil)
	require.Len(t, h.stops, 1)
	h.plan()
	require.Empty(t, h.starts)
	h.handleListing(a, []dispatch.ListedRun{listedRun(accepted[0])}, nil)
	require.Len(t, h.stops, 1, "the stop is not repeated at each poll")
	h.handleListing(a, nil, []dispatch.ListedEnd{h.listedEnd(accepted[0], egretmuxv1.RunOutcome_RUN_OUTCOME_STOPPED)})
	h.plan()
	require.Len(t, h.starts, 1)
}

func TestDrainingWorkerGetsNothingNew(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	h.core.WorkerDraining(a, time.Second, h.now)
	h.submit(id(1), tasks(1, 1))
	h.plan()
	require.Empty(t, h.starts)
}

func TestSecondLifeOfAWorkerEndsTheFirst(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", 4)
	h.submit(id(1), tasks(1, 1))
	h.plan()
	first := h.acceptStarts()[0]
	second := life("a", 4)
	second.BornUnixMs = 2
	h.core.WorkerJoined(second, h.now)
	h.handleListing(targetOf(second), nil, nil)
	h.plan()
	require.Len(t, h.starts, 1)
	require.Equal(t, int64(2), h.starts[0].Born)
	require.Greater(t, h.starts[0].Run, first.Run)
	// A late report of the first incarnation is ignored.
	h.core.WorkerJoined(life("a", 4), h.now)
	require.True(t, h.core.Knows(targetOf(second)))
}

func TestOccurrencesStartWhenTheyAreDue(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", 4)
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: &egretmuxv1.Job{
		Id: id(1), Host: "h", Prefix: "/q/", Service: "ledger", Steps: []*egretmuxv1.JobStep{tasks(1, 1)}, Attempts: 2,
		Repeats: 2, FirstDueUnixMs: 1000, IntervalMs: 500,
	}}}})
	h.core.JobAccepted(id(1), h.now)
	h.plan()
	require.Empty(t, h.starts)
	h.advance(1000 * time.Millisecond)
	h.plan()
	require.Len(t, h.starts, 1)
	h.advance(500 * time.Millisecond)
	h.plan()
	require.Len(t, h.starts, 2)
	require.Equal(t, uint32(1), h.starts[1].Task.Occurrence)
}

func TestStepWithAdviceStartsOnlyWithATicket(t *testing.T) {
	q := queue()
	q.Advice = &egretmuxv1.QueueAdvice{DecideMs: 10, PerWorkerMs: 1, ValidityMs: 1000}
	h := newHarness(t, q)
	h.addWorker("a", 4)
	h.addWorker("b", 4)
	h.submit(id(1), tasks(2, 1))
	h.plan()
	require.Empty(t, h.starts)
	require.NotEmpty(t, h.asks)
	ask := h.asks[0]
	h.core.AdviceAnswered(ask, map[string]string{"b": "t"}, false, h.now, h.now)
	h.plan()
	require.Len(t, h.starts, 2)
	for _, s := range h.starts {
		require.Equal(t, "b", s.Worker)
		require.Equal(t, "t", s.Ticket)
	}
}

func TestSpreadStepKeepsItsLimitPerWorker(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", 8)
	h.addWorker("b", 8)
	spread := tasks(4, 1)
	spread.MaxPerWorker = 1
	h.submit(id(1), spread)
	h.plan()
	require.Len(t, h.starts, 2)
	require.NotEqual(t, h.starts[0].Worker, h.starts[1].Worker)
}

// A worker that was unreachable until its lease had expired lists the end of a run
// whose task has been started again. To the worker, an acknowledged end has counted.
func TestEndOfASupersededRunIsNeitherCountedNorAcknowledged(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	h.submit(id(1), tasks(1, 1))
	h.plan()
	first := h.acceptStarts()[0]
	h.addWorker("b", 4)
	h.core.PollUnanswered(a)
	h.core.PollUnanswered(a)
	h.advance(testLease + time.Second)
	h.plan()
	second := h.acceptStarts()[0]
	require.Equal(t, "b", second.Worker)
	h.handleListing(a, nil, []dispatch.ListedEnd{h.listedEnd(first, failed)})
	h.storeEnds()
	_, cursor := h.core.GrantLease(a)
	require.Zero(t, cursor)
	require.True(t, h.core.HasWithheldEnd(a))
	h.handleListing(second.Target, nil, []dispatch.ListedEnd{h.listedEnd(second, failed)})
	h.storeEnds()
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED, h.phase(id(1)), "one failure counts, not two")
}

// A worker that does not answer is still polled. No poll may extend its lease, or its
// runs would never be given up.
func TestLooksDoNotExtendTheLeaseOfASilentWorker(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	h.submit(id(1), tasks(1, 1))
	h.plan()
	h.acceptStarts()
	h.addWorker("b", 4)
	until, _ := h.core.GrantLease(a)
	require.Positive(t, until)
	for range 15 {
		h.core.PollUnanswered(a)
		h.advance(500 * time.Millisecond)
		until, _ = h.core.GrantLease(a)
		require.Zero(t, until)
	}
	h.plan()
	require.Len(t, h.starts, 1)
	require.Equal(t, "b", h.starts[0].Worker)
	h.handleListing(a, nil, nil)
	until, _ = h.core.GrantLease(a)
	require.Positive(t, until, "once it answers, its lease is renewed")
}

// A job is pending until a worker has started one of its tasks. A refused or
// unanswered start does not count.
func TestJobWaitsUntilAWorkerHasBegunIt(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", 4)
	h.submit(id(1), tasks(1, 1))
	require.Equal(t, 1, h.core.PendingJobs("h", "/q/"))
	h.plan()
	require.Equal(t, 1, h.core.PendingJobs("h", "/q/"))
	refused := h.starts[0]
	h.starts = nil
	h.core.StartAnswered(refused, dispatch.WorkerUnhealthy, h.now, h.now)
	require.Equal(t, 1, h.core.PendingJobs("h", "/q/"))
	h.advance(2 * time.Second)
	h.plan()
	h.acceptStarts()
	require.Zero(t, h.core.PendingJobs("h", "/q/"))
	require.True(t, h.core.JobStarted(id(1)))
}

// Urgent steps (priority 0) may use the resources reserved for a waiting gang, other
// steps may not.
func TestUrgentWorkUsesRoomReservedForAGang(t *testing.T) {
	urgent, other := queue(), queue()
	other.Name, other.Prefix, other.Priority = "other", "/other/", 2
	h := newHarness(t, urgent, other)
	h.addWorker("a", 8)
	h.addWorker("b", 8)
	h.submitTo("/other/", id(1), tasks(1, 6))
	h.plan()
	require.Len(t, h.acceptStarts(), 1)
	gang := tasks(2, 8)
	gang.Gang = true
	h.submitTo("/other/", id(2), gang)
	h.plan()
	require.Empty(t, h.starts)

	late := tasks(1, 4)
	late.EstimateMs = 9000
	h.submitTo("/other/", id(3), late)
	h.submitTo("/q/", id(4), tasks(1, 4))
	h.plan()
	require.Len(t, h.starts, 1)
	require.Equal(t, id(4), h.starts[0].Task.Job)
}

// Many jobs require a label that no worker has; the job behind them is still started.
func TestUnplaceableStepsDoNotStarveOthers(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", 8)
	for n := range 400 {
		step := tasks(1, 1)
		step.RequiredLabel = "none"
		h.submit(id(n), step)
	}
	h.now += time.Second
	h.submit(id(1000), tasks(1, 1))
	for range 5 {
		h.plan()
	}
	require.Len(t, h.starts, 1)
	require.Equal(t, id(1000), h.starts[0].Task.Job)
}

// A run that was never listed may never have been on its worker, and its task waits
// for a listing that shows it. So a listing is requested once the stop is answered.
func TestStopOfARunThatWasNeverListedAsksForAListing(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 8)
	h.submit(id(1), tasks(2, 1))
	h.plan()
	require.Len(t, h.starts, 2)
	unanswered, listed := h.starts[0], h.starts[1]
	h.core.StartAnswered(unanswered, dispatch.Unanswered, h.now, h.now)
	h.core.StartAnswered(listed, dispatch.Accepted, h.now, h.now)
	h.handleListing(a, []dispatch.ListedRun{{Task: listed.Task, Run: listed.Run}}, nil)
	h.core.JobEnded(id(1), "cancelled")
	h.takeActions()
	require.Len(t, h.stops, 2)
	for _, s := range h.stops {
		require.Equal(t, s.Task == unanswered.Task, h.core.StopAnswered(s, true, h.now), "%v", s.Task)
	}
}

// Load: gangs that are in time wait all the while, and late tasks take whatever room
// becomes free. A late gang before them must get its room all the same.
func TestLateGangIsNotStarvedByGangsInTime(t *testing.T) {
	q := queue()
	q.Priority = 1 // urgent tasks may use reserved room
	h := newHarness(t, q)
	h.addWorker("a", 4)
	h.addWorker("b", 4)
	h.submit(id(1), tasks(6, 1))
	h.plan()
	occupying := h.acceptStarts()
	require.Len(t, occupying, 6)
	late := tasks(8, 1)
	late.Gang = true
	h.submit(id(2), late)
	h.submit(id(4), tasks(4, 1))
	h.advance(4 * time.Second) // past the latest start, before the gang is worth nothing
	inTime := tasks(1, 1)
	inTime.Gang, inTime.RequiredLabel = true, "b" // no worker has it yet
	h.submit(id(3), inTime)
	h.plan()
	require.Empty(t, h.starts, "the room is reserved for the late gang")
	h.endRuns(occupying, "a")
	h.endRuns(occupying, "b")
	started := make(map[string]int)
	for _, s := range h.starts {
		started[s.Task.Job]++
	}
	require.Equal(t, map[string]int{id(2): 8}, started)
}
