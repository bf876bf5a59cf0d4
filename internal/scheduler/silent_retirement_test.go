package scheduler_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/scheduler"
)

// gatedBook is a book that calls before with each end of a life, before it is applied.
type gatedBook struct {
	*job.Book
	before func(*egretmuxv1.EndLife)
}

func (b gatedBook) Apply(index uint64, data []byte) any {
	cmd := &egretmuxv1.JobCommand{}
	if proto.Unmarshal(data, cmd) == nil && cmd.GetEndLife() != nil {
		b.before(cmd.GetEndLife())
	}
	return b.Book.Apply(index, data)
}

// mutedWorkers implements scheduler.WorkerClient. Its workers answer nothing until they are named
// in answering, and their runs go on for good.
type mutedWorkers struct {
	mu        sync.Mutex
	answering map[string]bool
	polled    map[string]bool // workers that have answered a poll
	running   map[string][]dispatch.StartOrder
	stopped   int
}

func (m *mutedWorkers) Start(_ context.Context, s dispatch.StartOrder, _ uint64) (dispatch.StartResult, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[s.Worker] = append(m.running[s.Worker], s)
	return dispatch.Accepted, 0
}

func (m *mutedWorkers) Stop(context.Context, dispatch.StopOrder, uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped++
	return true
}

func (m *mutedWorkers) Pace(context.Context, dispatch.PaceOrder, uint64) bool { return true }
func (m *mutedWorkers) Release(dispatch.Target)                               {}

func (m *mutedWorkers) Poll(_ context.Context, poll scheduler.Poll) (dispatch.Listing, scheduler.PollResult) {
	time.Sleep(5 * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.answering[poll.Worker] {
		return dispatch.Listing{}, scheduler.PollUnanswered
	}
	m.polled[poll.Worker] = true
	listing := dispatch.Listing{Clock: time.Now().UnixMilli(), Complete: true}
	for _, s := range m.running[poll.Worker] {
		listing.Running = append(listing.Running, dispatch.ListedRun{Task: s.Task, Run: s.Run})
	}
	return listing, scheduler.PollAnswered
}

func (m *mutedWorkers) runs(worker string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.running[worker])
}

// Guards against TWICE: workers a and b were to be retired as silent. While the end of a's life was
// being stored, b answered and got a run; its life ended all the same, and the task was started again
// while the run went on.
func TestWorkerThatAnswersWhileOthersAreRetiredAsSilentKeepsItsRuns(t *testing.T) {
	m := &mutedWorkers{answering: make(map[string]bool), polled: make(map[string]bool), running: make(map[string][]dispatch.StartOrder)}
	ending, release := make(chan struct{}), make(chan struct{})
	book := job.NewBook()
	gated := gatedBook{book, func(end *egretmuxv1.EndLife) {
		switch end.GetWorker() {
		case "a":
			close(ending)
			<-release
		case "b": // its start was stored before, and arrives
			for range 500 {
				if m.runs("b") > 0 {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
	}}
	s, ctx := startLeaderOn(t, book, gated, m), t.Context()

	_, err := s.PutCatalogue(ctx, catalogue(1, "one"))
	require.NoError(t, err)
	join := func(worker string) {
		require.NoError(t, untilNotShed(func() error {
			return s.HandleHeartbeat(ctx, &egretmuxv1.WorkerBeat{Life: &egretmuxv1.WorkerLife{Worker: worker, BornUnixMs: 1, Address: worker + ":1", Pool: "p", CpuMillis: 4000, MemoryMib: 1000}, Sequence: 1})
		}))
	}
	join("a")
	join("b")
	require.NoError(t, untilNotShed(func() error {
		_, err := s.CallJob(ctx, &egretmuxv1.JobCall{Address: address(jobPath), Verb: egretmuxv1.JobVerb_JOB_VERB_SUBMIT, Job: &egretmuxv1.Job{Steps: []*egretmuxv1.JobStep{
			{Count: 1, CpuMillis: 1000, MemoryMib: 10, EstimateMs: 10},
		}}})
		return err
	}))
	select {
	case <-ending:
	case <-time.After(40 * time.Second):
		t.Fatal("no worker is retired as silent")
	}
	m.mu.Lock()
	m.answering["b"], m.answering["c"] = true, true
	m.mu.Unlock()
	require.Eventually(t, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.polled["b"]
	}, 5*time.Second, 5*time.Millisecond)
	time.Sleep(200 * time.Millisecond) // its start is being stored
	close(release)
	require.Eventually(t, func() bool { return m.runs("b") == 1 }, 5*time.Second, 5*time.Millisecond)
	join("c")
	require.Never(t, func() bool { return m.runs("c") > 0 }, 2*time.Second, 10*time.Millisecond, "the run on b goes on, and its lease is valid")
}
