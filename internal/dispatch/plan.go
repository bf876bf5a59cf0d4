package dispatch

import (
	"cmp"
	"slices"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	jobs "github.com/egretmux/egretmux/internal/job"
)

// Limits of one plan.
const (
	maxPlanSteps  = 256 // steps considered in one plan; takes some milliseconds at large sites
	rotatingSteps = 64  // a quarter of maxPlanSteps, picked round-robin from the steps beyond the first
	// Gangs with reserved resources at a time: gangs start sooner one after the other
	// than all at once. A late gang has a reservation of its own, or it would wait for as
	// long as others come that are not late.
	maxReservations     = 3
	maxLateReservations = 1
	expiryFactor        = 3   // multiple of the objective after which the end of a job is worth nothing
	remotePenalty       = 1e6 // score of a worker on another rack than the data
	// reservedPenalty is the score of a worker with reserved resources: above the
	// cpu score of any worker (thousandths of a core), below remotePenalty.
	reservedPenalty = 5e5
	slownessPenalty = 4e4 // score of each unit of a worker's slowness
	servingPenalty  = 2e4 // score of each serving task beside a filler
)

// Plan starts waiting tasks on workers and requests missing advice.
func (c *Core) Plan(now time.Duration) {
	c.updateHeadroom(now)
	for _, w := range c.workers {
		w.reserved = resources{}
	}
	c.renewHolds()
	reservations, lateReservations := 0, 0
	for _, s := range c.selectSteps(c.orderSteps(now)) {
		waiting := s.waitingTasks()
		if len(waiting) == 0 {
			continue
		}
		if !s.spec.GetGang() {
			c.placeTasks(s, waiting, now)
			continue
		}
		s.release()
		if s.runCount() > 0 { // members of an earlier run are still being stopped
			continue
		}
		if c.placeGang(s, waiting, now) || c.awaitTickets(s, len(waiting), now) {
			continue
		}
		switch {
		case s.lateness == onTime && reservations < maxReservations:
			reservations++
		case s.lateness != onTime && lateReservations < maxLateReservations:
			lateReservations++
		default:
			continue
		}
		c.reserveForGang(s, len(waiting), now)
	}
}

// selectSteps returns the steps that one plan considers: the first ones and,
// round-robin, some of the others, so that steps that cannot be placed do not
// starve the rest.
func (c *Core) selectSteps(ordered []*step) []*step {
	if len(ordered) <= maxPlanSteps {
		return ordered
	}
	first, rest := ordered[:maxPlanSteps-rotatingSteps], ordered[maxPlanSteps-rotatingSteps:]
	out := slices.Clone(first)
	for range rotatingSteps {
		c.rotation++
		out = append(out, rest[c.rotation%len(rest)])
	}
	return out
}

// orderSteps returns the steps with waiting tasks, least deadline slack first.
// Steps that can no longer meet their objective come after those that can.
func (c *Core) orderSteps(now time.Duration) []*step {
	out := make([]*step, 0, len(c.unplaced))
	for s := range c.unplaced {
		if c.steps[s.key] != s || len(s.waitingTasks()) == 0 {
			delete(c.unplaced, s)
			continue
		}
		s.urgent = c.queue(s.job).GetPriority() == 0
		s.lateness = latenessOf(s, now)
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *step) int {
		if a.lateness != b.lateness {
			return cmp.Compare(a.lateness, b.lateness)
		}
		return cmp.Or(cmp.Compare(a.latestStart, b.latestStart), a.key.compare(b.key))
	})
	return out
}

// Lateness of a step relative to its job's objective.
const (
	onTime  = iota // it can still meet the objective
	late           // the job will miss the objective and be worth less
	expired        // the job will end after expiryFactor times the objective and be worth nothing
)

func latenessOf(s *step, now time.Duration) int {
	switch {
	case now <= s.latestStart:
		return onTime
	case now <= s.latestStart+(expiryFactor-1)*s.objective:
		return late
	}
	return expired
}

// canRunOn reports whether the worker could run tasks of the step, regardless of
// its free resources and of tickets.
func (s *step) canRunOn(w *worker, pool string, now time.Duration) bool {
	if w.life.GetPool() != pool || !w.acceptsRuns(now) || !w.capacity.covers(s.demand) {
		return false
	}
	label := s.spec.GetRequiredLabel()
	return label == "" || w.hasLabel(label)
}

