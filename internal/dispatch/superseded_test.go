package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

// superseded returns the end of a run that its leader has given up, as worker a was silent until its
// lease had expired, and the run that was started on worker b instead. The listing of a is still to come.
func superseded(h *harness, outcome egretmuxv1.RunOutcome) (a dispatch.Target, end dispatch.ListedEnd, second dispatch.StartOrder) {
	h.t.Helper()
	a = h.addWorker("a", 4)
	h.submit(id(1), tasks(1, 1))
	h.plan()
	first := h.acceptStarts()[0]
	h.addWorker("b", 4)
	h.core.PollUnanswered(a)
	h.advance(testLease + time.Second)
	h.plan()
	second = h.acceptStarts()[0]
	require.Equal(h.t, "b", second.Worker)
	return a, h.listedEnd(first, outcome), second
}

// endSecond lets the second run end as done, which completes the job.
func endSecond(h *harness, second dispatch.StartOrder) {
	h.t.Helper()
	h.handleListing(second.Target, nil, []dispatch.ListedEnd{h.listedEnd(second, done)})
	h.storeEnds()
	require.Equal(h.t, egretmuxv1.JobPhase_JOB_PHASE_COMPLETED, h.phase(id(1)))
}

func requireUnacknowledged(h *harness, a dispatch.Target, end dispatch.ListedEnd) {
	h.t.Helper()
	h.handleListing(a, nil, []dispatch.ListedEnd{end})
	h.storeEnds()
	_, cursor := h.core.GrantLease(a)
	require.Less(h.t, cursor, end.Number)
}

// Guards against TWICE: a leader gave up the run of a silent worker, started the task again and withheld
// the end of the first run. The next leader no longer knew why and acknowledged it.
func TestNextLeaderDoesNotAcknowledgeTheEndOfASupersededRun(t *testing.T) {
	for name, outcome := range map[string]egretmuxv1.RunOutcome{"done": done, "failed": failed} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			a, end, second := superseded(h, outcome)
			requireUnacknowledged(h, a, end)
			endSecond(h, second)
			h.beginTenure()
			requireUnacknowledged(h, a, end)
		})
	}
}

// Guards against TWICE as above: the worker comes back after the job has ended, with the same leader.
func TestEndOfASupersededRunIsNotAcknowledgedAfterItsJobHasEnded(t *testing.T) {
	h := newHarness(t)
	a, end, second := superseded(h, done)
	endSecond(h, second)
	requireUnacknowledged(h, a, end)
}

// Guards against TWICE as above: the worker comes back after its step is done, while the job goes on.
func TestEndOfASupersededRunIsNotAcknowledgedAfterItsStepIsDone(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	next := tasks(1, 1)
	next.After = []uint32{0}
	h.submit(id(1), tasks(1, 1), next)
	h.plan()
	first := h.acceptStarts()[0]
	h.addWorker("b", 4)
	h.core.PollUnanswered(a)
	h.advance(testLease + time.Second)
	h.plan()
	second := h.acceptStarts()[0]
	h.handleListing(second.Target, nil, []dispatch.ListedEnd{h.listedEnd(second, done)})
	h.storeEnds()
	h.plan()
	require.Len(t, h.acceptStarts(), 1, "the second step has begun")
	requireUnacknowledged(h, a, h.listedEnd(first, done))
}

// Guards against TWICE as above: a worker that was silent for so long that it was retired reports itself
// again, in the same life.
func TestEndOfASupersededRunIsNotAcknowledgedOnceItsWorkerWasRetiredAsSilent(t *testing.T) {
	h := newHarness(t)
	a, end, second := superseded(h, done)
	endSecond(h, second)
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{EndLife: &egretmuxv1.EndLife{Worker: a.Worker, BornUnixMs: a.Born}}})
	h.core.WorkerGone(a, "silent", h.now)
	require.Equal(t, a, h.addWorker("a", 4))
	requireUnacknowledged(h, a, end)
}

