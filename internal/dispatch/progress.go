package dispatch

import (
	"math"
	"slices"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/speed"
)

// Speeds of workers, learned from the ends of runs and from the progress of those that
// have not ended. A run takes longer than expected because its worker is slow or because the
// estimate of its step is wrong. So each run is compared with the runs of its step on other
// workers, as far as there are any.
const (
	// A rate is measured over minRateMs of the worker's clock and minRateShare of the expected
	// run time: progress is listed in whole percent.
	minRateMs    = 400.0
	minRateShare = 0.08
	minPercent   = 0.5 // progress that counts at least
	// maxListingDelay is the time from a poll to its answer beyond which the age of the listed
	// progress is not known.
	maxListingDelay = 2 * time.Second
	resumePeriod    = time.Second // a run that resumes from a checkpoint may show no progress before
	siblingPrior    = 0.5         // sibling runs that weigh as much as the assumption that the estimate is right
	minSiblings     = 2           // runs elsewhere from which a run's expectation is not vague
	vagueWeight     = 0.5         // weight of runs whose expectation is vague
	maxPeerRates    = 2           // rates of a run that are compared with its siblings: one that stays slow is a long run
	maxAgreeing     = 3           // runs of one step that count for the present speed of a worker
)

// progress is what the listings of a run show about its rate.
type progress struct {
	known   bool  // whether there is an earlier listing to measure from
	clock   int64 // worker's clock at that listing, milliseconds
	percent float64
	total   float64 // logarithm of the run time, in milliseconds, that the last rate leads to
	ratio   float64 // the same relative to the expected run time
	rates   int     // how often the rate was measured
	settled bool    // whether usual is known
	usual   float64 // least total so far, outside of slow spells
	counted bool    // whether the run is counted in its step's siblings
	effect  float64 // logarithm of what it is counted with
	taught  bool    // whether it has taught the lasting speed of its worker
}

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

// measure updates the rate of a run from its newest listing and reports whether it has a
// new one. A run without any progress is stuck, or its worker lists none.
func (c *Core) measure(r *run, clock int64, asked, now time.Duration) bool {
	s, p := r.task.step, &r.progress
	if r.state != running || r.progressPercent == 0 || s.spec.GetLongRunning() || s.spec.GetFills() || s.spec.GetEstimateMs() == 0 ||
		r.confirmedPace < fullPace || r.progressPercent >= nearlyDonePercent || !r.timed && now-r.startedAt < resumePeriod {
		return false
	}
	elapsed, gained := float64(clock-p.clock), r.progressPercent-p.percent
	if !p.known {
		elapsed, gained = float64((now-r.startedAt)/time.Millisecond), r.progressPercent
		if !r.timed || now-asked > maxListingDelay {
			elapsed = 0 // it is not known since when it has made this progress
		}
	}
	expected := c.expectedMs(r)
	enough := elapsed >= max(minRateMs, minRateShare*expected)
	if !p.known || enough || gained < 0 {
		p.known, p.clock, p.percent = true, clock, r.progressPercent
	}
	if !enough || gained < 0 {
		return false
	}
	p.rates++
	p.total = math.Log(elapsed * 100 / max(minPercent, gained))
	p.ratio = p.total - math.Log(expected)
	return true
}

// expectedMs returns the expected run time of a run on an average worker in the rack in
// which it runs.
func (c *Core) expectedMs(r *run) float64 {
	return c.expectedMsOn(r.task.step, r.worker)
}

func (c *Core) expectedMsOn(s *step, w *worker) float64 {
	ms := c.estimateMs(s.job.spec, s.spec)
	if rack := s.spec.GetDataRack(); rack != "" && rack != w.rack {
		ms *= c.cfg.FarFactor
	}
	return ms
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
