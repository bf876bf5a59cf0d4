package dispatch

import (
	"slices"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	jobs "github.com/egretmux/egretmux/internal/job"
)

// A run whose worker is silent until its lease has expired is given up: it may have ended before
// that, unheard. If its task is started again, the run is superseded: its end must not count, as the
// later run decides, and must not be acknowledged, as to the worker an acknowledged end has counted.
// The start that supersedes a run is stored with it, so that all leaders know.

// giveUpUnheard records that a run, which may have ended unheard, is given up. Its task gets no other
// run before the lease has certainly expired. If the life is over, its process has ended and lists
// nothing any more.
func (c *Core) giveUpUnheard(t *task, on Target, number uint64, expiresAt, now time.Duration) {
	if c.cfg.Book.LifeOver(on.Worker, on.Born) {
		return
	}
	if now < expiresAt {
		t.heldUntil = max(t.heldUntil, expiresAt)
		c.heldTasks = append(c.heldTasks, t)
	}
	t.addUnheard(on, number)
}

// addUnheard records a run whose end must not count once its task is started again. Speculative steps
// let each run count.
func (t *task) addUnheard(on Target, number uint64) {
	if !t.step.spec.GetSpeculative() {
		t.unheard = append(t.unheard, &egretmuxv1.SupersededRun{Worker: on.Worker, BornUnixMs: on.Born, Run: number})
	}
}

// releaseHeld lets tasks start again of which no run may go on any more.
func (c *Core) releaseHeld(now time.Duration) {
	c.heldTasks = slices.DeleteFunc(c.heldTasks, func(t *task) bool {
		if now < t.heldUntil {
			return false
		}
		t.heldUntil = 0
		c.unplaced[t.step] = struct{}{}
		return true
	})
}

// dropUnheard removes a run that is listed after all.
func (t *task) dropUnheard(on Target, number uint64) {
	if len(t.unheard) == 0 {
		return
	}
	t.unheard = slices.DeleteFunc(t.unheard, func(r *egretmuxv1.SupersededRun) bool {
		return r.GetRun() == number && r.GetWorker() == on.Worker && r.GetBornUnixMs() == on.Born
	})
	if len(t.unheard) == 0 {
		t.heldUntil = 0
	}
}

// What tells that a run is superseded.
const (
	knownByLog    = "log"
	knownByLeader = "leader" // as its step is open here
	// knownForgotten: the log has forgotten which runs of the life are superseded, and holds no end of this one.
	knownForgotten = "forgotten"
)

// supersededBy returns what tells that an end belongs to a superseded run, or to one beside which
// another run of the task is present; an empty string if it does not.
func (c *Core) supersededBy(w *worker, e ListedEnd) string {
	if e.Outcome != egretmuxv1.RunOutcome_RUN_OUTCOME_DONE && e.Outcome != egretmuxv1.RunOutcome_RUN_OUTCOME_FAILED {
		return ""
	}
	key := e.Task
	if c.logSupersedes(w, key, e.Run) {
		return knownByLog
	}
	if w.runs[runKey{key, e.Run}] != nil {
		return ""
	}
	if c.cfg.Book.ForgotSuperseded(w.Worker, w.Born) && c.latestStoredEnd(e) != e.Run {
		return knownForgotten
	}
	// A start that is being stored does not show there yet.
	s := c.steps[key.StepKey]
	if s == nil || int(key.Index) >= len(s.tasks) || s.spec.GetSpeculative() {
		return ""
	}
	t := s.tasks[key.Index]
	if !t.done && (t.highestRun > e.Run || len(t.runs) > 0) && !c.endStored(e) {
		return knownByLeader
	}
	return ""
}

// logSupersedes reports whether the log names a run as superseded.
func (c *Core) logSupersedes(w *worker, key TaskKey, number uint64) bool {
	return c.cfg.Book.Superseded(w.Worker, w.Born, jobs.RunKey{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Index: key.Index, Run: number})
}

// endStored reports whether the end of a run, or of a later run of its task, is stored.
func (c *Core) endStored(e ListedEnd) bool { return c.latestStoredEnd(e) >= e.Run }

// latestStoredEnd returns the highest run of a task whose end is stored, zero if its job has ended.
func (c *Core) latestStoredEnd(e ListedEnd) (latest uint64) {
	c.cfg.Book.View(e.Task.Job, func(rec *jobs.Record) {
		if rec != nil && !rec.Ended() {
			latest = rec.Task(e.Task.Occurrence, e.Task.Step, e.Task.Index).LastEndedRun
		}
	})
	return latest
}
