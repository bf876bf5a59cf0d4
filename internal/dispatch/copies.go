package dispatch

import (
	"math"
	"slices"
	"time"

	jobs "github.com/egretmux/egretmux/internal/job"
)

// Copies of the runs of speculative steps. A run is copied if its worker is slow, not if its
// task is long: a copy of a long task takes as long. Copies use only room that no step waits
// for, and a part of the pool's cpu.
const (
	copyShare = 0.05 // largest fraction of a pool's cpu that copies use
	copyGain  = 2.0  // the rest of a run takes at least this many times as long as its copy
	maxRuns   = 2    // runs of a task at a time, its copy included
)

// copyStragglers starts copies of runs on slow workers.
func (c *Core) copyStragglers(now time.Duration) {
	copiesCPU := make(map[string]int64) // by pool
	var stragglers []*run
	for _, s := range c.steps {
		if !s.spec.GetSpeculative() || s.spec.GetGang() || s.spec.GetLongRunning() {
			continue
		}
		for _, t := range s.tasks {
			switch {
			case len(t.runs) >= maxRuns:
				copiesCPU[c.queue(s.job).GetService()] += s.demand.cpu
			case !t.done && len(t.runs) == 1 && t.runs[0].state == running && t.runs[0].progress.rates > 0 && !t.suspect():
				stragglers = append(stragglers, t.runs[0])
			}
		}
	}
	if len(stragglers) == 0 {
		return
	}
	wanted, pools := c.poolsWithWaitingSteps(), c.poolsForCopies(now)
	sortRuns(stragglers)
	for _, r := range stragglers {
		s := r.task.step
		pool := c.queue(s.job).GetService()
		p := pools[pool]
		if wanted[pool] || p == nil || float64(copiesCPU[pool]+s.demand.cpu) > copyShare*float64(p.cpu) || copyGain*c.shortestCopyTime(r, p.leastSlowness) > c.remainingAtRate(r) {
			continue
		}
		if c.copyRun(r, now) {
			copiesCPU[pool] += s.demand.cpu
		}
	}
}

// poolsWithWaitingSteps returns the pools in which a task waits for room or for advice, and not
// for its customer's quota.
func (c *Core) poolsWithWaitingSteps() map[string]bool {
	out := make(map[string]bool)
	for s := range c.unplaced {
		if c.steps[s.key] == s && s.unheldCount() > 0 {
			out[c.queue(s.job).GetService()] = true
		}
	}
	return out
}

// copyPool is what a pool offers to copies.
type copyPool struct {
	cpu           int64   // of the workers that accept runs
	leastSlowness float64 // of these workers
}

func (c *Core) poolsForCopies(now time.Duration) map[string]*copyPool {
	pools := make(map[string]*copyPool)
	for _, w := range c.workers {
		if !w.acceptsRuns(now) {
			continue
		}
		p := pools[w.life.GetPool()]
		if p == nil {
			p = &copyPool{leastSlowness: w.slowness}
			pools[w.life.GetPool()] = p
		}
		p.cpu += w.capacity.cpu
		p.leastSlowness = min(p.leastSlowness, w.slowness)
	}
	return pools
}

// poolCPU returns the cpu of the workers of a pool that accept runs.
func (c *Core) poolCPU(pool string, now time.Duration) int64 {
	cpu := int64(0)
	for _, w := range c.workers {
		if w.life.GetPool() == pool && w.acceptsRuns(now) {
			cpu += w.capacity.cpu
		}
	}
	return cpu
}

// copyRun starts a copy of a run on a worker on which it is expected to end much sooner, if
// there is one, and reports whether it did. It requests advice if that is missing. A copy
// may fail like any run, so it counts as an attempt from its start.
func (c *Core) copyRun(r *run, now time.Duration) bool {
	s, t := r.task.step, r.task
	q := c.queue(s.job)
	remaining := c.remainingAtRate(r)
	tooSlow := func(w *worker) bool {
		return w == r.worker || copyGain*c.copyTime(r, w) > remaining
	}
	if s.startable(1) == 0 || c.failuresOf(t)+maxRuns > s.job.spec.GetAttempts() {
		return false
	}
	candidates := slices.DeleteFunc(c.workersWithRoom(s, q.GetService(), now), tooSlow)
	if len(candidates) == 0 {
		return false
	}
	s.sortByScore(candidates)
	if q.GetAdvice() != nil {
		ticketed := slices.IndexFunc(candidates, func(w *worker) bool { return s.advice.hasValidTicket(w, now) })
		if ticketed < 0 {
			if c.mayRequestAdvice(s, q.GetAdvice(), now) {
				c.requestAdvice(s, q.GetAdvice(), candidates, 1, now)
			}
			return false
		}
		candidates = candidates[ticketed:]
	}
	c.startTask(t, candidates[0], t.highestRun+1, now)
	c.addNotice(Notice{Event: "run_copied", Job: s.key.Job, Task: t.key().String(), Worker: r.worker.Worker, Run: r.number, Reason: "worker-slow", Age: now - r.startedAt})
	return true
}

// remainingAtRate returns the time that the rest of a run takes at its last measured rate.
func (c *Core) remainingAtRate(r *run) float64 {
	return c.expectedMs(r) * math.Exp(r.progress.ratio) * (100 - r.progressPercent) / 100
}

// copyTime returns how long a run would take on another worker from its beginning, in
// milliseconds, if it is slow for its worker's sake only.
func (c *Core) copyTime(r *run, w *worker) float64 {
	return c.expectedMsOn(r.task.step, w) * math.Exp(r.progress.ratio) / r.worker.slowness * w.slowness
}

// shortestCopyTime is a lower bound of copyTime: that on a worker of the given slowness next to the data.
func (c *Core) shortestCopyTime(r *run, slowness float64) float64 {
	s := r.task.step
	return c.estimateMs(s.job.spec, s.spec) * math.Exp(r.progress.ratio) / r.worker.slowness * slowness
}

func (c *Core) failuresOf(t *task) (failures uint32) {
	key := t.key()
	c.cfg.Book.View(key.Job, func(rec *jobs.Record) {
		if rec != nil && !rec.Ended() {
			failures = rec.Task(key.Occurrence, key.Step, key.Index).Failures
		}
	})
	return failures
}
