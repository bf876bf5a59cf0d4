package scheduler_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/scheduler"
)

// guardedBook is a book that applies a command only if check, which may wait, allows it.
type guardedBook struct {
	*job.Book
	check func(*egretmuxv1.JobCommand) error
}

func (b guardedBook) Apply(index uint64, data []byte) any {
	cmd := &egretmuxv1.JobCommand{}
	if proto.Unmarshal(data, cmd) == nil {
		if err := b.check(cmd); err != nil {
			return err
		}
	}
	return b.Book.Apply(index, data)
}

// scriptedWorkers implements scheduler.WorkerClient. Its functions, unless nil, answer in place of workers without runs.
type scriptedWorkers struct {
	start func(s dispatch.StartOrder, earlier int) (dispatch.StartResult, int64)
	stop  func(s dispatch.StopOrder) bool
	poll  func(p scheduler.Poll) (dispatch.Listing, scheduler.PollResult)

	mu     sync.Mutex
	starts []dispatch.StartOrder
	cursor uint64 // highest one of a poll
}

func (w *scriptedWorkers) Start(_ context.Context, s dispatch.StartOrder, _ uint64) (dispatch.StartResult, int64) {
	w.mu.Lock()
	earlier := len(w.starts)
	w.starts = append(w.starts, s)
	w.mu.Unlock()
	if w.start == nil {
		return dispatch.Accepted, 0
	}
	return w.start(s, earlier)
}

func (w *scriptedWorkers) Stop(_ context.Context, s dispatch.StopOrder, _ uint64) bool {
	return w.stop == nil || w.stop(s)
}
func (w *scriptedWorkers) Pace(context.Context, dispatch.PaceOrder, uint64) bool { return true }
func (w *scriptedWorkers) Release(dispatch.Target)                               {}

func (w *scriptedWorkers) Poll(_ context.Context, p scheduler.Poll) (dispatch.Listing, scheduler.PollResult) {
	time.Sleep(5 * time.Millisecond)
	w.mu.Lock()
	w.cursor = max(w.cursor, p.Cursor)
	w.mu.Unlock()
	if w.poll == nil {
		return dispatch.Listing{Clock: time.Now().UnixMilli(), Complete: true}, scheduler.PollAnswered
	}
	return w.poll(p)
}

// sent returns the runs of the starts that were sent, and the highest cursor of a poll.
func (w *scriptedWorkers) sent() (runs []uint64, cursor uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.starts {
		runs = append(runs, s.Run)
	}
	return runs, w.cursor
}

// startScripted starts a leader whose book applies the commands that check allows, with workers and a job of one task.
func startScripted(t *testing.T, w *scriptedWorkers, check func(*egretmuxv1.JobCommand) error, lease time.Duration, workers ...string) *scheduler.Scheduler {
	t.Helper()
	if check == nil {
		check = func(*egretmuxv1.JobCommand) error { return nil }
	}
	book := job.NewBook()
	s := startLeaderOn(t, book, guardedBook{book, check}, w, func(cfg *scheduler.Config) { cfg.Lease = lease })
	_, err := s.PutCatalogue(t.Context(), catalogue(1, "one"))
	require.NoError(t, err)
	for _, name := range workers {
		require.NoError(t, untilNotShed(func() error {
			return s.HandleHeartbeat(t.Context(), &egretmuxv1.WorkerBeat{Life: &egretmuxv1.WorkerLife{Worker: name, BornUnixMs: 1, Address: name + ":1", Pool: "p", CpuMillis: 4000, MemoryMib: 1000}})
		}))
	}
	require.NoError(t, untilNotShed(func() error { return submitOneTask(t.Context(), s) }))
	return s
}

const longLease = 6 * time.Second

// Guards against TWICE: a start that the log does not hold is not known to the next leader.
func TestStartThatWasNotStoredIsNotSent(t *testing.T) {
	refused := make(chan struct{}, 100)
	w := &scriptedWorkers{}
	startScripted(t, w, func(cmd *egretmuxv1.JobCommand) error {
		if cmd.GetNoteStarts() == nil {
			return nil
		}
		refused <- struct{}{}
		return errors.New("not stored")
	}, longLease, "a")
	select {
	case <-refused:
	case <-time.After(10 * time.Second):
		t.Fatal("no start is decided on")
	}
	require.Never(t, func() bool { runs, _ := w.sent(); return len(runs) > 0 }, 500*time.Millisecond, 5*time.Millisecond)
}

