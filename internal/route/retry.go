package route

import (
	"slices"
	"time"
)

// A request earns a part of a retry, so that retries never exceed that part of
// the load beyond a burst.
const (
	retryPart  = 0.1
	retryBurst = 20.0
)

func (c *Core) earnRetry() { c.budget = min(retryBurst, c.budget+retryPart) }

// spendRetry takes one retry off the budget.
func (c *Core) spendRetry() bool {
	if c.budget < 1 {
		return false
	}
	c.budget--
	return true
}

// Hedging: a second attempt starts after several times the usual time, and
// leaves half of the retry budget to retries.
const (
	hedgeFactor = 4
	hedgeLeast  = 10 * time.Millisecond
	hedgeBudget = retryBurst / 2
)

// HedgeAfter returns after which time without an answer a second attempt of a
// request may start; zero: not yet known.
func (t *Table) HedgeAfter(service string) time.Duration {
	s := t.shard(service)
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	hold := s.core.hold[atOnceLevel]
	if hold.samples < holdSamples {
		return 0
	}
	return max(hedgeLeast, hedgeFactor*hold.value)
}

// AcquireHedge returns a slot for a second attempt, or nil when none is free,
// other requests wait or the budget is used up.
func (t *Table) AcquireHedge(r Request) *Slot {
	s := t.shard(r.Service)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.core.hedge(now, &r)
	if e == nil {
		return nil
	}
	return t.slot(s, e, &r, now)
}

func (c *Core) hedge(now time.Time, r *Request) *Endpoint {
	if c.Waiting() > 0 || c.budget < hedgeBudget {
		return nil
	}
	e := c.choose(now, r, false)
	if e == nil || slices.Contains(r.Avoid, e.ID) {
		return nil
	}
	c.spendRetry()
	c.take(e, r)
	return e
}
