package state

import (
	"strconv"

	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/task"
)

const (
	maxMembers          = 10000 // of one task
	maxEndedAttempts    = 8     // kept in a task's record
	failureBackoffMs    = 1000  // after the first failure of a member; doubles with each further one
	maxFailureBackoffMs = 60000
	maxLosses           = 5       // of one member in a row, at which a task that may end fails
	lossForgottenMs     = 600_000 // an attempt that ran for so long does not crash its workers
	refusedBackoffMs    = 200     // after a worker refused an attempt
	lostRetrySpreadMs   = 1000    // retries after the loss of a worker are spread over this time
)

// putTask stores a task and updates the totals of its workers and its customer.
func (s *Store) putTask(t *egretmuxv1.Task) {
	old := s.tasks.get(t.GetId())
	s.workers.replaceTask(old, t)
	s.totals.replaceTask(old, t)
	s.tasks.put(t)
}

// updateTask derives the phase of a changed copy of a task, stores it and
// notifies the listener.
func (s *Store) updateTask(t *egretmuxv1.Task) {
	s.updateTaskPhase(t)
	s.putTask(t)
	if s.listener != nil {
		s.listener.TaskChanged(t)
	}
}

func (s *Store) submitTask(c *egretmuxv1.SubmitTask) *Result {
	spec := c.GetSpec()
	hash := changeIDHash(spec.GetCustomer(), c.GetChangeId())
	if c.GetChangeId() != "" {
		if id, ok := s.tasks.byChangeIDHash[hash]; ok {
			return answerRepeatedSubmit(s.tasks.get(id), c)
		}
	}
	if err := s.checkSpec(spec); err != nil {
		return &Result{Err: err}
	}
	if r := c.GetRefusal(); r != nil {
		return &Result{Err: refusal.New(refusal.Kind(r.GetKind()), r.GetRemedy(), "%s", r.GetMessage())}
	}
	s.mu.Lock()
	s.lastIDs.task++
	id := s.lastIDs.task
	s.mu.Unlock()
	t := &egretmuxv1.Task{
		Id: id, Spec: spec, Phase: egretmuxv1.TaskPhase_TASK_PHASE_QUEUED, SubmittedUnixMs: s.now,
	}
	if c.GetChangeId() != "" {
		t.ChangeIdHash = hash
	}
	s.updateTask(t)
	return &Result{Task: t}
}

// answerRepeatedSubmit returns the first answer to a change id, or a key
// conflict if the id was used for a different task. The deadline is not
// compared, as a client may compute it anew when it resends.
func answerRepeatedSubmit(first *egretmuxv1.Task, c *egretmuxv1.SubmitTask) *Result {
	firstSpec, repeatedSpec := clone(first.GetSpec()), clone(c.GetSpec())
	firstSpec.DeadlineUnixMs, repeatedSpec.DeadlineUnixMs = 0, 0
	if !proto.Equal(firstSpec, repeatedSpec) {
		return &Result{Task: first, Err: refusal.New(refusal.KeyConflict, "use a new change id for another task",
			"change %s was for task %d, which is other work", c.GetChangeId(), first.GetId())}
	}
	return &Result{Task: first}
}

// cancelTask stops the live attempts; the task ends when they have stopped.
func (s *Store) cancelTask(c *egretmuxv1.CancelTask) *Result {
	t := s.tasks.get(c.GetTask())
	if t == nil || c.GetCustomer() != "" && t.GetSpec().GetCustomer() != c.GetCustomer() {
		return &Result{Err: refusal.New(refusal.NotFound, "list tasks with 'egretmux task list'", "no task %d", c.GetTask())}
	}
	if task.Final(t.GetPhase()) {
		return &Result{Task: t}
	}
	next := clone(t)
	next.Ending = egretmuxv1.TaskPhase_TASK_PHASE_CANCELLED
	next.Reason = c.GetReason()
	stopLiveAttempts(next)
	s.updateTask(next)
	return &Result{Task: next, Applied: 1}
}

