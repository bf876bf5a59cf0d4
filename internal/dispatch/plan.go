package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	jobs "github.com/egretmux/egretmux/internal/job"
)

// Limits of one plan.
const (
	maxPlanSteps  = 256 // steps considered in one plan; takes some milliseconds at large sites
	rotatingSteps = 64  // a quarter of maxPlanSteps, picked round-robin from the steps beyond the first
	expiryFactor  = 3   // multiple of the objective after which the end of a job is worth nothing
	remotePenalty = 1e6 // score of a worker on another rack than the data
	// reservedPenalty is the score of a worker with reserved resources: above the
	// cpu score of any worker (thousandths of a core), below remotePenalty.
	reservedPenalty = 5e5
	// Scores of each unit of a worker's slowness. Steps that are not urgent have time for a
	// slower worker, and leave the fast ones to those that are.
	slownessPenalty       = 5e3
	urgentSlownessPenalty = 4e4
	// urgentClassPenalty is the score, for urgent steps, of each speed class: above the cpu
	// score of a worker.
	urgentClassPenalty = 7e4
	servingPenalty     = 2e4 // score of each serving task beside a filler
	// missPenalty is the score of a worker that is too slow for the step to meet its
	// objective there: above the cpu score of any worker, below reservedPenalty.
	missPenalty = 2e5
	// slowTolerance is the slowness by which workers that are alike may differ by chance.
	slowTolerance = 1.2
)

// Plan starts waiting tasks on workers and requests missing advice.
func (c *Core) Plan(now time.Duration) {
	c.updateCustomers()
	c.updateShares(now)
	c.updateHeadroom(now)
	for _, w := range c.workers {
		w.reserved = resources{}
		w.endIsolation(now)
		w.renewProbation(now)
		w.updateLapse(now)
	}
	c.renewHolds()
	p := &plan{now: now, unclaimed: c.newUnclaimedRoom(now)}
	ordered := c.orderSteps(now)
	c.cost.Waiting = len(ordered)
	c.findStarved(ordered, now)
	c.renewClaims(ordered)
	someClosed := c.hasClosedWorkers(now)
	considered := c.selectSteps(c.withoutHeld(ordered, now))
	for _, s := range considered {
		waiting := s.waitingTasks()
		if len(waiting) == 0 {
			continue
		}
		pool := c.queue(s.job).GetService()
		if s.starved && someClosed {
			c.openClosedWorkers(s, pool, now)
		}
		if s.spec.GetGang() {
			if !c.planGang(p, s, waiting) {
				p.unclaimed.leave(pool, s, s.unheldCount())
			}
			continue
		}
		if waiting = c.withinQuota(s, waiting, now); len(waiting) == 0 {
			continue
		}
		n := p.unclaimed.limit(pool, s, len(waiting))
		started := 0
		if n > 0 {
			started = c.placeTasks(s, waiting[:n], now)
			p.unclaimed.use(pool, s, started)
		}
		p.unclaimed.leave(pool, s, len(waiting)-started)
		if n < len(waiting) {
			c.noticeDeferral(s, now)
		}
	}
	c.noteFullPools(p)
	c.explainBlocked(considered, now)
}

// plan is the state of one plan.
type plan struct {
	now              time.Duration
	unclaimed        *unclaimedRoom
	reservations     int // gangs that have reserved resources, and are on time
	lateReservations int // the same of late gangs
}

// selectSteps returns the steps that one plan considers: the first ones, those that hold
// resources while their tickets are requested, and, round-robin, some of the others, so
// that steps that cannot be placed do not starve the rest.
func (c *Core) selectSteps(ordered []*step) []*step {
	if len(ordered) <= maxPlanSteps {
		return ordered
	}
	out := slices.Clone(ordered[:maxPlanSteps-rotatingSteps])
	var rest []*step
	for _, s := range ordered[maxPlanSteps-rotatingSteps:] {
		if len(s.held) > 0 {
			out = append(out, s)
		} else {
			rest = append(rest, s)
		}
	}
	for range min(rotatingSteps, len(rest)) {
		c.rotation++
		out = append(out, rest[c.rotation%len(rest)])
	}
	return out
}

// orderSteps returns the steps with waiting tasks, least deadline slack first.
// Steps that can no longer meet their objective come after those that can. Customers' rates
// and shares come first.
func (c *Core) orderSteps(now time.Duration) []*step {
	out := make([]*step, 0, len(c.unplaced))
	for s := range c.unplaced {
		if c.steps[s.key] != s || !s.waits() {
			delete(c.unplaced, s)
			s.idle = false
			continue
		}
		if now-s.estimatedAt >= latestStartMaxAge {
			c.setLatestStart(s, now)
		}
		q := c.queue(s.job)
		s.overRate, s.beyondShare = s.comesAfterRate(), false
		s.urgent = q.GetPriority() == 0 && !s.overRate
		s.lateness = latenessOf(s, now)
		s.slownessLimit = s.largestSlowness(now)
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *step) int {
		if order := compareCustomers(a, b); order != 0 {
			return order
		}
		if a.lateness != b.lateness {
			return cmp.Compare(a.lateness, b.lateness)
		}
		if a.latestStart != b.latestStart {
			return cmp.Compare(a.latestStart, b.latestStart)
		}
		return a.key.compare(b.key)
	})
	c.orderByShare(out, now)
	return out
}

