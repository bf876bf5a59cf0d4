package dispatch

import (
	"math"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

const (
	estimateMemory = 100.0 // runs of a queue after which an older one weighs 1/e
	// The regression begins as if priorRuns runs with estimates of this variance (of the
	// logarithm) had taken exactly the estimated time. The first runs that end are short
	// ones, and must not count as typical.
	priorRuns     = 10.0
	priorVariance = 0.4
	// adviceWorkersCounted is the number of workers in the call for advice that a
	// job's objective includes for each step.
	adviceWorkersCounted = 30
	latestStartMaxAge    = time.Second // between two computations of a step's latest start
)

// runTimes is the linear regression of the logarithm of a queue's run times on that of
// the submitters' estimates, corrected by the customer's bias. Estimates that say little
// about the run time get a small slope, so that all expected run times are near the mean.
type runTimes struct {
	runs                 float64 // number of runs, older ones weighing less
	meanEstimate         float64 // of the logarithms
	meanTook             float64
	variance, covariance float64                  // of the estimates, and of estimates and run times
	biases               map[string]*estimateBias // of customers, by name
}

// newRunTimes returns the regression before any run, for estimates around the given one.
func newRunTimes(estimateMs float64) *runTimes {
	x := math.Log(estimateMs)
	return &runTimes{biases: make(map[string]*estimateBias), runs: priorRuns, meanEstimate: x, meanTook: x, variance: priorVariance, covariance: priorVariance}
}

// observe adds a run of a step with the given number of tasks.
func (r *runTimes) observe(customer string, tasks uint32, estimateMs, tookMs float64) {
	if customer != "" {
		if r.biases[customer] == nil {
			r.biases[customer] = &estimateBias{}
		}
		r.biases[customer].observe(tookMs/estimateMs, 1/float64(tasks))
		estimateMs *= r.biases[customer].factor()
	}
	x, y := math.Log(estimateMs), math.Log(tookMs)
	r.runs = min(r.runs+1, estimateMemory)
	weight := 1 / r.runs
	dx, dy := x-r.meanEstimate, y-r.meanTook
	r.meanEstimate += weight * dx
	r.meanTook += weight * dy
	r.variance += weight * ((1-weight)*dx*dx - r.variance)
	r.covariance += weight * ((1-weight)*dx*dy - r.covariance)
}

// expectedMs returns the expected run time of a task.
func (r *runTimes) expectedMs(estimateMs float64) float64 {
	slope := max(0, r.covariance/r.variance)
	return math.Exp(r.meanTook + slope*(math.Log(estimateMs)-r.meanEstimate))
}

// estimateMs returns the expected run time of one task: the submitter's estimate,
// corrected by what the run times of the queue have taught.
func (c *Core) estimateMs(j *egretmuxv1.Job, s *egretmuxv1.JobStep) float64 {
	estimate := max(1, float64(s.GetEstimateMs()))
	if r := c.runTimes[[2]string{j.GetHost(), j.GetPrefix()}]; r != nil {
		return r.expectedMs(estimate * r.biases[j.GetCustomer()].factor())
	}
	return estimate
}

// criticalPathsMs returns for each step the length of the critical path from its
// start, before its call for advice, to the end of the job.
func (c *Core) criticalPathsMs(j *egretmuxv1.Job, q *egretmuxv1.QueueAdvice) []float64 {
	steps := j.GetSteps()
	out := make([]float64, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		out[i] += c.estimateMs(j, steps[i]) + q.GetDecideMs() + adviceWorkersCounted*q.GetPerWorkerMs()
		for _, predecessor := range steps[i].GetAfter() {
			out[predecessor] = max(out[predecessor], out[i])
		}
	}
	return out
}
