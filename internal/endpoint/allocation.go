package endpoint

import "sort"

const (
	// headroomDivisor sets an entry's headroom to 1/8 of its demand.
	headroomDivisor = 8
	// floorDivisor sets the slots of an entry without demand to 1/4 of an equal share.
	floorDivisor = 4
)

// allocation divides the slots of one service among the entries.
type allocation struct {
	table       *Table
	entries     []string
	endpoints   []*Endpoint
	datacentres map[string]string // datacentre of each entry; empty: unknown
	totalSlots  int32             // slots that can be granted
	granted     map[string]int32  // slots granted, by entry
	desired     map[string]int32  // slots that each entry should have
}

// Rebalance moves the grants towards the entries' demand. The sum of what
// entries may be using never exceeds an endpoint's slots or connections. It
// returns whether any grant changed.
func (t *Table) Rebalance() bool {
	entries := t.eligibleEntries()
	if len(entries) == 0 || t.Recovering {
		return false
	}
	before := t.version
	services := make(map[string][]*Endpoint)
	for _, id := range t.sortedIDs() {
		e := t.byID[id]
		if !t.allRejectOlderTerms(e) {
			continue
		}
		if e.Leaving {
			t.withdrawGrants(e)
			continue
		}
		services[e.Report.GetService()] = append(services[e.Report.GetService()], e)
	}
	names := make([]string, 0, len(services))
	for name := range services {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		a := newAllocation(t, entries, services[name], name)
		a.shrinkGrants()
		a.reclaim()
		a.grantFreeSlots()
	}
	return t.version != before
}

// withdrawGrants revokes all grants on a leaving endpoint.
func (t *Table) withdrawGrants(e *Endpoint) {
	for _, g := range e.grants {
		t.setGrant(e, g, 0, 0)
	}
}

func newAllocation(t *Table, entries []string, endpoints []*Endpoint, service string) *allocation {
	a := &allocation{table: t, entries: entries, endpoints: endpoints, granted: make(map[string]int32), datacentres: t.datacentres}
	for _, e := range endpoints {
		a.totalSlots += max(0, e.capacity()-e.slotsOfIneligible(t))
		for _, name := range entries {
			a.granted[name] += e.ensureGrant(name).slots
		}
	}
	a.desired = a.divideSlots(service)
	return a
}

// capacity returns the number of slots, each of which needs a connection.
func (e *Endpoint) capacity() int32 { return min(e.Report.GetSlots(), e.Report.GetLinks()) }

// linksPerSlot returns the connections granted with each slot: one in use and
// spares that replace silent ones.
func (e *Endpoint) linksPerSlot() int32 { return e.Report.GetLinks() / max(1, e.capacity()) }

// slotsOfIneligible returns the slots that retired or unknown entries may be using.
func (e *Endpoint) slotsOfIneligible(t *Table) int32 {
	var n int32
	for name, g := range e.grants {
		if en := t.entries[name]; en == nil || !en.eligible {
			n += g.maxInUse()
		}
	}
	return n
}

// freeCapacity returns the slots and connections that no entry may be using. They
// are negative when an endpoint has come back smaller.
func (e *Endpoint) freeCapacity() (slots, links int32) {
	slots, links = e.capacity(), e.Report.GetLinks()
	for _, g := range e.grants {
		slots -= g.maxInUse()
		links -= g.maxLinksInUse()
	}
	return slots, links
}

// divideSlots returns the slots that each entry should have: first one each, so
// that every entry can serve a request at once and without the leader, then by
// demand, and the rest as headroom.
func (a *allocation) divideSlots(service string) map[string]int32 {
	n := int32(len(a.entries))
	minimum, demand, headroom := make(map[string]int32, n), make(map[string]int32, n), make(map[string]int32, n)
	for _, name := range a.entries {
		d := a.table.entries[name].demand[service]
		minimum[name] = 1
		demand[name] = max(0, d-1)
		headroom[name] = max(0, a.totalSlots/(floorDivisor*n)-d)
		if d > 0 {
			headroom[name] = max(headroom[name], 1, d/headroomDivisor)
		}
	}
	slotsByEntry, remaining := make(map[string]int32, n), a.totalSlots
	for _, requested := range []map[string]int32{minimum, demand, headroom} {
		for name, slots := range divideProportionally(remaining, requested) {
			slotsByEntry[name] += slots
		}
		remaining = a.totalSlots
		for _, slots := range slotsByEntry {
			remaining -= slots
		}
	}
	return slotsByEntry
}

// divideProportionally gives each entry the slots requested for it, or if the
// total is too small, shares in proportion to the requests. Requests then wait
// about equally long at all entries.
func divideProportionally(total int32, requested map[string]int32) map[string]int32 {
	names := make([]string, 0, len(requested))
	var sum int64
	for n, w := range requested {
		names = append(names, n)
		sum += int64(w)
	}
	sort.Strings(names)
	out := make(map[string]int32, len(requested))
	var assigned, cumulative int64
	for _, n := range names {
		cumulative += int64(requested[n])
		part := cumulative
		if sum > int64(total) {
			part = cumulative * int64(total) / sum
		}
		out[n] = int32(part - assigned)
		assigned = part
	}
	return out
}

// shrinkGrants lowers the grants at endpoints that have fewer slots or
// connections than were granted.
func (a *allocation) shrinkGrants() {
	for _, e := range a.endpoints {
		excess := -e.capacity()
		for _, g := range e.grants {
			excess += g.slots
		}
		for _, name := range a.entries {
			g := e.ensureGrant(name)
			reduction := min(excess, g.slots)
			if reduction > 0 {
				a.lowerGrant(e, name, reduction)
				excess -= reduction
			}
			a.table.setGrant(e, g, g.slots, min(g.links, g.slots*e.linksPerSlot()))
		}
	}
}

