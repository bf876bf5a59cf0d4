package jobs

import "time"

// stretch is a time in which the instances were undisturbed and no link was disrupted.
type stretch struct{ from, to time.Time }

// closeStretch records the steady time until now. It is called before each change of what it depends on, and
// before a judgement. The caller holds l.mu.
func (l *Ledger) closeStretch(now time.Time) {
	if l.isSteady(now) {
		l.steady = append(l.steady, stretch{l.steadySince(), now})
	}
}

func (l *Ledger) steadySince() time.Time {
	return latest(latest(l.calmSince, l.instanceFaults.calmSince).Add(contactTime), latest(l.linkFaults.calmSince, l.began))
}

// isSteady reports whether a moment since the last disturbance is steady. The caller holds l.mu.
func (l *Ledger) isSteady(now time.Time) bool {
	return l.disturbances == 0 && l.instanceFaults.over() && l.linkFaults.over() && now.After(l.steadySince())
}

// steadyFor returns the longest steady time within a span. The caller holds l.mu.
func (l *Ledger) steadyFor(from, to time.Time) time.Duration {
	longest := time.Duration(0)
	for _, s := range l.steady {
		longest = max(longest, earliest(s.to, to).Sub(latest(s.from, from)))
	}
	return longest
}

// setLinkFault records that a disruption of a runner's link begins or ends.
func (l *Ledger) setLinkFault(of any, active bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !active && !l.linkFaults.active[of] {
		return
	}
	l.closeStretch(time.Now())
	l.linkFaults.set(of, active)
	l.linkHarmed[of] = time.Now()
}

// heldUp reports whether orders to a runner count as held up on the way: its link is harmed, or was in the last
// contactTime. The caller holds l.mu.
func (l *Ledger) heldUp(runner any, now time.Time) bool {
	harmed, known := l.linkHarmed[runner]
	return l.linkFaults.active[runner] || known && now.Sub(harmed) <= contactTime
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// NoteSlowHost records that the machine that all run on was slow from a moment until now, which is no steady time.
func (l *Ledger) NoteSlowHost(from time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeStretch(from)
	l.linkFaults.calmSince = time.Now()
}