// stopLiveAttempts marks every live attempt as stopping.
func stopLiveAttempts(t *egretmuxv1.Task) {
	for _, a := range t.GetAttempts() {
		if task.Live(a.GetPhase()) {
			a.Phase = egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING
		}
	}
}

// updateTaskPhase derives the task's phase from its attempts, resets a broken
// gang and drops old ended attempts.
func (s *Store) updateTaskPhase(t *egretmuxv1.Task) {
	if task.Final(t.GetPhase()) {
		return
	}
	live := 0
	for _, a := range t.GetAttempts() {
		if task.Live(a.GetPhase()) {
			live++
		}
	}
	waiting := len(task.WaitingMembers(t))
	if live == 0 && waiting > 0 && t.GetSpec().GetKind() == egretmuxv1.TaskKind_TASK_KIND_GANG {
		s.resetBrokenGang(t)
	}
	switch {
	case t.GetEnding() != egretmuxv1.TaskPhase_TASK_PHASE_UNSPECIFIED:
		if live == 0 {
			t.Phase = t.GetEnding()
			t.EndedUnixMs = s.now
		}
	case live == 0 && waiting == 0:
		t.Phase = egretmuxv1.TaskPhase_TASK_PHASE_SUCCEEDED
		t.EndedUnixMs = s.now
	case waiting > 0:
		t.Phase = egretmuxv1.TaskPhase_TASK_PHASE_QUEUED
	default:
		t.Phase = egretmuxv1.TaskPhase_TASK_PHASE_RUNNING
	}
	s.trimAttempts(t)
}

// trimAttempts keeps the live attempts and the newest ended ones. Attempts that
// ended in the current command stay, so that listeners see their end.
func (s *Store) trimAttempts(t *egretmuxv1.Task) {
	ended := 0
	for _, a := range t.GetAttempts() {
		if !task.Live(a.GetPhase()) {
			ended++
		}
	}
	limit := max(maxEndedAttempts, int(task.Members(t.GetSpec())))
	if ended <= limit {
		return
	}
	kept := t.Attempts[:0]
	for _, a := range t.GetAttempts() {
		if !task.Live(a.GetPhase()) && ended > limit && a.GetEndedUnixMs() != s.now {
			ended--
			continue
		}
		kept = append(kept, a)
	}
	t.Attempts = kept
}

// collectGarbage drops old ended tasks, requests and answers to contract
// changes, and marks overdue requests as unknown.
func (s *Store) collectGarbage(c *egretmuxv1.CollectGarbage) *Result {
	n := s.tasks.dropEndedBefore(c.GetTasksEndedBeforeUnixMs())
	n += s.requests.markUnknownBegunBefore(c.GetRequestsBegunBeforeUnixMs(), s.now)
	n += s.requests.dropBefore(c.GetRequestsEndedBeforeUnixMs())
	s.changes.dropBefore(c.GetTasksEndedBeforeUnixMs()) // answers are kept as long as ended tasks
	return &Result{Applied: n}
}

// Task returns a task or nil. The record must not be changed.
func (s *Store) Task(id uint64) *egretmuxv1.Task { return s.tasks.get(id) }

// Tasks returns all tasks in order of their numbers. It decodes every ended
// task.
func (s *Store) Tasks() []*egretmuxv1.Task {
	out := make([]*egretmuxv1.Task, 0, s.tasks.len())
	s.EachTask(0, func(t *egretmuxv1.Task) bool {
		out = append(out, t)
		return true
	})
	return out
}

// LiveTasks returns the tasks that are not final, in order of their numbers.
func (s *Store) LiveTasks() []*egretmuxv1.Task { return s.tasks.liveTasks() }

// EachTask calls f with each task whose number is greater than the given one,
// in order of their numbers, until f returns false.
func (s *Store) EachTask(after uint64, f func(*egretmuxv1.Task) bool) {
	for _, id := range s.tasks.idsAfter(after) {
		if t := s.tasks.get(id); t != nil && !f(t) {
			return
		}
	}
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
