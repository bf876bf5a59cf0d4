package place_test

import (
	"fmt"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// The oracle looks at records and executions only; it shares no sums with the
// state or the planner.

func (c *cell) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// began is called when a worker really begins to execute an attempt.
func (c *cell) began(t *egretmuxv1.Task, a *egretmuxv1.Attempt, saved int64) {
	m := member{t.GetId(), a.GetMember()}
	// A paused worker executes nothing, and checks its lease before it goes on.
	if other := c.at[m]; other != "" && !c.workers[other].paused {
		c.fault("member %v runs on %s and on %s", m, other, a.GetWorker())
	}
	c.at[m] = a.GetWorker()
	c.ran[m]++
	if _, ok := c.firstRun[t.GetId()]; !ok {
		c.firstRun[t.GetId()] = c.now
	}
	if c.ran[m] > 1 && saved == 0 && !task.Restartable(t.GetSpec()) {
		c.fault("non-idempotent member %v ran %d times", m, c.ran[m])
	}
}

// live returns the live attempts by number.
func (c *cell) live() map[uint64]*egretmuxv1.Attempt {
	out := make(map[uint64]*egretmuxv1.Attempt)
	for _, t := range c.activeTasks() {
		for _, a := range t.GetAttempts() {
			if task.Live(a.GetPhase()) {
				out[a.GetId()] = a
			}
		}
	}
	return out
}

// checkStarted adds up what each worker and customer that got a new attempt holds.
func (c *cell) checkStarted(before map[uint64]*egretmuxv1.Attempt) {
	held := make(map[string]worker.Resources)
	byCustomer := make(map[string]worker.Resources)
	touched := make(map[string]string) // worker -> customer of a new attempt
	for _, t := range c.activeTasks() {
		declared := worker.ResourcesFromProto(t.GetSpec().GetResources())
		for _, a := range t.GetAttempts() {
			if !task.Live(a.GetPhase()) {
				continue
			}
			room := worker.ResourcesFromProto(a.GetHeld())
			held[a.GetWorker()] = held[a.GetWorker()].Plus(room)
			byCustomer[t.GetSpec().GetCustomer()] = byCustomer[t.GetSpec().GetCustomer()].Plus(room)
			if before[a.GetId()] == nil {
				touched[a.GetWorker()] = t.GetSpec().GetCustomer()
			}
			if room.CPUMillis < declared.CPUMillis/4 || room.MemoryMiB < declared.MemoryMiB/2 || room.Accelerators < declared.Accelerators {
				c.fault("attempt %d holds %s of %s", a.GetId(), room, declared)
			}
		}
	}
	for id, customer := range touched {
		if capacity := worker.ResourcesFromProto(c.store.Worker(id).GetCapacity()); !held[id].Fits(capacity) {
			c.fault("worker %s was given %s of %s", id, held[id], capacity)
		}
		if q := c.store.ParsedContract(customer).Quota; q.CPUMillis > 0 && byCustomer[customer].CPUMillis > q.CPUMillis {
			c.fault("customer %s was given %s over its quota", customer, byCustomer[customer])
		}
	}
}

// check looks at every task, and at what the planner believes to run.
func (c *cell) check() {
	running := make(map[string]int)
	for _, t := range c.store.Tasks() {
		for _, a := range t.GetAttempts() {
			if task.Live(a.GetPhase()) {
				running[t.GetSpec().GetCustomer()]++
			}
		}
	}
	for _, f := range c.planner.Forecast(c.now) {
		if f.Running != running[f.Customer] {
			c.fault("the planner counts %d attempts of %s, the state has %d", f.Running, f.Customer, running[f.Customer])
		}
	}
	for _, t := range c.store.Tasks() {
		live := make(map[int32]int)
		going := 0
		for _, a := range t.GetAttempts() {
			if !task.Live(a.GetPhase()) {
				continue
			}
			live[a.GetMember()]++
			if a.GetPhase() != egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING {
				going++
			}
		}
		for m, n := range live {
			if n > 1 {
				c.fault("task %d has %d live attempts of member %d", t.GetId(), n, m)
			}
		}
		members := int(task.Members(t.GetSpec()))
		if t.GetSpec().GetKind() == egretmuxv1.TaskKind_TASK_KIND_GANG && going > 0 && going+len(t.GetDoneMembers()) != members {
			c.fault("gang %d runs %d of %d members, %d are done", t.GetId(), going, members, len(t.GetDoneMembers()))
		}
		if task.Final(t.GetPhase()) && len(live) > 0 {
			c.fault("task %d is final with live attempts", t.GetId())
		}
	}
}
