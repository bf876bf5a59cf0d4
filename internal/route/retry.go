package route

import (
	"slices"
	"time"
)

// Retry budget: each request earns 1/10 of a retry, so that retries beyond a
// burst never exceed a tenth of the load.
const (
	retryRatio = 0.1
	retryBurst = 20.0
)

func (c *Core) earnRetry() { c.retryBudget = min(retryBurst, c.retryBudget+retryRatio) }

// spendRetry takes one retry off the budget and reports whether there was one.
func (c *Core) spendRetry() bool {
	if c.retryBudget < 1 {
		return false
	}
	c.retryBudget--
	return true
}

// Hedging: a second attempt starts after hedgeFactor times the average hold
// time, and leaves half of the retry budget to retries.
const (
	hedgeFactor    = 4
	minHedgeDelay  = 10 * time.Millisecond
	minHedgeBudget = retryBurst / 2
)

// HedgeAfter returns how long a request must be unanswered before a second
// attempt may start; zero: not yet known.
func (t *Table) HedgeAfter(service string) time.Duration {
	s := t.shard(service)
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holdTime := s.core.holdTime[atOnceLevel]
	if holdTime.samples < minHoldSamples {
		return 0
	}
	return max(minHedgeDelay, hedgeFactor*holdTime.value)
}

// AcquireHedge returns a slot for a second attempt, or nil if none is free,
// other requests are queued or the budget is exhausted.
func (t *Table) AcquireHedge(r Request) *Slot {
	s := t.shard(r.Service)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.core.acquireHedge(now, &r)
	if e == nil {
		return nil
	}
	return t.newSlot(s, e, &r, now)
}

func (c *Core) acquireHedge(now time.Time, r *Request) *Endpoint {
	if c.Waiting() > 0 || c.retryBudget < minHedgeBudget {
		return nil
	}
	e := c.chooseEndpoint(now, r, false)
	if e == nil || slices.Contains(r.Avoid, e.ID) {
		return nil
	}
	c.spendRetry()
	c.occupySlot(e, r)
	return e
}
