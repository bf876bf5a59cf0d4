package jobcell

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/balance"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/scheduler"
	"github.com/egretmux/egretmux/internal/telemetry"
)

const (
	// maxDirectWorkers is the number of workers up to which the leader calls them
	// itself. The calls to 96 workers take a fifth of a core at three finished runs a
	// second each; those to many more would take most of the leader's CPU.
	maxDirectWorkers = 96
	// driveBatchInterval is the minimum time between two messages on a stream, about
	// half a commit, so that batches form only under load.
	driveBatchInterval = 8 * time.Millisecond
	delegateBackoff    = 2 * time.Second        // time without orders for an instance whose stream broke
	driveDeadlineSlack = 500 * time.Millisecond // network round trip between the leader and the instance that calls the worker
	// gangDeadlineSlack is the same for members of gangs, as the others wait for them meanwhile.
	gangDeadlineSlack = 150 * time.Millisecond
	// stopHedgeDelay is the time after which a stop without an answer is also sent directly.
	stopHedgeDelay = 200 * time.Millisecond
	// driveKeepaliveInterval is the interval at which an instance sends a response without
	// answers on a stream.
	driveKeepaliveInterval = 100 * time.Millisecond
	// driveSilenceTimeout is the time without any response after which the leader closes
	// a stream: the instance lost power, is frozen or cut off. It covers the
	// retransmission of a lost packet.
	driveSilenceTimeout = 400 * time.Millisecond
)

// workerProxy implements scheduler.WorkerClient. It delegates the calls to other instances
// once there are more than maxDirectWorkers workers.
type workerProxy struct {
	cell   *Cell
	direct scheduler.WorkerClient

	mu         sync.Mutex
	streams    map[string]*driveStream // by instance address
	avoidUntil map[string]time.Time    // end of the backoff, by instance address
	// candidates are the instances with a replica that may get orders, and delegates
	// the one chosen among them for each worker. Both are computed anew when the
	// responsive instances, the backoffs or the weights change.
	responsive []*egretmuxv1.Member
	candidates []string
	delegates  map[string]string
	checkAt    time.Time // when the next backoff ends; zero if there is none
	weights    *balance.Weights
}

func newWorkerProxy(c *Cell, direct scheduler.WorkerClient) *workerProxy {
	return &workerProxy{
		cell: c, direct: direct, streams: make(map[string]*driveStream), avoidUntil: make(map[string]time.Time),
		weights: balance.New(balance.Orders),
	}
}

