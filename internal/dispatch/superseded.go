package dispatch

import (
	"slices"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	jobs "github.com/egretmux/egretmux/internal/job"
)

// A run whose worker is silent until its lease has expired is given up: it may have ended before
// that, unheard. If its task is started again, the run is superseded: its end must not count, as the
// later run decides, and must not be acknowledged, as to the worker an acknowledged end has counted.
// The start that supersedes a run is stored with it, so that all leaders know.

// addUnheard records a run that may have ended unheard. Speculative steps let each run count.
func (t *task) addUnheard(on Target, number uint64) {
	if t.step.spec.GetSpeculative() {
		return
	}
	t.unheard = append(t.unheard, &egretmuxv1.SupersededRun{Worker: on.Worker, BornUnixMs: on.Born, Run: number})
}

// dropUnheard removes a run that is listed after all.
func (t *task) dropUnheard(on Target, number uint64) {
	t.unheard = slices.DeleteFunc(t.unheard, func(r *egretmuxv1.SupersededRun) bool {
		return r.GetRun() == number && r.GetWorker() == on.Worker && r.GetBornUnixMs() == on.Born
	})
}

// superseded reports whether an end belongs to a superseded run, or to one beside which another run
// of the task is present.
func (c *Core) superseded(w *worker, e ListedEnd) bool {
	if e.Outcome != egretmuxv1.RunOutcome_RUN_OUTCOME_DONE && e.Outcome != egretmuxv1.RunOutcome_RUN_OUTCOME_FAILED {
		return false
	}
	key := e.Task
	if w.runs[runKey{key, e.Run}] != nil {
		return false
	}
	if c.cfg.Book.Superseded(w.Worker, w.Born, jobs.RunKey{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Index: key.Index, Run: e.Run}) {
		return true
	}
	// A start that is being stored does not show there yet.
	s := c.steps[key.StepKey]
	if s == nil || int(key.Index) >= len(s.tasks) || s.spec.GetSpeculative() {
		return false
	}
	t := s.tasks[key.Index]
	return !t.done && (t.highestRun > e.Run || len(t.runs) > 0) && !c.endStored(e)
}

// endStored reports whether the end of a run, or of a later run of its task, is stored.
func (c *Core) endStored(e ListedEnd) (stored bool) {
	c.cfg.Book.View(e.Task.Job, func(rec *jobs.Record) {
		stored = rec != nil && !rec.Ended() && rec.Task(e.Task.Occurrence, e.Task.Step, e.Task.Index).LastEndedRun >= e.Run
	})
	return stored
}