// Lateness of a step relative to its job's objective.
const (
	onTime  = iota // it can still meet the objective
	late           // the job will miss the objective and be worth less
	expired        // the job will end after expiryFactor times the objective and be worth nothing
)

// latenessNames are the values of lateness as they appear in logs and metrics.
var latenessNames = [...]string{"on-time", "late", "expired"}

// latenessOf returns the lateness of a step. Long-running tasks are due whenever they do not
// run, however long ago their job was accepted.
func latenessOf(s *step, now time.Duration) int {
	switch {
	case s.spec.GetLongRunning():
		return onTime
	case now <= s.latestStart:
		return onTime
	case now <= s.latestStart+(expiryFactor-1)*s.objective:
		return late
	}
	return expired
}

// largestSlowness returns the slowness of a worker up to which a step that starts now meets
// its objective. Steps that miss it anyway have no limit.
func (s *step) largestSlowness(now time.Duration) float64 {
	if s.lateness != onTime || s.spec.GetLongRunning() || s.expectedRun <= 0 {
		return math.Inf(1)
	}
	return slowTolerance + float64(s.latestStart-now)/float64(s.expectedRun)
}

// canRunOn reports whether the worker could run tasks of the step, regardless of
// its free resources and of tickets.
func (s *step) canRunOn(w *worker, pool string, now time.Duration) bool {
	return w.life.GetPool() == pool && s.mayUse(w, now) && s.suits(w) && w.mayStart(s)
}

// mayUse reports whether the worker may get new runs of the step. One that rests or is kept for a
// suspect gets those of starved steps that have no other room.
func (s *step) mayUse(w *worker, now time.Duration) bool {
	mayProbe := s.mayProbe && (s.mayRetry || !s.failedOn[w])
	return w.acceptsOrders(now) && (s.mayShare || !w.keptForSuspect()) && (mayProbe || now >= w.restUntil)
}

// suits reports whether a worker of the step's pool has the capacity and the label that a
// task needs.
func (s *step) suits(w *worker) bool {
	if !w.capacity.covers(s.demand) {
		return false
	}
	label := s.spec.GetRequiredLabel()
	return label == "" || w.hasLabel(label)
}

// eligibleWorkers returns the workers for which canRunOn holds, in no order.
func (c *Core) eligibleWorkers(s *step, pool string, now time.Duration) []*worker {
	c.countPairs(PartPlace, len(c.workers))
	out := make([]*worker, 0, len(c.workers))
	for _, w := range c.workers {
		if s.canRunOn(w, pool, now) {
			out = append(out, w)
		}
	}
	return out
}

// startableWorkers returns the eligible workers that a start may be sent to now, in no
// order. If the queue uses advice, these are the ones with a valid ticket.
func (c *Core) startableWorkers(s *step, q *egretmuxv1.Queue, now time.Duration) []*worker {
	if q.GetAdvice() == nil {
		return c.eligibleWorkers(s, q.GetService(), now)
	}
	c.countPairs(PartPlace, len(s.advice.tickets))
	var out []*worker
	for w := range s.advice.tickets {
		if c.workers[w.Worker] == w && s.advice.hasValidTicket(w, now) && s.canRunOn(w, q.GetService(), now) {
			out = append(out, w)
		}
	}
	return out
}

// withRoom returns those of the workers that can take a task of the step now, and how
// many of n tasks they can take together. Sorting is left to callers that have a use for
// the workers: in a backlog most steps have no room.
func (s *step) withRoom(workers []*worker, n int) (out []*worker, fits int) {
	for _, w := range workers {
		if runs := s.maxNewRuns(w, n); runs > 0 {
			out = append(out, w)
			fits += runs
		}
	}
	return out, fits
}

// fastEnough leaves out the candidates that are too slow for the step to meet its objective
// there, unless all workers are: until its latest start, one of the others may get room.
func (s *step) fastEnough(candidates, all []*worker) []*worker {
	tooSlow := func(w *worker) bool { return w.slowness > s.slownessLimit }
	if s.starved || !slices.ContainsFunc(candidates, tooSlow) || !slices.ContainsFunc(all, func(w *worker) bool { return !tooSlow(w) }) {
		return candidates
	}
	return slices.DeleteFunc(candidates, tooSlow)
}

// sortByScore sorts workers by their score, best first.
func (s *step) sortByScore(workers []*worker) {
	s.rate(workers)
	slices.SortFunc(workers, compareScores)
}

