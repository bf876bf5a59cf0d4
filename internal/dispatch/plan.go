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
	maxSteps    = 256 // steps looked at in one plan; on the grown sites some milliseconds
	turnSteps   = 64  // of them, those that take turns: a quarter
	maxReserved = 3   // waiting gangs that hold room back: one after the other they get it sooner than side by side
	lateFactor  = 3   // objectives after which a job earns nothing more by its time
	farPenalty  = 1e6 // score of a worker away from the data
	// reservedPenalty is the score of a worker on which room is held back: above
	// any worker's thousandths of a core, below farPenalty.
	reservedPenalty = 5e5
	pacePenalty     = 4e4 // score of each unit of a worker's learned slowness
	servingPenalty  = 2e4 // score of each serving task beside a task that fills
)

// Plan places waiting tasks and asks for the advice that they lack.
func (c *Core) Plan(now time.Duration) {
	c.measureUrgent(now)
	for _, w := range c.workers {
		w.reserved = room{}
	}
	reservations := 0
	for _, s := range c.chosen(c.order(now)) {
		waiting := s.waiting()
		if len(waiting) == 0 {
			continue
		}
		if !s.spec.GetGang() {
			c.placeEach(s, waiting, now)
			continue
		}
		if s.live() > 0 { // members of an earlier run are still being stopped
			continue
		}
		if !c.placeGang(s, waiting, now) && reservations < maxReserved && (s.late == onTime || reservations == 0) {
			reservations++
			c.reserve(s, len(waiting), now)
		}
	}
}

// chosen returns the steps that a plan looks at: the first ones and, in turn,
// some of the others, so that steps that cannot be placed do not keep the rest
// out.
func (c *Core) chosen(ordered []*step) []*step {
	if len(ordered) <= maxSteps {
		return ordered
	}
	first, rest := ordered[:maxSteps-turnSteps], ordered[maxSteps-turnSteps:]
	out := slices.Clone(first)
	for range turnSteps {
		c.turn++
		out = append(out, rest[c.turn%len(rest)])
	}
	return out
}

// order returns the steps with waiting tasks, least slack first; those that
// cannot meet their objective any more come after those that can.
func (c *Core) order(now time.Duration) []*step {
	out := make([]*step, 0, len(c.ready))
	for s := range c.ready {
		if c.steps[s.key] != s || len(s.waiting()) == 0 {
			delete(c.ready, s)
			continue
		}
		s.urgent = c.queue(s.job).GetPriority() == 0
		s.late = lateness(s, now)
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *step) int {
		if a.late != b.late {
			return cmp.Compare(a.late, b.late)
		}
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), a.key.compare(b.key))
	})
	return out
}

// Standing of a step against its job's objective.
const (
	onTime  = iota // it can still meet the objective
	late           // it earns less
	expired        // it earns nothing more
)

func lateness(s *step, now time.Duration) int {
	switch {
	case now <= s.urgency:
		return onTime
	case now <= s.urgency+(lateFactor-1)*s.objective:
		return late
	}
	return expired
}

// suits reports whether the worker could run tasks of the step, leaving room
// and tickets aside.
func (s *step) suits(w *worker, pool string, now time.Duration) bool {
	if w.life.GetPool() != pool || !w.takes(now) || !w.size.holds(s.room) {
		return false
	}
	label := s.spec.GetRequiredLabel()
	return label == "" || w.hasLabel(label)
}

// eligible returns the workers that could run tasks of the step, best first.
func (c *Core) eligible(s *step, pool string, now time.Duration) []*worker {
	out := make([]*worker, 0, len(c.workers))
	for _, w := range c.workers {
		if s.suits(w, pool, now) {
			out = append(out, w)
		}
	}
	s.sort(out)
	return out
}

// startable returns the eligible workers that a start may be sent to now: with
// a valid ticket where the queue asks for advice.
func (c *Core) startable(s *step, q *egretmuxv1.Queue, now time.Duration) []*worker {
	if q.GetAdvice() == nil {
		return c.eligible(s, q.GetService(), now)
	}
	var out []*worker
	for w := range s.advice.tickets {
		if c.workers[w.Worker] == w && s.advice.valid(w, now) && s.suits(w, q.GetService(), now) {
			out = append(out, w)
		}
	}
	s.sort(out)
	return out
}

func (s *step) sort(workers []*worker) {
	for _, w := range workers {
		w.scored = s.score(w)
	}
	slices.SortFunc(workers, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.scored, b.scored), cmp.Compare(a.Worker, b.Worker))
	})
}

// score orders workers for a step: near the data, fast, and then the fullest
// one, so that wide tasks find room elsewhere. Lower is better.
func (s *step) score(w *worker) float64 {
	score := pacePenalty * w.pace
	if s.spec.GetFills() {
		score += w.fillScore()
	} else {
		score += float64(w.usable().cpu)
	}
	if rack := s.spec.GetDataRack(); rack != "" && rack != w.rack {
		score += farPenalty
	}
	if s.urgent && w.reserved != (room{}) {
		score += reservedPenalty
	}
	return score
}

