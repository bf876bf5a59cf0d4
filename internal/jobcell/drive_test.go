package jobcell

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/peer"
	"github.com/egretmux/egretmux/internal/scheduler"
)

// fakeWorkers records the calls that reach it.
type fakeWorkers struct {
	started chan dispatch.StartOrder
	polled  chan scheduler.Poll
	hangs   bool
}

func newFakeWorkers() *fakeWorkers {
	return &fakeWorkers{started: make(chan dispatch.StartOrder, 8), polled: make(chan scheduler.Poll, 8)}
}

func (f *fakeWorkers) Start(ctx context.Context, start dispatch.StartOrder, _ uint64) (dispatch.StartResult, int64) {
	f.started <- start
	if f.hangs {
		<-ctx.Done()
		return dispatch.Unanswered, 0
	}
	return dispatch.NoRoom, 77
}
func (f *fakeWorkers) Stop(context.Context, dispatch.StopOrder, uint64) bool { return true }
func (f *fakeWorkers) Pace(context.Context, dispatch.PaceOrder, uint64) bool { return false }
func (f *fakeWorkers) Poll(_ context.Context, poll scheduler.Poll) (dispatch.Listing, scheduler.PollResult) {
	f.polled <- poll
	return dispatch.Listing{
		Clock: 5, Complete: true,
		Running: []dispatch.ListedRun{{Task: dispatch.TaskKey{StepKey: dispatch.StepKey{Job: "j", Step: 2}, Index: 3}, Run: 4, Checkpoint: "c", ProgressPercent: 50, TailLatencyMs: 9}},
		Ended:   []dispatch.ListedEnd{{Number: 1, Run: 2, Outcome: egretmuxv1.RunOutcome_RUN_OUTCOME_DONE, Checkpoint: "s", TaskParsed: true}},
	}, scheduler.PollAnswered
}
func (f *fakeWorkers) Release(dispatch.Target) {}

// serveCell serves a cell's handler over HTTP/2 without TLS.
func serveCell(t *testing.T, c *Cell) *httptest.Server {
	t.Helper()
	s := httptest.NewUnstartedServer(c.Handler())
	s.Config.Protocols = new(http.Protocols)
	s.Config.Protocols.SetUnencryptedHTTP2(true)
	s.Config.Protocols.SetHTTP1(true)
	s.Start()
	t.Cleanup(func() {
		s.CloseClientConnections() // open streams do not end by themselves
		_ = s.Config.Close()
	})
	return s
}

// newTestDriveStream returns a stream to an instance with fake workers.
func newTestDriveStream(t *testing.T) (*driveStream, *fakeWorkers, *httptest.Server) {
	t.Helper()
	fake := newFakeWorkers()
	delegate, err := New(Config{Address: "driver", Scheduler: scheduler.Config{WorkerClient: fake}, Logger: zerolog.Nop()})
	require.NoError(t, err)
	server := serveCell(t, delegate)
	stream := newDriveStream(delegate.dialer.Clients(server.Listener.Addr().String()).Jobs, func() {})
	t.Cleanup(stream.close)
	return stream, fake, server
}

func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestOrdersAndAnswersPassThroughAnotherInstance(t *testing.T) {
	stream, fake, _ := newTestDriveStream(t)
	target := dispatch.Target{Worker: "w", Born: 7, Address: "a:1"}
	o := newDriveOrder(target, 3)
	key := dispatch.TaskKey{StepKey: dispatch.StepKey{Job: "j", Occurrence: 1, Step: 2}, Index: 3}
	o.Order = &egretmuxv1.DriveOrder_Start{Start: &egretmuxv1.StartOrder{Task: taskRef(key, 4), Payload: []byte("p"), Checkpoint: "c", Ticket: "t", LeaseUntil: 99}}
	a := stream.call(contextWithTimeout(t, time.Second), o, driveDeadlineSlack)
	require.Equal(t, dispatch.NoRoom, dispatch.StartResult(a.GetResult()))
	require.Equal(t, int64(77), a.GetClock())
	require.Equal(t, dispatch.StartOrder{Target: target, Task: key, Run: 4, Payload: []byte("p"), Checkpoint: "c", Ticket: "t", LeaseUntil: 99}, <-fake.started)
}

