package dispatch

import (
	"slices"
	"time"
)

// A worker on which run after run has failed rests, and is then probed: it gets one run, and
// twice as many after each probePeriod in which none of them has failed. A probe that is done
// ends the probation, one that fails begins it anew. Runs that were there before tell nothing,
// and may last, so they are not waited for; nor is the end of a probe, as it may be far off.

// probePeriod is the time without a failure after which a failing worker may have twice as many
// probes.
const probePeriod = 4 * time.Second

// maxProbeDoublings bounds the number of probes by 2 to its power, more than a worker runs.
const maxProbeDoublings = 16

// probation is the state of a failing worker.
type probation struct {
	began bool          // whether there are probes
	since time.Duration // when the first of them started, or the rest was over
	left  int           // probes that the worker may get before the next plan
}

// maxFailingSteps bounds the steps by which the failures of a worker are kept.
const maxFailingSteps = 16

// failures are failed runs of one step on a worker; maxFailures or more after one without
// progress.
type failures struct {
	step *step
	runs int
}

// failing reports whether the worker gets no other runs than probes. Failures of steps that fail
// everywhere tell nothing about it.
func (w *worker) failing() bool {
	runs := 0
	for _, f := range w.failures {
		if !f.step.failsEverywhere {
			runs += f.runs
		}
	}
	return runs >= maxFailures
}

// updateFailsEverywhere decides whether the runs of a step are likely to fail for its own sake: they
// have failed on several workers, on most of those that it can run on, and none was done. That they
// have failed wherever they ran is not enough: broken workers have room while sound ones are full.
func (c *Core) updateFailsEverywhere(s *step) {
	failedOn, suitable := 0, 0
	pool := c.queue(s.job).GetService()
	for _, w := range c.workers {
		if w.life.GetPool() != pool || !w.usable() || !s.suits(w) {
			continue
		}
		suitable++
		if s.failedOn[w] {
			failedOn++
		}
	}
	s.failsEverywhere = !s.succeeded && failedOn > 1 && 2*failedOn > suitable
}

// renewProbation computes how many probes a failing worker may get in a plan.
func (w *worker) renewProbation(now time.Duration) {
	if !w.failing() {
		w.probation = probation{}
		return
	}
	present := 0
	for _, r := range w.runs {
		if r.probe && r.state != ended {
			present++
		}
	}
	p := &w.probation
	switch {
	case present == 0:
		*p = probation{left: 1}
		return
	case !p.began: // those that are left after one has failed
		p.began, p.since = true, now
	}
	p.left = max(0, 1<<min(maxProbeDoublings, max(0, int((now-p.since)/probePeriod)))-present)
}

// noteProbe records that a run is started on a worker, and marks it as a probe if that is
// failing.
func (c *Core) noteProbe(r *run, now time.Duration) {
	w := r.worker
	if !w.failing() {
		return
	}
	r.probe = true
	w.probation.left--
	if !w.probation.began {
		w.probation.began, w.probation.since = true, max(now, w.restUntil)
		c.addNotice(Notice{Event: "worker_probed", Worker: w.Worker, Job: r.task.step.key.Job, Task: r.task.key().String(), Run: r.number})
	}
}

// workerSet is a set of workers; nil is an empty one.
type workerSet map[*worker]bool

// with adds a worker to the set, and returns it.
func (set workerSet) with(w *worker) workerSet {
	if set == nil {
		set = make(workerSet)
	}
	set[w] = true
	return set
}

// noteFailure counts a failed run, or one without progress, which weighs as many, against its
// worker. A failing worker gets no runs for a while.
func (c *Core) noteFailure(r *run, runs int, reason string, age, now time.Duration) {
	w, s := r.worker, r.task.step
	s.failedOn = s.failedOn.with(w)
	i := slices.IndexFunc(w.failures, func(f failures) bool { return f.step == s })
	if i < 0 {
		w.failures = append(w.failures, failures{step: s})
		w.failures = w.failures[max(0, len(w.failures)-maxFailingSteps):]
		i = len(w.failures) - 1
	}
	w.failures[i].runs += runs
	known := s.failsEverywhere
	c.updateFailsEverywhere(s)
	if s.failsEverywhere {
		if !known {
			c.reopenWorkers(s, now)
		}
		return
	}
	w.probation = probation{}
	if w.failing() && !c.mayRest(w) {
		w.failures = nil
		return
	}
	if w.failing() {
		w.restUntil = now + failureBackoff
		c.addNotice(Notice{Event: "worker_resting", Worker: w.Worker, Reason: reason, Age: age})
	}
}

// mayRest reports whether a failing worker may rest. At most half of the workers of a pool are failing,
// or one: beyond that it is more likely that the jobs are at fault, however few workers each of them has
// failed on.
func (c *Core) mayRest(w *worker) bool {
	usable, failing := 0, 0
	for _, other := range c.workers {
		if other != w && (other.life.GetPool() != w.life.GetPool() || !other.usable()) {
			continue
		}
		usable++
		if other.failing() {
			failing++
		}
	}
	return failing <= max(1, usable/2)
}

// reopenWorkers opens the workers that rest only for failures of a step that fails everywhere.
func (c *Core) reopenWorkers(s *step, now time.Duration) {
	for _, w := range c.sortedWorkers() {
		if s.failedOn[w] && w.restUntil > now && !w.failing() {
			w.restUntil, w.probation = 0, probation{}
			c.addNotice(Notice{Event: "worker_reopened", Worker: w.Worker, Job: s.key.Job, Reason: "step-fails-everywhere"})
		}
	}
}

// noteSuccess records that a run is done.
func (c *Core) noteSuccess(r *run) {
	w, s := r.worker, r.task.step
	s.succeeded, s.failsEverywhere = true, false
	if w.failing() {
		c.addNotice(Notice{Event: "worker_reopened", Worker: w.Worker, Reason: "run-done"})
	}
	w.failures, w.probation = nil, probation{}
}
