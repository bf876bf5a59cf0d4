package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

// failAll lets all runs fail soon after their start, until nothing is started.
func (h *harness) failAll() {
	for starts := h.acceptStarts(); len(starts) > 0; starts = h.acceptStarts() {
		h.advance(50 * time.Millisecond)
		ends := make(map[dispatch.Target][]dispatch.ListedEnd)
		for _, s := range starts {
			ends[s.Target] = append(ends[s.Target], h.listedEnd(s, failed))
		}
		for target, listed := range ends {
			h.handleListing(target, nil, listed)
		}
		h.storeEnds()
		h.plan()
	}
}

// Guards against idle workers that get nothing for seconds after a job whose tasks all fail, so that
// accepted jobs wait beside free room.
func TestWorkersAreNotRestedForAJobThatFailsEverywhere(t *testing.T) {
	h := newHarness(t)
	for n := range 4 {
		h.addWorker(fmt.Sprintf("w%d", n), 16)
	}
	h.submit(id(1), tasks(24, 1))
	h.plan()
	h.failAll()
	h.submit(id(2), tasks(4, 1))
	h.plan()
	require.Len(t, h.acceptStarts(), 4)
}

// Guards against idle workers after a job whose tasks make no progress on any worker, the same
// way.
func TestWorkersAreNotRestedForAJobWithoutProgressEverywhere(t *testing.T) {
	h := newHarness(t)
	targets := make(map[string]dispatch.Target)
	for n := range 4 {
		w := h.addWorker(fmt.Sprintf("w%d", n), 16)
		targets[w.Worker] = w
	}
	hung := tasks(4, 9) // one on each worker
	h.submit(id(1), hung)
	h.plan()
	runs := h.acceptStarts()
	require.Len(t, runs, 4)
	for range 20 {
		h.advance(100 * time.Millisecond)
		for _, s := range runs {
			h.core.GrantLease(s.Target)
			h.handleListing(s.Target, []dispatch.ListedRun{listedRun(s)}, nil)
		}
	}
	require.Len(t, h.stops, 4)
	h.submit(id(2), tasks(4, 1))
	h.plan()
	require.Len(t, h.acceptStarts(), 4)
}

// A worker on which everything fails rests, whatever job shows it first.
func TestWorkerOnWhichOnlyItsOwnRunsFailRests(t *testing.T) {
	h := newHarness(t)
	for n := range 4 {
		h.addWorker(fmt.Sprintf("w%d", n), 16)
	}
	h.submit(id(1), tasks(12, 5))
	h.plan()
	starts := h.acceptStarts()
	require.Len(t, starts, 12)
	for _, outcome := range []egretmuxv1.RunOutcome{failed, done} { // first those that fail
		ends := make(map[dispatch.Target][]dispatch.ListedEnd)
		for _, s := range starts {
			if (s.Worker == "w0") == (outcome == failed) {
				ends[s.Target] = append(ends[s.Target], h.listedEnd(s, outcome))
			}
		}
		for target, listed := range ends {
			h.handleListing(target, nil, listed)
		}
		h.storeEnds()
	}
	h.plan()
	require.NotEmpty(t, h.starts)
	for _, s := range h.starts {
		require.NotEqual(t, "w0", s.Worker)
	}
}
