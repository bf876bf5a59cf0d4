package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/dispatch"
)

// Guards against ticks that search all workers for each run of a speculative step, also where no worker is slow.
func TestRunsThatNoCopyOvertakesAreNotSearchedFor(t *testing.T) {
	const workers = 40
	h := newHarness(t)
	for n := range workers {
		h.addWorker(fmt.Sprintf("w%02d", n), 16)
	}
	step := tasks(6*workers, 2)
	step.Speculative, step.EstimateMs = true, 60_000
	h.submit(id(1), step)
	h.plan()
	h.acceptAll()
	for percent := range 4 {
		h.advance(2 * time.Second)
		listed := make(map[dispatch.Target][]dispatch.ListedRun)
		for _, s := range h.present {
			run := listedRun(s)
			run.ProgressPercent = float64(3 * (percent + 1))
			listed[s.Target] = append(listed[s.Target], run)
		}
		for w, runs := range listed {
			h.core.GrantLease(w)
			h.handleListing(w, runs, nil)
		}
	}
	h.core.TakePlanCost()
	h.core.Tick(h.now + time.Millisecond)
	cost := h.core.TakePlanCost()
	require.Zero(t, cost.Pairs[dispatch.PartAdvise])
}
