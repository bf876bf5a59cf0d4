package place_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

var kinds = []egretmuxv1.TaskKind{
	egretmuxv1.TaskKind_TASK_KIND_BATCH, egretmuxv1.TaskKind_TASK_KIND_BATCH,
	egretmuxv1.TaskKind_TASK_KIND_GANG, egretmuxv1.TaskKind_TASK_KIND_SERVICE,
}

func drawSpec(t *rapid.T, c *cell) (*egretmuxv1.TaskSpec, truth) {
	kind := rapid.SampledFrom(kinds).Draw(t, "kind")
	run := rapid.Int64Range(100, 20_000).Draw(t, "run")
	off := rapid.SampledFrom([]float64{0.2, 0.5, 1, 2, 5}).Draw(t, "off")
	spec := &egretmuxv1.TaskSpec{
		Customer: rapid.SampledFrom([]string{"dixie", "kalahari"}).Draw(t, "customer"),
		Name:     fmt.Sprintf("job%d", rapid.IntRange(0, 4).Draw(t, "name")),
		Kind:     kind, Members: rapid.Int32Range(1, 4).Draw(t, "members"),
		Resources: &egretmuxv1.Resources{
			CpuMillis: 500 * rapid.Int64Range(1, 16).Draw(t, "cpu"), MemoryMib: 512 * rapid.Int64Range(1, 16).Draw(t, "memory"),
			Accelerators: rapid.SampledFrom([]int64{0, 0, 0, 1}).Draw(t, "accelerators"),
		},
		DeclaredRunMs: max(1, int64(float64(run)/off)), Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Urgent: rapid.IntRange(0, 9).Draw(t, "urgent") == 0, MaxFailures: 1000,
	}
	if rapid.Bool().Draw(t, "deadline") {
		spec.DeadlineUnixMs = c.now + rapid.Int64Range(run, 20*run).Draw(t, "within")
	}
	return spec, truth{runMs: run, useParts: rapid.SampledFrom([]float64{0.2, 1, 1, 5}).Draw(t, "use")}
}

// TestModelPlacement runs the real planner and state against fake workers under
// faults, and checks each promise with the oracle after every action.
func TestModelPlacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var losses uint64
		c := newCell(func() bool { losses = losses*6364136223846793005 + 1442695040888963407; return losses>>60 == 0 })
		c.contract("dixie", 0.5, "cores = 40")
		c.contract("kalahari", 0.5, "")
		for i := range 6 {
			room := worker.Resources{CPUMillis: 16_000, MemoryMiB: 16_384, Accelerators: int64(i % 2 * 2)}
			c.addWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("dc%d", i%2), fmt.Sprintf("r%d", i%3), room)
		}
		var ids []uint64
		any := func(t *rapid.T) *fakeWorker { return c.workers[rapid.SampledFrom(c.names).Draw(t, "worker")] }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				c.check()
				if len(c.faults) > 0 {
					t.Fatalf("%v", c.faults)
				}
			},
			"submit": func(t *rapid.T) {
				spec, x := drawSpec(t, c)
				if id, err := c.submit(spec, x); err == nil {
					ids = append(ids, id)
				}
			},
			"advance": func(t *rapid.T) { c.advance(rapid.SampledFrom([]int64{100, 1000, 5000}).Draw(t, "ms")) },
			"cancel": func(t *rapid.T) {
				if len(ids) > 0 {
					c.cancel(rapid.SampledFrom(ids).Draw(t, "task"))
				}
			},
			"cancelWave": func(*rapid.T) {
				for i, id := range ids {
					if i%3 == 0 {
						c.cancel(id)
					}
				}
			},
			"leaderChangeMidPlan": func(*rapid.T) {
				c.stale = c.planner.Decide(c.now).Commit
				c.newLeader()
				c.plan()
				c.commit(c.stale) // an old leader's plan, committed late
			},
			"duplicatePlan": func(*rapid.T) {
				if c.stale != nil {
					c.commit(c.stale)
				}
			},
			"lateReport": func(t *rapid.T) {
				for _, x := range any(t).executions() {
					c.report([]*egretmuxv1.AttemptChange{change(x.task, x.attempt, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_RUNNING)})
				}
			},
			"pause":     func(t *rapid.T) { w := any(t); w.paused = !w.paused },
			"partition": func(t *rapid.T) { w := any(t); w.cut = !w.cut },
			"restart":   func(t *rapid.T) { c.restart(any(t)) },
			"blackHole": func(t *rapid.T) { w := any(t); w.blackHole = !w.blackHole },
			"drain":     func(t *rapid.T) { c.setPhase(any(t).record.GetId(), egretmuxv1.WorkerPhase_WORKER_PHASE_DRAINING) },
			"undrain":   func(t *rapid.T) { c.setPhase(any(t).record.GetId(), egretmuxv1.WorkerPhase_WORKER_PHASE_READY) },
		})
		c.heal()
		require.Empty(t, c.faults)
		c.requireNothingLost(t, ids)
	})
}

// heal ends every fault and lets the cell come to rest.
func (c *cell) heal() {
	c.lossy = func() bool { return false }
	for _, id := range c.names {
		w := c.workers[id]
		w.paused, w.cut, w.blackHole = false, false, false
	}
	c.advance(announceMs + 500) // lost workers register, and are still draining if they were
	for _, id := range c.names {
		if c.store.Worker(id).GetPhase() == egretmuxv1.WorkerPhase_WORKER_PHASE_DRAINING {
			c.setPhase(id, egretmuxv1.WorkerPhase_WORKER_PHASE_READY)
		}
	}
	for _, t := range c.store.Tasks() {
		if t.GetSpec().GetKind() == egretmuxv1.TaskKind_TASK_KIND_SERVICE {
			c.cancel(t.GetId())
		}
	}
	for range 100 {
		c.advance(20_000)
		c.check()
		if c.settled() {
			return
		}
	}
}

func (c *cell) settled() bool {
	for _, t := range c.store.Tasks() {
		if !task.Final(t.GetPhase()) {
			return false
		}
	}
	return true
}

func (c *cell) requireNothingLost(t *rapid.T, ids []uint64) {
	for _, id := range ids {
		x := c.store.Task(id)
		if !task.Final(x.GetPhase()) {
			t.Fatalf("task %d never ended: %v; %+v", id, x, c.planner.Explain(id, c.now))
		}
		if x.GetPhase() == egretmuxv1.TaskPhase_TASK_PHASE_FAILED && x.GetSpec().GetIdempotent() {
			t.Fatalf("idempotent task %d failed: %v", id, x)
		}
	}
}
