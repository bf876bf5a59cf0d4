package jobcell

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/refusal"
)

func noQueue(version uint64) *egretmuxv1.JobAnswer {
	return &egretmuxv1.JobAnswer{NoQueue: true, CatalogueVersion: version}
}

func counted(version uint64) *egretmuxv1.JobAnswer {
	return &egretmuxv1.JobAnswer{Found: true, Counted: true, CatalogueVersion: version}
}

// Guards against a catalogue that goes back for clients: of two calls that waited for a leader, the
// later one was answered by an older catalogue than the earlier one.
func TestAnswersDoNotShowAnOlderCatalogueToLaterCalls(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	o := newCallOrder()
	require.Equal(t, inOrder, o.admit(noQueue(4), "q", at(300), at(300), at(500)))
	require.Equal(t, aheadOfLater, o.admit(counted(8), "q", at(0), at(0), at(650)), "the call that came 300 ms later was answered by version 4")
	require.Equal(t, aheadOfLater, o.admit(noQueue(8), "q", at(0), at(0), at(650)))
	require.Equal(t, inOrder, o.admit(counted(8), "q", at(310), at(310), at(660)))

	require.Equal(t, behindOthers, o.admit(noQueue(4), "q", at(400), at(400), at(700)), "version 8 was shown already")
	require.Equal(t, inOrder, o.admit(counted(8), "q", at(400), at(400), at(710)), "the answer to the repeated call")
	require.Equal(t, inOrder, o.admit(counted(9), "q", at(720), at(720), at(730)))
}

// shown is the answer to a call about a job, or one that was accepted.
func shown(version uint64) *egretmuxv1.JobAnswer {
	return &egretmuxv1.JobAnswer{Found: true, Phase: egretmuxv1.JobPhase_JOB_PHASE_RUNNING, CatalogueVersion: version}
}

// gone is the answer to a call about a job that is not known.
func gone(version uint64) *egretmuxv1.JobAnswer {
	return &egretmuxv1.JobAnswer{CatalogueVersion: version}
}

// Guards against a catalogue that goes back for clients: answers about jobs also tell whether a queue
// is there, and were delivered in any order.
func TestAnswersAboutJobsDoNotShowAnOlderCatalogueToLaterCalls(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, answer := range map[string]func(uint64) *egretmuxv1.JobAnswer{"found": shown, "gone": gone, "counted": counted} {
		o := newCallOrder()
		require.Equal(t, inOrder, o.admit(noQueue(4), "added", at(300), at(300), at(500)), name)
		require.Equal(t, aheadOfLater, o.admit(answer(8), "added", at(0), at(0), at(650)), name)

		o = newCallOrder()
		require.Equal(t, inOrder, o.admit(answer(4), "removed", at(0), at(0), at(10)), name)
		require.Equal(t, inOrder, o.admit(counted(8), "added", at(20), at(20), at(400)), name)
		require.Equal(t, behindOthers, o.admit(answer(4), "removed", at(300), at(300), at(500)), name)
	}
}

// Guards against ready answers that are withheld for the order of catalogues, though they do not tell
// one catalogue from the other.
func TestAnswersOfQueuesThatStayAreDeliveredInAnyOrder(t *testing.T) {
	now := time.Now()
	o := newCallOrder()
	require.Equal(t, inOrder, o.admit(shown(4), "q", now, now, now))
	require.Equal(t, inOrder, o.admit(shown(8), "q", now, now, now))
	later, earlier := now.Add(time.Second), now.Add(-time.Second)
	for name, answer := range map[string]func(uint64) *egretmuxv1.JobAnswer{"found": shown, "gone": gone, "counted": counted} {
		require.Equal(t, inOrder, o.admit(answer(4), "q", later, later, now), name)
		require.Equal(t, inOrder, o.admit(answer(9), "q", earlier, earlier, now), name)
	}
	require.Equal(t, inOrder, o.admit(&egretmuxv1.JobAnswer{Found: true, Counted: true}, "q", now, now, now), "of an earlier release")
	require.Equal(t, behindOthers, o.admit(noQueue(8), "q", later, later, now))
	require.Equal(t, inOrder, o.admit(noQueue(10), "q", later, later, now))
	require.Equal(t, behindOthers, o.admit(shown(9), "q", later, later, now), "the queue was removed since")
}

