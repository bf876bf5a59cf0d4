// Package place decides which waiting tasks start on which workers. It is a
// function of a snapshot: no clock, no I/O, no shared state.
package place

import (
	"sort"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// Worker is a worker as the planner sees it.
type Worker struct {
	Record    *egretmuxv1.Worker
	Committed worker.Room
	Attempts  int
}

// Snapshot is what a decision is made from.
type Snapshot struct {
	Now     int64 // Unix milliseconds
	Workers []Worker
	Queue   []*egretmuxv1.Task // tasks with waiting members
}

// Decide returns the starts of one planning round.
func Decide(s *Snapshot) *egretmuxv1.CommitPlan {
	plan := &egretmuxv1.CommitPlan{}
	queue := append([]*egretmuxv1.Task(nil), s.Queue...)
	sort.SliceStable(queue, func(i, j int) bool { return before(queue[i], queue[j]) })
	free := freeRooms(s.Workers)
	for _, t := range queue {
		if t.GetNotBeforeUnixMs() > s.Now {
			continue
		}
		plan.Starts = append(plan.Starts, startsOf(t, s.Workers, free)...)
	}
	return plan
}

// before orders the queue: urgent work first, then the nearest deadline, then age.
func before(a, b *egretmuxv1.Task) bool {
	if a.GetSpec().GetUrgent() != b.GetSpec().GetUrgent() {
		return a.GetSpec().GetUrgent()
	}
	da, db := a.GetSpec().GetDeadlineUnixMs(), b.GetSpec().GetDeadlineUnixMs()
	if da != db {
		return da != 0 && (db == 0 || da < db)
	}
	return a.GetId() < b.GetId()
}

func freeRooms(workers []Worker) []worker.Room {
	free := make([]worker.Room, len(workers))
	for i, w := range workers {
		if w.Record.GetPhase() == egretmuxv1.WorkerPhase_WORKER_PHASE_READY {
			free[i] = worker.RoomOf(w.Record.GetCapacity()).Minus(w.Committed)
		}
	}
	return free
}

// startsOf places a task's waiting members; a gang only when all of them fit.
func startsOf(t *egretmuxv1.Task, workers []Worker, free []worker.Room) []*egretmuxv1.PlanStart {
	need := worker.RoomOf(t.GetSpec().GetResources())
	waiting := task.Waiting(t)
	gang := t.GetSpec().GetKind() == egretmuxv1.TaskKind_TASK_KIND_GANG
	if gang && len(waiting) < int(task.Members(t.GetSpec())) {
		return nil
	}
	trial := free
	if gang {
		trial = append([]worker.Room(nil), free...)
	}
	var starts []*egretmuxv1.PlanStart
	for _, m := range waiting {
		best := bestFit(need, trial)
		if best < 0 {
			break
		}
		trial[best] = trial[best].Minus(need)
		start := &egretmuxv1.PlanStart{Task: t.GetId(), Member: m, Worker: workers[best].Record.GetId(), WorkerEpoch: workers[best].Record.GetEpoch()}
		if gang {
			start.Gang = t.GetId()
		}
		starts = append(starts, start)
	}
	if !gang {
		return starts
	}
	if len(starts) < len(waiting) {
		return nil
	}
	copy(free, trial)
	return starts
}

// bestFit returns the worker with the least room left that still fits, or -1.
func bestFit(need worker.Room, free []worker.Room) int {
	best := -1
	for i, f := range free {
		if need.Fits(f) && (best < 0 || f.CPUMillis < free[best].CPUMillis) {
			best = i
		}
	}
	return best
}
