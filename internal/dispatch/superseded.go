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
// nothing any more. Speculative steps let each run count.
func (c *Core) giveUpUnheard(t *task, on Target, number uint64, expiresAt, now time.Duration) {
	if c.cfg.Book.LifeOver(on.Worker, on.Born) {
		return
	}
	if now < expiresAt {
		t.heldUntil = max(t.heldUntil, expiresAt)
		c.heldTasks = append(c.heldTasks, t)
	}
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
)

// supersededBy returns what tells that an end belongs to a superseded run, or to one beside which
// another run of the task is present; an empty string if it does not.
func (c *Core) supersededBy(w *worker, e ListedEnd) string {
	if e.Outcome != egretmuxv1.RunOutcome_RUN_OUTCOME_DONE && e.Outcome != egretmuxv1.RunOutcome_RUN_OUTCOME_FAILED {
		return ""
	}
	key := e.Task
	if w.runs[runKey{key, e.Run}] != nil {
		return ""
	}
	if c.cfg.Book.Superseded(w.Worker, w.Born, jobs.RunKey{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Index: key.Index, Run: e.Run}) {
		return knownByLog
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

// endStored reports whether the end of a run, or of a later run of its task, is stored.
func (c *Core) endStored(e ListedEnd) (stored bool) {
	c.cfg.Book.View(e.Task.Job, func(rec *jobs.Record) {
		stored = rec != nil && !rec.Ended() && rec.Task(e.Task.Occurrence, e.Task.Step, e.Task.Index).LastEndedRun >= e.Run
	})
	return stored
}

// Numbers of ends that wait for their acknowledgement behind a withheld one. The workers' protocol
// lists at most 500 ends at a time.
const (
	lapseLimit    = 250 // beyond it, the worker's lease is not extended
	withheldLimit = 450 // beyond it, the withheld end is acknowledged after all
)

// behindWithheld returns how many ends wait behind the first withheld one.
func (w *worker) behindWithheld() uint64 {
	if len(w.withheld) == 0 {
		return 0
	}
	return w.storingCursor - min(w.storingCursor, w.withheld[0])
}

// releaseBefore releases the withheld ends before that of a run that lapsed: to the worker, an end
// does not count if its lease expired between the end and the acknowledgement.
func (c *Core) releaseBefore(w *worker, lapsed uint64) {
	if len(w.withheld) == 0 || w.withheld[0] >= lapsed {
		return
	}
	behind := w.behindWithheld()
	w.withheld = slices.DeleteFunc(w.withheld, func(number uint64) bool { return number < lapsed })
	c.addNotice(Notice{Event: "end_released", Worker: w.Worker, Reason: "lapsed", Behind: int(behind)})
}

// limitWithheld bounds how many ends wait behind a withheld one, of which there were as many as
// before.
func (c *Core) limitWithheld(w *worker, before uint64) {
	switch behind := w.behindWithheld(); {
	case behind > withheldLimit:
		w.withheld = nil
		c.addNotice(Notice{Event: "end_released", Worker: w.Worker, Reason: "limit", Behind: int(behind)})
	case behind > lapseLimit && before <= lapseLimit:
		c.addNotice(Notice{Event: "worker_lapsing", Worker: w.Worker, Behind: int(behind)})
	}
}

// mustLapse reports whether the lease of a worker has to expire while it runs something, as too many
// ends wait behind a withheld one. Its runs are then lost once. Tasks that last and gangs are spared.
func (w *worker) mustLapse() bool {
	if w.behindWithheld() <= lapseLimit {
		return false
	}
	for _, r := range w.runs {
		if spec := r.task.step.spec; spec.GetLongRunning() || spec.GetGang() {
			return false
		}
	}
	return true
}

// leaseForStart returns the end of the lease that a start on a worker carries.
func (c *Core) leaseForStart(w *worker, now time.Duration) int64 {
	if until, running := w.lease.runningUntil(now); running && w.mustLapse() {
		return until
	}
	return w.lease.grant(c.confirmedAt)
}
