package route

import (
	"slices"
	"sort"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

const (
	keepGrant = -1 // in EndpointState.Slots: the grant stays as it is
	termShift = 40 // the term's place in a grant's number

	// A demand that fell below three quarters of what was reported is reported.
	demandFallNum, demandFallDen = 3, 4
)

// Update implements relay.Endpoints. Grants of an older term than the newest
// one heard of are ignored.
func (t *Table) Update(states []*egretmuxv1.EndpointState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := make(map[*shard]bool)
	for _, st := range states {
		if st.GetGrant()>>termShift < t.term {
			continue
		}
		t.term = st.GetGrant() >> termShift
		if st.GetGone() {
			t.lose(st.GetId())
			continue
		}
		changed[t.apply(st)] = true
	}
	now := time.Now()
	for s := range changed {
		s.mu.Lock()
		s.core.Dispatch(now)
		s.mu.Unlock()
	}
}

// lose gives an endpoint that nobody announces no new work. It comes back with
// its next announcement.
func (t *Table) lose(id string) {
	e := t.byID[id]
	if e == nil {
		return
	}
	s := t.services[e.Service]
	s.mu.Lock()
	defer s.mu.Unlock()
	e.leaving = true
}

// apply takes in one state and returns the shard that it belongs to.
func (t *Table) apply(st *egretmuxv1.EndpointState) *shard {
	s := t.services[st.GetService()]
	if s == nil {
		s = &shard{core: NewCore(t.cfg.Datacentre, t.cfg.Limit)}
		t.services[st.GetService()] = s
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := t.current(s, st)
	e.leaving = st.GetLeaving()
	if st.GetGrant() < e.grant {
		return s
	}
	e.grant = st.GetGrant()
	e.toldSlots = mustTell
	if st.GetSlots() != keepGrant {
		e.slots, e.links = st.GetSlots(), st.GetLinks()
		t.cfg.Links.Limit(e.Address, e.links)
	}
	return s
}

const mustTell = -1

// current returns the record of the endpoint under its current address. An
// endpoint that restarted starts with a clean record of its health.
func (t *Table) current(s *shard, st *egretmuxv1.EndpointState) *Endpoint {
	e := t.byID[st.GetId()]
	if e == nil {
		e = &Endpoint{ID: st.GetId(), Service: st.GetService(), Address: st.GetAddress(), Datacentre: st.GetDatacentre(), epoch: st.GetEpoch(), toldSlots: mustTell}
		t.byID[st.GetId()] = e
		s.core.endpoints = append(s.core.endpoints, e)
		return e
	}
	if e.epoch != st.GetEpoch() {
		e.epoch = st.GetEpoch()
		e.health = health{}
	}
	if e.Address != st.GetAddress() {
		t.cfg.Links.Limit(e.Address, 0)
		e = t.moved(s, e, st.GetAddress())
	}
	return e
}

// moved replaces the record of an endpoint that has a new address. Requests in
// flight go on with the old record; their slots stay counted in the new one.
func (t *Table) moved(s *shard, old *Endpoint, address string) *Endpoint {
	next := *old
	next.Address = address
	next.busy = 0
	if old.inUse() > 0 {
		next.previous = old
	}
	old.leaving = true
	t.byID[old.ID] = &next
	i := slices.Index(s.core.endpoints, old)
	s.core.endpoints[i] = &next
	return &next
}

// inUse returns the slots in use under all addresses of the endpoint.
func (e *Endpoint) inUse() int32 {
	n := e.busy
	for p := e.previous; p != nil; p = p.previous {
		n += p.busy
	}
	return n
}

// Holdings implements relay.Endpoints. An instance whose lease has ended gives
// up its grants before it asks for a new lease.
func (t *Table) Holdings(full bool) []*egretmuxv1.GrantHolding {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision++
	lapsed := t.cfg.Leased != nil && !t.cfg.Leased()
	var out []*egretmuxv1.GrantHolding
	for name, s := range t.services {
		s.mu.Lock()
		out = t.appendHoldings(out, s, full, lapsed)
		if d, ok := s.demandToTell(full); ok {
			out = append(out, &egretmuxv1.GrantHolding{Service: name, Wanted: d, Revision: t.revision})
		}
		s.mu.Unlock()
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].GetEndpoint()+out[i].GetService() < out[j].GetEndpoint()+out[j].GetService()
	})
	return out
}

func (t *Table) appendHoldings(out []*egretmuxv1.GrantHolding, s *shard, full, lapsed bool) []*egretmuxv1.GrantHolding {
	var gone []*Endpoint
	for _, e := range s.core.endpoints {
		if lapsed {
			e.slots, e.links = 0, 0
			t.cfg.Links.Limit(e.Address, 0)
		}
		held := max(e.slots, e.inUse())
		links := max(e.links, e.inUse(), t.cfg.Links.OpenCount(e.Address))
		if !full && held == e.toldSlots && links == e.toldLinks {
			if e.leaving && held == 0 && links == 0 {
				gone = append(gone, e)
			}
			continue
		}
		e.toldSlots, e.toldLinks = held, links
		out = append(out, &egretmuxv1.GrantHolding{
			Endpoint: e.ID, EndpointEpoch: e.epoch, Held: held, Links: links, Grant: e.grant, Revision: t.revision,
		})
	}
	for _, e := range gone {
		t.forget(s, e)
	}
	return out
}

// forget drops an endpoint that has left, once the leader was told that
// nothing of it is held.
func (t *Table) forget(s *shard, e *Endpoint) {
	delete(t.byID, e.ID)
	i := slices.Index(s.core.endpoints, e)
	s.core.endpoints = slices.Delete(s.core.endpoints, i, i+1)
}

// demandToTell returns the service's demand and whether it must be reported.
func (s *shard) demandToTell(full bool) (int32, bool) {
	s.wanted.Store(false)
	d := max(s.core.peak, s.core.demand())
	s.core.peak = s.core.demand()
	if !full && d <= s.told && d*demandFallDen >= s.told*demandFallNum {
		return 0, false
	}
	s.told = d
	return d, true
}
