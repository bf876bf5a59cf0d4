package measure

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// Result holds the metrics of one run.
type Result struct {
	waits                       [classCount][]int64
	missedDeadlines, deadlines  int
	refused                     int
	usedCPU, attainableCPU      float64
	wastedCPU, doneCPU          float64
	killed, preempted           int
	rejectedStarts, quarantined int
	roundTimes                  []time.Duration
	starts                      int
	decisionTime                time.Duration
	shareHeld, shareDue         []float64
	fairness                    float64
	customerIndex               map[string]int
	capacity                    worker.Resources
}

func newResult(c Cell) *Result {
	r := &Result{shareHeld: make([]float64, c.Customers), shareDue: make([]float64, c.Customers), customerIndex: make(map[string]int)}
	for i := range c.Customers {
		r.customerIndex[customerName(i)] = i
	}
	r.capacity = c.WorkerCapacity.Times(int64(c.Workers))
	return r
}

func (res *Result) recordStart(j *job, now int64) {
	if j.task.GetSpec().GetKind() != egretmuxv1.TaskKind_TASK_KIND_SERVICE {
		res.waits[j.class] = append(res.waits[j.class], now-epoch-j.submittedMs)
	}
}

func (res *Result) recordRound(d time.Duration, starts int) {
	res.roundTimes = append(res.roundTimes, d)
	res.decisionTime += d
	res.starts += starts
}

// sampleUsage adds up attainable CPU use and the customers' shares, once a second
// while work arrives.
func (r *run) sampleUsage() {
	if r.now >= epoch+r.cell.ArrivalMs || (r.now-epoch)%1000 != 0 {
		return
	}
	heldShare := make([]float64, r.cell.Customers)
	wantedShare := make([]float64, r.cell.Customers)
	demand := 0.0
	for _, j := range r.jobs {
		if j.endedAt > 0 || j.refused {
			continue
		}
		live := 0
		for _, a := range j.task.GetAttempts() {
			if task.Live(a.GetPhase()) {
				live++
			}
		}
		waiting := len(task.WaitingMembers(j.task))
		share := float64(worker.ResourcesFromProto(j.task.GetSpec().GetResources()).CPUMillis) / float64(r.result.capacity.CPUMillis)
		customer := r.result.customerIndex[j.task.GetSpec().GetCustomer()]
		heldShare[customer] += share * float64(live)
		wantedShare[customer] += share * float64(live+waiting)
		demand += float64(j.usage.CPUMillis) * float64(live+waiting)
	}
	r.result.attainableCPU += min(demand, float64(r.result.capacity.CPUMillis)) * 1000 / stepMs
	due := 1 / float64(r.cell.Customers)
	for customer := range heldShare {
		r.result.shareHeld[customer] += min(heldShare[customer], min(due, wantedShare[customer]))
		r.result.shareDue[customer] += min(due, wantedShare[customer])
	}
}

func (res *Result) computeTotals(r *run) {
	for _, j := range r.arrivals {
		res.doneCPU += float64(j.usage.CPUMillis) * float64(j.runMs) * float64(len(j.members))
		deadline := j.task.GetSpec().GetDeadlineUnixMs()
		if j.refused {
			res.refused++
		}
		if j.startedAt == 0 && !j.refused && j.cancelledAt == 0 {
			res.waits[j.class] = append(res.waits[j.class], r.now-epoch-j.submittedMs)
		}
		if deadline == 0 {
			continue
		}
		res.deadlines++
		if j.endedAt == 0 || j.endedAt > deadline {
			res.missedDeadlines++
		}
	}
	res.fairness = 1
	for i := range res.shareHeld {
		if res.shareDue[i] > 0 {
			res.fairness = min(res.fairness, res.shareHeld[i]/res.shareDue[i])
		}
	}
}

