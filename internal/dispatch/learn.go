package dispatch

import (
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Learning from run times.
const (
	ratioGain = 0.1 // weight of one run in a queue's ratio of run time to estimate
	paceGain  = 0.2 // weight of one run in a worker's pace
	minRatio  = 0.2
	maxRatio  = 5.0
)

// ratio is the learned ratio of run times to submitters' estimates.
type ratio struct{ value float64 }

func (c *Core) learned(host, prefix string) float64 {
	if r := c.ratios[[2]string{host, prefix}]; r != nil {
		return r.value
	}
	return 1
}

// learn takes up how long a run took and whether its worker failed it.
func (c *Core) learn(r *run, how egretmuxv1.RunOutcome, now time.Duration) {
	w := r.worker
	if r.task.step.spec.GetLongRunning() {
		return // it may fail at any time by itself
	}
	switch how {
	case egretmuxv1.RunOutcome_RUN_OUTCOME_FAILED:
		w.failures++
		if w.failures >= failLimit {
			w.restUntil = now + failRest
			c.notice(Notice{Event: "worker_resting", Worker: w.Worker, Reason: "failed-runs"})
		}
		return
	case egretmuxv1.RunOutcome_RUN_OUTCOME_DONE:
		w.failures = 0
	default:
		return
	}
	s := r.task.step
	took := float64(now-r.since) / float64(time.Millisecond)
	plain := s.spec.GetEstimateMs() > 0 && r.task.lastRun == r.number &&
		(s.spec.GetDataRack() == "" || s.spec.GetDataRack() == w.rack)
	if !plain || took <= 0 {
		return
	}
	key := queueKey(s.job)
	observed := min(maxRatio, max(minRatio, took/float64(s.spec.GetEstimateMs())))
	if c.ratios[key] == nil {
		c.ratios[key] = &ratio{value: 1}
	}
	expected := c.ratios[key].value
	c.ratios[key].value += ratioGain * (observed - expected)
	w.pace += paceGain * (min(maxRatio, observed/expected) - w.pace)
}
