package relay

import (
	"sync/atomic"
	"time"
)

// Lease holds the time until which this instance may serve, on the monotonic clock.
// A renewal counts from before the request for it was sent, so that the lease never
// outlasts the leader's view of it.
type Lease struct {
	base  time.Time
	until atomic.Int64 // nanoseconds after base
}

// NewLease returns an expired lease.
func NewLease() *Lease { return &Lease{base: time.Now()} }

// Extend prolongs the lease until the given time. It never shortens the lease.
func (l *Lease) Extend(until time.Time) {
	next := int64(until.Sub(l.base))
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
	return time.Duration(l.until.Load()) - time.Since(l.base)
}