// Guards against queues that are remembered for any path that is called.
func TestOnlyPathsOfQueuesAreRemembered(t *testing.T) {
	now := time.Now()
	o := newCallOrder()
	for n := range 100 {
		require.Equal(t, inOrder, o.admit(gone(4), fmt.Sprintf("no queue's path %d", n), now, now, now))
	}
	require.Empty(t, o.held)
	require.Equal(t, inOrder, o.admit(shown(4), "q", now, now, now))
	require.Equal(t, inOrder, o.admit(shown(5), "another", now, now, now.Add(orderRetention+time.Second)))
	require.Len(t, o.held, 1)
	require.Equal(t, "host/q/", queueOf(&egretmuxv1.QueueAddress{Host: "Host", Path: "/q/00000000000000aF"}))
	require.Equal(t, "host/q/", queueOf(&egretmuxv1.QueueAddress{Host: "host", Path: "/q/"}))
}

// heldLeader answers each call with what the test sends.
type heldLeader struct {
	egretmuxv1connect.UnimplementedJobCellServiceHandler
	calls chan chan *egretmuxv1.JobAnswer
}

func (h *heldLeader) CallJob(context.Context, *connect.Request[egretmuxv1.JobCall]) (*connect.Response[egretmuxv1.JobAnswer], error) {
	answer := make(chan *egretmuxv1.JobAnswer)
	h.calls <- answer
	return connect.NewResponse(<-answer), nil
}

// Guards against the same between an instance and its leader: a call that is behind is repeated, and
// one that is ahead of a later call is refused as one that may be sent again.
func TestInstanceRepeatsOrRefusesCallsThatOvertakeEachOther(t *testing.T) {
	leader := &heldLeader{calls: make(chan chan *egretmuxv1.JobAnswer)}
	c := newCellWithLeader(t, serveLeader(t, leader))
	type result struct {
		answer *egretmuxv1.JobAnswer
		err    error
	}
	// begin makes a call and returns where the leader answers it, and where the caller gets the result.
	begin := func() (chan *egretmuxv1.JobAnswer, chan result) {
		results := make(chan result, 1)
		go func() {
			answer, err := c.CallJob(t.Context(), &egretmuxv1.JobCall{Verb: egretmuxv1.JobVerb_JOB_VERB_SHOW})
			results <- result{answer, err}
		}()
		return <-leader.calls, results
	}
	firstAnswer, first := begin()
	laterAnswer, later := begin()
	laterAnswer <- noQueue(4)
	require.True(t, (<-later).answer.GetNoQueue())
	firstAnswer <- counted(8)
	refused := refusal.Of((<-first).err)
	require.Equal(t, http.StatusServiceUnavailable, refused.Kind.HTTPStatus())
	require.Equal(t, refusal.No, refused.Ran)
	require.Positive(t, refused.RetryAfter)

	behindAnswer, behind := begin()
	newestAnswer, newest := begin()
	newestAnswer <- counted(8)
	require.NoError(t, (<-newest).err)
	behindAnswer <- noQueue(4)
	repeated := <-leader.calls
	repeated <- counted(8)
	require.True(t, (<-behind).answer.GetCounted())
}

// Guards against a catalogue that goes back after this process stood still: the calls that had queued
// began in another order than they had come.
func TestCallsThatQueuedDuringAStallMayHaveArrivedInAnyOrder(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, tickFirst := range map[string]bool{"the tick comes first": true, "the calls come first": false} {
		t.Run(name, func(t *testing.T) {
			o := newCallOrder()
			o.tick(at(0))
			o.tick(at(100))
			require.Equal(t, at(150), o.earliestArrival(at(150)))
			if tickFirst {
				o.tick(at(1400))
			}
			later, first := o.earliestArrival(at(1401)), o.earliestArrival(at(1402))
			require.Equal(t, at(100), first)
			require.Equal(t, inOrder, o.admit(noQueue(4), "q", later, at(1401), at(1405)))
			require.Equal(t, aheadOfLater, o.admit(counted(8), "q", first, at(1402), at(1420)), "it may have come first")
			o.tick(at(1500))
			o.tick(at(1600))
			require.Equal(t, at(1610), o.earliestArrival(at(1610)))
			require.Equal(t, inOrder, o.admit(counted(8), "q", at(1610), at(1610), at(1620)))
		})
	}
}

