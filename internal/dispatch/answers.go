package dispatch

import (
	"strings"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	jobs "github.com/egretmux/egretmux/internal/job"
)

func (c *Core) findRun(t Target, task TaskKey, number uint64) *run {
	w := c.workers[t.Worker]
	if w == nil || w.Born != t.Born {
		return nil
	}
	return w.runs[runKey{task, number}]
}

// StartStored records that the log holds a start, or never will, as its job has ended.
func (c *Core) StartStored(s StartOrder) {
	if r := c.findRun(s.Target, s.Task, s.Run); r != nil {
		r.superseding = nil
	}
}

// StartWanted reports whether a start should still be sent, or repeated, after it was stored. If the end of
// its job was stored before it, the log does not hold the start, and a later leader would not
// know of the run. A worker that drains takes no new runs, however long ago the start was planned.
func (c *Core) StartWanted(s StartOrder) bool {
	r := c.findRun(s.Target, s.Task, s.Run)
	if r == nil || r.state != ordered || r.worker.draining {
		return false
	}
	stored := false
	c.cfg.Book.View(s.Task.Job, func(rec *jobs.Record) { stored = rec != nil && !rec.Ended() })
	return stored
}

// StartAnswered handles the result of a start that was sent at the time sent.
func (c *Core) StartAnswered(s StartOrder, answer StartResult, sent, now time.Duration) {
	r := c.findRun(s.Target, s.Task, s.Run)
	if answer != Accepted {
		c.addNotice(Notice{Event: "start_refused", Job: s.Task.Job, Task: s.Task.String(), Worker: s.Worker, Run: s.Run, Reason: answer.String(), Age: now - sent})
	}
	if r == nil || r.state == ended {
		return
	}
	switch answer {
	case Accepted:
		r.absenceProvableAfter, r.absenceProvable = now, true
		r.worker.heardAt = max(r.worker.heardAt, now)
		c.markJobStarted(r.task.step.job, now)
		if r.state == ordered {
			r.state = running
			r.startedAt = now
		}
	case Unanswered:
		// The worker may still carry the start out. Once it has answered a stop, it
		// refuses the start for good.
		if r.state == ordered {
			r.state = uncertain
		}
		r.worker.backoffUntil = max(r.worker.backoffUntil, now+unhealthyBackoff)
		if s := r.task.step; s.limitsMissing() && !s.spec.GetGang() { // a stop would end a task that has begun
			r.unsure, r.unsureSince = r.state == uncertain, now
			return
		}
		c.stopRun(r, "start-unanswered")
		c.stopGang(r, "gang-member-unsure")
	case AnotherIncarnation:
		r.task.addUnheard(s.Target, s.Run)
		c.loseRun(r, answer.String(), now)
	default:
		if r.state != ordered && r.state != stopping {
			return
		}
		c.handleRefusal(r, answer, now)
	}
}

// stopUnlistedRuns stops the runs of which it isn't known whether they have begun, unless a listing that was asked for
// since then shows them: their starts may still arrive.
func (c *Core) stopUnlistedRuns(w *worker, listed map[runKey]bool, asked time.Duration) {
	var absent []*run
	for key, r := range w.runs {
		if r.unsure && r.state == uncertain && r.unsureSince <= asked && !listed[key] {
			absent = append(absent, r)
		}
	}
	sortRuns(absent)
	for _, r := range absent {
		c.stopRun(r, "start-unanswered")
	}
}

// handleRefusal removes a run that the worker has refused, and lets the worker back
// off where the reason calls for it.
func (c *Core) handleRefusal(r *run, answer StartResult, now time.Duration) {
	w := r.worker
	switch answer {
	case WorkerUnhealthy, ConnectRefused:
		w.backoffUntil = max(w.backoffUntil, now+unhealthyBackoff)
	case NoRoom, StaleFence:
		w.backoffUntil = max(w.backoffUntil, now+unhealthyBackoff/4)
	case OldRun: // the run may be the one that has ended there
		r.task.addUnheard(w.Target, r.number)
	case LeaseTooOld:
		if w.lapse.trial {
			w.lapse.doubled++
		}
	case TicketRefused:
		r.task.step.advice.dropTicket(w)
	}
	c.removeRun(r)
	c.stopGang(r, "gang-member-refused")
}

// StopAnswered records whether a worker answered a stop. An unanswered stop is
// repeated until the lease expires. It returns whether the worker should be polled
// at once: the run was never listed, and its task waits for a listing that shows
// whether it is there.
func (c *Core) StopAnswered(s StopOrder, answered bool, now time.Duration) bool {
	r := c.findRun(s.Target, s.Task, s.Run)
	if r == nil || r.state == ended {
		return false
	}
	if answered {
		r.absenceProvableAfter, r.absenceProvable = now, true
		return !r.everListed
	}
	r.stopSent = false
	c.stopRun(r, "stop-unanswered")
	return false
}

func outcomeName(o egretmuxv1.RunOutcome) string {
	return strings.ToLower(strings.TrimPrefix(o.String(), "RUN_OUTCOME_"))
}

func phaseName(p egretmuxv1.JobPhase) string {
	return strings.ToLower(strings.TrimPrefix(p.String(), "JOB_PHASE_"))
}
