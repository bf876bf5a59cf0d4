package state

import (
	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
)

// lostRetryStep is coprime to lostRetrySpreadMs, so that the retries of tasks
// with consecutive numbers are spread over that time.
const lostRetryStep = 389

func (s *Store) commitStop(p *egretmuxv1.PlanStop) int {
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
		s.stopGang(next)
	}
	s.updateTask(next)
	return 1
}

func (s *Store) commitReject(r *egretmuxv1.PlanReject) int {
	t := s.tasks.get(r.GetTask())
	if t == nil || task.Final(t.GetPhase()) {
		return 0
	}
	next := clone(t)
	next.Ending = egretmuxv1.TaskPhase_TASK_PHASE_FAILED
	next.Reason = r.GetReason()
	stopLiveAttempts(next)
	s.updateTask(next)
	return 1
}

// reportAttempts applies the attempt changes that workers reported or that the
// leader concluded from the expiry of their leases.
func (s *Store) reportAttempts(r *egretmuxv1.ReportAttempts) *Result {
	result := &Result{}
	for _, c := range r.GetChanges() {
		t := s.tasks.get(c.GetTask())
		a := task.FindAttempt(t, c.GetAttempt())
		if a == nil || !task.Live(a.GetPhase()) || !validAttemptTransition(a.GetPhase(), c.GetPhase()) {
			continue
		}
		next := clone(t)
		s.changeAttempt(next, task.FindAttempt(next, c.GetAttempt()), c)
		s.updateTask(next)
		result.Applied++
	}
	return result
}

// validAttemptTransition reports whether a live attempt may change from one
// phase to another.
func validAttemptTransition(from, to egretmuxv1.AttemptPhase) bool {
	if to == egretmuxv1.AttemptPhase_ATTEMPT_PHASE_RUNNING {
		return from == egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STARTING
	}
	return !task.Live(to) && to != egretmuxv1.AttemptPhase_ATTEMPT_PHASE_UNSPECIFIED
}

// changeAttempt moves a live attempt to its next phase and updates its task t,
// a copy that the caller stores.
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
		saveCheckpoint(t, a.GetMember(), c.GetCheckpointMs())
	}
	switch c.GetPhase() {
	case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_SUCCEEDED:
		s.handleSuccess(t, a)
	case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_FAILED:
		s.handleFailure(t, a)
	case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_LOST:
		s.handleLoss(t, a, c.GetWorkerRestarted())
	case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPED:
		s.handleStop(t, a)
	case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_REFUSED:
		s.delayPlacement(t, refusedBackoffMs)
	}
	if c.GetPhase() != egretmuxv1.AttemptPhase_ATTEMPT_PHASE_SUCCEEDED && t.GetSpec().GetKind() == egretmuxv1.TaskKind_TASK_KIND_GANG {
		s.stopGang(t)
	}
}

// stopGang stops the live attempts of a gang, which cannot run without one of
// its members. They are marked as preempted, so that their progress is
// checkpointed.
func (s *Store) stopGang(t *egretmuxv1.Task) {
	for _, a := range t.GetAttempts() {
		if task.Live(a.GetPhase()) {
			a.Phase = egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING
			a.Preempted = true
		}
	}
}

// resetBrokenGang clears the done members of a broken gang, so that every member
// is placed again, including those that succeeded. The caller ensures that no
// attempt is live. A gang that must not run twice ends as unknown if a member
// had succeeded.
func (s *Store) resetBrokenGang(t *egretmuxv1.Task) {
	if len(t.GetDoneMembers()) == 0 {
		return
	}
	if task.Restartable(t.GetSpec()) {
		t.DoneMembers = nil
		return
	}
	s.endTask(t, egretmuxv1.TaskPhase_TASK_PHASE_UNKNOWN, "the gang broke after a member had succeeded; look at the task's own records before submitting it again")
}

// delayPlacement delays the task's next placement by at least ms.
func (s *Store) delayPlacement(t *egretmuxv1.Task, ms int64) {
	t.NotBeforeUnixMs = max(t.GetNotBeforeUnixMs(), s.now+ms)
}

func (s *Store) handleSuccess(t *egretmuxv1.Task, a *egretmuxv1.Attempt) {
	if t.GetSpec().GetKind() == egretmuxv1.TaskKind_TASK_KIND_SERVICE {
		s.delayPlacement(t, failureBackoffMs)
		return
	}
	t.DoneMembers = append(t.DoneMembers, a.GetMember())
}

