package consensus

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/core"
	"github.com/egretmux/egretmux/internal/consensus/wal"
	"github.com/egretmux/egretmux/internal/standin"
)

// testT is what *testing.T and *rapid.T have in common.
type testT interface {
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
	Helper()
}

const (
	benchElectionTicks = 10
	benchSnapshots     = 12 // entries between snapshots
	benchKept          = 4
	benchChunk         = 64
	benchSegment       = 600 // bytes
	maxQueued          = 3000
)

// list is a state machine that appends each change once and remembers its answer.
type list struct {
	Changes []string
	Answers map[string]int
	bench   *bench
	applied uint64
}

func (l *list) Apply(index uint64, command []byte) any {
	l.bench.oracle.applied(l.bench.t, index, string(command))
	if index <= l.applied {
		l.bench.t.Fatalf("index %d applied after %d", index, l.applied)
	}
	l.applied = index
	change := string(command)
	if _, known := l.Answers[change]; !known {
		l.Answers[change] = len(l.Changes)
		l.Changes = append(l.Changes, change)
	}
	l.bench.oracle.prefix(l.bench.t, l.Changes)
	return l.Answers[change]
}

func (l *list) Capture() func(io.Writer) error {
	data, err := json.Marshal(l.Changes)
	return func(w io.Writer) error {
		if err != nil {
			return err
		}
		_, err = w.Write(data)
		return err
	}
}

func (l *list) Restore(data []byte) error {
	tally.installs++
	l.Changes = nil
	l.Answers = make(map[string]int)
	if err := json.Unmarshal(data, &l.Changes); err != nil {
		return err
	}
	for i, c := range l.Changes {
		l.Answers[c] = i
	}
	l.bench.oracle.prefix(l.bench.t, l.Changes)
	return nil
}

// oracle is the history that every replica must agree with.
type oracle struct {
	commands map[uint64]string // by log index
	history  []string          // effects, in order
	answers  map[string]int    // acknowledged
	leaders  map[uint64]uint64 // by term
	commit   uint64            // highest seen
}

func (o *oracle) applied(t testT, index uint64, command string) {
	if old, known := o.commands[index]; known && old != command {
		t.Fatalf("index %d holds %q on one replica and %q on another", index, old, command)
	}
	o.commands[index] = command
}

// prefix checks that a replica's changes are a part of the one history.
func (o *oracle) prefix(t testT, changes []string) {
	n := min(len(changes), len(o.history))
	if n > 0 && changes[n-1] != o.history[n-1] {
		t.Fatalf("change %d is %q on one replica and %q on another", n-1, changes[n-1], o.history[n-1])
	}
	if len(changes) > n {
		o.history = append(o.history, changes[n:]...)
	}
}

func (o *oracle) acknowledged(t testT, change string, answer int) {
	if old, known := o.answers[change]; known && old != answer {
		t.Fatalf("change %s was answered %d first and %d later", change, old, answer)
	}
	o.answers[change] = answer
}

type pendingChange struct {
	change string
	done   chan result
}

type pendingReadCheck struct {
	slot *slot
	node *Node
	must []string // acknowledged before the read was asked for
	done chan error
}

// slot is one instance: a disk and the replica that runs on it, if any.
type slot struct {
	number   int
	disk     *standin.Disk
	node     *Node // nil when down
	machine  *list
	id       uint64
	paused   bool
	rate     int // tenths of a tick in each tick of the bench
	credit   int
	dying    bool  // the machine dies at a disk operation to come
	failure  error // why the replica stopped by itself
	observed core.Status
}

func (s *slot) instance() string { return fmt.Sprintf("i%d", s.number) }

type packet struct {
	from, to uint64
	message  *egretmuxv1.Message
}

// bench runs replicas step by step, without goroutines or clock.
type bench struct {
	t       testT
	slots   []*slot
	queue   []packet
	blocked map[[2]int]bool // from slot, to slot
	oracle  oracle
	changes []pendingChange
	reads   []pendingReadCheck
	rng     *rand.Rand
	served  int // reads answered
}

