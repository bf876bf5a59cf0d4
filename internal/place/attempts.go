package place

import (
	"maps"
	"slices"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// syncAttempts brings the hosts in step with the task's attempts.
func (p *Planner) syncAttempts(j *job, now int64) {
	live := 0
	for _, a := range j.task.GetAttempts() {
		r := j.live[a.GetId()]
		if task.Live(a.GetPhase()) {
			live++
		}
		switch {
		case task.Live(a.GetPhase()) && r == nil:
			p.hire(j, a)
		case task.Live(a.GetPhase()):
			p.update(r, a)
		case r != nil:
			p.release(r)
			p.ended(r, a, now)
		}
	}
	if len(j.live) > live {
		p.releaseGone(j)
	}
}

// releaseGone releases attempts that the task's record no longer names.
func (p *Planner) releaseGone(j *job) {
	for _, id := range slices.Sorted(maps.Keys(j.live)) {
		if a := task.FindAttempt(j.task, id); a == nil || !task.Live(a.GetPhase()) {
			p.release(j.live[id])
		}
	}
}

func (p *Planner) hire(j *job, a *egretmuxv1.Attempt) {
	r := &running{
		id: a.GetId(), job: j, member: a.GetMember(), host: p.host(a.GetWorker()), phase: a.GetPhase(),
		held: task.HeldResources(j.task, a), placed: a.GetStartedUnixMs(), began: a.GetConfirmedUnixMs(),
		saved: task.SavedRunMs(j.task, a.GetMember()),
	}
	j.live[r.id] = r
	p.running[r.id] = r
	r.host.live[r.id] = r
	p.addHeld(r, r.held)
	if unconfirmed(r.phase) {
		r.host.starting++
	}
	p.reindex(r.host)
}

// addHeld adds to what the attempt's host, customer and urgent work hold.
func (p *Planner) addHeld(r *running, room worker.Resources) {
	r.host.held = r.host.held.Plus(room)
	r.job.account.held = r.job.account.held.Plus(room)
	if r.job.urgent() {
		p.urgent.held = p.urgent.held.Plus(room)
	}
}

func unconfirmed(phase egretmuxv1.AttemptPhase) bool {
	return phase == egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STARTING
}

func (p *Planner) update(r *running, a *egretmuxv1.Attempt) {
	if unconfirmed(r.phase) && !unconfirmed(a.GetPhase()) {
		r.host.starting--
	}
	r.phase = a.GetPhase()
	r.began = a.GetConfirmedUnixMs()
	held := task.HeldResources(r.job.task, a)
	if held != r.held {
		p.addHeld(r, held.Minus(r.held))
		r.held = held
		p.reindex(r.host)
	}
}

func (p *Planner) release(r *running) {
	delete(r.job.live, r.id)
	delete(p.running, r.id)
	delete(r.host.live, r.id)
	p.addHeld(r, worker.Resources{}.Minus(r.held))
	if unconfirmed(r.phase) {
		r.host.starting--
	}
	p.reindex(r.host)
}

// ended learns from an attempt that is over.
func (p *Planner) ended(r *running, a *egretmuxv1.Attempt, now int64) {
	switch a.GetPhase() {
	case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_SUCCEEDED:
		if a.GetConfirmedUnixMs() > 0 && !r.job.service() {
			p.learn.ran(r.job.task.GetSpec(), r.saved+a.GetEndedUnixMs()-a.GetConfirmedUnixMs())
		}
		p.noteSuccess(r)
	case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_FAILED:
		p.noteFailure(r, now)
	}
}
