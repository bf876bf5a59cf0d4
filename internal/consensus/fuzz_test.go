package consensus

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// convergeTicks bounds the time from the end of all faults to agreement.
const convergeTicks = 60 * benchElectionTicks

func TestThreeVotersUnderFaults(t *testing.T) { rapid.Check(t, func(t *rapid.T) { fuzz(t, 3) }) }

func TestFiveVotersUnderFaults(t *testing.T) { rapid.Check(t, func(t *rapid.T) { fuzz(t, 5) }) }

func fuzz(t *rapid.T, voters int) {
	b := newBench(t, voters, rapid.Uint64().Draw(t, "seed"))
	f := &faults{b: b, pick: rapid.IntRange(0, voters-1)}
	actions := f.actions()
	b.run(2 * benchElectionTicks)
	for range rapid.IntRange(100, 250).Draw(t, "steps") {
		f.step = rapid.SampledFrom(actions).Draw(t, "action")
		f.step.do(t)
	}
	b.converge(convergeTicks)
	tally.checks++
	tally.changes += len(b.oracle.answers)
	tally.reads += b.served
	tally.terms += len(b.oracle.leaders)
}

type action struct {
	name   string
	weight int
	do     func(*rapid.T)
}

// String returns the name, for the report of a failed run.
func (a action) String() string { return a.name }

// actions returns what may happen, each as often as its weight.
func (f *faults) actions() []action {
	all := []action{
		{"run", 12, f.run},
		{"propose", 10, f.propose},
		{"resend", 3, f.resend},
		{"read", 8, f.read},
		{"shuffle", 2, f.shuffle},
		{"together", 4, f.together},
		{"drop", 2, f.drop},
		{"duplicate", 2, f.duplicate},
		{"partition", 2, f.partition},
		{"mend links", 3, func(*rapid.T) { clear(f.b.blocked) }},
		{"pause", 2, f.pause},
		{"resume", 4, f.resume},
		{"crash", 2, f.crash},
		{"kill", 1, f.kill},
		{"disk fault", 1, f.diskFault},
		{"die", 3, f.die},
		{"contest", 3, f.contest},
		{"save", 3, func(t *rapid.T) { f.b.save(f.slot(t)) }},
		{"restore", 3, f.restore},
		{"restart", 6, f.restart},
		{"lose disk", 1, f.loseDisk},
		{"clock", 1, f.clock},
		{"transfer", 1, f.transfer},
		{"demote", 1, f.demote},
	}
	var weighted []action
	for _, a := range all {
		for range a.weight {
			weighted = append(weighted, a)
		}
	}
	return weighted
}

// faults holds the actions of the random test.
type faults struct {
	b    *bench
	pick *rapid.Generator[int]
	next int
	step action
}

func (f *faults) slot(t *rapid.T) *slot { return f.b.slots[f.pick.Draw(t, "slot")] }

func (f *faults) run(t *rapid.T) { f.b.run(rapid.IntRange(1, 25).Draw(t, "ticks")) }

func (f *faults) propose(t *rapid.T) {
	s := f.b.leader()
	if s == nil || rapid.IntRange(0, 4).Draw(t, "anywhere") == 0 {
		s = f.slot(t)
	}
	for range rapid.IntRange(1, 5).Draw(t, "count") {
		f.next++
		f.b.propose(s, fmt.Sprintf("c%d", f.next))
	}
}

func (f *faults) resend(t *rapid.T) {
	if f.next > 0 {
		f.b.propose(f.slot(t), fmt.Sprintf("c%d", rapid.IntRange(1, f.next).Draw(t, "change")))
	}
}

func (f *faults) read(t *rapid.T) { f.b.read(f.slot(t)) }

func (f *faults) shuffle(t *rapid.T) {
	f.b.tick()
	f.b.rng.Shuffle(len(f.b.queue), func(i, j int) { f.b.queue[i], f.b.queue[j] = f.b.queue[j], f.b.queue[i] })
	f.b.deliverAll(rapid.IntRange(1, 2).Draw(t, "rounds"))
}

func (f *faults) together(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "rounds") {
		f.b.tick()
		f.b.deliverTogether()
	}
}

