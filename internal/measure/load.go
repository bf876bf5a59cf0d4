// Package measure simulates placement in virtual time and compares the planner
// with simpler policies. It models arrivals, true sizes and run times and a few
// faults, but no networks or processes.
package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/worker"
)

// Cell describes the workers and customers of one measurement.
type Cell struct {
	Name               string
	Workers            int
	WorkersPerRack     int
	Datacentres        int
	WorkerCapacity     worker.Resources
	AcceleratorWorkers int // workers with accelerators
	Customers          int
	ArrivalMs          int64 // jobs arrive for this long
}

// Cells are the present cells of both users and the one planned for two years ahead.
var Cells = []Cell{
	{"dixie", 50, 6, 4, worker.Resources{CPUMillis: 16_000, MemoryMiB: 65_536}, 0, 4, 300_000},
	{"kalahari", 50, 8, 3, worker.Resources{CPUMillis: 64_000, MemoryMiB: 262_144}, 0, 4, 300_000},
	{"two-year", 1100, 12, 6, worker.Resources{CPUMillis: 32_000, MemoryMiB: 131_072, Accelerators: 8}, 325, 34, 60_000},
}

// class is a kind of work in the load.
type class int

const (
	urgent   class = iota // short and allowed to preempt, without a deadline
	promised              // batch with a deadline
	plain                 // batch without a deadline
	gang                  // with a deadline; all members run together
	large                 // with a deadline; asks for nearly a whole worker
	classCount
)

var classNames = [classCount]string{"urgent", "promised", "plain", "gang", "large"}

// workFractions are the fractions of the offered work, without services, by class.
var workFractions = [classCount]float64{0.03, 0.45, 0.25, 0.20, 0.07}

const (
	serviceFraction = 0.2 // fraction of the capacity that services hold from the start
	namesPerClass   = 8   // task names of one customer and class; each has its own estimate errors
)

// job is one submitted task with its true run time and size, which the policies
// don't know, and its progress.
type job struct {
	task        *egretmuxv1.Task
	class       class
	submittedMs int64 // after epoch
	runMs       int64 // true run time of a member
	usage       worker.Resources
	members     []memberState
	membersLeft int   // members not done
	startedAt   int64 // when the first member was confirmed
	refused     bool
	endedAt     int64
	cancelledAt int64 // 0: not cancelled
}

// memberState is the progress of one member, in milliseconds of its run time.
type memberState struct {
	savedMs, progressMs float64
	done                bool
}

// generator draws jobs from a fixed seed.
type generator struct {
	cell         Cell
	rng          *rand.Rand
	errorFactors map[string][2]float64 // by task name; see estimateErrors
}

// generateLoad draws the services and the jobs of one measurement.
func generateLoad(cell Cell, load float64, seed uint64) (services, jobs []*job) {
	g := &generator{cell: cell, rng: rand.New(rand.NewPCG(seed, 1)), errorFactors: make(map[string][2]float64)}
	return g.services(), g.jobs(load)
}

func (g *generator) logUniform(lo, hi float64) float64 {
	return math.Exp(math.Log(lo) + g.rng.Float64()*(math.Log(hi)-math.Log(lo)))
}

// estimateErrors returns the ratios of declared to true run time and of true to
// declared size, which are drawn once for each task name.
func (g *generator) estimateErrors(name string) (run, size float64) {
	f, ok := g.errorFactors[name]
	if !ok {
		f = [2]float64{g.logUniform(0.2, 5), g.logUniform(0.2, 1)}
		if g.rng.Float64() < 0.3 {
			f[1] = g.logUniform(1, 5)
		}
		g.errorFactors[name] = f
	}
	return f[0], f[1]
}

// jobs draws jobs until their true work and that of the services add up to load, a
// fraction of the cell's capacity. It returns them in the order of arrival.
func (g *generator) jobs(load float64) []*job {
	capacity := float64(g.cell.Workers) * float64(g.cell.WorkerCapacity.CPUMillis)
	var out []*job
	for c := range classCount {
		budget := (load - serviceFraction) * workFractions[c] * capacity * float64(g.cell.ArrivalMs)
		for budget > 0 {
			j := g.drawJob(c)
			out = append(out, j)
			budget -= float64(j.usage.CPUMillis) * float64(j.runMs) * float64(len(j.members))
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].submittedMs < out[b].submittedMs })
	for i, j := range out {
		j.task.Id = uint64(i + 1)
	}
	return out
}