func TestListingsPassThroughAnotherInstance(t *testing.T) {
	stream, fake, _ := newTestDriveStream(t)
	want, _ := fake.Poll(t.Context(), scheduler.Poll{})
	<-fake.polled
	o := newDriveOrder(dispatch.Target{Worker: "w"}, 3)
	o.Order = &egretmuxv1.DriveOrder_Look{Look: &egretmuxv1.LookOrder{LeaseUntil: 10, Cursor: 2, WaitMs: 100}}
	a := stream.call(contextWithTimeout(t, time.Second), o, driveDeadlineSlack)
	got := <-fake.polled
	require.Equal(t, scheduler.Poll{Target: dispatch.Target{Worker: "w"}, Fence: 3, LeaseUntil: 10, Cursor: 2, Wait: 100 * time.Millisecond}, got)
	require.Equal(t, want, decodeListing(a))
}

// Guards against treating a worker that does not answer, or an instance that is
// gone, as a refusal: the outcome of the order is unknown.
func TestOrderWithoutAnswerIsLeftOpen(t *testing.T) {
	stream, fake, server := newTestDriveStream(t)
	fake.hangs = true
	send := func() *egretmuxv1.DriveAnswer {
		o := newDriveOrder(dispatch.Target{Worker: "w"}, 3)
		o.Order = &egretmuxv1.DriveOrder_Start{Start: &egretmuxv1.StartOrder{Task: &egretmuxv1.TaskRef{Job: "j"}}}
		return stream.call(contextWithTimeout(t, 100*time.Millisecond), o, driveDeadlineSlack)
	}
	require.Equal(t, dispatch.Unanswered, dispatch.StartResult(send().GetResult()))
	require.NoError(t, server.Config.Close())
	require.Nil(t, send())
}

// serveDelegate serves the Drive RPC with a handler of the test's own and returns a
// stream to it.
func serveDelegate(t *testing.T, drive func(ctx context.Context, stream *connect.BidiStream[egretmuxv1.DriveRequest, egretmuxv1.DriveResponse]) error) *driveStream {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(egretmuxv1connect.JobCellServiceDriveProcedure, connect.NewBidiStreamHandler(egretmuxv1connect.JobCellServiceDriveProcedure, drive))
	s := httptest.NewUnstartedServer(mux)
	s.Config.Protocols = new(http.Protocols)
	s.Config.Protocols.SetUnencryptedHTTP2(true)
	s.Start()
	t.Cleanup(func() {
		s.CloseClientConnections()
		_ = s.Config.Close()
	})
	dialer, err := peer.NewDialer("", "")
	require.NoError(t, err)
	stream := newDriveStream(dialer.Clients(s.Listener.Addr().String()).Jobs, func() {})
	t.Cleanup(stream.close)
	return stream
}

func sendStart(ctx context.Context, stream *driveStream) *egretmuxv1.DriveAnswer {
	o := newDriveOrder(dispatch.Target{Worker: "w"}, 3)
	o.Order = &egretmuxv1.DriveOrder_Start{Start: &egretmuxv1.StartOrder{Task: &egretmuxv1.TaskRef{Job: "j"}}}
	return stream.call(ctx, o, driveDeadlineSlack)
}

// Guards against waiting out every order to an instance that lost power or is cut off:
// its connection stays open, and no answer comes.
func TestStreamToAnInstanceThatFallsSilentIsClosed(t *testing.T) {
	stream := serveDelegate(t, func(ctx context.Context, stream *connect.BidiStream[egretmuxv1.DriveRequest, egretmuxv1.DriveResponse]) error {
		if err := stream.Send(&egretmuxv1.DriveResponse{}); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	})
	began := time.Now()
	require.Nil(t, sendStart(contextWithTimeout(t, 30*time.Second), stream))
	require.Less(t, time.Since(began), 10*time.Second, "the order waits for its own deadline")
	require.True(t, stream.closed())
}

// A delegate of an older version sends no keepalives. Its answers may take as long as a
// poll waits.
func TestStreamToAnInstanceWithoutKeepalivesStaysOpen(t *testing.T) {
	stream := serveDelegate(t, func(ctx context.Context, stream *connect.BidiStream[egretmuxv1.DriveRequest, egretmuxv1.DriveResponse]) error {
		for {
			msg, err := stream.Receive()
			if err != nil {
				return nil
			}
			time.Sleep(2 * driveSilenceTimeout)
			if err := stream.Send(&egretmuxv1.DriveResponse{Answers: []*egretmuxv1.DriveAnswer{{Id: msg.GetOrders()[0].GetId(), Clock: 7}}}); err != nil {
				return err
			}
		}
	})
	for range 2 {
		require.Equal(t, int64(7), sendStart(contextWithTimeout(t, 30*time.Second), stream).GetClock())
	}
}

