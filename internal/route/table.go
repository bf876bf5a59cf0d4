// Package route chooses the endpoint of each request, and queues or refuses
// requests when no slot is free. Core makes the decisions for one service; Table
// keeps a Core for each service and adds locks, clocks and the exchange of
// grants with the leader.
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
	// SetLimit sets how many connections may be open to an address and closes idle ones beyond it.
	SetLimit(address string, limit int32)
	// OpenCount returns how many connections to an address are or may still be open.
	OpenCount(address string) int32
}

// Config holds the dependencies and limits of a Table.
type Config struct {
	Datacentre    string
	MaxQueued     int // maximum queued requests of each service
	Links         Links
	LeaseValid    func() bool // reports whether the instance's lease is valid; nil: always
	RequestReport func()      // makes the instance report to the leader without delay; may be nil
	Logger        zerolog.Logger
}

// Table holds the endpoints of all services with this instance's grants.
type Table struct {
	cfg Config

	mu       sync.RWMutex // guards the fields below
	services map[string]*shard
	byID     map[string]*Endpoint
	term     uint64 // newest term seen in a grant number
	revision uint64 // number of the last report to the leader
}

// shard is the state of one service under its own lock.
type shard struct {
	mu              sync.Mutex
	core            *Core
	reportedDemand  int32       // demand in the last report
	reportRequested atomic.Bool // set from a call of Config.RequestReport until the next report
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, services: make(map[string]*shard), byID: make(map[string]*Endpoint)}
}

// Slot is the right to send one request to an endpoint.
type Slot struct {
	Endpoint   *Endpoint
	shard      *shard
	table      *Table
	atOnce     bool
	acquiredAt time.Time
	released   atomic.Bool
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
		return nil, refusal.New(refusal.NoService, "check the name, or wait for its endpoints to announce themselves", "no endpoint of service %s is known", r.Service).WithRetryAfter(minRetryAfter)
	}
	now := time.Now()
	s.mu.Lock()
	e, w, err := s.core.Acquire(now, &r)
	shortOfSlots := w != nil || s.core.demand() > s.reportedDemand && s.core.demand()*reportThresholdDivisor > s.core.usableSlots()*(reportThresholdDivisor-1)
	s.mu.Unlock()
	if shortOfSlots && !s.reportRequested.Swap(true) {
		t.requestReport()
	}
	switch {
	case err != nil:
		return nil, err
	case e != nil:
		return t.newSlot(s, e, &r, now), nil
	}
	return t.awaitOutcome(ctx, s, &r, w)
}

// reportThresholdDivisor sets the demand above which more slots are requested:
// 7/8 of the usable slots.
const reportThresholdDivisor = 8

func (t *Table) requestReport() {
	if t.cfg.RequestReport != nil {
		t.cfg.RequestReport()
	}
}

func (t *Table) newSlot(s *shard, e *Endpoint, r *Request, now time.Time) *Slot {
	return &Slot{Endpoint: e, shard: s, table: t, atOnce: r.AtOnce, acquiredAt: now}
}

// awaitOutcome waits until the request gets a slot, its deadline passes or the
// caller cancels it. A slot that arrives too late is released.
func (t *Table) awaitOutcome(ctx context.Context, s *shard, r *Request, w *Waiter) (*Slot, error) {
	timer := time.NewTimer(time.Until(r.Deadline))
	defer timer.Stop()
	select {
	case o := <-w.outcome:
		return t.slotFromOutcome(s, r, o)
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	withdrawn := s.core.Withdraw(w)
	s.mu.Unlock()
	if !withdrawn {
		if slot, err := t.slotFromOutcome(s, r, <-w.outcome); err == nil {
			slot.Release(Neutral)
		}
	}
	if ctx.Err() != nil && time.Now().Before(r.Deadline) {
		return nil, refusal.New(refusal.Cancelled, "", "the caller gave up").WithCause(ctx.Err())
	}
	return nil, refusal.New(refusal.DeadlinePassed, "allow more time or retry later", "no endpoint of %s was free before the deadline", r.Service).WithRetryAfter(minRetryAfter)
}

func (t *Table) slotFromOutcome(s *shard, r *Request, o outcome) (*Slot, error) {
	if o.err != nil {
		return nil, o.err
	}
	return t.newSlot(s, o.endpoint, r, time.Now()), nil
}

// Release frees the slot and records the result of the attempt. It must not be
// called while the endpoint may still work on the request.
func (s *Slot) Release(r Result) {
	if s.released.Swap(true) {
		return
	}
	now := time.Now()
	holdTime := now.Sub(s.acquiredAt)
	c := s.shard.core
	s.shard.mu.Lock()
	c.Release(s.Endpoint, s.atOnce, holdTime)
	c.recordResult(now, s.Endpoint, r, holdTime, s.atOnce)
	c.Dispatch(now)
	events := c.events
	c.events = nil
	s.shard.mu.Unlock()
	s.table.reportEvents(events)
}

// Released reports whether the slot was released.
func (s *Slot) Released() bool { return s.released.Load() }

// RecordResult records the result of an attempt while its slot stays in use.
func (s *Slot) RecordResult(r Result) {
	now := time.Now()
	s.shard.mu.Lock()
	s.shard.core.recordResult(now, s.Endpoint, r, now.Sub(s.acquiredAt), s.atOnce)
	events := s.shard.core.events
	s.shard.core.events = nil
	s.shard.mu.Unlock()
	s.table.reportEvents(events)
}

func (t *Table) reportEvents(events []Event) {
	for _, ev := range events {
		telemetry.Count(ev.Name + "_total")
		t.cfg.Logger.Info().Str("event", ev.Name).Str("endpoint", ev.Endpoint).Msg("endpoint health changed")
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
