package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/contract"
)

// BenchmarkPlacement measures rounds in which 16 small tasks end and 16 new ones are
// submitted, with a backlog of 2,000 tasks that do not fit.
func BenchmarkPlacement(b *testing.B) {
	for _, workers := range []int{137, 275, 550, 1100, 2200} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchmarkCell(b, workers) })
	}
}

const (
	benchEndsPerRound = 16
	benchCustomers    = 34
	benchBacklog      = 2000
	benchSmallCPU     = 4000 // millicores
	benchLargeCPU     = 30_000
	benchEndStride    = 1009 // step between ending tasks, spreads them over the workers
)

// benchCell is a planner with its workers and tasks. The benchmark fills it to about
// seven attempts per worker.
type benchCell struct {
	p            *Planner
	now          int64
	attempt      uint64
	tasks        []*egretmuxv1.Task
	runningSmall []*egretmuxv1.Task // with benchSmallCPU
}

func newBenchCell(workers int) *benchCell {
	c := &benchCell{p: New(), now: 1_000_000}
	for i := range benchCustomers {
		c.p.SetContract(&contract.Contract{Customer: fmt.Sprintf("team%d", i), Share: 1.0 / benchCustomers})
	}
	for i := range workers {
		c.p.SetWorker(&egretmuxv1.Worker{
			Id: fmt.Sprintf("w%d", i), Datacentre: fmt.Sprintf("dc%d", i%6), Rack: fmt.Sprintf("r%d", i/12),
			Phase: egretmuxv1.WorkerPhase_WORKER_PHASE_READY, Capacity: &egretmuxv1.Resources{CpuMillis: 32_000, MemoryMib: 131_072},
		}, c.now)
	}
	return c
}

func (c *benchCell) submit(cpu int64) *egretmuxv1.Task {
	t := &egretmuxv1.Task{Id: uint64(len(c.tasks) + 1), Phase: egretmuxv1.TaskPhase_TASK_PHASE_QUEUED, SubmittedUnixMs: c.now, Spec: &egretmuxv1.TaskSpec{
		Customer: fmt.Sprintf("team%d", len(c.tasks)%benchCustomers), Name: fmt.Sprintf("job%d", len(c.tasks)%200), Kind: egretmuxv1.TaskKind_TASK_KIND_BATCH, Idempotent: true,
		Resources: &egretmuxv1.Resources{CpuMillis: cpu, MemoryMib: 4096}, DeclaredRunMs: 60_000, DeadlineUnixMs: c.now + 3_600_000,
	}}
	c.tasks = append(c.tasks, t)
	c.p.SetTask(t, c.now)
	return t
}

// runRound plans one round and carries the plan out. It returns the number of starts
// and the time that Decide took.
func (c *benchCell) runRound() (int, time.Duration) {
	c.now += 10
	began := time.Now()
	plan := c.p.Decide(c.now)
	spent := time.Since(began)
	for _, s := range plan.Commit.GetStops() {
		t := c.tasks[s.GetTask()-1]
		t.Phase = egretmuxv1.TaskPhase_TASK_PHASE_QUEUED
		c.runningSmall = slices.DeleteFunc(c.runningSmall, func(x *egretmuxv1.Task) bool { return x == t })
		t.Attempts[0].Phase = egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPED
		c.p.SetTask(t, c.now)
	}
	for _, s := range plan.Commit.GetStarts() {
		c.attempt++
		t := c.tasks[s.GetTask()-1]
		t.Phase = egretmuxv1.TaskPhase_TASK_PHASE_RUNNING
		t.Attempts = []*egretmuxv1.Attempt{{
			Id: c.attempt, Worker: s.GetWorker(), Phase: egretmuxv1.AttemptPhase_ATTEMPT_PHASE_RUNNING, Held: s.GetHeld(),
			StartedUnixMs: c.now, ConfirmedUnixMs: c.now,
		}}
		c.p.SetTask(t, c.now)
		if t.GetSpec().GetResources().GetCpuMillis() == benchSmallCPU {
			c.runningSmall = append(c.runningSmall, t)
		}
	}
	return len(plan.Commit.GetStarts()), spent
}

// succeed ends the i-th running small task with success.
func (c *benchCell) succeed(i int) {
	t := c.runningSmall[i]
	c.runningSmall[i] = c.runningSmall[len(c.runningSmall)-1]
	c.runningSmall = c.runningSmall[:len(c.runningSmall)-1]
	t.Phase = egretmuxv1.TaskPhase_TASK_PHASE_SUCCEEDED
	t.Attempts[0].Phase = egretmuxv1.AttemptPhase_ATTEMPT_PHASE_SUCCEEDED
	t.Attempts[0].EndedUnixMs = c.now
	c.p.SetTask(t, c.now)
}

func benchmarkCell(b *testing.B, workers int) {
	c := newBenchCell(workers)
	for range workers * 8 {
		c.submit(benchSmallCPU)
	}
	for n, _ := c.runRound(); n > 0; n, _ = c.runRound() {
		c.now += 1000
	}
	for range benchBacklog {
		c.submit(benchLargeCPU)
	}
	placed, next := 0, 0
	var spent time.Duration
	for b.Loop() {
		for range benchEndsPerRound {
			next = (next + benchEndStride) % len(c.runningSmall)
			c.succeed(next)
			c.submit(benchSmallCPU)
		}
		n, d := c.runRound()
		placed += n
		spent += d
	}
	b.ReportMetric(float64(placed)/spent.Seconds(), "placements/s")
	b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "us/round")
}
