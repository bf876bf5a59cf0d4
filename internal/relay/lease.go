// Package relay joins an instance with the leader: it reports what workers and
// endpoints announce here, keeps the instance's lease, takes in contracts and
// endpoint grants, and passes commands on to workers.
package relay

import (
	"sync/atomic"
	"time"
)

// Lease is the time until which this instance may serve. It counts on the
// monotonic clock from before the request that renewed it was sent.
type Lease struct {
	base  time.Time
	until atomic.Int64 // nanoseconds after base
}

// NewLease returns a lease that has ended.
func NewLease() *Lease { return &Lease{base: time.Now()} }

// Extend lets the lease hold until the given time; it never shortens it.
func (l *Lease) Extend(until time.Time) {
	next := int64(until.Sub(l.base))
	for {
		old := l.until.Load()
		if next <= old || l.until.CompareAndSwap(old, next) {
			return
		}
	}
}

// Valid reports whether the lease holds now.
func (l *Lease) Valid() bool { return l.Remaining() > 0 }

// Remaining returns how long the lease still holds.
func (l *Lease) Remaining() time.Duration {
	return time.Duration(l.until.Load()) - time.Since(l.base)
}
