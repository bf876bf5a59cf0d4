package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	workers     = 350
	orderWait   = 200 * time.Millisecond // an order without an answer is overdue after it
	hopTime     = 16 * time.Millisecond  // longest time in batches on the way
	maxWaitRise = 2                      // callers allow a p99 of twice that on even instances
	lossTime    = time.Second            // time within which a slow instance has lost its part
	regainTime  = 20 * time.Second
	orderCost   = 4 * time.Millisecond
)

// profile is a quantity that changes with time.
type profile[T any] func(at time.Duration) T

func steadily[T any](value T) profile[T] { return func(time.Duration) T { return value } }

// during returns a profile that has another value in a span of time.
func during[T any](from, to time.Duration, inside, outside T) profile[T] {
	return func(at time.Duration) T {
		if at >= from && at < to {
			return inside
		}
		return outside
	}
}

// delegate answers orders one after the other.
type delegate struct {
	name    string
	cost    profile[time.Duration]
	freeAt  time.Duration
	waiting []order
}

type order struct{ sent, done time.Duration }

// load is what a leader orders through its delegates, and what came of it.
type load struct {
	rate   profile[int] // orders a second
	length time.Duration
	paused profile[bool] // the leader does not run
	fixed  bool          // the weights are not used
	seed   uint64

	answered []order
	changes  []Change
	parts    []map[string]int // workers of each delegate, by step
}

// play runs the load on delegates with the given costs of an order.
func (l load) play(costs ...profile[time.Duration]) *load {
	random, weights := rand.New(rand.NewPCG(l.seed, 0)), New(Orders)
	var delegates []*delegate
	for i, cost := range costs {
		delegates = append(delegates, &delegate{name: instanceName(i), cost: cost})
	}
	assigned := l.assign(delegates, weights)
	nextOrder := time.Duration(0)
	for at := time.Duration(0); at < l.length; at += time.Millisecond {
		if l.paused != nil && l.paused(at) {
			nextOrder = at
			continue
		}
		for _, d := range delegates {
			l.receive(d, at, weights)
		}
		if at%StepPeriod == 0 {
			changed, changes := weights.Step(epoch.Add(at))
			if l.changes = append(l.changes, changes...); changed && !l.fixed {
				assigned = l.assign(delegates, weights)
			}
			l.notePart(assigned)
		}
		for ; nextOrder <= at; nextOrder += time.Duration(random.ExpFloat64() * float64(time.Second) / float64(l.rate(at))) {
			d := assigned[random.IntN(workers)]
			d.freeAt = max(at, d.freeAt) + d.cost(at)
			d.waiting = append(d.waiting, order{at, d.freeAt + time.Duration(random.Int64N(int64(hopTime)))})
		}
	}
	return &l
}

var epoch = time.Unix(0, 0)

func instanceName(i int) string { return fmt.Sprintf("10.0.0.%d:7720", i+1) }

// receive takes the answers that have come, and reports the orders that are overdue.
func (l *load) receive(d *delegate, at time.Duration, weights *Weights) {
	d.waiting = slices.DeleteFunc(d.waiting, func(o order) bool {
		if o.done > at {
			if at%StepPeriod == 0 {
				weights.Overdue(d.name, epoch.Add(o.sent), epoch.Add(at), at-o.sent-orderWait)
			}
			return false
		}
		l.answered = append(l.answered, order{o.sent, at})
		weights.Observe(d.name, epoch.Add(o.sent), epoch.Add(at), at-o.sent)
		return true
	})
}

func (l *load) assign(delegates []*delegate, weights *Weights) []*delegate {
	byName, names := make(map[string]*delegate), []string(nil)
	for _, d := range delegates {
		byName[d.name], names = d, append(names, d.name)
	}
	out := make([]*delegate, workers)
	for i := range out {
		out[i] = byName[Choose(fmt.Sprintf("worker-%d", i), names, weights)]
	}
	return out
}

func (l *load) notePart(assigned []*delegate) {
	part := make(map[string]int)
	for _, d := range assigned {
		part[d.name]++
	}
	l.parts = append(l.parts, part)
}

// part returns the workers of the first delegate at a time.
func (l *load) part(at time.Duration) int { return l.parts[at/StepPeriod][instanceName(0)] }

// p99 returns the 99th percentile of the waits of orders sent in a span of time.
func (l *load) p99(from, to time.Duration) time.Duration {
	var waits []time.Duration
	for _, o := range l.answered {
		if o.sent >= from && o.sent < to {
			waits = append(waits, o.done-o.sent)
		}
	}
	slices.Sort(waits)
	return waits[len(waits)*99/100]
}

// eachSeed runs a test with several courses of the orders.
func eachSeed(t *testing.T, test func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { test(t, seed) })
	}
}

// withFive returns the costs of a delegate and of five even ones.
func withFive(first profile[time.Duration]) []profile[time.Duration] {
	return append([]profile[time.Duration]{first}, slices.Repeat([]profile[time.Duration]{steadily(orderCost)}, 5)...)
}

