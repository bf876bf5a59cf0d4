package dispatch

import (
	"cmp"
	"slices"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	jobs "github.com/egretmux/egretmux/internal/job"
)

func (w *worker) sortedRuns() []*run {
	out := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		out = append(out, r)
	}
	sortRuns(out)
	return out
}

// sortRuns sorts runs by task and number, so that decisions are deterministic.
func sortRuns(runs []*run) {
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(a.task.key().compare(b.task.key()), cmp.Compare(a.number, b.number))
	})
}

// HandleListing updates the runs of a worker from its answer to a poll that was sent
// at the time asked.
func (c *Core) HandleListing(t Target, asked, now time.Duration, l Listing) {
	w := c.workers[t.Worker]
	if w == nil || w.Born != t.Born || w.retiring {
		return
	}
	w.lease.observeClock(l.Clock, now, c.confirmedAt)
	w.answeredAt, w.heardAt, w.missedPolls = now, now, 0
	first := !w.synced
	w.synced = true
	w.lapsedRuns = nil // the worker has not crashed
	listed := make(map[runKey]bool, len(l.Running)+len(l.Ended))
	previousStops := w.orphans
	w.orphans = make(map[runKey]time.Duration)
	c.handleEnds(w, l.Ended, listed, now)
	for _, lr := range l.Running {
		key := runKey{lr.Task, lr.Run}
		listed[key] = true
		r := w.runs[key]
		if r == nil && asked < w.givenUpAt {
			continue // the listing is from before the lease expired, and its runs have been given up
		}
		if r == nil {
			r = c.adoptListedRun(w, lr, previousStops, now)
		}
		if r != nil {
			r.update(lr, now)
			c.markJobStarted(r.task.step.job, now)
		}
	}
	if l.Complete {
		c.loseMissingRuns(w, listed, asked, now)
		w.dropLeftovers(listed)
	}
	c.stopUnlistedRuns(w, listed, asked)
	c.learnFromProgress(w, l, asked, now)
	c.paceFillers(w, now)
	if first {
		c.addNotice(Notice{Event: "worker_read", Worker: t.Worker, Age: now - asked})
	}
}

// maxEndNumber is the highest number of an end. JSON holds greater ones inexactly, and one that no
// worker has reached would acknowledge all its later ends.
const maxEndNumber = 1 << 53

// handleEnds releases the resources of ended runs and orders their ends to be
// stored.
func (c *Core) handleEnds(w *worker, ends []ListedEnd, listed map[runKey]bool, now time.Duration) {
	var newEnds []*egretmuxv1.RunEnd
	highest := w.storingCursor
	for _, e := range inOrder(ends) {
		key := runKey{e.Task, e.Run}
		listed[key] = true
		w.dropLeftover(key)
		if e.Number <= w.storingCursor || e.Number > maxEndNumber {
			continue
		}
		highest = max(highest, e.Number)
		if e.Outcome == egretmuxv1.RunOutcome_RUN_OUTCOME_LAPSED {
			c.releaseBefore(w, e.Number)
		}
		if known := c.supersededBy(w, e); known != "" {
			w.withheld = append(w.withheld, e.Number)
			c.addNotice(Notice{Event: "end_withheld", Job: e.Task.Job, Task: e.Task.String(), Worker: w.Worker, Run: e.Run, Reason: outcomeName(e.Outcome), KnownBy: known, Behind: int(w.behindWithheld())})
		}
		if r := w.runs[key]; r != nil && r.state != ended {
			c.learnFromEnd(r, e.Outcome, now)
			w.learnFromTrial(e.Outcome)
			r.state = ended
			c.markJobStarted(r.task.step.job, now)
			r.vacate()
			newEnds = append(newEnds, runEndOf(e))
		} else if r == nil && e.TaskParsed {
			if reason := c.reasonToIgnore(e); reason != "" {
				c.addNotice(Notice{Event: "end_ignored", Job: e.Task.Job, Task: e.Task.String(), Worker: w.Worker, Run: e.Run, Reason: reason, Outcome: outcomeName(e.Outcome)})
				continue
			}
			// The task gets no new run until this end is stored, as for a known run.
			c.addRun(c.steps[e.Task.StepKey].tasks[e.Task.Index], w, e.Run, ended, now)
			newEnds = append(newEnds, runEndOf(e))
		}
	}
	if highest == w.storingCursor {
		return
	}
	w.storingCursor = highest
	w.endBatches = append(w.endBatches, endBatchState{cursor: highest})
	c.actions.EndBatches = append(c.actions.EndBatches, EndBatch{Target: w.Target, Ends: newEnds, Cursor: highest})
}

