package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// A starved step that still waits is logged with the rule that keeps it waiting: the one that
// refuses it the worker that comes closest to running it.

// A search looks at all workers, so that only some steps are searched for at a time.
const (
	blockedCheckInterval = time.Second
	maxBlockedChecks     = 4 // steps in each interval that wait longest, and as many others
)

// refusal is why a worker gets no task of a step now. A worker that comes closer to running it has a
// higher one.
type refusal int

const (
	refusedForAll      refusal = iota // no worker of the pool suits the step
	refusedUnusable                   // no contact, or it is about to leave
	refusedForeignRun                 // it has runs that no open step has
	refusedBackingOff                 // a start was not answered, or refused
	refusedResting                    // its runs have failed
	refusedWithheld                   // ends of it are withheld
	refusedByAdvice                   // the advice service forbids it
	refusedWithoutRoom                // its room is in use
	refusedForSuspect                 // it is kept for a suspect
	refusedForRoomKept                // its room is reserved, or it takes no more runs of the step
	refusedForTicket                  // its ticket is missing
	refusedIsolation                  // the suspects that wait may be isolated on no further worker
	refusedEarlierRun                 // members of the gang's earlier run are still being stopped
	refusedTurn                       // nothing refuses the step there
)

var refusalNames = [...]string{
	"no-suitable-worker", "worker-unusable", "foreign-run", "worker-backing-off", "worker-resting", "ends-withheld", "advice",
	"no-room", "worker-kept-for-suspect", "room-kept", "no-ticket", "isolation-limit", "earlier-run", "turn",
}

func (r refusal) String() string { return refusalNames[r] }

// explainBlocked logs what blocks some of the starved steps that a plan has considered and that were starved before as
// well: those that wait longest, and those for which it was not searched for the longest time.
func (c *Core) explainBlocked(considered []*step, now time.Duration) {
	if now < c.blockedCheckedAt+blockedCheckInterval {
		return
	}
	blocked := slices.DeleteFunc(considered, func(s *step) bool { return !s.starved || s.starvedAt == now || !s.waits() })
	if len(blocked) == 0 {
		return
	}
	c.blockedCheckedAt = now
	longestIdle := func(a, b *step) int { return cmp.Or(cmp.Compare(a.idleSince, b.idleSince), a.key.compare(b.key)) }
	slices.SortFunc(blocked, longestIdle)
	first := min(maxBlockedChecks, len(blocked))
	others := blocked[first:]
	slices.SortFunc(others, func(a, b *step) int { return cmp.Or(cmp.Compare(a.blockedAt, b.blockedAt), longestIdle(a, b)) })
	for _, s := range blocked[:min(first+maxBlockedChecks, len(blocked))] {
		c.findBlocked(s, now)
	}
}

// findBlocked logs what blocks a step, if that has changed.
func (c *Core) findBlocked(s *step, now time.Duration) {
	by := refusedForAll
	c.countPairs(PartExplain, len(c.workers))
	pool, onlySuspects := c.queue(s.job).GetService(), s.onlySuspectsWait()
	for _, w := range c.workers {
		if w.life.GetPool() == pool && s.suits(w) {
			by = max(by, c.refusalOf(s, w, onlySuspects, now))
		}
	}
	if s.blockedAt == 0 || by != s.blockedBy {
		c.addNotice(Notice{Event: "step_blocked", Job: s.key.Job, Task: s.key.String(), Reason: by.String(), Age: now - s.idleSince})
	}
	s.blockedAt, s.blockedBy = now, by
}

// onlySuspectsWait reports whether all waiting tasks of a step are suspects.
func (s *step) onlySuspectsWait() bool {
	suspects, others := splitSuspects(s.waitingTasks())
	return len(suspects) > 0 && len(others) == 0
}

// refusalOf returns why a suitable worker gets no task of a step.
func (c *Core) refusalOf(s *step, w *worker, onlySuspects bool, now time.Duration) refusal {
	q := c.queue(s.job)
	switch {
	case !w.usable():
		return refusedUnusable
	case len(w.orphans) > 0:
		return refusedForeignRun
	case now < w.backoffUntil:
		return refusedBackingOff
	case s.advice.forbids(w):
		return refusedByAdvice
	case !w.free.covers(s.demand):
		return refusedWithoutRoom
	case w.keptForSuspect():
		return refusedForSuspect
	case !s.canRunOn(w, w.life.GetPool(), now) && now < w.restUntil, w.failing() && w.probation.left <= 0:
		return refusedResting
	case !w.mayStart(s) || w.newRunsLeft(s, 1) == 0:
		return refusedWithheld
	case s.maxNewRuns(w, 1) == 0:
		return refusedForRoomKept
	case q.GetAdvice() != nil && !s.advice.hasValidTicket(w, now):
		return refusedForTicket
	case onlySuspects && c.isolationsLeft(q.GetService()) <= 0:
		return refusedIsolation
	case s.spec.GetGang() && s.runCount() > 0:
		return refusedEarlierRun
	}
	return refusedTurn
}
