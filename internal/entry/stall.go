package entry

import (
	"context"
	"time"

	"github.com/egretmux/egretmux/internal/link"
	"github.com/egretmux/egretmux/internal/route"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Limits of waiting without progress.
const (
	progressPart    = 4 // a request waits this part of its time before it asks
	minProgress     = 50 * time.Millisecond
	maxProgress     = time.Second
	bodyProgress    = 10 * time.Second
	lateAnswer      = 50 * time.Millisecond // for an answer that crosses the question
	settlePeriod    = 100 * time.Millisecond
	settleGrace     = time.Second // after the deadline, for an endpoint to stop
	unansweredLimit = 2           // questions without an answer before a request that must not run twice is given up
)

// limits bounds an exchange. When the answer does not begin in time, the
// endpoint is asked on another connection whether it works on the request.
func (e *Entry) limits(ctx context.Context, c *call, slot *route.Slot, lease time.Time) link.Limits {
	progress := min(maxProgress, max(minProgress, time.Until(c.deadline)/progressPart))
	asked := inquiry{entry: e, call: c, slot: slot, progress: progress}
	return link.Limits{
		SendBy: lease, Progress: progress, Body: bodyProgress,
		OnStall: func() time.Duration { return asked.next(ctx) },
	}
}

// inquiry follows an exchange whose answer does not begin.
type inquiry struct {
	entry      *Entry
	call       *call
	slot       *route.Slot
	progress   time.Duration
	finished   bool // the endpoint said that it does not work on the request
	unanswered int
}

// next returns how long to wait on, or zero when the answer will not come.
func (q *inquiry) next(ctx context.Context) time.Duration {
	if q.finished {
		return 0
	}
	telemetry.Count("stalled_requests_asked_total")
	state, err := q.entry.cfg.Links.Query(ctx, q.slot.Endpoint.Address, q.call.id)
	switch {
	case ctx.Err() != nil:
		return 0
	case err != nil:
		q.slot.RecordResult(route.Unreached)
		q.unanswered++
		if q.call.idempotent || q.unanswered >= unansweredLimit {
			return 0
		}
		return q.progress
	case state == link.RunningNo:
		q.finished = true
		return lateAnswer
	case state == link.RunningUnknown && q.call.idempotent:
		return 0
	}
	return q.progress
}

// settle keeps the slot of a request that was given up until the endpoint
// says that it does not work on it any more. An endpoint that gives no answer
// to the question is taken to have stopped soon after the request's deadline.
// The first question follows after a pause, because the request may arrive at
// the endpoint later than the question on another connection.
func (e *Entry) settle(slot *route.Slot, id string, deadline time.Time) {
	telemetry.Count("slots_settled_total")
	for {
		time.Sleep(settlePeriod)
		state, err := e.cfg.Links.Query(context.Background(), slot.Endpoint.Address, id)
		if err != nil {
			state = link.RunningUnknown
		}
		if state == link.RunningNo || state == link.RunningUnknown && time.Since(deadline) > settleGrace {
			slot.Release(route.Neutral)
			return
		}
	}
}
