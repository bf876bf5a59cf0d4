package dispatch

import "time"

// starvedAfter is the time without a run from which on a step takes any room that suits it. With
// a call for advice and the start it has to stay below three seconds.
const starvedAfter = time.Second

// findStarved finds the steps of which nothing has run for some time although their pool is mostly
// free, and those of which a lasting task has waited for as long in any pool. What keeps room from them
// (reservations and claims of gangs, headroom, faster workers, the rest of workers, suspects) is a
// preference, and work must go on where there is room.
func (c *Core) findStarved(waiting []*step, now time.Duration) {
	mostlyFree := make(map[string]bool)
	for pool, room := range c.poolRooms() {
		mostlyFree[pool] = 2*room.free > room.capacity
	}
	c.cost.Starved = 0
	for _, s := range waiting {
		pool := c.queue(s.job).GetService()
		if idle := s.spec.GetLongRunning() || mostlyFree[pool] && !s.runs(); idle != s.idle {
			s.idle, s.idleSince = idle, now
		}
		starved := s.idle && now-s.idleSince >= starvedAfter && !s.overRate && s.quotaHold == nil
		if starved && !s.starved {
			c.addNotice(Notice{Event: "step_starved", Job: s.key.Job, Task: s.key.String(), Age: now - s.idleSince})
			s.starvedAt, s.blockedAt = now, 0
		}
		s.starved = starved
		s.mayShare, s.mayProbe, s.mayRetry = false, false, false
		if starved {
			c.cost.Starved++
		}
	}
}

// hasClosedWorkers reports whether any worker rests or is kept for a suspect.
func (c *Core) hasClosedWorkers(now time.Duration) bool {
	for _, w := range c.workers {
		if now < w.restUntil || w.keptForSuspect() {
			return true
		}
	}
	return false
}

// openClosedWorkers lets a starved step use workers that are kept for suspects and, if it has no room there
// either, probe those that rest.
func (c *Core) openClosedWorkers(s *step, pool string, now time.Duration) {
	sound, room := c.soundRoom(s, pool, now)
	if !room {
		s.mayShare = true
		sound, room = c.soundRoom(s, pool, now)
	}
	s.mayProbe, s.mayRetry = !room, !sound
	if s.mayShare {
		s.placement.until = 0
	}
}

// soundRoom reports whether a worker that does not fail may run a step, and whether such workers have room for a task
// of it, or for the whole gang.
func (c *Core) soundRoom(s *step, pool string, now time.Duration) (sound, room bool) {
	missing := 1
	if s.spec.GetGang() {
		missing = len(s.waitingTasks())
	}
	c.countPairs(PartOpen, len(c.workers))
	for _, w := range c.workers {
		if w.failing() || s.advice.forbids(w) || !s.canRunOn(w, pool, now) {
			continue
		}
		sound = true
		if missing -= s.maxNewRuns(w, missing); missing <= 0 {
			return true, true
		}
	}
	return sound, false
}

// runs reports whether a worker that answers has a run of the step, or a start of one is under way.
func (s *step) runs() bool {
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if r.state == ordered || r.state == running && r.worker.missedPolls == 0 {
				return true
			}
		}
	}
	return false
}

// poolRooms returns the cpu of all workers by pool, in thousandths of a core.
func (c *Core) poolRooms() map[string]*poolRoom {
	rooms := make(map[string]*poolRoom)
	for _, w := range c.workers {
		room := rooms[w.life.GetPool()]
		if room == nil {
			room = &poolRoom{}
			rooms[w.life.GetPool()] = room
		}
		room.capacity += w.capacity.cpu
		room.free += max(0, w.free.cpu)
	}
	return rooms
}
