package discovery

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Costs of messages between instances on the simulated network.
const (
	simLinkBytesPerSecond = 250_000 // 2 Mbit/s, each way
	simLatency            = time.Millisecond
	simRetransmitTime     = 200 * time.Millisecond
	simMessageOverhead    = 110 // HTTP/2 frames, compressed headers, TCP and IP headers
	simConnectBytes       = 450 // handshake, settings and uncompressed headers of a new connection
	simReplicas           = 5
	simSettleTime         = 700 * time.Millisecond
	simElectionTime       = 300 * time.Millisecond
)

// simulation runs directories in virtual time. Each instance has a link of its own; a
// message takes its turn on both links. The consensus of the replicas is an oracle.
type simulation struct {
	now     time.Time
	start   time.Time
	random  *rand.Rand
	events  eventQueue
	order   int
	nodes   []*simNode
	byName  map[string]*simNode
	lossy   float64 // share of messages that have to be sent again
	cut     func(a, b *simNode) bool
	term    uint64
	leader  *simNode
	former  *simNode // the leader that the other replicas name until the next election
	members []string // replicas once the cell is formed
}

type simNode struct {
	sim       *simulation
	member    *egretmuxv1.Member
	seeds     []string
	directory *Directory
	life      int // incremented at each stop and start
	running   bool
	empty     bool     // its replica lost its disk and knows nothing of the cell
	saved     []string // addresses on its disk, as of its last stop
	wakeAt    time.Time
	upFree    time.Time
	downFree  time.Time
	connected map[string]int // life of the peer to which a connection is open
	sentBytes int
	seenBytes int
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].order < q[j].order)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// newSimulation returns n instances in six zones, of which the first six have a data
// folder. The seeds are one instance with a data folder and two without.
func newSimulation(n int, seed uint64) *simulation {
	start := time.Unix(1_700_000_000, 0)
	s := &simulation{now: start, start: start, random: rand.New(rand.NewPCG(seed, 1)), byName: make(map[string]*simNode)}
	for i := range n {
		m := &egretmuxv1.Member{
			Address: fmt.Sprintf("10.%d.%d.%d:7720", i%6, i/250, i%250), Control: fmt.Sprintf("10.%d.%d.%d:8166", i%6, i/250, i%250),
			Zone: fmt.Sprintf("zone-%d", i%6), Founding: true, Name: fmt.Sprintf("instance-%d", i),
		}
		if i < 6 {
			m.Replica, m.Empty = uint64(i+1), true
		}
		node := &simNode{sim: s, member: m}
		s.nodes = append(s.nodes, node)
		s.byName[m.GetAddress()] = node
	}
	seeds := []string{s.nodes[0].member.GetAddress(), s.nodes[n/2].member.GetAddress(), s.nodes[n-1].member.GetAddress()}
	for _, node := range s.nodes {
		node.seeds = seeds
	}
	return s
}

func (s *simulation) at(at time.Time, run func()) {
	s.order++
	heap.Push(&s.events, event{at: at, order: s.order, run: run})
}

func (s *simulation) after(d time.Duration, run func()) { s.at(s.now.Add(d), run) }

// runUntil runs events until a time from the start.
func (s *simulation) runUntil(t time.Duration) {
	until := s.start.Add(t)
	for len(s.events) > 0 && !s.events[0].at.After(until) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
}

// runFor runs events until a condition holds, and returns the time that this took. It
// gives up after limit.
func (s *simulation) runFor(limit time.Duration, condition func() bool) time.Duration {
	began := s.now
	for s.now.Sub(began) < limit {
		if condition() {
			return s.now.Sub(began)
		}
		s.runUntil(s.now.Sub(s.start) + 5*time.Millisecond)
	}
	return limit
}

// startAll starts all instances within 300 ms.
func (s *simulation) startAll() {
	for _, node := range s.nodes {
		s.after(time.Duration(s.random.Int64N(int64(300*time.Millisecond))), node.start)
	}
}

func (n *simNode) address() string { return n.member.GetAddress() }