// Answers a delegate whose processor is taken away: slowed fivefold for 5 s, it can't
// carry its part any more.
func TestSlowedDelegateLosesItsPartWithinASecondAndRegainsIt(t *testing.T) {
	const from, to = 5 * time.Second, 10 * time.Second
	eachSeed(t, func(t *testing.T, seed uint64) {
		l := load{rate: steadily(600), length: to + regainTime + time.Second, seed: seed}
		even := l.play(withFive(steadily(orderCost))...)
		slowed := l.play(withFive(during(from, to, 5*orderCost, orderCost))...)
		require.Less(t, slowed.part(from+lossTime), even.part(0)/2)
		require.LessOrEqual(t, slowed.p99(from, l.length), maxWaitRise*even.p99(from, l.length))
		require.Less(t, slowed.part(to+time.Second), even.part(0)/2, "it regains its part slowly")
		require.Equal(t, even.part(0), slowed.part(to+regainTime))
		require.Len(t, slowed.changes, 2)
		require.True(t, slowed.changes[0].Reduced)
		require.False(t, slowed.changes[1].Reduced)
		require.Empty(t, even.changes)
	})
}

// Answers a delegate that stands still for a while although its stream stays open: no
// answer says that it is slow.
func TestDelegateWithoutAnswersLosesItsPartWithinASecond(t *testing.T) {
	const from = 5 * time.Second
	eachSeed(t, func(t *testing.T, seed uint64) {
		l := load{rate: steadily(600), length: from + 2*time.Second, seed: seed}.play(withFive(during(from, from+2*time.Second, time.Minute, orderCost))...)
		require.Less(t, l.part(from+lossTime), l.part(0)/2)
	})
}

// Answers instances of different sizes: one of six has half the processor, at loads up to
// those that the others just bear.
func TestDelegateWithHalfTheProcessorGetsWhatItBears(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		for _, rate := range []int{300, 600, 800} {
			l := load{rate: steadily(rate), length: 30 * time.Second, seed: seed}
			even := l.play(withFive(steadily(orderCost))...)
			uneven := l.play(withFive(steadily(2 * orderCost))...)
			require.LessOrEqual(t, uneven.p99(0, l.length), maxWaitRise*even.p99(0, l.length), "%d orders a second", rate)
		}
	})
}

// Answers a burst on links of 1.5 and of 5 Mbit/s, compared with links of 3.25 Mbit/s
// which carry the same in all.
func TestBurstIsCarriedByTheWiderLinks(t *testing.T) {
	const from, to, orderBits = 10 * time.Second, 20 * time.Second, 16_000
	link := func(bitsPerSecond int) profile[time.Duration] {
		return steadily(time.Duration(orderBits) * time.Second / time.Duration(bitsPerSecond))
	}
	narrow, wide, mean := link(1_500_000), link(5_000_000), link(3_250_000)
	eachSeed(t, func(t *testing.T, seed uint64) {
		l := load{rate: during(from, to, 800, 200), length: to, seed: seed}
		even := l.play(mean, mean, mean, mean, mean, mean)
		uneven := l.play(narrow, wide, narrow, wide, narrow, wide)
		require.LessOrEqual(t, uneven.p99(0, from), maxWaitRise*even.p99(0, from))
		require.LessOrEqual(t, uneven.p99(from+lossTime, to), maxWaitRise*even.p99(from+lossTime, to))
	})
}

// Answers what slows all delegates: taking work from some would only slow the rest more.
// Queues that are long by chance may move a few workers for a while.
func TestDelegatesThatAreAllSlowKeepEqualParts(t *testing.T) {
	slow := slices.Repeat([]profile[time.Duration]{during(5*time.Second, 25*time.Second, 10*orderCost, orderCost)}, 6)
	eachSeed(t, func(t *testing.T, seed uint64) {
		for _, rate := range []int{60, 90, 120} {
			l := load{rate: steadily(rate), length: 30 * time.Second, seed: seed}
			weighted := l.play(slow...)
			l.fixed = true
			fixed := l.play(slow...)
			require.LessOrEqual(t, weighted.p99(0, l.length), maxWaitRise*fixed.p99(0, l.length), "%d orders a second", rate)
			for name, workers := range weighted.parts[0] {
				sum := 0
				for _, part := range weighted.parts {
					sum += part[name]
				}
				require.InEpsilon(t, workers, float64(sum)/float64(len(weighted.parts)), 0.2, "%s at %d orders a second", name, rate)
			}
		}
	})
}

// Answers a leader that stands still: the orders on their way are answered late through
// whichever instances they went.
func TestPauseOfTheLeaderCostsNoInstanceItsPart(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		for _, length := range []time.Duration{250 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second} {
			for _, rate := range []int{30, 600} {
				const from = 5 * time.Second
				l := load{rate: steadily(rate), length: 12 * time.Second, seed: seed, paused: during(from, from+length, true, false)}.play(withFive(steadily(orderCost))...)
				for _, part := range l.parts {
					require.Equal(t, l.parts[0], part, "a pause of %v at %d orders a second", length, rate)
				}
			}
		}
	})
}
