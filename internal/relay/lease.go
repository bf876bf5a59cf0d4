package relay

import (
	"sync/atomic"
	"time"

	"github.com/egretmux/egretmux/internal/clock"
)

// Lease holds the time until which this instance may serve, on a clock that counts
// suspensions. A renewal counts from before the request for it was sent, so that the
// lease never outlasts the leader's view of it.
type Lease struct {
	clock clock.Clock
	base  time.Duration // on clock
	until atomic.Int64  // nanoseconds after base
}

// NewLease returns an expired lease that is measured by the given clock, or clock.New if it
// is nil.
func NewLease(c clock.Clock) *Lease {
	if c == nil {
		c = clock.New()
	}
	return &Lease{clock: c, base: c()}
}

// Now returns the time on the lease's clock.
func (l *Lease) Now() time.Duration { return l.clock() - l.base }

// Extend prolongs the lease until the given time on its clock. It never shortens the lease.
func (l *Lease) Extend(until time.Duration) {
	next := int64(until)
	for {
		old := l.until.Load()
		if next <= old || l.until.CompareAndSwap(old, next) {
			return
		}
	}
}

// Valid reports whether the lease has not expired.
func (l *Lease) Valid() bool { return l.Remaining() > 0 }

// Remaining returns the time until the lease expires, negative once it has expired.
func (l *Lease) Remaining() time.Duration {
	return time.Duration(l.until.Load()) - l.Now()
}
