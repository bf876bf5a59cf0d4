package state

import (
	"strconv"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// checkSpec returns an error if the task is malformed, its contract forbids it
// or the cell's workers could never run it.
func (s *Store) checkSpec(spec *egretmuxv1.TaskSpec) *refusal.Error {
	c := s.ParsedContract(spec.GetCustomer())
	if c == nil {
		return refusal.New(refusal.Forbidden, "apply a contract first", "customer %s has no contract", spec.GetCustomer())
	}
	if err := checkFields(spec); err != nil {
		return err
	}
	if err := checkClass(c, spec); err != nil {
		return err
	}
	if err := s.checkQuota(c, spec); err != nil {
		return err
	}
	return s.checkCapacity(spec)
}

// checkFields validates the kind, the number of members and the resources.
func checkFields(spec *egretmuxv1.TaskSpec) *refusal.Error {
	if spec.GetKind() == egretmuxv1.TaskKind_TASK_KIND_UNSPECIFIED {
		return refusal.New(refusal.Invalid, "set kind to service, batch or gang", "the task has no kind")
	}
	if spec.GetMembers() < 0 || spec.GetMembers() > maxMembers {
		return refusal.New(refusal.Invalid, "use 1 to "+strconv.Itoa(maxMembers), "the task has %d members", spec.GetMembers())
	}
	r := spec.GetResources()
	if r.GetCpuMillis() < 0 || r.GetMemoryMib() < 0 || r.GetAccelerators() < 0 || r.GetCpuMillis()+r.GetMemoryMib() == 0 {
		return refusal.New(refusal.Invalid, "declare processors and memory of one member", "the task's resources are missing or negative")
	}
	return nil
}

func checkClass(c *contract.Contract, spec *egretmuxv1.TaskSpec) *refusal.Error {
	if spec.GetClass() != "" && c.Class(spec.GetClass()) == nil {
		return refusal.New(refusal.Invalid, "name a class of the contract", "contract %s has no class %s", c.Customer, spec.GetClass())
	}
	if spec.GetUrgent() && !hasUrgentClass(c, spec.GetClass()) {
		return refusal.New(refusal.Forbidden, "set urgent = yes in the contract's class", "contract %s has no urgent class %s", c.Customer, spec.GetClass())
	}
	return nil
}

// hasUrgentClass reports whether the named class is urgent or, if the name is
// empty, any class of the contract.
func hasUrgentClass(c *contract.Contract, class string) bool {
	for i := range c.Classes {
		if c.Classes[i].Urgent && (class == "" || c.Classes[i].Name == class) {
			return true
		}
	}
	return false
}

func (s *Store) checkQuota(c *contract.Contract, spec *egretmuxv1.TaskSpec) *refusal.Error {
	need := worker.ResourcesFromProto(spec.GetResources())
	added := int64(task.Members(spec))
	heldTogether := need
	if spec.GetKind() != egretmuxv1.TaskKind_TASK_KIND_BATCH {
		heldTogether = need.Times(added)
	}
	if !withinQuota(c, heldTogether) {
		return refusal.New(refusal.NeverRunnable, "ask for less or raise the contract's quota",
			"the task holds %s at once, over the quota of %s", heldTogether, c.Customer)
	}
	waiting := s.WaitingMembers(c.Customer) + int(added)
	if c.Quota.QueuedTasks > 0 && waiting > c.Quota.QueuedTasks {
		return refusal.New(refusal.QuotaExceeded, "wait for queued work to start or raise quota queued_tasks",
			"%d members of %s would wait, over its quota of %d", waiting, c.Customer, c.Quota.QueuedTasks)
	}
	return nil
}

// checkCapacity returns an error if the task could not run on the registered
// workers even if they were empty. Lost and draining workers count, and a cell
// without workers refuses nothing.
func (s *Store) checkCapacity(spec *egretmuxv1.TaskSpec) *refusal.Error {
	need := worker.ResourcesFromProto(spec.GetResources())
	var largest worker.Resources
	workers, fittingMembers := 0, int64(0)
	for _, w := range s.workers.all() {
		capacity := worker.ResourcesFromProto(w.GetCapacity())
		largest = largest.Max(capacity)
		fittingMembers += need.CountFitting(capacity)
		workers++
	}
	if workers == 0 {
		return nil
	}
	if fittingMembers == 0 {
		return refusal.New(refusal.NeverRunnable, "ask for less or add such workers",
			"one member needs %s; %s", need, noFitReason(need, largest))
	}
	members := int64(task.Members(spec))
	if spec.GetKind() == egretmuxv1.TaskKind_TASK_KIND_GANG && fittingMembers < members {
		return refusal.New(refusal.NeverRunnable, "use fewer or smaller members",
			"the whole cell holds %d of the gang's %d members at a time", fittingMembers, members)
	}
	return nil
}

// noFitReason describes why no worker can hold need. largest is the maximum of
// all workers' capacities in each dimension.
func noFitReason(need, largest worker.Resources) string {
	switch {
	case need.Accelerators > 0 && largest.Accelerators == 0:
		return "no worker has accelerators"
	case need.Accelerators > largest.Accelerators:
		return "no worker has more than " + strconv.FormatInt(largest.Accelerators, 10) + " accelerators"
	case need.CPUMillis > largest.CPUMillis:
		return "no worker has more than " + strconv.FormatInt(largest.CPUMillis, 10) + " thousandths of a core"
	case need.MemoryMiB > largest.MemoryMiB:
		return "no worker has more than " + strconv.FormatInt(largest.MemoryMiB, 10) + " MiB"
	}
	return "no worker type has all of that together"
}
