package dispatch

import (
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Quotas. The runs of a customer together stay within its quota. A step that the quota holds
// back takes nothing from others: it reserves no room, holds no worker and asks for no advice.

// quotaHold is the state of a step that has more waiting tasks than its customer's quota lets
// start.
type quotaHold struct {
	reason    string
	since     time.Duration
	startable int       // tasks that may start all the same
	quota     resources // when the step was last considered
}

// Reasons of a hold.
const (
	holdFull     = "quota"           // it ends when enough runs of the customer have ended
	holdTooSmall = "quota-too-small" // a task, or the whole gang, is larger than the quota
)

func resourcesOf(r *egretmuxv1.Resources) resources {
	return resources{r.GetCpuMillis(), r.GetMemoryMib(), r.GetAccelerators()}
}

// setLimits takes over the limits of the catalogue in force.
func (cu *customer) setLimits(limits *egretmuxv1.Customer) {
	cu.limits, cu.quota = limits, resourcesOf(limits.GetQuota())
}

// unlimited reports whether a customer has no quota.
func (cu *customer) unlimited() bool { return cu == nil || cu.quota == resources{} }

// fitQuota returns how many runs of a usage, at most n, a quota lets start beside what is in
// use. A limit of zero is none.
func fitQuota(quota, inUse, usage resources, n int) int {
	for _, d := range [...][3]int64{
		{quota.cpu, inUse.cpu, usage.cpu}, {quota.memory, inUse.memory, usage.memory}, {quota.accelerators, inUse.accelerators, usage.accelerators},
	} {
		if limit, used, needed := d[0], d[1], d[2]; limit > 0 && needed > 0 {
			n = int(min(int64(n), max(0, limit-used)/needed))
		}
	}
	return n
}

// usesHalf reports whether a customer uses half of its quota, or more, of a resource.
func (cu *customer) usesHalf() bool {
	return (cu.quota.cpu > 0 && 2*cu.inUse.cpu >= cu.quota.cpu) || (cu.quota.memory > 0 && 2*cu.inUse.memory >= cu.quota.memory) ||
		(cu.quota.accelerators > 0 && 2*cu.inUse.accelerators >= cu.quota.accelerators)
}

// startable returns how many of n waiting tasks of a step its customer's quota lets start now:
// all or none of a gang. What other steps of the customer claim is left to them, unless the
// customer uses little of its quota: they may wait for something else.
func (s *step) startable(n int) int {
	cu := s.job.customer
	if cu.unlimited() || n == 0 {
		return n
	}
	least := 1
	if s.spec.GetGang() {
		least = n
	}
	fits := fitQuota(cu.quota, cu.inUse, s.usage, n)
	if claimed := cu.claimed.minus(s.usage.times(s.claim)); !s.urgent && claimed != (resources{}) {
		if left := fitQuota(cu.quota, cu.inUse.plus(claimed), s.usage, n); left >= least || cu.usesHalf() {
			fits = min(fits, left)
		} else {
			fits = min(fits, least)
		}
	}
	if fits < least {
		return 0
	}
	return fits
}

// renewClaims sums what the steps of each customer with a quota claim of it: its waiting urgent
// tasks, the gangs for which room is held until their tickets have come, and its first gang that
// waits for the quota: single tasks would take what comes free, one at a time.
func (c *Core) renewClaims(ordered []*step) {
	if len(c.customers) == 0 {
		return
	}
	for _, cu := range c.customers {
		cu.claimed = resources{}
	}
	claimed := make(map[*customer]bool) // by a gang that waits for the quota
	for _, s := range ordered {
		s.claim = 0
		cu := s.job.customer
		if cu.unlimited() {
			continue
		}
		n := s.claims()
		if n == 0 && !claimed[cu] && s.waitingGang() {
			n, claimed[cu] = s.tasksLeft, true
		}
		s.claimQuota(n)
	}
}

// claims returns for how many tasks a step claims its customer's quota. Urgent steps that can
// never start or are worth nothing any more claim nothing.
func (s *step) claims() int {
	n := 0
	switch {
	case s.urgent && s.lateness != expired && !s.largerThanQuota():
		for _, t := range s.tasks {
			if t.waits() {
				n++
			}
		}
	case len(s.held) > 0:
		n = s.tasksLeft
	}
	return n
}

// waitingGang reports whether a step is a gang without runs that may start within the quota and
// is still worth something.
func (s *step) waitingGang() bool {
	return s.spec.GetGang() && len(s.runsOn) == 0 && s.lateness != expired && !s.largerThanQuota()
}

// claimQuota lets a step claim its customer's quota for n tasks in this plan.
func (s *step) claimQuota(n int) {
	if cu := s.job.customer; cu != nil {
		cu.claimed = cu.claimed.plus(s.usage.times(n - s.claim))
		s.claim = n
	}
}

// withoutHeld returns the steps of which the quota lets a task start. The others would take
// the place of steps that can start in a plan of limited length.
func (c *Core) withoutHeld(ordered []*step, now time.Duration) []*step {
	if len(c.customers) == 0 {
		return ordered
	}
	out := ordered[:0]
	for _, s := range ordered {
		if s.job.customer.unlimited() {
			c.endHold(s, now)
			out = append(out, s)
			continue
		}
		wanted := 1
		if s.spec.GetGang() && len(s.runsOn) == 0 {
			wanted = s.tasksLeft
		}
		if s.startable(wanted) > 0 {
			out = append(out, s)
			continue
		}
		c.holdStep(s, 0, now)
	}
	return out
}

// withinQuota returns those of the waiting tasks of a step that may start now.
func (c *Core) withinQuota(s *step, waiting []*task, now time.Duration) []*task {
	fits := s.startable(len(waiting))
	if fits == len(waiting) {
		c.endHold(s, now)
		return waiting
	}
	releaseKept(waiting[fits:])
	c.holdStep(s, fits, now)
	return waiting[:fits]
}

// largerThanQuota reports whether a task of a step, or the whole gang, can never start.
func (s *step) largerThanQuota() bool {
	whole := 1
	if s.spec.GetGang() {
		whole = s.tasksLeft
	}
	return fitQuota(s.job.customer.quota, resources{}, s.usage, whole) < whole
}

// holdStep records that the quota lets only some of the waiting tasks of a step start, and
// frees what was held for the others.
func (c *Core) holdStep(s *step, startable int, now time.Duration) {
	s.release()
	if !s.urgent && !s.spec.GetGang() {
		s.claimQuota(0)
	}
	if startable == 0 {
		releaseKept(s.tasks)
	}
	reason := holdFull
	if s.largerThanQuota() {
		reason = holdTooSmall
	}
	if s.quotaHold != nil && s.quotaHold.reason == reason {
		s.quotaHold.startable, s.quotaHold.quota = startable, s.job.customer.quota
		return
	}
	s.quotaHold = &quotaHold{reason: reason, since: now, startable: startable, quota: s.job.customer.quota}
	c.addNotice(Notice{Event: "step_held", Job: s.key.Job, Task: s.key.String(), Reason: reason, Age: now - s.openedAt})
}

// releaseKept opens the workers that are kept for suspects to others.
func releaseKept(tasks []*task) {
	for _, t := range tasks {
		if t.kept != nil && t.kept.keptFor == t {
			t.kept.keptFor = nil
		}
		t.kept = nil
	}
}

// endHold records that the quota does not hold a step back any more.
func (c *Core) endHold(s *step, now time.Duration) {
	if s.quotaHold == nil {
		return
	}
	reason := "runs-ended"
	if cu := s.job.customer; cu == nil || cu.quota != s.quotaHold.quota {
		reason = "quota-changed"
	}
	c.addNotice(Notice{Event: "step_hold_ended", Job: s.key.Job, Task: s.key.String(), Reason: reason, Age: now - s.quotaHold.since})
	s.quotaHold = nil
}

// unheldCount returns the number of tasks without a run that the quota does not hold back. Only
// these are demand for room.
func (s *step) unheldCount() int {
	n := s.waitingCount()
	return n - s.heldTasks(n)
}

// heldTasks returns how many of the waiting tasks of a step the quota holds back.
func (s *step) heldTasks(waiting int) int {
	if s.quotaHold == nil {
		return 0
	}
	return max(0, waiting-s.quotaHold.startable)
}
