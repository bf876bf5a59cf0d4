package jobs

import "time"

const (
	lastingStartup = 300 * time.Millisecond  // from the start of a task that lasts until it is at work
	noticeTime     = 4500 * time.Millisecond // notice_ms: time for which a task is not at work until it counts as away
)

// atWork reports whether a run of a task that lasts is at work.
func (r *run) atWork(now time.Time) bool {
	return r.goesOn(now) && !r.taken && now.Sub(r.began) >= lastingStartup
}

// judgeOrderedEnd judges an order that ends a run of a task that lasts, or a lapse that counts as one: too many
// others of its step must not be away. An order that was held up only counts as one for the others. The caller holds l.mu.
func (l *Ledger) judgeOrderedEnd(t Task, r *run, now time.Time, heldUp bool) {
	j := l.submitted[t.Job]
	if j == nil || j.Cancelled || l.mayBeGivenUpLocked(t.Job) || r.taken {
		return
	}
	step := j.Steps[t.Step]
	wasAtWork := r.atWork(now)
	r.taken = true
	if !step.LongRunning || step.MayMiss == 0 || !wasAtWork || heldUp {
		return
	}
	away := 0
	for i := range step.Count {
		if other := (Task{t.Job, t.Step, i, t.Occurrence}); other != t && l.isAway(other, now) {
			away++
		}
	}
	l.counts.OrderedEnds++
	l.counts.MostAway = max(l.counts.MostAway, away)
	if away >= step.MayMiss {
		l.addViolationLocked("AVAIL %v run %d on %s is ended while %d others of its step are away, and %d may be", t, r.number, r.runner, away, step.MayMiss)
	}
}

// isAway reports whether a task was ended by an order, or was not at work for noticeTime. The caller holds l.mu.
func (l *Ledger) isAway(t Task, now time.Time) bool {
	since, taken := l.submitted[t.Job].AcceptedAt, false
	for _, r := range l.runs[t] {
		if r.atWork(now) {
			return false
		}
		if taken = r.taken || taken && r.goesOn(now); !r.goesOn(now) {
			since = latest(since, r.over)
		}
	}
	return taken || now.Sub(since) >= noticeTime
}

// orderedEnd judges an order that ends a run.
func (l *Ledger) orderedEnd(t Task, number uint64, runner string) {
	l.judgeOrder(t, number, runner, nil)
}

// orderedStop judges a stop that a runner carries out, unless it was held up on the way.
func (l *Ledger) orderedStop(t Task, number uint64, r *Runner) { l.judgeOrder(t, number, r.name(), r) }

func (l *Ledger) judgeOrder(t Task, number uint64, runner string, link *Runner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	heldUp := link != nil && l.heldUp(link, now)
	for _, r := range l.runs[t] {
		if r.number == number && r.runner == runner {
			l.judgeOrderedEnd(t, r, now, heldUp)
		}
	}
}
