package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/dispatch"
)

// progress lists a run at a percentage every half second for the given time.
func (w *world) progress(s dispatch.Start, from, perSecond float64, d time.Duration) {
	for passed := time.Duration(0); passed < d; passed += 500 * time.Millisecond {
		w.pass(500 * time.Millisecond)
		r := running(s)
		r.Percent = from + perSecond*(passed+500*time.Millisecond).Seconds()
		w.list(s.Target, []dispatch.ListedRun{r}, nil)
	}
	w.pass(0)
}

func TestRunWithoutProgressIsMovedAndItsWorkerRests(t *testing.T) {
	w := newWorld(t)
	w.worker("a", 4)
	w.submit(id(1), tasks(1, 1))
	w.plan()
	given := w.accept()
	w.progress(given[0], 0, 10, 2*time.Second)
	require.Empty(t, w.stops)
	w.progress(given[0], 20, 0, 4*time.Second)
	require.Len(t, w.stops, 1)
	w.list(given[0].Target, nil, []dispatch.ListedEnd{w.end(given[0], 3)})
	w.note()
	w.plan()
	require.Empty(t, w.starts, "the worker rests")
	w.worker("b", 4)
	w.plan()
	require.Len(t, w.starts, 1)
	require.Equal(t, "b", w.starts[0].Worker)
}

func TestRunThatOutlastsADrainingWorkerIsMoved(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", 4)
	w.submit(id(1), tasks(1, 1))
	long := tasks(1, 1)
	long.EstimateMs = 20_000
	w.submit(id(2), long)
	w.plan()
	given := w.accept()
	require.Len(t, given, 2)
	w.core.WorkerDraining(a, 2*time.Second, w.now)
	w.pass(100 * time.Millisecond)
	require.Len(t, w.stops, 1)
	require.Equal(t, id(2), w.stops[0].Task.Job)
}

// A run that saves its progress works on until its worker is about to end.
func TestCheckpointingRunIsMovedLate(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", 4)
	long := tasks(1, 1)
	long.EstimateMs, long.Checkpoints = 20_000, true
	w.submit(id(2), long)
	w.plan()
	w.accept()
	w.core.WorkerDraining(a, 2*time.Second, w.now)
	w.pass(time.Second)
	require.Empty(t, w.stops)
	w.pass(800 * time.Millisecond)
	require.Len(t, w.stops, 1)
}

func TestWorkerThatFailsEverythingIsTriedWithOneRun(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", 8)
	for n := range 3 {
		w.submit(id(n), tasks(1, 1))
	}
	w.plan()
	given := w.accept()
	require.Len(t, given, 3)
	w.list(a, nil, []dispatch.ListedEnd{w.end(given[0], failed), w.end(given[1], failed), w.end(given[2], failed)})
	w.note()
	w.plan()
	require.Empty(t, w.starts)
	w.pass(5 * time.Second)
	w.list(a, nil, nil)
	w.plan()
	require.Len(t, w.starts, 1)
}

// Members of a gang that are through wait for the slowest; they are not stuck.
func TestGangMembersThatWaitForTheSlowestAreLeftAlone(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", 8)
	gang := tasks(2, 1)
	gang.Gang, gang.EstimateMs = true, 20_000
	w.submit(id(1), gang)
	w.plan()
	given := w.accept()
	for n := range 12 {
		w.pass(500 * time.Millisecond)
		through, slow := running(given[0]), running(given[1])
		through.Percent, slow.Percent = 40, float64(10+n)
		w.list(a, []dispatch.ListedRun{through, slow}, nil)
	}
	w.pass(0)
	require.Empty(t, w.stops)
}
