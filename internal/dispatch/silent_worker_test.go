package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

// driftingWorker is a worker whose clock is up to 2% fast or slow. It kills its runs once its lease
// has expired.
type driftingWorker struct {
	target dispatch.Target
	rate   float64
	until  int64 // end of the lease on its clock
}

// clock returns the reading of the worker's clock at a time.
func (w *driftingWorker) clock(now time.Duration) int64 {
	return 500_000 + int64(float64(now.Milliseconds())*w.rate)
}

// Guards against the work of a silent worker that is started elsewhere while it still runs: whatever the
// rate of its clock, the running times of polls and of answers, and the age of the leader's
// confirmation, also by a new leader, the worker's lease must have expired first.
func TestWorkOfASilentWorkerIsNotStartedElsewhereBeforeItsLeaseHasExpired(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			upTo := func(d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d) + 1)) }
			h := newHarness(t)
			real := time.Duration(0) // of the world; h.now begins anew with each leader
			step := func(d time.Duration) { real += d; h.now += d }
			w := &driftingWorker{target: h.addWorker("a", 4), rate: []float64{0.98, 0.98, 1, 1.02}[rng.IntN(4)]}
			h.submit(id(1), tasks(1, 1))
			h.plan()
			start := h.acceptStarts()[0]
			require.Equal(t, w.target, start.Target)
			h.addWorker("b", 4)

			poll := func(answered bool) {
				asked := h.now
				until, _ := h.core.GrantLease(w.target)
				step(upTo(200 * time.Millisecond))
				w.until = max(w.until, until) // also if only the answer is lost
				clock := w.clock(real)
				step(upTo(700 * time.Millisecond))
				if !answered {
					h.core.PollUnanswered(w.target)
					return
				}
				h.core.HandleListing(w.target, asked, h.now, dispatch.Listing{Clock: clock, Complete: true, Running: []dispatch.ListedRun{listedRun(start)}})
				h.takeActions()
			}
			confirmAndPoll := func(answered bool) {
				confirmed := h.now
				step(upTo(300 * time.Millisecond))
				h.core.LeaderConfirmed(confirmed)
				h.core.Tick(h.now)
				h.takeActions()
				poll(answered)
			}
			for range 1 + rng.IntN(12) {
				confirmAndPoll(true)
			}
			poll(false) // carried out, but the answer is lost
			if rng.IntN(2) == 0 {
				h.beginTenure() // it was elected after the last confirmation of the former leader
				other := dispatch.Target{Worker: "b", Born: 1, Address: "b:1"}
				h.handleListing(other, nil, nil)
			}
			for range 400 {
				confirmed := h.now
				step(upTo(60 * time.Millisecond))
				h.core.LeaderConfirmed(confirmed)
				h.core.Tick(h.now)
				h.core.PollUnanswered(w.target)
				if until, _ := h.core.GrantLease(w.target); until > w.until {
					w.until = until // such a poll may have arrived as well
				}
				h.plan()
				if len(h.starts) > 0 {
					break
				}
			}
			require.NotEmpty(t, h.starts, "the work is never started again")
			require.Equal(t, "b", h.starts[0].Worker)
			require.Less(t, w.until, w.clock(real), "started on b while the lease on a lasts (rate %v)", w.rate)
			require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED, h.phase(id(1)))
		})
	}
}
