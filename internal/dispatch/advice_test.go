package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

// Long calls for advice reach their limit of calls in flight. Advice that takes
// milliseconds is still requested.
func TestLongCallsForAdviceDoNotHoldUpShortOnes(t *testing.T) {
	slow, quick := queue(), queue()
	slow.Advice = &egretmuxv1.QueueAdvice{DecideMs: 700, PerWorkerMs: 1, ValidityMs: 1500}
	quick.Name, quick.Prefix = "quick", "/quick/"
	quick.Advice = &egretmuxv1.QueueAdvice{DecideMs: 8, PerWorkerMs: 0.1, ValidityMs: 1500}
	h := newHarness(t, slow, quick)
	for n := range 4 {
		h.addWorker(fmt.Sprintf("w%d", n), 16)
	}
	for n := range 8 {
		h.submit(id(n), tasks(4, 2))
	}
	h.plan()
	inFlight := len(h.asks)
	require.Positive(t, inFlight)
	require.Less(t, inFlight, 8, "calls in flight are not bounded")

	h.submitTo("/quick/", id(100), tasks(2, 1))
	h.plan()
	require.Len(t, h.asks, inFlight+1)
	require.Equal(t, id(100), h.asks[inFlight].Step.Job)
}

// adviceQueue has advice that takes half a second for tickets that are valid for one and
// a half.
func adviceQueue() *egretmuxv1.Queue {
	q := queue()
	q.Priority = 1
	q.Advice = &egretmuxv1.QueueAdvice{DecideMs: 500, PerWorkerMs: 10, ValidityMs: 1500}
	return q
}

// answer answers all collected calls for advice: every worker may run every step.
func (h *harness) answer() {
	asked := h.asks
	h.asks = nil
	for _, a := range asked {
		tickets := make(map[string]string)
		for _, w := range a.Workers {
			tickets[w] = "ticket"
		}
		h.core.AdviceAnswered(a, tickets, false, h.now-500*time.Millisecond, h.now)
	}
	h.takeActions()
}

func askedWorkers(asks []dispatch.Ask) []string {
	var out []string
	for _, a := range asks {
		out = append(out, a.Workers...)
	}
	slices.Sort(out)
	return out
}

// occupiedGang returns a harness in which a gang of six waits for the room that the
// returned starts take, with expired tickets for all workers.
func occupiedGang(t *testing.T) (*harness, []dispatch.StartOrder) {
	t.Helper()
	plain := queue()
	plain.Prefix, plain.Priority = "/plain/", 1
	h := newHarness(t, adviceQueue(), plain)
	for _, w := range []string{"a", "b", "c"} {
		h.addWorker(w, 4)
	}
	h.submitTo("/plain/", id(1), tasks(10, 1))
	h.plan()
	occupying := h.acceptStarts()
	require.Len(t, occupying, 10)
	gang := tasks(6, 1)
	gang.Gang = true
	h.submit(id(2), gang)
	h.plan()
	require.Equal(t, []string{"a", "b", "c"}, askedWorkers(h.asks))
	h.advance(600 * time.Millisecond)
	h.answer()
	h.advance(2 * time.Second)
	h.plan()
	return h, occupying
}

// endRuns lists the ends of the runs on a worker.
func (h *harness) endRuns(runs []dispatch.StartOrder, worker string) {
	var ends []dispatch.ListedEnd
	for _, s := range runs {
		if s.Worker == worker {
			ends = append(ends, h.listedEnd(s, done))
		}
	}
	h.handleListing(targetOf(life(worker, 4)), nil, ends)
	h.storeEnds()
	h.plan()
}

// Load: tickets expire before the rest of the room is free. Tickets requested one by one
// are never valid together.
func TestGangRequestsItsTicketsTogetherOnceItFits(t *testing.T) {
	h, occupying := occupiedGang(t)
	require.Empty(t, h.asks, "the gang does not fit yet")
	h.endRuns(occupying, "a")
	if len(h.asks) == 0 { // two of the six tasks lack room on the other workers
		h.endRuns(occupying, "b")
	}
	asked := askedWorkers(h.asks)
	require.GreaterOrEqual(t, len(asked), 2, "the workers of the whole gang in one round")
	h.advance(600 * time.Millisecond)
	h.answer()
	h.plan()
	require.Len(t, h.starts, 6)
}

// Load: small tasks with an earlier deadline arrive while a gang waits for the tickets of
// the workers on which it fits.
func TestRoomOfAGangThatWaitsForTicketsIsHeld(t *testing.T) {
	h, occupying := occupiedGang(t)
	for _, w := range []string{"a", "b", "c"} {
		h.endRuns(occupying, w)
	}
	require.NotEmpty(t, h.asks)
	earlier := tasks(12, 1)
	earlier.EstimateMs = 1
	h.submitTo("/plain/", id(3), earlier)
	h.plan()
	require.Len(t, h.starts, 6, "the tasks get what the gang leaves")
	h.advance(600 * time.Millisecond)
	h.answer()
	h.starts = nil
	h.plan()
	require.Len(t, h.starts, 6)
	require.Equal(t, id(2), h.starts[0].Task.Job)
}

// Load: urgent gangs of short tasks, for which advice takes milliseconds, while the first
// workers that may run them are busy with long tasks.
func TestGangWithQuickAdviceIsNotBoundToBusyWorkers(t *testing.T) {
	plain := queue()
	plain.Prefix = "/plain/" // urgent: its tasks do not leave room to the gang
	quick := adviceQueue()
	quick.Advice.DecideMs, quick.Advice.PerWorkerMs = 20, 0.3
	h := newHarness(t, quick, plain)
	for _, w := range []string{"a", "b", "c"} {
		h.addWorker(w, 8)
	}
	gang := tasks(2, 1)
	gang.Gang = true
	h.submit(id(1), gang)
	h.plan()
	require.Equal(t, []string{"a", "b", "c"}, askedWorkers(h.asks))
	h.submitTo("/plain/", id(2), tasks(24, 1))
	h.plan()
	h.acceptStarts()
	h.advance(100 * time.Millisecond)
	h.answer()
	h.plan()
	require.Empty(t, h.starts, "all workers are busy")
	h.addWorker("d", 8)
	h.plan()
	require.Equal(t, []string{"d"}, askedWorkers(h.asks))
}
