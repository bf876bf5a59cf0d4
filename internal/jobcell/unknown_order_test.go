package jobcell

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/scheduler"
)

// serveUnknowingDelegate serves an instance of another release, which answers each order like one of
// a kind that it does not know, and returns its address.
func serveUnknowingDelegate(t *testing.T) string {
	t.Helper()
	other := newTestCell(t, "other")
	return serveDelegateAt(t, func(ctx context.Context, stream *connect.BidiStream[egretmuxv1.DriveRequest, egretmuxv1.DriveResponse]) error {
		for {
			msg, err := stream.Receive()
			if err != nil {
				return nil
			}
			for _, order := range msg.GetOrders() {
				order.Order = nil // what an unknown kind is decoded as
				answer := other.executeOrder(ctx, order)
				answer.Id = order.GetId()
				if err := stream.Send(&egretmuxv1.DriveResponse{Answers: []*egretmuxv1.DriveAnswer{answer}}); err != nil {
					return nil
				}
			}
		}
	})
}

// serveDelegateAt serves the Drive RPC with a handler of the test's own and returns its address.
func serveDelegateAt(t *testing.T, drive func(context.Context, *connect.BidiStream[egretmuxv1.DriveRequest, egretmuxv1.DriveResponse]) error) string {
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
	return strings.TrimPrefix(s.URL, "http://")
}

// leadThrough returns a cell that leads, with so many workers that it orders through the
// given instance.
func leadThrough(t *testing.T, delegate string) *Cell {
	t.Helper()
	c := startCell(t, 1, 1)[0].cell
	t.Cleanup(func() { c.workers.closeStreams(delegate) })
	require.Eventually(t, c.scheduler.Leads, formationBound, checkPeriod)
	meet(c, &egretmuxv1.Member{Address: delegate, Replica: 2}, time.Now())
	for n := range maxDirectWorkers + 1 {
		name := fmt.Sprintf("w%d", n)
		require.NoError(t, c.scheduler.HandleHeartbeat(t.Context(), &egretmuxv1.WorkerBeat{Life: &egretmuxv1.WorkerLife{
			Worker: name, BornUnixMs: 1, Address: name + ":1", Pool: "p", CpuMillis: 1000, MemoryMib: 1000,
		}}))
	}
	meet(c, &egretmuxv1.Member{Address: delegate, Replica: 2}, time.Now())
	require.Greater(t, c.scheduler.WorkerCount(), maxDirectWorkers)
	return c
}

// Guards against an order that an instance of another release did not carry out and that the leader
// takes for carried out: the run would count as begun, and the worker as read and as one without runs.
func TestOrderThatAnotherReleaseDoesNotKnowCountsAsUnanswered(t *testing.T) {
	c := leadThrough(t, serveUnknowingDelegate(t))
	target := dispatch.Target{Worker: "w", Born: 1, Address: unreachable}
	require.NotNil(t, c.workers.chooseStream("w"), "the leader calls the worker itself")
	ctx := contextWithTimeout(t, 5*time.Second)
	key := dispatch.TaskKey{StepKey: dispatch.StepKey{Job: "j"}}
	t.Run("start", func(t *testing.T) {
		result, _ := c.workers.Start(ctx, dispatch.StartOrder{Target: target, Task: key, Run: 1}, 3)
		require.Equal(t, dispatch.Unanswered, result)
	})
	t.Run("poll", func(t *testing.T) {
		listing, result := c.workers.Poll(ctx, scheduler.Poll{Target: target, Fence: 3})
		require.False(t, listing.Complete)
		require.Equal(t, scheduler.PollUnanswered, result)
	})
	t.Run("stop", func(t *testing.T) {
		direct := &countingWorkers{}
		p := newWorkerProxy(c, direct)
		delegate := p.chooseStream("w")
		t.Cleanup(func() { p.closeStreams(delegate.address) })
		require.False(t, p.Stop(contextWithTimeout(t, time.Second), dispatch.StopOrder{Target: target, Task: key, Run: 1}, 3))
		require.Equal(t, int32(1), direct.stops.Load(), "it is also sent directly, once")
	})
	t.Run("pace", func(t *testing.T) {
		require.False(t, c.workers.Pace(ctx, dispatch.PaceOrder{Target: target, Task: key, Run: 1}, 3))
	})
}

// Guards against an order without an answer that the leader takes for carried out, or for not sent: the other instance may
// have passed it on, or may do so later.
func TestOrderThatAnotherInstanceDoesNotAnswerCountsAsUnanswered(t *testing.T) {
	c := leadThrough(t, serveDelegateAt(t, func(ctx context.Context, _ *connect.BidiStream[egretmuxv1.DriveRequest, egretmuxv1.DriveResponse]) error {
		<-ctx.Done()
		return nil
	}))
	target := dispatch.Target{Worker: "w", Born: 1, Address: unreachable}
	require.NotNil(t, c.workers.chooseStream("w"), "the leader calls the worker itself")
	key := dispatch.TaskKey{StepKey: dispatch.StepKey{Job: "j"}}
	result, _ := c.workers.Start(contextWithTimeout(t, 50*time.Millisecond), dispatch.StartOrder{Target: target, Task: key, Run: 1}, 3)
	require.Equal(t, dispatch.Unanswered, result)
	listing, polled := c.workers.Poll(contextWithTimeout(t, 50*time.Millisecond), scheduler.Poll{Target: target, Fence: 3})
	require.False(t, listing.Complete)
	require.Equal(t, scheduler.PollUnanswered, polled)
	require.False(t, c.workers.Stop(contextWithTimeout(t, 50*time.Millisecond), dispatch.StopOrder{Target: target, Task: key, Run: 1}, 3))
}

// closeStreams ends the orders through an instance, for good. A stream that ended after the test would still be logged.
func (p *workerProxy) closeStreams(delegate string) {
	for range 2 { // the first time, others may be opened meanwhile
		p.mu.Lock()
		stream := p.streams[delegate]
		p.mu.Unlock()
		if stream != nil {
			stream.close()
		}
		p.mu.Lock()
		p.avoidUntil[delegate], p.delegates = time.Now().Add(time.Hour), nil
		p.mu.Unlock()
	}
}
