package route

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/endpoint"
)

const (
	modelLease   = 8 * time.Second
	modelRequest = 30 * time.Second // time limit of a request
	modelSlots   = 4
	modelLinks   = 13
)

// fakeLinks counts the connections of an entry of the model.
type fakeLinks struct {
	limit, open map[string]int32
	slotsInUse  func(string) int32
}

func (f *fakeLinks) SetLimit(a string, n int32) {
	f.limit[a] = n // connections beyond it are closed later
	if n == 0 {
		f.open[a] = min(f.open[a], f.slotsInUse(a))
	}
}
func (f *fakeLinks) OpenCount(a string) int32 { return f.open[a] }

type requestInFlight struct {
	slot  *Slot
	since time.Time
}

// process is one incarnation of an entry.
type process struct {
	name          string
	incarnation   int
	table         *Table
	links         *fakeLinks
	leaseEnd      time.Time
	inFlight      []requestInFlight
	sendFull      bool
	pendingStates []*egretmuxv1.EndpointState // answer to a watch, in transit
	version       uint64
	term          uint64
	dead          bool
}

type report struct {
	from     *process
	holdings []*egretmuxv1.GrantHolding
	full     bool
	sentAt   time.Time
}

type modelSession struct {
	incarnation int
	confirmed   time.Time
	complete    bool
}

// grantsModel runs the leader's and the entries' tables against lost, late and
// reordered messages, restarts, expired leases and leader changes.
type grantsModel struct {
	now             time.Time
	term            uint64
	started         time.Time
	leader          *endpoint.Table
	deposed         *endpoint.Table // former leader, which still answers watches
	sessions        map[string]*modelSession
	departed        map[string]time.Time     // entries of ended processes, with the time when their requests have ended
	deposedSessions map[string]*modelSession // sessions of the deposed leader
	procs           []*process               // running processes, in the order of their names
	dead            []*process
	reports         []*report
}

func entryName(name string, incarnation int) string { return fmt.Sprintf("%s/%d", name, incarnation) }

func modelEndpoints() []string { return []string{"e0", "e1", "e2"} }

func newGrantsModel() *grantsModel {
	m := &grantsModel{now: time.Unix(1000, 0)}
	for i := range 3 {
		m.procs = append(m.procs, m.newProcess(fmt.Sprintf("i%d", i), 1))
	}
	m.newLeader()
	return m
}

func (m *grantsModel) newProcess(name string, incarnation int) *process {
	p := &process{name: name, incarnation: incarnation, sendFull: true, links: &fakeLinks{limit: map[string]int32{}, open: map[string]int32{}}}
	p.links.slotsInUse = func(a string) int32 {
		if e := p.table.byID[a]; e != nil {
			return e.busy
		}
		return 0
	}
	p.table = NewTable(Config{MaxQueued: 100, Links: p.links, LeaseValid: func() bool { return m.now.Before(p.leaseEnd) }})
	return p
}

func (m *grantsModel) newLeader() {
	m.term++
	m.deposed = m.leader
	m.leader = endpoint.NewTable(time.Hour)
	m.leader.Term, m.leader.Recovering = m.term, true
	m.started = m.now
	m.deposedSessions = m.sessions
	m.sessions = make(map[string]*modelSession)
	m.departed = make(map[string]time.Time)
}

func (m *grantsModel) announce(t *rapid.T) {
	id := rapid.SampledFrom(modelEndpoints()).Draw(t, "endpoint")
	m.leader.Announce(&egretmuxv1.EndpointReport{Id: id, Service: "s", Address: id, Slots: modelSlots, Links: modelLinks, Epoch: 1, Leaving: rapid.IntRange(0, 4).Draw(t, "leaving") == 0, TellsBusy: rapid.Bool().Draw(t, "tells"), Busy: m.slotsInUse(id)}, m.now)
}

// slotsInUse returns the number of requests that the endpoint works on.
func (m *grantsModel) slotsInUse(id string) int32 {
	var n int32
	for _, p := range append(slices.Clone(m.procs), m.dead...) {
		for _, u := range p.inFlight {
			if u.slot.Endpoint.ID == id {
				n++
			}
		}
	}
	return n
}

func (m *grantsModel) draw(t *rapid.T) *process { return rapid.SampledFrom(m.procs).Draw(t, "process") }

