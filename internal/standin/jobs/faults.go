package jobs

import "time"

// faults are the faults of one kind of machine that the player of a test has caused.
type faults struct {
	active    map[any]bool // by what has the fault
	calmSince time.Time    // when the last fault began or ended
}

func (f *faults) over() bool { return len(f.active) == 0 }

func (f *faults) set(of any, active bool) {
	f.calmSince = time.Now()
	if !active {
		delete(f.active, of)
		return
	}
	if f.active == nil {
		f.active = make(map[any]bool)
	}
	f.active[of] = true
}

// SetInstanceFault records that a fault of an instance or of its link begins or ends.
func (l *Ledger) SetInstanceFault(of any, active bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeStretch(time.Now())
	l.instanceFaults.set(of, active)
}

// setRunnerFault records that a fault of a runner begins or ends. One without a duration ends as it begins.
func (l *Ledger) setRunnerFault(of any, active bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runnerFaults.set(of, active)
}