// lowerGrant takes slots from an entry's grant, and connections in proportion.
func (a *allocation) lowerGrant(e *Endpoint, name string, reduction int32) {
	g := e.ensureGrant(name)
	a.table.setGrant(e, g, g.slots-reduction, min(g.links, (g.slots-reduction)*e.linksPerSlot()))
	a.granted[name] -= reduction
}

// reclaim lowers the grants of entries with a surplus by the shortage of the
// others, as far as free slots and pending reductions don't cover it.
func (a *allocation) reclaim() {
	var shortage int32
	for _, name := range a.entries {
		shortage += max(0, a.desired[name]-a.granted[name])
	}
	for _, e := range a.endpoints {
		free, _ := e.freeCapacity()
		shortage -= max(0, free)
		for _, name := range a.entries {
			if g := e.ensureGrant(name); g.reductionPending() {
				shortage -= g.maxInUse() - g.slots
			}
		}
	}
	for ; shortage > 0; shortage-- {
		donor := a.largestSurplus()
		if donor == "" {
			return
		}
		a.lowerGrant(a.endpointToReclaim(donor), donor, 1)
	}
}

// largestSurplus returns the entry with the most slots above its desired number, or "".
func (a *allocation) largestSurplus() string {
	best, largest := "", int32(0)
	for _, name := range a.entries {
		if surplus := a.granted[name] - a.desired[name]; surplus > largest {
			best, largest = name, surplus
		}
	}
	return best
}

// largestDeficit returns the entry with the most slots below its desired number, or "".
func (a *allocation) largestDeficit() string {
	best, largest := "", int32(0)
	for _, name := range a.entries {
		if deficit := a.desired[name] - a.granted[name]; deficit > largest {
			best, largest = name, deficit
		}
	}
	return best
}

// endpointToReclaim returns the endpoint at which the donor gives up a slot. It
// prefers those in another data centre than the donor's and in that of the entry
// with the largest deficit, then those at which the donor has the most slots.
func (a *allocation) endpointToReclaim(donor string) *Endpoint {
	recipient := a.largestDeficit()
	var best *Endpoint
	var bestScore int32
	for _, e := range a.endpoints {
		g := e.ensureGrant(donor)
		if g.slots == 0 {
			continue
		}
		score := g.slots
		if !a.isLocal(donor, e) {
			score += localityWeight
		}
		if recipient != "" && a.isLocal(recipient, e) {
			score += localityWeight
		}
		if best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// localityWeight exceeds any number of slots of one endpoint.
const localityWeight = 1 << 20

// isLocal reports whether the entry is in the endpoint's data centre.
func (a *allocation) isLocal(name string, e *Endpoint) bool {
	return a.datacentres[name] != "" && a.datacentres[name] == e.Report.GetDatacentre()
}

// grantFreeSlots grants the free slots, first to entries with a deficit, then evenly.
func (a *allocation) grantFreeSlots() {
	freeSlots := make(map[*Endpoint]int32, len(a.endpoints))
	var totalFree int32
	for _, e := range a.endpoints {
		free, links := e.freeCapacity()
		freeSlots[e] = max(0, min(free, links))
		totalFree += freeSlots[e]
	}
	for ; totalFree > 0; totalFree-- {
		name := a.largestDeficit()
		if name == "" {
			name = a.fewestGranted()
		}
		e := a.bestEndpoint(name, freeSlots)
		a.raiseGrant(e, name)
		freeSlots[e]--
	}
	a.topUpLinks()
}

// fewestGranted returns the entry with the fewest slots.
func (a *allocation) fewestGranted() string {
	best := a.entries[0]
	for _, name := range a.entries[1:] {
		if a.granted[name] < a.granted[best] {
			best = name
		}
	}
	return best
}

// bestEndpoint returns an endpoint with a free slot for the entry. It prefers
// those of the entry's data centre, then those with many free slots and few of
// the entry's.
func (a *allocation) bestEndpoint(name string, freeSlots map[*Endpoint]int32) *Endpoint {
	var best *Endpoint
	var bestScore int32
	for _, e := range a.endpoints {
		if freeSlots[e] == 0 {
			continue
		}
		score := freeSlots[e] - 2*e.ensureGrant(name).slots
		if a.isLocal(name, e) {
			score += localityWeight
		}
		if best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// raiseGrant adds a slot to an entry's grant, with as many spare connections
// as the endpoint has left.
func (a *allocation) raiseGrant(e *Endpoint, name string) {
	g := e.ensureGrant(name)
	_, free := e.freeCapacity()
	available := free + g.maxLinksInUse()
	a.table.setGrant(e, g, g.slots+1, max(g.links+1, min((g.slots+1)*e.linksPerSlot(), available-a.reservedLinks(e, name))))
	a.granted[name]++
}

// reservedLinks returns the connections to keep for the endpoint's free slots, one
// each, when a slot is granted to the entry.
func (a *allocation) reservedLinks(e *Endpoint, name string) int32 {
	slots, _ := e.freeCapacity()
	if e.ensureGrant(name).maxInUse() > e.ensureGrant(name).slots {
		return max(0, slots)
	}
	return max(0, slots-1)
}

// topUpLinks grants the spare connections that have become free since the slots
// were granted.
func (a *allocation) topUpLinks() {
	for _, e := range a.endpoints {
		for _, name := range a.entries {
			g := e.ensureGrant(name)
			slots, free := e.freeCapacity()
			desiredLinks := g.slots * e.linksPerSlot()
			added := min(desiredLinks-g.links, free-max(0, slots)+g.maxLinksInUse()-g.links)
			if g.slots > 0 && added > 0 {
				a.table.setGrant(e, g, g.slots, g.links+added)
			}
		}
	}
}