func (m *grantsModel) acquire(t *rapid.T) {
	p := m.draw(t)
	if !m.now.Before(p.leaseEnd) {
		return
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for range rapid.IntRange(1, 6).Draw(t, "requests") {
		slot, err := p.table.Acquire(cancelled, Request{Service: "s", Customer: "c", AtOnce: true, Deadline: time.Now().Add(time.Hour)})
		if err == nil {
			p.inFlight = append(p.inFlight, requestInFlight{slot, m.now})
			a := slot.Endpoint.Address
			p.links.open[a] = max(p.links.open[a], slot.Endpoint.busy)
		}
	}
}

func (m *grantsModel) openLinks(t *rapid.T) {
	p := m.draw(t)
	a := rapid.SampledFrom(modelEndpoints()).Draw(t, "endpoint")
	p.links.open[a] = max(p.links.open[a], p.links.limit[a])
}

// endRequest ends a request and closes its connection if it exceeds the limit.
func (p *process) endRequest(request requestInFlight) {
	request.slot.Release(Neutral)
	if a := request.slot.Endpoint.Address; p.links.limit[a] == 0 {
		p.links.SetLimit(a, 0)
	}
}

func (m *grantsModel) closeLinks(t *rapid.T) {
	p := m.draw(t)
	for a, n := range p.links.open {
		p.links.open[a] = min(n, p.links.limit[a])
	}
}

func (m *grantsModel) release(t *rapid.T) {
	all := append(slices.Clone(m.procs), m.dead...)
	p := rapid.SampledFrom(all).Draw(t, "process")
	if len(p.inFlight) > 0 {
		i := rapid.IntRange(0, len(p.inFlight)-1).Draw(t, "request")
		p.endRequest(p.inFlight[i])
		p.inFlight = slices.Delete(p.inFlight, i, i+1)
	}
}

func (m *grantsModel) report(t *rapid.T) {
	p := m.draw(t)
	m.reports = append(m.reports, &report{from: p, holdings: p.table.Holdings(p.sendFull), full: p.sendFull, sentAt: m.now})
	p.sendFull = false
	if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
		m.reports = m.reports[:len(m.reports)-1]
		p.sendFull = true
	}
}

func (m *grantsModel) deliverReport(t *rapid.T) {
	if len(m.reports) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.reports)-1).Draw(t, "report")
	r := m.reports[i]
	m.reports = slices.Delete(m.reports, i, i+1)
	m.receiveReport(r)
	if rapid.IntRange(0, 5).Draw(t, "answer lost") == 0 {
		r.from.sendFull = true
	} else if until := r.sentAt.Add(modelLease); until.After(r.from.leaseEnd) {
		r.from.leaseEnd = until
	}
}

func (m *grantsModel) receiveReport(r *report) {
	s := m.sessions[r.from.name]
	if s != nil && r.from.incarnation < s.incarnation || m.now.Sub(r.sentAt) > 2*time.Second {
		r.from.sendFull = true // timed out
		return
	}
	if s == nil || s.incarnation != r.from.incarnation {
		if s != nil {
			m.leader.RetireEntry(entryName(r.from.name, s.incarnation))
			m.departed[entryName(r.from.name, s.incarnation)] = s.confirmed.Add(modelLease + modelRequest)
		}
		s = &modelSession{incarnation: r.from.incarnation}
		m.sessions[r.from.name] = s
	}
	s.confirmed = m.now
	s.complete = s.complete || r.full
	for _, h := range r.holdings {
		m.leader.RecordHolding(entryName(r.from.name, r.from.incarnation), h)
	}
	m.leader.AddEntry(entryName(r.from.name, r.from.incarnation), "")
	m.leader.Rebalance()
	if !s.complete {
		r.from.sendFull = true
	}
}

func (m *grantsModel) watch(t *rapid.T) {
	p := m.draw(t)
	if p.pendingStates != nil {
		return
	}
	if m.now.Sub(m.started) > modelLease/2 {
		m.deposed = nil // has stepped down by check-quorum
	}
	if m.deposed != nil && rapid.IntRange(0, 3).Draw(t, "deposed") == 0 {
		m.requestStates(p, m.deposed, m.term-1)
		return
	}
	m.requestStates(p, m.leader, m.term)
}

func (m *grantsModel) requestStates(p *process, leader *endpoint.Table, term uint64) {
	sessions := m.sessions
	if term != m.term {
		sessions = m.deposedSessions
	}
	if p.term != term {
		p.version = 0
	}
	if s := sessions[p.name]; s == nil || s.incarnation != p.incarnation || m.now.Sub(s.confirmed) > modelLease {
		return
	}
	p.pendingStates, p.version, p.term = leader.StatesSince(entryName(p.name, p.incarnation), p.version), leader.Version(), term
}

func (m *grantsModel) deliverWatch(t *rapid.T) {
	p := m.draw(t)
	if p.pendingStates != nil {
		p.table.Update(p.pendingStates)
		p.pendingStates = nil
	}
}

