package leader

import (
	"context"
	"fmt"
	"sort"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// ExplainTask tells why a task waits, as counts of workers by reason.
func (l *Leader) ExplainTask(ctx context.Context, customer string, id uint64) (*egretmuxv1.ExplainTaskResponse, error) {
	x, err := l.Task(ctx, customer, id)
	if err != nil {
		return nil, err
	}
	t, err := l.current()
	if err != nil {
		return nil, err
	}
	resp := &egretmuxv1.ExplainTaskResponse{Phase: x.GetPhase(), Summary: x.GetReason()}
	e := t.planner.explain(id)
	if e.Waiting == 0 {
		return resp, nil
	}
	resp.PredictedStartUnixMs, resp.PredictedEndUnixMs = e.StartMs, e.EndMs
	for reason, n := range e.Workers {
		resp.Reasons = append(resp.Reasons, &egretmuxv1.ReasonCount{Reason: string(reason), Workers: int32(n)})
	}
	sort.Slice(resp.Reasons, func(i, j int) bool { return resp.Reasons[i].GetReason() < resp.Reasons[j].GetReason() })
	resp.Summary = fmt.Sprintf("%d members wait", e.Waiting)
	if e.Limit != "" {
		resp.Summary += ": " + e.Limit
	}
	return resp, nil
}
