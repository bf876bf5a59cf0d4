package state

import (
	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
)

// lossStep spreads the numbers of consecutive tasks over lossSpread.
const lossStep = 389

func (s *Store) planStop(p *egretmuxv1.PlanStop) int {
	t := s.tasks.get(p.GetTask())
	a := task.FindAttempt(t, p.GetAttempt())
	if a == nil || !task.Live(a.GetPhase()) || a.GetPhase() == egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING {
		return 0
	}
	next := clone(t)
	a = task.FindAttempt(next, p.GetAttempt())
	a.Phase = egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING
	a.Preempted = p.GetCheckpoint()
	a.Detail = p.GetReason()
	if next.GetSpec().GetKind() == egretmuxv1.TaskKind_TASK_KIND_GANG {
		s.gangBroken(next)
	}
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
	case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_REFUSED:
		s.placeAgainAfter(t, refusedDelay)
	}
	if c.GetPhase() != egretmuxv1.AttemptPhase_ATTEMPT_PHASE_SUCCEEDED && t.GetSpec().GetKind() == egretmuxv1.TaskKind_TASK_KIND_GANG {
		s.gangBroken(t)
	}
}

// gangBroken stops the rest of a gang, which cannot go on without one of its
// members, and saves what it ran.
func (s *Store) gangBroken(t *egretmuxv1.Task) {
	for _, a := range t.GetAttempts() {
		if task.Live(a.GetPhase()) {
			a.Phase = egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING
			a.Preempted = true
		}
	}
}

// restartGang lets a gang that broke start again whole once nothing of it is
// live, with the members that had succeeded.
func (s *Store) restartGang(t *egretmuxv1.Task) {
	if len(t.GetDoneMembers()) == 0 {
		return
	}
	if task.Restartable(t.GetSpec()) {
		t.DoneMembers = nil
		return
	}
	s.endTask(t, egretmuxv1.TaskPhase_TASK_PHASE_UNKNOWN, "the gang broke after a member had succeeded; look at the task's own records before submitting it again")
}

// placeAgainAfter delays the next placement by at least ms.
func (s *Store) placeAgainAfter(t *egretmuxv1.Task, ms int64) {
	t.NotBeforeUnixMs = max(t.GetNotBeforeUnixMs(), s.now+ms)
}

func (s *Store) attemptSucceeded(t *egretmuxv1.Task, a *egretmuxv1.Attempt) {
	if t.GetSpec().GetKind() == egretmuxv1.TaskKind_TASK_KIND_SERVICE {
		s.placeAgainAfter(t, failureDelay)
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
	if task.Restartable(t.GetSpec()) {
		s.placeAgainAfter(t, int64(t.GetId()*lossStep%lossSpread))
		return
	}
	s.endTask(t, egretmuxv1.TaskPhase_TASK_PHASE_UNKNOWN, "worker "+a.GetWorker()+" was lost while it may have been running; look at the task's own records before submitting it again")
}

// attemptStopped treats a stopped attempt of a task that must not run twice as
// unknown, unless a checkpoint lets it go on where it stopped.
func (s *Store) attemptStopped(t *egretmuxv1.Task, a *egretmuxv1.Attempt) {
	resumable := task.Restartable(t.GetSpec()) || a.GetCheckpointMs() > 0
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
