package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/dispatch"
)

func TestFillersSlowDownBeforeServingTasksMissTheirTarget(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 8)
	serving := tasks(1, 2)
	serving.LongRunning, serving.TargetMs, serving.Image = true, 100, "web"
	h.submit(id(1), serving)
	fill := tasks(1, 8)
	fill.Fills = true
	h.submit(id(2), fill)
	h.plan()
	require.Len(t, h.starts, 2, "a filler reserves no cpu")
	accepted := h.acceptStarts()
	if accepted[0].Task.Job != id(1) {
		accepted[0], accepted[1] = accepted[1], accepted[0]
	}
	poll := func(tail float64) []dispatch.PaceOrder {
		h.advance(500 * time.Millisecond)
		serves, fills := listedRun(accepted[0]), listedRun(accepted[1])
		serves.TailLatencyMs, serves.ProgressPercent, fills.ProgressPercent = tail, 100, 10
		h.core.HandleListing(a, h.now, h.now, dispatch.Listing{Clock: 1000 + h.now.Milliseconds(), Running: []dispatch.ListedRun{serves, fills}, Complete: true})
		actions := h.core.TakeActions()
		for _, p := range actions.Paces {
			h.core.PaceAnswered(p, true)
		}
		return actions.Paces
	}
	require.Empty(t, poll(50))
	paces := poll(90)
	require.Len(t, paces, 1)
	require.Equal(t, 50, paces[0].Percent)
	paces = poll(120)
	require.Len(t, paces, 1)
	require.Equal(t, 0, paces[0].Percent)
	require.Empty(t, poll(70), "between the low and the high threshold")
	for range 3 {
		paces = append(paces, poll(30)...)
	}
	require.Equal(t, 20, paces[1].Percent, "the pace is raised in steps")
	require.True(t, h.core.NeedsFrequentPolls(a))
}

func TestServingTaskLeavesADrainingWorkerAtOnce(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 8)
	serving := tasks(1, 2)
	serving.LongRunning = true
	h.submit(id(1), serving)
	h.plan()
	h.acceptStarts()
	h.core.WorkerDraining(a, 10*time.Second, h.now)
	h.advance(100 * time.Millisecond)
	require.Len(t, h.stops, 1)
}

func TestServingTaskIsStartedAgainHoweverItEnds(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 8)
	serving := tasks(1, 2)
	serving.LongRunning = true
	h.submit(id(1), serving)
	for range 5 {
		h.plan()
		accepted := h.acceptStarts()
		require.Len(t, accepted, 1)
		h.handleListing(a, nil, []dispatch.ListedEnd{h.listedEnd(accepted[0], failed)})
		h.storeEnds()
		h.advance(5 * time.Second)
		h.handleListing(a, nil, nil)
	}
}
