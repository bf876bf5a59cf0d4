package endpoint

import (
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// termShift puts the term above the table's version in a grant's number, so
// that numbers grow across leaders.
const termShift = 40

// grant is one entry's part of one endpoint. Until the entry confirms the
// newest target, it may be using any of those sent since its last confirmation.
type grant struct {
	target    int32 // slots granted
	links     int32 // connections granted
	held      int32 // slots as the entry last confirmed
	heldLinks int32
	high      int32 // largest slots of the unconfirmed targets
	highLinks int32
	sequence  uint64 // number of the newest target
	version   uint64 // of the table when the target last changed
	sealed    bool   // the entry has applied a number of this term, so it accepts no older grant
}

// possible returns the most slots that the entry may be using.
func (g *grant) possible() int32 { return max(g.target, g.held, g.high) }

// possibleLinks returns the most connections that the entry may have open.
func (g *grant) possibleLinks() int32 { return max(g.links, g.heldLinks, g.highLinks) }

// pending reports whether a reduction has not been confirmed yet.
func (g *grant) pending() bool { return g.high > g.target }

func (t *Table) set(e *Endpoint, g *grant, slots, links int32) {
	if g.target == slots && g.links == links {
		return
	}
	g.high = max(g.high, g.target)
	g.highLinks = max(g.highLinks, g.links)
	g.target, g.links = slots, links
	t.renew(g)
}

// RecordHolding records what an entry confirmed to hold and to want. Reports that
// arrive out of order are ignored.
func (t *Table) RecordHolding(name string, h *egretmuxv1.GrantHolding) {
	en := t.entry(name)
	if h.GetRevision() < en.revision {
		return
	}
	en.revision = h.GetRevision()
	if h.GetService() != "" {
		en.demand[h.GetService()] = h.GetWanted()
		return
	}
	e := t.byID[h.GetEndpoint()]
	g := t.grantOf(h.GetEndpoint(), name)
	g.held, g.heldLinks = h.GetHeld(), h.GetLinks()
	if h.GetGrant() >= g.sequence {
		g.high, g.highLinks = 0, 0
	}
	switch {
	case !g.sealed && !en.fresh:
		g.sealed = h.GetGrant()>>termShift >= t.Term
		g.target, g.links = g.held, g.heldLinks
		if e != nil && t.sealed(e) {
			t.reserveUnknown(e)
		}
	case h.GetGrant() >= g.sequence && g.held < g.target:
		t.renew(g) // the entry gave its grant up when its lease ended
	}
}

// renew makes the entry hear of its grant again.
func (t *Table) renew(g *grant) {
	t.version++
	g.version = t.version
	g.sequence = t.Term<<termShift | t.version
}

// unknownEntries holds what entries that have not reported to this leader may be using.
const unknownEntries = "/unknown"

// EndRecovery ends the recovery. Slots that no entry has reported stay taken
// until requestsEnd, because entries that have not reported, or processes that
// ended under an earlier leader, may still use them. After leasesEnd no entry
// begins anything with them, so endpoints that tell how many slots are in use
// free the others. A zero requestsEnd tells that the cell is new.
func (t *Table) EndRecovery(leasesEnd, requestsEnd time.Time) {
	t.Recovering = false
	t.leasesEnd, t.unknownUntil = leasesEnd, requestsEnd
	for _, e := range t.byID {
		t.touch(e)
		t.reserveUnknown(e)
	}
}

// reserveUnknown takes the slots of an endpoint that no entry has reported
// while somebody unknown may use them.
func (t *Table) reserveUnknown(e *Endpoint) {
	if t.Recovering || !t.incomplete() {
		return
	}
	old := e.grants[unknownEntries]
	if !t.sealed(e) {
		if old == nil {
			e.grants[unknownEntries] = &grant{held: e.capacity(), heldLinks: e.Report.GetLinks()}
		}
		return
	}
	delete(e.grants, unknownEntries)
	slots, links := e.free()
	g := &grant{held: max(0, slots), heldLinks: max(0, links)}
	if old != nil {
		g.held, g.heldLinks = min(g.held, old.held), min(g.heldLinks, old.heldLinks)
	}
	e.grants[unknownEntries] = g
}

// freeUnknown frees the slots of unknown entries that the endpoint says are
// not in use. It returns whether there were any.
func (t *Table) freeUnknown(e *Endpoint, now time.Time) bool {
	g := e.grants[unknownEntries]
	if g == nil || !e.Report.GetTellsBusy() || !now.After(t.leasesEnd) || g.held <= e.Report.GetBusy() {
		return false
	}
	g.held = e.Report.GetBusy()
	g.heldLinks = g.held
	return true
}

// incomplete reports whether there may be entries that have not reported yet.
func (t *Table) incomplete() bool { return t.Recovering || !t.unknownUntil.IsZero() }

// sealed reports whether no entry can still apply a grant of an older term to
// the endpoint. Until then its grants stay as they are.
func (t *Table) sealed(e *Endpoint) bool {
	for name, en := range t.entries {
		if en.member && !en.fresh && !e.grant(name).sealed {
			return false
		}
	}
	return true
}

func (t *Table) grantOf(id, name string) *grant {
	if e := t.byID[id]; e != nil {
		return e.grant(name)
	}
	if t.orphans[id] == nil {
		t.orphans[id] = make(map[string]*grant)
	}
	g := t.orphans[id][name]
	if g == nil {
		g = &grant{}
		t.orphans[id][name] = g
	}
	return g
}

func (e *Endpoint) grant(name string) *grant {
	g := e.grants[name]
	if g == nil {
		g = &grant{}
		e.grants[name] = g
	}
	return g
}

// expireUnknown frees what unknown entries may have been using once all their
// requests have ended.
func (t *Table) expireUnknown(now time.Time) bool {
	if t.unknownUntil.IsZero() || !now.After(t.unknownUntil) {
		return false
	}
	t.unknownUntil = time.Time{}
	t.RemoveEntry(unknownEntries)
	return true
}
