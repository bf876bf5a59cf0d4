package state

import (
	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// commitPlan re-checks every part of a plan against the state as it is now.
// The starts of one gang take effect together or not at all.
func (s *Store) commitPlan(p *egretmuxv1.CommitPlan) *Result {
	result := &Result{}
	for _, stop := range p.GetStops() {
		result.Applied += s.planStop(stop)
	}
	gangs := make(map[uint64][]*egretmuxv1.PlanStart)
	for _, st := range p.GetStarts() {
		if st.GetGang() != 0 {
			gangs[st.GetGang()] = append(gangs[st.GetGang()], st)
		}
	}
	for _, st := range p.GetStarts() {
		group := []*egretmuxv1.PlanStart{st}
		if st.GetGang() != 0 {
			group = gangs[st.GetGang()]
			delete(gangs, st.GetGang())
		}
		if len(group) > 0 && s.startable(group) {
			s.start(group)
			result.Applied += len(group)
		}
	}
	for _, r := range p.GetRejects() {
		result.Applied += s.planReject(r)
	}
	return result
}

// startable reports whether all of the starts are still right, taken together.
func (s *Store) startable(group []*egretmuxv1.PlanStart) bool {
	added := make(map[string]worker.Room)
	taken := make(map[uint64]map[int32]bool)
	for _, st := range group {
		t := s.tasks.get(st.GetTask())
		if t == nil || !s.memberWaits(t, st.GetMember()) || t.GetNotBeforeUnixMs() > s.now {
			return false
		}
		if taken[t.GetId()][st.GetMember()] {
			return false
		}
		if taken[t.GetId()] == nil {
			taken[t.GetId()] = make(map[int32]bool)
		}
		taken[t.GetId()][st.GetMember()] = true
		need := added[st.GetWorker()].Plus(worker.RoomOf(t.GetSpec().GetResources()))
		if !s.workers.accepts(st.GetWorker(), st.GetWorkerEpoch(), need) {
			return false
		}
		added[st.GetWorker()] = need
	}
	return true
}

func (s *Store) memberWaits(t *egretmuxv1.Task, member int32) bool {
	for _, m := range task.Waiting(t) {
		if m == member {
			return true
		}
	}
	return false
}

func (s *Store) start(group []*egretmuxv1.PlanStart) {
	changed := make(map[uint64]*egretmuxv1.Task)
	var order []uint64
	for _, st := range group {
		t := changed[st.GetTask()]
		if t == nil {
			t = clone(s.tasks.get(st.GetTask()))
			changed[st.GetTask()] = t
			order = append(order, st.GetTask())
		}
		s.mu.Lock()
		s.last.attempt++
		id := s.last.attempt
		s.mu.Unlock()
		t.Reason = ""
		t.Attempts = append(t.Attempts, &egretmuxv1.Attempt{
			Id: id, Member: st.GetMember(), Worker: st.GetWorker(),
			Phase: egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STARTING, StartedUnixMs: s.now,
		})
	}
	for _, id := range order {
		s.changeTask(changed[id])
	}
}

func (s *Store) planStop(p *egretmuxv1.PlanStop) int {
	t := s.tasks.get(p.GetTask())
	a := task.FindAttempt(t, p.GetAttempt())
	if a == nil || !task.Live(a.GetPhase()) || a.GetPhase() == egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING {
		return 0
	}
	next := clone(t)
	a = task.FindAttempt(next, p.GetAttempt())
	a.Phase = egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING
	a.Preempted = true
	a.Detail = p.GetReason()
	s.changeTask(next)
	return 1
}

func (s *Store) planReject(r *egretmuxv1.PlanReject) int {
	t := s.tasks.get(r.GetTask())
	if t == nil || task.Final(t.GetPhase()) {
		return 0
	}
	next := clone(t)
	next.Ending = egretmuxv1.TaskPhase_TASK_PHASE_FAILED
	next.Reason = r.GetReason()
	stopLive(next)
	s.changeTask(next)
	return 1
}

// reportAttempts carries out what workers saw and what lease expiry proves.
func (s *Store) reportAttempts(r *egretmuxv1.ReportAttempts) *Result {
	result := &Result{}
	for _, c := range r.GetChanges() {
		t := s.tasks.get(c.GetTask())
		a := task.FindAttempt(t, c.GetAttempt())
		if a == nil || !task.Live(a.GetPhase()) || !advances(a.GetPhase(), c.GetPhase()) {
			continue
		}
		next := clone(t)
		s.changeAttempt(next, task.FindAttempt(next, c.GetAttempt()), c)
		s.changeTask(next)
		result.Applied++
	}
	return result
}

// advances reports whether a live attempt may go from one phase to another.
func advances(from, to egretmuxv1.AttemptPhase) bool {
	if to == egretmuxv1.AttemptPhase_ATTEMPT_PHASE_RUNNING {
		return from == egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STARTING
	}
	return !task.Live(to) && to != egretmuxv1.AttemptPhase_ATTEMPT_PHASE_UNSPECIFIED
}

// changeAttempt sets a live attempt's next phase and draws the conclusions for
// its task. t is a copy that the caller stores.
func (s *Store) changeAttempt(t *egretmuxv1.Task, a *egretmuxv1.Attempt, c *egretmuxv1.AttemptChange) {
	a.Phase = c.GetPhase()
	if c.GetDetail() != "" {
		a.Detail = c.GetDetail()
	}
	if c.GetPhase() == egretmuxv1.AttemptPhase_ATTEMPT_PHASE_RUNNING {
		a.ConfirmedUnixMs = s.now
		return
	}
	a.EndedUnixMs = s.now
	if c.GetCheckpointMs() > 0 {
		a.CheckpointMs = c.GetCheckpointMs()
		saveRun(t, a.GetMember(), c.GetCheckpointMs())
	}
	switch c.GetPhase() {
	case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_SUCCEEDED:
		s.attemptSucceeded(t, a)
	case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_FAILED:
		s.attemptFailed(t, a)
	case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_LOST:
		s.attemptLost(t, a)
	case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPED:
		s.attemptStopped(t, a)
	}
	if t.GetSpec().GetKind() == egretmuxv1.TaskKind_TASK_KIND_GANG && c.GetPhase() != egretmuxv1.AttemptPhase_ATTEMPT_PHASE_SUCCEEDED {
		// The rest of a gang cannot go on without one of its members.
		stopLive(t)
	}
}

func (s *Store) attemptSucceeded(t *egretmuxv1.Task, a *egretmuxv1.Attempt) {
	if t.GetSpec().GetKind() == egretmuxv1.TaskKind_TASK_KIND_SERVICE {
		t.NotBeforeUnixMs = s.now + failureDelay
		return
	}
	t.DoneMembers = append(t.DoneMembers, a.GetMember())
}

func (s *Store) attemptFailed(t *egretmuxv1.Task, a *egretmuxv1.Attempt) {
	for int(a.GetMember()) >= len(t.Failures) {
		t.Failures = append(t.Failures, 0)
	}
	t.Failures[a.GetMember()]++
	failures := t.Failures[a.GetMember()]
	t.NotBeforeUnixMs = s.now + min(maxFailureGap, int64(failureDelay)<<min(failures-1, 10))
	if t.GetSpec().GetKind() == egretmuxv1.TaskKind_TASK_KIND_SERVICE {
		return
	}
	if failures >= task.MaxFailures(t.GetSpec()) || !t.GetSpec().GetIdempotent() {
		s.endTask(t, egretmuxv1.TaskPhase_TASK_PHASE_FAILED, "member "+uintName(uint64(a.GetMember()))+" failed: "+a.GetDetail())
	}
}

// attemptLost runs the member again only if that cannot do harm.
func (s *Store) attemptLost(t *egretmuxv1.Task, a *egretmuxv1.Attempt) {
	if t.GetSpec().GetIdempotent() || t.GetSpec().GetKind() == egretmuxv1.TaskKind_TASK_KIND_SERVICE {
		return
	}
	s.endTask(t, egretmuxv1.TaskPhase_TASK_PHASE_UNKNOWN, "worker "+a.GetWorker()+" was lost while it may have been running; look at the task's own records before submitting it again")
}

// attemptStopped treats a stopped attempt of a task that must not run twice as
// unknown, unless a checkpoint lets it go on where it stopped.
func (s *Store) attemptStopped(t *egretmuxv1.Task, a *egretmuxv1.Attempt) {
	resumable := t.GetSpec().GetIdempotent() || t.GetSpec().GetKind() == egretmuxv1.TaskKind_TASK_KIND_SERVICE ||
		a.GetCheckpointMs() > 0 || a.GetConfirmedUnixMs() == 0
	if !resumable && t.GetEnding() == egretmuxv1.TaskPhase_TASK_PHASE_UNSPECIFIED {
		s.endTask(t, egretmuxv1.TaskPhase_TASK_PHASE_UNKNOWN, "stopped without a checkpoint; look at the task's own records before submitting it again")
	}
}

// endTask lets the task end in the given phase once its live attempts have stopped.
func (s *Store) endTask(t *egretmuxv1.Task, phase egretmuxv1.TaskPhase, reason string) {
	if t.GetEnding() != egretmuxv1.TaskPhase_TASK_PHASE_UNSPECIFIED {
		return
	}
	t.Ending = phase
	t.Reason = reason
	stopLive(t)
}

func saveRun(t *egretmuxv1.Task, member int32, ms int64) {
	for int(member) >= len(t.SavedMs) {
		t.SavedMs = append(t.SavedMs, 0)
	}
	t.SavedMs[member] = max(t.SavedMs[member], ms)
}
