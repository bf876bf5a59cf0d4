package consensus

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"

	"github.com/egretmux/egretmux/internal/consensus/core"
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