// Under load each response has answers. The leader must learn at the start of a stream
// that keepalives follow, or it would not notice the silence of a busy instance.
func TestFirstResponseOfAStreamIsAKeepalive(t *testing.T) {
	delegate, err := New(Config{Address: "driver", Scheduler: scheduler.Config{WorkerClient: newFakeWorkers()}, Logger: zerolog.Nop()})
	require.NoError(t, err)
	server := serveCell(t, delegate)
	rpc := delegate.dialer.Clients(server.Listener.Addr().String()).Jobs.Drive(contextWithTimeout(t, 10*time.Second))
	order := newDriveOrder(dispatch.Target{Worker: "w"}, 3)
	order.Order = &egretmuxv1.DriveOrder_Start{Start: &egretmuxv1.StartOrder{Task: &egretmuxv1.TaskRef{Job: "j"}}}
	require.NoError(t, rpc.Send(&egretmuxv1.DriveRequest{Orders: []*egretmuxv1.DriveOrder{order}}))
	first, err := rpc.Receive()
	require.NoError(t, err)
	require.Empty(t, first.GetAnswers())
}

func TestIdleStreamStaysOpen(t *testing.T) {
	stream, _, _ := newTestDriveStream(t)
	require.NotNil(t, sendStart(contextWithTimeout(t, 10*time.Second), stream))
	require.Never(t, stream.closed, 3*driveSilenceTimeout, driveKeepaliveInterval)
}

func TestCancelledOrderReturnsAtOnce(t *testing.T) {
	stream, fake, _ := newTestDriveStream(t)
	fake.hangs = true
	ctx, cancel := context.WithCancel(contextWithTimeout(t, 10*time.Second))
	time.AfterFunc(50*time.Millisecond, cancel)
	o := newDriveOrder(dispatch.Target{Worker: "w"}, 3)
	o.Order = &egretmuxv1.DriveOrder_Start{Start: &egretmuxv1.StartOrder{Task: &egretmuxv1.TaskRef{Job: "j"}}}
	began := time.Now()
	require.Nil(t, stream.call(ctx, o, driveDeadlineSlack))
	require.Less(t, time.Since(began), 5*time.Second)
}

func TestUnchangedHeartbeatsAreNotForwardedAgain(t *testing.T) {
	c := newHeartbeatCache()
	now := time.Now()
	b := &egretmuxv1.WorkerBeat{Life: &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: 1}, Sequence: 1}
	require.False(t, c.isUnchanged(b, now))
	c.store(b, now)
	b.Sequence = 2
	require.True(t, c.isUnchanged(b, now.Add(time.Second)))
	b.Sequence = 3
	require.False(t, c.isUnchanged(b, now.Add(heartbeatCacheTTL+time.Second)), "must be sent again: the leader may have changed")
	b.Sequence = 4
	require.False(t, c.isUnchanged(b, now), "must be sent again: heartbeat 3 may have reached another instance")
	reborn := &egretmuxv1.WorkerBeat{Life: &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: 2}}
	require.False(t, c.isUnchanged(reborn, now))
	b.Draining = true
	require.False(t, c.isUnchanged(b, now))
	b.Draining = false
	require.False(t, c.isUnchanged(b, now), "must be sent again after draining")
}

// Guards against an instance of another release that takes the leader down: a result that
// the leader does not know ended its process when it was logged.
func TestUnknownResultOfAStartCountsAsUnanswered(t *testing.T) {
	for _, unknown := range []int32{-1, 99} {
		require.Equal(t, dispatch.Unanswered, decodeStartResult(&egretmuxv1.DriveAnswer{Result: unknown}))
	}
	require.Equal(t, dispatch.NoRoom, decodeStartResult(&egretmuxv1.DriveAnswer{Result: int32(dispatch.NoRoom)}))
	require.Panics(t, func() { _ = dispatch.StartResult(99).String() }, "values from outside are checked where they are decoded")
}