// eligibleWorkers returns the workers for which canRunOn holds, best score first.
func (c *Core) eligibleWorkers(s *step, pool string, now time.Duration) []*worker {
	out := make([]*worker, 0, len(c.workers))
	for _, w := range c.workers {
		if s.canRunOn(w, pool, now) {
			out = append(out, w)
		}
	}
	s.sortByScore(out)
	return out
}

// startableWorkers returns the eligible workers that a start may be sent to now.
// If the queue uses advice, these are the ones with a valid ticket.
func (c *Core) startableWorkers(s *step, q *egretmuxv1.Queue, now time.Duration) []*worker {
	if q.GetAdvice() == nil {
		return c.eligibleWorkers(s, q.GetService(), now)
	}
	var out []*worker
	for w := range s.advice.tickets {
		if c.workers[w.Worker] == w && s.advice.hasValidTicket(w, now) && s.canRunOn(w, q.GetService(), now) {
			out = append(out, w)
		}
	}
	s.sortByScore(out)
	return out
}

func (s *step) sortByScore(workers []*worker) {
	for _, w := range workers {
		w.stepScore = s.score(w)
	}
	slices.SortFunc(workers, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.stepScore, b.stepScore), cmp.Compare(a.Worker, b.Worker))
	})
}

// score rates a worker for a step: near the data, fast, and then with the least
// available cpu, so that large tasks fit elsewhere. Lower is better.
func (s *step) score(w *worker) float64 {
	score := slownessPenalty * w.slowness
	if s.spec.GetFills() {
		score += w.fillerScore()
	} else {
		score += float64(w.available().cpu)
	}
	if rack := s.spec.GetDataRack(); rack != "" && rack != w.rack {
		score += remotePenalty
	}
	if s.urgent && w.reserved != (resources{}) {
		score += reservedPenalty
	}
	return score
}

// fillerScore rates a worker for fillers: much unused cpu, few other fillers and
// no serving tasks to disturb. Lower is better.
func (w *worker) fillerScore() float64 {
	score := -float64(w.free.cpu)
	for _, r := range w.runs {
		if r.task.step.spec.GetFills() {
			score += float64(r.task.step.spec.GetCpuMillis())
		} else if r.task.step.spec.GetTargetMs() > 0 {
			score += servingPenalty
		}
	}
	return score
}

// maxNewRuns returns how many more runs of the step the worker may get, at most
// limit.
func (s *step) maxNewRuns(w *worker, limit int) int {
	usable := w.available()
	if s.urgent && !w.probing() {
		usable = w.free // reserved resources too: the gang can wait a little longer
	}
	usable.cpu -= s.requiredHeadroom(w)
	n := usable.fitCount(s.demand, limit)
	if w.failures >= maxFailures {
		n = min(n, 1)
	}
	if maxPerWorker := int(s.spec.GetMaxPerWorker()); maxPerWorker > 0 {
		n = min(n, maxPerWorker-s.runsOn[w])
	}
	return max(0, n)
}

// placeTasks starts as many of the waiting tasks as fit, and requests advice for
// the rest.
func (c *Core) placeTasks(s *step, waiting []*task, now time.Duration) {
	q := c.queue(s.job)
	unplaced := waiting
	for _, w := range c.startableWorkers(s, q, now) {
		if len(unplaced) == 0 {
			return
		}
		n := s.maxNewRuns(w, len(unplaced))
		for _, t := range unplaced[:n] {
			c.startTask(t, w, t.highestRun+1, now)
		}
		unplaced = unplaced[n:]
	}
	if len(unplaced) > 0 && q.GetAdvice() != nil && c.mayRequestAdvice(s, q.GetAdvice(), now) {
		c.requestAdvice(s, q.GetAdvice(), c.workersWithRoom(s, q.GetService(), now), len(unplaced), now)
	}
}

// workersWithRoom returns the workers that have the resources for a task of the
// step now, best score first.
func (c *Core) workersWithRoom(s *step, pool string, now time.Duration) []*worker {
	var out []*worker
	for _, w := range c.workers {
		if s.maxNewRuns(w, 1) > 0 && s.canRunOn(w, pool, now) {
			out = append(out, w)
		}
	}
	s.sortByScore(out)
	return out
}

