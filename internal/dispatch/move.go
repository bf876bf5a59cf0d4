package dispatch

import (
	"time"
)

// Limits beyond which a run is moved to another worker.
const (
	// stuckAfter is the time without progress after which a run counts as stuck.
	// Progress is listed about every second.
	stuckAfter = 1800 * time.Millisecond
	// maxStuckDoublings bounds the doublings of stuckAfter, one for each time that the task was
	// moved as stuck: it may be slow to show progress wherever it runs.
	maxStuckDoublings = 6
	// minStuckShare is the fraction of the expected run time that has to pass as well, as
	// one percent of progress takes long in a long run.
	minStuckShare = 0.05
	// nearlyDonePercent is the progress from which a run does not count as stuck: it may
	// wait for the rest of its gang or for its end to be listed.
	nearlyDonePercent = 99
	// drainStopMargin is the least time between the latest end of a stop, which may
	// take StopTimeout, and the drain deadline of the worker.
	drainStopMargin = 300 * time.Millisecond
	// drainOverrunFactor: a run without checkpoints is moved at once if its expected
	// remaining run time exceeds this multiple of the time until the drain deadline.
	drainOverrunFactor = 1.5
)

// moveRunsAtRisk moves the runs that make no progress or whose worker will be gone
// before they end.
func (c *Core) moveRunsAtRisk(now time.Duration) {
	reasons := make(map[*run]string)
	var toMove []*run
	for _, w := range c.workers {
		for _, r := range w.runs {
			if r.state != running {
				continue
			}
			if reason := c.moveReason(r, now); reason != "" {
				reasons[r] = reason
				toMove = append(toMove, r)
			}
		}
	}
	sortRuns(toMove)
	for _, r := range toMove {
		c.moveRun(r, reasons[r], now)
	}
}

// expectedRunTime returns the expected total run time of a run on its worker.
func (c *Core) expectedRunTime(r *run) time.Duration {
	return milliseconds(c.expectedMs(r) * r.worker.slowness)
}

// remainingRunTime returns the expected time until the end of a run, from its progress
// or, at the start, from its expected run time.
func (c *Core) remainingRunTime(r *run, now time.Duration) time.Duration {
	ran := now - r.startedAt
	if r.progressPercent >= 5 {
		return time.Duration(float64(ran) * (100 - r.progressPercent) / r.progressPercent)
	}
	return max(0, c.expectedRunTime(r)-ran)
}

// moveReason returns why a run should be moved, or an empty string.
func (c *Core) moveReason(r *run, now time.Duration) string {
	w, s := r.worker, r.task.step
	if s.spec.GetLongRunning() {
		if w.draining {
			return "worker-leaves"
		}
		return ""
	}
	if w.draining && w.drainDeadline > 0 {
		untilDrained := w.drainDeadline - now
		remaining := c.remainingRunTime(r, now)
		switch {
		case remaining <= untilDrained:
		case s.spec.GetCheckpoints() && untilDrained < c.cfg.StopTimeout+drainStopMargin:
			return "worker-leaves"
		case !s.spec.GetCheckpoints() && remaining > time.Duration(float64(untilDrained)*drainOverrunFactor):
			return "worker-leaves"
		}
	}
	if w.missedPolls > 0 {
		return "" // its last listing is outdated
	}
	if r.confirmedPace < fullPace || r.paceInFlight {
		return "" // it is slow because of a pace order
	}
	if r.progressPercent < nearlyDonePercent && c.isStuck(r, now) && !c.gangProgresses(r, now) {
		return "no-progress"
	}
	return ""
}

func (c *Core) isStuck(r *run, now time.Duration) bool {
	stalledFor := now - max(r.progressAt, r.startedAt)
	patience := stuckAfter << min(r.task.stuckMoves, maxStuckDoublings)
	return stalledFor > patience && stalledFor > time.Duration(float64(c.expectedRunTime(r))*minStuckShare) && r.worker.answeredAt > r.progressAt+patience
}

// gangProgresses reports whether another member of the run's gang is not stuck.
// Members that are done wait for the slowest one.
func (c *Core) gangProgresses(r *run, now time.Duration) bool {
	if !r.task.step.spec.GetGang() {
		return false
	}
	for _, t := range r.task.step.tasks {
		for _, member := range t.runs {
			if member != r && member.number == r.number && !c.isStuck(member, now) {
				return true
			}
		}
	}
	return false
}

// moveRun stops a run and its gang; a later plan starts them again. If the run made
// no progress, its worker backs off.
func (c *Core) moveRun(r *run, reason string, now time.Duration) {
	if reason == "no-progress" {
		r.task.stuckMoves++
		c.backOffStuckWorker(r, now)
	}
	c.stopRun(r, reason)
	c.stopGang(r, reason)
}

// backOffStuckWorker counts a run without progress as failures of its worker, which then gets
// no new runs for failureBackoff and is probed afterwards, unless the step fails everywhere.
func (c *Core) backOffStuckWorker(r *run, now time.Duration) {
	c.noteFailure(r, maxFailures, "no-progress", now-r.progressAt, now)
}
