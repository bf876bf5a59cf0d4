package dispatch

import (
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Gains and bounds of what is learned from run times.
const (
	ratioGain    = 0.1 // weight of one run in a queue's ratio of run time to estimate
	slownessGain = 0.2 // weight of one run in a worker's slowness
	minRatio     = 0.2
	maxRatio     = 5.0
)

// ratio is the learned ratio of a queue's run times to the submitters' estimates.
type ratio struct{ value float64 }

func (c *Core) runTimeRatio(host, prefix string) float64 {
	if r := c.runTimeRatios[[2]string{host, prefix}]; r != nil {
		return r.value
	}
	return 1
}

// learnFromEnd updates the failures and the slowness of a worker and the ratio of a
// queue with the outcome and the run time of a run.
func (c *Core) learnFromEnd(r *run, outcome egretmuxv1.RunOutcome, now time.Duration) {
	w := r.worker
	if r.task.step.spec.GetLongRunning() {
		return // its end says nothing about the worker: it may fail by itself at any time
	}
	switch outcome {
	case egretmuxv1.RunOutcome_RUN_OUTCOME_FAILED:
		w.failures++
		if w.failures >= maxFailures {
			w.backoffUntil = now + failureBackoff
			c.addNotice(Notice{Event: "worker_resting", Worker: w.Worker, Reason: "failed-runs"})
		}
		return
	case egretmuxv1.RunOutcome_RUN_OUTCOME_DONE:
		w.failures = 0
	default:
		return
	}
	s := r.task.step
	took := float64(now-r.startedAt) / float64(time.Millisecond)
	representative := s.spec.GetEstimateMs() > 0 && r.task.highestRun == r.number &&
		(s.spec.GetDataRack() == "" || s.spec.GetDataRack() == w.rack)
	if !representative || took <= 0 {
		return
	}
	key := queueKey(s.job)
	observed := min(maxRatio, max(minRatio, took/float64(s.spec.GetEstimateMs())))
	if c.runTimeRatios[key] == nil {
		c.runTimeRatios[key] = &ratio{value: 1}
	}
	expected := c.runTimeRatios[key].value
	c.runTimeRatios[key].value += ratioGain * (observed - expected)
	w.slowness += slownessGain * (min(maxRatio, observed/expected) - w.slowness)
}