func (g *generator) drawJob(c class) *job {
	customer := g.customer()
	name := fmt.Sprintf("%s-%s-%d", customer, classNames[c], g.rng.IntN(namesPerClass))
	declaredRun, size := g.estimateErrors(name)
	j := &job{class: c, submittedMs: g.rng.Int64N(g.cell.ArrivalMs), runMs: int64(20_000 * math.Exp(0.8*g.rng.NormFloat64()))}
	need := worker.Resources{CPUMillis: 500 * (1 + g.rng.Int64N(8)), MemoryMiB: 1024 * (1 + g.rng.Int64N(12))}
	members, slack := 1+g.rng.IntN(4), 2+4*g.rng.Float64()
	spec := &egretmuxv1.TaskSpec{
		Customer: customer, Name: name, Kind: egretmuxv1.TaskKind_TASK_KIND_BATCH, Idempotent: true, MaxFailures: 20,
	}
	switch c {
	case urgent:
		j.runMs = int64(g.logUniform(300, 2000))
		members, spec.Urgent, need = 1, true, worker.Resources{CPUMillis: 500, MemoryMiB: 1024}
	case gang:
		members, slack = 4+g.rng.IntN(9), 3+5*g.rng.Float64()
		spec.Kind = egretmuxv1.TaskKind_TASK_KIND_GANG
	case large:
		members, slack = 1, 4+4*g.rng.Float64()
		need, size = g.cell.WorkerCapacity.Scale(0.9), min(size, 1)
	}
	if g.cell.AcceleratorWorkers > 0 && c != urgent && g.rng.Float64() < 0.2 {
		need.Accelerators = 1
	} else {
		need.Accelerators = 0
	}
	j.usage = need.Scale(size).Min(g.cell.WorkerCapacity.Scale(0.95))
	j.usage.Accelerators = need.Accelerators
	if c != plain && c != urgent {
		declared := float64(j.runMs) * declaredRun
		spec.DeadlineUnixMs = epoch + j.submittedMs + int64(max(float64(j.runMs)*slack, 1.2*declared)) + 10_000
	}
	spec.Members, spec.Resources = int32(members), need.Proto()
	spec.DeclaredRunMs = max(1, int64(float64(j.runMs)*declaredRun))
	j.members = make([]memberState, members)
	j.membersLeft = members
	j.task = &egretmuxv1.Task{Spec: spec, Phase: egretmuxv1.TaskPhase_TASK_PHASE_QUEUED, SubmittedUnixMs: epoch + j.submittedMs}
	return j
}

// customer draws a submitter. The first customer submits three times as many jobs
// as each of the others.
func (g *generator) customer() string {
	n := g.cell.Customers
	if i := g.rng.IntN(n + 2); i < n {
		return customerName(i)
	}
	return customerName(0)
}

func customerName(i int) string { return fmt.Sprintf("team%02d", i) }

// services returns the service tasks, which hold serviceFraction of the capacity.
func (g *generator) services() []*job {
	need := worker.Resources{CPUMillis: 2000, MemoryMiB: 4096}
	replicas := int(serviceFraction * float64(g.cell.Workers) * float64(g.cell.WorkerCapacity.CPUMillis) / float64(need.CPUMillis))
	var out []*job
	for i := range g.cell.Customers {
		n := replicas / g.cell.Customers
		out = append(out, &job{
			runMs: math.MaxInt64, usage: need, members: make([]memberState, n), membersLeft: n,
			task: &egretmuxv1.Task{Id: uint64(1_000_000 + i), Phase: egretmuxv1.TaskPhase_TASK_PHASE_QUEUED, SubmittedUnixMs: epoch, Spec: &egretmuxv1.TaskSpec{
				Customer: customerName(i), Name: "service", Kind: egretmuxv1.TaskKind_TASK_KIND_SERVICE, Members: int32(n), Resources: need.Proto(),
			}},
		})
	}
	return out
}
