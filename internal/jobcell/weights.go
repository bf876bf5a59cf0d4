package jobcell

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/balance"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/scheduler"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Kinds of work that the leader divides among instances, as metric labels.
const (
	ordersWork = "orders"
	adviceWork = "advice"
)

// stepWeights updates the weights of the instances while this one leads. A new leader
// starts with equal ones.
func (c *Cell) stepWeights(now time.Time) {
	if !c.scheduler.Leads() {
		c.workers.resetWeights()
		c.advice.resetWeights()
		return
	}
	c.reportWeights(ordersWork, c.workers.stepWeights(now))
	c.reportWeights(adviceWork, c.advice.stepWeights(now))
}

// reportWeights logs the instances that have lost over half of their part of the work,
// and those that have regained it.
func (c *Cell) reportWeights(work string, changes []balance.Change) {
	for _, change := range changes {
		event, direction, message := "instance_share_regained", "regained", "the instance has its full part of the work again"
		if change.Reduced {
			direction, message = "reduced", "answers through this instance are late; others get most of its part of the work"
			event = "instance_share_reduced"
		}
		telemetry.Count(`instance_share_changes_total{work="` + work + `",change="` + direction + `"}`)
		c.cfg.Logger.Info().Str("event", event).Str("work", work).Str("via", change.Instance).
			Int64("wait_ms", change.Wait.Milliseconds()).Int64("usual_ms", change.Usual.Milliseconds()).Msg(message)
	}
}

func (p *workerProxy) resetWeights() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.weights.Reset()
	p.delegates = nil
}

func (p *workerProxy) stepWeights(now time.Time) []balance.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, stream := range p.streams {
		for _, order := range stream.overdue(now) {
			p.weights.Overdue(stream.address, order.sent, now, now.Sub(order.due))
		}
	}
	changed, changes := p.weights.Step(now)
	if changed {
		p.delegates = nil
	}
	return changes
}

func (a *adviceBalancer) resetWeights() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.weights.Reset()
}

func (a *adviceBalancer) stepWeights(now time.Time) []balance.Change {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, changes := a.weights.Step(now)
	return changes
}

// send sends an order on a stream, returns the answer, or nil if there is none in time,
// and records how long the order waited at the instance.
func (p *workerProxy) send(ctx context.Context, stream *driveStream, order *egretmuxv1.DriveOrder, slack time.Duration) *egretmuxv1.DriveAnswer {
	sent := time.Now()
	answer := stream.call(ctx, order, slack)
	if answer == nil {
		p.logUnanswered(stream, order, time.Since(sent))
	}
	if answer == nil && (errors.Is(ctx.Err(), context.Canceled) || stream.closed()) {
		return nil
	}
	now := time.Now()
	if wait, known := waitAtDelegate(order, answer, now.Sub(sent)); known {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.weights.Observe(stream.address, sent, now, wait)
	}
	return answer
}

// logUnanswered logs a start or stop that got no answer: the instance may still pass it on.
func (p *workerProxy) logUnanswered(stream *driveStream, order *egretmuxv1.DriveOrder, waited time.Duration) {
	kind, task := "", (*egretmuxv1.TaskRef)(nil)
	switch o := order.GetOrder().(type) {
	case *egretmuxv1.DriveOrder_Start:
		kind, task = "start", o.Start.GetTask()
	case *egretmuxv1.DriveOrder_Stop:
		kind, task = "stop", o.Stop.GetTask()
	default:
		return
	}
	telemetry.CountRetry("order-unanswered")
	p.cell.cfg.Logger.Info().Str("event", "order_unanswered").Str("order", kind).Str("via", stream.address).Str("worker", order.GetWorker()).
		Str("job", task.GetJob()).Str("task", taskKey(task).String()).Uint64("run", task.GetRun()).Int64("wait_ms", waited.Milliseconds()).Msg("")
}

// waitAtDelegate returns the time that an order took less the time for which the worker
// was called, if that is known. A poll that ended early may have ended at any time.
func waitAtDelegate(order *egretmuxv1.DriveOrder, answer *egretmuxv1.DriveAnswer, elapsed time.Duration) (wait time.Duration, known bool) {
	called := time.Duration(order.GetTimeoutMs()) * time.Millisecond
	if answer != nil && workerAnswered(order, answer) {
		called = time.Duration(order.GetLook().GetWaitMs()) * time.Millisecond
	}
	return elapsed - called, elapsed >= called
}

func workerAnswered(order *egretmuxv1.DriveOrder, answer *egretmuxv1.DriveAnswer) bool {
	switch order.GetOrder().(type) {
	case *egretmuxv1.DriveOrder_Start:
		return dispatch.StartResult(answer.GetResult()) != dispatch.Unanswered
	case *egretmuxv1.DriveOrder_Look:
		return scheduler.PollResult(answer.GetResult()) != scheduler.PollUnanswered
	}
	return answer.GetResult() == 1 // see boolAnswer
}

// overdue returns the orders without an answer beyond the time for which the worker was
// to be called.
func (s *driveStream) overdue(now time.Time) []pendingOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []pendingOrder
	for _, order := range s.pending {
		if now.After(order.due) {
			out = append(out, order)
		}
	}
	return out
}
