package place_test

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// TestScenarios runs the files of testdata/scenarios on the cell of the model test.
// The oracle checks the cell after each command.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		s := &scenario{cell: newCell(func() bool { return false }), warned: make(map[string]bool)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out := s.run(t, d)
			s.cell.checkInvariants()
			require.Empty(t, s.cell.violations, d.Pos)
			return out
		})
	})
}

type scenario struct {
	cell   *cell
	warned map[string]bool
}

func (s *scenario) run(t *testing.T, d *datadriven.TestData) string {
	arg := func(key, otherwise string) string {
		for _, a := range d.CmdArgs {
			if a.Key == key {
				if len(a.Vals) == 0 {
					return "yes"
				}
				return a.Vals[0]
			}
		}
		return otherwise
	}
	switch d.Cmd {
	case "workers":
		return s.workers(t, arg)
	case "contract":
		s.cell.applyContract(arg("customer", ""), parseNumber(t, arg("share", "0")), quotaLine(arg("quota_cores", "0")))
		return ""
	case "submit":
		return s.submit(t, arg)
	case "advance":
		s.advance(parseMillis(t, arg("for", "0s")))
		return ""
	case "fault":
		return s.fault(arg)
	case "cancel":
		return s.cancelAll(arg("customer", ""))
	case "tasks":
		return s.tasks(arg("name", ""))
	case "places":
		return s.executions(arg("by", "worker"))
	case "held":
		return s.held()
	case "waits":
		return s.waits(arg("name", ""), parseMillis(t, arg("within", "0s")))
	case "explain":
		return s.explain(uint64(parseNumber(t, arg("task", "0"))))
	case "phases":
		return s.phases()
	case "warnings":
		return s.warnings()
	}
	t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
	return ""
}

func quotaLine(cores string) string { return "cores = " + cores }

func parseNumber(t *testing.T, v string) float64 {
	f, err := strconv.ParseFloat(v, 64)
	require.NoError(t, err)
	return f
}

func parseMillis(t *testing.T, v string) int64 {
	d, err := time.ParseDuration(v)
	require.NoError(t, err)
	return d.Milliseconds()
}

// workers adds n workers in racks of two and two data centres.
func (s *scenario) workers(t *testing.T, arg func(string, string) string) string {
	n := int(parseNumber(t, arg("n", "1")))
	room := worker.Resources{
		CPUMillis: int64(1000 * parseNumber(t, arg("cores", "16"))), MemoryMiB: int64(1024 * parseNumber(t, arg("gib", "64"))),
		Accelerators: int64(parseNumber(t, arg("accelerators", "0"))),
	}
	for range n {
		i := len(s.cell.names)
		s.cell.addWorker(fmt.Sprintf("w%02d", i), fmt.Sprintf("dc%d", i/2%2), fmt.Sprintf("r%d", i/2), room)
	}
	return ""
}

func (s *scenario) submit(t *testing.T, arg func(string, string) string) string {
	run := parseMillis(t, arg("run", "10s"))
	spec := &egretmuxv1.TaskSpec{
		Customer: arg("customer", "dixie"), Name: arg("name", "job"), Members: int32(parseNumber(t, arg("members", "1"))),
		Kind: egretmuxv1.TaskKind(egretmuxv1.TaskKind_value["TASK_KIND_"+strings.ToUpper(arg("kind", "batch"))]),
		Resources: &egretmuxv1.Resources{
			CpuMillis: int64(1000 * parseNumber(t, arg("cores", "4"))), MemoryMib: int64(1024 * parseNumber(t, arg("gib", "4"))),
			Accelerators: int64(parseNumber(t, arg("accelerators", "0"))),
		},
		DeclaredRunMs: parseMillis(t, arg("declared", arg("run", "10s"))), Idempotent: arg("once", "") == "", Urgent: arg("urgent", "") != "",
		MaxFailures: int32(parseNumber(t, arg("failures", "10"))),
	}
	if d := arg("deadline", ""); d != "" {
		spec.DeadlineUnixMs = s.cell.now + parseMillis(t, d)
	}
	var ids []string
	for range int(parseNumber(t, arg("n", "1"))) {
		id, err := s.cell.submit(spec, behaviour{runMs: run, usedFraction: parseNumber(t, arg("use", "1")), fails: arg("fails", "") != ""})
		if err != nil {
			r := refusal.Of(err)
			return fmt.Sprintf("%s: %s\n", r.Kind, r.Message)
		}
		ids = append(ids, strconv.FormatUint(id, 10))
	}
	if len(ids) > 3 {
		return fmt.Sprintf("tasks %s to %s\n", ids[0], ids[len(ids)-1])
	}
	return "task " + strings.Join(ids, " ") + "\n"
}

