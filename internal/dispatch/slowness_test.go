package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Load: a third of the workers is slower by 30%. Urgent steps have no time for a slow
// worker, others have: these must not fill the fast ones and leave the slow ones to the
// urgent steps.
func TestFastWorkersAreLeftToUrgentSteps(t *testing.T) {
	urgent, later := queue(), queue()
	later.Name, later.Prefix, later.Priority = "later", "/later/", 2
	h := newHarness(t, urgent, later)
	h.addWorker("fast", 4)
	h.addWorker("slow", 4)
	for n := range 10 {
		h.submitTo("/later/", id(n), tasks(8, 1))
		h.plan()
		started := h.acceptAll()
		require.Len(t, started, 8)
		h.advance(time.Second)
		for _, s := range started {
			if s.Worker == "fast" {
				h.endOne(s)
			}
		}
		h.advance(300 * time.Millisecond)
		for _, s := range started {
			if s.Worker == "slow" {
				h.endOne(s)
			}
		}
	}
	h.submitTo("/later/", id(20), tasks(8, 1))
	h.plan()
	slow := 0
	for _, s := range h.acceptAll() { // leaves four cores free on one, two on the other
		if s.Worker == "slow" {
			slow++
		}
		if s.Worker == "fast" || slow <= 2 {
			h.endOne(s)
		}
	}
	h.submitTo("/later/", id(21), tasks(1, 1))
	h.plan()
	require.Equal(t, "slow", h.starts[0].Worker, "it fits there with less to spare")
	h.acceptAll()
	h.submit(id(22), tasks(1, 1))
	h.plan()
	require.Len(t, h.starts, 1)
	require.Equal(t, "fast", h.starts[0].Worker)
}
