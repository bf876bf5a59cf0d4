package dispatch

import "time"

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
	since time.Duration // when the first of them started
	left  int           // probes that the worker may get before the next plan
}

// failing reports whether the worker gets no other runs than probes.
func (w *worker) failing() bool { return w.failures >= maxFailures }

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
	p.left = max(0, 1<<min(maxProbeDoublings, int((now-p.since)/probePeriod))-present)
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
		w.probation.began, w.probation.since = true, now
		c.addNotice(Notice{Event: "worker_probed", Worker: w.Worker, Job: r.task.step.key.Job, Task: r.task.key().String(), Run: r.number})
	}
}

// noteFailure counts failures of a worker's runs. A failing worker gets no runs for a while.
func (c *Core) noteFailure(w *worker, failures float64, reason string, age, now time.Duration) {
	w.failures = failures
	w.probation = probation{}
	if w.failing() {
		w.backoffUntil = now + failureBackoff
		c.addNotice(Notice{Event: "worker_resting", Worker: w.Worker, Reason: reason, Age: age})
	}
}

// noteSuccess records that a run of a worker is done.
func (c *Core) noteSuccess(w *worker) {
	if w.failing() {
		c.addNotice(Notice{Event: "worker_reopened", Worker: w.Worker})
	}
	w.failures, w.probation = 0, probation{}
}