func (m *grantsModel) upkeep(*rapid.T) {
	if m.leader.Recovering {
		m.recoverGrants()
	}
	m.leader.Expire(m.now)
	for name, s := range m.sessions {
		if m.now.Sub(s.confirmed) > modelLease+modelRequest {
			m.leader.RemoveEntry(entryName(name, s.incarnation))
			delete(m.sessions, name)
		}
	}
	for name, ended := range m.departed {
		if m.now.After(ended) {
			m.leader.RemoveEntry(name)
			delete(m.departed, name)
		}
	}
	m.leader.Rebalance()
	if m.deposed != nil {
		m.deposed.Rebalance()
	}
}

func (m *grantsModel) recoverGrants() {
	allReported := true
	for _, p := range m.procs {
		s := m.sessions[p.name]
		allReported = allReported && s != nil && s.complete
	}
	leasesEnd := m.started.Add(modelLease)
	switch {
	case m.term == 1:
		m.leader.EndRecovery(m.now, time.Time{})
	case allReported:
		m.leader.EndRecovery(m.now, m.now.Add(modelRequest))
	case m.now.Sub(m.started) > 2*time.Second:
		m.leader.EndRecovery(leasesEnd, leasesEnd.Add(modelRequest))
	}
}

// settle exchanges reports and grants without faults for all processes but at
// most one.
func (m *grantsModel) settle(t *rapid.T) {
	isolated := rapid.IntRange(0, len(m.procs)).Draw(t, "isolated")
	for range 4 {
		for i, p := range m.procs {
			if i == isolated {
				continue
			}
			r := &report{from: p, holdings: p.table.Holdings(p.sendFull), full: p.sendFull, sentAt: m.now}
			p.sendFull = false
			m.receiveReport(r)
			p.leaseEnd = m.now.Add(modelLease)
			if p.pendingStates == nil {
				m.requestStates(p, m.leader, m.term)
			}
			p.table.Update(p.pendingStates)
			p.pendingStates = nil
		}
		m.upkeep(t)
	}
}

func (m *grantsModel) advance(t *rapid.T) {
	m.advanceBy(rapid.IntRange(1, 4000).Draw(t, "ms"))
}

// advanceLong advances the time until leases and grants of silent processes expire.
func (m *grantsModel) advanceLong(t *rapid.T) {
	for range rapid.IntRange(5, 45).Draw(t, "s") {
		m.advanceBy(1000)
		m.upkeep(t)
	}
}

func (m *grantsModel) advanceBy(ms int) {
	m.now = m.now.Add(time.Duration(ms) * time.Millisecond)
	for _, p := range append(slices.Clone(m.procs), m.dead...) {
		p.inFlight = slices.DeleteFunc(p.inFlight, func(u requestInFlight) bool {
			if m.now.Sub(u.since) < modelRequest {
				return false
			}
			p.endRequest(u)
			return true
		})
		if !p.dead && m.now.After(p.leaseEnd) {
			if m.now.Sub(p.leaseEnd) > modelRequest {
				clear(p.links.open)
			}
			p.table.Holdings(false) // the periodic report, which is lost
			p.sendFull = true
			p.pendingStates = nil // the watch has timed out before it would arrive
		}
	}
}

func (m *grantsModel) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(m.procs)-1).Draw(t, "process")
	p := m.procs[i]
	p.dead = true
	m.dead = append(m.dead, p)
	m.procs[i] = m.newProcess(p.name, p.incarnation+1)
}

func (m *grantsModel) check(t *rapid.T) {
	slots, links := make(map[string]int32), make(map[string]int32)
	for _, p := range m.procs {
		for id, e := range p.table.byID {
			slots[id] += e.busy
			links[id] += p.links.open[id]
			if m.now.Before(p.leaseEnd) {
				slots[id] += max(0, e.slots-e.busy)
				links[id] += max(0, e.links-p.links.open[id])
			}
		}
	}
	for _, p := range m.dead {
		for _, u := range p.inFlight {
			slots[u.slot.Endpoint.ID]++
		}
	}
	for id, n := range slots {
		if n > modelSlots || links[id] > modelLinks {
			t.Fatalf("endpoint %s: %d slots, %d connections may be in use", id, n, links[id])
		}
	}
}

func TestModelGrantsAreNeverOversold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newGrantsModel()
		rare := func(f func(*rapid.T)) func(*rapid.T) {
			return func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					f(t)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"announce": m.announce, "acquire": m.acquire, "release": m.release, "links": m.openLinks, "close links": m.closeLinks,
			"report": m.report, "report2": m.report, "deliver report": m.deliverReport, "deliver report2": m.deliverReport,
			"watch": m.watch, "watch2": m.watch, "deliver watch": m.deliverWatch, "deliver watch2": m.deliverWatch, "upkeep": m.upkeep,
			"advance": rare(m.advance), "settle": m.settle, "advance long": rare(m.advanceLong), "restart": rare(m.restart), "leader": rare(func(*rapid.T) { m.newLeader() }),
			"": m.check,
		})
	})
}