// placeGang starts all tasks of a gang at once under one run number, or none, and
// reports whether it started them.
func (c *Core) placeGang(s *step, waiting []*task, now time.Duration) bool {
	chosen := s.fitGang(c.startableWorkers(s, c.queue(s.job), now), len(waiting))
	if chosen == nil {
		return false
	}
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
// requested, all at once: tickets expire before those of a later call arrive. It reports
// whether the gang fits.
func (c *Core) awaitTickets(s *step, n int, now time.Duration) bool {
	q := c.queue(s.job)
	if q.GetAdvice() == nil {
		return false
	}
	allowed, capacity := c.allowedWorkers(s, q.GetService(), n, now)
	chosen := s.fitGang(allowed, n)
	for _, w := range chosen {
		s.hold(w)
	}
	if !c.mayRequestAdvice(s, q.GetAdvice(), now) {
		return chosen != nil
	}
	if chosen != nil {
		c.requestTickets(s, q.GetAdvice(), chosen, now)
		return true
	}
	// Where advice is quick, other workers with room are a better choice than the wait for
	// room on those that are known.
	if q.GetAdvice().GetDecideMs() < LongAdviceMs || float64(capacity) < gangChoiceFactor*float64(n) {
		c.discoverAllowed(s, q, n, now)
	}
	return false
}

// allowedWorkers returns the workers that may run a step by the advice about it, and how
// many of n tasks they would hold if they were idle. Those with a ticket, or asked about,
// come first, so that a choice among them stays.
func (c *Core) allowedWorkers(s *step, pool string, n int, now time.Duration) (allowed []*worker, capacity int) {
	for w, mayRun := range s.advice.allowed {
		if mayRun && c.workers[w.Worker] == w && s.canRunOn(w, pool, now) {
			allowed = append(allowed, w)
			capacity += w.capacity.fitCount(s.demand, n)
		}
	}
	s.sortByScore(allowed)
	slices.SortStableFunc(allowed, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(s.advice.ticketRank(a, now), s.advice.ticketRank(b, now)), cmp.Compare(s.maxNewRuns(b, n), s.maxNewRuns(a, n)))
	})
	return allowed, capacity
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

// renewHolds reserves the held resources in a new plan.
func (c *Core) renewHolds() {
	for s := range c.unplaced {
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
// get it if a rack has the resources.
func (s *step) fitGang(candidates []*worker, n int) []*worker {
	if s.spec.GetSameRack() {
		racks := make(map[string][]*worker)
		var names []string
		for _, w := range candidates {
			if racks[w.rack] == nil {
				names = append(names, w.rack)
			}
			racks[w.rack] = append(racks[w.rack], w)
		}
		for _, name := range names {
			if chosen := s.fitGangAnyRack(racks[name], n); chosen != nil {
				return chosen
			}
		}
	}
	return s.fitGangAnyRack(candidates, n)
}

func (s *step) fitGangAnyRack(candidates []*worker, n int) []*worker {
	chosen := make([]*worker, 0, n)
	for _, w := range candidates {
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
	slices.SortStableFunc(candidates, func(a, b *worker) int {
		return cmp.Compare(s.maxNewRuns(b, n), s.maxNewRuns(a, n))
	})
	for _, w := range candidates {
		if n <= 0 {
			return
		}
		fits := w.capacity.minus(w.reserved).fitCount(s.demand, n)
		if limit := int(s.spec.GetMaxPerWorker()); limit > 0 {
			fits = min(fits, limit)
		}
		for range fits {
			w.reserved = w.reserved.plus(s.demand)
		}
		n -= fits
	}
}

// startTask adds a run of a task and orders its start.
func (c *Core) startTask(t *task, w *worker, number uint64, now time.Duration) {
	s := t.step
	r := c.addRun(t, w, number, ordered, now)
	checkpoint := ""
	c.cfg.Book.View(s.key.Job, func(rec *jobs.Record) {
		if rec != nil && !rec.Ended() {
			checkpoint = rec.Task(s.key.Occurrence, s.key.Step, t.index).Checkpoint
		}
	})
	order := StartOrder{
		Target: w.Target, Task: t.key(), Run: number, Payload: s.job.spec.GetPayload(),
		Checkpoint: checkpoint, LeaseUntil: w.lease.grant(c.confirmedAt), Clock: w.lease.clock,
	}
	if issued, ok := s.advice.tickets[w]; ok {
		order.Ticket = issued.value
	}
	c.actions.Starts = append(c.actions.Starts, order)
	c.addNotice(Notice{Event: "run_starting", Job: s.key.Job, Task: t.key().String(), Worker: w.Worker, Run: r.number, Age: now - s.openedAt})
}
