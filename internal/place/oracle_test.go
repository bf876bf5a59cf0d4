package place_test

import (
	"fmt"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// The oracle checks records and executions only. It shares no computed totals with
// the state or the planner.

func (c *cell) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// executionBegan is called when a worker starts to execute an attempt.
func (c *cell) executionBegan(t *egretmuxv1.Task, a *egretmuxv1.Attempt, saved int64) {
	m := member{t.GetId(), a.GetMember()}
	// A paused worker executes nothing, and checks its lease before it continues.
	if other := c.executingOn[m]; other != "" && !c.workers[other].paused {
		c.addViolation("member %v runs on %s and on %s", m, other, a.GetWorker())
	}
	c.executingOn[m] = a.GetWorker()
	c.executionCount[m]++
	if _, ok := c.firstRun[t.GetId()]; !ok {
		c.firstRun[t.GetId()] = c.now
	}
	if c.executionCount[m] > 1 && saved == 0 && !task.Restartable(t.GetSpec()) {
		c.addViolation("non-idempotent member %v ran %d times", m, c.executionCount[m])
	}
}

// liveAttempts returns the live attempts by ID.
func (c *cell) liveAttempts() map[uint64]*egretmuxv1.Attempt {
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

// checkNewAttempts checks the size of each live attempt, and capacity and quota of the
// workers and customers that got a new attempt.
func (c *cell) checkNewAttempts(before map[uint64]*egretmuxv1.Attempt) {
	held := make(map[string]worker.Resources)
	byCustomer := make(map[string]worker.Resources)
	customerOfNew := make(map[string]string) // by worker
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
				customerOfNew[a.GetWorker()] = t.GetSpec().GetCustomer()
			}
			if room.CPUMillis < declared.CPUMillis/4 || room.MemoryMiB < declared.MemoryMiB/2 || room.Accelerators < declared.Accelerators {
				c.addViolation("attempt %d holds %s, too little for the declared %s", a.GetId(), room, declared)
			}
		}
	}
	for id, customer := range customerOfNew {
		if capacity := worker.ResourcesFromProto(c.store.Worker(id).GetCapacity()); !held[id].Fits(capacity) {
			c.addViolation("worker %s holds %s, over its capacity of %s", id, held[id], capacity)
		}
		if q := c.store.ParsedContract(customer).Quota; q.CPUMillis > 0 && byCustomer[customer].CPUMillis > q.CPUMillis {
			c.addViolation("customer %s holds %s, over its quota", customer, byCustomer[customer])
		}
	}
}

// checkInvariants checks every task, and the planner's counts against the state.
func (c *cell) checkInvariants() {
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
			c.addViolation("the planner counts %d attempts of %s, the state has %d", f.Running, f.Customer, running[f.Customer])
		}
	}
	for _, t := range c.store.Tasks() {
		live := make(map[int32]int)
		notStopping := 0
		for _, a := range t.GetAttempts() {
			if !task.Live(a.GetPhase()) {
				continue
			}
			live[a.GetMember()]++
			if a.GetPhase() != egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING {
				notStopping++
			}
		}
		for m, n := range live {
			if n > 1 {
				c.addViolation("task %d has %d live attempts of member %d", t.GetId(), n, m)
			}
		}
		members := int(task.Members(t.GetSpec()))
		if t.GetSpec().GetKind() == egretmuxv1.TaskKind_TASK_KIND_GANG && notStopping > 0 && notStopping+len(t.GetDoneMembers()) != members {
			c.addViolation("gang %d runs %d of %d members, %d are done", t.GetId(), notStopping, members, len(t.GetDoneMembers()))
		}
		if task.Final(t.GetPhase()) && len(live) > 0 {
			c.addViolation("task %d is final with live attempts", t.GetId())
		}
	}
}