func (n *simNode) start() {
	n.life++
	n.running = true
	n.connected = make(map[string]int)
	n.directory = New(func() *egretmuxv1.Member { return n.member }, n.seeds, rand.New(rand.NewPCG(n.sim.random.Uint64(), 2)), n.sim.now)
	n.directory.Remember(n.saved)
	n.pump()
	if n.seeds[0] == n.address() && n.member.GetFounding() && n.sim.members == nil {
		n.formWhenSettled()
	}
}

func (n *simNode) stop() {
	n.life++
	n.running = false
	if n.member.GetReplica() != 0 {
		n.saved, _ = n.directory.Addresses(0)
	}
	if n.sim.leader == n {
		n.sim.leader = nil
	}
}

// restart starts an instance again that lost all it knew.
func (n *simNode) restart() {
	m := proto.CloneOf(n.member)
	m.Founding = false
	n.member = m
	n.start()
}

// restartEmpty stops an instance and starts it again at once, without its memory and
// with a new replica on an empty disk. The other replicas still name the leader that it
// was.
func (n *simNode) restartEmpty() {
	if n.sim.leader == n {
		n.sim.former = n
	}
	n.stop()
	m := proto.CloneOf(n.member)
	m.Replica, m.Empty = n.sim.random.Uint64(), true
	n.member, n.empty, n.saved = m, true, nil
	n.restart()
}

// loseDisk gives an instance that is stopped a new replica on an empty disk.
func (n *simNode) loseDisk() {
	m := proto.CloneOf(n.member)
	m.Replica, m.Empty = n.sim.random.Uint64(), true
	n.member, n.empty, n.saved = m, true, nil
}

// formWhenSettled forms the cell once no new instance has appeared for a while.
func (n *simNode) formWhenSettled() {
	s, life := n.sim, n.life
	s.after(100*time.Millisecond, func() {
		if n.life != life || s.members != nil {
			return
		}
		if n.directory.SinceLastDiscovery(s.now) <= simSettleTime {
			n.formWhenSettled()
			return
		}
		for _, m := range append(n.directory.Members(), n.member) {
			if m.GetReplica() != 0 && len(s.members) < simReplicas {
				s.members = append(s.members, m.GetAddress())
			}
		}
		n.directory.MarkFormed()
		s.after(simElectionTime, func() { s.elect(s.members[1]) })
	})
}

// elect makes a replica the leader of a new term. The other replicas learn it from the
// first heartbeat.
func (s *simulation) elect(address string) {
	s.term++
	s.leader, s.former = s.byName[address], nil
	for _, a := range s.members {
		node := s.byName[a]
		if node.running {
			s.after(2*simLatency, node.pump)
		}
	}
	s.leader.pump()
}

func (n *simNode) local() Local {
	s := n.sim
	if s.members == nil || !slices.Contains(s.members, n.address()) || n.empty {
		return Local{}
	}
	l := Local{Replicas: s.members, Formed: true}
	if s.former != nil {
		l.Leader, l.Term = s.former.address(), s.term
	}
	if s.leader != nil && (s.cut == nil || n == s.leader || !s.cut(n, s.leader)) {
		l.Leader, l.Term, l.Leads = s.leader.address(), s.term, s.leader == n
	}
	return l
}

// pump makes the calls that are due and plans the next ones.
func (n *simNode) pump() {
	if !n.running {
		return
	}
	s := n.sim
	n.directory.SetLocal(n.local(), s.now)
	calls, next := n.directory.Calls(s.now)
	for _, call := range calls {
		n.send(call)
	}
	if next.Before(s.now) {
		next = s.now
	}
	n.wakeAt = next
	life := n.life
	s.at(next, func() {
		if n.life == life && n.wakeAt.Equal(next) {
			n.wakeAt = time.Time{}
			n.pump()
		}
	})
}

// pumpIfWoken does what a driver does on the wake channel.
func (n *simNode) pumpIfWoken() {
	select {
	case <-n.directory.Wake():
		n.pump()
	default:
	}
}

