package state

import (
	"strconv"

	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/task"
)

const (
	maxMembers    = 10000 // members of one task
	keptAttempts  = 8     // ended attempts kept in a task's record
	failureDelay  = 1000  // milliseconds before a failed member is tried again
	maxFailureGap = 60000 // milliseconds
	refusedDelay  = 200   // milliseconds before a member that a worker refused is placed again
	lossSpread    = 1000  // milliseconds over which the tasks of lost workers are placed again
)

// putTask stores a task and keeps the workers' room in step with its attempts.
func (s *Store) putTask(t *egretmuxv1.Task) {
	old := s.tasks.get(t.GetId())
	s.workers.account(old, t)
	s.ledger.account(old, t)
	s.tasks.put(t)
}

// changeTask stores a changed copy and tells the listener.
func (s *Store) changeTask(t *egretmuxv1.Task) {
	s.settle(t)
	s.putTask(t)
	if s.listener != nil {
		s.listener.TaskChanged(t)
	}
}

func (s *Store) submitTask(c *egretmuxv1.SubmitTask) *Result {
	spec := c.GetSpec()
	hash := hashChange(spec.GetCustomer(), c.GetChangeId())
	if c.GetChangeId() != "" {
		if id, ok := s.tasks.changes[hash]; ok {
			return repeatedTask(s.tasks.get(id), c)
		}
	}
	if err := s.checkSpec(spec); err != nil {
		return &Result{Err: err}
	}
	if r := c.GetRefusal(); r != nil {
		return &Result{Err: refusal.New(refusal.Kind(r.GetKind()), r.GetRemedy(), "%s", r.GetMessage())}
	}
	s.mu.Lock()
	s.last.task++
	id := s.last.task
	s.mu.Unlock()
	t := &egretmuxv1.Task{
		Id: id, Spec: spec, Phase: egretmuxv1.TaskPhase_TASK_PHASE_QUEUED, SubmittedUnixMs: s.now,
	}
	if c.GetChangeId() != "" {
		t.ChangeIdHash = hash
	}
	s.changeTask(t)
	return &Result{Task: t}
}

// repeatedTask gives the first answer to a change id again, unless the id now
// names other work. A deadline counted from a resend does not make it other.
func repeatedTask(first *egretmuxv1.Task, c *egretmuxv1.SubmitTask) *Result {
	was, now := clone(first.GetSpec()), clone(c.GetSpec())
	was.DeadlineUnixMs, now.DeadlineUnixMs = 0, 0
	if !proto.Equal(was, now) {
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
	stopLive(next)
	s.changeTask(next)
	return &Result{Task: next, Applied: 1}
}

// stopLive marks every live attempt as stopping.
func stopLive(t *egretmuxv1.Task) {
	for _, a := range t.GetAttempts() {
		if task.Live(a.GetPhase()) {
			a.Phase = egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING
		}
	}
}

// settle derives the task's phase from its attempts and drops old ones.
func (s *Store) settle(t *egretmuxv1.Task) {
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
		s.restartGang(t)
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

// trimAttempts keeps the live attempts and the newest ended ones. What ended just
// now stays, so that listeners see its end.
func (s *Store) trimAttempts(t *egretmuxv1.Task) {
	ended := 0
	for _, a := range t.GetAttempts() {
		if !task.Live(a.GetPhase()) {
			ended++
		}
	}
	limit := max(keptAttempts, int(task.Members(t.GetSpec())))
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

func (s *Store) collectGarbage(c *egretmuxv1.CollectGarbage) *Result {
	n := s.tasks.collect(c.GetTasksEndedBeforeUnixMs())
	n += s.requests.giveUp(c.GetRequestsBegunBeforeUnixMs(), s.now)
	n += s.requests.collect(c.GetRequestsEndedBeforeUnixMs())
	s.changes.collect(c.GetTasksEndedBeforeUnixMs())
	return &Result{Applied: n}
}

// Task returns a task or nil. The record must not be changed.
func (s *Store) Task(id uint64) *egretmuxv1.Task { return s.tasks.get(id) }

// Tasks returns all tasks in order of their numbers. It decodes every ended one.
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
	for _, id := range s.tasks.ids(after) {
		if t := s.tasks.get(id); t != nil && !f(t) {
			return
		}
	}
}

func uintName(n uint64) string { return strconv.FormatUint(n, 10) }
