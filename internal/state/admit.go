package state

import (
	"strconv"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// checkSpec refuses a task that is malformed, that its contract forbids or
// that no worker of the cell could ever run.
func (s *Store) checkSpec(spec *egretmuxv1.TaskSpec) *refusal.Error {
	c := s.ParsedContract(spec.GetCustomer())
	if c == nil {
		return refusal.New(refusal.Forbidden, "apply a contract first", "customer %s has no contract", spec.GetCustomer())
	}
	if err := checkForm(spec); err != nil {
		return err
	}
	if err := checkClass(c, spec); err != nil {
		return err
	}
	if err := s.checkQuota(c, spec); err != nil {
		return err
	}
	return s.checkWorkers(spec)
}

func checkForm(spec *egretmuxv1.TaskSpec) *refusal.Error {
	if spec.GetKind() == egretmuxv1.TaskKind_TASK_KIND_UNSPECIFIED {
		return refusal.New(refusal.Invalid, "set kind to service, batch or gang", "the task has no kind")
	}
	if spec.GetMembers() < 0 || spec.GetMembers() > maxMembers {
		return refusal.New(refusal.Invalid, "use 1 to "+strconv.Itoa(maxMembers), "%d members", spec.GetMembers())
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
	if spec.GetUrgent() && !mayBeUrgent(c, spec.GetClass()) {
		return refusal.New(refusal.Forbidden, "set urgent = yes in the contract's class", "contract %s has no urgent class %s", c.Customer, spec.GetClass())
	}
	return nil
}

// mayBeUrgent reports whether the named class, or any class for "", is urgent.
func mayBeUrgent(c *contract.Contract, class string) bool {
	for i := range c.Classes {
		if c.Classes[i].Urgent && (class == "" || c.Classes[i].Name == class) {
			return true
		}
	}
	return false
}

func (s *Store) checkQuota(c *contract.Contract, spec *egretmuxv1.TaskSpec) *refusal.Error {
	need := worker.ResourcesFromProto(spec.GetResources())
	members := int64(task.Members(spec))
	atOnce := need
	if spec.GetKind() != egretmuxv1.TaskKind_TASK_KIND_BATCH {
		atOnce = need.Times(members)
	}
	if !withinQuota(c, atOnce) {
		return refusal.New(refusal.NeverRunnable, "ask for less or raise the contract's quota",
			"the task holds %s at once, over the quota of %s", atOnce, c.Customer)
	}
	waiting := s.WaitingMembers(c.Customer) + int(members)
	if c.Quota.QueuedTasks > 0 && waiting > c.Quota.QueuedTasks {
		return refusal.New(refusal.QuotaExceeded, "wait for queued work to start or raise quota queued_tasks",
			"%d members of %s would wait, over its quota of %d", waiting, c.Customer, c.Quota.QueuedTasks)
	}
	return nil
}

// checkWorkers compares the need with the registered workers, whatever their
// phase. A cell without workers refuses nothing.
func (s *Store) checkWorkers(spec *egretmuxv1.TaskSpec) *refusal.Error {
	need := worker.ResourcesFromProto(spec.GetResources())
	var largest worker.Resources
	workers, fitting := 0, int64(0)
	for _, w := range s.workers.all() {
		capacity := worker.ResourcesFromProto(w.GetCapacity())
		largest = largest.Max(capacity)
		fitting += need.CountFitting(capacity)
		workers++
	}
	if workers == 0 {
		return nil
	}
	if fitting == 0 {
		return refusal.New(refusal.NeverRunnable, "ask for less or add such workers",
			"one member needs %s; %s", need, exclusion(need, largest))
	}
	members := int64(task.Members(spec))
	if spec.GetKind() == egretmuxv1.TaskKind_TASK_KIND_GANG && fitting < members {
		return refusal.New(refusal.NeverRunnable, "use fewer or smaller members",
			"the whole cell holds %d of the gang's %d members at a time", fitting, members)
	}
	return nil
}

// exclusion names the limit that excludes a need.
func exclusion(need, largest worker.Resources) string {
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
