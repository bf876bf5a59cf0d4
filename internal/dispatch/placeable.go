package dispatch

import "time"

// Work for which no room can come free keeps none from others: it claims and reserves
// nothing, and does not count as demand.

// placementMaxAge is the time between two searches for workers that could run a step.
const placementMaxAge = time.Second

// placement is whether a step could be placed if its workers had room.
type placement struct {
	possible bool
	until    time.Duration // when possible has to be found anew
	noticed  bool          // whether it was logged that it is not
}

// isPlaceable reports whether the workers of a pool could run a task of a step or, if it is a
// gang, all its tasks at once, once the runs there have ended that do not last. The answer is at
// most placementMaxAge old.
func (c *Core) isPlaceable(s *step, pool string, now time.Duration) bool {
	p := &s.placement
	if now < p.until {
		return p.possible
	}
	p.possible, p.until = c.findPlacement(s, pool, now), now+placementMaxAge
	if p.possible {
		p.noticed = false
	} else if !p.noticed {
		p.noticed = true
		c.addNotice(Notice{Event: "step_not_placeable", Job: s.key.Job, Task: s.key.String(), Pool: pool, Age: now - s.openedAt})
	}
	return p.possible
}

func (c *Core) findPlacement(s *step, pool string, now time.Duration) bool {
	if !s.spec.GetGang() {
		for _, w := range c.workers {
			c.countPairs(PartPlaceable, 1)
			if w.life.GetPool() == pool && s.suits(w) {
				return true
			}
		}
		return false
	}
	missing := s.tasksLeft
	for _, w := range c.workers {
		c.countPairs(PartPlaceable, 1)
		if w.life.GetPool() != pool || !s.suits(w) || w.synced && !s.mayUse(w, now) { // a new leader has not read all workers yet
			continue
		}
		if mayRun, known := s.advice.allowed[w]; known && !mayRun {
			continue
		}
		if missing -= s.fitWithin(w.capacity.minus(w.lasting), missing); missing <= 0 {
			return true
		}
	}
	return false
}

// fitWithin returns how many of n tasks of the step fit into a part of a worker.
func (s *step) fitWithin(part resources, n int) int {
	if limit := int(s.spec.GetMaxPerWorker()); limit > 0 {
		n = min(n, limit)
	}
	return part.fitCount(s.demand, n)
}