// Guards against TWICE as above: the task is started again by a leader that finds the worker retired.
func TestRunOfARetiredWorkerThatALaterLeaderSupersedesIsNotAcknowledged(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	h.submit(id(1), tasks(1, 1))
	h.plan()
	first := h.acceptStarts()[0]
	h.core.PollUnanswered(a)
	h.advance(testLease + time.Second)
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{EndLife: &egretmuxv1.EndLife{Worker: a.Worker, BornUnixMs: a.Born}}})
	h.beginTenure()
	b := h.addWorker("b", 4)
	h.advance(testLease + time.Second) // until no lease of the leader before may be valid
	h.handleListing(b, nil, nil)
	h.plan()
	second := h.acceptStarts()[0]
	endSecond(h, second)
	h.addWorker("a", 4)
	requireUnacknowledged(h, a, h.listedEnd(first, done))
}

// An end that was stored is acknowledged, also by a leader that finds the task started again.
func TestStoredFailureIsAcknowledgedByTheNextLeader(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	h.submit(id(1), tasks(1, 1))
	h.plan()
	first := h.acceptStarts()[0]
	end := h.listedEnd(first, failed)
	h.addWorker("b", 4)
	h.handleListing(a, nil, []dispatch.ListedEnd{end})
	h.storeEnds() // the leader is lost before it acknowledges the end
	h.plan()
	require.Len(t, h.acceptStarts(), 1)
	h.beginTenure()
	h.handleListing(a, nil, []dispatch.ListedEnd{end})
	h.storeEnds()
	_, cursor := h.core.GrantLease(a)
	require.Equal(t, end.Number, cursor)
}

// An end that was withheld is acknowledged once the worker lists that its lease has expired since: to
// the worker the end does not count then, and the ends behind it wait no longer.
func TestWithheldEndIsAcknowledgedOnceALaterRunHasLapsed(t *testing.T) {
	h := newHarness(t)
	a, end, _ := superseded(h, done)
	requireUnacknowledged(h, a, end)
	h.submit(id(2), tasks(1, 4))
	h.plan()
	started := h.acceptStarts()
	require.Len(t, started, 1)
	require.Equal(t, "a", started[0].Worker)
	lapsed := h.listedEnd(started[0], egretmuxv1.RunOutcome_RUN_OUTCOME_LAPSED)
	h.handleListing(a, nil, []dispatch.ListedEnd{end, lapsed})
	h.storeEnds()
	_, cursor := h.core.GrantLease(a)
	require.Equal(t, lapsed.Number, cursor)
	h.beginTenure()
	h.handleListing(a, nil, []dispatch.ListedEnd{end, lapsed})
	h.storeEnds()
	_, cursor = h.core.GrantLease(a)
	require.Equal(t, lapsed.Number, cursor, "with the next leader as well")
}

// Guards against TWICE: a run that a leader took for absent ends as done nevertheless. The task has been started
// again, and the next leader, or the same one after the end of the job, acknowledged the end.
func TestEndOfARunThatWasTakenForAbsentIsNotAcknowledgedOnceItsTaskWasStartedAgain(t *testing.T) {
	for name, takeForAbsent := range map[string]func(h *harness, first dispatch.StartOrder){
		"not listed": func(h *harness, first dispatch.StartOrder) {
			h.core.StartAnswered(first, dispatch.Accepted, h.now, h.now)
			h.advance(time.Second)
			h.handleListing(first.Target, nil, nil)
		},
		"refused as old": func(h *harness, first dispatch.StartOrder) {
			h.core.StartAnswered(first, dispatch.OldRun, h.now, h.now)
		},
		"refused by another life": func(h *harness, first dispatch.StartOrder) {
			h.core.StartAnswered(first, dispatch.AnotherIncarnation, h.now, h.now)
		},
	} {
		for _, nextLeader := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, next leader %v", name, nextLeader), func(t *testing.T) {
				h := newHarness(t)
				a := h.addWorker("a", 4)
				h.submit(id(1), tasks(1, 1))
				h.plan()
				require.Len(t, h.starts, 1)
				first := h.starts[0]
				h.starts = nil
				b := h.addWorker("b", 4)
				takeForAbsent(h, first)
				h.core.PollUnanswered(a)
				h.plan()
				second := h.acceptStarts()[0]
				require.Equal(t, b, second.Target)
				endSecond(h, second)
				if nextLeader {
					h.beginTenure()
				}
				requireUnacknowledged(h, a, h.listedEnd(first, done))
			})
		}
	}
}

