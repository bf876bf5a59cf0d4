package dispatch

import (
	"cmp"
	"slices"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// The end of a superseded run is withheld: it is not acknowledged, nor is any later end of its worker,
// as a number acknowledges all ends up to it. To the worker, an end does not count if its lease expires
// between the end and the acknowledgement, and an end that lapsed proves that it has. So such a worker
// has to let a run lapse. Nothing else releases a withheld end.
//
// An idle worker whose lease has expired gets a trial: one run under a lease that is to end before the run.
// If trials do not help, or the worker is busy, it goes on until too many ends wait. Then it gets its turn:
// its lease is not extended. Turns are bounded in time and number, so that gangs and tasks that last, which are
// spared, have other workers.

const (
	lapseLimit = 100 // waiting ends beyond which a busy worker may get a turn
	// maxUnacknowledged bounds the unacknowledged ends and the runs of a worker with a withheld end,
	// beside the ends of trials. Its protocol lists at most 500, and the end that lapses has to be among them.
	maxUnacknowledged = 450
	nearlyFull        = 400
	maxTrialsListed   = 490 // beyond it only runs of longRun get a trial
	maxListed         = 498
	longRun           = time.Second
	maxLapsingShare   = 0.2 // largest fraction of a pool's workers that have their turn

	maxSparedTurn = 10 * time.Second // part of a turn after which gangs lapse, and tasks that last if any number may miss
	maxTurn       = 25 * time.Second
	maxIdleTurn   = 3 * time.Second // beside a lease; after it a turn ends in which nothing ran that could lapse
	turnPause     = 10 * time.Second
	maxTrialWait  = time.Second // for which an idle worker waits for a run that can lapse
	// lapseHearing is the time for which the end of a run that lapsed is awaited before the run is given up.
	lapseHearing = 700 * time.Millisecond

	maxTrials     = 8 // without a lapse
	minTrialLease = 10 * time.Millisecond
	maxTrialLease = 500 * time.Millisecond // before it is doubled
)

// lapse is the progress of a worker with a withheld end towards a run that lapses.
type lapse struct {
	turn      bool
	turnBegan time.Duration
	idleSince time.Duration // in a turn, from when on nothing ran that ends by itself; zero while something does
	restUntil time.Duration // earliest next turn

	trial   bool // whether the trial run or its lease may be going on
	trials  int
	doubled int // how often the lease of a trial is doubled, as starts came too late; halved, as runs ended first, if negative

	free      bool // whether the worker was idle and its lease had expired at the latest plan
	freeSince time.Duration
	impatient bool // whether gangs were not spared any more at the latest plan
}

// isSpared reports whether the runs of a step are not to lapse.
func (s *step) isSpared() bool { return s.spec.GetLongRunning() || s.spec.GetGang() }

// behindWithheld returns how many ends wait behind the first withheld one.
func (w *worker) behindWithheld() uint64 {
	if len(w.withheld) == 0 {
		return 0
	}
	return w.storingCursor - min(w.storingCursor, w.withheld[0])
}

// releaseBefore releases the withheld ends before that of a run that lapsed.
func (c *Core) releaseBefore(w *worker, lapsed uint64) {
	if len(w.withheld) == 0 || w.withheld[0] >= lapsed {
		return
	}
	behind := w.behindWithheld()
	w.withheld = slices.DeleteFunc(w.withheld, func(number uint64) bool { return number < lapsed })
	w.lapse = lapse{}
	c.addNotice(Notice{Event: "end_released", Worker: w.Worker, Reason: "lapsed", Behind: int(behind)})
}

// updateLapse brings the progress of a worker up to date for a plan.
func (w *worker) updateLapse(now time.Duration) {
	l := &w.lapse
	if len(w.withheld) == 0 {
		return
	}
	_, running := w.lease.runningUntil(now)
	wasFree := l.free
	l.free = !running && !w.hasUnendedRuns()
	if l.free && !wasFree {
		l.freeSince = now
	}
	l.trial = l.trial && !l.free
	if l.turn {
		l.impatient = now-l.turnBegan >= maxSparedTurn || l.idleSince > 0 && now-l.idleSince >= maxTrialWait
	} else {
		l.impatient = l.free && now-l.freeSince >= maxTrialWait
	}
}

// trialDue reports whether the next run of a worker is a trial.
func (w *worker) trialDue() bool {
	return w.lapse.free && !w.hasUnendedRuns() && (w.lapse.trials < maxTrials || w.lapse.turn || w.full())
}

// full reports whether a worker has nearly as many ends and runs as it may have with a withheld end, so that
// a wide gang may find no room any more.
func (w *worker) full() bool { return w.unacknowledged() >= nearlyFull }

func (w *worker) unacknowledged() int { return int(w.behindWithheld()) + 1 + len(w.runs) }

// mayExtendLease reports whether polls may extend the lease of a worker. One with a withheld end needs
// none while it is idle, and lapses while it has a trial, or in its turn once nothing is spared there.
func (w *worker) mayExtendLease() bool {
	return len(w.withheld) == 0 || w.hasUnendedRuns() && !w.lapse.trial && !w.mustLapse()
}

// mustLapse reports whether a worker has its turn and nothing is spared there: after a part of the turn
// only tasks that last of which a limited number may miss.
func (w *worker) mustLapse() bool {
	if !w.lapse.turn {
		return false
	}
	for _, r := range w.runs {
		if s := r.task.step; r.state != ended && s.isSpared() && (!w.lapse.impatient || s.spec.GetLongRunning() && s.spec.GetMayMiss() > 0) {
			return false
		}
	}
	return true
}

// mayStart reports whether runs of a step may start on a worker as far as its withheld ends are
// concerned. What is spared does not start where it would lapse or keep others from lapsing.
func (w *worker) mayStart(s *step) bool {
	l := &w.lapse
	switch {
	case len(w.withheld) == 0:
		return true
	case s.spec.GetLongRunning():
		return !l.turn && !l.trial
	case s.spec.GetGang() && l.impatient:
		return l.turn || !l.trial
	case s.spec.GetGang():
		return !l.turn && !l.trial && !w.trialDue()
	}
	return true
}

// newRunsLeft returns how many runs of a step may start on a worker as far as its withheld ends are
// concerned, at most limit. A trial has no other runs beside it, as they would be lost as well.
func (w *worker) newRunsLeft(s *step, limit int) int {
	left, listed := maxUnacknowledged-w.unacknowledged(), maxTrialsListed
	if s.expectedRun >= longRun {
		listed = maxListed
	}
	switch {
	case len(w.withheld) == 0:
		return limit
	case s.isSpared() && w.lapse.turn: // a gang that is to lapse
		left = listed - w.unacknowledged()
	case s.isSpared():
	case w.trialDue():
		left = min(1, listed-w.unacknowledged())
	case w.lapse.trial:
		left = 0
	}
	return max(0, min(limit, left))
}

// leaseForStart returns the end of the lease that a start of a step on a worker carries, or, for a trial, the
// length of the lease that is granted when the start is sent.
func (c *Core) leaseForStart(w *worker, s *step, now time.Duration) (until int64, trial time.Duration) {
	until, running := w.lease.runningUntil(now)
	switch {
	case len(w.withheld) == 0 || s.isSpared() && !w.lapse.turn:
		return w.lease.grant(c.confirmedAt), 0
	case running && (w.lapse.trial || w.mustLapse()):
		return until, 0
	case !running && (w.lapse.trial || w.trialDue()):
		if !w.lapse.trial {
			w.lapse.trial = true
			if now >= c.inheritedLeasesEnd { // else an earlier leader's lease may outlast the trial
				w.lapse.trials++
			}
			c.addNotice(Notice{Event: "worker_lapsing", Worker: w.Worker, Reason: "trial", Behind: int(w.behindWithheld())})
		}
		w.lease.reserve(now)
		return 0, w.trialLease(s)
	}
	return w.lease.grant(c.confirmedAt), 0
}

// trialLease returns the length of a lease that is to end in the middle of a run of a step.
func (w *worker) trialLease(s *step) time.Duration {
	length := min(maxTrialLease, s.expectedRun/2)
	if w.lapse.doubled < 0 {
		length >>= min(-w.lapse.doubled, maxTrials)
	} else {
		length <<= min(w.lapse.doubled, maxTrials)
	}
	return min(w.lease.length, max(minTrialLease, length))
}

// GrantTrialLease returns the end, on its worker's clock, of the lease of a trial whose start is about to be
// sent; zero if it must not be sent any more.
func (c *Core) GrantTrialLease(s StartOrder, now time.Duration) int64 {
	w := c.workers[s.Worker]
	switch {
	case c.findRun(s.Target, s.Task, s.Run) == nil: // it was given up, and its task may have been started elsewhere
		return 0
	case !w.lapse.trial: // the worker has no withheld end any more
		return w.lease.grant(c.confirmedAt)
	}
	return w.lease.grantFor(s.TrialLease, c.confirmedAt, now)
}

// learnFromTrial adapts the length of trials to one whose run ended before its lease did.
func (w *worker) learnFromTrial(outcome egretmuxv1.RunOutcome) {
	if w.lapse.trial && w.lapse.trials > 0 && outcome != egretmuxv1.RunOutcome_RUN_OUTCOME_LAPSED {
		w.lapse.doubled--
	}
}

// updateLapses ends the turns that are over and gives the workers with the most waiting ends theirs.
func (c *Core) updateLapses(now time.Duration) {
	var waiting []*worker
	size, lapsing := make(map[string]int), make(map[string]int) // by pool
	for _, w := range c.workers {
		pool := w.life.GetPool()
		size[pool]++
		switch {
		case len(w.withheld) == 0:
		case w.lapse.turn:
			c.continueTurn(w, now)
			if w.lapse.turn {
				lapsing[pool]++
			}
		case w.usable() && (w.full() && len(w.runs) > 0 || w.behindWithheld() > lapseLimit && now >= w.lapse.restUntil && w.hasEndingRuns()):
			waiting = append(waiting, w)
		}
	}
	slices.SortFunc(waiting, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.behindWithheld(), a.behindWithheld()), cmp.Compare(a.Worker, b.Worker))
	})
	for _, w := range waiting {
		pool := w.life.GetPool()
		if lapsing[pool] >= max(1, int(maxLapsingShare*float64(size[pool]))) {
			continue
		}
		lapsing[pool]++
		w.lapse.turn, w.lapse.turnBegan, w.lapse.idleSince = true, now, 0
		c.addNotice(Notice{Event: "worker_lapsing", Worker: w.Worker, Reason: "turn", Behind: int(w.behindWithheld())})
	}
}

