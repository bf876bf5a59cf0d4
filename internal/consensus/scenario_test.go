package consensus

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/egretmux/egretmux/internal/consensus/core"
)

// scenario runs the commands of one scenario file. Slots are named by their
// number, "leader", or "follower" and "other" for the two that followed when
// the cell was formed.
type scenario struct {
	b     *bench
	names map[string]*slot
	next  int
	mark  core.Status // of the leader, taken by the command mark
}

func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &scenario{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d) + "\n"
		})
	})
}

func (s *scenario) run(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	if d.Cmd == "cell" {
		return s.form(t, d)
	}
	s.b.t = t
	at := func() *slot { return s.slot(t, d, "at") }
	switch d.Cmd {
	case "run":
		s.b.run(intArg(t, d, "ticks"))
	case "propose":
		return s.propose(at(), intArg(t, d, "count"), d.HasArg("stop"))
	case "read":
		return s.read(at())
	case "isolate":
		s.isolate(at(), true, true)
	case "deaf":
		s.isolate(at(), true, false)
	case "mute":
		s.isolate(at(), false, true)
	case "block":
		s.b.blocked[[2]int{s.slot(t, d, "from").number, s.slot(t, d, "to").number}] = true
	case "mend":
		clear(s.b.blocked)
	case "pause":
		at().paused = true
	case "resume":
		at().paused = false
	case "kill":
		s.b.stop(at())
	case "crash":
		s.b.crash(at())
	case "restart":
		s.b.start(at())
	case "lose-disk":
		s.b.loseDisk(at())
	case "deliver-together":
		s.b.deliverTogether()
	case "save":
		s.b.save(at())
	case "restore":
		s.b.restore(at())
	case "restore-unasked":
		s.b.stop(at())
		at().disk = at().backup.Clone()
		s.b.start(at())
	case "fill-disk":
		at().disk.SetFree(intArg(t, d, "free"))
	case "fail-syncs":
		at().disk.FailSyncs(true)
	case "mend-disk":
		at().disk.SetFree(-1)
		at().disk.FailSyncs(false)
	case "transfer":
		at().node.core.TransferLeadership(s.slot(t, d, "to").id)
		s.b.process(at())
	case "mark":
		s.mark = s.b.leader().observed
	case "leader":
		return s.leader()
	case "status":
		return s.status(at())
	case "converge":
		s.b.converge(intArg(t, d, "ticks"))
		return "agreed"
	case "recovery":
		return s.recovery(at())
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	return "ok"
}

func intArg(t *testing.T, d *datadriven.TestData, name string) int {
	t.Helper()
	n := 1
	d.MaybeScanArgs(t, name, &n)
	return n
}

func (s *scenario) form(t *testing.T, d *datadriven.TestData) string {
	s.b = newBench(t, intArg(t, d, "voters"), uint64(intArg(t, d, "seed")))
	s.next = 0
	s.b.run(3 * benchElectionTicks)
	s.names = map[string]*slot{"leader": s.b.leader()}
	for _, slot := range s.b.slots {
		switch {
		case slot == s.names["leader"]:
		case s.names["follower"] == nil:
			s.names["follower"] = slot
		default:
			s.names["other"] = slot
		}
	}
	s.mark = s.b.leader().observed
	return "formed"
}

func (s *scenario) slot(t *testing.T, d *datadriven.TestData, key string) *slot {
	t.Helper()
	var name string
	d.ScanArgs(t, key, &name)
	if name == "newest-leader" {
		return s.b.leader()
	}
	if n, err := strconv.Atoi(name); err == nil {
		return s.b.slots[n]
	}
	return s.names[name]
}

func (s *scenario) nameOf(slot *slot) string {
	for _, name := range []string{"leader", "follower", "other"} {
		if s.names[name] == slot {
			return name
		}
	}
	return strconv.Itoa(slot.number)
}

// propose reports how many of the changes were acknowledged.
func (s *scenario) propose(at *slot, count int, stop bool) string {
	before := len(s.b.oracle.answers)
	for range count {
		s.next++
		s.b.propose(at, fmt.Sprintf("c%d", s.next))
		if !stop {
			s.b.deliverAll(3)
		}
	}
	return fmt.Sprintf("acknowledged %d of %d", len(s.b.oracle.answers)-before, count)
}

func (s *scenario) read(at *slot) string {
	before := s.b.served
	s.b.read(at)
	s.b.deliverAll(3)
	if s.b.served > before {
		return "confirmed"
	}
	return "not confirmed"
}

func (s *scenario) isolate(at *slot, in, out bool) {
	for _, other := range s.b.slots {
		if in {
			s.b.blocked[[2]int{other.number, at.number}] = true
		}
		if out {
			s.b.blocked[[2]int{at.number, other.number}] = true
		}
	}
}

// leader tells who leads and whether that changed since the mark.
func (s *scenario) leader() string {
	l := s.b.leader()
	if l == nil {
		return "no leader"
	}
	term := "a newer term"
	if l.observed.Term == s.mark.Term {
		term = "the same term"
	}
	return s.nameOf(l) + " leads, " + term
}

func (s *scenario) status(at *slot) string {
	if at.node == nil {
		if at.failure == nil {
			return "down"
		}
		return "down: " + strings.ReplaceAll(at.failure.Error(), "\n", " ")
	}
	kind := "not a member"
	if r := at.node.core.Replica(at.id); r != nil {
		kind = "voter"
		if r.GetLearner() {
			kind = "learner"
		}
	}
	lacks := len(s.b.oracle.history) - len(at.machine.Changes)
	return fmt.Sprintf("%s, %s, lacks %d changes", at.observed.Role, kind, lacks)
}

// recovery restarts a replica and tells how much it had to read, in terms of
// what bounds it: the snapshot and the entries kept behind it.
func (s *scenario) recovery(at *slot) string {
	s.b.stop(at)
	at.disk.Read = 0
	s.b.start(at)
	first, last := at.observed.First, at.observed.Last
	entries := last + 1 - first
	bound := "more entries than between two snapshots"
	if entries <= benchSnapshots+benchKept {
		bound = "no more entries than between two snapshots"
	}
	names, err := at.disk.List()
	s.b.must(err)
	segments, snapshots := 0, 0
	for _, n := range names {
		switch {
		case strings.HasPrefix(n, "log-"):
			segments++
		case strings.HasPrefix(n, "snapshot-"):
			snapshots++
		}
	}
	const keptSegments = 6
	kept := "more segments than that needs"
	if segments <= keptSegments {
		kept = "no more segments than that needs"
	}
	return fmt.Sprintf("replays %s, keeps %s and %d snapshots", bound, kept, snapshots)
}
