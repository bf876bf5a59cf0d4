package endpoint

import "sort"

const (
	// headroomDivisor gives an entry an eighth more slots than its demand.
	headroomDivisor = 8
	// floorDivisor keeps a quarter of an equal part at an entry without demand.
	floorDivisor = 4
)

// share is the division of one service's slots among the entries.
type share struct {
	table     *Table
	entries   []string
	endpoints []*Endpoint
	place     map[string]string // datacentre of each entry; empty: unknown
	total     int32             // slots that can be granted
	current   map[string]int32  // slots granted, by entry
	need      map[string]int32  // slots due, by entry
}

// Rebalance moves the targets towards the entries' demand. It never lets the
// sum of what entries may be using exceed an endpoint's slots or connections.
// It returns whether any target changed.
func (t *Table) Rebalance() bool {
	entries := t.members()
	if len(entries) == 0 || t.Recovering {
		return false
	}
	before := t.version
	services := make(map[string][]*Endpoint)
	for _, id := range t.ids() {
		e := t.byID[id]
		if !t.sealed(e) {
			continue
		}
		if e.Leaving {
			t.withdraw(e)
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
		s := newShare(t, entries, services[name], name)
		s.shrink()
		s.reclaim()
		s.give()
	}
	return t.version != before
}

// withdraw takes all grants on a leaving endpoint back.
func (t *Table) withdraw(e *Endpoint) {
	for _, g := range e.grants {
		t.set(e, g, 0, 0)
	}
}

func newShare(t *Table, entries []string, endpoints []*Endpoint, service string) *share {
	s := &share{table: t, entries: entries, endpoints: endpoints, current: make(map[string]int32), place: t.places}
	for _, e := range endpoints {
		s.total += max(0, e.capacity()-e.foreign(t))
		for _, name := range entries {
			s.current[name] += e.grant(name).target
		}
	}
	s.need = s.due(service)
	return s
}

// capacity returns the slots that have a connection each.
func (e *Endpoint) capacity() int32 { return min(e.Report.GetSlots(), e.Report.GetLinks()) }

// linksPerSlot returns the connections that come with each slot: one to use
// and the others to replace silent ones.
func (e *Endpoint) linksPerSlot() int32 { return e.Report.GetLinks() / max(1, e.capacity()) }

// foreign returns the slots that may be in use by others than the members.
func (e *Endpoint) foreign(t *Table) int32 {
	var n int32
	for name, g := range e.grants {
		if en := t.entries[name]; en == nil || !en.member {
			n += g.possible()
		}
	}
	return n
}

func (e *Endpoint) free() (slots, links int32) {
	slots, links = e.capacity(), e.Report.GetLinks()
	for _, g := range e.grants {
		slots -= g.possible()
		links -= g.possibleLinks()
	}
	return slots, links
}

// due divides the slots: one for each entry, so that it can serve at once and
// without the leader, then by demand, and what is left as headroom.
func (s *share) due(service string) map[string]int32 {
	n := int32(len(s.entries))
	first, demand, extra := make(map[string]int32, n), make(map[string]int32, n), make(map[string]int32, n)
	for _, name := range s.entries {
		d := s.table.entries[name].demand[service]
		first[name] = 1
		demand[name] = max(0, d-1)
		extra[name] = max(0, s.total/(floorDivisor*n)-d)
		if d > 0 {
			extra[name] = max(extra[name], 1, d/headroomDivisor)
		}
	}
	out, left := make(map[string]int32, n), s.total
	for _, wants := range []map[string]int32{first, demand, extra} {
		for name, slots := range divide(left, wants) {
			out[name] += slots
		}
		left = s.total
		for _, slots := range out {
			left -= slots
		}
	}
	return out
}

// divide gives each entry what it wants, or parts in proportion to that if
// there is not enough, so that requests wait about equally long at all entries.
func divide(total int32, wants map[string]int32) map[string]int32 {
	names := make([]string, 0, len(wants))
	var sum int64
	for n, w := range wants {
		names = append(names, n)
		sum += int64(w)
	}
	sort.Strings(names)
	out := make(map[string]int32, len(wants))
	var given, cumulated int64
	for _, n := range names {
		cumulated += int64(wants[n])
		part := cumulated
		if sum > int64(total) {
			part = cumulated * int64(total) / sum
		}
		out[n] = int32(part - given)
		given = part
	}
	return out
}

// shrink lowers targets where an endpoint has fewer slots or connections than
// were granted.
func (s *share) shrink() {
	for _, e := range s.endpoints {
		over := -e.capacity()
		for _, g := range e.grants {
			over += g.target
		}
		for _, name := range s.entries {
			g := e.grant(name)
			less := min(over, g.target)
			if less > 0 {
				s.lower(e, name, less)
				over -= less
			}
			s.table.set(e, g, g.target, min(g.links, g.target*e.linksPerSlot()))
		}
	}
}

func (s *share) lower(e *Endpoint, name string, less int32) {
	g := e.grant(name)
	s.table.set(e, g, g.target-less, min(g.links, (g.target-less)*e.linksPerSlot()))
	s.current[name] -= less
}

// reclaim lowers the targets of entries that have more than their part when
// others lack slots and nothing free or on its way back covers it.
func (s *share) reclaim() {
	var lack int32
	for _, name := range s.entries {
		lack += max(0, s.need[name]-s.current[name])
	}
	for _, e := range s.endpoints {
		free, _ := e.free()
		lack -= max(0, free)
		for _, name := range s.entries {
			if g := e.grant(name); g.pending() {
				lack -= g.possible() - g.target
			}
		}
	}
	for ; lack > 0; lack-- {
		donor := s.mostAbove()
		if donor == "" {
			return
		}
		s.lower(s.leastUseful(donor), donor, 1)
	}
}

// mostAbove returns the entry with the most slots above its part, or "".
func (s *share) mostAbove() string {
	best, most := "", int32(0)
	for _, name := range s.entries {
		if above := s.current[name] - s.need[name]; above > most {
			best, most = name, above
		}
	}
	return best
}

// mostBelow returns the entry that lacks the most slots, or "".
func (s *share) mostBelow() string {
	best, most := "", int32(0)
	for _, name := range s.entries {
		if below := s.need[name] - s.current[name]; below > most {
			best, most = name, below
		}
	}
	return best
}

// leastUseful returns the endpoint whose slot the donor gives up: far from the
// donor, near to the entry that lacks most, and where the donor has the most.
func (s *share) leastUseful(donor string) *Endpoint {
	taker := s.mostBelow()
	var best *Endpoint
	var bestScore int32
	for _, e := range s.endpoints {
		g := e.grant(donor)
		if g.target == 0 {
			continue
		}
		score := g.target
		if !s.near(donor, e) {
			score += farPreference
		}
		if taker != "" && s.near(taker, e) {
			score += farPreference
		}
		if best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// farPreference outweighs any number of slots of one endpoint.
const farPreference = 1 << 20

func (s *share) near(name string, e *Endpoint) bool {
	return s.place[name] != "" && s.place[name] == e.Report.GetDatacentre()
}

// give hands out the free slots: first to entries that lack some, then evenly.
func (s *share) give() {
	left := make(map[*Endpoint]int32, len(s.endpoints))
	var sum int32
	for _, e := range s.endpoints {
		free, links := e.free()
		left[e] = max(0, min(free, links))
		sum += left[e]
	}
	for ; sum > 0; sum-- {
		name := s.mostBelow()
		if name == "" {
			name = s.fewest()
		}
		e := s.bestFor(name, left)
		s.raise(e, name)
		left[e]--
	}
	s.topUpLinks()
}

func (s *share) fewest() string {
	best := s.entries[0]
	for _, name := range s.entries[1:] {
		if s.current[name] < s.current[best] {
			best = name
		}
	}
	return best
}

// bestFor returns the endpoint with a free slot that is near and where the
// entry has the fewest slots.
func (s *share) bestFor(name string, left map[*Endpoint]int32) *Endpoint {
	var best *Endpoint
	var bestScore int32
	for _, e := range s.endpoints {
		if left[e] == 0 {
			continue
		}
		score := left[e] - 2*e.grant(name).target
		if s.near(name, e) {
			score += farPreference
		}
		if best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

func (s *share) raise(e *Endpoint, name string) {
	g := e.grant(name)
	_, free := e.free()
	room := free + g.possibleLinks()
	s.table.set(e, g, g.target+1, max(g.links+1, min((g.target+1)*e.linksPerSlot(), room-s.reserved(e, name))))
	s.current[name]++
}

// reserved keeps one connection for each slot of the endpoint that is still free.
func (s *share) reserved(e *Endpoint, name string) int32 {
	slots, _ := e.free()
	if e.grant(name).possible() > e.grant(name).target {
		return max(0, slots)
	}
	return max(0, slots-1)
}

// topUpLinks gives the connections that came free since the slot was granted.
func (s *share) topUpLinks() {
	for _, e := range s.endpoints {
		for _, name := range s.entries {
			g := e.grant(name)
			slots, free := e.free()
			due := g.target * e.linksPerSlot()
			more := min(due-g.links, free-max(0, slots)+g.possibleLinks()-g.links)
			if g.target > 0 && more > 0 {
				s.table.set(e, g, g.target, g.links+more)
			}
		}
	}
}
