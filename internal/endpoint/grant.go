package endpoint

import (
	"strconv"
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

// Hold records what an entry confirmed to hold and to want. Reports that
// arrive out of order are ignored.
func (t *Table) Hold(name string, h *egretmuxv1.GrantHolding) {
	en := t.entry(name)
	if h.GetRevision() < en.revision {
		return
	}
	en.revision = h.GetRevision()
	if h.GetService() != "" {
		en.demand[h.GetService()] = h.GetWanted()
		return
	}
	if !en.fenced && h.GetGrant()>>termShift >= t.Term {
		en.fenced = true
		en.fencedBy = h.GetRevision()
	}
	g := t.grantOf(h.GetEndpoint(), name)
	t.explain(h.GetEndpoint(), h.GetHeld()-g.held, h.GetLinks()-g.heldLinks)
	g.held, g.heldLinks = h.GetHeld(), h.GetLinks()
	if h.GetGrant() >= g.sequence {
		g.high, g.highLinks = 0, 0
	}
	switch {
	case t.Recovering || !en.fenced || en.fencedBy == h.GetRevision():
		g.target, g.links = g.held, g.heldLinks
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

// Recovered ends the recovery. Slots that no entry has reported stay taken
// until the given time, because entries that have not reported may use them;
// the zero time tells that all have.
func (t *Table) Recovered(unknownUntil time.Time) {
	t.Recovering = false
	for _, e := range t.byID {
		t.touch(e)
	}
	if unknownUntil.IsZero() {
		return
	}
	t.past = append(t.past, past{name: unknownEntries, until: unknownUntil})
	for _, e := range t.byID {
		t.reserveUnknown(e)
	}
}

// reserveUnknown takes the slots of an endpoint that no entry has reported
// while there may be entries that have not reported.
func (t *Table) reserveUnknown(e *Endpoint) {
	if t.Recovering || !t.incomplete() {
		return
	}
	slots, links := e.free()
	e.grants[unknownEntries] = &grant{held: max(0, slots), heldLinks: max(0, links)}
}

// explain takes what an entry reported late off the unknown part.
func (t *Table) explain(id string, slots, links int32) {
	e := t.byID[id]
	if e == nil || e.grants[unknownEntries] == nil {
		return
	}
	g := e.grants[unknownEntries]
	g.held = max(0, g.held-max(0, slots))
	g.heldLinks = max(0, g.heldLinks-max(0, links))
}

// incomplete reports whether there may be entries that have not reported yet.
func (t *Table) incomplete() bool {
	for _, p := range t.past {
		if p.name == unknownEntries {
			return true
		}
	}
	return t.Recovering
}

// allFenced reports whether no entry can still apply a grant of an older term.
func (t *Table) allFenced() bool {
	for _, en := range t.entries {
		if en.member && !en.fenced {
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

// Restart tells that an entry's process was replaced by a new one, which holds
// nothing. What the old process may still be using stays taken until the given time.
func (t *Table) Restart(name string, until time.Time) {
	old := name + "/ended-" + strconv.FormatUint(t.version, 10) + "-" + strconv.Itoa(len(t.past))
	for _, e := range t.byID {
		moveGrant(e.grants, name, old)
	}
	for _, held := range t.orphans {
		moveGrant(held, name, old)
	}
	delete(t.entries, name)
	t.past = append(t.past, past{name: old, until: until})
}

func moveGrant(grants map[string]*grant, from, to string) {
	g := grants[from]
	if g == nil {
		return
	}
	delete(grants, from)
	if g.possible() > 0 || g.possibleLinks() > 0 {
		grants[to] = &grant{held: g.possible(), heldLinks: g.possibleLinks()}
	}
}

func (t *Table) expirePast(now time.Time) bool {
	kept := t.past[:0]
	for _, p := range t.past {
		if now.After(p.until) {
			t.RemoveEntry(p.name)
			continue
		}
		kept = append(kept, p)
	}
	changed := len(kept) != len(t.past)
	t.past = kept
	return changed
}