func (s *Store) handleFailure(t *egretmuxv1.Task, a *egretmuxv1.Attempt) {
	for int(a.GetMember()) >= len(t.Failures) {
		t.Failures = append(t.Failures, 0)
	}
	t.Failures[a.GetMember()]++
	failures := t.Failures[a.GetMember()]
	t.NotBeforeUnixMs = s.now + backoffMs(failures)
	if t.GetSpec().GetKind() == egretmuxv1.TaskKind_TASK_KIND_SERVICE {
		return
	}
	if failures >= task.MaxFailures(t.GetSpec()) || !t.GetSpec().GetIdempotent() {
		s.endTask(t, egretmuxv1.TaskPhase_TASK_PHASE_FAILED, "member "+formatUint(uint64(a.GetMember()))+" failed: "+a.GetDetail())
	}
}

// handleLoss delays the retry of the member if the task may run twice; else it
// ends the task as unknown. A task may crash each worker that starts it, so retries
// back off as after failures, and are limited if the worker is known to have restarted: one
// that is only silent may be cut off.
func (s *Store) handleLoss(t *egretmuxv1.Task, a *egretmuxv1.Attempt, workerRestarted bool) {
	if task.Restartable(t.GetSpec()) {
		losses := countLoss(t, a)
		s.delayPlacement(t, int64(t.GetId()*lostRetryStep%lostRetrySpreadMs))
		if losses > 1 {
			s.delayPlacement(t, backoffMs(losses-1))
		}
		if workerRestarted && losses >= maxLosses && t.GetSpec().GetKind() != egretmuxv1.TaskKind_TASK_KIND_SERVICE {
			s.endTask(t, egretmuxv1.TaskPhase_TASK_PHASE_FAILED, "member "+formatUint(uint64(a.GetMember()))+" was lost with its worker "+formatUint(uint64(losses))+" times in a row; it may be what crashes them")
		}
		return
	}
	s.endTask(t, egretmuxv1.TaskPhase_TASK_PHASE_UNKNOWN, "worker "+a.GetWorker()+" was lost while it may have been running; look at the task's own records before submitting it again")
}

// countLoss returns how many attempts of the member in a row were lost with their worker,
// this one included.
func countLoss(t *egretmuxv1.Task, a *egretmuxv1.Attempt) int32 {
	for int(a.GetMember()) >= len(t.Losses) {
		t.Losses = append(t.Losses, 0)
	}
	if a.GetConfirmedUnixMs() > 0 && a.GetEndedUnixMs()-a.GetConfirmedUnixMs() > lossForgottenMs {
		t.Losses[a.GetMember()] = 0
	}
	t.Losses[a.GetMember()]++
	return t.Losses[a.GetMember()]
}

// backoffMs returns the delay after the nth failure in a row.
func backoffMs(n int32) int64 {
	return min(maxFailureBackoffMs, int64(failureBackoffMs)<<min(n-1, 10))
}

// handleStop ends a task that must not run twice as unknown, unless the
// attempt can resume from a checkpoint.
func (s *Store) handleStop(t *egretmuxv1.Task, a *egretmuxv1.Attempt) {
	resumable := task.Restartable(t.GetSpec()) || a.GetCheckpointMs() > 0
	if !resumable && t.GetEnding() == egretmuxv1.TaskPhase_TASK_PHASE_UNSPECIFIED {
		s.endTask(t, egretmuxv1.TaskPhase_TASK_PHASE_UNKNOWN, "stopped without a checkpoint; look at the task's own records before submitting it again")
	}
}

// endTask stops the task's live attempts; once they have stopped, the task
// enters the given phase. A task that is already ending keeps its phase.
func (s *Store) endTask(t *egretmuxv1.Task, phase egretmuxv1.TaskPhase, reason string) {
	if t.GetEnding() != egretmuxv1.TaskPhase_TASK_PHASE_UNSPECIFIED {
		return
	}
	t.Ending = phase
	t.Reason = reason
	stopLiveAttempts(t)
}

// saveCheckpoint records the run time in milliseconds that a member's
// checkpoint saved.
func saveCheckpoint(t *egretmuxv1.Task, member int32, ms int64) {
	for int(member) >= len(t.SavedMs) {
		t.SavedMs = append(t.SavedMs, 0)
	}
	t.SavedMs[member] = max(t.SavedMs[member], ms)
}
