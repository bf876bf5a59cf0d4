package leader

import (
	"context"
	"fmt"
	"sort"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// ExplainTask returns why a task waits, as numbers of workers by reason.
func (l *Leader) ExplainTask(ctx context.Context, customer string, id uint64) (*egretmuxv1.ExplainTaskResponse, error) {
	record, err := l.Task(ctx, customer, id)
	if err != nil {
		return nil, err
	}
	t, err := l.currentTenure()
	if err != nil {
		return nil, err
	}
	resp := &egretmuxv1.ExplainTaskResponse{Phase: record.GetPhase(), Summary: record.GetReason()}
	explanation := t.planner.explain(id)
	if explanation.Waiting == 0 {
		return resp, nil
	}
	resp.PredictedStartUnixMs, resp.PredictedEndUnixMs = explanation.StartMs, explanation.EndMs
	for reason, n := range explanation.Workers {
		resp.Reasons = append(resp.Reasons, &egretmuxv1.ReasonCount{Reason: string(reason), Workers: int32(n)})
	}
	sort.Slice(resp.Reasons, func(i, j int) bool { return resp.Reasons[i].GetReason() < resp.Reasons[j].GetReason() })
	resp.Summary = fmt.Sprintf("%d members wait", explanation.Waiting)
	if explanation.Limit != "" {
		resp.Summary += ": " + explanation.Limit
	}
	return resp, nil
}