func (f *faults) drop(t *rapid.T) {
	f.b.tick()
	kept := f.b.queue[:0]
	for _, p := range f.b.queue {
		if f.b.rng.IntN(2) == 0 {
			kept = append(kept, p)
		}
	}
	f.b.queue = kept
	f.b.deliverAll(1)
}

func (f *faults) duplicate(*rapid.T) {
	f.b.tick()
	f.b.queue = append(f.b.queue, f.b.queue...)
	f.b.deliverAll(1)
}

func (f *faults) partition(t *rapid.T) {
	from, to := f.pick.Draw(t, "from"), f.pick.Draw(t, "to")
	f.b.blocked[[2]int{from, to}] = true
	if rapid.Bool().Draw(t, "both ways") {
		f.b.blocked[[2]int{to, from}] = true
	}
}

func (f *faults) pause(t *rapid.T) { f.slot(t).paused = true }

func (f *faults) resume(t *rapid.T) { f.slot(t).paused = false }

func (f *faults) crash(t *rapid.T) { f.b.crash(f.slot(t)) }

func (f *faults) kill(t *rapid.T) { f.b.stop(f.slot(t)) }

func (f *faults) diskFault(t *rapid.T) {
	s := f.slot(t)
	if rapid.Bool().Draw(t, "full") {
		s.disk.SetFree(rapid.IntRange(0, 300).Draw(t, "free"))
	} else {
		s.disk.FailSyncs(true)
	}
	f.b.run(2)
}

// die lets the machine die at one of the next disk operations, perhaps between
// the sending of a message and the sync that follows.
func (f *faults) die(t *rapid.T) {
	s := f.slot(t)
	if s.node == nil {
		return
	}
	s.dying = true
	s.disk.DieAfter(rapid.IntRange(0, 8).Draw(t, "operations"))
	if rapid.Bool().Draw(t, "tick") {
		f.b.run(rapid.IntRange(1, 12).Draw(t, "ticks"))
	}
}

func (f *faults) restart(t *rapid.T) {
	s := f.slot(t)
	if s.node == nil {
		s.disk.SetFree(-1)
		s.disk.FailSyncs(false)
	}
	f.b.start(s)
}

func (f *faults) loseDisk(t *rapid.T) {
	s := f.slot(t)
	if f.b.whole() {
		f.b.loseDisk(s)
		tally.losses++
	}
}

func (f *faults) clock(t *rapid.T) { f.slot(t).rate = rapid.IntRange(6, 15).Draw(t, "rate") }

func (f *faults) transfer(t *rapid.T) {
	if l := f.b.leader(); l != nil && !l.paused {
		l.node.core.TransferLeadership(f.slot(t).id)
		f.b.process(l)
	}
}

// restore brings back a copy of a disk, taken earlier or a moment ago.
func (f *faults) restore(t *rapid.T) {
	s := f.slot(t)
	if rapid.Bool().Draw(t, "recent") {
		f.b.save(s)
		f.propose(t)
		f.contest(t)
		f.run(t)
	}
	old := s.id
	f.b.restore(s)
	if s.id != old {
		tally.restored++
	}
}

// contest makes two replicas stand for election at the same time, in the same
// term if they can.
func (f *faults) contest(t *rapid.T) {
	for range 2 {
		s := f.slot(t)
		if s.node == nil || s.paused {
			continue
		}
		f.b.queue = append(f.b.queue, packet{s.id, s.id, &egretmuxv1.Message{
			Kind: egretmuxv1.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, From: s.id, To: s.id, Term: s.observed.Term,
		}})
	}
	f.b.deliverAll(rapid.IntRange(1, 3).Draw(t, "rounds"))
}

// demote removes a voter. Removing one while another's disk is lost leaves no
// quorum, so that both together are outside of what is promised.
func (f *faults) demote(t *rapid.T) {
	s := f.slot(t)
	if f.b.whole() {
		f.b.demote(s)
	}
}

// tally counts what the random tests did, so that a run tells how much it tried.
var tally struct{ checks, changes, reads, terms, losses, restored, installs, snapshots, failures int }
