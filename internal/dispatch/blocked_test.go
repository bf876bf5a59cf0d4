package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against logs that don't tell which rule keeps a task waiting beside free room.
func TestStarvedStepIsLoggedWithWhatBlocksIt(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", 16)
	h.addWorker("b", 4)
	h.submit(id(1), tasks(1, 5))
	h.plan()
	require.Len(t, h.acceptAll(), 1)
	h.core.PollUnanswered(h.present[0].Target)
	h.submit(id(2), tasks(1, 5))
	for range 15 {
		h.plan()
		h.advance(100 * time.Millisecond)
	}
	blocked := h.noticesOf("step_blocked")
	require.Len(t, blocked, 1)
	require.Equal(t, "worker-unusable", blocked[0].Reason)
	require.GreaterOrEqual(t, blocked[0].Age, time.Second)
}

// Guards against a step that is logged as waiting for a resting worker although it may use it, and waits for its ticket.
func TestStepThatMayProbeARestingWorkerIsLoggedWithItsMissingTicket(t *testing.T) {
	plain := queue()
	plain.Prefix, plain.Priority = "/plain/", 1
	h := newHarness(t, adviceQueue(), plain)
	h.restWorker(h.addWorker("a", 16), 5)
	h.submit(id(10), tasks(1, 5))
	for range 25 {
		h.plan() // the advice service does not answer
		h.advance(100 * time.Millisecond)
	}
	blocked := h.noticesOf("step_blocked")
	require.NotEmpty(t, blocked)
	require.Equal(t, "no-ticket", blocked[0].Reason)
}

// Guards against logs that miss why the step that waits longest is blocked now, while many others become starved.
func TestChangedReasonIsLoggedWhileManyStepsBecomeStarved(t *testing.T) {
	h := newHarness(t, adviceQueue())
	h.addWorker("a", 64)
	h.submit(id(1), tasks(1, 5))
	submitted := 1
	play := func(length time.Duration) {
		for until := h.now + length; h.now < until; h.advance(100 * time.Millisecond) {
			for range 2 {
				submitted++
				h.submit(id(submitted), tasks(1, 5))
			}
			h.plan()
		}
	}
	play(3 * time.Second) // the advice service does not answer
	for _, ask := range h.asks {
		if ask.Step.Job == id(1) {
			h.core.AdviceAnswered(ask, nil, false, h.now, h.now)
		}
	}
	play(2 * time.Second)
	var reasons []string
	for _, n := range h.noticesOf("step_blocked") {
		if n.Job == id(1) {
			reasons = append(reasons, n.Reason)
		}
	}
	require.Equal(t, []string{"no-ticket", "advice"}, reasons)
}
