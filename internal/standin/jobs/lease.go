package jobs

import (
	"sync/atomic"
	"time"
)

// leaseEnd is the moment at which a runner's lease ends, in Unix nanoseconds. The ledger reads it while other
// runners start tasks.
type leaseEnd struct{ atomic.Int64 }

func (e *leaseEnd) set(at time.Time) { e.Store(at.UnixNano()) }

// after reports whether the lease ends after a moment.
func (e *leaseEnd) after(now time.Time) bool { return e.Load() > now.UnixNano() }

// leaseEndsAt returns the moment at which the lease ends by the runner's clock. The caller holds r.mu.
func (r *Runner) leaseEndsAt() time.Time {
	return r.started.Add(time.Duration(float64(r.leaseUntil-clockStart) / r.cfg.ClockRate * float64(time.Millisecond)))
}

// expireLease ends all runs if the lease has expired, as of that moment. It is called before whatever depends
// on the runs, so that a runner that is short of processor time runs nothing for longer. The caller holds r.mu.
func (r *Runner) expireLease() {
	at := r.leaseEndsAt()
	if len(r.running) == 0 || time.Now().Before(at) {
		return
	}
	r.lapsedAt = at
	for t := range r.running {
		r.finishAt(t, "lapsed", at)
	}
}