// hasUnendedRuns reports whether a worker has runs other than those whose ends are being stored, which need no
// lease.
func (w *worker) hasUnendedRuns() bool {
	for _, r := range w.runs {
		if r.state != ended {
			return true
		}
	}
	return false
}

// hasEndingRuns reports whether a worker has runs that end by themselves.
func (w *worker) hasEndingRuns() bool {
	for _, r := range w.runs {
		if !r.task.step.spec.GetLongRunning() {
			return true
		}
	}
	return false
}

// continueTurn ends the turn of a worker that takes too long, or on which nothing lapses, and moves the
// runs that last as far as others can take them, or, late in the turn or from a full worker, as far as their steps
// can spare them.
func (c *Core) continueTurn(w *worker, now time.Duration) {
	l := &w.lapse
	switch {
	case w.hasEndingRuns():
		l.idleSince = 0
	case l.idleSince == 0:
		l.idleSince = now
	}
	if !w.usable() || now-l.turnBegan >= maxTurn || l.idleSince > 0 && now-l.idleSince >= w.lease.length+maxIdleTurn {
		l.turn, l.restUntil = false, now+turnPause
		c.addNotice(Notice{Event: "worker_lapse_put_off", Worker: w.Worker, Behind: int(w.behindWithheld()), Age: now - l.turnBegan})
		return
	}
	pressing := w.full() || w.hasEndingRuns() && now-l.turnBegan >= maxSparedTurn
	for _, r := range w.sortedRuns() {
		s := r.task.step
		if r.state != running || !s.spec.GetLongRunning() {
			continue
		}
		if limit := int(s.spec.GetMayMiss()); (limit == 0 || s.unavailableTasks() < limit) && (pressing || c.otherCanTake(r, now)) {
			c.moveRun(r, "worker-lapses", now)
		}
	}
}

// otherCanTake reports whether another worker has room for the task of a run.
func (c *Core) otherCanTake(r *run, now time.Duration) bool {
	s, pool := r.task.step, r.worker.life.GetPool()
	for _, w := range c.workers {
		if w != r.worker && s.canRunOn(w, pool, now) && s.maxNewRuns(w, 1) > 0 {
			return true
		}
	}
	return false
}
