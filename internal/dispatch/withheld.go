package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// The end of a superseded run is withheld: it is not acknowledged, nor is any later end of its worker,
// as a number acknowledges all ends up to it. To the worker, an end does not count if its lease expires
// between the end and the acknowledgement, and an end that lapsed proves that it has. So such a worker
// has to let a run lapse. Nothing else releases a withheld end.
//
// An idle worker whose lease has expired gets one run under a lease that is shorter than the run. A busy
// one goes on until too many ends wait; then its lease is not extended, and its turn is bounded, so that
// gangs and tasks that last, which are spared, have other workers.

const (
	lapseLimit       = 100 // waiting ends beyond which a busy worker has to lapse, if it is its turn
	urgentLapseLimit = 300 // waiting ends beyond which it has to lapse at once
	// maxUnacknowledged bounds the unacknowledged ends and the runs of a worker with a withheld end.
	// Its protocol lists at most 500 ends, and the end that lapses has to be among them.
	maxUnacknowledged = 450
	maxLapsingShare   = 0.2              // largest fraction of a pool's workers whose turn it is
	maxLapseTurn      = 10 * time.Second // after which gangs are not spared any more
	maxTrialWait      = time.Second      // for which an idle worker waits for a run that can lapse

	minLapseLease = 50 * time.Millisecond // of a run that is to lapse; its start takes some ten milliseconds
	maxLapseLease = 500 * time.Millisecond
	// maxLapseDoublings bounds the doublings of such a lease, one for each start that came too late.
	maxLapseDoublings = 4
)

// lapse is the progress of a worker with a withheld end towards a run that lapses.
type lapse struct {
	began  time.Duration // of the turn of a busy worker, or when an idle one was first free to lapse
	turn   bool          // whether the lease of a busy worker is left to expire
	trial  bool          // whether a run was started under a short lease
	missed int           // starts that came after the end of such a lease

	free      bool // whether the worker was idle and its lease had expired at the latest plan
	impatient bool // whether gangs were not spared any more at the latest plan
}

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
	l.free = len(w.runs) == 0 && !running
	if l.free && l.began == 0 {
		l.began = now
	}
	limit := maxTrialWait
	if l.turn {
		limit = maxLapseTurn
	}
	l.impatient = l.began > 0 && now-l.began >= limit
}

// freeToLapse reports whether the next start on a worker begins a new lease, which may be short.
func (w *worker) freeToLapse() bool { return w.lapse.free && len(w.runs) == 0 }

// mayExtendLease reports whether polls may extend the lease of a worker. One with a withheld end needs
// none while it is idle, and lapses while it has a trial run, or in its turn once nothing is spared there.
func (w *worker) mayExtendLease() bool {
	switch {
	case len(w.withheld) == 0:
		return true
	case len(w.runs) == 0 || w.lapse.trial:
		return false
	}
	return !w.mustLapse()
}

// mustLapse reports whether it is a worker's turn to lapse and nothing is spared there: no task that
// lasts, and no member of a gang before the turn has taken too long.
func (w *worker) mustLapse() bool {
	if !w.lapse.turn {
		return false
	}
	for _, r := range w.runs {
		if spec := r.task.step.spec; spec.GetLongRunning() || spec.GetGang() && !w.lapse.impatient {
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
		return !l.turn
	case s.spec.GetGang() && (l.turn || l.trial || l.free):
		return l.impatient
	}
	return true
}

// newRunsLeft returns how many runs of a step may start on a worker as far as its withheld ends are
// concerned, at most limit. Beside a trial run there are no others, as they would be lost as well.
func (w *worker) newRunsLeft(s *step, limit int) int {
	if len(w.withheld) == 0 {
		return limit
	}
	spared := s.spec.GetLongRunning() || s.spec.GetGang()
	if !spared && w.freeToLapse() {
		return min(limit, 1)
	}
	if !spared && w.lapse.trial {
		return 0
	}
	return max(0, min(limit, maxUnacknowledged-int(w.behindWithheld())-len(w.runs)))
}

// leaseForStart returns the end of the lease that a start of a step on a worker carries.
func (c *Core) leaseForStart(w *worker, s *step, now time.Duration) int64 {
	if len(w.withheld) == 0 {
		return w.lease.grant(c.confirmedAt)
	}
	until, running := w.lease.runningUntil(now)
	if spared := s.spec.GetLongRunning() || s.spec.GetGang(); spared && !w.lapse.turn {
		w.lapse.trial = false
		return w.lease.grant(c.confirmedAt)
	}
	switch {
	case running && (w.lapse.trial || w.mustLapse()):
		return until
	case running:
		return w.lease.grant(c.confirmedAt)
	}
	if !w.lapse.trial {
		w.lapse.trial = true
		c.addNotice(Notice{Event: "worker_lapsing", Worker: w.Worker, Reason: "idle", Behind: int(w.behindWithheld())})
	}
	short := min(maxLapseLease, max(minLapseLease, s.expectedRun/2)) << min(w.lapse.missed, maxLapseDoublings)
	return w.lease.grantShort(c.confirmedAt, now, short)
}

// updateLapses gives the workers with the most waiting ends their turn to lapse, and moves the tasks
// that last away from them, as far as their steps can spare them.
func (c *Core) updateLapses(now time.Duration) {
	var waiting []*worker
	size, lapsing := make(map[string]int), make(map[string]int) // by pool
	for _, w := range c.workers {
		size[w.life.GetPool()]++
		switch {
		case len(w.withheld) == 0:
		case w.lapse.turn:
			lapsing[w.life.GetPool()]++
			c.moveLastingRuns(w, now)
		case w.behindWithheld() > lapseLimit:
			waiting = append(waiting, w)
		}
	}
	slices.SortFunc(waiting, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.behindWithheld(), a.behindWithheld()), cmp.Compare(a.Worker, b.Worker))
	})
	for _, w := range waiting {
		pool := w.life.GetPool()
		if lapsing[pool] >= max(1, int(maxLapsingShare*float64(size[pool]))) && w.behindWithheld() <= urgentLapseLimit {
			continue
		}
		lapsing[pool]++
		w.lapse.turn, w.lapse.began = true, now
		c.addNotice(Notice{Event: "worker_lapsing", Worker: w.Worker, Reason: "turn", Behind: int(w.behindWithheld())})
	}
}

// moveLastingRuns stops the runs that last on a worker that has to lapse, while their steps stay within
// the number of tasks that may be unavailable.
func (c *Core) moveLastingRuns(w *worker, now time.Duration) {
	for _, r := range w.sortedRuns() {
		s := r.task.step
		if r.state != running || !s.spec.GetLongRunning() {
			continue
		}
		if limit := int(s.spec.GetMayMiss()); limit == 0 || s.unavailableTasks() < limit {
			c.moveRun(r, "worker-lapses", now)
		}
	}
}
