package endpoint

import (
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// termShift puts the term above the table's version in a grant's number, so
// that numbers increase across leaders.
const termShift = 40

// grant is one entry's share of one endpoint. Until the entry confirms the
// newest target, it may be using any target sent since its last confirmation.
type grant struct {
	target              int32 // slots granted
	links               int32 // connections granted
	held                int32 // slots that the entry last reported
	heldLinks           int32
	maxUnconfirmed      int32 // most slots of any unconfirmed target
	maxUnconfirmedLinks int32
	sequence            uint64 // number of the newest target
	version             uint64 // table version when the target last changed
	fenced              bool   // the entry has applied a grant of this term, so it rejects those of older terms
}

// maxInUse returns the most slots that the entry may be using.
func (g *grant) maxInUse() int32 { return max(g.target, g.held, g.maxUnconfirmed) }

// maxLinksInUse returns the most connections that the entry may have open.
func (g *grant) maxLinksInUse() int32 { return max(g.links, g.heldLinks, g.maxUnconfirmedLinks) }

// reductionPending reports whether a reduction has not been confirmed yet.
func (g *grant) reductionPending() bool { return g.maxUnconfirmed > g.target }

// setTarget changes the grant to a new target. The former one counts as possibly
// in use until the entry confirms the new one.
func (t *Table) setTarget(e *Endpoint, g *grant, slots, links int32) {
	if g.target == slots && g.links == links {
		return
	}
	g.maxUnconfirmed = max(g.maxUnconfirmed, g.target)
	g.maxUnconfirmedLinks = max(g.maxUnconfirmedLinks, g.links)
	g.target, g.links = slots, links
	t.resend(g)
}

// RecordHolding records a holding or a demand that an entry reported. Reports
// that arrive out of order are ignored.
func (t *Table) RecordHolding(name string, h *egretmuxv1.GrantHolding) {
	en := t.ensureEntry(name)
	if h.GetRevision() < en.revision {
		return
	}
	en.revision = h.GetRevision()
	if h.GetService() != "" {
		en.demand[h.GetService()] = h.GetWanted()
		return
	}
	e := t.byID[h.GetEndpoint()]
	g := t.grantOrOrphan(h.GetEndpoint(), name)
	g.held, g.heldLinks = h.GetHeld(), h.GetLinks()
	if h.GetGrant() >= g.sequence {
		g.maxUnconfirmed, g.maxUnconfirmedLinks = 0, 0
	}
	switch {
	case !g.fenced && !en.noOlderGrants:
		g.fenced = h.GetGrant()>>termShift >= t.Term
		g.target, g.links = g.held, g.heldLinks
		if e != nil && t.isFenced(e) {
			t.reserveUnknown(e)
		}
	case h.GetGrant() >= g.sequence && g.held < g.target:
		t.resend(g) // the entry gave up its grant when its lease expired
	}
}

// resend gives the grant a new number, so that it is sent to the entry again.
func (t *Table) resend(g *grant) {
	t.version++
	g.version = t.version
	g.sequence = t.Term<<termShift | t.version
}

// unknownEntries is the name under which the slots are reserved that entries may
// be using that have not reported to this leader.
const unknownEntries = "/unknown"

// EndRecovery ends the recovery. Slots that no entry has reported stay reserved
// until requestsEnd, because entries that have not reported, or processes that
// ended under an earlier leader, may still use them. After leasesEnd no entry
// starts requests on them, so for endpoints that report how many slots are in
// use the others are freed. A zero requestsEnd means that the cell is new.
func (t *Table) EndRecovery(leasesEnd, requestsEnd time.Time) {
	t.Recovering = false
	t.leasesEnd, t.unknownUntil = leasesEnd, requestsEnd
	for _, e := range t.byID {
		t.markChanged(e)
		t.reserveUnknown(e)
	}
}

// reserveUnknown reserves the endpoint's slots that no entry has reported while
// unknown entries may use them.
func (t *Table) reserveUnknown(e *Endpoint) {
	if t.Recovering || !t.mayHaveUnknownEntries() {
		return
	}
	old := e.grants[unknownEntries]
	if !t.isFenced(e) {
		if old == nil {
			e.grants[unknownEntries] = &grant{held: e.capacity(), heldLinks: e.Report.GetLinks()}
		}
		return
	}
	delete(e.grants, unknownEntries)
	slots, links := e.freeCapacity()
	g := &grant{held: max(0, slots), heldLinks: max(0, links)}
	if old != nil {
		g.held, g.heldLinks = min(g.held, old.held), min(g.heldLinks, old.heldLinks)
	}
	e.grants[unknownEntries] = g
}

// freeUnknown frees the slots reserved for unknown entries that the endpoint
// reports as not in use. It returns whether there were any.
func (t *Table) freeUnknown(e *Endpoint, now time.Time) bool {
	g := e.grants[unknownEntries]
	if g == nil || !e.Report.GetTellsBusy() || !now.After(t.leasesEnd) || g.held <= e.Report.GetBusy() {
		return false
	}
	g.held = e.Report.GetBusy()
	g.heldLinks = g.held
	return true
}

// mayHaveUnknownEntries reports whether requests of entries that have not
// reported yet may be in flight.
func (t *Table) mayHaveUnknownEntries() bool { return t.Recovering || !t.unknownUntil.IsZero() }

// isFenced reports whether all entries reject grants of older terms for the
// endpoint. Its grants are not changed until then.
func (t *Table) isFenced(e *Endpoint) bool {
	for name, en := range t.entries {
		if en.member && !en.noOlderGrants && !e.grantFor(name).fenced {
			return false
		}
	}
	return true
}

// grantOrOrphan returns the entry's grant on an endpoint, or on an orphan if the
// endpoint has not been announced. It creates the grant if necessary.
func (t *Table) grantOrOrphan(id, name string) *grant {
	if e := t.byID[id]; e != nil {
		return e.grantFor(name)
	}
	if t.orphanGrants[id] == nil {
		t.orphanGrants[id] = make(map[string]*grant)
	}
	g := t.orphanGrants[id][name]
	if g == nil {
		g = &grant{}
		t.orphanGrants[id][name] = g
	}
	return g
}

// grantFor returns the entry's grant, which it creates if necessary.
func (e *Endpoint) grantFor(name string) *grant {
	g := e.grants[name]
	if g == nil {
		g = &grant{}
		e.grants[name] = g
	}
	return g
}

// expireUnknown frees the slots reserved for unknown entries once all their
// requests have ended.
func (t *Table) expireUnknown(now time.Time) bool {
	if t.unknownUntil.IsZero() || !now.After(t.unknownUntil) {
		return false
	}
	t.unknownUntil = time.Time{}
	t.RemoveEntry(unknownEntries)
	return true
}
