package place

import (
	"maps"
	"slices"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// syncAttempts updates the job's live attempts and their hosts from the task's record.
func (p *Planner) syncAttempts(j *job, now int64) {
	live := 0
	for _, record := range j.task.GetAttempts() {
		a := j.live[record.GetId()]
		if task.Live(record.GetPhase()) {
			live++
		}
		switch {
		case task.Live(record.GetPhase()) && a == nil:
			p.addAttempt(j, record)
		case task.Live(record.GetPhase()):
			p.updateAttempt(a, record)
		case a != nil:
			p.removeAttempt(a)
			p.recordEnd(a, record, now)
		}
	}
	if len(j.live) > live {
		p.removeUnrecorded(j)
	}
}

// removeUnrecorded removes live attempts that the task's record no longer lists as live.
func (p *Planner) removeUnrecorded(j *job) {
	for _, id := range slices.Sorted(maps.Keys(j.live)) {
		if record := task.FindAttempt(j.task, id); record == nil || !task.Live(record.GetPhase()) {
			p.removeAttempt(j.live[id])
		}
	}
}

func (p *Planner) addAttempt(j *job, record *egretmuxv1.Attempt) {
	a := &attempt{
		id: record.GetId(), job: j, member: record.GetMember(), host: p.hostOrNew(record.GetWorker()), phase: record.GetPhase(),
		held: task.HeldResources(j.task, record), placedAt: record.GetStartedUnixMs(), confirmedAt: record.GetConfirmedUnixMs(),
		savedMs: task.SavedRunMs(j.task, record.GetMember()),
	}
	j.live[a.id] = a
	p.attempts[a.id] = a
	a.host.live[a.id] = a
	p.addHeld(a, a.held)
	if unconfirmed(a.phase) {
		a.host.starting++
	}
	p.reindex(a.host)
}

// addHeld adds resources to the totals of the attempt's host, its customer and, if
// it is urgent, of all urgent work.
func (p *Planner) addHeld(a *attempt, delta worker.Resources) {
	a.host.held = a.host.held.Plus(delta)
	a.job.account.held = a.job.account.held.Plus(delta)
	if a.job.isUrgent() {
		p.headroom.held = p.headroom.held.Plus(delta)
	}
}

func unconfirmed(phase egretmuxv1.AttemptPhase) bool {
	return phase == egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STARTING
}

func (p *Planner) updateAttempt(a *attempt, record *egretmuxv1.Attempt) {
	if unconfirmed(a.phase) && !unconfirmed(record.GetPhase()) {
		a.host.starting--
	}
	a.phase = record.GetPhase()
	a.confirmedAt = record.GetConfirmedUnixMs()
	held := task.HeldResources(a.job.task, record)
	if held != a.held {
		p.addHeld(a, held.Minus(a.held))
		a.held = held
		p.reindex(a.host)
	}
}

func (p *Planner) removeAttempt(a *attempt) {
	delete(a.job.live, a.id)
	delete(p.attempts, a.id)
	delete(a.host.live, a.id)
	p.addHeld(a, worker.Resources{}.Minus(a.held))
	if unconfirmed(a.phase) {
		a.host.starting--
	}
	p.reindex(a.host)
}

// recordEnd updates run time estimates and worker health from an ended attempt.
func (p *Planner) recordEnd(a *attempt, record *egretmuxv1.Attempt, now int64) {
	switch record.GetPhase() {
	case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_SUCCEEDED:
		if record.GetConfirmedUnixMs() > 0 && !a.job.isService() {
			p.estimator.recordRun(a.job.task.GetSpec(), a.savedMs+record.GetEndedUnixMs()-record.GetConfirmedUnixMs())
		}
		p.recordSuccess(a)
	case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_FAILED:
		p.recordFailure(a, now)
	}
}