// Guards against TWICE: the lease of a worker expired while a start there was being stored. Its run was given up, and the
// start was sent all the same.
func TestStartWhoseRunWasGivenUpWhileItWasStoredIsNotSent(t *testing.T) {
	const lease = time.Second
	var mu sync.Mutex
	silent := false
	w := &scriptedWorkers{}
	w.poll = func(scheduler.Poll) (dispatch.Listing, scheduler.PollResult) {
		mu.Lock()
		defer mu.Unlock()
		if silent {
			return dispatch.Listing{}, scheduler.PollUnanswered
		}
		return dispatch.Listing{Clock: time.Now().UnixMilli(), Complete: true}, scheduler.PollAnswered
	}
	stored := make(chan struct{})
	var once sync.Once
	startScripted(t, w, func(cmd *egretmuxv1.JobCommand) error {
		if cmd.GetNoteStarts() != nil {
			once.Do(func() {
				mu.Lock()
				silent = true
				mu.Unlock()
				time.Sleep(2 * lease)
				close(stored)
			})
		}
		return nil
	}, lease, "a")
	select {
	case <-stored:
	case <-time.After(20 * time.Second):
		t.Fatal("no start is decided on")
	}
	require.Never(t, func() bool { runs, _ := w.sent(); return len(runs) > 0 }, 500*time.Millisecond, 5*time.Millisecond)
}

// Guards against TWICE: the answer to a start came from another life of the worker, as its clock shows, where the run goes on.
func TestRunThatAnotherLifeAcceptedIsStoppedBeforeItsTaskStartsAgain(t *testing.T) {
	var mu sync.Mutex
	stops := 0
	w := &scriptedWorkers{}
	w.stop = func(s dispatch.StopOrder) bool {
		mu.Lock()
		defer mu.Unlock()
		stops++
		return stops > 2
	}
	w.start = func(_ dispatch.StartOrder, earlier int) (dispatch.StartResult, int64) {
		if earlier == 0 {
			return dispatch.Accepted, 1
		}
		mu.Lock()
		defer mu.Unlock()
		if stops <= 2 {
			t.Errorf("started again after %d stops, of which none was answered", stops)
		}
		return dispatch.Accepted, 0
	}
	startScripted(t, w, nil, longLease, "a", "b")
	require.Eventually(t, func() bool { runs, _ := w.sent(); return len(runs) > 1 }, 10*time.Second, 5*time.Millisecond)
}

// Guards against TWICE: neither a start nor its stops were answered, and the task was started again although the start may
// still arrive.
func TestTaskIsNotStartedAgainWhileNeitherItsStartNorItsStopIsAnswered(t *testing.T) {
	w := &scriptedWorkers{}
	w.start = func(dispatch.StartOrder, int) (dispatch.StartResult, int64) { return dispatch.Unanswered, 0 }
	w.stop = func(dispatch.StopOrder) bool { return false }
	startScripted(t, w, nil, longLease, "a", "b")
	require.Eventually(t, func() bool { runs, _ := w.sent(); return len(runs) > 0 }, 10*time.Second, 5*time.Millisecond)
	require.Never(t, func() bool {
		runs, _ := w.sent()
		return runs[len(runs)-1] > 1
	}, 2*time.Second, 5*time.Millisecond)
}

// Guards against TWICE: a poll that was answered after a start had been accepted, but lists the runs from before it, was taken
// for a proof that its run is not there.
func TestListingFromBeforeAStartProvesNoAbsence(t *testing.T) {
	const late = 100 * time.Millisecond
	polled, accepted := make(chan struct{}), make(chan struct{}) // closed by the second poll, and by the start after it
	var polls atomic.Int32
	w := &scriptedWorkers{}
	w.start = func(_ dispatch.StartOrder, earlier int) (dispatch.StartResult, int64) {
		if earlier == 0 {
			<-polled
			close(accepted)
		}
		return dispatch.Accepted, 0
	}
	w.poll = func(scheduler.Poll) (dispatch.Listing, scheduler.PollResult) {
		listing := dispatch.Listing{Clock: time.Now().UnixMilli(), Complete: true}
		switch polls.Add(1) {
		case 1:
		case 2:
			close(polled)
			<-accepted
			time.Sleep(late)
		default:
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, s := range w.starts {
				listing.Running = append(listing.Running, dispatch.ListedRun{Task: s.Task, Run: s.Run})
			}
		}
		return listing, scheduler.PollAnswered
	}
	startScripted(t, w, nil, longLease, "a")
	select {
	case <-accepted:
	case <-time.After(10 * time.Second):
		t.Fatal("nothing is started")
	}
	require.Never(t, func() bool { runs, _ := w.sent(); return len(runs) > 1 }, 8*late, 5*time.Millisecond)
}

// Guards against TWICE: an end that the log does not hold was acknowledged, so that the next leader would never hear of it.
func TestEndThatWasNotStoredIsNotAcknowledged(t *testing.T) {
	refused := make(chan struct{}, 100)
	w := &scriptedWorkers{}
	w.poll = func(scheduler.Poll) (dispatch.Listing, scheduler.PollResult) {
		w.mu.Lock()
		defer w.mu.Unlock()
		listing := dispatch.Listing{Clock: time.Now().UnixMilli(), Complete: true}
		for i, s := range w.starts {
			listing.Ended = append(listing.Ended, dispatch.ListedEnd{Number: uint64(i + 1), Task: s.Task, Run: s.Run, Outcome: egretmuxv1.RunOutcome_RUN_OUTCOME_DONE, TaskParsed: true})
		}
		return listing, scheduler.PollAnswered
	}
	startScripted(t, w, func(cmd *egretmuxv1.JobCommand) error {
		if cmd.GetNoteEnds() == nil {
			return nil
		}
		refused <- struct{}{}
		return errors.New("not stored")
	}, longLease, "a")
	select {
	case <-refused:
	case <-time.After(10 * time.Second):
		t.Fatal("no end is listed")
	}
	require.Never(t, func() bool { _, cursor := w.sent(); return cursor > 0 }, 500*time.Millisecond, 5*time.Millisecond)
}