// advance records each customer's forecast warnings while time passes.
func (s *scenario) advance(ms int64) {
	for end := s.cell.now + ms; s.cell.now < end; {
		s.cell.advance(min(1000, end-s.cell.now))
		for _, f := range s.cell.planner.Forecast(s.cell.now) {
			if f.Warning {
				s.warned[fmt.Sprintf("%s: late %t, reason %s, deadlines missed %d", f.Customer, f.LateMs > 0, f.Reason, f.Missed)] = true
			}
		}
	}
}

func (s *scenario) fault(arg func(string, string) string) string {
	for _, id := range s.cell.names {
		w := s.cell.workers[id]
		if id != arg("worker", id) || w.record.GetRack() != arg("rack", w.record.GetRack()) || w.record.GetDatacentre() != arg("dc", w.record.GetDatacentre()) {
			continue
		}
		switch arg("kind", "") {
		case "pause":
			w.paused = true
		case "cut":
			w.partitioned = true
		case "black-hole":
			w.failsAll = true
		case "broken-starts":
			w.failsNew = true
		case "restart":
			s.cell.restartWorker(w)
		case "heal":
			w.paused, w.partitioned, w.failsAll, w.failsNew = false, false, false, false
		case "leader":
			s.cell.replaceLeader()
		}
	}
	return ""
}

func (s *scenario) cancelAll(customer string) string {
	n := 0
	for _, t := range s.cell.store.Tasks() {
		if t.GetSpec().GetCustomer() == customer && !task.Final(t.GetPhase()) {
			s.cell.cancel(t.GetId())
			n++
		}
	}
	return fmt.Sprintf("%d cancelled\n", n)
}

// tasks prints the number of tasks of a name by phase.
func (s *scenario) tasks(name string) string {
	counts := make(map[string]int)
	for _, t := range s.cell.store.Tasks() {
		if name == "" || t.GetSpec().GetName() == name {
			counts[t.GetSpec().GetName()+" "+strings.ToLower(strings.TrimPrefix(t.GetPhase().String(), "TASK_PHASE_"))]++
		}
	}
	return sortedCounts(counts)
}

func sortedCounts(counts map[string]int) string {
	var lines []string
	for k, n := range counts {
		lines = append(lines, fmt.Sprintf("%s: %d\n", k, n))
	}
	sort.Strings(lines)
	return strings.Join(lines, "")
}

// executions prints the number of executions by worker, rack or data centre.
func (s *scenario) executions(by string) string {
	counts := make(map[string]int)
	for _, id := range s.cell.names {
		w := s.cell.workers[id]
		key := map[string]string{"worker": id, "rack": w.record.GetRack(), "dc": w.record.GetDatacentre(), "cell": "cell"}[by]
		if n := len(w.running); n > 0 {
			counts[key] += n
		}
	}
	return sortedCounts(counts)
}

// held prints each customer's dominant share of the cell.
func (s *scenario) held() string {
	var out string
	for _, f := range s.cell.planner.Forecast(s.cell.now) {
		out += fmt.Sprintf("%s: %.2f\n", f.Customer, f.Held)
	}
	return out
}

// waits prints whether the tasks of a name first started within a bound.
func (s *scenario) waits(name string, bound int64) string {
	longest, unstarted := int64(0), 0
	for _, t := range s.cell.store.Tasks() {
		if t.GetSpec().GetName() != name {
			continue
		}
		if at, ok := s.cell.firstRun[t.GetId()]; ok {
			longest = max(longest, at-t.GetSubmittedUnixMs())
		} else {
			unstarted++
		}
	}
	return fmt.Sprintf("within the bound: %t, not started %d\n", longest <= bound, unstarted)
}

func (s *scenario) explain(id uint64) string {
	e := s.cell.planner.Explain(id, s.cell.now)
	counts := make(map[string]int)
	for r, n := range e.Workers {
		counts[string(r)] = n
	}
	return fmt.Sprintf("%d wait; limit: %s\n", e.Waiting, e.Limit) + sortedCounts(counts)
}

// phases prints the workers that are not ready.
func (s *scenario) phases() string {
	var out string
	for _, w := range s.cell.store.Workers() {
		if w.GetPhase() != egretmuxv1.WorkerPhase_WORKER_PHASE_READY {
			out += fmt.Sprintf("%s %s %s\n", w.GetId(), strings.ToLower(strings.TrimPrefix(w.GetPhase().String(), "WORKER_PHASE_")), w.GetReason())
		}
	}
	return out
}

func (s *scenario) warnings() string {
	var lines []string
	for w := range s.warned {
		lines = append(lines, w+"\n")
	}
	sort.Strings(lines)
	clear(s.warned)
	return strings.Join(lines, "")
}
