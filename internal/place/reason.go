package place

import (
	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/worker"
)

// Reason tells why a worker does not take a member of a task.
type Reason string

// Reasons. Fits stands for a worker that would take it.
const (
	Fits            Reason = "worker has room"
	TooSmall        Reason = "worker is too small"
	NoAccelerators  Reason = "worker has too few accelerators"
	Full            Reason = "worker is full"
	Reserved        Reason = "worker is kept free for a gang or a large task"
	TooManyStarting Reason = "worker is starting as much as it may at a time"
	Draining        Reason = "worker is draining"
	Quarantined     Reason = "worker is quarantined"
	Lost            Reason = "worker is lost"
)

// whyNot returns the first reason why the host does not take that much of the job.
func whyNot(h *host, j *job, need worker.Resources, ends int64) Reason {
	if r := h.takes(); r != Fits {
		return r
	}
	switch {
	case need.Accelerators > h.capacity.Accelerators:
		return NoAccelerators
	case !need.Fits(h.capacity):
		return TooSmall
	case !need.Fits(h.free()):
		return Full
	case h.reserved != nil && h.reserved != j && ends > h.reservedUntil:
		return Reserved
	}
	return Fits
}

// Explanation counts workers by the reason why a waiting task is not there.
type Explanation struct {
	Waiting int
	Limit   string // what holds the task back whatever the workers; "": nothing
	Workers map[Reason]int
	StartMs int64 // predicted start of the first waiting member, Unix milliseconds
	EndMs   int64 // predicted end of the last one
}

// Explain tells why the task's members wait.
func (p *Planner) Explain(id uint64, now int64) Explanation {
	e := Explanation{Workers: make(map[Reason]int)}
	j := p.jobs[id]
	if j == nil || len(j.waiting) == 0 {
		return e
	}
	e.Waiting = len(j.waiting)
	e.Limit = p.limitOf(j, now)
	e.StartMs = now + p.waitBefore(j.account, j.startBy-1, now)
	e.EndMs = e.StartMs + p.estimate(j)
	ends := now + p.estimate(j)
	for _, h := range p.hosts {
		e.Workers[whyNot(h, j, j.need, ends)]++
	}
	return e
}

func (p *Planner) limitOf(j *job, now int64) string {
	switch {
	case j.notBefore > now:
		return "backoff after a failure or a loss"
	case j.parked:
		return "no registered worker is large enough; it is looked at again when workers change"
	case !j.account.withinQuota(j.need):
		return "the contract's quota is used up"
	case j.kind() == egretmuxv1.TaskKind_TASK_KIND_GANG && len(j.waiting) < int(j.members()):
		return "the rest of the gang is still stopping"
	case p.overShare(j.account):
		return "the customer holds its share or more; others go first"
	}
	return ""
}
