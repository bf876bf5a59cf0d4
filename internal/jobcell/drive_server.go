package jobcell

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/scheduler"
)

// Drive implements JobCellService. It makes the calls to workers that the leader
// orders and returns the workers' answers. Fencing token, lease and cursor are the
// leader's; nothing is decided here.
func (s *service) Drive(ctx context.Context, stream *connect.BidiStream[egretmuxv1.DriveRequest, egretmuxv1.DriveResponse]) error {
	ctx, cancel := context.WithCancel(ctx)
	answers := make(chan *egretmuxv1.DriveAnswer, driveQueueSize)
	var sending sync.WaitGroup
	sending.Go(func() {
		defer cancel()
		if stream.Send(&egretmuxv1.DriveResponse{}) != nil { // tells that keepalives follow
			return
		}
		keepalive := time.NewTicker(driveKeepaliveInterval)
		defer keepalive.Stop()
		for {
			batch, open := receiveBatch(ctx.Done(), answers, keepalive.C)
			if !open || stream.Send(&egretmuxv1.DriveResponse{Answers: batch}) != nil {
				return
			}
			time.Sleep(driveBatchInterval)
		}
	})
	defer sending.Wait() // Send must not be called after the handler has returned
	defer cancel()
	for {
		msg, err := stream.Receive()
		if err != nil {
			return nil // the leader closed the stream or is gone
		}
		for _, order := range msg.GetOrders() {
			go func() {
				answer := s.cell.executeOrder(ctx, order)
				answer.Id = order.GetId()
				select {
				case answers <- answer:
				case <-ctx.Done():
				}
			}()
		}
	}
}

// executeOrder makes the ordered call to a worker.
func (c *Cell) executeOrder(ctx context.Context, order *egretmuxv1.DriveOrder) *egretmuxv1.DriveAnswer {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(order.GetTimeoutMs())*time.Millisecond)
	defer cancel()
	workers := c.workers.direct
	target := dispatch.Target{Worker: order.GetWorker(), Born: order.GetBornUnixMs(), Address: order.GetAddress()}
	switch kind := order.GetOrder().(type) {
	case *egretmuxv1.DriveOrder_Start:
		t := kind.Start.GetTask()
		result, clock := workers.Start(ctx, dispatch.StartOrder{
			Target: target, Task: taskKey(t), Run: t.GetRun(), Payload: kind.Start.GetPayload(), Checkpoint: kind.Start.GetCheckpoint(),
			Ticket: kind.Start.GetTicket(), LeaseUntil: kind.Start.GetLeaseUntil(),
		}, order.GetFence())
		return &egretmuxv1.DriveAnswer{Result: int32(result), Clock: clock}
	case *egretmuxv1.DriveOrder_Stop:
		t := kind.Stop.GetTask()
		return boolAnswer(workers.Stop(ctx, dispatch.StopOrder{Target: target, Task: taskKey(t), Run: t.GetRun()}, order.GetFence()))
	case *egretmuxv1.DriveOrder_Pace:
		t := kind.Pace.GetTask()
		return boolAnswer(workers.Pace(ctx, dispatch.PaceOrder{Target: target, Task: taskKey(t), Run: t.GetRun(), Percent: int(kind.Pace.GetPercent())}, order.GetFence()))
	case *egretmuxv1.DriveOrder_Look:
		return executePoll(ctx, workers, scheduler.Poll{
			Target: target, Fence: order.GetFence(), LeaseUntil: kind.Look.GetLeaseUntil(), Cursor: kind.Look.GetCursor(),
			Wait: time.Duration(kind.Look.GetWaitMs()) * time.Millisecond,
		})
	}
	return &egretmuxv1.DriveAnswer{Result: resultOfUnknownOrder}
}

// resultOfUnknownOrder answers an order of a kind that this release does not know. It is none of the
// results of an order, so that the leader takes the order for unanswered.
const resultOfUnknownOrder = -1

// boolAnswer encodes whether the worker answered a stop or pace order: result 1 if it
// did, else 0.
func boolAnswer(ok bool) *egretmuxv1.DriveAnswer {
	if ok {
		return &egretmuxv1.DriveAnswer{Result: 1}
	}
	return &egretmuxv1.DriveAnswer{}
}

func executePoll(ctx context.Context, workers scheduler.WorkerClient, poll scheduler.Poll) *egretmuxv1.DriveAnswer {
	listing, result := workers.Poll(ctx, poll)
	answer := &egretmuxv1.DriveAnswer{Result: int32(result), Clock: listing.Clock, Whole: listing.Complete}
	for _, r := range listing.Running {
		answer.Running = append(answer.Running, &egretmuxv1.ListedRun{Task: taskRef(r.Task, r.Run), Checkpoint: r.Checkpoint, Percent: r.ProgressPercent, Load: r.TailLatencyMs})
	}
	for _, e := range listing.Ended {
		answer.Ended = append(answer.Ended, &egretmuxv1.ListedEnd{Number: e.Number, Task: taskRef(e.Task, e.Run), Outcome: e.Outcome, Checkpoint: e.Checkpoint, Named: e.TaskParsed})
	}
	return answer
}