// Guards against a submit whose answer is withheld for the order of catalogues and that is then refused
// as if it had not been executed.
func TestSubmitWhoseAnswerIsWithheldIsNotRefusedForGood(t *testing.T) {
	const added = "/added/"
	submit := func(path string) *egretmuxv1.JobCall {
		return &egretmuxv1.JobCall{Verb: egretmuxv1.JobVerb_JOB_VERB_SUBMIT, Address: &egretmuxv1.QueueAddress{Path: path + "00000000000000aa"}}
	}
	for name, again := range map[string]any{
		"removed since": noQueue(8),
		"no leader":     refusal.New(refusal.NoLeader, "retry", "no leader"),
		"denied since":  refusal.New(refusal.Unauthenticated, "send another", "not known"),
	} {
		t.Run("behind others/"+name, func(t *testing.T) {
			c := newCellWithLeader(t, serveLeader(t, &scriptedLeader{answers: []any{shown(4), again}}))
			now := time.Now()
			require.Equal(t, inOrder, c.order.admit(counted(8), added, now, now, now))
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := c.CallJob(ctx, submit("/removed/"))
			require.Equal(t, refusal.Unknown, refusal.Of(err).Ran)
		})
	}
	t.Run("ahead of later calls", func(t *testing.T) {
		leader := &heldLeader{calls: make(chan chan *egretmuxv1.JobAnswer)}
		c := newCellWithLeader(t, serveLeader(t, leader))
		refused := make(chan error, 1)
		go func() {
			_, err := c.CallJob(t.Context(), submit(added))
			refused <- err
		}()
		answer, later := <-leader.calls, time.Now()
		require.Equal(t, inOrder, c.order.admit(noQueue(4), added, later, later, later))
		answer <- shown(8)
		require.Equal(t, refusal.Unknown, refusal.Of(<-refused).Ran)
	})
	t.Run("the queue is still there", func(t *testing.T) {
		c := newCellWithLeader(t, serveLeader(t, &scriptedLeader{answers: []any{shown(4), shown(8)}}))
		now := time.Now()
		require.Equal(t, inOrder, c.order.admit(counted(8), added, now, now, now))
		answer, err := c.CallJob(t.Context(), submit("/kept/"))
		require.NoError(t, err)
		require.True(t, answer.GetFound())
	})
}

// Guards against a submit that is carried out after its job was cancelled, or ended, and was forgotten: it had waited
// in a socket of this process, which stood still.
func TestSubmitThatMayHaveWaitedForLongInAStallIsNotCarriedOut(t *testing.T) {
	c := newTestCell(t, "a")
	c.cfg.Scheduler.StatusKeep = time.Minute
	call := &egretmuxv1.JobCall{Verb: egretmuxv1.JobVerb_JOB_VERB_SUBMIT, Address: &egretmuxv1.QueueAddress{Host: "h", Path: "/q/00000000000000aa"}}
	c.order.tick(time.Now().Add(-20 * time.Second))
	_, err := c.CallJob(t.Context(), call)
	require.Equal(t, refusal.DeadlinePassed, refusal.Of(err).Kind)
	require.Equal(t, refusal.Unknown, refusal.Of(err).Ran, "a copy of it may have been accepted")
	_, err = (&service{cell: c}).CallJob(t.Context(), connect.NewRequest(call))
	require.Equal(t, refusal.DeadlinePassed, refusalOf(err).Kind, "nor passed on")
	c.order.tick(time.Now())
	c.order.tick(time.Now().Add(orderBacklog))
	require.NoError(t, c.checkArrival(call, time.Now().Add(2*orderBacklog)))
}
