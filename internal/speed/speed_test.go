package speed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func observeRun(w *Worker, ratio float64, now time.Duration) {
	w.ObserveRun(Run{Ratio: ratio, Peers: ratio, Weight: 1}, now)
}

// Load: runs whose times vary by half around what their worker's speed gives.
func observeRuns(r *rand.Rand, w *Worker, slowness float64, n int) {
	for range n {
		observeRun(w, slowness*math.Exp(0.5*r.NormFloat64()), 0)
	}
}

func TestWorkerWithoutRunsIsExpectedToBeLikeItsKind(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	p := NewPool()
	for range 20 {
		observeRuns(r, p.Worker("fast"), 0.625, 5)
		observeRuns(r, p.Worker("slow"), 1.6, 5)
	}
	ratio := p.Worker("slow").Slowness(0) / p.Worker("fast").Slowness(0)
	require.InEpsilon(t, 1.6/0.625, ratio, 0.2)
	require.InDelta(t, 1, p.Worker("new").Slowness(0), 0.01)
}

func TestWorkerThatDeviatesFromItsKindIsKnownAfterSomeRuns(t *testing.T) {
	sum, trials := 0.0, 50
	for seed := range trials {
		r := rand.New(rand.NewPCG(uint64(seed), 1))
		p := NewPool()
		for range 30 {
			observeRuns(r, p.Worker("a"), 1, 10)
		}
		odd := p.Worker("a")
		observeRuns(r, odd, 1.7, 25)
		sum += odd.Slowness(0)
		require.InDelta(t, 1, p.Worker("a").Slowness(0), 0.15, "the kind is not taken for slow")
	}
	require.InEpsilon(t, 1.7, sum/float64(trials), 0.2)
}

// Workers that are all alike must not look different from the noise of their runs.
func TestAlikeWorkersStayAlike(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	p := NewPool()
	const workers = 100
	sum := 0.0
	for range workers {
		w := p.Worker("a")
		observeRuns(r, w, 1, 40)
		sum += math.Pow(math.Log(w.Slowness(0)), 2)
	}
	require.Less(t, math.Sqrt(sum/workers), 0.18, "the spread of an average with gain 0.2, which decisions bore before")
}

func TestOneExtremeRunHardlyCounts(t *testing.T) {
	w := NewPool().Worker("a")
	observeRuns(rand.New(rand.NewPCG(1, 1)), w, 1, 20)
	before := w.Slowness(0)
	observeRun(w, 50, 0)
	require.Less(t, w.Slowness(0)/before, 1.1)
}

func present(w *Worker, now time.Duration, ratios ...float64) Change {
	var e Evidence
	for _, ratio := range ratios {
		w.AddPeers(&e, ratio, 1)
	}
	return w.ObservePresent(e, now)
}

func TestSlowSpellNeedsSeveralRuns(t *testing.T) {
	p := NewPool()
	w := p.Worker("a")
	require.Equal(t, Unchanged, present(w, 0, 7), "one run alone may be a long one")
	require.Equal(t, Unchanged, present(w, 0, 7, 1, 1, 1))
	require.Equal(t, Slowed, present(w, 0, 4, 4, 4))
	require.Greater(t, w.Slowness(0), 3.0)
	require.Equal(t, Unchanged, present(w, 0, 4, 4, 4), "a known spell is told once")
	require.InDelta(t, 1, p.Worker("a").Slowness(0), 0.01, "its kind is not slow")
}

func TestSpellEndsWithTheFirstRunsThatAreNotSlow(t *testing.T) {
	w := NewPool().Worker("a")
	present(w, 0, 4, 4, 4)
	require.Equal(t, Recovered, present(w, time.Second, 1, 1.2))
	require.InDelta(t, 1, w.Slowness(time.Second), 0.01)
}

func TestSpellWithoutConfirmationFadesWithinThreeSeconds(t *testing.T) {
	w := NewPool().Worker("a")
	present(w, 0, 4, 4, 4)
	require.Greater(t, w.Slowness(time.Second), 3.0)
	require.False(t, w.EndFadedSpell(time.Second))
	require.InDelta(t, 1, w.Slowness(3*time.Second), 0.01)
	require.True(t, w.EndFadedSpell(3*time.Second))
	require.False(t, w.EndFadedSpell(3*time.Second))
}

// A run that goes through a slow spell says little about the time after it.
func TestRunsOfASpellDoNotCountAsTheWorkersOwnSpeed(t *testing.T) {
	w := NewPool().Worker("a")
	present(w, 0, 4, 4, 4)
	for range 5 {
		observeRun(w, 4, time.Second/2)
	}
	require.Less(t, w.Slowness(4*time.Second), 1.3)
}

// Load: each step runs on workers of one kind, as these come free together.
func TestKindIsKnownWhereStepsRunOnOneKindOnly(t *testing.T) {
	p := NewPool()
	for range 100 {
		p.Worker("fast").ObserveRun(Run{Ratio: 0.7, Peers: 1, Weight: 1}, 0)
		p.Worker("slow").ObserveRun(Run{Ratio: 1.4, Peers: 1, Weight: 1}, 0)
	}
	require.InEpsilon(t, 2, p.Worker("slow").Slowness(0)/p.Worker("fast").Slowness(0), 0.1)
}
