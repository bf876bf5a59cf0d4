package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

// Guards against a sound run that is stopped as stuck over and over: one percent of it takes longer
// than the time after which a run counts as stuck, and its estimate is too short to tell.
func TestLongRunWithAShortEstimateIsNotStoppedOverAndOver(t *testing.T) {
	const length = 250 * time.Second
	h := newHarness(t)
	a := h.addWorker("a", 16)
	long := tasks(1, 1)
	long.EstimateMs = 40_000
	h.submit(id(1), long)
	var run *dispatch.StartOrder
	began, stops := time.Duration(0), 0
	for h.now < 2*length && h.phase(id(1)) != egretmuxv1.JobPhase_JOB_PHASE_COMPLETED {
		h.advance(100 * time.Millisecond)
		h.core.GrantLease(a)
		var running []dispatch.ListedRun
		var ended []dispatch.ListedEnd
		switch {
		case run == nil:
		case len(h.stops) > 0:
			ended, run, h.stops = append(ended, h.listedEnd(*run, egretmuxv1.RunOutcome_RUN_OUTCOME_STOPPED)), nil, nil
			stops++
		case h.now-began >= length:
			ended, run = append(ended, h.listedEnd(*run, done)), nil
		default:
			listed := listedRun(*run)
			listed.ProgressPercent = float64(100 * (h.now - began) / length) // in whole percent
			running = append(running, listed)
		}
		h.handleListing(a, running, ended)
		h.storeEnds()
		h.plan()
		if accepted := h.acceptStarts(); len(accepted) > 0 {
			run, began = &accepted[0], h.now
		}
	}
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_COMPLETED, h.phase(id(1)), "stopped %d times", stops)
	require.LessOrEqual(t, stops, 1)
}
