// Package endpoint keeps the leader's view of the endpoints and divides their
// slots and connections among the entries.
package endpoint

import (
	"sort"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// KeepGrant in EndpointState.Slots and Links tells an entry to keep its grant.
const KeepGrant = -1

// retentionFactor sets how long a silent endpoint is kept: 40 times the silence limit.
const retentionFactor = 40

// noReportsFactor multiplies the silence limit while no entry's reports arrive,
// because the endpoints' announcements come with them.
const noReportsFactor = 4

// Endpoint is one endpoint with the grants of each entry.
type Endpoint struct {
	Report    *egretmuxv1.EndpointReport // newest announcement
	LastHeard time.Time
	Leaving   bool
	grants    map[string]*grant // by entry
	version   uint64            // table version when the endpoint last changed
}

// Table holds the endpoints and the entries' grants. It is not safe for
// concurrent use.
type Table struct {
	// Term is the leader's term. Grants of an older term are void.
	Term uint64

	// SilenceFloor is the time before which silence does not count, because the
	// leader itself was paused.
	SilenceFloor time.Time

	// Recovering is set while a new leader does not yet know the holdings of all
	// entries. Grants are not changed until then.
	Recovering bool

	silenceLimit time.Duration
	byID         map[string]*Endpoint
	entries      map[string]*entry
	orphans      map[string]*orphan
	orphanGrants map[string]map[string]*grant // by endpoint and entry; held before the endpoint announced itself here
	datacentres  map[string]string            // datacentre by entry
	version      uint64

	unknownUntil time.Time // when the requests of entries that have not reported have ended; zero: there are none
	lastReport   time.Time // last report of any entry; zero: none yet
	leasesEnd    time.Time // after this no entry starts requests with a grant unknown to this leader
}

// entry is the leader's state of one entry.
type entry struct {
	member        bool // may get new grants
	noOlderGrants bool // joined when no grant of an older term could be valid
	revision      uint64
	demand        map[string]int32 // by service
}

// NewTable returns an empty table. An endpoint silent for longer than
// silenceLimit gets no new requests.
func NewTable(silenceLimit time.Duration) *Table {
	return &Table{
		silenceLimit: silenceLimit, byID: make(map[string]*Endpoint), entries: make(map[string]*entry),
		orphans: make(map[string]*orphan), orphanGrants: make(map[string]map[string]*grant), datacentres: make(map[string]string),
	}
}

// Version grows with each change that entries must be told of.
func (t *Table) Version() uint64 { return t.version }

// markChanged makes entries be told of the endpoint's state.
func (t *Table) markChanged(e *Endpoint) {
	t.version++
	e.version = t.version
}

// Announce records an endpoint's report. It returns whether entries must be told.
func (t *Table) Announce(r *egretmuxv1.EndpointReport, now time.Time) bool {
	e := t.byID[r.GetId()]
	if e != nil && r.GetEpoch() < e.Report.GetEpoch() {
		return false
	}
	if e == nil {
		e = &Endpoint{grants: t.orphanGrants[r.GetId()]}
		if e.grants == nil {
			e.grants = make(map[string]*grant)
		}
		delete(t.orphanGrants, r.GetId())
		delete(t.orphans, r.GetId())
		t.byID[r.GetId()] = e
		e.Report = r
		t.reserveUnknown(e)
	}
	changed := e.version == 0 || e.Leaving != r.GetLeaving() || e.Report.GetAddress() != r.GetAddress() ||
		e.Report.GetSlots() != r.GetSlots() || e.Report.GetLinks() != r.GetLinks() || e.Report.GetEpoch() != r.GetEpoch()
	e.Report = r
	e.LastHeard = now
	e.Leaving = r.GetLeaving()
	if changed {
		t.markChanged(e)
	}
	return t.freeUnknown(e, now) || changed
}

// RecordReport records that a report of any entry arrived. After a gap in the
// reports, the silence of endpoints counts from now on.
func (t *Table) RecordReport(now time.Time) {
	if !t.lastReport.IsZero() && now.Sub(t.lastReport) > t.silenceLimit/2 {
		t.SilenceFloor = now
	}
	t.lastReport = now
}

// Expire marks endpoints that are silent for too long as leaving and removes
// those that no entry uses any more.
func (t *Table) Expire(now time.Time) bool {
	changed := t.expireUnknown(now)
	changed = t.expireOrphans(now) || changed
	limit := t.silenceLimit
	if !t.lastReport.IsZero() && now.Sub(t.lastReport) > t.silenceLimit/2 {
		limit *= noReportsFactor
	}
	for id, e := range t.byID {
		if now.Sub(e.LastHeard) <= limit || now.Sub(t.SilenceFloor) <= limit {
			continue
		}
		if !e.Leaving {
			e.Leaving = true
			t.markChanged(e)
			changed = true
		}
		if e.isUnused() && now.Sub(e.LastHeard) > retentionFactor*t.silenceLimit {
			delete(t.byID, id)
		}
	}
	return changed
}

// isUnused reports whether no entry holds slots of the endpoint.
func (e *Endpoint) isUnused() bool {
	for _, g := range e.grants {
		if g.held > 0 {
			return false
		}
	}
	return true
}

// ensureEntry returns the entry, which it adds if necessary.
func (t *Table) ensureEntry(name string) *entry {
	en := t.entries[name]
	if en == nil {
		en = &entry{demand: make(map[string]int32)}
		t.entries[name] = en
	}
	return en
}

// AddEntry makes an entry eligible for grants. An entry that joins after the
// recovery has ended cannot hold a valid grant of an older term.
func (t *Table) AddEntry(name, datacentre string) {
	t.datacentres[name] = datacentre
	en := t.ensureEntry(name)
	if !en.member && !t.mayHaveUnknownEntries() {
		en.noOlderGrants = true
	}
	en.member = true
}

// RemoveEntry frees an entry's grants. The caller must know that none of the
// entry's requests can be in flight any more.
func (t *Table) RemoveEntry(name string) {
	delete(t.entries, name)
	delete(t.datacentres, name)
	for _, e := range t.byID {
		delete(e.grants, name)
	}
	for _, grants := range t.orphanGrants {
		delete(grants, name)
	}
}

// RetireEntry stops new grants to an entry. Its present grants stay reserved
// until RemoveEntry.
func (t *Table) RetireEntry(name string) {
	if en := t.entries[name]; en != nil {
		en.member = false
	}
}

// ExceedsGrants reports whether an entry holds more slots of any endpoint than
// it is granted.
func (t *Table) ExceedsGrants(name string) bool {
	for _, e := range t.byID {
		if g := e.grants[name]; g != nil && g.held > g.target {
			return true
		}
	}
	return false
}

func (t *Table) members() []string {
	names := make([]string, 0, len(t.entries))
	for n, en := range t.entries {
		if en.member {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	return names
}

func (t *Table) sortedIDs() []string {
	ids := make([]string, 0, len(t.byID))
	for id := range t.byID {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// StatesSince returns the states for an entry that changed after the given version.
func (t *Table) StatesSince(name string, version uint64) []*egretmuxv1.EndpointState {
	var out []*egretmuxv1.EndpointState
	for _, id := range t.sortedIDs() {
		e := t.byID[id]
		g := e.grants[name]
		if e.version <= version && (g == nil || g.version <= version) {
			continue
		}
		out = append(out, t.stateFor(id, e, name))
	}
	return append(out, t.orphansSince(version)...)
}

func (t *Table) stateFor(id string, e *Endpoint, name string) *egretmuxv1.EndpointState {
	s := &egretmuxv1.EndpointState{
		Id: id, Service: e.Report.GetService(), Address: e.Report.GetAddress(),
		Datacentre: e.Report.GetDatacentre(), Epoch: e.Report.GetEpoch(), Leaving: e.Leaving,
	}
	g := e.grantFor(name)
	s.Grant = max(g.sequence, t.Term<<termShift)
	if t.Recovering || !t.isFenced(e) {
		s.Slots, s.Links = KeepGrant, KeepGrant
		return s
	}
	s.Slots, s.Links = g.target, g.links
	return s
}

// Status returns the status of each endpoint of a service, or of all services
// if service is empty.
func (t *Table) Status(service string, now time.Time) []*egretmuxv1.EndpointStatus {
	var out []*egretmuxv1.EndpointStatus
	for _, id := range t.sortedIDs() {
		e := t.byID[id]
		if service != "" && e.Report.GetService() != service {
			continue
		}
		s := &egretmuxv1.EndpointStatus{
			Id: id, Service: e.Report.GetService(), Address: e.Report.GetAddress(), Datacentre: e.Report.GetDatacentre(),
			Slots: e.Report.GetSlots(), Leaving: e.Leaving, SilentMs: now.Sub(e.LastHeard).Milliseconds(), Health: "ok",
		}
		for _, g := range e.grants {
			s.Granted += g.maxInUse()
		}
		if e.Leaving {
			s.Health = "leaving"
		}
		out = append(out, s)
	}
	return out
}
