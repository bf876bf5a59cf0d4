package consensus

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

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

// slot is one instance: a disk and the replica that runs on it, if any.
type slot struct {
	number                int
	disk                  *standin.Disk
	node                  *Node // nil when down
	machine               *list
	id                    uint64
	paused                bool
	rate                  int // tenths of a tick in each tick of the bench
	credit                int
	dying                 bool  // the machine dies at a disk operation to come
	failure               error // why the replica stopped by itself
	observed              core.Status
	witness               *PromiseTracker // of the running process
	backup                *standin.Disk
	backupOf              uint64 // replica that the backup holds
	savedAt, witnessSince int    // in starts of any replica
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
	starts  int // of any replica
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
	if b.forgot(s, rec) {
		b.loseDisk(s) // the data folder is set aside
		b.start(s)
		return
	}
	b.starts++
	s.witness = NewPromiseTracker()
	s.witnessSince = b.starts
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

// forgot asks the replicas that run and can be reached what they remember of
// the one that starts.
func (b *bench) forgot(s *slot, rec *wal.Recovered) bool {
	for _, o := range b.slots {
		reached := o.node != nil && !o.paused && !b.blocked[[2]int{s.number, o.number}] && !b.blocked[[2]int{o.number, s.number}]
		if o != s && reached && o.witness.PromiseOf(s.id).Exceeds(rec) {
			return true
		}
	}
	return false
}

// save takes a copy of a slot's disk.
func (b *bench) save(s *slot) {
	s.backup = s.disk.Clone()
	s.backupOf = s.id
	s.savedAt = b.starts
}

// restore brings a copy of the disk back while all others run, can be reached
// and have run ever since the copy was taken: they can tell that it is older.
func (b *bench) restore(s *slot) {
	if s.backup == nil || s.backupOf != s.id || !b.whole() {
		return
	}
	for _, o := range b.slots {
		if o == s {
			continue
		}
		if o.node == nil || o.paused || o.witnessSince > s.savedAt || b.blocked[[2]int{s.number, o.number}] || b.blocked[[2]int{o.number, s.number}] {
			return
		}
	}
	b.stop(s)
	s.dying = false
	s.disk = s.backup.Clone()
	b.start(s)
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
		s.observed = s.node.core.Status() // what it could not sync may still be on its disk
		s.observed.Role = core.Follower
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
	to.witness.Observe([]*egretmuxv1.Message{p.message})
	to.node.stepAll([]*egretmuxv1.Message{p.message})
	b.process(to)
	return false
}

// deliverTogether hands each replica all that is under way to it at once.
func (b *bench) deliverTogether() {
	batch := b.queue
	b.queue = nil
	groups := make(map[*slot][]*egretmuxv1.Message)
	for _, p := range batch {
		from, to := b.slotOf(p.from), b.slotOf(p.to)
		switch {
		case from == nil || to == nil || to.node == nil || b.blocked[[2]int{from.number, to.number}]:
		case to.paused:
			b.queue = append(b.queue, p)
		default:
			groups[to] = append(groups[to], p.message)
		}
	}
	for _, s := range b.slots {
		if s.node != nil && len(groups[s]) > 0 {
			s.witness.Observe(groups[s])
			s.node.stepAll(groups[s])
			b.process(s)
		}
	}
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
