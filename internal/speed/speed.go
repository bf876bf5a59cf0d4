// Package speed estimates how slow the workers of a pool are, from the times that their
// runs take relative to an expectation that does not know the worker.
//
// A worker's slowness is the product of three factors: that of its kind, its own lasting
// deviation from the kind, and that of a slow spell. The first two are averages of many
// runs. A spell needs the agreement of several runs at the same time, takes effect at
// once, and fades unless runs in progress confirm it: a worker that is avoided shows in no
// other way that it has recovered. All factors are kept as logarithms.
//
// The package has no clock and is not safe for concurrent use.
package speed

import (
	"math"
	"time"
)

const (
	maxRunRatio  = 2.5  // a run counts as at most this much slower or faster than its worker
	poolMemory   = 400  // runs after which an older one weighs 1/e
	kindMemory   = 200  // the same for a kind
	workerMemory = 20   // the same for a worker
	poolPrior    = 50.0 // runs of a pool that weigh as much as the assumption that expectations are right
	kindPrior    = 6.0  // runs of a kind that weigh as much as the assumption that it is average
	workerPrior  = 6.0  // the same for a worker and the assumption that it is like its kind
	negligible   = 0.02 // slowness that differs from 1 by less counts as 1
)

// average is a moving average that begins at zero.
type average struct{ value, weight float64 }

func (a *average) add(x, weight, prior, memory float64) {
	a.weight = min(a.weight+weight, memory)
	a.value += weight / (a.weight + prior) * (x - a.value)
}

// Pool holds what is known about the workers of one pool.
type Pool struct {
	mean      average             // of Run.Ratio
	peersMean average             // of Run.Peers
	kinds     map[string]*average // relative to mean
}

// NewPool returns a pool about which nothing is known.
func NewPool() *Pool { return &Pool{kinds: make(map[string]*average)} }

// Worker is what is known about one worker.
type Worker struct {
	pool        *Pool
	kind        *average
	own         average // relative to its kind
	spell       float64 // as of confirmedAt; zero if there is none
	confirmedAt time.Duration
}

// Worker returns a worker of the given kind about which nothing else is known.
func (p *Pool) Worker(kind string) *Worker {
	if p.kinds[kind] == nil {
		p.kinds[kind] = &average{}
	}
	return &Worker{pool: p, kind: p.kinds[kind]}
}

// lasting returns the logarithm of the slowness without the spell.
func (w *Worker) lasting() float64 { return w.kind.value + w.own.value }

// Slowness returns the expected time of a run on the worker relative to the average of its
// pool.
func (w *Worker) Slowness(now time.Duration) float64 {
	slowness := math.Exp(w.lasting() + w.spellAt(now))
	if math.Abs(slowness-1) < negligible {
		return 1
	}
	return slowness
}

// KindSlowness returns the slowness of the worker's kind.
func (w *Worker) KindSlowness() float64 { return math.Exp(w.kind.value) }

// Run is a run that has taken Ratio times as long as expected, and Peers times as long as
// the runs of the same step on other workers let expect. Peers weighs Weight: 1, or less if
// there are few such runs.
type Run struct{ Ratio, Peers, Weight float64 }

// ObserveRun adds a run. Its kind learns from Ratio: the other runs of a step often are on
// workers of one kind, and their comparison would not show that all of them are slow.
func (w *Worker) ObserveRun(r Run, now time.Duration) {
	p, usual := w.pool, w.lasting()
	spell := w.spellAt(now)
	ratio := usual + clamp(math.Log(r.Ratio)-p.mean.value-usual-spell, math.Log(maxRunRatio))
	p.mean.add(ratio+p.mean.value, 1, poolPrior, poolMemory)
	w.kind.add(ratio, 1, kindPrior, kindMemory)
	peers := usual + clamp(math.Log(r.Peers)-p.peersMean.value-usual-spell, math.Log(maxRunRatio))
	p.peersMean.add(peers+p.peersMean.value, r.Weight, poolPrior, poolMemory)
	w.own.add(peers-w.kind.value, r.Weight, workerPrior, workerMemory)
}

// deviation returns the logarithm of a ratio to its peers relative to what is expected on
// the worker outside of a spell.
func (w *Worker) deviation(peers float64) float64 {
	return math.Log(peers) - w.pool.peersMean.value - w.lasting()
}

func clamp(x, limit float64) float64 { return max(-limit, min(limit, x)) }