// sortByRoom puts the workers first that can take most of n tasks of the step now. Equal
// ones keep their order.
func (s *step) sortByRoom(workers []*worker, n int) {
	for _, w := range workers {
		w.stepRank = s.maxNewRuns(w, n)
	}
	slices.SortStableFunc(workers, func(a, b *worker) int { return cmp.Compare(b.stepRank, a.stepRank) })
}

// score rates a worker for a step: near the data, fast, and then with the least
// available cpu, so that large tasks fit elsewhere. Lower is better.
func (s *step) score(w *worker) float64 {
	score := slownessPenalty * w.slowness
	if s.urgent {
		score = urgentSlownessPenalty*w.slowness + urgentClassPenalty*float64(w.speedClass)
	}
	if w.slowness > s.slownessLimit {
		score += missPenalty
	}
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
	switch {
	case w.outOfProbes() || w.keptForSuspect() && !s.mayShare: // nothing is available
	case s.urgent || s.spec.GetLongRunning() || s.starved:
		usable = w.free // reserved resources too: the gang can wait a little longer
	}
	usable.cpu -= s.requiredHeadroom(w)
	n := usable.fitCount(s.demand, limit)
	if w.failing() {
		n = min(n, w.probation.left)
	}
	if maxPerWorker := int(s.spec.GetMaxPerWorker()); maxPerWorker > 0 {
		n = min(n, maxPerWorker-s.runsOn[w])
	}
	return w.newRunsLeft(s, max(0, n))
}

// placeTasks starts as many of the waiting tasks as fit, requests advice for the rest,
// and returns how many it started.
func (c *Core) placeTasks(s *step, waiting []*task, now time.Duration) int {
	q := c.queue(s.job)
	suspects, unplaced := splitSuspects(waiting)
	started, without := c.placeSuspects(s, suspects, now)
	startable := c.startableWorkers(s, q, now)
	candidates, _ := s.withRoom(startable, len(unplaced))
	candidates = s.fastEnough(candidates, startable)
	s.sortByScore(candidates)
	for _, w := range candidates {
		if len(unplaced) == 0 {
			break
		}
		n := s.maxNewRuns(w, len(unplaced))
		for _, t := range unplaced[:n] {
			c.startTask(t, w, t.highestRun+1, now)
		}
		unplaced = unplaced[n:]
		started += n
	}
	if without += len(unplaced); without > 0 && q.GetAdvice() != nil && c.mayRequestAdvice(s, q.GetAdvice(), now) {
		c.requestAdvice(s, q.GetAdvice(), c.workersWithRoom(s, q.GetService(), now), without, now)
	}
	return started
}

// workersWithRoom returns the workers that have the resources for a task of the
// step now, in no order.
func (c *Core) workersWithRoom(s *step, pool string, now time.Duration) []*worker {
	c.countPairs(PartAdvise, len(c.workers))
	var out []*worker
	for _, w := range c.workers {
		if s.maxNewRuns(w, 1) > 0 && s.canRunOn(w, pool, now) {
			out = append(out, w)
		}
	}
	return out
}

// startTask adds a run of a task and orders its start.
func (c *Core) startTask(t *task, w *worker, number uint64, now time.Duration) {
	s := t.step
	leaseUntil, trialLease := c.leaseForStart(w, s, now)
	r := c.addRun(t, w, number, ordered, now)
	s.idle = s.idle && s.spec.GetLongRunning() // others of its tasks may wait
	c.noteProbe(r, now)
	if s.overRate {
		s.job.customer.overRateStarted += s.demand.cpu
	}
	if len(t.runs) == 1 { // a copy's task did not wait
		s.claimQuota(max(0, s.claim-1))
	}
	if s.quotaHold != nil {
		s.quotaHold.startable = max(0, s.quotaHold.startable-1)
	}
	checkpoint := ""
	c.cfg.Book.View(s.key.Job, func(rec *jobs.Record) {
		if rec != nil && !rec.Ended() {
			checkpoint = rec.Task(s.key.Occurrence, s.key.Step, t.index).Checkpoint
		}
	})
	r.timed = checkpoint == ""
	order := StartOrder{
		Target: w.Target, Task: t.key(), Run: number, Payload: s.job.spec.GetPayload(),
		Checkpoint: checkpoint, LeaseUntil: leaseUntil, TrialLease: trialLease, Clock: w.lease.latest.clock,
		Superseded: t.unheard, AnswerBy: c.formTimeout(s),
	}
	r.superseding, t.unheard = t.unheard, nil
	if issued, ok := s.advice.tickets[w]; ok {
		order.Ticket = issued.value
	}
	c.actions.Starts = append(c.actions.Starts, order)
	c.addNotice(Notice{Event: "run_starting", Job: s.key.Job, Task: t.key().String(), Worker: w.Worker, Run: r.number, Age: now - s.openedAt})
}
