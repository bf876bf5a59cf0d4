package jobcell

import (
	"context"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/scheduler"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// The leader calls a small number of workers itself. Beyond that the calls
// would take most of its processor, and other instances make them.
const (
	directWorkers = 96                     // calls to so many take a fifth of a core at three ends a second each
	driveGather   = 8 * time.Millisecond   // least time between two messages on a stream: about half a commit, so that batches form only under load
	driverRest    = 2 * time.Second        // an instance that failed is not used
	driveSlack    = 500 * time.Millisecond // for the way to the driving instance and back
)

// drivers implements scheduler.Workers by having other instances make the calls.
type drivers struct {
	cell   *Cell
	direct scheduler.Workers

	mu    sync.Mutex
	links map[string]*driveLink
	avoid map[string]time.Time
}

func newDrivers(c *Cell, direct scheduler.Workers) *drivers {
	return &drivers{cell: c, direct: direct, links: make(map[string]*driveLink), avoid: make(map[string]time.Time)}
}

// choose returns the link to the instance that calls a worker, or nil when the
// leader does.
func (d *drivers) choose(worker string) *driveLink {
	if d.cell.scheduler.WorkerCount() <= directWorkers {
		return nil
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	best, most := "", uint64(0)
	for _, m := range d.cell.members.live(now, memberBusy) {
		if m.GetReplica() == 0 || m.GetAddress() == d.cell.cfg.Address || now.Before(d.avoid[m.GetAddress()]) {
			continue
		}
		if weight := weigh(m.GetAddress(), worker); best == "" || weight > most {
			best, most = m.GetAddress(), weight
		}
	}
	if best == "" {
		return nil
	}
	l := d.links[best]
	if l == nil || l.closed() {
		l = newDriveLink(d.cell.dialer.Clients(best).Jobs, func() { d.rest(best) })
		d.links[best] = l
	}
	return l
}

// weigh orders instances for a worker, so that few workers move when an
// instance comes or goes.
func weigh(address, worker string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address)) // a hash takes every byte
	_, _ = h.Write([]byte(worker))
	return h.Sum64()
}

func (d *drivers) rest(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoid[address] = time.Now().Add(driverRest)
}

func order(t dispatch.Target, fence uint64) *egretmuxv1.DriveOrder {
	return &egretmuxv1.DriveOrder{Worker: t.Worker, BornUnixMs: t.Born, Address: t.Address, Fence: fence}
}

func refOf(k dispatch.TaskKey, run uint64) *egretmuxv1.TaskRef {
	return &egretmuxv1.TaskRef{Job: k.Job, Occurrence: k.Occurrence, Step: k.Step, Index: k.Index, Run: run}
}

func taskOf(r *egretmuxv1.TaskRef) dispatch.TaskKey {
	return dispatch.TaskKey{StepKey: dispatch.StepKey{Job: r.GetJob(), Occurrence: r.GetOccurrence(), Step: r.GetStep()}, Index: r.GetIndex()}
}

// Start implements scheduler.Workers.
func (d *drivers) Start(ctx context.Context, s dispatch.Start, fence uint64) (dispatch.StartResult, int64) {
	l := d.choose(s.Worker)
	if l == nil {
		return d.direct.Start(ctx, s, fence)
	}
	o := order(s.Target, fence)
	o.Order = &egretmuxv1.DriveOrder_Start{Start: &egretmuxv1.StartOrder{
		Task: refOf(s.Task, s.Run), Payload: s.Payload, Checkpoint: s.Checkpoint, Ticket: s.Ticket, LeaseUntil: s.LeaseUntil,
	}}
	a := l.call(ctx, o)
	if a == nil {
		return dispatch.Unanswered, 0
	}
	return dispatch.StartResult(a.GetResult()), a.GetClock()
}

// Stop implements scheduler.Workers.
func (d *drivers) Stop(ctx context.Context, s dispatch.Stop, fence uint64) bool {
	l := d.choose(s.Worker)
	if l == nil {
		return d.direct.Stop(ctx, s, fence)
	}
	o := order(s.Target, fence)
	o.Order = &egretmuxv1.DriveOrder_Stop{Stop: &egretmuxv1.StopOrder{Task: refOf(s.Task, s.Run)}}
	return l.call(ctx, o).GetResult() == 1
}

// Pace implements scheduler.Workers.
func (d *drivers) Pace(ctx context.Context, p dispatch.Pace, fence uint64) bool {
	l := d.choose(p.Worker)
	if l == nil {
		return d.direct.Pace(ctx, p, fence)
	}
	o := order(p.Target, fence)
	o.Order = &egretmuxv1.DriveOrder_Pace{Pace: &egretmuxv1.PaceOrder{Task: refOf(p.Task, p.Run), Percent: int32(p.Percent)}}
	return l.call(ctx, o).GetResult() == 1
}

