package place

import (
	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/worker"
)

// Reason is why a worker does not take a member of a task.
type Reason string

// Reasons. Fits means that the worker would take the member.
const (
	Accepts         Reason = "worker has room"
	TooSmall        Reason = "worker is too small"
	NoAccelerators  Reason = "worker has too few accelerators"
	Full            Reason = "worker is full"
	Reserved        Reason = "worker is kept free for a gang or a large task"
	TooManyStarting Reason = "worker is starting as much as it may at a time"
	Draining        Reason = "worker is draining"
	Quarantined     Reason = "worker is quarantined"
	Lost            Reason = "worker is lost"
)

// placementReason returns the first reason why the host does not take a member of
// the job with that need and predicted end, or Fits.
func placementReason(h *host, j *job, need worker.Resources, endsAt int64) Reason {
	if r := h.availability(); r != Accepts {
		return r
	}
	switch {
	case need.Accelerators > h.capacity.Accelerators:
		return NoAccelerators
	case !need.Fits(h.capacity):
		return TooSmall
	case !need.Fits(h.free()):
		return Full
	case h.reserved != nil && h.reserved != j && endsAt > h.reservedUntil:
		return Reserved
	}
	return Accepts
}

// Explanation tells why members of a task wait.
type Explanation struct {
	Waiting int            // members
	Limit   string         // cause that does not depend on the workers; "": none
	Workers map[Reason]int // number of workers by reason
	StartMs int64          // predicted start of the first waiting member, Unix milliseconds
	EndMs   int64          // predicted end of the last waiting member, Unix milliseconds
}

// Explain returns why the task's members wait.
func (p *Planner) Explain(id uint64, now int64) Explanation {
	e := Explanation{Workers: make(map[Reason]int)}
	j := p.jobs[id]
	if j == nil || len(j.waitingMembers) == 0 {
		return e
	}
	e.Waiting = len(j.waitingMembers)
	e.Limit = p.waitLimit(j, now)
	e.StartMs = now + p.queueWait(j.account, j.startBy-1, now)
	e.EndMs = e.StartMs + p.cautiousRemaining(j)
	endsAt := now + p.cautiousRemaining(j)
	for _, h := range p.hosts {
		e.Workers[placementReason(h, j, j.need, endsAt)]++
	}
	return e
}

func (p *Planner) waitLimit(j *job, now int64) string {
	switch {
	case j.notBefore > now:
		return "backoff after a failure or a loss"
	case j.oversized:
		return "no registered worker is large enough; it is looked at again when workers change"
	case !j.account.withinQuota(j.need):
		return "the contract's quota is used up"
	case j.kind() == egretmuxv1.TaskKind_TASK_KIND_GANG && len(j.waitingMembers) < int(j.memberCount()):
		return "the rest of the gang is still stopping"
	case p.overShare(j.account):
		return "the customer holds its share or more; others go first"
	}
	return ""
}
