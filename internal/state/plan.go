package state

import (
	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// commitPlan re-checks every part of a plan against the state as it is now.
// What no longer holds is left out; a gang starts complete or not at all.
func (s *Store) commitPlan(p *egretmuxv1.CommitPlan) *Result {
	result := &Result{}
	for _, r := range p.GetResizes() {
		result.Applied += s.planResize(r)
	}
	for _, stop := range p.GetStops() {
		result.Applied += s.planStop(stop)
	}
	for _, group := range startsByTask(p.GetStarts()) {
		result.Applied += s.planStarts(group)
	}
	for _, r := range p.GetRejects() {
		result.Applied += s.planReject(r)
	}
	return result
}

// startsByTask groups starts by task in the order of first mention.
func startsByTask(starts []*egretmuxv1.PlanStart) [][]*egretmuxv1.PlanStart {
	at := make(map[uint64]int)
	var groups [][]*egretmuxv1.PlanStart
	for _, st := range starts {
		i, ok := at[st.GetTask()]
		if !ok {
			i = len(groups)
			at[st.GetTask()] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], st)
	}
	return groups
}

// planStarts starts the members of one task that can start, and tells how many.
func (s *Store) planStarts(group []*egretmuxv1.PlanStart) int {
	t := s.tasks.get(group[0].GetTask())
	if t == nil || t.GetNotBeforeUnixMs() > s.now {
		return 0
	}
	gang := t.GetSpec().GetKind() == egretmuxv1.TaskKind_TASK_KIND_GANG
	if gang && len(group) != int(task.Members(t.GetSpec())) {
		return 0
	}
	check := newStartCheck(s, t)
	var good []*egretmuxv1.PlanStart
	for _, st := range group {
		if check.admits(st) {
			good = append(good, st)
		}
	}
	if len(good) == 0 || gang && len(good) < len(group) {
		return 0
	}
	s.start(t, good)
	return len(good)
}

// startCheck admits starts of one task, each on top of those before it.
type startCheck struct {
	store   *Store
	task    *egretmuxv1.Task
	waiting map[int32]bool
	added   map[string]worker.Resources
	starts  map[string]int
	total   worker.Resources
}

func newStartCheck(s *Store, t *egretmuxv1.Task) *startCheck {
	c := &startCheck{
		store: s, task: t, waiting: make(map[int32]bool),
		added: make(map[string]worker.Resources), starts: make(map[string]int),
		total: s.HeldByCustomer(t.GetSpec().GetCustomer()),
	}
	for _, m := range task.WaitingMembers(t) {
		c.waiting[m] = true
	}
	return c
}

func (c *startCheck) admits(st *egretmuxv1.PlanStart) bool {
	id := st.GetWorker()
	held := heldAtStart(c.task, st)
	room, total := c.added[id].Plus(held), c.total.Plus(held)
	if !c.waiting[st.GetMember()] ||
		!c.store.workers.accepts(id, st.GetWorkerEpoch(), room, c.starts[id]+1) ||
		!withinQuota(c.store.ParsedContract(c.task.GetSpec().GetCustomer()), total) {
		return false
	}
	delete(c.waiting, st.GetMember())
	c.added[id] = room
	c.starts[id]++
	c.total = total
	return true
}

// heldAtStart is what the plan says, never below the floor of the declared
// size; a plan that says nothing means the declared size.
func heldAtStart(t *egretmuxv1.Task, st *egretmuxv1.PlanStart) worker.Resources {
	if st.GetHeld() == nil {
		return worker.ResourcesFromProto(t.GetSpec().GetResources())
	}
	return worker.ResourcesFromProto(st.GetHeld()).Max(task.ResourceFloor(t.GetSpec()))
}

func (s *Store) start(t *egretmuxv1.Task, starts []*egretmuxv1.PlanStart) {
	next := clone(t)
	next.Reason = ""
	s.mu.Lock()
	for _, st := range starts {
		s.last.attempt++
		next.Attempts = append(next.Attempts, &egretmuxv1.Attempt{
			Id: s.last.attempt, Member: st.GetMember(), Worker: st.GetWorker(),
			Phase: egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STARTING, StartedUnixMs: s.now,
			Held: heldAtStart(t, st).Proto(),
		})
	}
	s.mu.Unlock()
	s.changeTask(next)
}

// planResize sets what a live attempt holds, never below the floor of its
// declared size. What an attempt was seen to use is taken in even when its
// worker is then over its room: nothing more starts there until it has shrunk.
func (s *Store) planResize(r *egretmuxv1.PlanResize) int {
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
	s.changeTask(next)
	return 1
}
