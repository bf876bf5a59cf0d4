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

// sortRuns puts runs in an order that does not depend on chance.
func sortRuns(runs []*run) {
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(a.task.key().compare(b.task.key()), cmp.Compare(a.number, b.number))
	})
}

// HandleListing takes up a worker's answer to a look that was sent at the given time.
func (c *Core) HandleListing(t Target, asked, now time.Duration, l Listing) {
	w := c.workers[t.Worker]
	if w == nil || w.Born != t.Born {
		return
	}
	w.lease.observe(l.Clock, now)
	w.answered, w.missed = now, 0
	first := !w.fenced
	w.fenced = true
	listed := make(map[runKey]bool, len(l.Running)+len(l.Ended))
	foreign := w.foreign
	w.foreign = make(map[runKey]time.Duration)
	c.takeEnds(w, l.Ended, listed, now)
	for _, lr := range l.Running {
		key := runKey{lr.Task, lr.Run}
		listed[key] = true
		r := w.runs[key]
		if r == nil {
			r = c.adopt(w, lr, foreign, now)
		}
		if r != nil {
			r.update(lr, now)
			c.begun(r.task.step.job, now)
		}
	}
	if l.Whole {
		c.missing(w, listed, asked)
	}
	c.pace(w, now)
	if first {
		c.notice(Notice{Event: "worker_read", Worker: t.Worker, Age: now - asked})
	}
}

// takeEnds frees the room of ended runs and asks for their ends to be stored.
func (c *Core) takeEnds(w *worker, ends []ListedEnd, listed map[runKey]bool, now time.Duration) {
	var fresh []*egretmuxv1.RunEnd
	highest := w.noting
	for _, e := range ends {
		key := runKey{e.Task, e.Run}
		listed[key] = true
		if e.Number <= w.noting {
			continue
		}
		highest = max(highest, e.Number)
		if w.withheld == 0 && c.superseded(w, e) {
			w.withheld = e.Number
			c.notice(Notice{Event: "end_withheld", Job: e.Task.Job, Task: e.Task.String(), Worker: w.Worker, Run: e.Run, Reason: outcomeName(e.Outcome)})
		}
		if r := w.runs[key]; r != nil && r.state != ended {
			c.learn(r, e.Outcome, now)
			r.state = ended
			c.begun(r.task.step.job, now)
			w.free = w.free.plus(r.room)
			fresh = append(fresh, endOf(e))
		} else if r == nil && e.TaskParsed && c.wanted(e) {
			// The task waits until this end is in the log, as for a known run.
			c.record(c.steps[e.Task.StepKey].tasks[e.Task.Index], w, e.Run, ended, now)
			fresh = append(fresh, endOf(e))
		}
	}
	if w.withheld > 0 && w.noting-min(w.noting, w.withheld) > withheldLimit {
		w.withheld = 0
	}
	if highest == w.noting {
		return
	}
	w.noting = highest
	c.out.EndBatches = append(c.out.EndBatches, EndBatch{Target: w.Target, Ends: fresh, Cursor: highest})
}

// withheldLimit is how many ends may stay unacknowledged behind one that is
// withheld; a listing has room for 500.
const withheldLimit = 400

// superseded reports whether an end tells of a run whose task was started again
// since, after the lease had passed. That end counts for nothing, and to
// acknowledge it would make it count.
func (c *Core) superseded(w *worker, e ListedEnd) bool {
	if e.Outcome != egretmuxv1.RunOutcome_RUN_OUTCOME_DONE && e.Outcome != egretmuxv1.RunOutcome_RUN_OUTCOME_FAILED {
		return false
	}
	s := c.steps[e.Task.StepKey]
	if w.runs[runKey{e.Task, e.Run}] != nil || s == nil || int(e.Task.Index) >= len(s.tasks) || s.spec.GetSpeculative() {
		return false
	}
	return s.tasks[e.Task.Index].lastRun > e.Run
}

func endOf(e ListedEnd) *egretmuxv1.RunEnd {
	return &egretmuxv1.RunEnd{
		Job: e.Task.Job, Occurrence: e.Task.Occurrence, Step: e.Task.Step, Index: e.Task.Index,
		Run: e.Run, Outcome: e.Outcome, Checkpoint: e.Checkpoint,
	}
}

// wanted reports whether the end of a run that this leader did not know counts.
// While another run of the task may be present, that one decides.
func (c *Core) wanted(e ListedEnd) bool {
	s := c.steps[e.Task.StepKey]
	if s == nil || int(e.Task.Index) >= len(s.tasks) {
		return false
	}
	t := s.tasks[e.Task.Index]
	return !t.done && e.Run >= t.lastRun && (len(t.runs) == 0 || s.spec.GetSpeculative())
}

// adopt takes up a run that an earlier leader started, or stops it when it is
// not wanted any more.
func (c *Core) adopt(w *worker, lr ListedRun, foreign map[runKey]time.Duration, now time.Duration) *run {
	s := c.steps[lr.Task.StepKey]
	if s == nil || int(lr.Task.Index) >= len(s.tasks) {
		c.stopForeign(w, lr, foreign, now)
		return nil
	}
	t := s.tasks[lr.Task.Index]
	r := c.record(t, w, lr.Run, running, now)
	c.begun(s.job, now)
	if t.done || (len(t.runs) > 1 && !s.spec.GetSpeculative()) {
		c.stop(r, "not-wanted")
	}
	return r
}

