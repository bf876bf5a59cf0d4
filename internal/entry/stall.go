package entry

import (
	"context"
	"time"

	"github.com/egretmux/egretmux/internal/link"
	"github.com/egretmux/egretmux/internal/route"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Limits of waiting without progress. An exchange waits for the remaining time
// divided by progressDivisor before it queries the endpoint.
const (
	progressDivisor      = 4
	minProgressWait      = 50 * time.Millisecond
	maxProgressWait      = time.Second
	bodyProgressTimeout  = 10 * time.Second
	lateAnswerWait       = 50 * time.Millisecond // for an answer that was under way when the endpoint replied
	idleQueryPeriod      = 100 * time.Millisecond
	endpointStopGrace    = time.Second // after the deadline, for the endpoint to stop work
	maxUnansweredQueries = 2           // for a request that is not idempotent
)

// exchangeLimits returns the time limits of an exchange. When the answer does not
// begin in time, the endpoint is queried on another connection whether it still
// works on the request.
func (e *Entry) exchangeLimits(ctx context.Context, c *call, slot *route.Slot, leaseEnd time.Time) link.Limits {
	progressWait := min(maxProgressWait, max(minProgressWait, time.Until(c.deadline)/progressDivisor))
	monitor := stallMonitor{entry: e, call: c, slot: slot, progressWait: progressWait}
	return link.Limits{
		SendBy: leaseEnd, Progress: progressWait, Body: bodyProgressTimeout,
		OnStall: func() time.Duration { return monitor.nextWait(ctx) },
	}
}

// stallMonitor decides how long to wait for an answer that does not begin.
type stallMonitor struct {
	entry             *Entry
	call              *call
	slot              *route.Slot
	progressWait      time.Duration
	notRunning        bool // the endpoint replied that it does not work on the request
	unansweredQueries int
}

// nextWait queries the endpoint. It returns how much longer to wait, or zero to
// abandon the exchange.
func (m *stallMonitor) nextWait(ctx context.Context) time.Duration {
	if m.notRunning {
		return 0
	}
	telemetry.Count("stalled_requests_asked_total")
	state, err := m.entry.cfg.Links.Query(ctx, m.slot.Endpoint.Address, m.call.id)
	switch {
	case ctx.Err() != nil:
		return 0
	case err != nil:
		m.slot.RecordResult(route.Unreached)
		m.unansweredQueries++
		if m.call.idempotent || m.unansweredQueries >= maxUnansweredQueries {
			return 0
		}
		return m.progressWait
	case state == link.RunningNo:
		m.notRunning = true
		return lateAnswerWait
	case state == link.RunningUnknown && m.call.idempotent:
		return 0
	}
	return m.progressWait
}

// releaseWhenIdle holds the slot of an abandoned request until the endpoint
// reports that it no longer works on it. An endpoint that does not answer the
// query is assumed to have stopped endpointStopGrace after the request's
// deadline. The first query follows after a pause, because the request may
// arrive at the endpoint later than a query on another connection.
func (e *Entry) releaseWhenIdle(slot *route.Slot, id string, deadline time.Time) {
	telemetry.Count("slots_settled_total")
	for {
		time.Sleep(idleQueryPeriod)
		state, err := e.cfg.Links.Query(context.Background(), slot.Endpoint.Address, id)
		if err != nil {
			state = link.RunningUnknown
		}
		if state == link.RunningNo || state == link.RunningUnknown && time.Since(deadline) > endpointStopGrace {
			slot.Release(route.Neutral)
			return
		}
	}
}
