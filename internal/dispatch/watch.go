package dispatch

import (
	"time"
)

// Limits of what a run may take.
const (
	// stuckAfter is the time without progress after which a run counts as stuck.
	// Progress is listed about every second.
	stuckAfter = 1800 * time.Millisecond
	// stuckPart of the expected run time is the least time without progress, so
	// that a percent of a long run has time to pass.
	stuckPart = 0.05
	// nearlyDone is the percentage from which a run may only wait: for the rest of
	// its gang, or for its end to be listed.
	nearlyDone = 99
	// evacuateMargin is kept between a stop and a worker's end, beyond the time
	// that a stop takes.
	evacuateMargin = 300 * time.Millisecond
	// hopelessPart of the time that a draining worker still has: a run without
	// checkpoints that needs longer is moved at once.
	hopelessPart = 1.5
)

// watchRuns stops the runs that get nowhere where they are: on workers that
// will be gone before them, that stand still, or that are far too slow.
func (c *Core) watchRuns(now time.Duration) {
	reasons := make(map[*run]string)
	var found []*run
	for _, w := range c.workers {
		for _, r := range w.runs {
			if r.state != running {
				continue
			}
			if reason := c.hopeless(r, now); reason != "" {
				reasons[r] = reason
				found = append(found, r)
			}
		}
	}
	sortRuns(found)
	for _, r := range found {
		c.move(r, reasons[r], now)
	}
}

// expected is the run time that a run is expected to have in all.
func (c *Core) expected(r *run) time.Duration {
	s := r.task.step
	ms := c.estimate(s.job.spec, s.spec) * r.worker.pace
	if rack := s.spec.GetDataRack(); rack != "" && rack != r.worker.rack {
		ms *= c.cfg.FarFactor
	}
	return milliseconds(ms)
}

// left is the expected rest of a run.
func (c *Core) left(r *run, now time.Duration) time.Duration {
	ran := now - r.since
	if r.percent >= 5 {
		return time.Duration(float64(ran) * (100 - r.percent) / r.percent)
	}
	return max(0, c.expected(r)-ran)
}

// hopeless returns why a run should be moved, or nothing.
func (c *Core) hopeless(r *run, now time.Duration) string {
	w, s := r.worker, r.task.step
	if s.spec.GetLongRunning() {
		if w.draining {
			return "worker-leaves"
		}
		return ""
	}
	if w.draining && w.leavesAt > 0 {
		stays := w.leavesAt - now
		left := c.left(r, now)
		switch {
		case left <= stays:
		case s.spec.GetCheckpoints() && stays < c.cfg.StopTimeout+evacuateMargin:
			return "worker-leaves"
		case !s.spec.GetCheckpoints() && left > time.Duration(float64(stays)*hopelessPart):
			return "worker-leaves"
		}
	}
	if w.missed > 0 {
		return "" // what it lists is old
	}
	if r.paced < fullPace || r.pacing {
		return "" // it stands still on our order
	}
	if r.percent < nearlyDone && c.stuck(r, now) && !c.gangMoves(r, now) {
		return "no-progress"
	}
	return ""
}

func (c *Core) stuck(r *run, now time.Duration) bool {
	still := now - max(r.movedAt, r.since)
	return still > stuckAfter && still > time.Duration(float64(c.expected(r))*stuckPart) && r.worker.answered > r.movedAt+stuckAfter
}

// gangMoves reports whether another member of the run's gang has made progress
// lately. Members that are through wait for the slowest one.
func (c *Core) gangMoves(r *run, now time.Duration) bool {
	if !r.task.step.spec.GetGang() {
		return false
	}
	for _, t := range r.task.step.tasks {
		for _, o := range t.runs {
			if o != r && o.number == r.number && !c.stuck(o, now) {
				return true
			}
		}
	}
	return false
}

// move stops a run so that it starts again elsewhere, and keeps new work from
// a worker that stands still.
func (c *Core) move(r *run, reason string, now time.Duration) {
	if reason == "no-progress" {
		c.suspect(r, now)
	}
	c.stop(r, reason)
	c.breakGang(r, reason)
}

// suspect counts a run without progress against its worker.
func (c *Core) suspect(r *run, now time.Duration) {
	w := r.worker
	w.failures = max(w.failures+1, failLimit)
	w.restUntil = now + failRest
	c.notice(Notice{Event: "worker_resting", Worker: w.Worker, Reason: "no-progress", Age: now - r.movedAt})
}
