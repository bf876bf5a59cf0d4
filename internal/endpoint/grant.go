package endpoint

import (
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// termShift is the position of the term in a grant's number. The table's version
// is below it, so that numbers increase across leaders. It must equal termShift of
// package route.
const termShift = 40

// grant is one entry's share of one endpoint. Until the entry confirms the
// newest slots and links, it may be using any sent since its last confirmation.
type grant struct {
	slots               int32 // slots granted
	links               int32 // connections granted
	heldSlots           int32 // slots that the entry last reported
	heldLinks           int32
	maxUnconfirmedSlots int32 // most slots granted since the last confirmation
	maxUnconfirmedLinks int32
	sequence            uint64 // number of the newest slots and links
	version             uint64 // table version when the grant was last changed or resent
	rejectsOlderTerms   bool   // the entry has applied a grant of this term, so it rejects those of older terms
}

// maxInUse returns the most slots that the entry may be using.
func (g *grant) maxInUse() int32 { return max(g.slots, g.heldSlots, g.maxUnconfirmedSlots) }

// maxLinksInUse returns the most connections that the entry may have open.
func (g *grant) maxLinksInUse() int32 { return max(g.links, g.heldLinks, g.maxUnconfirmedLinks) }

// reductionPending reports whether a reduction has not been confirmed yet.
func (g *grant) reductionPending() bool { return g.maxUnconfirmedSlots > g.slots }

// setGrant changes the slots and links of a grant. The former ones count as
// possibly in use until the entry confirms the new ones.
func (t *Table) setGrant(e *Endpoint, g *grant, slots, links int32) {
	if g.slots == slots && g.links == links {
		return
	}
	g.maxUnconfirmedSlots = max(g.maxUnconfirmedSlots, g.slots)
	g.maxUnconfirmedLinks = max(g.maxUnconfirmedLinks, g.links)
	g.slots, g.links = slots, links
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
	g := t.ensureGrantOrOrphan(h.GetEndpoint(), name)
	g.heldSlots, g.heldLinks = h.GetHeld(), h.GetLinks()
	if h.GetGrant() >= g.sequence {
		g.maxUnconfirmedSlots, g.maxUnconfirmedLinks = 0, 0
	}
	switch {
	case !g.rejectsOlderTerms && !en.noOlderGrants:
		g.rejectsOlderTerms = h.GetGrant()>>termShift >= t.Term
		g.slots, g.links = g.heldSlots, g.heldLinks
		if e != nil && t.allRejectOlderTerms(e) {
			t.reserveUnknown(e)
		}
	case h.GetGrant() >= g.sequence && g.heldSlots < g.slots:
		t.resend(g) // the entry gave up its grant when its lease expired
	}
}

// resend gives the grant a new number, so that it is sent to the entry again.
func (t *Table) resend(g *grant) {
	t.version++
	g.version = t.version
	g.sequence = t.Term<<termShift | t.version
}

// unknownEntries is the name of the pseudo-entry that holds the slots which
// entries that have not reported to this leader may be using.
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
	if !t.allRejectOlderTerms(e) {
		if old == nil {
			e.grants[unknownEntries] = &grant{heldSlots: e.capacity(), heldLinks: e.Report.GetLinks()}
		}
		return
	}
	delete(e.grants, unknownEntries)
	slots, links := e.freeCapacity()
	g := &grant{heldSlots: max(0, slots), heldLinks: max(0, links)}
	if old != nil {
		g.heldSlots, g.heldLinks = min(g.heldSlots, old.heldSlots), min(g.heldLinks, old.heldLinks)
	}
	e.grants[unknownEntries] = g
}

// freeUnknown frees the slots reserved for unknown entries that the endpoint
// reports as not in use. It returns whether there were any.
func (t *Table) freeUnknown(e *Endpoint, now time.Time) bool {
	g := e.grants[unknownEntries]
	if g == nil || !e.Report.GetTellsBusy() || !now.After(t.leasesEnd) || g.heldSlots <= e.Report.GetBusy() {
		return false
	}
	g.heldSlots = e.Report.GetBusy()
	g.heldLinks = g.heldSlots
	return true
}

// mayHaveUnknownEntries reports whether requests of entries that have not
// reported yet may be in flight.
func (t *Table) mayHaveUnknownEntries() bool { return t.Recovering || !t.unknownUntil.IsZero() }

// allRejectOlderTerms reports whether all eligible entries reject grants of older
// terms for the endpoint. Its grants are not changed until then.
func (t *Table) allRejectOlderTerms(e *Endpoint) bool {
	for name, en := range t.entries {
		if en.eligible && !en.noOlderGrants && !e.ensureGrant(name).rejectsOlderTerms {
			return false
		}
	}
	return true
}

// ensureGrantOrOrphan returns the entry's grant on an endpoint, or on an orphan if
// the endpoint has not been announced. It creates the grant if necessary.
func (t *Table) ensureGrantOrOrphan(id, name string) *grant {
	if e := t.byID[id]; e != nil {
		return e.ensureGrant(name)
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

// ensureGrant returns the entry's grant, which it creates if necessary.
func (e *Endpoint) ensureGrant(name string) *grant {
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