// foreignStopPause is the time after which a stop of a foreign run is repeated;
// the first is answered within a second or not at all.
const foreignStopPause = time.Second

// stopForeign stops a run of a job that is not there any more. Its size is not
// known, so the worker gets nothing new while the run is listed.
func (c *Core) stopForeign(w *worker, lr ListedRun, before map[runKey]time.Duration, now time.Duration) {
	key := runKey{lr.Task, lr.Run}
	if sent, known := before[key]; known && now-sent < foreignStopPause {
		w.foreign[key] = sent
		return
	}
	w.foreign[key] = now
	c.out.Stops = append(c.out.Stops, Stop{Target: w.Target, Task: lr.Task, Run: lr.Run})
	c.notice(Notice{Event: "run_stopping", Job: lr.Task.Job, Task: lr.Task.String(), Worker: w.Worker, Run: lr.Run, Reason: "job-ended"})
}

// record keeps a run on a worker and takes its room, unless it has ended.
func (c *Core) record(t *task, w *worker, number uint64, state runState, now time.Duration) *run {
	r := &run{task: t, worker: w, number: number, state: state, room: t.step.room, since: now, movedAt: now, paced: fullPace}
	w.runs[runKey{t.key(), number}] = r
	if state != ended {
		w.free = w.free.minus(r.room)
	}
	t.runs = append(t.runs, r)
	t.lastRun = max(t.lastRun, number)
	t.step.onNode[w]++
	return r
}

func (r *run) update(lr ListedRun, now time.Duration) {
	if lr.Percent != r.percent {
		r.percent, r.movedAt = lr.Percent, now
	}
	if lr.Checkpoint != "" {
		r.checkpoint = lr.Checkpoint
	}
	if r.state == ordered || r.state == unsure {
		r.state = running
	}
	r.load = lr.Load
	r.proven, r.listed = true, true
}

// missing gives up the runs that a whole listing lacks, if the worker had
// answered an order about them before it was asked for the listing.
func (c *Core) missing(w *worker, listed map[runKey]bool, asked time.Duration) {
	var gone []*run
	for key, r := range w.runs {
		if !listed[key] && r.proven && r.provenAt < asked && r.state != ended {
			gone = append(gone, r)
		}
	}
	sortRuns(gone)
	for _, r := range gone {
		c.lose(r, "not-listed")
	}
}

// EndsStored takes up ends that are now in the log.
func (c *Core) EndsStored(t Target, cursor uint64, ends []*egretmuxv1.RunEnd, now time.Duration) {
	w := c.workers[t.Worker]
	if w != nil && w.Born == t.Born {
		w.cursor = max(w.cursor, cursor)
	} else {
		w = nil
	}
	for _, e := range ends {
		key := TaskKey{StepKey{e.GetJob(), e.GetOccurrence(), e.GetStep()}, e.GetIndex()}
		var r *run
		if w != nil {
			r = w.runs[runKey{key, e.GetRun()}]
		}
		if r != nil {
			c.forget(r)
		}
		c.progress(key, r, e, now)
	}
}

// progress brings a step up to what the book holds after an end.
func (c *Core) progress(key TaskKey, r *run, e *egretmuxv1.RunEnd, now time.Duration) {
	s := c.steps[key.StepKey]
	if s == nil || int(key.Index) >= len(s.tasks) {
		return
	}
	j := s.job
	over := egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED
	stepDone := false
	c.cfg.Book.View(key.Job, func(rec *jobs.Record) {
		if rec == nil || rec.Ended() {
			over = egretmuxv1.JobPhase_JOB_PHASE_CANCELLED
			if rec != nil {
				over = rec.Phase
			}
			return
		}
		for _, t := range s.tasks {
			state := rec.Task(key.Occurrence, key.Step, t.index)
			if state.Done && !t.done {
				t.done = true
				s.left--
			}
			t.lastRun = max(t.lastRun, state.LastRun)
		}
		stepDone = rec.StepDone(key.Occurrence, key.Step)
	})
	c.notice(Notice{Event: "run_ended", Job: key.Job, Task: key.String(), Worker: workerOf(r), Run: e.GetRun(), Reason: outcomeName(e.GetOutcome())})
	if over != egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED {
		c.notice(Notice{Event: "job_ended", Job: key.Job, Queue: c.queue(j).GetName(), Reason: phaseName(over), Age: now - j.accepted})
		if over == egretmuxv1.JobPhase_JOB_PHASE_COMPLETED {
			for _, t := range s.tasks {
				t.done = true
			}
		}
		c.JobEnded(key.Job, "job-ended")
		return
	}
	t := s.tasks[key.Index]
	if t.done {
		for _, o := range t.runs {
			c.stop(o, "task-done")
		}
	}
	if r != nil && s.spec.GetGang() && e.GetOutcome() != egretmuxv1.RunOutcome_RUN_OUTCOME_DONE {
		c.breakGang(r, "gang-member-ended")
	}
	if stepDone {
		delete(c.steps, s.key)
		c.openOccurrence(j, key.Occurrence, s.due, now)
	}
}

func workerOf(r *run) string {
	if r == nil {
		return ""
	}
	return r.worker.Worker
}
