package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/dispatch"
)

func TestTasksThatFillSlowDownBeforeServingTasksMissTheirTarget(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", 8)
	serving := tasks(1, 2)
	serving.LongRunning, serving.TargetMs, serving.Image = true, 100, "web"
	w.submit(id(1), serving)
	fill := tasks(1, 8)
	fill.Fills = true
	w.submit(id(2), fill)
	w.plan()
	require.Len(t, w.starts, 2, "a task that fills needs no cpu of its own")
	given := w.accept()
	if given[0].Task.Job != id(1) {
		given[0], given[1] = given[1], given[0]
	}
	look := func(tail float64) []dispatch.Pace {
		w.pass(500 * time.Millisecond)
		serves, fills := running(given[0]), running(given[1])
		serves.Load, serves.Percent, fills.Percent = tail, 100, 10
		w.core.HandleListing(a, w.now, w.now, dispatch.Listing{Clock: 1000 + w.now.Milliseconds(), Running: []dispatch.ListedRun{serves, fills}, Whole: true})
		acts := w.core.TakeActions()
		for _, p := range acts.Paces {
			w.core.PaceAnswered(p, true)
		}
		return acts.Paces
	}
	require.Empty(t, look(50))
	paces := look(90)
	require.Len(t, paces, 1)
	require.Equal(t, 50, paces[0].Percent)
	paces = look(120)
	require.Len(t, paces, 1)
	require.Equal(t, 0, paces[0].Percent)
	require.Empty(t, look(70), "neither high nor low")
	for range 3 {
		paces = append(paces, look(30)...)
	}
	require.Equal(t, 20, paces[1].Percent, "it comes back in steps")
	require.True(t, w.core.NeedsFrequentPolls(a))
}

func TestServingTaskLeavesADrainingWorkerAtOnce(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", 8)
	serving := tasks(1, 2)
	serving.LongRunning = true
	w.submit(id(1), serving)
	w.plan()
	w.accept()
	w.core.WorkerDraining(a, 10*time.Second, w.now)
	w.pass(100 * time.Millisecond)
	require.Len(t, w.stops, 1)
}

func TestServingTaskIsStartedAgainHoweverItEnds(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", 8)
	serving := tasks(1, 2)
	serving.LongRunning = true
	w.submit(id(1), serving)
	for range 5 {
		w.plan()
		given := w.accept()
		require.Len(t, given, 1)
		w.list(a, nil, []dispatch.ListedEnd{w.end(given[0], failed)})
		w.note()
		w.pass(5 * time.Second)
		w.list(a, nil, nil)
	}
}
