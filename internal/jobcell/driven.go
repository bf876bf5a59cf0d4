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

// Drive makes the calls to workers that the leader sends, and returns what the
// workers answered. It decides nothing: fence, lease and cursor are the leader's.
func (s *service) Drive(ctx context.Context, stream *connect.BidiStream[egretmuxv1.DriveRequest, egretmuxv1.DriveResponse]) error {
	ctx, cancel := context.WithCancel(ctx)
	answers := make(chan *egretmuxv1.DriveAnswer, driveQueue)
	var sending sync.WaitGroup
	sending.Go(func() {
		defer cancel()
		for {
			batch, open := gather(ctx.Done(), answers)
			if !open || stream.Send(&egretmuxv1.DriveResponse{Answers: batch}) != nil {
				return
			}
			time.Sleep(driveGather)
		}
	})
	defer sending.Wait() // nothing is sent once the handler has returned
	defer cancel()
	for {
		msg, err := stream.Receive()
		if err != nil {
			return nil // the leader ended the stream or is gone
		}
		for _, o := range msg.GetOrders() {
			go func() {
				a := s.cell.carryOut(ctx, o)
				a.Id = o.GetId()
				select {
				case answers <- a:
				case <-ctx.Done():
				}
			}()
		}
	}
}

func (c *Cell) carryOut(ctx context.Context, o *egretmuxv1.DriveOrder) *egretmuxv1.DriveAnswer {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(o.GetTimeoutMs())*time.Millisecond)
	defer cancel()
	workers := c.drivers.direct
	target := dispatch.Target{Worker: o.GetWorker(), Born: o.GetBornUnixMs(), Address: o.GetAddress()}
	switch k := o.GetOrder().(type) {
	case *egretmuxv1.DriveOrder_Start:
		t := k.Start.GetTask()
		result, clock := workers.Start(ctx, dispatch.Start{
			Target: target, Task: taskOf(t), Run: t.GetRun(), Payload: k.Start.GetPayload(), Checkpoint: k.Start.GetCheckpoint(),
			Ticket: k.Start.GetTicket(), LeaseUntil: k.Start.GetLeaseUntil(),
		}, o.GetFence())
		return &egretmuxv1.DriveAnswer{Result: int32(result), Clock: clock}
	case *egretmuxv1.DriveOrder_Stop:
		t := k.Stop.GetTask()
		return answered(workers.Stop(ctx, dispatch.Stop{Target: target, Task: taskOf(t), Run: t.GetRun()}, o.GetFence()))
	case *egretmuxv1.DriveOrder_Pace:
		t := k.Pace.GetTask()
		return answered(workers.Pace(ctx, dispatch.Pace{Target: target, Task: taskOf(t), Run: t.GetRun(), Percent: int(k.Pace.GetPercent())}, o.GetFence()))
	case *egretmuxv1.DriveOrder_Look:
		return look(ctx, workers, scheduler.Look{
			Target: target, Fence: o.GetFence(), LeaseUntil: k.Look.GetLeaseUntil(), Cursor: k.Look.GetCursor(),
			Wait: time.Duration(k.Look.GetWaitMs()) * time.Millisecond,
		})
	}
	return &egretmuxv1.DriveAnswer{}
}

func answered(ok bool) *egretmuxv1.DriveAnswer {
	if ok {
		return &egretmuxv1.DriveAnswer{Result: 1}
	}
	return &egretmuxv1.DriveAnswer{}
}

func look(ctx context.Context, workers scheduler.Workers, l scheduler.Look) *egretmuxv1.DriveAnswer {
	listing, result := workers.Look(ctx, l)
	a := &egretmuxv1.DriveAnswer{Result: int32(result), Clock: listing.Clock, Whole: listing.Whole}
	for _, r := range listing.Running {
		a.Running = append(a.Running, &egretmuxv1.ListedRun{Task: refOf(r.Task, r.Run), Checkpoint: r.Checkpoint, Percent: r.Percent, Load: r.Load})
	}
	for _, e := range listing.Ended {
		a.Ended = append(a.Ended, &egretmuxv1.ListedEnd{Number: e.Number, Task: refOf(e.Task, e.Run), Outcome: e.Outcome, Checkpoint: e.Checkpoint, Named: e.TaskParsed})
	}
	return a
}
