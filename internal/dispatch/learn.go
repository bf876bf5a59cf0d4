package dispatch

import (
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// learnFromEnd updates the failures and the slowness of a worker and the run times of a
// queue with the outcome and the run time of a run.
func (c *Core) learnFromEnd(r *run, outcome egretmuxv1.RunOutcome, now time.Duration) {
	w := r.worker
	if r.task.step.spec.GetLongRunning() {
		return // its end says nothing about the worker: it may fail by itself at any time
	}
	switch outcome {
	case egretmuxv1.RunOutcome_RUN_OUTCOME_FAILED:
		c.noteFailure(r, 1, "failed-runs", 0, now)
		return
	case egretmuxv1.RunOutcome_RUN_OUTCOME_DONE:
		c.noteSuccess(r)
	default:
		return
	}
	s := r.task.step
	took := float64(now-r.startedAt) / float64(time.Millisecond)
	representative := r.timed && s.spec.GetEstimateMs() > 0 && r.task.highestRun == r.number &&
		(s.spec.GetDataRack() == "" || s.spec.GetDataRack() == w.rack)
	if !representative || took <= 0 {
		return
	}
	if !s.spec.GetGang() {
		c.learnSpeed(r, took/c.estimateMs(s.job.spec, s.spec), now)
	} else if r.task.index > 0 {
		return // all members end together
	}
	key := queueKey(s.job)
	if c.runTimes[key] == nil {
		c.runTimes[key] = newRunTimes(float64(s.spec.GetEstimateMs()))
	}
	told := s.spec.GetCount() // runs that share an estimate
	if s.spec.GetGang() {
		told = 1
	}
	c.runTimes[key].observe(s.job.spec.GetCustomer(), told, float64(s.spec.GetEstimateMs()), took)
}