// chooseStream returns the stream to the instance that calls the given worker, or nil
// if the leader calls it directly.
func (p *workerProxy) chooseStream(worker string) *driveStream {
	if p.cell.scheduler.WorkerCount() <= maxDirectWorkers {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delegate := p.delegateOf(worker, time.Now())
	if delegate == "" {
		return nil
	}
	stream := p.streams[delegate]
	if stream == nil || stream.closed() {
		stream = newDriveStream(p.cell.dialer.Clients(delegate).Jobs, func() { p.backOff(delegate) })
		stream.address = delegate
		p.streams[delegate] = stream
	}
	return stream
}

// delegateOf returns the instance that calls a worker, or an empty string if there is
// none. The caller holds mu.
func (p *workerProxy) delegateOf(worker string, now time.Time) string {
	p.updateCandidates(now)
	delegate, known := p.delegates[worker]
	if !known {
		delegate = balance.Choose(worker, p.candidates, p.weights)
		p.delegates[worker] = delegate
	}
	return delegate
}

// updateCandidates computes the candidates if they may have changed. The caller holds mu.
func (p *workerProxy) updateCandidates(now time.Time) {
	responsive := p.cell.directory.Responsive(now)
	if p.delegates != nil && sameMembers(responsive, p.responsive) && (p.checkAt.IsZero() || now.Before(p.checkAt)) {
		return
	}
	p.responsive, p.candidates, p.delegates, p.checkAt = responsive, nil, make(map[string]string), time.Time{}
	for _, m := range responsive {
		address := m.GetAddress()
		if m.GetReplica() == 0 {
			continue
		}
		if until := p.avoidUntil[address]; now.Before(until) {
			if p.checkAt.IsZero() || until.Before(p.checkAt) {
				p.checkAt = until
			}
			continue
		}
		p.candidates = append(p.candidates, address)
	}
}

// sameMembers reports whether two results of Responsive are the same slice.
func sameMembers(a, b []*egretmuxv1.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (p *workerProxy) backOff(address string) {
	p.cell.cfg.Logger.Warn().Str("event", "delegate_lost").Str("via", address).Int64("backoff_ms", delegateBackoff.Milliseconds()).Msg("calls to workers go through other instances")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoidUntil[address] = time.Now().Add(delegateBackoff)
	p.delegates = nil
}

func newDriveOrder(t dispatch.Target, fence uint64) *egretmuxv1.DriveOrder {
	return &egretmuxv1.DriveOrder{Worker: t.Worker, BornUnixMs: t.Born, Address: t.Address, Fence: fence}
}

func taskRef(key dispatch.TaskKey, run uint64) *egretmuxv1.TaskRef {
	return &egretmuxv1.TaskRef{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Index: key.Index, Run: run}
}

func taskKey(ref *egretmuxv1.TaskRef) dispatch.TaskKey {
	return dispatch.TaskKey{StepKey: dispatch.StepKey{Job: ref.GetJob(), Occurrence: ref.GetOccurrence(), Step: ref.GetStep()}, Index: ref.GetIndex()}
}

// Start implements scheduler.WorkerClient. A start that got no answer is repeated directly: the other instance,
// its link, or what is queued before the order may be slow.
func (p *workerProxy) Start(ctx context.Context, start dispatch.StartOrder, fence uint64) (dispatch.StartResult, int64) {
	var stream *driveStream
	if !start.Repeated {
		stream = p.chooseStream(start.Worker)
	}
	if stream == nil {
		return p.direct.Start(ctx, start, fence)
	}
	slack := driveDeadlineSlack
	if start.AnswerBy > 0 {
		slack = gangDeadlineSlack
	}
	order := newDriveOrder(start.Target, fence)
	order.Order = &egretmuxv1.DriveOrder_Start{Start: &egretmuxv1.StartOrder{
		Task: taskRef(start.Task, start.Run), Payload: start.Payload, Checkpoint: start.Checkpoint, Ticket: start.Ticket, LeaseUntil: start.LeaseUntil,
	}}
	answer := p.send(ctx, stream, order, slack)
	if answer == nil {
		return dispatch.Unanswered, 0
	}
	return decodeStartResult(answer), answer.GetClock()
}

// decodeStartResult returns the result of a start that another instance sent. One that
// this release does not know leaves open whether the run began.
func decodeStartResult(answer *egretmuxv1.DriveAnswer) dispatch.StartResult {
	result := dispatch.StartResult(answer.GetResult())
	if !result.Known() {
		telemetry.CountRetry("start-result-unknown")
		return dispatch.Unanswered
	}
	return result
}

// Stop implements scheduler.WorkerClient. A missing answer counts as result 0 (see boolAnswer). A stop that
// another instance does not get through soon is also sent directly, as members of a gang, or a task's next run, wait for
// it; it changes nothing if it arrives twice.
func (p *workerProxy) Stop(ctx context.Context, stop dispatch.StopOrder, fence uint64) bool {
	stream := p.chooseStream(stop.Worker)
	if stream == nil {
		return p.direct.Stop(ctx, stop, fence)
	}
	order := newDriveOrder(stop.Target, fence)
	order.Order = &egretmuxv1.DriveOrder_Stop{Stop: &egretmuxv1.StopOrder{Task: taskRef(stop.Task, stop.Run)}}
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers, paths := make(chan bool, 2), 1
	go func() { answers <- p.send(ctx, stream, order, 0).GetResult() == 1 }()
	hedge := time.NewTimer(stopHedgeDelay)
	defer hedge.Stop()
	for hedged := false; paths > 0; {
		select {
		case answered := <-answers:
			if answered || ctx.Err() != nil || !time.Now().Before(deadline) { // the stream may see the deadline first
				return answered
			}
			paths--
		case <-hedge.C:
		case <-ctx.Done():
			return false
		}
		if !hedged {
			hedged = true
			paths++
			telemetry.CountRetry("stop-sent-directly")
			go func() { answers <- p.direct.Stop(ctx, stop, fence) }()
		}
	}
	return false
}

// Pace implements scheduler.WorkerClient. A missing answer counts as result 0.
func (p *workerProxy) Pace(ctx context.Context, pace dispatch.PaceOrder, fence uint64) bool {
	stream := p.chooseStream(pace.Worker)
	if stream == nil {
		return p.direct.Pace(ctx, pace, fence)
	}
	order := newDriveOrder(pace.Target, fence)
	order.Order = &egretmuxv1.DriveOrder_Pace{Pace: &egretmuxv1.PaceOrder{Task: taskRef(pace.Task, pace.Run), Percent: int32(pace.Percent)}}
	return p.send(ctx, stream, order, driveDeadlineSlack).GetResult() == 1
}

// Poll implements scheduler.WorkerClient.
func (p *workerProxy) Poll(ctx context.Context, poll scheduler.Poll) (dispatch.Listing, scheduler.PollResult) {
	stream := p.chooseStream(poll.Worker)
	if stream == nil {
		return p.direct.Poll(ctx, poll)
	}
	order := newDriveOrder(poll.Target, poll.Fence)
	order.Order = &egretmuxv1.DriveOrder_Look{Look: &egretmuxv1.LookOrder{LeaseUntil: poll.LeaseUntil, Cursor: poll.Cursor, WaitMs: poll.Wait.Milliseconds()}}
	answer := p.send(ctx, stream, order, driveDeadlineSlack)
	if answer == nil {
		return dispatch.Listing{}, scheduler.PollUnanswered
	}
	return decodeListing(answer), decodePollResult(answer)
}

// decodePollResult returns the result of a poll that another instance sent. One that this
// release does not know shows nothing of the worker.
func decodePollResult(answer *egretmuxv1.DriveAnswer) scheduler.PollResult {
	result := scheduler.PollResult(answer.GetResult())
	if !result.Known() {
		telemetry.CountRetry("poll-result-unknown")
		return scheduler.PollUnanswered
	}
	return result
}

func decodeListing(answer *egretmuxv1.DriveAnswer) dispatch.Listing {
	out := dispatch.Listing{Clock: answer.GetClock(), Complete: answer.GetWhole()}
	for _, r := range answer.GetRunning() {
		out.Running = append(out.Running, dispatch.ListedRun{Task: taskKey(r.GetTask()), Run: r.GetTask().GetRun(), Checkpoint: r.GetCheckpoint(), ProgressPercent: r.GetPercent(), TailLatencyMs: r.GetLoad()})
	}
	for _, e := range answer.GetEnded() {
		out.Ended = append(out.Ended, dispatch.ListedEnd{Number: e.GetNumber(), Task: taskKey(e.GetTask()), Run: e.GetTask().GetRun(), Outcome: e.GetOutcome(), Checkpoint: e.GetCheckpoint(), TaskParsed: e.GetNamed()})
	}
	return out
}

// Release implements scheduler.WorkerClient.
func (p *workerProxy) Release(t dispatch.Target) { p.direct.Release(t) }

// driveStream multiplexes orders on a stream of the Drive RPC, by which the leader
// delegates calls to workers to another instance.
type driveStream struct {
	address   string // of the instance
	orders    chan *egretmuxv1.DriveOrder
	done      chan struct{}
	closeOnce sync.Once
	onClose   func()
	nextID    atomic.Uint64
	received  atomic.Uint64 // responses

	mu      sync.Mutex
	pending map[uint64]pendingOrder
}

// pendingOrder is an order without an answer.
type pendingOrder struct {
	answer    chan *egretmuxv1.DriveAnswer
	sent, due time.Time
}

// driveQueueSize is the maximum number of orders that wait to be sent on a stream.
// Orders beyond it fail.
const driveQueueSize = 4096

type driveClient interface {
	Drive(context.Context) *connect.BidiStreamForClient[egretmuxv1.DriveRequest, egretmuxv1.DriveResponse]
}

func newDriveStream(client driveClient, onClose func()) *driveStream {
	s := &driveStream{
		orders: make(chan *egretmuxv1.DriveOrder, driveQueueSize), done: make(chan struct{}), onClose: onClose,
		pending: make(map[uint64]pendingOrder),
	}
	ctx, cancel := context.WithCancel(context.Background())
	rpc := client.Drive(ctx)
	go func() {
		defer cancel()
		for {
			batch, open := receiveBatch(s.done, s.orders, nil)
			if !open {
				return
			}
			if batch = s.takeDue(batch, time.Now()); len(batch) == 0 {
				continue
			}
			sendTimeout := time.AfterFunc(leaderCallTimeout, cancel)
			err := rpc.Send(&egretmuxv1.DriveRequest{Orders: batch})
			sendTimeout.Stop()
			if err != nil {
				s.close()
				return
			}
			time.Sleep(driveBatchInterval)
		}
	}()
	go func() {
		defer s.close()
		watched := false
		for {
			msg, err := rpc.Receive()
			if err != nil {
				return
			}
			s.received.Add(1)
			if !watched && len(msg.GetAnswers()) == 0 { // older versions send no keepalives
				watched = true
				go s.watchSilence(cancel)
			}
			for _, a := range msg.GetAnswers() {
				s.deliver(a)
			}
		}
	}()
	return s
}

// takeDue returns the orders of a batch that are still worth sending, with the time that is left of each. The others
// have waited on this stream until their callers gave up, or until their time was over: they get no answer.
func (s *driveStream) takeDue(batch []*egretmuxv1.DriveOrder, now time.Time) []*egretmuxv1.DriveOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(batch, func(order *egretmuxv1.DriveOrder) bool {
		pending, waiting := s.pending[order.GetId()]
		left := pending.due.Sub(now)
		if waiting && left > 0 {
			order.TimeoutMs = max(1, left.Milliseconds())
			if poll := order.GetLook(); poll != nil { // otherwise the time for its answer would be over before the worker's wait
				poll.WaitMs = max(0, poll.GetWaitMs()-now.Sub(pending.sent).Milliseconds())
			}
			return false
		}
		telemetry.CountRetry("order-expired")
		if waiting {
			delete(s.pending, order.GetId())
			pending.answer <- nil
		}
		return true
	})
}

// watchSilence closes the stream and cancels its RPC once no response has come for
// driveSilenceTimeout. It counts steps of a keepalive's interval in which this process
// ran, so that a pause of this process is not taken for the silence of the other.
func (s *driveStream) watchSilence(cancel context.CancelFunc) {
	ticker := time.NewTicker(driveKeepaliveInterval)
	defer ticker.Stop()
	seen, silent := s.received.Load(), time.Duration(0)
	for silent < driveSilenceTimeout {
		select {
		case <-s.done:
			return
		case <-ticker.C:
		}
		if now := s.received.Load(); now != seen {
			seen, silent = now, 0
		} else {
			silent += driveKeepaliveInterval
		}
	}
	telemetry.CountRetry("driver-silent")
	s.close()
	cancel()
}

// receiveBatch waits for one item and then takes all that are queued. The callers
// pause between two batches, so that items accumulate under load. The batch may be
// empty once keepalive fires.
func receiveBatch[T any](done <-chan struct{}, in <-chan T, keepalive <-chan time.Time) (batch []T, open bool) {
	select {
	case <-done:
		return nil, false
	case <-keepalive:
	case first := <-in:
		batch = append(batch, first)
	}
	for {
		select {
		case next := <-in:
			batch = append(batch, next)
		default:
			return batch, true
		}
	}
}

func (s *driveStream) closed() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// close ends the stream. Pending orders get no answer.
func (s *driveStream) close() {
	s.closeOnce.Do(func() {
		close(s.done)
		telemetry.CountRetry("driver-lost")
		s.onClose()
	})
}

func (s *driveStream) deliver(answer *egretmuxv1.DriveAnswer) {
	s.mu.Lock()
	order, waiting := s.pending[answer.GetId()]
	delete(s.pending, answer.GetId())
	s.mu.Unlock()
	if waiting {
		order.answer <- answer
	}
}

// call sends an order and returns the answer, or nil if there is none within slack after the deadline of ctx.
func (s *driveStream) call(ctx context.Context, order *egretmuxv1.DriveOrder, slack time.Duration) *egretmuxv1.DriveAnswer {
	deadline, _ := ctx.Deadline()
	waitCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline.Add(slack))
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel() // cancelled by the caller, not past its deadline
		}
	})()
	order.Id = s.nextID.Add(1)
	sent := time.Now()
	order.TimeoutMs = deadline.Sub(sent).Milliseconds()
	answer := make(chan *egretmuxv1.DriveAnswer, 1)
	s.mu.Lock()
	s.pending[order.GetId()] = pendingOrder{answer: answer, sent: sent, due: deadline}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.pending, order.GetId())
	}()
	select {
	case s.orders <- order:
	default:
		telemetry.CountRetry("driver-busy")
		return nil
	}
	select {
	case result := <-answer:
		return result
	case <-s.done:
		return nil
	case <-waitCtx.Done():
		return nil
	}
}
