package jobcell

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/scheduler"
)

// fakeWorkers records the calls that reach it.
type fakeWorkers struct {
	started chan dispatch.Start
	looked  chan scheduler.Look
	silent  bool
}

func newFakeWorkers() *fakeWorkers {
	return &fakeWorkers{started: make(chan dispatch.Start, 8), looked: make(chan scheduler.Look, 8)}
}

func (f *fakeWorkers) Start(ctx context.Context, s dispatch.Start, _ uint64) (dispatch.StartResult, int64) {
	f.started <- s
	if f.silent {
		<-ctx.Done()
		return dispatch.Unanswered, 0
	}
	return dispatch.NoRoom, 77
}
func (f *fakeWorkers) Stop(context.Context, dispatch.Stop, uint64) bool { return true }
func (f *fakeWorkers) Pace(context.Context, dispatch.Pace, uint64) bool { return false }
func (f *fakeWorkers) Look(_ context.Context, l scheduler.Look) (dispatch.Listing, scheduler.LookResult) {
	f.looked <- l
	return dispatch.Listing{
		Clock: 5, Whole: true,
		Running: []dispatch.ListedRun{{Task: dispatch.TaskKey{StepKey: dispatch.StepKey{Job: "j", Step: 2}, Index: 3}, Run: 4, Checkpoint: "c", Percent: 50, Load: 9}},
		Ended:   []dispatch.ListedEnd{{Number: 1, Run: 2, Outcome: egretmuxv1.RunOutcome_RUN_OUTCOME_DONE, Checkpoint: "s", TaskParsed: true}},
	}, scheduler.LookAnswered
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
		s.CloseClientConnections() // streams do not end by themselves
		_ = s.Config.Close()
	})
	return s
}

// link returns a link to an instance whose workers are fake.
func link(t *testing.T) (*driveLink, *fakeWorkers, *httptest.Server) {
	t.Helper()
	fake := newFakeWorkers()
	driving, err := New(Config{Address: "driver", Scheduler: scheduler.Config{Workers: fake}, Logger: zerolog.Nop()})
	require.NoError(t, err)
	server := serveCell(t, driving)
	l := newDriveLink(driving.dialer.Clients(server.Listener.Addr().String()).Jobs, func() {})
	t.Cleanup(l.close)
	return l, fake, server
}

func withTime(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestOrdersAndAnswersPassThroughAnotherInstance(t *testing.T) {
	l, fake, _ := link(t)
	target := dispatch.Target{Worker: "w", Born: 7, Address: "a:1"}
	o := order(target, 3)
	key := dispatch.TaskKey{StepKey: dispatch.StepKey{Job: "j", Occurrence: 1, Step: 2}, Index: 3}
	o.Order = &egretmuxv1.DriveOrder_Start{Start: &egretmuxv1.StartOrder{Task: refOf(key, 4), Payload: []byte("p"), Checkpoint: "c", Ticket: "t", LeaseUntil: 99}}
	a := l.call(withTime(t, time.Second), o)
	require.Equal(t, dispatch.NoRoom, dispatch.StartResult(a.GetResult()))
	require.Equal(t, int64(77), a.GetClock())
	require.Equal(t, dispatch.Start{Target: target, Task: key, Run: 4, Payload: []byte("p"), Checkpoint: "c", Ticket: "t", LeaseUntil: 99}, <-fake.started)
}

func TestListingsPassThroughAnotherInstance(t *testing.T) {
	l, fake, _ := link(t)
	want, _ := fake.Look(t.Context(), scheduler.Look{})
	<-fake.looked
	o := order(dispatch.Target{Worker: "w"}, 3)
	o.Order = &egretmuxv1.DriveOrder_Look{Look: &egretmuxv1.LookOrder{LeaseUntil: 10, Cursor: 2, WaitMs: 100}}
	a := l.call(withTime(t, time.Second), o)
	got := <-fake.looked
	require.Equal(t, scheduler.Look{Target: dispatch.Target{Worker: "w"}, Fence: 3, LeaseUntil: 10, Cursor: 2, Wait: 100 * time.Millisecond}, got)
	require.Equal(t, want, listingOf(a))
}

// A worker that does not answer, and an instance that is gone, leave the outcome
// open; they never count as a refusal.
func TestOrderWithoutAnswerIsLeftOpen(t *testing.T) {
	l, fake, server := link(t)
	fake.silent = true
	send := func() *egretmuxv1.DriveAnswer {
		o := order(dispatch.Target{Worker: "w"}, 3)
		o.Order = &egretmuxv1.DriveOrder_Start{Start: &egretmuxv1.StartOrder{Task: &egretmuxv1.TaskRef{Job: "j"}}}
		return l.call(withTime(t, 100*time.Millisecond), o)
	}
	require.Equal(t, dispatch.Unanswered, dispatch.StartResult(send().GetResult()))
	require.NoError(t, server.Config.Close())
	require.Nil(t, send())
}

func TestLookThatIsGivenUpEndsAtOnce(t *testing.T) {
	l, fake, _ := link(t)
	fake.silent = true
	ctx, giveUp := context.WithCancel(withTime(t, 10*time.Second))
	time.AfterFunc(50*time.Millisecond, giveUp)
	o := order(dispatch.Target{Worker: "w"}, 3)
	o.Order = &egretmuxv1.DriveOrder_Start{Start: &egretmuxv1.StartOrder{Task: &egretmuxv1.TaskRef{Job: "j"}}}
	began := time.Now()
	require.Nil(t, l.call(ctx, o))
	require.Less(t, time.Since(began), 5*time.Second)
}

func TestUnchangedReportsAreNotCarriedAgain(t *testing.T) {
	c := newBeatCache()
	now := time.Now()
	b := &egretmuxv1.WorkerBeat{Life: &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: 1}, Sequence: 1}
	require.False(t, c.known(b, now))
	c.take(b, now)
	b.Sequence = 2
	require.True(t, c.known(b, now.Add(time.Second)))
	require.False(t, c.known(b, now.Add(beatFresh+time.Second)), "the leader may have changed")
	reborn := &egretmuxv1.WorkerBeat{Life: &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: 2}}
	require.False(t, c.known(reborn, now))
	b.Draining = true
	require.False(t, c.known(b, now))
	b.Draining = false
	require.False(t, c.known(b, now), "after draining all is told again")
}