// Guards against TWICE: a start got no answer until its run was given up with the lease, and was sent again all the same.
func TestStartWhoseRunWasGivenUpIsNotRepeated(t *testing.T) {
	const lease = time.Second
	var silent atomic.Bool
	answered := make(chan struct{})
	w := &scriptedWorkers{}
	w.start = func(_ dispatch.StartOrder, earlier int) (dispatch.StartResult, int64) {
		if earlier == 0 {
			silent.Store(true)
			time.Sleep(2 * lease)
			close(answered)
			return dispatch.Unanswered, 0
		}
		return dispatch.Accepted, 0
	}
	w.poll = func(scheduler.Poll) (dispatch.Listing, scheduler.PollResult) {
		if silent.Load() {
			return dispatch.Listing{}, scheduler.PollUnanswered
		}
		return dispatch.Listing{Clock: time.Now().UnixMilli(), Complete: true}, scheduler.PollAnswered
	}
	startScripted(t, w, nil, lease, "a")
	select {
	case <-answered:
	case <-time.After(20 * time.Second):
		t.Fatal("nothing is started")
	}
	require.Never(t, func() bool { runs, _ := w.sent(); return len(runs) > 1 }, 500*time.Millisecond, 5*time.Millisecond)
}

// logLines is a writer that keeps the lines of a log.
type logLines struct {
	mu    sync.Mutex
	lines []string
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(p))
	return len(p), nil
}

func (l *logLines) holds(event string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.lines, func(line string) bool { return strings.Contains(line, `"`+event+`"`) })
}

// Guards against a run that is taken in, and lost without a hold of its task, while the end of its worker's life is being
// stored: the worker had announced its end without runs, and lists one that was given up before.
func TestWorkerThatHasAnnouncedItsEndTakesInNoRunsWhileThatIsBeingStored(t *testing.T) {
	const lease = time.Second
	var silent, lists atomic.Bool
	log := &logLines{}
	w := &scriptedWorkers{}
	w.poll = func(scheduler.Poll) (dispatch.Listing, scheduler.PollResult) {
		if silent.Load() {
			return dispatch.Listing{}, scheduler.PollUnanswered
		}
		listing := dispatch.Listing{Clock: time.Now().UnixMilli(), Complete: true}
		w.mu.Lock()
		defer w.mu.Unlock()
		if lists.Load() && len(w.starts) > 0 {
			listing.Running = []dispatch.ListedRun{{Task: w.starts[0].Task, Run: w.starts[0].Run}}
		}
		return listing, scheduler.PollAnswered
	}
	book := job.NewBook()
	s := startLeaderOn(t, book, guardedBook{book, func(cmd *egretmuxv1.JobCommand) error {
		if cmd.GetEndLife().GetOver() { // polls go on meanwhile
			lists.Store(true)
			time.Sleep(200 * time.Millisecond)
		}
		return nil
	}}, w, func(cfg *scheduler.Config) { cfg.Lease, cfg.Logger = lease, zerolog.New(log) })
	_, err := s.PutCatalogue(t.Context(), catalogue(1, "one"))
	require.NoError(t, err)
	beat := func(cpu int64, sequence uint64, leaving bool) {
		require.NoError(t, untilNotShed(func() error {
			return s.HandleHeartbeat(t.Context(), &egretmuxv1.WorkerBeat{
				Life: &egretmuxv1.WorkerLife{Worker: "a", BornUnixMs: 1, Address: "a:1", Pool: "p", CpuMillis: cpu, MemoryMib: 1000}, Sequence: sequence, Leaving: leaving,
			})
		}))
	}
	beat(4000, 1, false)
	lists.Store(true)
	require.NoError(t, untilNotShed(func() error { return submitOneTask(t.Context(), s) }))
	require.Eventually(t, func() bool { runs, _ := w.sent(); return len(runs) == 1 }, 10*time.Second, 5*time.Millisecond)
	beat(0, 2, false) // the task finds no room there any more
	silent.Store(true)
	require.Eventually(t, func() bool { return log.holds("run_lost") }, 10*time.Second, 5*time.Millisecond, "the run is given up with the lease")
	lists.Store(false)
	silent.Store(false)
	time.Sleep(100 * time.Millisecond)
	require.False(t, log.holds("run_adopted"))
	beat(0, 3, true)
	require.True(t, lists.Load())
	require.Eventually(t, func() bool { return s.WorkerCount() == 0 }, 10*time.Second, 5*time.Millisecond)
	require.False(t, log.holds("run_adopted"))
}
