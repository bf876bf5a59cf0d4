package jobs

import "time"

const (
	contactTime    = 4 * time.Second // contact_ms: without a disturbance, until machines are in touch
	staleStartTime = time.Second     // from a known end of a task to its last start by a machine in touch
)

// Disturb records that instances are disturbed until the returned function is called.
func (l *Ledger) Disturb() (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeStretch(time.Now())
	l.disturbances++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.closeStretch(time.Now())
		l.disturbances--
		l.calmSince = time.Now()
	}
}

// inTouch reports whether no instance was disturbed for contactTime. The caller holds l.mu.
func (l *Ledger) inTouch(now time.Time) bool {
	return l.disturbances == 0 && now.Sub(l.calmSince) > contactTime
}

// checkStaleStart checks that machines in touch start no task, also of a speculative step, whose end they
// know. The caller holds l.mu.
func (l *Ledger) checkStaleStart(t Task, number uint64, runner string, late bool, now time.Time) {
	if late || !l.inTouch(now) || l.submitted[t.Job].lasts(t.Step) {
		return
	}
	if at := l.doneAcknowledged[t]; !at.IsZero() && now.Sub(at) > staleStartTime {
		l.addViolationLocked("TWICE %v run %d on %s: %v after its end was acknowledged", t, number, runner, now.Sub(at))
	}
	if at := l.completed[t.Job]; !at.IsZero() && now.Sub(at) > staleStartTime {
		l.addViolationLocked("TWICE %v run %d on %s: %v after its job was shown as completed", t, number, runner, now.Sub(at))
	}
}

// recordShown records the state in which a job was shown.
func (l *Ledger) recordShown(id, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == "completed" && l.completed[id].IsZero() {
		l.completed[id] = time.Now()
	}
}

// SetStatusTime sets the time for which the state of an ended job is known; without limit if zero.
func (l *Ledger) SetStatusTime(length time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statusTime = length
}

// mayBeForgotten reports whether a job may be unknown as its last run ended long ago.
func (l *Ledger) mayBeForgotten(j *Job) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.statusTime == 0 {
		return false
	}
	last := j.AcceptedAt
	for t, runs := range l.runs {
		for _, r := range runs {
			if t.Job != j.ID {
				break
			}
			if !r.ended {
				return false
			}
			last = latest(last, r.over)
		}
	}
	return time.Since(last) > l.statusTime
}

// Counts are numbers of what a ledger has judged.
type Counts struct {
	Copies      int           // starts beside another run of the task, of speculative steps
	Resumed     int           // starts with a checkpoint
	Lapsed      int           // runs that ended as their lease expired
	AfterLapses int           // starts of tasks whose last run lapsed
	Soonest     time.Duration // from such a lapse to the next start
	OrderedEnds int           // of tasks that last and of which few may miss
	MostAway    int           // other tasks of the step that were away at one of these
}

// Counts returns what the ledger has judged.
func (l *Ledger) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// countAfterLapse counts a start of a task whose last run lapsed. The caller holds l.mu.
func (l *Ledger) countAfterLapse(t Task, now time.Time) {
	runs := l.runs[t]
	if len(runs) == 0 || !runs[len(runs)-1].lapsed {
		return
	}
	l.counts.AfterLapses++
	if gap := now.Sub(runs[len(runs)-1].over); l.counts.AfterLapses == 1 || gap < l.counts.Soonest {
		l.counts.Soonest = gap
	}
}
