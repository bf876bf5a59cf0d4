package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/dispatch"
)

// Estimates that differ from the run times by a random factor say little: a step that has
// a long estimate must not be put off as if it had time, nor one with a short estimate
// count as late at once.
func TestLatestStartFollowsRunTimesWhereEstimatesSayLittle(t *testing.T) {
	for name, c := range map[string]struct {
		runMs func(estimate int64) time.Duration
		first int // which of the two waiting jobs starts first
	}{
		"estimates say nothing": {func(int64) time.Duration { return 300 * time.Millisecond }, 1},
		"estimates are exact":   {func(e int64) time.Duration { return time.Duration(e) * time.Millisecond }, 2},
	} {
		t.Run(name, func(t *testing.T) {
			q := queue()
			q.Priority = 1
			h := newHarness(t, q)
			h.addWorker("a", 1)
			for n := range 40 {
				task := tasks(1, 1)
				task.EstimateMs = []int64{100, 900}[n%2]
				h.submit(id(100+n), task)
				h.plan()
				started := h.acceptAll()
				h.advance(c.runMs(task.EstimateMs))
				h.endOne(started[0])
			}
			// The first arrives 200 ms before the second, with nine times the estimate.
			h.submit(id(200), tasks(1, 1))
			h.plan()
			occupying := h.acceptAll()
			long, short := tasks(1, 1), tasks(1, 1)
			long.EstimateMs, short.EstimateMs = 900, 100
			h.submit(id(1), long)
			h.advance(200 * time.Millisecond)
			h.submit(id(2), short)
			h.plan()
			h.endOne(occupying[0])
			require.Len(t, h.starts, 1)
			require.Equal(t, id(c.first), h.starts[0].Task.Job)
		})
	}
}

// A new leader adopts the runs of the earlier one in the middle. The time until their end
// is not their run time: taken for it, it would make all steps of the queue look urgent
// and then late.
func TestAdoptedRunsTeachNoRunTimes(t *testing.T) {
	learned, plain := queue(), queue()
	learned.Priority, plain.Priority = 1, 1
	plain.Name, plain.Prefix = "plain", "/plain/"
	h := newHarness(t, learned, plain)
	h.addWorker("a", 8)
	h.submit(id(1), tasks(8, 1))
	h.plan()
	adopted := h.acceptAll()
	require.Len(t, adopted, 8)
	h.beginTenure()
	var running []dispatch.ListedRun
	for _, s := range adopted {
		running = append(running, listedRun(s))
	}
	h.handleListing(adopted[0].Target, running, nil)
	h.advance(10 * time.Millisecond)
	for _, s := range adopted[:7] {
		h.endOne(s)
	}
	h.submitTo("/plain/", id(2), tasks(7, 1))
	h.plan()
	occupying := h.acceptAll()
	require.Len(t, occupying, 7)
	short := tasks(1, 1)
	short.EstimateMs = 300
	h.submit(id(3), tasks(1, 1)) // its latest start is after 1.5 s
	h.submitTo("/plain/", id(4), short)
	h.endOne(occupying[0])
	require.Len(t, h.starts, 1)
	require.Equal(t, id(4), h.starts[0].Task.Job)
}
