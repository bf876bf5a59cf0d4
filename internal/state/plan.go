package state

import (
	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// commitPlan validates every part of a plan against the current state and skips
// the parts that are no longer valid. A gang starts all its members or none.
func (s *Store) commitPlan(p *egretmuxv1.CommitPlan) *Result {
	result := &Result{}
	for _, r := range p.GetResizes() {
		result.Applied += s.commitResize(r)
	}
	for _, stop := range p.GetStops() {
		result.Applied += s.commitStop(stop)
	}
	for _, group := range startsByTask(p.GetStarts()) {
		result.Applied += s.commitStarts(group)
	}
	for _, r := range p.GetRejects() {
		result.Applied += s.commitReject(r)
	}
	return result
}

// startsByTask groups starts by task, in the order in which the tasks first
// appear.
func startsByTask(starts []*egretmuxv1.PlanStart) [][]*egretmuxv1.PlanStart {
	groupOf := make(map[uint64]int)
	var groups [][]*egretmuxv1.PlanStart
	for _, st := range starts {
		i, ok := groupOf[st.GetTask()]
		if !ok {
			i = len(groups)
			groupOf[st.GetTask()] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], st)
	}
	return groups
}

// commitStarts starts the members of one task that can start and returns their
// number.
func (s *Store) commitStarts(group []*egretmuxv1.PlanStart) int {
	t := s.tasks.get(group[0].GetTask())
	if t == nil || t.GetNotBeforeUnixMs() > s.now {
		return 0
	}
	gang := t.GetSpec().GetKind() == egretmuxv1.TaskKind_TASK_KIND_GANG
	if gang && len(group) != int(task.Members(t.GetSpec())) {
		return 0
	}
	admission := newStartAdmission(s, t)
	var admitted []*egretmuxv1.PlanStart
	for _, st := range group {
		if admission.admit(st) {
			admitted = append(admitted, st)
		}
	}
	if len(admitted) == 0 || gang && len(admitted) < len(group) {
		return 0
	}
	s.startAttempts(t, admitted)
	return len(admitted)
}

// startAdmission checks the starts of one task one after another; each admitted
// start counts towards the limits of the next.
type startAdmission struct {
	store        *Store
	task         *egretmuxv1.Task
	waiting      map[int32]bool
	workerAdded  map[string]worker.Resources
	workerStarts map[string]int
	customerHeld worker.Resources
}

func newStartAdmission(s *Store, t *egretmuxv1.Task) *startAdmission {
	a := &startAdmission{
		store: s, task: t, waiting: make(map[int32]bool),
		workerAdded: make(map[string]worker.Resources), workerStarts: make(map[string]int),
		customerHeld: s.HeldByCustomer(t.GetSpec().GetCustomer()),
	}
	for _, m := range task.WaitingMembers(t) {
		a.waiting[m] = true
	}
	return a
}

// admit reports whether a start is valid and, if so, counts it.
func (a *startAdmission) admit(st *egretmuxv1.PlanStart) bool {
	id := st.GetWorker()
	held := heldAtStart(a.task, st)
	added, customerHeld := a.workerAdded[id].Plus(held), a.customerHeld.Plus(held)
	if !a.waiting[st.GetMember()] ||
		!a.store.workers.accepts(id, st.GetWorkerEpoch(), added, a.workerStarts[id]+1) ||
		!withinQuota(a.store.ParsedContract(a.task.GetSpec().GetCustomer()), customerHeld) {
		return false
	}
	delete(a.waiting, st.GetMember())
	a.workerAdded[id] = added
	a.workerStarts[id]++
	a.customerHeld = customerHeld
	return true
}

// heldAtStart returns the resources that a started attempt holds: those of the
// plan, at least the task's floor, or the declared ones if the plan sets none.
func heldAtStart(t *egretmuxv1.Task, st *egretmuxv1.PlanStart) worker.Resources {
	if st.GetHeld() == nil {
		return worker.ResourcesFromProto(t.GetSpec().GetResources())
	}
	return worker.ResourcesFromProto(st.GetHeld()).Max(task.ResourceFloor(t.GetSpec()))
}

func (s *Store) startAttempts(t *egretmuxv1.Task, starts []*egretmuxv1.PlanStart) {
	next := clone(t)
	next.Reason = ""
	s.mu.Lock()
	for _, st := range starts {
		s.lastIDs.attempt++
		next.Attempts = append(next.Attempts, &egretmuxv1.Attempt{
			Id: s.lastIDs.attempt, Member: st.GetMember(), Worker: st.GetWorker(),
			Phase: egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STARTING, StartedUnixMs: s.now,
			Held: heldAtStart(t, st).Proto(),
		})
	}
	s.mu.Unlock()
	s.updateTask(next)
}

// commitResize sets the resources that a live attempt holds, at least the
// task's floor. Growth to the observed usage is applied even if it overcommits
// the worker: nothing more starts there until its attempts fit again.
func (s *Store) commitResize(r *egretmuxv1.PlanResize) int {
	t := s.tasks.get(r.GetTask())
	a := task.FindAttempt(t, r.GetAttempt())
	if a == nil || !task.Live(a.GetPhase()) {
		return 0
	}
	held := worker.ResourcesFromProto(r.GetHeld()).Max(task.ResourceFloor(t.GetSpec()))
	if held == task.HeldResources(t, a) {
		return 0
	}
	next := clone(t)
	task.FindAttempt(next, r.GetAttempt()).Held = held.Proto()
	s.updateTask(next)
	return 1
}
