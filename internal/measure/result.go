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

// Result is the figures of one run.
type Result struct {
	waits                 [classes][]int64
	missed, deadlines     int
	refused               int
	used, attainable      float64
	wasted, done          float64
	killed, preempted     int
	overfull, quarantined int
	rounds                []time.Duration
	starts                int
	spent                 time.Duration
	shareHeld, shareDue   []float64
	fairness              float64
	customers             map[string]int
	total                 worker.Resources
}

func newResult(c Cell) *Result {
	r := &Result{shareHeld: make([]float64, c.Customers), shareDue: make([]float64, c.Customers), customers: make(map[string]int)}
	for i := range c.Customers {
		r.customers[customerName(i)] = i
	}
	r.total = c.WorkerCapacity.Times(int64(c.Workers))
	return r
}

func (x *Result) start(j *job, now int64) {
	if j.task.GetSpec().GetKind() != egretmuxv1.TaskKind_TASK_KIND_SERVICE {
		x.waits[j.class] = append(x.waits[j.class], now-epoch-j.at)
	}
}

func (x *Result) decided(d time.Duration, starts int) {
	x.rounds = append(x.rounds, d)
	x.spent += d
	x.starts += starts
}

// sample adds up attainable use and shares every second while work arrives.
func (r *run) sample() {
	if r.now >= epoch+r.cell.ArrivalMs || (r.now-epoch)%1000 != 0 {
		return
	}
	held := make([]float64, r.cell.Customers)
	wanted := make([]float64, r.cell.Customers)
	demand := 0.0
	for _, j := range r.jobs {
		if j.ended > 0 || j.refused {
			continue
		}
		live := 0
		for _, a := range j.task.GetAttempts() {
			if task.Live(a.GetPhase()) {
				live++
			}
		}
		waiting := len(task.WaitingMembers(j.task))
		part := float64(worker.ResourcesFromProto(j.task.GetSpec().GetResources()).CPUMillis) / float64(r.result.total.CPUMillis)
		i := r.result.customers[j.task.GetSpec().GetCustomer()]
		held[i] += part * float64(live)
		wanted[i] += part * float64(live+waiting)
		demand += float64(j.use.CPUMillis) * float64(live+waiting)
	}
	r.result.attainable += min(demand, float64(r.result.total.CPUMillis)) * 1000 / step
	due := 1 / float64(r.cell.Customers)
	for i := range held {
		r.result.shareHeld[i] += min(held[i], min(due, wanted[i]))
		r.result.shareDue[i] += min(due, wanted[i])
	}
}

func (x *Result) finish(r *run) {
	for _, j := range r.all {
		x.done += float64(j.use.CPUMillis) * float64(j.run) * float64(len(j.members))
		d := j.task.GetSpec().GetDeadlineUnixMs()
		if j.refused {
			x.refused++
		}
		if j.began == 0 && !j.refused && j.cancel == 0 {
			x.waits[j.class] = append(x.waits[j.class], r.now-epoch-j.at)
		}
		if d == 0 {
			continue
		}
		x.deadlines++
		if j.ended == 0 || j.ended > d {
			x.missed++
		}
	}
	x.fairness = 1
	for i := range x.shareHeld {
		if x.shareDue[i] > 0 {
			x.fairness = min(x.fairness, x.shareHeld[i]/x.shareDue[i])
		}
	}
}

// bound returns how many deadlines every policy must miss: in each interval, the
// work that arrives and is due within it cannot exceed the room; dropping the
// largest jobs first leaves the fewest to drop.
func bound(cell Cell, load float64, seed uint64) int {
	_, jobs := arrivals(cell, load, seed)
	room := float64(cell.Workers) * float64(cell.WorkerCapacity.CPUMillis)
	const grid = 20
	most := 0
	for a := range grid {
		for b := a + 1; b <= 2*grid; b++ {
			from, to := cell.ArrivalMs*int64(a)/grid, cell.ArrivalMs*int64(b)/grid
			var work []float64
			sum := 0.0
			for _, j := range jobs {
				if d := j.task.GetSpec().GetDeadlineUnixMs(); d > 0 && j.at >= from && d-epoch <= to {
					w := float64(j.use.CPUMillis) * float64(j.run) * float64(len(j.members))
					work = append(work, w)
					sum += w
				}
			}
			sort.Sort(sort.Reverse(sort.Float64Slice(work)))
			n := 0
			for n < len(work) && sum > room*float64(to-from) {
				sum -= work[n]
				n++
			}
			most = max(most, n)
		}
	}
	return most
}

func quantile(list []int64, q float64) int64 {
	if len(list) == 0 {
		return 0
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

func durations(list []time.Duration) []int64 {
	out := make([]int64, len(list))
	for i, d := range list {
		out[i] = d.Microseconds()
	}
	return out
}

// Report prints one table of all cells, loads and policies.
func Report(w io.Writer, cells []Cell, loads []float64, seed uint64) {
	for _, cell := range cells {
		for _, load := range loads {
			results := []*Result{
				Run(cell, load, &greedy{order: fifo}, seed),
				Run(cell, load, &greedy{order: edf, bestFit: true}, seed),
				Run(cell, load, &ours{}, seed),
			}
			table(w, cell, load, results, bound(cell, load, seed))
		}
	}
}

func table(out io.Writer, cell Cell, load float64, results []*Result, bound int) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, best string, f func(*Result) string) {
		fmt.Fprintf(w, "%s", name)
		for _, x := range results {
			fmt.Fprintf(w, "\t%s", f(x))
		}
		fmt.Fprintf(w, "\t%s\n", best)
	}
	fmt.Fprintf(w, "%s at %.1f\tfirst-fit FIFO\tbest-fit EDF\tours\tbound\n", cell.Name, load)
	for c := range classes {
		row("wait "+classNames[c]+" p50/p99 ms", "200/200", func(x *Result) string {
			return fmt.Sprintf("%d/%d", quantile(x.waits[c], 0.5), quantile(x.waits[c], 0.99))
		})
	}
	row("deadlines missed (of which refused)", fmt.Sprintf("%d", bound), func(x *Result) string {
		return fmt.Sprintf("%d of %d (%d)", x.missed, x.deadlines, x.refused)
	})
	row("packing: used over attainable", "1.000", func(x *Result) string { return fmt.Sprintf("%.3f", (x.used-x.wasted)/max(x.attainable, 1)) })
	row("fairness: worst share held over due", "1.000", func(x *Result) string { return fmt.Sprintf("%.3f", x.fairness) })
	row("work thrown away", "0.000", func(x *Result) string { return fmt.Sprintf("%.3f", x.wasted*step/x.done) })
	row("preempted, killed for memory, quarantined", "0", func(x *Result) string {
		return fmt.Sprintf("%d, %d, %d", x.preempted, x.killed, x.quarantined)
	})
	row("starts that did not fit", "0", func(x *Result) string { return fmt.Sprint(x.overfull) })
	row("round p50/p99 us", "", func(x *Result) string {
		us := durations(x.rounds)
		return fmt.Sprintf("%d/%d", quantile(us, 0.5), quantile(us, 0.99))
	})
	row("placements/s on one core", "", func(x *Result) string { return fmt.Sprintf("%.0f", float64(x.starts)/x.spent.Seconds()) })
	fmt.Fprintln(w)
	_ = w.Flush()
}
