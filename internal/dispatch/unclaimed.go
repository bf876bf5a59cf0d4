package dispatch

import "time"

// maxClaimedShare is the largest fraction of a pool's cpu that waiting gangs claim. Steps
// that can wait use the rest at any time, so that they are not held up while half of the
// pool is idle, as when the gangs wait for tickets.
const maxClaimedShare = 0.5

// deferredSlackShare is the part of its slack for which a step leaves room to gangs.
const deferredSlackShare = 0.5

// unclaimedRoom is the free cpu of each pool less what the gangs considered so far in a
// plan have claimed. A gang that cannot start yet claims the cpu of all its tasks, on any
// worker: room that comes free a task at a time would otherwise always go to steps that
// need it a task at a time, although these have the later latest start or are late.
type unclaimedRoom struct {
	core    *Core
	now     time.Duration
	claimed map[string]int64     // by pool, thousandths of a core
	wanted  map[string]int64     // by pool: what steps within rate wait for, thousandths of a core
	left    map[string]int64     // by pool: what all steps wait for, thousandths of a core
	pools   map[string]*poolRoom // computed when a claim first matters
}

// poolRoom is the cpu of the workers of a pool that accept runs, in thousandths of a core.
type poolRoom struct{ free, capacity int64 }

func (c *Core) newUnclaimedRoom(now time.Duration) *unclaimedRoom {
	return &unclaimedRoom{core: c, now: now, claimed: make(map[string]int64), wanted: make(map[string]int64), left: make(map[string]int64)}
}

// pool returns the room of a pool as it is now, tasks started by this plan included.
func (u *unclaimedRoom) pool(name string) *poolRoom {
	if u.pools == nil {
		u.pools = make(map[string]*poolRoom)
		last, room := "", (*poolRoom)(nil)
		for _, w := range u.core.workers {
			if !w.acceptsRuns(u.now) {
				continue
			}
			if pool := w.life.GetPool(); room == nil || pool != last {
				if last, room = pool, u.pools[pool]; room == nil {
					room = &poolRoom{}
					u.pools[pool] = room
				}
			}
			room.capacity += w.capacity.cpu
			room.free += max(0, w.free.cpu)
		}
	}
	if u.pools[name] == nil {
		u.pools[name] = &poolRoom{}
	}
	return u.pools[name]
}

// claim records that a gang waits for room for n tasks.
func (u *unclaimedRoom) claim(pool string, s *step, n int) {
	u.claimed[pool] += int64(n) * s.demand.cpu
}

// leave records that n tasks of a step could not start in this plan.
func (u *unclaimedRoom) leave(pool string, s *step, n int) {
	if len(u.core.customers) == 0 || n == 0 || !u.core.isPlaceable(s, pool, u.now) {
		return
	}
	cpu := int64(n) * s.demand.cpu
	u.left[pool] += cpu
	if !s.overRate {
		u.wanted[pool] += cpu
	}
}

// mostlyFree reports whether more than half of a pool is free.
func (u *unclaimedRoom) mostlyFree(pool string) bool {
	room := u.pool(pool)
	return 2*room.free > room.capacity
}

// use records that n tasks of a step were started.
func (u *unclaimedRoom) use(pool string, s *step, n int) {
	if u.pools != nil {
		u.pool(pool).free -= int64(n) * s.demand.cpu
	}
}

// limit returns how many of n waiting tasks of a step may start. Urgent steps, steps that
// are placed before any gang that waits, starved ones and those that cannot wait are not
// limited. Steps over rate leave room to all steps within rate that wait.
func (u *unclaimedRoom) limit(pool string, s *step, n int) int {
	claimed := u.claimed[pool]
	if s.overRate {
		claimed = max(claimed, u.wanted[pool])
	}
	if claimed == 0 || s.starved || !s.overRate && (s.urgent || !s.canWait(u.now)) {
		return n
	}
	room := u.pool(pool)
	claimed = min(claimed, int64(maxClaimedShare*float64(room.capacity)))
	return resources{cpu: room.free - claimed}.fitCount(resources{cpu: s.demand.cpu}, n)
}

// noticeDeferral logs, once for each step, that it leaves room to gangs.
func (c *Core) noticeDeferral(s *step, now time.Duration) {
	if s.deferred {
		return
	}
	s.deferred = true
	reason := latenessNames[s.lateness]
	if s.lateness == onTime {
		reason = "can-wait"
	}
	if s.overRate {
		reason = ReasonOverRate
	}
	c.addNotice(Notice{Event: "step_deferred", Job: s.key.Job, Task: s.key.String(), Reason: reason, Age: now - s.openedAt})
}

// canWait reports whether a step leaves room to gangs: until a part of the time is over
// in which its start still meets the objective or, if it is late, is still worth
// something. Long-running tasks are due whenever they do not run.
func (s *step) canWait(now time.Duration) bool {
	if s.spec.GetLongRunning() {
		return false
	}
	from, until := s.dueAt, s.latestStart
	switch s.lateness {
	case late:
		from, until = s.latestStart, s.latestStart+(expiryFactor-1)*s.objective
	case expired:
		return true
	}
	return now < from+time.Duration(deferredSlackShare*float64(until-from))
}
