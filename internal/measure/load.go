// Package measure drives the placement decisions in virtual time and compares
// them with simpler policies. It models arrivals, true sizes and run times and a
// few faults, and nothing of networks or processes.
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
	WorkerCapacity     worker.Resources // of one worker
	AcceleratorWorkers int              // workers with accelerators
	Customers          int
	ArrivalMs          int64 // milliseconds of arrivals
}

// Cells are both users' cells of today and the one of two years ahead.
var Cells = []Cell{
	{"dixie", 50, 6, 4, worker.Resources{CPUMillis: 16_000, MemoryMiB: 65_536}, 0, 4, 300_000},
	{"kalahari", 50, 8, 3, worker.Resources{CPUMillis: 64_000, MemoryMiB: 262_144}, 0, 4, 300_000},
	{"two-year", 1100, 12, 6, worker.Resources{CPUMillis: 32_000, MemoryMiB: 131_072, Accelerators: 8}, 325, 34, 60_000},
}

// class is a kind of work in the load.
type class int

const (
	urgent class = iota
	promised
	plain
	gang
	large
	classes
)

var classNames = [classes]string{"urgent", "promised", "plain", "gang", "large"}

// workParts is each class's part of the offered work.
var workParts = [classes]float64{0.03, 0.45, 0.25, 0.20, 0.07}

const (
	servicePart  = 0.2 // of the room, held by services from the start
	namesPerTeam = 8   // kinds of jobs of one customer and class
)

// job is one submission with what is true of it.
type job struct {
	task    *egretmuxv1.Task
	class   class
	at      int64 // submitted, milliseconds
	run     int64 // true run time of a member
	use     worker.Resources
	members []memberState
	left    int // members not done
	began   int64
	refused bool
	ended   int64
	cancel  int64 // when it is cancelled; 0: never
}

type memberState struct {
	saved, ran float64 // milliseconds of progress
	done       bool
}

// generator draws jobs from a fixed seed.
type generator struct {
	cell Cell
	rng  *rand.Rand
	off  map[string][2]float64 // by name: declared run time and true size, as factors
}

// arrivals draws the services and the jobs of one measurement.
func arrivals(cell Cell, load float64, seed uint64) (services, jobs []*job) {
	g := &generator{cell: cell, rng: rand.New(rand.NewPCG(seed, 1)), off: make(map[string][2]float64)}
	return g.services(), g.jobs(load)
}

func (g *generator) logUniform(lo, hi float64) float64 {
	return math.Exp(math.Log(lo) + g.rng.Float64()*(math.Log(hi)-math.Log(lo)))
}

// factors returns how far a name's declared run time and size are off.
func (g *generator) factors(name string) (run, size float64) {
	f, ok := g.off[name]
	if !ok {
		f = [2]float64{g.logUniform(0.2, 5), g.logUniform(0.2, 1)}
		if g.rng.Float64() < 0.3 {
			f[1] = g.logUniform(1, 5)
		}
		g.off[name] = f
	}
	return f[0], f[1]
}

// jobs returns the arrivals whose true work is the given part of the room.
func (g *generator) jobs(load float64) []*job {
	room := float64(g.cell.Workers) * float64(g.cell.WorkerCapacity.CPUMillis)
	var out []*job
	for c := range classes {
		budget := (load - servicePart) * workParts[c] * room * float64(g.cell.ArrivalMs)
		for budget > 0 {
			j := g.draw(c)
			out = append(out, j)
			budget -= float64(j.use.CPUMillis) * float64(j.run) * float64(len(j.members))
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].at < out[b].at })
	for i, j := range out {
		j.task.Id = uint64(i + 1)
	}
	return out
}

func (g *generator) draw(c class) *job {
	customer := g.customer()
	name := fmt.Sprintf("%s-%s-%d", customer, classNames[c], g.rng.IntN(namesPerTeam))
	declaredRun, size := g.factors(name)
	j := &job{class: c, at: g.rng.Int64N(g.cell.ArrivalMs), run: int64(20_000 * math.Exp(0.8*g.rng.NormFloat64()))}
	need := worker.Resources{CPUMillis: 500 * (1 + g.rng.Int64N(8)), MemoryMiB: 1024 * (1 + g.rng.Int64N(12))}
	members, slack := 1+g.rng.IntN(4), 2+4*g.rng.Float64()
	spec := &egretmuxv1.TaskSpec{
		Customer: customer, Name: name, Kind: egretmuxv1.TaskKind_TASK_KIND_BATCH, Idempotent: true, MaxFailures: 20,
	}
	switch c {
	case urgent:
		j.run = int64(g.logUniform(300, 2000))
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
	j.use = need.Scale(size).Min(g.cell.WorkerCapacity.Scale(0.95))
	j.use.Accelerators = need.Accelerators
	if c != plain && c != urgent {
		declared := float64(j.run) * declaredRun
		spec.DeadlineUnixMs = epoch + j.at + int64(max(float64(j.run)*slack, 1.2*declared)) + 10_000
	}
	spec.Members, spec.Resources = int32(members), need.Proto()
	spec.DeclaredRunMs = max(1, int64(float64(j.run)*declaredRun))
	j.members = make([]memberState, members)
	j.left = members
	j.task = &egretmuxv1.Task{Spec: spec, Phase: egretmuxv1.TaskPhase_TASK_PHASE_QUEUED, SubmittedUnixMs: epoch + j.at}
	return j
}

// customer draws a submitter. The first one asks for three times its share.
func (g *generator) customer() string {
	n := g.cell.Customers
	if i := g.rng.IntN(n + 2); i < n {
		return customerName(i)
	}
	return customerName(0)
}

func customerName(i int) string { return fmt.Sprintf("team%02d", i) }

// services returns the long-lived work that holds servicePart of the room.
func (g *generator) services() []*job {
	need := worker.Resources{CPUMillis: 2000, MemoryMiB: 4096}
	replicas := int(servicePart * float64(g.cell.Workers) * float64(g.cell.WorkerCapacity.CPUMillis) / float64(need.CPUMillis))
	var out []*job
	for i := range g.cell.Customers {
		n := replicas / g.cell.Customers
		out = append(out, &job{
			run: math.MaxInt64, use: need, members: make([]memberState, n), left: n,
			task: &egretmuxv1.Task{Id: uint64(1_000_000 + i), Phase: egretmuxv1.TaskPhase_TASK_PHASE_QUEUED, SubmittedUnixMs: epoch, Spec: &egretmuxv1.TaskSpec{
				Customer: customerName(i), Name: "service", Kind: egretmuxv1.TaskKind_TASK_KIND_SERVICE, Members: int32(n), Resources: need.Proto(),
			}},
		})
	}
	return out
}
