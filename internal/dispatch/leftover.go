package dispatch

import (
	"slices"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	jobs "github.com/egretmux/egretmux/internal/job"
)

// leftover is a run that may be present on its worker but belongs to no task that is open here:
// an earlier leader started it. It counts for its customer until the worker has listed its runs
// without it, its life is over or its lease has certainly expired.
type leftover struct {
	customer *customer
	usage    resources
}

// jobRun is an outstanding run of a customer's job.
type jobRun struct {
	job  *egretmuxv1.Job
	spec *egretmuxv1.LeftoverRun
}

func (r jobRun) key(id string) runKey {
	return runKey{TaskKey{StepKey{id, r.spec.GetOccurrence(), r.spec.GetStep()}, r.spec.GetIndex()}, r.spec.GetRun()}
}

// countLeftovers counts the stored runs that the tasks of open steps have not adopted.
func (c *Core) countLeftovers() {
	found := make(map[runKey]jobRun)
	c.cfg.Book.Each(func(id string, rec *jobs.Record) {
		for _, spec := range rec.OutstandingRuns() {
			r := jobRun{rec.Job, spec}
			found[r.key(id)] = r
		}
	})
	for key, r := range found {
		if w := c.workers[r.spec.GetWorker()]; w != nil && w.Born == r.spec.GetBornUnixMs() && w.runs[key] == nil {
			w.countLeftover(key, leftover{c.customerOf(r.job), resourcesOf(r.spec.GetDemand())})
		}
	}
}

// countLeftover counts a run for its customer.
func (w *worker) countLeftover(key runKey, l leftover) {
	if _, known := w.leftovers[key]; known {
		return
	}
	if w.leftovers == nil {
		w.leftovers = make(map[runKey]leftover)
	}
	w.leftovers[key] = l
	l.customer.inUse = l.customer.inUse.plus(l.usage)
}

// dropLeftover ends the count of a run that is not present, or has been adopted by its task.
func (w *worker) dropLeftover(key runKey) {
	if l, known := w.leftovers[key]; known {
		l.customer.inUse = l.customer.inUse.minus(l.usage)
		delete(w.leftovers, key)
	}
}

// dropLeftovers ends the count of all runs but those that are listed.
func (w *worker) dropLeftovers(running map[runKey]bool) {
	for key := range w.leftovers {
		if !running[key] {
			w.dropLeftover(key)
		}
	}
}

// countOrphan counts a listed run whose step is not open. If the log has no start of it any
// more, it has the demand of another run of its step.
func (c *Core) countOrphan(w *worker, key runKey) {
	if _, known := w.leftovers[key]; known {
		return
	}
	var spec *egretmuxv1.Job
	var usage resources
	c.cfg.Book.View(key.task.Job, func(rec *jobs.Record) {
		if rec == nil || rec.Job.GetCustomer() == "" {
			return
		}
		if steps := rec.Job.GetSteps(); int(key.task.Step) < len(steps) {
			spec, usage = rec.Job, usageOf(steps[key.task.Step])
			return
		}
		outstanding := rec.OutstandingRuns()
		if i := slices.IndexFunc(outstanding, func(l *egretmuxv1.LeftoverRun) bool { return l.GetStep() == key.task.Step }); i >= 0 {
			spec, usage = rec.Job, resourcesOf(outstanding[i].GetDemand())
		}
	})
	if spec != nil {
		w.countLeftover(key, leftover{c.customerOf(spec), usage})
	}
}

// hasExpiredRuns reports whether a worker's lease has certainly expired while runs count on it. Those whose ends are
// being stored do not.
func (w *worker) hasExpiredRuns(now time.Duration) bool {
	expiresAt := w.lease.expiresAt
	if len(w.withheld) > 0 && !w.mayExtendLease() {
		expiresAt += lapseHearing
	}
	return now >= expiresAt && (len(w.leftovers) > 0 || w.hasUnendedRuns())
}