// minMissedDeadlines returns a lower bound on the deadlines that any policy misses.
// In each interval, the work that arrives and is due within it can't exceed the
// capacity; dropping the largest jobs first drops the fewest.
func minMissedDeadlines(cell Cell, load float64, seed uint64) int {
	_, jobs := generateLoad(cell, load, seed)
	capacity := float64(cell.Workers) * float64(cell.WorkerCapacity.CPUMillis)
	const grid = 20
	highest := 0
	for a := range grid {
		for b := a + 1; b <= 2*grid; b++ {
			from, to := cell.ArrivalMs*int64(a)/grid, cell.ArrivalMs*int64(b)/grid
			var work []float64
			sum := 0.0
			for _, j := range jobs {
				if d := j.task.GetSpec().GetDeadlineUnixMs(); d > 0 && j.submittedMs >= from && d-epoch <= to {
					w := float64(j.usage.CPUMillis) * float64(j.runMs) * float64(len(j.members))
					work = append(work, w)
					sum += w
				}
			}
			sort.Sort(sort.Reverse(sort.Float64Slice(work)))
			dropped := 0
			for dropped < len(work) && sum > capacity*float64(to-from) {
				sum -= work[dropped]
				dropped++
			}
			highest = max(highest, dropped)
		}
	}
	return highest
}

func quantile(list []int64, q float64) int64 {
	if len(list) == 0 {
		return 0
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

func microseconds(list []time.Duration) []int64 {
	out := make([]int64, len(list))
	for i, d := range list {
		out[i] = d.Microseconds()
	}
	return out
}

// Report prints a table for each cell and load, with a column for each policy.
func Report(w io.Writer, cells []Cell, loads []float64, seed uint64) {
	for _, cell := range cells {
		for _, load := range loads {
			results := []*Result{
				Run(cell, load, &greedy{less: fifo}, seed),
				Run(cell, load, &greedy{less: edf, bestFit: true}, seed),
				Run(cell, load, &plannerPolicy{}, seed),
			}
			printTable(w, cell, load, results, minMissedDeadlines(cell, load, seed))
		}
	}
}

func printTable(out io.Writer, cell Cell, load float64, results []*Result, bound int) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, best string, f func(*Result) string) {
		fmt.Fprintf(w, "%s", name)
		for _, r := range results {
			fmt.Fprintf(w, "\t%s", f(r))
		}
		fmt.Fprintf(w, "\t%s\n", best)
	}
	fmt.Fprintf(w, "%s at %.1f\tfirst-fit FIFO\tbest-fit EDF\tours\tbound\n", cell.Name, load)
	for c := range classCount {
		row("wait "+classNames[c]+" p50/p99 ms", "200/200", func(r *Result) string {
			return fmt.Sprintf("%d/%d", quantile(r.waits[c], 0.5), quantile(r.waits[c], 0.99))
		})
	}
	row("deadlines missed (of which refused)", fmt.Sprintf("%d", bound), func(r *Result) string {
		return fmt.Sprintf("%d of %d (%d)", r.missedDeadlines, r.deadlines, r.refused)
	})
	row("packing: used over attainable", "1.000", func(r *Result) string { return fmt.Sprintf("%.3f", (r.usedCPU-r.wastedCPU)/max(r.attainableCPU, 1)) })
	row("fairness: worst share held over due", "1.000", func(r *Result) string { return fmt.Sprintf("%.3f", r.fairness) })
	row("work thrown away", "0.000", func(r *Result) string { return fmt.Sprintf("%.3f", r.wastedCPU*stepMs/r.doneCPU) })
	row("preempted, killed for memory, quarantined", "0", func(r *Result) string {
		return fmt.Sprintf("%d, %d, %d", r.preempted, r.killed, r.quarantined)
	})
	row("starts that did not fit", "0", func(r *Result) string { return fmt.Sprint(r.rejectedStarts) })
	row("round p50/p99 us", "", func(r *Result) string {
		us := microseconds(r.roundTimes)
		return fmt.Sprintf("%d/%d", quantile(us, 0.5), quantile(us, 0.99))
	})
	row("placements/s on one core", "", func(r *Result) string { return fmt.Sprintf("%.0f", float64(r.starts)/r.decisionTime.Seconds()) })
	fmt.Fprintln(w)
	_ = w.Flush()
}