// inOrder returns ends by their numbers, lowest first. Workers may list them in any order.
func inOrder(ends []ListedEnd) []ListedEnd {
	byNumber := func(a, b ListedEnd) int { return cmp.Compare(a.Number, b.Number) }
	if slices.IsSortedFunc(ends, byNumber) {
		return ends
	}
	return slices.SortedFunc(slices.Values(ends), byNumber)
}

func runEndOf(e ListedEnd) *egretmuxv1.RunEnd {
	return &egretmuxv1.RunEnd{
		Job: e.Task.Job, Occurrence: e.Task.Occurrence, Step: e.Task.Step, Index: e.Task.Index,
		Run: e.Run, Outcome: e.Outcome, Checkpoint: e.Checkpoint,
	}
}

// Reasons for which the end of a run that this leader did not know is acknowledged without
// being stored.
const (
	ignoredSuperseded = "superseded" // a newer run decides
	ignoredTaskDone   = "task-done"
	ignoredOtherRun   = "other-run" // another run of the task may be present and decides
)

// reasonToIgnore returns why the end of a run that this leader did not know decides nothing
// about its task, or an empty string if it does. While another run of the task may be
// present, that run decides, unless the step is speculative. There each of the runs counts,
// once.
func (c *Core) reasonToIgnore(e ListedEnd) string {
	s := c.steps[e.Task.StepKey]
	if s == nil || int(e.Task.Index) >= len(s.tasks) {
		return c.reasonNotOpen(e.Task)
	}
	t, speculative := s.tasks[e.Task.Index], s.spec.GetSpeculative()
	switch {
	case t.done:
		return ignoredTaskDone
	case speculative && e.Outcome == egretmuxv1.RunOutcome_RUN_OUTCOME_DONE: // whether it is the run or its copy
		return ""
	case e.Run < t.highestRun && !(speculative && c.endMissing(e)):
		return ignoredSuperseded
	case len(t.runs) > 0 && !speculative:
		return ignoredOtherRun
	}
	return ""
}

// Reasons for which a task is not open.
const (
	notOpenJobEnded = "job-ended" // or the job is not known
	notOpenStepDone = "step-done"
	notOpenNoTask   = "no-such-task"
	notOpenYet      = "step-not-open" // its job goes on, but this leader has not opened the step
)

// reasonNotOpen returns why a task is not one of an open step.
func (c *Core) reasonNotOpen(key TaskKey) (reason string) {
	c.cfg.Book.View(key.Job, func(rec *jobs.Record) {
		switch {
		case rec == nil || rec.Ended():
			reason = notOpenJobEnded
		case !rec.HasTask(key.Occurrence, key.Step, key.Index):
			reason = notOpenNoTask
		case rec.StepDone(key.Occurrence, key.Step):
			reason = notOpenStepDone
		default:
			reason = notOpenYet
		}
	})
	return reason
}

// endMissing reports whether the log holds a superseded run without its end.
func (c *Core) endMissing(e ListedEnd) (missing bool) {
	c.cfg.Book.View(e.Task.Job, func(rec *jobs.Record) {
		missing = rec != nil && !rec.Ended() && slices.ContainsFunc(rec.SupersededRuns(e.Task.Occurrence, e.Task.Step),
			func(l *egretmuxv1.LeftoverRun) bool { return l.GetIndex() == e.Task.Index && l.GetRun() == e.Run })
	})
	return missing
}