func newBench(t testT, voters int, seed uint64) *bench {
	b := &bench{t: t, blocked: make(map[[2]int]bool), rng: rand.New(rand.NewPCG(seed, seed))}
	b.oracle = oracle{commands: make(map[uint64]string), answers: make(map[string]int), leaders: make(map[uint64]uint64)}
	members := &egretmuxv1.Membership{}
	var first *wal.Log
	var recovered *wal.Recovered
	for i := range voters {
		s := &slot{number: i, disk: standin.NewDisk(), rate: 10}
		b.slots = append(b.slots, s)
		id, err := wal.Identity(s.disk, b.rng.Uint64)
		b.must(err)
		s.id = id
		log, rec, err := wal.Open(s.disk)
		b.must(err)
		if i == 0 {
			first, recovered = log, rec
		}
		members.Replicas = append(members.Replicas, &egretmuxv1.Replica{Id: id, Instance: s.instance()})
	}
	b.must(Bootstrap(first, recovered, members))
	for _, s := range b.slots {
		b.start(s)
	}
	return b
}

func (b *bench) must(err error) {
	if err != nil {
		b.t.Helper()
		b.t.Fatalf("%+v", err)
	}
}

// start runs the replica of a slot that is down. A disk that fails keeps it down.
func (b *bench) start(s *slot) {
	if s.node != nil {
		return
	}
	if s.dying {
		b.crash(s)
	}
	s.failure = nil
	id, err := wal.Identity(s.disk, b.rng.Uint64)
	if err != nil {
		s.failure = err
		return
	}
	s.id = id
	log, rec, err := wal.Open(s.disk)
	if err != nil {
		s.failure = err
		return
	}
	log.SetSegmentBytes(benchSegment)
	s.machine = &list{bench: b, Answers: make(map[string]int), applied: rec.Snapshot.GetIndex()}
	node, err := NewNode(Config{
		ID: s.id, Log: log, Recovered: rec, Machine: s.machine, Transport: b.transport(s),
		ElectionTicks: benchElectionTicks, HeartbeatTicks: 1, SnapshotEntries: benchSnapshots,
		KeptEntries: benchKept, ChunkBytes: benchChunk, Logger: zerolog.Nop(), Rand: b.rng.IntN,
	})
	b.must(err)
	s.node = node
	b.process(s)
}

// stop ends the process; its disk keeps what was written, synced or not.
func (b *bench) stop(s *slot) {
	if s.node == nil {
		return
	}
	s.node.failAll(ErrStopped)
	s.node = nil
	s.paused = false
}

type sendFunc func(*egretmuxv1.Replica, []*egretmuxv1.Message)

func (f sendFunc) Send(to *egretmuxv1.Replica, m []*egretmuxv1.Message) { f(to, m) }

func (b *bench) transport(s *slot) Transport {
	return sendFunc(func(to *egretmuxv1.Replica, messages []*egretmuxv1.Message) {
		for _, m := range messages {
			b.queue = append(b.queue, packet{s.id, to.GetId(), proto.Clone(m).(*egretmuxv1.Message)})
		}
		if len(b.queue) > maxQueued {
			b.queue = b.queue[len(b.queue)-maxQueued:]
		}
	})
}

// process carries out what a replica has to do and checks the outcome.
func (b *bench) process(s *slot) {
	if s.node == nil {
		return
	}
	err := s.node.process()
	for err == nil && s.node.snapping {
		tally.snapshots++
		s.node.snapshotDone(<-s.node.snapDone)
		err = s.node.process()
	}
	if err != nil {
		tally.failures++
		s.failure = err
		b.stop(s)
		b.collect()
		return
	}
	led := s.observed.Role == core.Leader
	s.observed = s.node.core.Status()
	b.oracle.commit = max(b.oracle.commit, s.observed.Commit)
	if s.observed.Role == core.Leader {
		if old, known := b.oracle.leaders[s.observed.Term]; known && old != s.id {
			b.t.Fatalf("%x and %x lead in term %d", old, s.id, s.observed.Term)
		}
		b.oracle.leaders[s.observed.Term] = s.id
	}
	b.collect()
	if !led && s.observed.Role == core.Leader {
		b.read(s) // a new leader does not know yet what is committed
	}
}

