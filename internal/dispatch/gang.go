package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Gangs with reserved resources at a time: gangs start sooner one after the other than
// all at once. A late gang has a reservation of its own, or it would wait for as long as
// others come that are not late.
const (
	maxReservations     = 3
	maxLateReservations = 1
)

// planGang starts the waiting tasks of a gang or, if it cannot start yet, requests tickets
// and reserves resources for it. It reports whether it started them.
func (c *Core) planGang(p *plan, s *step, waiting []*task) bool {
	s.release()
	if s.runCount() > 0 { // members of an earlier run are still being stopped
		return false
	}
	if len(c.withinQuota(s, waiting, p.now)) == 0 {
		return false
	}
	pool, late := c.queue(s.job).GetService(), s.lateness != onTime
	if (late || s.overRate) && p.unclaimed.limit(pool, s, len(waiting)) < len(waiting) {
		c.noticeDeferral(s, p.now)
		return false
	}
	if c.placeGang(s, waiting, p.now) {
		s.reserving, s.holding = roomTurn{}, roomTurn{}
		p.unclaimed.use(pool, s, len(waiting))
		return true
	}
	c.awaitRoom(p, s, pool, len(waiting))
	return false
}

// awaitRoom requests tickets and reserves resources for a gang of n tasks that cannot start
// yet. One over rate waits for tickets only.
func (c *Core) awaitRoom(p *plan, s *step, pool string, n int) {
	if !c.isPlaceable(s, pool, p.now) {
		return
	}
	late, reason := s.lateness != onTime, latenessNames[s.lateness]
	mayReserve := !s.overRate && (!late || p.lateReservations < maxLateReservations)
	if mayReserve {
		limit := maxRoomTurn
		if p.unclaimed.mostlyFree(pool) {
			limit = maxIdleRoomTurn
		}
		over := false
		if mayReserve, over = s.reserving.take(p.now, limit); over && s.reserving.noticed {
			c.noticeRoomReleased(s, &s.reserving, reason, p.now)
		}
	}
	if mayReserve && !late {
		p.unclaimed.claim(pool, s, n)
	}
	if c.awaitTickets(s, n, p.now) {
		return
	}
	switch {
	case !mayReserve:
		return
	case late:
		p.lateReservations++
	case p.reservations < maxReservations:
		p.reservations++
	default:
		return
	}
	c.noticeRoomKept(s, &s.reserving, reason, p.now)
	c.reserveForGang(s, n, p.now)
}

// placeGang starts all tasks of a gang at once under one run number, or none, and
// reports whether it started them.
func (c *Core) placeGang(s *step, waiting []*task, now time.Duration) bool {
	candidates, fits := s.withRoom(c.startableWorkers(s, c.queue(s.job), now), len(waiting))
	if fits < len(waiting) {
		return false
	}
	s.sortByScore(candidates)
	chosen := s.fitGang(candidates, len(waiting), 0)
	number := uint64(0)
	for _, t := range s.tasks {
		number = max(number, t.highestRun+1)
	}
	for i, w := range chosen {
		c.startTask(waiting[i], w, number, now)
	}
	return true
}

// awaitTickets handles a gang that cannot start with the tickets that it has. If it fits
// on the workers that may run it, their resources are reserved and the missing tickets
// requested, all at once: tickets expire before those of a later call arrive. Workers of the
// average class count as good as faster ones, so that the choice stays. It reports whether the
// gang fits.
func (c *Core) awaitTickets(s *step, n int, now time.Duration) bool {
	q := c.queue(s.job)
	if q.GetAdvice() == nil {
		return false
	}
	allowed, capacity := c.allowedWorkers(s, q.GetService(), n, now)
	var chosen []*worker
	if candidates, fits := s.withRoom(allowed, n); fits >= n {
		s.sortForTickets(candidates, n, now)
		chosen = s.fitGang(candidates, n, averageClass)
	}
	if chosen != nil {
		c.holdForTickets(s, chosen, now)
	}
	if chosen != nil && !s.urgent {
		s.claimQuota(n)
	}
	if !c.mayRequestAdvice(s, q.GetAdvice(), now) {
		return chosen != nil
	}
	if chosen != nil {
		c.requestTickets(s, q.GetAdvice(), chosen, now)
		return true
	}
	// Where advice is quick, or most of the pool is free, other workers with room are a better choice than
	// the wait for room on those that are known.
	if q.GetAdvice().GetDecideMs() < LongAdviceMs || s.starved || float64(capacity) < gangChoiceFactor*float64(n) {
		c.discoverAllowed(s, q, n, now)
	}
	return false
}

// allowedWorkers returns the workers that may run a step by the advice about it, in no
// order, and how many of n tasks they would hold if they were idle.
func (c *Core) allowedWorkers(s *step, pool string, n int, now time.Duration) (allowed []*worker, capacity int) {
	c.countPairs(PartPlace, len(s.advice.allowed))
	for w, mayRun := range s.advice.allowed {
		if mayRun && c.workers[w.Worker] == w && s.canRunOn(w, pool, now) {
			allowed = append(allowed, w)
			capacity += w.capacity.fitCount(s.demand, n)
		}
	}
	return allowed, capacity
}