// adoptListedRun adds a listed run that an earlier leader started, and stops it if it
// is not wanted any more. It returns nil if the step of the run is not open, or if the run is superseded.
func (c *Core) adoptListedRun(w *worker, lr ListedRun, previousStops map[runKey]time.Duration, now time.Duration) *run {
	s := c.steps[lr.Task.StepKey]
	if s == nil || int(lr.Task.Index) >= len(s.tasks) || lr.Run > c.highestStart(s.tasks[lr.Task.Index]) || c.logSupersedes(w, lr.Task, lr.Run) {
		c.stopOrphan(w, lr, previousStops, now)
		return nil
	}
	t := s.tasks[lr.Task.Index]
	r := c.addRun(t, w, lr.Run, running, now)
	r.inherited = true
	c.addNotice(Notice{Event: "run_adopted", Job: lr.Task.Job, Task: lr.Task.String(), Worker: w.Worker, Run: lr.Run})
	c.markJobStarted(s.job, now)
	if t.done || (len(t.runs) > 1 && !s.spec.GetSpeculative()) {
		c.stopRun(r, "not-wanted")
	}
	return r
}

// highestStart returns the number of the highest run of a task that a leader has ordered.
func (c *Core) highestStart(t *task) uint64 {
	highest, key := t.highestRun, t.key()
	c.cfg.Book.View(key.Job, func(rec *jobs.Record) {
		if rec != nil && !rec.Ended() {
			highest = max(highest, rec.Task(key.Occurrence, key.Step, key.Index).LastStartedRun)
		}
	})
	return highest
}

// orphanStopInterval is the time after which the stop of an orphan run is repeated: a
// stop is answered within a second or not at all.
const orphanStopInterval = time.Second

// stopOrphan stops a run whose step is not open any more. Its demand may not be known, so the
// worker gets no new runs while the run is listed.
func (c *Core) stopOrphan(w *worker, lr ListedRun, previousStops map[runKey]time.Duration, now time.Duration) {
	key := runKey{lr.Task, lr.Run}
	c.countOrphan(w, key)
	if sent, known := previousStops[key]; known && now-sent < orphanStopInterval {
		w.orphans[key] = sent
		return
	}
	w.orphans[key] = now
	c.actions.Stops = append(c.actions.Stops, StopOrder{Target: w.Target, Task: lr.Task, Run: lr.Run})
	c.addNotice(Notice{Event: "run_stopping", Job: lr.Task.Job, Task: lr.Task.String(), Worker: w.Worker, Run: lr.Run, Reason: c.reasonNotOpen(lr.Task)})
}

// addRun adds a run to its task and its worker and takes its resources, unless it
// has ended.
func (c *Core) addRun(t *task, w *worker, number uint64, state runState, now time.Duration) *run {
	r := &run{task: t, worker: w, number: number, state: state, demand: t.step.demand, startedAt: now, progressAt: now, confirmedPace: fullPace, overRate: t.step.job.overRate()}
	w.runs[runKey{t.key(), number}] = r
	w.dropLeftover(runKey{t.key(), number})
	if state != ended {
		r.occupy()
	}
	t.runs = append(t.runs, r)
	t.dropUnheard(w.Target, number)
	t.highestRun = max(t.highestRun, number)
	t.step.runsOn[w]++
	if t.suspect() && state != ended {
		c.isolate(w, r)
	}
	return r
}

// update takes over the progress and state of a listed run.
func (r *run) update(lr ListedRun, now time.Duration) {
	if lr.ProgressPercent != r.progressPercent {
		r.progressPercent, r.progressAt = lr.ProgressPercent, now
	}
	if lr.Checkpoint != "" {
		r.checkpoint = lr.Checkpoint
	}
	if r.state == ordered || r.state == uncertain {
		r.state = running
	}
	r.tailLatencyMs = lr.TailLatencyMs
	r.absenceProvable, r.everListed = true, true
}