// send makes a call over the simulated network.
func (n *simNode) send(call Call) {
	s, began, life := n.sim, n.sim.now, n.life
	answered := false
	finish := func(announce *egretmuxv1.AnnounceMemberResponse, noticed *egretmuxv1.AnnounceLeaderResponse) {
		if answered || n.life != life {
			return
		}
		answered = true
		switch {
		case call.Notice != nil:
			n.directory.NoticeAnswered(call, noticed, s.now)
		case announce != nil:
			n.directory.Answered(call, announce, began, s.now)
		default:
			n.directory.Failed(call, s.now)
		}
		n.pumpIfWoken()
	}
	s.after(call.Timeout, func() { finish(nil, nil) })
	peer := s.byName[call.Address]
	size := proto.Size(call.Announce) + proto.Size(call.Notice)
	if peer == nil {
		return
	}
	if peer.life == 0 { // not listening yet
		s.after(2*simLatency, func() { finish(nil, nil) })
		return
	}
	if n.connected[call.Address] != peer.life {
		size += simConnectBytes
		if peer.running {
			n.connected[call.Address] = peer.life
		}
	}
	s.transmit(n, peer, size, func() {
		if !peer.running {
			return // no answer, as from a machine without power
		}
		var announce *egretmuxv1.AnnounceMemberResponse
		var noticed *egretmuxv1.AnnounceLeaderResponse
		if call.Notice != nil {
			noticed = peer.directory.HandleNotice(proto.CloneOf(call.Notice), s.now)
		} else {
			announce = peer.directory.HandleAnnouncement(proto.CloneOf(call.Announce), s.now)
		}
		peer.pumpIfWoken()
		s.transmit(peer, n, proto.Size(announce)+proto.Size(noticed), func() { finish(announce, noticed) })
	})
}

// transmit delivers a message after its turn on the links of both ends.
func (s *simulation) transmit(from, to *simNode, size int, deliver func()) {
	size += simMessageOverhead
	if s.cut != nil && s.cut(from, to) {
		return
	}
	delay := simLatency
	for retransmit := simRetransmitTime; s.random.Float64() < s.lossy; retransmit *= 2 {
		delay += retransmit
	}
	took := time.Duration(size) * time.Second / simLinkBytesPerSecond
	from.sentBytes += size
	from.upFree = latest(from.upFree, s.now).Add(took)
	s.at(from.upFree.Add(delay), func() {
		to.seenBytes += size
		to.downFree = latest(to.downFree, s.now).Add(took)
		s.at(to.downFree, deliver)
	})
}

// running returns the running instances.
func (s *simulation) running() []*simNode {
	return slices.DeleteFunc(slices.Clone(s.nodes), func(n *simNode) bool { return !n.running })
}

// allKnowLeader reports whether every running instance names the present leader.
func (s *simulation) allKnowLeader() bool {
	return s.leader != nil && !slices.ContainsFunc(s.running(), func(n *simNode) bool {
		address, _ := n.directory.Leader()
		return address != s.leader.address()
	})
}

// allInContact reports whether the leader has answered every other running instance in
// its term, and knows all of them.
func (s *simulation) allInContact() bool {
	if s.leader == nil {
		return false
	}
	running := s.running()
	for _, n := range running {
		if n != s.leader && !n.directory.InContact(s.now) {
			return false
		}
	}
	return len(s.leader.directory.Live(s.now)) >= len(running)-1
}

func (s *simulation) clearTraffic() {
	for _, n := range s.nodes {
		n.sentBytes, n.seenBytes = 0, 0
	}
}

// meanTraffic returns the bytes that an instance sends a second on average.
func (s *simulation) meanTraffic(over time.Duration) float64 {
	total := 0
	for _, n := range s.nodes {
		total += n.sentBytes
	}
	return float64(total) / float64(len(s.nodes)) / over.Seconds()
}

// busiestLink returns the largest share of a link that was in use, the leader's left
// out.
func (s *simulation) busiestLink(over time.Duration) float64 {
	most := 0
	for _, n := range s.running() {
		if n != s.leader {
			most = max(most, n.sentBytes, n.seenBytes)
		}
	}
	return float64(most) / over.Seconds() / simLinkBytesPerSecond
}