// Look implements scheduler.Workers.
func (d *drivers) Look(ctx context.Context, k scheduler.Look) (dispatch.Listing, scheduler.LookResult) {
	l := d.choose(k.Worker)
	if l == nil {
		return d.direct.Look(ctx, k)
	}
	o := order(k.Target, k.Fence)
	o.Order = &egretmuxv1.DriveOrder_Look{Look: &egretmuxv1.LookOrder{LeaseUntil: k.LeaseUntil, Cursor: k.Cursor, WaitMs: k.Wait.Milliseconds()}}
	a := l.call(ctx, o)
	if a == nil {
		return dispatch.Listing{}, scheduler.LookSilent
	}
	return listingOf(a), scheduler.LookResult(a.GetResult())
}

func listingOf(a *egretmuxv1.DriveAnswer) dispatch.Listing {
	out := dispatch.Listing{Clock: a.GetClock(), Whole: a.GetWhole()}
	for _, r := range a.GetRunning() {
		out.Running = append(out.Running, dispatch.ListedRun{Task: taskOf(r.GetTask()), Run: r.GetTask().GetRun(), Checkpoint: r.GetCheckpoint(), Percent: r.GetPercent(), Load: r.GetLoad()})
	}
	for _, e := range a.GetEnded() {
		out.Ended = append(out.Ended, dispatch.ListedEnd{Number: e.GetNumber(), Task: taskOf(e.GetTask()), Run: e.GetTask().GetRun(), Outcome: e.GetOutcome(), Checkpoint: e.GetCheckpoint(), TaskParsed: e.GetNamed()})
	}
	return out
}

// Release implements scheduler.Workers.
func (d *drivers) Release(t dispatch.Target) { d.direct.Release(t) }

// driveLink is one stream to an instance that calls workers.
type driveLink struct {
	out    chan *egretmuxv1.DriveOrder
	end    chan struct{}
	ended  sync.Once
	failed func()
	nextID atomic.Uint64

	mu      sync.Mutex
	waiting map[uint64]chan *egretmuxv1.DriveAnswer
}

// driveQueue is how many orders wait for a stream; more are not answered.
const driveQueue = 4096

type driveClient interface {
	Drive(context.Context) *connect.BidiStreamForClient[egretmuxv1.DriveRequest, egretmuxv1.DriveResponse]
}

func newDriveLink(client driveClient, failed func()) *driveLink {
	l := &driveLink{
		out: make(chan *egretmuxv1.DriveOrder, driveQueue), end: make(chan struct{}), failed: failed,
		waiting: make(map[uint64]chan *egretmuxv1.DriveAnswer),
	}
	ctx, cancel := context.WithCancel(context.Background())
	stream := client.Drive(ctx)
	go func() {
		defer cancel()
		for {
			batch, open := gather(l.end, l.out)
			if !open {
				return
			}
			late := time.AfterFunc(tryTimeout, cancel)
			err := stream.Send(&egretmuxv1.DriveRequest{Orders: batch})
			late.Stop()
			if err != nil {
				l.close()
				return
			}
			time.Sleep(driveGather)
		}
	}()
	go func() {
		defer l.close()
		for {
			msg, err := stream.Receive()
			if err != nil {
				return
			}
			for _, a := range msg.GetAnswers() {
				l.answer(a)
			}
		}
	}()
	return l
}

// gather waits for one item and takes what else is there. The caller pauses
// between two calls, so that items gather while a stream is busy.
func gather[T any](end <-chan struct{}, in <-chan T) (batch []T, open bool) {
	select {
	case <-end:
		return nil, false
	case first := <-in:
		batch = append(batch, first)
	}
	for {
		select {
		case more := <-in:
			batch = append(batch, more)
		default:
			return batch, true
		}
	}
}

func (l *driveLink) closed() bool {
	select {
	case <-l.end:
		return true
	default:
		return false
	}
}

// close ends the link; what waits is not answered.
func (l *driveLink) close() {
	l.ended.Do(func() {
		close(l.end)
		telemetry.CountRetry("driver-lost")
		l.failed()
	})
}

func (l *driveLink) answer(a *egretmuxv1.DriveAnswer) {
	l.mu.Lock()
	waiting := l.waiting[a.GetId()]
	delete(l.waiting, a.GetId())
	l.mu.Unlock()
	if waiting != nil {
		waiting <- a
	}
}

// call returns the answer to an order, or nil when none came.
func (l *driveLink) call(ctx context.Context, o *egretmuxv1.DriveOrder) *egretmuxv1.DriveAnswer {
	deadline, _ := ctx.Deadline()
	answered, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline.Add(driveSlack))
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel() // given up, not out of time
		}
	})()
	o.Id = l.nextID.Add(1)
	o.TimeoutMs = time.Until(deadline).Milliseconds()
	waiting := make(chan *egretmuxv1.DriveAnswer, 1)
	l.mu.Lock()
	l.waiting[o.GetId()] = waiting
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.waiting, o.GetId())
	}()
	select {
	case l.out <- o:
	default:
		telemetry.CountRetry("driver-busy")
		return nil
	}
	select {
	case a := <-waiting:
		return a
	case <-l.end:
		return nil
	case <-answered.Done():
		return nil
	}
}
