package dispatch

import (
	"strings"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

func (c *Core) find(t Target, task TaskKey, number uint64) *run {
	w := c.workers[t.Worker]
	if w == nil || w.Born != t.Born {
		return nil
	}
	return w.runs[runKey{task, number}]
}

// StartWanted reports whether a start that is stored by now should still be sent.
func (c *Core) StartWanted(s Start) bool {
	r := c.find(s.Target, s.Task, s.Run)
	return r != nil && r.state == ordered
}

// StartAnswered takes up a worker's answer to a start.
func (c *Core) StartAnswered(s Start, answer StartResult, sent, now time.Duration) {
	r := c.find(s.Target, s.Task, s.Run)
	if answer != Accepted {
		c.notice(Notice{Event: "start_refused", Job: s.Task.Job, Task: s.Task.String(), Worker: s.Worker, Run: s.Run, Reason: answer.String(), Age: now - sent})
	}
	if r == nil || r.state == ended {
		return
	}
	switch answer {
	case Accepted:
		r.provenAt, r.proven = now, true
		c.begun(r.task.step.job, now)
		if r.state == ordered {
			r.state = running
			r.since = now
		}
	case Unanswered:
		// The order may be carried out later. Once a stop is answered, the worker
		// refuses it for good.
		if r.state == ordered {
			r.state = unsure
		}
		r.worker.restUntil = max(r.worker.restUntil, now+unwellRest)
		c.stop(r, "start-unanswered")
		c.breakGang(r, "gang-member-unsure")
	case AnotherLife:
		c.lose(r, answer.String())
	default:
		if r.state != ordered && r.state != stopping {
			return
		}
		c.refused(r, answer, now)
	}
}

// refused takes back a run that the worker certainly does not have.
func (c *Core) refused(r *run, answer StartResult, now time.Duration) {
	w := r.worker
	switch answer {
	case WorkerUnhealthy, ConnectRefused:
		w.restUntil = max(w.restUntil, now+unwellRest)
	case NoRoom, StaleFence:
		w.restUntil = max(w.restUntil, now+unwellRest/4)
	case TicketRefused:
		r.task.step.advice.drop(w)
	}
	c.forget(r)
	c.breakGang(r, "gang-member-refused")
}

// StopAnswered takes up whether a worker answered a stop. An unanswered one is
// repeated until the lease ends. It returns whether a listing is wanted at once:
// the run may never have been there, and its task waits.
func (c *Core) StopAnswered(s Stop, answered bool, now time.Duration) bool {
	r := c.find(s.Target, s.Task, s.Run)
	if r == nil || r.state == ended {
		return false
	}
	if answered {
		r.provenAt, r.proven = now, true
		return !r.listed
	}
	r.stopSent = false
	c.stop(r, "stop-unanswered")
	return false
}

func outcomeName(o egretmuxv1.RunOutcome) string {
	return strings.ToLower(strings.TrimPrefix(o.String(), "RUN_OUTCOME_"))
}

func phaseName(p egretmuxv1.JobPhase) string {
	return strings.ToLower(strings.TrimPrefix(p.String(), "JOB_PHASE_"))
}
