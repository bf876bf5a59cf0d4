package jobcell

import (
	"context"
	"strconv"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

func newCall(job string) *egretmuxv1.JobCall {
	return &egretmuxv1.JobCall{Verb: egretmuxv1.JobVerb_JOB_VERB_SHOW, Address: &egretmuxv1.QueueAddress{Path: "/q/" + job}}
}

// Guards against calls that are held for ever and are named in no log: only calls that
// ended were logged.
func TestCallHeldBeyondItsDeadlineIsReportedOnce(t *testing.T) {
	c := newTestCell(t, "self")
	log := &logBuffer{}
	c.cfg.Logger = zerolog.New(log)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	deadline, _ := ctx.Deadline()
	held, ended := newCall("held"), newCall("ended")
	c.calls.begin(ctx, held, fromClient)
	c.calls.begin(ctx, ended, fromClient)
	c.logStalledCalls(deadline.Add(callStallGrace - time.Millisecond))
	require.Empty(t, log.take(t, "call_stalled"))
	c.calls.end(ended, fromClient)
	c.logStalledCalls(deadline.Add(callStallGrace))
	lines := log.take(t, "call_stalled")
	require.Len(t, lines, 1)
	require.Equal(t, []any{"/q/held", "show", "client"}, []any{lines[0]["path"], lines[0]["verb"], lines[0]["source"]})
	require.InDelta(t, (time.Second + callStallGrace).Milliseconds(), lines[0]["age_ms"], 100)
	c.logStalledCalls(deadline.Add(time.Minute))
	require.Empty(t, log.take(t, "call_stalled"))
	c.calls.end(held, fromClient)
}

func TestCallOfAnotherInstanceIsReportedAfterSeconds(t *testing.T) {
	c := newTestCell(t, "self")
	log := &logBuffer{}
	c.cfg.Logger = zerolog.New(log)
	ctx, cancel := context.WithTimeout(t.Context(), leaderCallTimeout)
	defer cancel()
	call, began := newCall("held"), time.Now()
	c.calls.begin(ctx, call, fromInstance)
	defer c.calls.end(call, fromInstance)
	c.logStalledCalls(began.Add(instanceCallStall - time.Millisecond))
	require.Empty(t, log.take(t, "call_stalled"))
	c.logStalledCalls(began.Add(instanceCallStall + time.Second))
	require.Equal(t, "instance", log.take(t, "call_stalled")[0]["source"])
}

func TestManyStalledCallsAreReportedAFewAtATime(t *testing.T) {
	c := newTestCell(t, "self")
	log := &logBuffer{}
	c.cfg.Logger = zerolog.New(log)
	for n := range maxStalledLines + 3 {
		call := newCall(strconv.Itoa(n))
		c.calls.begin(t.Context(), call, fromInstance)
		defer c.calls.end(call, fromInstance)
	}
	late := time.Now().Add(time.Minute)
	c.logStalledCalls(late)
	require.Len(t, log.take(t, "call_stalled"), maxStalledLines)
	c.logStalledCalls(late)
	require.Len(t, log.take(t, "call_stalled"), 3)
}

// holdingLeader holds each call until it may answer.
type holdingLeader struct {
	fakeLeader
	answer chan struct{}
}

func (h *holdingLeader) CallJob(ctx context.Context, req *connect.Request[egretmuxv1.JobCall]) (*connect.Response[egretmuxv1.JobAnswer], error) {
	<-h.answer
	return h.fakeLeader.CallJob(ctx, req)
}

func TestCallsInProgressAreCounted(t *testing.T) {
	const gauge = `egretmux_calls_in_progress{verb="show",source="client"}`
	leader := &holdingLeader{answer: make(chan struct{})}
	c := newCellWithLeader(t, serveLeader(t, leader))
	require.Equal(t, "0", metric(gauge))
	done := make(chan error, 1)
	go func() {
		_, err := c.CallJob(t.Context(), newCall("x"))
		done <- err
	}()
	require.Eventually(t, func() bool { return metric(gauge) == "1" }, 5*time.Second, time.Millisecond)
	close(leader.answer)
	require.NoError(t, <-done)
	require.Equal(t, "0", metric(gauge))
}