// fillScore orders workers for tasks that fill: those with much unused capacity
// and no serving tasks to disturb come first.
func (w *worker) fillScore() float64 {
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

// allowance is how many more tasks of the step the worker may take.
func (s *step) allowance(w *worker, limit int) int {
	usable := w.usable()
	if s.urgent && !w.onTrial() {
		usable = w.free // a gang can wait a little longer for the rest of its room
	}
	usable.cpu -= s.leaves(w)
	n := usable.times(s.room, limit)
	if w.failures >= failLimit {
		n = min(n, 1)
	}
	if most := int(s.spec.GetMaxPerWorker()); most > 0 {
		n = min(n, most-s.onNode[w])
	}
	return max(0, n)
}

// placeEach starts as many of the waiting tasks as fit.
func (c *Core) placeEach(s *step, waiting []*task, now time.Duration) {
	q := c.queue(s.job)
	left := waiting
	for _, w := range c.startable(s, q, now) {
		if len(left) == 0 {
			return
		}
		n := s.allowance(w, len(left))
		for _, t := range left[:n] {
			c.start(t, w, t.lastRun+1, now)
		}
		left = left[n:]
	}
	if len(left) > 0 && q.GetAdvice() != nil && c.mayAsk(s, q.GetAdvice(), now) {
		c.ask(s, q.GetAdvice(), c.withRoom(s, q.GetService(), now), len(left), now)
	}
}

// withRoom returns the workers that could run a task of the step now, best first.
func (c *Core) withRoom(s *step, pool string, now time.Duration) []*worker {
	var out []*worker
	for _, w := range c.workers {
		if s.allowance(w, 1) > 0 && s.suits(w, pool, now) {
			out = append(out, w)
		}
	}
	s.sort(out)
	return out
}

// placeGang starts all tasks of a gang at once, or none.
func (c *Core) placeGang(s *step, waiting []*task, now time.Duration) bool {
	q := c.queue(s.job)
	chosen := s.fit(c.startable(s, q, now), len(waiting))
	if chosen == nil {
		if q.GetAdvice() != nil && c.mayAsk(s, q.GetAdvice(), now) {
			c.askGang(s, q.GetAdvice(), c.eligible(s, q.GetService(), now), len(waiting), now)
		}
		return false
	}
	number := uint64(0)
	for _, t := range s.tasks {
		number = max(number, t.lastRun+1)
	}
	for i, w := range chosen {
		c.start(waiting[i], w, number, now)
	}
	return true
}

// askGang asks for a gang: workers that have room now or are likely to.
func (c *Core) askGang(s *step, q *egretmuxv1.QueueAdvice, candidates []*worker, needed int, now time.Duration) {
	slices.SortStableFunc(candidates, func(a, b *worker) int {
		return cmp.Compare(s.allowance(b, needed), s.allowance(a, needed))
	})
	c.ask(s, q, candidates, needed, now)
}

// fit returns a worker for each of n tasks, or nil. Tasks that want one rack
// get one where there is room.
func (s *step) fit(candidates []*worker, n int) []*worker {
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
			if chosen := s.fitAny(racks[name], n); chosen != nil {
				return chosen
			}
		}
	}
	return s.fitAny(candidates, n)
}

func (s *step) fitAny(candidates []*worker, n int) []*worker {
	chosen := make([]*worker, 0, n)
	for _, w := range candidates {
		for range s.allowance(w, n-len(chosen)) {
			chosen = append(chosen, w)
		}
		if len(chosen) == n {
			return chosen
		}
	}
	return nil
}

// reserve holds room back on the workers that will first have enough for a
// gang that waits.
func (c *Core) reserve(s *step, n int, now time.Duration) {
	q := c.queue(s.job)
	var good []*worker
	for _, w := range c.eligible(s, q.GetService(), now) {
		if q.GetAdvice() == nil || s.advice.good[w] {
			good = append(good, w)
		}
	}
	slices.SortStableFunc(good, func(a, b *worker) int {
		return cmp.Compare(s.allowance(b, n), s.allowance(a, n))
	})
	for _, w := range good {
		if n <= 0 {
			return
		}
		most := w.size.minus(w.reserved).times(s.room, n)
		if limit := int(s.spec.GetMaxPerWorker()); limit > 0 {
			most = min(most, limit)
		}
		for range most {
			w.reserved = w.reserved.plus(s.room)
		}
		n -= most
	}
}

// start records a run and orders it.
func (c *Core) start(t *task, w *worker, number uint64, now time.Duration) {
	s := t.step
	r := c.record(t, w, number, ordered, now)
	checkpoint := ""
	c.cfg.Book.View(s.key.Job, func(rec *jobs.Record) {
		if rec != nil && !rec.Ended() {
			checkpoint = rec.Task(s.key.Occurrence, s.key.Step, t.index).Checkpoint
		}
	})
	order := Start{
		Target: w.Target, Task: t.key(), Run: number, Payload: s.job.spec.GetPayload(),
		Checkpoint: checkpoint, LeaseUntil: w.lease.grant(c.confirmed), Clock: w.lease.clock,
	}
	if held, ok := s.advice.tickets[w]; ok {
		order.Ticket = held.value
	}
	c.out.Starts = append(c.out.Starts, order)
	c.notice(Notice{Event: "run_starting", Job: s.key.Job, Task: t.key().String(), Worker: w.Worker, Run: r.number, Age: now - s.ready})
}
