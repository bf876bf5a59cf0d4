package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

// Guards against an answer of a worker, or of an instance that passes it on, that takes the leader down:
// listings with tasks, runs, numbers, outcomes and measures that no worker has, beside sound ones.
func TestMalformedListingsTakeNoLeaderDown(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			pickNumber := func() uint64 { return []uint64{0, 1, 2, 3, 1 << 40, math.MaxUint64}[rng.IntN(6)] }
			pickIndex := func() uint32 { return []uint32{0, 0, 1, 2, 3, 4, math.MaxUint32}[rng.IntN(7)] }
			pickMeasure := func() float64 {
				return []float64{0, 50, 100, -1, 1e308, math.Inf(1), math.Inf(-1), math.NaN()}[rng.IntN(8)]
			}
			h := newHarness(t)
			var workers []dispatch.Target
			for _, name := range []string{"a", "b", "c"} {
				workers = append(workers, h.addWorker(name, 8))
			}
			gang, copied, serving, filler := tasks(2, 1), tasks(3, 1), tasks(2, 2), tasks(2, 1)
			gang.Gang, copied.Speculative, filler.Fills = true, true, true
			serving.LongRunning, serving.TargetMs, serving.Image = true, 50, "s"
			h.submit(id(1), gang, copied)
			h.submit(id(2), serving)
			h.submit(id(3), filler, tasks(1, 1))
			task := func() dispatch.TaskKey {
				key := dispatch.TaskKey{StepKey: dispatch.StepKey{Job: id(rng.IntN(5)), Step: pickIndex()}, Index: pickIndex()}
				if rng.IntN(8) == 0 {
					key.Occurrence, key.Job = pickIndex(), ""
				}
				return key
			}
			require.NotPanics(t, func() {
				for range 60 {
					h.plan()
					for _, s := range h.starts {
						h.core.StartAnswered(s, dispatch.StartResult(rng.IntN(int(dispatch.Unanswered)+1)), h.now, h.now)
					}
					h.starts = nil
					l := dispatch.Listing{Clock: []int64{0, -1, 1000 + h.now.Milliseconds(), math.MaxInt64, math.MinInt64}[rng.IntN(5)], Complete: rng.IntN(2) == 0}
					for range rng.IntN(6) {
						l.Running = append(l.Running, dispatch.ListedRun{Task: task(), Run: pickNumber(), ProgressPercent: pickMeasure(), TailLatencyMs: pickMeasure(), Checkpoint: "c"})
					}
					for range rng.IntN(6) {
						l.Ended = append(l.Ended, dispatch.ListedEnd{
							Number: pickNumber(), Task: task(), Run: pickNumber(), Outcome: egretmuxv1.RunOutcome(rng.IntN(9) - 1), TaskParsed: rng.IntN(3) > 0,
						})
					}
					w := workers[rng.IntN(len(workers))]
					h.core.GrantLease(w)
					h.core.HandleListing(w, h.now, h.now+time.Duration(rng.IntN(100))*time.Millisecond, l)
					h.takeActions()
					for _, p := range h.stops {
						h.core.StopAnswered(p, rng.IntN(2) == 0, h.now)
					}
					h.stops = nil
					h.storeEnds()
					h.advance(time.Duration(rng.IntN(500)) * time.Millisecond)
				}
				h.beginTenure()
				for _, w := range workers {
					h.handleListing(w, nil, nil)
				}
				h.plan()
			})
		})
	}
}
