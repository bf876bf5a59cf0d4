// Package route chooses the endpoint of each request and decides who waits.
// Core makes the decisions for one service; Table keeps one for each service
// and adds locks, clocks and the exchange of grants with the leader.
package route

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Links limits the connections to endpoints.
type Links interface {
	// Limit sets how many connections may be open to an address and closes idle ones beyond it.
	Limit(address string, limit int32)
	// OpenCount returns how many connections to an address are or may still be open.
	OpenCount(address string) int32
}

// Config holds the parts and limits of a Table.
type Config struct {
	Datacentre string
	Limit      int // waiting requests of a service
	Links      Links
	Leased     func() bool // whether the instance's lease holds; nil: always
	Wake       func()      // asks for a report to the leader at once; may be nil
	Logger     zerolog.Logger
}

// Table holds the endpoints of all services as this instance may use them.
type Table struct {
	cfg Config

	mu       sync.RWMutex // of the maps and the exchange with the leader
	services map[string]*shard
	byID     map[string]*Endpoint
	term     uint64 // newest term of a grant
	revision uint64
}

// shard is one service under its own lock.
type shard struct {
	mu     sync.Mutex
	core   *Core
	told   int32 // demand as last reported
	wanted atomic.Bool
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, services: make(map[string]*shard), byID: make(map[string]*Endpoint)}
}

// Slot is the right to send one request to an endpoint.
type Slot struct {
	Endpoint *Endpoint
	shard    *shard
	table    *Table
	atOnce   bool
	since    time.Time
	released atomic.Bool
}

func (t *Table) shard(service string) *shard {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.services[service]
}

// GrantedSlots returns the slots of an endpoint that this instance is granted.
func (t *Table) GrantedSlots(id string) int32 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.byID[id]
	if e == nil {
		return 0
	}
	s := t.services[e.Service]
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.slots
}

// Acquire returns a slot, waiting for one until the deadline.
func (t *Table) Acquire(ctx context.Context, r Request) (*Slot, error) {
	s := t.shard(r.Service)
	if s == nil {
		return nil, refusal.New(refusal.NoService, "check the name, or wait for its endpoints to announce themselves", "no endpoint of service %s is known", r.Service).After(minRetryAfter)
	}
	now := time.Now()
	s.mu.Lock()
	e, w, err := s.core.Acquire(now, &r)
	short := w != nil || s.core.demand() > s.told && s.core.demand()*headroom > s.core.slots()*(headroom-1)
	s.mu.Unlock()
	if short && !s.wanted.Swap(true) {
		t.wake()
	}
	switch {
	case err != nil:
		return nil, err
	case e != nil:
		return t.slot(s, e, &r, now), nil
	}
	return t.await(ctx, s, &r, w)
}

// headroom: more slots are asked for when one in this many is left.
const headroom = 8

func (t *Table) wake() {
	if t.cfg.Wake != nil {
		t.cfg.Wake()
	}
}

func (t *Table) slot(s *shard, e *Endpoint, r *Request, now time.Time) *Slot {
	return &Slot{Endpoint: e, shard: s, table: t, atOnce: r.AtOnce, since: now}
}

func (t *Table) await(ctx context.Context, s *shard, r *Request, w *Waiter) (*Slot, error) {
	timer := time.NewTimer(time.Until(r.Deadline))
	defer timer.Stop()
	select {
	case o := <-w.ready:
		return t.granted(s, r, o)
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	withdrawn := s.core.Withdraw(w)
	s.mu.Unlock()
	if !withdrawn {
		if slot, err := t.granted(s, r, <-w.ready); err == nil {
			slot.Release(Neutral)
		}
	}
	if ctx.Err() != nil && time.Now().Before(r.Deadline) {
		return nil, refusal.New(refusal.Cancelled, "", "the caller gave up").Because(ctx.Err())
	}
	return nil, refusal.New(refusal.DeadlinePassed, "allow more time or retry later", "no endpoint of %s was free before the deadline", r.Service).After(minRetryAfter)
}

func (t *Table) granted(s *shard, r *Request, o outcome) (*Slot, error) {
	if o.err != nil {
		return nil, o.err
	}
	return t.slot(s, o.endpoint, r, time.Now()), nil
}

// Release gives the slot back. It must be called only when the endpoint does
// not work on the request any more.
func (s *Slot) Release(r Result) {
	if s.released.Swap(true) {
		return
	}
	now := time.Now()
	used := now.Sub(s.since)
	c := s.shard.core
	s.shard.mu.Lock()
	c.Release(s.Endpoint, s.atOnce, used)
	c.note(now, s.Endpoint, r, used, s.atOnce)
	c.Dispatch(now)
	events := c.events
	c.events = nil
	s.shard.mu.Unlock()
	s.table.report(events)
}

// Released reports whether the slot was given back.
func (s *Slot) Released() bool { return s.released.Load() }

// RecordResult records the result of an attempt whose slot is still in use.
func (s *Slot) RecordResult(r Result) {
	now := time.Now()
	s.shard.mu.Lock()
	s.shard.core.note(now, s.Endpoint, r, now.Sub(s.since), s.atOnce)
	events := s.shard.core.events
	s.shard.core.events = nil
	s.shard.mu.Unlock()
	s.table.report(events)
}

func (t *Table) report(events []Event) {
	for _, ev := range events {
		telemetry.Count(ev.Name + "_total")
		t.cfg.Logger.Info().Str("event", ev.Name).Str("endpoint", ev.Endpoint).Msg("")
	}
}

// SpendRetry takes one retry off the service's budget and reports whether there was one.
func (t *Table) SpendRetry(service string) bool {
	s := t.shard(service)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.spendRetry()
}