// loseMissingRuns removes the runs that a complete listing lacks, if their absence
// was provable before the listing was requested.
func (c *Core) loseMissingRuns(w *worker, listed map[runKey]bool, asked, now time.Duration) {
	var missing []*run
	for key, r := range w.runs {
		if !listed[key] && r.absenceProvable && r.absenceProvableAfter < asked && r.state != ended {
			missing = append(missing, r)
		}
	}
	sortRuns(missing)
	for _, r := range missing {
		r.task.addUnheard(w.Target, r.number) // should the worker list its end after all
		c.loseRun(r, "not-listed", now)
	}
}

// EndsStored handles ends that are now stored in the log: their runs are removed, and
// their tasks, steps and jobs advance.
func (c *Core) EndsStored(t Target, cursor uint64, ends []*egretmuxv1.RunEnd, now time.Duration) {
	if w := c.workers[t.Worker]; w != nil && w.Born == t.Born {
		w.markEndsStored(cursor)
	}
	for _, e := range ends {
		key := TaskKey{StepKey{e.GetJob(), e.GetOccurrence(), e.GetStep()}, e.GetIndex()}
		r := c.findEndedRun(t, key, e.GetRun())
		if r != nil {
			c.removeRun(r)
		}
		c.advanceStep(key, r, e, now)
	}
}

// findEndedRun returns a run of a task whose end is being stored. Its worker may be gone since.
func (c *Core) findEndedRun(on Target, key TaskKey, number uint64) *run {
	if r := c.findRun(on, key, number); r != nil {
		return r
	}
	s := c.steps[key.StepKey]
	if s == nil || int(key.Index) >= len(s.tasks) {
		return nil
	}
	for _, r := range s.tasks[key.Index].runs {
		if r.number == number && r.state == ended && r.worker.Worker == on.Worker && r.worker.Born == on.Born {
			return r
		}
	}
	return nil
}

// advanceStep updates a step from the book after an end of one of its runs.
func (c *Core) advanceStep(key TaskKey, r *run, e *egretmuxv1.RunEnd, now time.Duration) {
	s := c.steps[key.StepKey]
	if s == nil || int(key.Index) >= len(s.tasks) {
		return
	}
	j := s.job
	jobPhase := egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED
	stepDone := false
	c.cfg.Book.View(key.Job, func(rec *jobs.Record) {
		if rec == nil || rec.Ended() {
			jobPhase = phaseOf(rec)
			return
		}
		for _, t := range s.tasks {
			state := rec.Task(key.Occurrence, key.Step, t.index)
			if state.Done && !t.done {
				t.done = true
				s.tasksLeft--
			}
			t.highestRun = max(t.highestRun, state.LastEndedRun)
		}
		stepDone = rec.StepDone(key.Occurrence, key.Step)
	})
	c.addNotice(Notice{Event: "run_ended", Job: key.Job, Task: key.String(), Worker: workerOf(r), Run: e.GetRun(), Reason: outcomeName(e.GetOutcome())})
	if jobPhase != egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED {
		if jobPhase == egretmuxv1.JobPhase_JOB_PHASE_COMPLETED {
			for _, t := range s.tasks {
				t.done = true
			}
		}
		c.endJob(j, jobPhase, now)
		return
	}
	t := s.tasks[key.Index]
	if t.done {
		for _, extra := range t.runs {
			c.stopRun(extra, "task-done")
		}
	}
	if r != nil && s.spec.GetGang() && e.GetOutcome() != egretmuxv1.RunOutcome_RUN_OUTCOME_DONE {
		c.stopGang(r, "gang-member-ended")
	}
	if stepDone {
		delete(c.steps, s.key)
		delete(j.steps, s.key)
		j.openTasks -= len(s.tasks)
		c.openReadySteps(j, key.Occurrence, s.dueAt, now)
	}
}

func workerOf(r *run) string {
	if r == nil {
		return ""
	}
	return r.worker.Worker
}