// collect takes in the answers to changes and reads.
func (b *bench) collect() {
	var changes []pendingChange
	for _, p := range b.changes {
		select {
		case r := <-p.done:
			if r.err == nil {
				b.oracle.acknowledged(b.t, p.change, r.value.(int))
			}
		default:
			changes = append(changes, p)
		}
	}
	b.changes = changes
	var reads []pendingReadCheck
	for _, r := range b.reads {
		select {
		case err := <-r.done:
			if err == nil {
				b.checkRead(r)
			}
		default:
			reads = append(reads, r)
		}
	}
	b.reads = reads
}

func (b *bench) checkRead(r pendingReadCheck) {
	b.served++
	if r.slot.node != r.node {
		return
	}
	for _, change := range r.must {
		if _, known := r.slot.machine.Answers[change]; !known {
			b.t.Fatalf("a confirmed read on %s lacks the acknowledged change %s", r.slot.instance(), change)
		}
	}
}

func (b *bench) propose(s *slot, change string) {
	if s.node == nil || s.paused {
		return
	}
	p := pendingChange{change, make(chan result, 1)}
	b.changes = append(b.changes, p)
	s.node.propose(proposal{data: []byte(change), done: p.done})
	b.process(s)
}

func (b *bench) read(s *slot) {
	if s.node == nil || s.paused {
		return
	}
	r := pendingReadCheck{s, s.node, slices.Sorted(maps.Keys(b.oracle.answers)), make(chan error, 1)}
	b.reads = append(b.reads, r)
	s.node.read(readWaiter{done: r.done})
	b.process(s)
}

// tick advances each running replica by its own clock rate.
func (b *bench) tick() {
	for _, s := range b.slots {
		if s.node == nil || s.paused {
			continue
		}
		for s.credit += s.rate; s.credit >= 10 && s.node != nil; s.credit -= 10 {
			s.node.core.Tick()
			b.process(s)
		}
	}
	b.join()
}

func (b *bench) slotOf(id uint64) *slot {
	for _, s := range b.slots {
		if s.id == id {
			return s
		}
	}
	return nil
}

// deliver hands over a message unless its link is blocked or its receiver is
// down. It reports whether the message must wait for a paused receiver.
func (b *bench) deliver(p packet) (wait bool) {
	from, to := b.slotOf(p.from), b.slotOf(p.to)
	if from == nil || to == nil || to.node == nil || b.blocked[[2]int{from.number, to.number}] {
		return false
	}
	if to.paused {
		return true
	}
	to.node.stepAll([]*egretmuxv1.Message{p.message})
	b.process(to)
	return false
}

// deliverAll delivers until nothing is under way, at most rounds times.
func (b *bench) deliverAll(rounds int) {
	for range rounds {
		batch := b.queue
		b.queue = nil
		var waiting []packet
		for _, p := range batch {
			if b.deliver(p) {
				waiting = append(waiting, p)
			}
		}
		b.queue = append(waiting, b.queue...)
		if len(b.queue) == len(waiting) {
			return
		}
	}
}

// run lets time pass with delivery in order.
func (b *bench) run(ticks int) {
	for range ticks {
		b.tick()
		b.deliverAll(4)
	}
}

// leader returns the running leader of the highest term, or nil.
func (b *bench) leader() *slot {
	var best *slot
	for _, s := range b.slots {
		if s.node != nil && s.observed.Role == core.Leader && (best == nil || s.observed.Term > best.observed.Term) {
			best = s
		}
	}
	return best
}

// join lets the leader bring in the replicas that do not vote yet.
func (b *bench) join() {
	for _, l := range b.slots {
		if l.node == nil || l.paused || l.observed.Role != core.Leader {
			continue
		}
		for _, s := range b.slots {
			if s.node == nil || s.paused || b.blocked[[2]int{s.number, l.number}] {
				continue
			}
			if next := nextStep(l.node.core.Status().Membership, s); next != nil {
				_ = l.node.core.ChangeMembership(next)
				b.process(l)
				break
			}
		}
	}
}

