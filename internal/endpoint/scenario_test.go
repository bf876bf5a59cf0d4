package endpoint

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// scenario runs the commands of a scenario file on a leader's table.
type scenario struct {
	t        *testing.T
	now      time.Time
	table    *Table
	revision uint64
	busy     map[string]int32 // by entry and endpoint; slots in use beyond the grant
}

func (s *scenario) number(word string) int32 {
	n, err := strconv.Atoi(word)
	if err != nil {
		s.t.Fatal(err)
	}
	return int32(n)
}

// confirm makes an entry apply its grants and report them.
func (s *scenario) confirm(name string) {
	s.revision++
	for _, st := range s.table.StatesSince(name, 0) {
		held := max(st.GetSlots(), s.busy[name+" "+st.GetId()])
		s.table.RecordHolding(name, &egretmuxv1.GrantHolding{
			Endpoint: st.GetId(), Held: held, Links: max(st.GetLinks(), held), Grant: st.GetGrant(), Revision: s.revision,
		})
	}
}

// settle confirms and rebalances until nothing changes.
func (s *scenario) settle() {
	for {
		for _, name := range s.table.eligibleEntries() {
			s.confirm(name)
		}
		if !s.table.Rebalance() {
			return
		}
	}
}

func (s *scenario) state() string {
	out := ""
	for _, id := range s.table.sortedIDs() {
		e := s.table.byID[id]
		var names []string
		for name, g := range e.grants {
			if g.maxInUse() > 0 {
				names = append(names, fmt.Sprintf("%s=%d/%d", name, g.maxInUse(), g.maxLinksInUse()))
			}
		}
		sort.Strings(names)
		out += strings.TrimSpace(fmt.Sprintf("%s leaving=%t %s", id, e.Leaving, strings.Join(names, " "))) + "\n"
	}
	return out
}

func (s *scenario) runCommand(words []string) string {
	switch words[0] {
	case "entry": // NAME DATACENTRE
		s.table.AddEntry(words[1], words[2])
	case "endpoint": // NAME DATACENTRE SLOTS LINKS [leaving]
		s.table.Announce(&egretmuxv1.EndpointReport{
			Id: words[1], Service: "s", Address: words[1], Datacentre: words[2], Slots: s.number(words[3]), Links: s.number(words[4]), Epoch: 1, Leaving: len(words) > 5,
		}, s.now)
	case "demand": // ENTRY SLOTS
		s.revision++
		s.table.RecordHolding(words[1], &egretmuxv1.GrantHolding{Service: "s", Wanted: s.number(words[2]), Revision: s.revision})
	case "busy": // ENTRY ENDPOINT SLOTS
		s.busy[words[1]+" "+words[2]] = s.number(words[3])
	case "rebalance":
		s.table.Rebalance()
	case "confirm": // ENTRY
		s.confirm(words[1])
	case "settle":
		s.settle()
	case "retire": // ENTRY
		s.table.RetireEntry(words[1])
	case "remove": // ENTRY
		s.table.RemoveEntry(words[1])
	case "advance": // TIME
		d, err := time.ParseDuration(words[1])
		if err != nil {
			s.t.Fatal(err)
		}
		s.now = s.now.Add(d)
		s.table.Expire(s.now)
	case "report":
		s.table.RecordReport(s.now)
	case "paused": // TIME
		d, err := time.ParseDuration(words[1])
		if err != nil {
			s.t.Fatal(err)
		}
		s.now = s.now.Add(d)
		s.table.SilenceFloor = s.now
		s.table.Expire(s.now)
	case "state":
		return s.state()
	default:
		s.t.Fatalf("unknown command %q", words[0])
	}
	return ""
}

func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &scenario{t: t, now: time.Unix(0, 0), table: NewTable(2 * time.Second), busy: make(map[string]int32)}
		s.table.Term = 1
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.t = t
			out := ""
			for _, line := range strings.Split(d.Input, "\n") {
				if w := strings.Fields(line); len(w) > 0 {
					out += s.runCommand(w)
				}
			}
			return out
		})
	})
}
