package route

import (
	"slices"
	"sort"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

const (
	// Both must have the values that package endpoint uses on the leader.
	keepGrant = -1 // in EndpointState.Slots: the grant is unchanged
	termShift = 40 // position of the term within a grant number

	// A fall in demand is reported once it is below 3/4 of the last report.
	demandFallNum, demandFallDen = 3, 4
)

// Update implements relay.Endpoints. Grants of a term older than the newest
// one seen are ignored.
func (t *Table) Update(states []*egretmuxv1.EndpointState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changedShards := make(map[*shard]bool)
	for _, st := range states {
		if st.GetGrant()>>termShift < t.term {
			continue
		}
		t.term = st.GetGrant() >> termShift
		if st.GetGone() {
			t.markGone(st.GetId())
			continue
		}
		changedShards[t.applyState(st)] = true
	}
	now := time.Now()
	for s := range changedShards {
		s.mu.Lock()
		s.core.Dispatch(now)
		s.mu.Unlock()
	}
}

// markGone sends no new requests to an endpoint that is no longer announced.
// Its next announcement makes it usable again.
func (t *Table) markGone(id string) {
	e := t.byID[id]
	if e == nil {
		return
	}
	s := t.services[e.Service]
	s.mu.Lock()
	defer s.mu.Unlock()
	e.leaving = true
}

// applyState applies one endpoint's state and returns the shard it belongs to.
func (t *Table) applyState(st *egretmuxv1.EndpointState) *shard {
	s := t.services[st.GetService()]
	if s == nil {
		s = &shard{core: NewCore(t.cfg.Datacentre, t.cfg.MaxQueued)}
		t.services[st.GetService()] = s
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := t.currentRecord(s, st)
	e.leaving = st.GetLeaving()
	if st.GetGrant() < e.grantNumber {
		return s
	}
	e.grantNumber = st.GetGrant()
	e.reportedSlots = unreported
	if st.GetSlots() != keepGrant {
		e.slots, e.links = st.GetSlots(), st.GetLinks()
		t.cfg.Links.SetLimit(e.Address, e.links)
	}
	return s
}

// unreported in reportedSlots forces the next report to include the endpoint.
const unreported = -1

// currentRecord returns the record of the endpoint under its current address.
// The health of an endpoint that restarted is reset.
func (t *Table) currentRecord(s *shard, st *egretmuxv1.EndpointState) *Endpoint {
	e := t.byID[st.GetId()]
	if e == nil {
		e = &Endpoint{ID: st.GetId(), Service: st.GetService(), Address: st.GetAddress(), Datacentre: st.GetDatacentre(), epoch: st.GetEpoch(), reportedSlots: unreported}
		t.byID[st.GetId()] = e
		s.core.endpoints = append(s.core.endpoints, e)
		return e
	}
	if e.epoch != st.GetEpoch() {
		e.epoch = st.GetEpoch()
		e.health = health{}
	}
	if e.Address != st.GetAddress() {
		t.cfg.Links.SetLimit(e.Address, 0)
		e = t.replaceRecord(s, e, st.GetAddress())
	}
	return e
}

// replaceRecord replaces the record of an endpoint that has a new address.
// In-flight requests keep the old record; the new one still counts their slots.
func (t *Table) replaceRecord(s *shard, old *Endpoint, address string) *Endpoint {
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

// Holdings implements relay.Endpoints. It returns the slots and connections held
// at endpoints and the services' demand that must be reported to the leader, and
// records them as reported. It removes endpoints that have left and been reported
// as drained. An instance whose lease has expired first gives up its grants, before
// it asks for a new lease; slots in use are still reported.
func (t *Table) Holdings(full bool) []*egretmuxv1.GrantHolding {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision++
	leaseEnded := t.cfg.LeaseValid != nil && !t.cfg.LeaseValid()
	var out []*egretmuxv1.GrantHolding
	for name, s := range t.services {
		s.mu.Lock()
		out = t.appendHoldings(out, s, full, leaseEnded)
		if demand, ok := s.demandToReport(full); ok {
			out = append(out, &egretmuxv1.GrantHolding{Service: name, Wanted: demand, Revision: t.revision})
		}
		s.mu.Unlock()
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].GetEndpoint()+out[i].GetService() < out[j].GetEndpoint()+out[j].GetService()
	})
	return out
}

// appendHoldings appends the holdings of a service that changed since the last
// report, or all of them in a full report, and removes the endpoints that have
// left and been reported as drained.
func (t *Table) appendHoldings(out []*egretmuxv1.GrantHolding, s *shard, full, leaseEnded bool) []*egretmuxv1.GrantHolding {
	var drained []*Endpoint
	for _, e := range s.core.endpoints {
		if leaseEnded {
			e.slots, e.links = 0, 0
			t.cfg.Links.SetLimit(e.Address, 0)
		}
		slots := max(e.slots, e.inUse())
		links := max(e.links, e.inUse(), t.cfg.Links.OpenCount(e.Address))
		if !full && slots == e.reportedSlots && links == e.reportedLinks {
			if e.leaving && slots == 0 && links == 0 {
				drained = append(drained, e)
			}
			continue
		}
		e.reportedSlots, e.reportedLinks = slots, links
		out = append(out, &egretmuxv1.GrantHolding{
			Endpoint: e.ID, EndpointEpoch: e.epoch, Held: slots, Links: links, Grant: e.grantNumber, Revision: t.revision,
		})
	}
	for _, e := range drained {
		t.removeEndpoint(s, e)
	}
	return out
}

// removeEndpoint removes an endpoint that has left. The leader must know that
// nothing of it is held any more.
func (t *Table) removeEndpoint(s *shard, e *Endpoint) {
	delete(t.byID, e.ID)
	i := slices.Index(s.core.endpoints, e)
	s.core.endpoints = slices.Delete(s.core.endpoints, i, i+1)
}

// demandToReport returns the service's peak demand since the last report and
// whether it must be reported.
func (s *shard) demandToReport(full bool) (int32, bool) {
	s.reportRequested.Store(false)
	demand := max(s.core.peakDemand, s.core.demand())
	s.core.peakDemand = s.core.demand()
	if !full && demand <= s.reportedDemand && demand*demandFallDen >= s.reportedDemand*demandFallNum {
		return 0, false
	}
	s.reportedDemand = demand
	return demand, true
}