// nextStep returns the next membership on the way to s being a voter, or nil.
func nextStep(current *egretmuxv1.Membership, s *slot) *egretmuxv1.Membership {
	next := proto.Clone(current).(*egretmuxv1.Membership)
	own, stale := -1, -1
	for i, r := range next.GetReplicas() {
		if r.GetId() == s.id {
			own = i
		} else if r.GetInstance() == s.instance() {
			stale = i
		}
	}
	switch {
	case own < 0:
		next.Replicas = append(next.Replicas, &egretmuxv1.Replica{Id: s.id, Instance: s.instance(), Learner: true})
	case next.Replicas[own].GetLearner():
		next.Replicas[own].Learner = false
	case stale >= 0:
		next.Replicas = slices.Delete(next.Replicas, stale, stale+1)
	default:
		return nil
	}
	return next
}

// demote removes a voter; it joins again later.
func (b *bench) demote(s *slot) {
	l := b.leader()
	if l == nil || l.paused {
		return
	}
	next := proto.Clone(l.node.core.Status().Membership).(*egretmuxv1.Membership)
	next.Replicas = slices.DeleteFunc(next.Replicas, func(r *egretmuxv1.Replica) bool { return r.GetId() == s.id })
	_ = l.node.core.ChangeMembership(next)
	b.process(l)
}

// whole reports whether the newest membership anywhere is committed and its
// voters are exactly the replicas of the slots: one disk may then be lost.
func (b *bench) whole() bool {
	var newest core.Status
	for _, s := range b.slots {
		if s.observed.MembershipIndex >= newest.MembershipIndex {
			newest = s.observed
		}
	}
	var have, want []uint64
	for _, r := range newest.Membership.GetReplicas() {
		if !r.GetLearner() {
			have = append(have, r.GetId())
		}
	}
	for _, s := range b.slots {
		want = append(want, s.id)
	}
	slices.Sort(have)
	slices.Sort(want)
	return newest.MembershipIndex <= b.oracle.commit && slices.Equal(have, want)
}

// loseDisk replaces the disk by an empty one.
func (b *bench) loseDisk(s *slot) {
	b.stop(s)
	s.disk = standin.NewDisk()
	s.dying = false
	s.id = 0
	s.observed = core.Status{}
}

// crash ends the process and loses what was not synced.
func (b *bench) crash(s *slot) {
	b.stop(s)
	s.dying = false
	s.disk.Crash(func(unsynced int) int { return b.rng.IntN(unsynced + 1) })
}

// heal ends every fault.
func (b *bench) heal() {
	clear(b.blocked)
	for _, s := range b.slots {
		s.paused = false
		s.rate = 10
		s.disk.FailSyncs(false)
		s.disk.SetFree(-1)
		if s.dying {
			b.crash(s)
		}
		b.start(s)
		if s.failure != nil {
			b.t.Fatalf("%s does not start after all faults ended: %v", s.instance(), s.failure)
		}
	}
}

// converge runs without faults until every replica votes and holds everything.
func (b *bench) converge(maxTicks int) {
	b.heal()
	change := fmt.Sprintf("final-%d", len(b.oracle.commands))
	for i := range maxTicks {
		b.run(1)
		if l := b.leader(); l != nil && i%benchElectionTicks == 0 {
			b.propose(l, change)
		}
		if _, acknowledged := b.oracle.answers[change]; acknowledged && b.whole() && b.equal() {
			return
		}
	}
	b.t.Fatalf("no agreement %d ticks after all faults ended: %s", maxTicks, b.describe())
}

func (b *bench) equal() bool {
	for _, s := range b.slots {
		if s.node == nil || len(s.machine.Changes) != len(b.oracle.history) {
			return false
		}
	}
	for change, answer := range b.oracle.answers {
		if b.oracle.history[answer] != change {
			b.t.Fatalf("the acknowledged change %s is lost", change)
		}
	}
	return true
}

func (b *bench) describe() string {
	var out string
	for _, s := range b.slots {
		o := s.observed
		out += fmt.Sprintf("\n%s id %x up %v role %s term %d commit %d first %d last %d changes %d/%d match %v failure %v members %v",
			s.instance(), s.id, s.node != nil, o.Role, o.Term, o.Commit, o.First, o.Last, len(s.machine.Changes), len(b.oracle.history), sortedMatch(o.Match), s.failure, o.Membership)
	}
	return out
}

func sortedMatch(m map[uint64]uint64) []string {
	var out []string
	for id, match := range m {
		out = append(out, fmt.Sprintf("%x:%d", id, match))
	}
	sort.Strings(out)
	return out
}
