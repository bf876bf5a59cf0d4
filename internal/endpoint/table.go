// Package endpoint keeps the leader's view of the endpoints and shares out
// their slots and connections among the entries.
package endpoint

import (
	"sort"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Endpoint is one endpoint with what each entry holds of it.
type Endpoint struct {
	Report    *egretmuxv1.EndpointReport
	LastHeard time.Time
	Leaving   bool
	grants    map[string]*grant // by entry
	version   uint64            // of the table when it last changed
}

// grant is one entry's part of one endpoint. The entry may be using as many
// slots as the larger of target and held, so only the rest can be given away.
type grant struct {
	target int32
	held   int32 // as the entry last confirmed
	wanted int32
	links  int32
}

func (g *grant) possible() int32 { return max(g.target, g.held) }

// Table is the set of endpoints. It is not safe for concurrent use.
type Table struct {
	silent  time.Duration
	byID    map[string]*Endpoint
	entries map[string]bool
	version uint64
	orphans map[string]map[string]*grant // by endpoint and entry; held before the endpoint announced itself here

	// Recovering is set while a new leader does not know yet what all entries
	// hold. Grants then stay as they are.
	Recovering bool
}

// KeepSlots in EndpointState.Slots and Links tells an entry to keep its grant.
const KeepSlots = -1

// NewTable returns an empty table; an endpoint silent for longer than the
// given time gets no new work.
func NewTable(silent time.Duration) *Table {
	return &Table{
		silent: silent, byID: make(map[string]*Endpoint), entries: make(map[string]bool),
		orphans: make(map[string]map[string]*grant),
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
	if e == nil || r.GetEpoch() > e.Report.GetEpoch() {
		old := e
		e = &Endpoint{grants: make(map[string]*grant)}
		if old != nil {
			e.grants = old.grants
		} else if held := t.orphans[r.GetId()]; held != nil {
			e.grants = held
			delete(t.orphans, r.GetId())
		}
		t.byID[r.GetId()] = e
	}
	changed := e.Report == nil || e.Leaving != r.GetLeaving() || e.Report.GetAddress() != r.GetAddress() ||
		e.Report.GetSlots() != r.GetSlots() || e.Report.GetLinks() != r.GetLinks() || e.Report.GetEpoch() != r.GetEpoch()
	e.Report = r
	e.LastHeard = now
	e.Leaving = r.GetLeaving()
	if changed {
		t.touch(e)
	}
	return changed
}

// Expire marks the endpoints that have been silent too long as leaving and
// forgets those that no entry uses any more.
func (t *Table) Expire(now time.Time) bool {
	changed := false
	for id, e := range t.byID {
		if now.Sub(e.LastHeard) <= t.silent {
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

// forgetAfter is how many times the silence limit an endpoint is kept for.
const forgetAfter = 40

func (e *Endpoint) unused() bool {
	for _, g := range e.grants {
		if g.held > 0 {
			return false
		}
	}
	return true
}

// AddEntry lets an entry have grants.
func (t *Table) AddEntry(entry string) { t.entries[entry] = true }

// RemoveEntry takes back an entry's grants. The caller must know that none of
// its requests can be in flight any more.
func (t *Table) RemoveEntry(entry string) {
	delete(t.entries, entry)
	for _, e := range t.byID {
		delete(e.grants, entry)
	}
}

// RetireEntry gives an entry no new grants. Those it has stay out until
// RemoveEntry takes them back.
func (t *Table) RetireEntry(entry string) { delete(t.entries, entry) }

// Exceeds reports whether an entry holds more of any endpoint than it is granted.
func (t *Table) Exceeds(entry string) bool {
	for _, e := range t.byID {
		if g := e.grants[entry]; g != nil && g.held > g.target {
			return true
		}
	}
	return false
}

// Hold records what an entry confirmed to hold and to want.
func (t *Table) Hold(entry string, h *egretmuxv1.GrantHolding) {
	g := t.grantOf(h.GetEndpoint(), entry)
	g.held = h.GetHeld()
	g.wanted = h.GetWanted()
	g.links = h.GetLinks()
	if t.Recovering {
		g.target = g.held
	}
}

func (t *Table) grantOf(id, entry string) *grant {
	if e := t.byID[id]; e != nil {
		return e.grant(entry)
	}
	if t.orphans[id] == nil {
		t.orphans[id] = make(map[string]*grant)
	}
	g := t.orphans[id][entry]
	if g == nil {
		g = &grant{}
		t.orphans[id][entry] = g
	}
	return g
}

func (e *Endpoint) grant(entry string) *grant {
	g := e.grants[entry]
	if g == nil {
		g = &grant{}
		e.grants[entry] = g
	}
	return g
}

// Rebalance moves the targets towards equal parts. It never lets the sum of
// what entries may be using exceed an endpoint's slots. It returns whether
// any target changed.
func (t *Table) Rebalance() bool {
	entries := t.entryNames()
	if len(entries) == 0 || t.Recovering {
		return false
	}
	changed := false
	for i, id := range t.ids() {
		if t.byID[id].share(entries, i) {
			t.touch(t.byID[id])
			changed = true
		}
	}
	return changed
}

// share sets the targets of one endpoint. offset rotates which entries get the
// remainder, so that the parts even out over the endpoints.
func (e *Endpoint) share(entries []string, offset int) bool {
	slots := int(e.Report.GetSlots())
	base, rest := slots/len(entries), slots%len(entries)
	wish := make([]int32, len(entries))
	for i := range entries {
		wish[i] = int32(base)
		if (i+len(entries)-offset%len(entries))%len(entries) < rest {
			wish[i]++
		}
	}
	changed := false
	for i, name := range entries { // reductions first
		if g := e.grant(name); wish[i] < g.target {
			g.target = wish[i]
			changed = true
		}
	}
	free := int32(slots)
	for _, g := range e.grants {
		free -= g.possible()
	}
	for i, name := range entries {
		g := e.grant(name)
		more := min(wish[i]-g.target, free+max(0, g.held-g.target))
		if more > 0 {
			before := g.possible()
			g.target += more
			free -= g.possible() - before
			changed = true
		}
	}
	return changed
}

func (t *Table) entryNames() []string {
	names := make([]string, 0, len(t.entries))
	for n := range t.entries {
		names = append(names, n)
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

// Since returns what an entry must hear of that changed after the given version.
func (t *Table) Since(entry string, version uint64) []*egretmuxv1.EndpointState {
	var out []*egretmuxv1.EndpointState
	for _, id := range t.ids() {
		e := t.byID[id]
		if e.version <= version {
			continue
		}
		s := &egretmuxv1.EndpointState{
			Id: id, Service: e.Report.GetService(), Address: e.Report.GetAddress(),
			Datacentre: e.Report.GetDatacentre(), Epoch: e.Report.GetEpoch(), Leaving: e.Leaving,
		}
		if t.Recovering {
			s.Slots, s.Links = KeepSlots, KeepSlots
		} else if g := e.grants[entry]; g != nil {
			s.Slots = g.target
			s.Links = linkShare(e.Report.GetLinks(), e.Report.GetSlots(), g.target, len(t.entries))
		}
		out = append(out, s)
	}
	return out
}

// linkShare gives each entry connections in step with its slots and keeps one
// spare to replace a silent connection.
func linkShare(links, slots, granted int32, entries int) int32 {
	if slots == 0 || entries == 0 {
		return 0
	}
	return max(granted+1, links/int32(entries))
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
