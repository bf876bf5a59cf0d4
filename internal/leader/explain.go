package leader

import (
	"context"
	"sort"
	"strconv"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// ExplainTask tells why a task waits, as counts of workers by reason.
func (l *Leader) ExplainTask(ctx context.Context, customer string, id uint64) (*egretmuxv1.ExplainTaskResponse, error) {
	t, err := l.Task(ctx, customer, id)
	if err != nil {
		return nil, err
	}
	resp := &egretmuxv1.ExplainTaskResponse{Phase: t.GetPhase(), Summary: t.GetReason()}
	waiting := len(task.Waiting(t))
	if waiting == 0 {
		return resp, nil
	}
	counts := make(map[string]int32)
	for _, w := range l.store.Workers() {
		committed, _ := l.store.Committed(w.GetId())
		counts[whyNot(t, w, committed)]++
	}
	for reason, n := range counts {
		resp.Reasons = append(resp.Reasons, &egretmuxv1.ReasonCount{Reason: reason, Workers: n})
	}
	sort.Slice(resp.Reasons, func(i, j int) bool { return resp.Reasons[i].GetReason() < resp.Reasons[j].GetReason() })
	resp.Summary = strconv.Itoa(waiting) + " members wait"
	return resp, nil
}

// whyNot returns the first reason why a worker does not take a member of the task.
func whyNot(t *egretmuxv1.Task, w *egretmuxv1.Worker, committed worker.Room) string {
	need := worker.RoomOf(t.GetSpec().GetResources())
	capacity := worker.RoomOf(w.GetCapacity())
	switch {
	case w.GetPhase() != egretmuxv1.WorkerPhase_WORKER_PHASE_READY:
		return "worker is not ready"
	case !need.Fits(capacity):
		return "worker is too small"
	case !need.Fits(capacity.Minus(committed)):
		return "worker is full"
	}
	return "worker has room"
}
