package dispatch

import (
	"math"
	"slices"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/speed"
)

// Slowness of workers, learned from the ends of runs and from the progress of those that
// have not ended. A run takes longer than expected because its worker is slow or because the
// estimate of its step is wrong. So each run is compared with the runs of its step on other
// workers, as far as there are any.
const (
	siblingPrior = 0.5 // sibling runs that weigh as much as the assumption that the estimate is right
	minSiblings  = 2   // runs elsewhere from which a run's expectation is not vague
	vagueWeight  = 0.5 // weight of runs whose expectation is vague
	maxPeerRates = 2   // rates of a run that are compared with its siblings: one that stays slow is a long run
	maxAgreeing  = 3   // runs of one step that count for the present speed of a worker
)

// siblings sums up by how much the runs of a step take longer than expected on their
// workers. here and hereCount are those on the worker whose listing is being read.
type siblings struct {
	sum, here        float64
	count, hereCount int
}

// elsewhere returns by how much the runs of a step on other workers take longer than
// expected, and whether enough of them tell so.
func (s siblings) elsewhere(here float64, hereCount int) (factor float64, known bool) {
	n := s.count - hereCount
	return math.Exp((s.sum - here) / (float64(n) + siblingPrior)), n >= minSiblings
}

// speedOf returns what is known about a worker that joins.
func (c *Core) speedOf(life *egretmuxv1.WorkerLife) *speed.Worker {
	pool := c.speeds[life.GetPool()]
	if pool == nil {
		pool = speed.NewPool()
		c.speeds[life.GetPool()] = pool
	}
	return pool.Worker(kindOf(life.GetLabels()))
}

// learnSpeed takes over the run time of a run that has ended.
func (c *Core) learnSpeed(r *run, ratio float64, now time.Duration) {
	s := r.task.step
	own, counted := r.progress.effect, 1
	if !r.progress.counted {
		own, counted = 0, 0
	}
	others, known := s.siblings.elsewhere(own, counted)
	r.teach(ratio, others, known, now)
	r.count(math.Log(ratio) - math.Log(r.worker.slowness))
}

// teach takes over the ratio of run time to expectation for the lasting speed of the run's
// worker; others is that of the other runs of its step.
func (r *run) teach(ratio, others float64, known bool, now time.Duration) {
	weight := vagueWeight
	if known {
		weight = 1
	}
	r.progress.taught = true
	r.worker.speed.ObserveRun(speed.Run{Ratio: ratio, Peers: ratio / others, Weight: weight}, now)
	r.worker.updateSlowness(now)
}

// count counts a run among the siblings of its step.
func (r *run) count(effect float64) {
	s := &r.task.step.siblings
	if !r.progress.counted {
		r.progress.counted = true
		s.count++
		r.progress.effect = 0
	}
	s.sum += effect - r.progress.effect
	r.progress.effect = effect
}

// learnFromProgress takes over the present speed of a worker from a listing.
func (c *Core) learnFromProgress(w *worker, l Listing, asked, now time.Duration) {
	if len(l.Running) == 0 {
		return
	}
	var measured []*run
	for _, listed := range l.Running {
		r := w.runs[runKey{listed.Task, listed.Run}]
		if r == nil || !c.measure(r, l.Clock, asked, now) {
			continue
		}
		r.count(r.progress.ratio - math.Log(w.slowness))
		measured = append(measured, r)
	}
	if len(measured) == 0 {
		return
	}
	c.observePresent(w, measured, now)
	w.updateSlowness(now)
}

// observePresent compares the measured runs of a worker with what they were before or, if that
// is not known, with the runs of their steps on other workers. A run that was slow from its
// beginning does not show whether it is its worker or the run.
func (c *Core) observePresent(w *worker, measured []*run, now time.Duration) {
	for _, r := range measured {
		r.task.step.siblings.here, r.task.step.siblings.hereCount = 0, 0
	}
	for _, r := range measured {
		s := &r.task.step.siblings
		s.here += r.progress.effect
		s.hereCount++
	}
	var evidence speed.Evidence
	for _, r := range measured {
		s, p := r.task.step.siblings, &r.progress
		others, known := s.elsewhere(s.here, s.hereCount)
		ratio := math.Exp(p.ratio)
		if p.settled {
			evidence.AddChange(math.Exp(p.total - p.usual))
		} else {
			weight := vagueWeight / float64(s.hereCount)
			if known {
				weight = min(1, maxAgreeing/float64(s.hereCount))
			}
			p.settled = w.speed.AddPeers(&evidence, ratio/others, weight) || p.rates >= maxPeerRates
			p.usual = p.total
		}
		if (!r.timed || r.task.step.spec.GetGang()) && !p.taught {
			r.teach(ratio, others, known, now)
		}
	}
	switch w.speed.ObservePresent(evidence, now) {
	case speed.Slowed:
		c.addNotice(Notice{Event: "worker_slow", Worker: w.Worker, Reason: "slow-runs"})
	case speed.Recovered:
		c.addNotice(Notice{Event: "worker_recovered", Worker: w.Worker, Reason: "runs-progress"})
	case speed.Unchanged:
	}
	spell := w.speed.Spell(now)
	for _, r := range measured {
		p := &r.progress
		p.settled = p.settled || spell > 1
		p.usual = min(p.usual, p.total-math.Log(spell))
	}
}

// updateSlowness takes over what has faded or was learned from other workers of the same
// kind.
func (c *Core) updateSlowness(now time.Duration) {
	var recovered []*worker
	for _, w := range c.workers {
		if w.speed.EndFadedSpell(now) {
			recovered = append(recovered, w)
		}
		w.updateSlowness(now)
	}
	sortWorkers(recovered)
	for _, w := range recovered {
		c.addNotice(Notice{Event: "worker_recovered", Worker: w.Worker, Reason: "not-confirmed"})
	}
}

// Speed classes: differences within one are left to chance and to other criteria.
const (
	speedClasses  = 6
	averageClass  = 1 // faster workers are in the class below
	classDistance = 1.6
)

func (w *worker) updateSlowness(now time.Duration) {
	w.slowness = w.speed.Slowness(now)
	class := averageClass + int(math.Round(math.Log(w.speed.WorstSlowness(now))/math.Log(classDistance)))
	w.speedClass = max(0, min(speedClasses-1, class))
}

// kindOf returns the labels of a worker without its rack.
func kindOf(labels []string) string {
	rack := rackOf(labels)
	kind := ""
	for _, l := range slices.Sorted(slices.Values(labels)) {
		if l != rack {
			kind += l + " "
		}
	}
	return kind
}