// Guards against TWICE: the log no longer names each superseded run of a worker, as there were too many.
func TestEndOfAWorkerOfWhichTooManyRunsWereSupersededIsNotAcknowledged(t *testing.T) {
	const remembered = 500
	h := newHarness(t)
	a, end, second := superseded(h, done)
	for n := range uint64(remembered + 1) {
		h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_NoteStarts{NoteStarts: &egretmuxv1.NoteStarts{Starts: []*egretmuxv1.RunStart{{
			Job: id(1), Run: second.Run + 1 + n, Worker: "b", BornUnixMs: 1,
			Superseded: []*egretmuxv1.SupersededRun{{Worker: a.Worker, BornUnixMs: a.Born, Run: 1000 + n}},
		}}}}})
	}
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Cancel{Cancel: &egretmuxv1.CancelJob{Job: id(1)}}})
	h.beginTenure()
	requireUnacknowledged(h, a, end)
}

// Guards against TWICE: a leader that stood still gave up the run of a worker and started the task again, and only
// then read an answer from before. The run that this answer lists was taken for present, so that its end counted.
func TestOldListingDoesNotMakeTheEndOfASupersededRunCount(t *testing.T) {
	for name, plan := range map[string]bool{"started again": true, "not yet started again": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			a := h.addWorker("a", 4)
			h.submit(id(1), tasks(1, 1))
			h.plan()
			first := h.acceptStarts()[0]
			asked, clock := h.now, 1000+h.now.Milliseconds()
			h.addWorker("b", 4)
			h.core.PollUnanswered(a)
			h.advance(testLease + time.Second)
			if plan {
				h.plan()
				require.Equal(t, "b", h.acceptStarts()[0].Worker)
			}
			h.core.HandleListing(a, asked, h.now, dispatch.Listing{Clock: clock, Running: []dispatch.ListedRun{listedRun(first)}, Complete: true})
			h.takeActions()
			h.core.GrantLease(a)
			h.core.PollUnanswered(a)
			if !plan {
				h.plan()
				require.Equal(t, "b", h.acceptStarts()[0].Worker)
			}
			h.advance(200 * time.Millisecond)
			requireUnacknowledged(h, a, h.listedEnd(first, done))
		})
	}
}

// Guards against TWICE: of a life of which superseded runs were forgotten, the stored end of a later run was taken for
// that of an earlier one.
func TestForgottenSupersededRunIsNotAcknowledgedAfterALaterRunHasFailed(t *testing.T) {
	h := newHarness(t)
	a, end, second := superseded(h, done)
	for n := range uint64(501) {
		h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: &egretmuxv1.Job{
			Id: id(9), Host: "h", Prefix: "/q/", Service: "ledger", Steps: []*egretmuxv1.JobStep{tasks(1, 1)}, Attempts: 2,
		}}}})
		h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_NoteStarts{NoteStarts: &egretmuxv1.NoteStarts{Starts: []*egretmuxv1.RunStart{{
			Job: id(9), Run: 1 + n, Worker: "b", BornUnixMs: 1,
			Superseded: []*egretmuxv1.SupersededRun{{Worker: a.Worker, BornUnixMs: a.Born, Run: 1000 + n}},
		}}}}})
	}
	h.handleListing(second.Target, nil, []dispatch.ListedEnd{h.listedEnd(second, failed)})
	h.storeEnds()
	h.core.PollUnanswered(a)
	h.plan()
	third := h.acceptStarts()
	require.NotEmpty(t, third)
	requireUnacknowledged(h, a, end)
}

// Guards against honest ends that are withheld: starts that a worker does not understand used up the superseded runs
// that are remembered.
func TestRefusedStartsDoNotMakeALifeForgetful(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", 4)
	h.submit(id(1), tasks(1, 1))
	for range 600 {
		h.plan()
		for _, s := range h.starts {
			h.core.StartAnswered(s, dispatch.NotUnderstood, h.now, h.now)
		}
		h.starts = nil
		h.advance(10 * time.Millisecond)
		h.handleListing(targetOf(life("a", 4)), nil, nil)
	}
	require.False(t, h.book.ForgotSuperseded("a", 1), "after %v", h.now)
}
