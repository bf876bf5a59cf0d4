// Package endpoint keeps the leader's view of the endpoints and shares out
// their slots and connections among the entries.
package endpoint

import (
	"sort"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// KeepSlots in EndpointState.Slots and Links tells an entry to keep its grant.
const KeepSlots = -1

// forgetAfter is how many times the silence limit an endpoint is kept for.
const forgetAfter = 40

// allSilentFactor: while no entry's reports arrive, an endpoint is silent only
// after this many times the limit.
const allSilentFactor = 4

// Endpoint is one endpoint with what each entry holds of it.
type Endpoint struct {
	Report    *egretmuxv1.EndpointReport
	LastHeard time.Time
	Leaving   bool
	grants    map[string]*grant // by entry
	version   uint64            // of the table when the endpoint last changed
}

// Table is the set of endpoints. It is not safe for concurrent use.
type Table struct {
	// Term is the leader's term. Grants of an older term are void.
	Term uint64

	// SilenceFloor is a time before which silence does not count, because the leader
	// itself was paused.
	SilenceFloor time.Time

	// Recovering is set while a new leader does not know yet what all entries
	// hold. Grants then stay as they are.
	Recovering bool

	silent  time.Duration
	byID    map[string]*Endpoint
	entries map[string]*entry
	lost    map[string]*lost
	orphans map[string]map[string]*grant // by endpoint and entry; held before the endpoint announced itself here
	places  map[string]string            // datacentre by entry
	version uint64

	unknownUntil time.Time // requests of entries that have not reported have ended then; zero: there are none
	lastReport   time.Time // of any entry; zero: none yet
	leasesEnd    time.Time // after it no entry uses a grant that this leader does not know of
}

// entry is what the leader knows of one entry.
type entry struct {
	member   bool // may get new grants
	fresh    bool // joined when no grant of an older term could be valid
	revision uint64
	demand   map[string]int32 // by service
}

// NewTable returns an empty table; an endpoint silent for longer than the
// given time gets no new work.
func NewTable(silent time.Duration) *Table {
	return &Table{
		silent: silent, byID: make(map[string]*Endpoint), entries: make(map[string]*entry),
		lost: make(map[string]*lost), orphans: make(map[string]map[string]*grant), places: make(map[string]string),
	}
}

// Version grows with each change that entries must hear of.
func (t *Table) Version() uint64 { return t.version }

func (t *Table) touch(e *Endpoint) {
	t.version++
	e.version = t.version
}

// Announce takes in an endpoint's report. It returns whether entries must hear of it.
func (t *Table) Announce(r *egretmuxv1.EndpointReport, now time.Time) bool {
	e := t.byID[r.GetId()]
	if e != nil && r.GetEpoch() < e.Report.GetEpoch() {
		return false
	}
	if e == nil {
		e = &Endpoint{grants: t.orphans[r.GetId()]}
		if e.grants == nil {
			e.grants = make(map[string]*grant)
		}
		delete(t.orphans, r.GetId())
		delete(t.lost, r.GetId())
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
		t.touch(e)
	}
	return t.freeUnknown(e, now) || changed
}

// RecordReport notes that an entry's report arrived. After a time without any,
// silence counts from here on.
func (t *Table) RecordReport(now time.Time) {
	if !t.lastReport.IsZero() && now.Sub(t.lastReport) > t.silent/2 {
		t.SilenceFloor = now
	}
	t.lastReport = now
}

// Expire marks the endpoints that have been silent too long as leaving and
// forgets those that no entry uses any more.
func (t *Table) Expire(now time.Time) bool {
	changed := t.expireUnknown(now)
	changed = t.expireOrphans(now) || changed
	limit := t.silent
	if !t.lastReport.IsZero() && now.Sub(t.lastReport) > t.silent/2 {
		limit *= allSilentFactor
	}
	for id, e := range t.byID {
		if now.Sub(e.LastHeard) <= limit || now.Sub(t.SilenceFloor) <= limit {
			continue
		}
		if !e.Leaving {
			e.Leaving = true
			t.touch(e)
			changed = true
		}
		if e.unused() && now.Sub(e.LastHeard) > forgetAfter*t.silent {
			delete(t.byID, id)
		}
	}
	return changed
}

func (e *Endpoint) unused() bool {
	for _, g := range e.grants {
		if g.held > 0 {
			return false
		}
	}
	return true
}

func (t *Table) entry(name string) *entry {
	en := t.entries[name]
	if en == nil {
		en = &entry{demand: make(map[string]int32)}
		t.entries[name] = en
	}
	return en
}

// AddEntry lets an entry have grants. One that is known only since the leader
// recovered cannot hold a valid grant of an older term.
func (t *Table) AddEntry(name, datacentre string) {
	t.places[name] = datacentre
	en := t.entry(name)
	if !en.member && !t.incomplete() {
		en.fresh = true
	}
	en.member = true
}

// RemoveEntry takes back an entry's grants. The caller must know that none of
// its requests can be in flight any more.
func (t *Table) RemoveEntry(name string) {
	delete(t.entries, name)
	delete(t.places, name)
	for _, e := range t.byID {
		delete(e.grants, name)
	}
	for _, held := range t.orphans {
		delete(held, name)
	}
}

// RetireEntry gives an entry no new grants. Those it has stay out until
// RemoveEntry takes them back.
func (t *Table) RetireEntry(name string) {
	if en := t.entries[name]; en != nil {
		en.member = false
	}
}

// ExceedsGrants reports whether an entry holds more of any endpoint than it is granted.
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

func (t *Table) ids() []string {
	ids := make([]string, 0, len(t.byID))
	for id := range t.byID {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// StatesSince returns what an entry must hear of that changed after the given version.
func (t *Table) StatesSince(name string, version uint64) []*egretmuxv1.EndpointState {
	var out []*egretmuxv1.EndpointState
	for _, id := range t.ids() {
		e := t.byID[id]
		g := e.grants[name]
		if e.version <= version && (g == nil || g.version <= version) {
			continue
		}
		out = append(out, t.stateFor(id, e, name))
	}
	return append(out, t.lostSince(version)...)
}

func (t *Table) stateFor(id string, e *Endpoint, name string) *egretmuxv1.EndpointState {
	s := &egretmuxv1.EndpointState{
		Id: id, Service: e.Report.GetService(), Address: e.Report.GetAddress(),
		Datacentre: e.Report.GetDatacentre(), Epoch: e.Report.GetEpoch(), Leaving: e.Leaving,
	}
	g := e.grant(name)
	s.Grant = max(g.sequence, t.Term<<termShift)
	if t.Recovering || !t.sealed(e) {
		s.Slots, s.Links = KeepSlots, KeepSlots
		return s
	}
	s.Slots, s.Links = g.target, g.links
	return s
}

// Status returns a report of each endpoint of a service, all for "".
func (t *Table) Status(service string, now time.Time) []*egretmuxv1.EndpointStatus {
	var out []*egretmuxv1.EndpointStatus
	for _, id := range t.ids() {
		e := t.byID[id]
		if service != "" && e.Report.GetService() != service {
			continue
		}
		s := &egretmuxv1.EndpointStatus{
			Id: id, Service: e.Report.GetService(), Address: e.Report.GetAddress(), Datacentre: e.Report.GetDatacentre(),
			Slots: e.Report.GetSlots(), Leaving: e.Leaving, SilentMs: now.Sub(e.LastHeard).Milliseconds(), Health: "ok",
		}
		for _, g := range e.grants {
			s.Granted += g.possible()
		}
		if e.Leaving {
			s.Health = "leaving"
		}
		out = append(out, s)
	}
	return out
}
