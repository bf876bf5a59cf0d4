// Package route chooses the endpoint of each request and decides who waits.
package route

import (
	"context"
	"sort"
	"sync"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
)

// Endpoint is one endpoint and this instance's grant on it.
type Endpoint struct {
	ID         string
	Service    string
	Address    string
	Datacentre string
	Epoch      uint64

	slots   int32 // granted
	links   int32
	busy    int32
	leaving bool
	told    int32 // held as last reported
	wanted  int32
}

// Slot is the right to send one request to an endpoint.
type Slot struct {
	Endpoint *Endpoint
	Links    int32 // connections this instance may have open to it
	table    *Table
}

// Table holds the endpoints of all services as this instance may use them.
type Table struct {
	datacentre string
	limit      int // waiting requests

	mu       sync.Mutex
	byID     map[string]*Endpoint
	services map[string][]*Endpoint
	waiting  map[string][]*waiter
	queued   int
	next     int
}

type waiter struct {
	atOnce bool
	ready  chan *Slot
}

// NewTable returns an empty table of an instance in the given data centre
// that lets at most limit requests wait.
func NewTable(datacentre string, limit int) *Table {
	return &Table{
		datacentre: datacentre, limit: limit, byID: make(map[string]*Endpoint),
		services: make(map[string][]*Endpoint), waiting: make(map[string][]*waiter),
	}
}

// Update implements relay.Endpoints.
func (t *Table) Update(states []*egretmuxv1.EndpointState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := make(map[string]bool)
	for _, s := range states {
		e := t.byID[s.GetId()]
		if e == nil {
			e = &Endpoint{ID: s.GetId(), told: -1}
			t.byID[s.GetId()] = e
			t.services[s.GetService()] = append(t.services[s.GetService()], e)
		}
		e.Service, e.Address, e.Datacentre, e.Epoch = s.GetService(), s.GetAddress(), s.GetDatacentre(), s.GetEpoch()
		e.leaving = s.GetLeaving()
		if s.GetSlots() >= 0 {
			e.slots, e.links = s.GetSlots(), s.GetLinks()
			e.told = -1 // the leader waits for a confirmation
		}
		changed[e.Service] = true
	}
	for service := range changed {
		t.hand(service)
	}
}

// Holdings implements relay.Endpoints.
func (t *Table) Holdings(full bool) []*egretmuxv1.GrantHolding {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*egretmuxv1.GrantHolding
	for _, e := range t.byID {
		held := max(e.slots, e.busy)
		wanted := e.busy + int32(len(t.waiting[e.Service]))
		if !full && held == e.told && (wanted > 0) == (e.wanted > 0) {
			continue
		}
		e.told, e.wanted = held, wanted
		out = append(out, &egretmuxv1.GrantHolding{Endpoint: e.ID, EndpointEpoch: e.Epoch, Held: held, Wanted: wanted})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetEndpoint() < out[j].GetEndpoint() })
	return out
}

// Request is what the choice of an endpoint depends on.
type Request struct {
	Service  string
	AtOnce   bool
	Deadline time.Time
	Avoid    []string // endpoints that this request was tried on before
}

// Acquire returns a slot, waiting for one until the deadline.
func (t *Table) Acquire(ctx context.Context, r Request) (*Slot, error) {
	t.mu.Lock()
	if len(t.services[r.Service]) == 0 {
		t.mu.Unlock()
		return nil, refusal.New(refusal.NoService, "check the name, or wait for its endpoints to announce themselves", "no endpoint of service %s is known", r.Service)
	}
	if e := t.choose(r.Service, r.Avoid); e != nil {
		defer t.mu.Unlock()
		return t.take(e), nil
	}
	if t.queued >= t.limit {
		t.mu.Unlock()
		return nil, refusal.New(refusal.QueueFull, "retry later or spread the load", "too many requests wait at this instance").After(time.Second)
	}
	w := &waiter{atOnce: r.AtOnce, ready: make(chan *Slot, 1)}
	t.waiting[r.Service] = append(t.waiting[r.Service], w)
	t.queued++
	t.mu.Unlock()
	return t.await(ctx, r, w)
}

func (t *Table) await(ctx context.Context, r Request, w *waiter) (*Slot, error) {
	timer := time.NewTimer(time.Until(r.Deadline))
	defer timer.Stop()
	select {
	case s := <-w.ready:
		return s, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	t.mu.Lock()
	if !t.withdraw(r.Service, w) {
		t.mu.Unlock()
		(<-w.ready).Release()
	} else {
		t.mu.Unlock()
	}
	if ctx.Err() != nil {
		return nil, refusal.New(refusal.Cancelled, "", "the caller gave up").Because(ctx.Err())
	}
	return nil, refusal.New(refusal.DeadlinePassed, "allow more time or retry later", "no endpoint of %s was free before the deadline", r.Service).After(time.Second)
}

func (t *Table) withdraw(service string, w *waiter) bool {
	list := t.waiting[service]
	for i, x := range list {
		if x == w {
			t.waiting[service] = append(list[:i:i], list[i+1:]...)
			t.queued--
			return true
		}
	}
	return false
}

// choose returns the endpoint with the most free slots, near ones first.
func (t *Table) choose(service string, avoid []string) *Endpoint {
	var best *Endpoint
	list := t.services[service]
	t.next++
	for i := range list {
		e := list[(i+t.next)%len(list)]
		if e.leaving || e.busy >= e.slots || contains(avoid, e.ID) {
			continue
		}
		if best == nil || t.better(e, best) {
			best = e
		}
	}
	return best
}

func (t *Table) better(a, b *Endpoint) bool {
	nearA, nearB := a.Datacentre == t.datacentre, b.Datacentre == t.datacentre
	if nearA != nearB {
		return nearA
	}
	return a.slots-a.busy > b.slots-b.busy
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

func (t *Table) take(e *Endpoint) *Slot {
	e.busy++
	return &Slot{Endpoint: e, Links: e.links, table: t}
}

// hand gives free slots to those who wait, at-once work first.
func (t *Table) hand(service string) {
	for len(t.waiting[service]) > 0 {
		e := t.choose(service, nil)
		if e == nil {
			return
		}
		list := t.waiting[service]
		pick := 0
		for i, w := range list {
			if w.atOnce {
				pick = i
				break
			}
		}
		w := list[pick]
		t.waiting[service] = append(list[:pick:pick], list[pick+1:]...)
		t.queued--
		w.ready <- t.take(e)
	}
}

// Release gives the slot back.
func (s *Slot) Release() {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	s.Endpoint.busy--
	s.table.hand(s.Endpoint.Service)
}
