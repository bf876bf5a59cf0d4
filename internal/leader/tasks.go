package leader

import (
	"context"
	"sync"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/task"
)

const (
	defaultPageSize    = 100 // tasks in a page of a list without a limit
	maxParallelCancels = 64
)

// SubmitTask commits a task and returns warnings about it. A change id that was
// used before returns the task of its first use.
func (l *Leader) SubmitTask(ctx context.Context, changeID string, spec *egretmuxv1.TaskSpec) (*egretmuxv1.Task, []string, error) {
	t, err := l.currentTenure()
	if err != nil {
		return nil, nil, err
	}
	refusalErr, warnings := t.planner.admit(spec)
	submit := &egretmuxv1.SubmitTask{ChangeId: changeID, Spec: spec}
	if refusalErr != nil {
		submit.Refusal = &egretmuxv1.Refusal{Kind: string(refusalErr.Kind), Message: refusalErr.Message, Remedy: refusalErr.Remedy}
	}
	result, err := l.propose(ctx, &egretmuxv1.Command{Body: &egretmuxv1.Command_SubmitTask{SubmitTask: submit}})
	if err != nil {
		return nil, nil, err
	}
	return result.Task, warnings, nil
}

// Task returns a task of the customer, or of any customer if it is empty.
func (l *Leader) Task(ctx context.Context, customer string, id uint64) (*egretmuxv1.Task, error) {
	if _, err := l.confirmTenure(ctx); err != nil {
		return nil, err
	}
	t := l.store.Task(id)
	if t == nil || customer != "" && t.GetSpec().GetCustomer() != customer {
		return nil, refusal.New(refusal.NotFound, "list tasks with 'egretmux task list'", "no task %d", id)
	}
	return t, nil
}

// WaitTask waits until the task is final, or runs if running is set, for at most
// the given time. The second result reports whether that was reached.
func (l *Leader) WaitTask(ctx context.Context, customer string, id uint64, running bool, wait time.Duration) (*egretmuxv1.Task, bool, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		changed := l.taskNotifier.nextChange(id)
		t, err := l.Task(ctx, customer, id)
		if err != nil {
			return nil, false, err
		}
		if task.Final(t.GetPhase()) || running && t.GetPhase() == egretmuxv1.TaskPhase_TASK_PHASE_RUNNING && allConfirmed(t) {
			return t, true, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return t, false, nil
		case <-ctx.Done():
			return t, false, nil
		}
	}
}

// allConfirmed reports whether the workers have confirmed every live attempt.
func allConfirmed(t *egretmuxv1.Task) bool {
	for _, a := range t.GetAttempts() {
		if a.GetPhase() == egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STARTING {
			return false
		}
	}
	return true
}

// CancelTasks cancels tasks and returns how many were not final before. Up to
// maxParallelCancels are proposed at a time, so that they share log writes.
func (l *Leader) CancelTasks(ctx context.Context, customer string, ids []uint64, reason string) (int, error) {
	if _, err := l.currentTenure(); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var firstErr error
	cancelled := 0
	var group sync.WaitGroup
	slots := make(chan struct{}, maxParallelCancels)
	for _, id := range ids {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			result, err := l.propose(ctx, &egretmuxv1.Command{Body: &egretmuxv1.Command_CancelTask{CancelTask: &egretmuxv1.CancelTask{
				Task: id, Customer: customer, Reason: reason,
			}}})
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				cancelled += result.Applied
			} else if firstErr == nil {
				firstErr = err
			}
		})
	}
	group.Wait()
	return cancelled, firstErr
}

// ListTasks returns a page of the tasks with an id greater than after, and the
// value of after for the next page; 0 if there is none.
func (l *Leader) ListTasks(ctx context.Context, customer string, phase egretmuxv1.TaskPhase, after uint64, limit int) ([]*egretmuxv1.Task, uint64, error) {
	if _, err := l.confirmTenure(ctx); err != nil {
		return nil, 0, err
	}
	if limit <= 0 {
		limit = defaultPageSize
	}
	var page []*egretmuxv1.Task
	var next uint64
	l.store.EachTask(after, func(t *egretmuxv1.Task) bool {
		if customer != "" && t.GetSpec().GetCustomer() != customer || phase != egretmuxv1.TaskPhase_TASK_PHASE_UNSPECIFIED && t.GetPhase() != phase {
			return true
		}
		if len(page) == limit {
			next = page[limit-1].GetId()
			return false
		}
		page = append(page, t)
		return true
	})
	return page, next, nil
}

// BeginRequest commits an attempt of a non-idempotent request. maySend reports
// whether the caller may send it; conflict, whether its key was used for another
// request.
func (l *Leader) BeginRequest(ctx context.Context, r *egretmuxv1.RequestRecord) (record *egretmuxv1.RequestRecord, maySend, conflict bool, err error) {
	if _, err := l.currentTenure(); err != nil {
		return nil, false, false, err
	}
	result, err := l.propose(ctx, &egretmuxv1.Command{Body: &egretmuxv1.Command_BeginRequest{BeginRequest: &egretmuxv1.BeginRequest{Request: r}}})
	if result != nil && result.Err != nil && result.Err.Kind == refusal.KeyConflict {
		return result.Request, false, true, nil
	}
	if err != nil {
		return nil, false, false, err
	}
	return result.Request, result.Run, false, nil
}

// EndRequest commits the outcome of a non-idempotent request.
func (l *Leader) EndRequest(ctx context.Context, r *egretmuxv1.RequestRecord) error {
	if _, err := l.currentTenure(); err != nil {
		return err
	}
	_, err := l.propose(ctx, &egretmuxv1.Command{Body: &egretmuxv1.Command_EndRequest{EndRequest: &egretmuxv1.EndRequest{
		Customer: r.GetCustomer(), Key: r.GetKey(), Attempt: r.GetAttempt(), Phase: r.GetPhase(),
		Status: r.GetStatus(), Answer: r.GetAnswer(), AnswerKept: r.GetAnswerKept(),
	}}})
	return err
}