// sortForTickets puts the workers with a ticket first, then those that are asked about, so
// that a choice among them stays. Among equals, those with the most room come first.
func (s *step) sortForTickets(workers []*worker, n int, now time.Duration) {
	s.sortByScore(workers)
	s.sortByRoom(workers, n)
	for _, w := range workers {
		w.stepRank = s.advice.ticketRank(w, now)
	}
	slices.SortStableFunc(workers, func(a, b *worker) int { return cmp.Compare(a.stepRank, b.stepRank) })
}

// holdForTickets reserves resources on the chosen workers until their tickets have come, for the
// length of a turn.
func (c *Core) holdForTickets(s *step, chosen []*worker, now time.Duration) {
	may, over := s.holding.take(now, maxRoomTurn)
	if over {
		c.noticeRoomReleased(s, &s.holding, "tickets", now)
	}
	if !may {
		return
	}
	for _, w := range chosen {
		s.hold(w)
	}
}

// hold reserves the resources for one task on a worker until the next plan has
// considered the step. Steps that come before it in that plan cannot take them.
func (s *step) hold(w *worker) {
	if s.held == nil {
		s.held = make(map[*worker]int)
	}
	s.held[w]++
	w.reserved = w.reserved.plus(s.demand)
}

// release ends the holds of a step.
func (s *step) release() {
	for w, n := range s.held {
		for range n {
			w.reserved = w.reserved.minus(s.demand)
		}
	}
	s.held = nil
}

// renewHolds reserves the held resources in a new plan, except for steps over rate: these
// hold what is left after the others.
func (c *Core) renewHolds() {
	for s := range c.unplaced {
		if s.overRate {
			s.held = nil
			continue
		}
		for w, n := range s.held {
			if c.steps[s.key] != s || c.workers[w.Worker] != w {
				delete(s.held, w)
				continue
			}
			for range n {
				w.reserved = w.reserved.plus(s.demand)
			}
		}
	}
}

// fitGang returns a worker for each of n tasks, or nil. Tasks that prefer one rack
// get it if a rack has the resources, the one whose slowest chosen worker is fastest. Of
// the speed classes from the given one on, it leaves out as many slow ones as it can.
func (s *step) fitGang(candidates []*worker, n, fastest int) []*worker {
	if s.spec.GetSameRack() {
		racks := make(map[string][]*worker)
		var names []string
		for _, w := range candidates {
			if racks[w.rack] == nil {
				names = append(names, w.rack)
			}
			racks[w.rack] = append(racks[w.rack], w)
		}
		best, slowest := []*worker(nil), 0
		for _, name := range names {
			class, fits := s.slowestClassNeeded(racks[name], n, fastest)
			if fits && (best == nil || class < slowest) {
				best, slowest = racks[name], class
			}
		}
		if best != nil {
			return s.fitGangUpTo(slowest, best, n)
		}
	}
	class, fits := s.slowestClassNeeded(candidates, n, fastest)
	if !fits {
		return nil
	}
	return s.fitGangUpTo(class, candidates, n)
}

// slowestClassNeeded returns the lowest speed class from the given one on such that the
// workers up to it can take n tasks of the step now: a gang ends with its slowest member.
func (s *step) slowestClassNeeded(candidates []*worker, n, fastest int) (class int, fits bool) {
	var room [speedClasses]int
	for _, w := range candidates {
		room[w.speedClass] += s.maxNewRuns(w, n)
	}
	for class, fit := range room {
		if n -= fit; n <= 0 {
			return max(class, fastest), true
		}
	}
	return 0, false
}

// fitGangUpTo returns a worker for each of n tasks, the first ones of at most the given
// speed class, or nil.
func (s *step) fitGangUpTo(class int, candidates []*worker, n int) []*worker {
	chosen := make([]*worker, 0, n)
	for _, w := range candidates {
		if w.speedClass > class {
			continue
		}
		for range s.maxNewRuns(w, n-len(chosen)) {
			chosen = append(chosen, w)
		}
		if len(chosen) == n {
			return chosen
		}
	}
	return nil
}

// reserveForGang reserves resources for a waiting gang of n tasks, beginning with the
// workers that can take most of its tasks now: the rest of the resources is likely to
// be free there soonest.
func (c *Core) reserveForGang(s *step, n int, now time.Duration) {
	q := c.queue(s.job)
	var candidates []*worker
	for _, w := range c.eligibleWorkers(s, q.GetService(), now) {
		if q.GetAdvice() == nil || s.advice.allowed[w] {
			candidates = append(candidates, w)
		}
	}
	s.sortByScore(candidates)
	s.sortByRoom(candidates, n)
	for _, w := range candidates {
		if n <= 0 {
			return
		}
		fits := s.fitWithin(w.capacity.minus(w.reserved), n)
		for range fits {
			w.reserved = w.reserved.plus(s.demand)
		}
		n -= fits
	}
}
