package scheduler_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/scheduler"
)

// restartedWorkers implements scheduler.WorkerClient. Polls of a life other than the current one have the result ofOthers.
type restartedWorkers struct {
	*fakeWorkers
	current  atomic.Int64 // birth of the life that answers
	ofOthers scheduler.PollResult
	muted    atomic.Bool // whether no life answers polls
}

func (r *restartedWorkers) Poll(ctx context.Context, poll scheduler.Poll) (dispatch.Listing, scheduler.PollResult) {
	if r.muted.Load() {
		time.Sleep(5 * time.Millisecond)
		return dispatch.Listing{}, scheduler.PollUnanswered
	}
	if poll.Born != r.current.Load() {
		time.Sleep(5 * time.Millisecond)
		return dispatch.Listing{}, r.ofOthers
	}
	return r.fakeWorkers.Poll(ctx, poll)
}

// startWithRestartedWorker starts a leader with a worker whose second life was born before its first one, as its
// time of day went back, and which runs a task. The first life is over.
func startWithRestartedWorker(t *testing.T, second *egretmuxv1.WorkerLife) (*scheduler.Scheduler, *restartedWorkers, *egretmuxv1.WorkerLife) {
	t.Helper()
	first := &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: 9000, Address: "w:1", Pool: "p", CpuMillis: 4000, MemoryMib: 1000}
	r := &restartedWorkers{fakeWorkers: &fakeWorkers{held: func(dispatch.StartOrder) bool { return true }}, ofOthers: scheduler.PollAnotherIncarnation}
	r.current.Store(first.GetBornUnixMs())
	s := startLeader(t, r.fakeWorkers, func(cfg *scheduler.Config) { cfg.WorkerClient = r })
	_, err := s.PutCatalogue(t.Context(), catalogue(1, "one"))
	require.NoError(t, err)
	require.NoError(t, s.HandleHeartbeat(t.Context(), &egretmuxv1.WorkerBeat{Life: first, Sequence: 1}))
	require.Eventually(t, func() bool { return s.WorkerCount() == 1 }, 5*time.Second, 5*time.Millisecond)
	r.current.Store(second.GetBornUnixMs())
	require.Eventually(t, func() bool { return s.WorkerCount() == 0 }, 5*time.Second, 5*time.Millisecond, "the second life has answered")
	require.NoError(t, s.HandleHeartbeat(t.Context(), &egretmuxv1.WorkerBeat{Life: second, Sequence: 1}))
	require.NoError(t, untilNotShed(func() error { return submitOneTask(t.Context(), s) }))
	require.Eventually(t, func() bool { return r.startCount() == 1 }, 10*time.Second, 5*time.Millisecond)
	return s, r, first
}

func (r *restartedWorkers) startCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts
}

// Guards against TWICE: a heartbeat of a life that is over was delayed, and was born after the life that has taken its
// place. It ended that life, whose run went on beside the next one of its task.
func TestLateHeartbeatOfALifeThatIsOverDoesNotEndTheNextOne(t *testing.T) {
	for name, second := range map[string]*egretmuxv1.WorkerLife{
		"the same worker":        {Worker: "w", BornUnixMs: 5000, Address: "w:1", Pool: "p", CpuMillis: 4000, MemoryMib: 1000},
		"another at its address": {Worker: "v", BornUnixMs: 5000, Address: "w:1", Pool: "p", CpuMillis: 4000, MemoryMib: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			s, r, first := startWithRestartedWorker(t, second)
			other := &egretmuxv1.WorkerLife{Worker: "x", BornUnixMs: 5000, Address: "x:1", Pool: "p", CpuMillis: 4000, MemoryMib: 1000}
			require.NoError(t, s.HandleHeartbeat(t.Context(), &egretmuxv1.WorkerBeat{Life: other, Sequence: 1}))
			require.Eventually(t, func() bool { return s.WorkerCount() == 2 }, 5*time.Second, 5*time.Millisecond)
			require.NoError(t, s.HandleHeartbeat(t.Context(), &egretmuxv1.WorkerBeat{Life: first, Sequence: 2}))
			require.Never(t, func() bool { return r.startCount() > 1 || s.WorkerCount() != 2 }, time.Second, 5*time.Millisecond)
		})
	}
}

// Guards against TWICE as above, where the log does not know that the life of the heartbeat is over: the worker had started
// again before the cell heard of it, or its answers come too late or not at all.
func TestHeartbeatOfALifeThatDoesNotAnswerEndsNoOther(t *testing.T) {
	for name, result := range map[string]scheduler.PollResult{"another life answers": scheduler.PollAnotherIncarnation, "nothing answers": scheduler.PollUnanswered} {
		t.Run(name, func(t *testing.T) {
			r := &restartedWorkers{fakeWorkers: &fakeWorkers{held: func(dispatch.StartOrder) bool { return true }}, ofOthers: result}
			second := &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: 5000, Address: "w:1", Pool: "p", CpuMillis: 4000, MemoryMib: 1000}
			r.current.Store(second.GetBornUnixMs())
			s := startLeader(t, r.fakeWorkers, func(cfg *scheduler.Config) { cfg.WorkerClient = r })
			_, err := s.PutCatalogue(t.Context(), catalogue(1, "one"))
			require.NoError(t, err)
			require.NoError(t, s.HandleHeartbeat(t.Context(), &egretmuxv1.WorkerBeat{Life: second, Sequence: 1}))
			require.NoError(t, untilNotShed(func() error { return submitOneTask(t.Context(), s) }))
			require.Eventually(t, func() bool { return r.startCount() == 1 }, 10*time.Second, 5*time.Millisecond)
			first := &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: 9000, Address: "w:1", Pool: "p", CpuMillis: 4000, MemoryMib: 1000}
			err = s.HandleHeartbeat(t.Context(), &egretmuxv1.WorkerBeat{Life: first, Sequence: 2})
			require.Equal(t, result == scheduler.PollUnanswered, err != nil, "what cannot be checked is not acknowledged")
			require.Never(t, func() bool { return r.startCount() > 1 || s.WorkerCount() != 1 }, time.Second, 5*time.Millisecond)
		})
	}
}

// Guards against TWICE as above, where the life that runs cannot be asked.
func TestLateHeartbeatOfALifeThatIsOverDoesNotEndTheNextOneWhileThatIsSilent(t *testing.T) {
	second := &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: 5000, Address: "w:1", Pool: "p", CpuMillis: 4000, MemoryMib: 1000}
	s, r, first := startWithRestartedWorker(t, second)
	r.muted.Store(true)
	require.NoError(t, s.HandleHeartbeat(t.Context(), &egretmuxv1.WorkerBeat{Life: first, Sequence: 2}))
	require.Never(t, func() bool { return s.WorkerCount() != 1 }, time.Second, 5*time.Millisecond)
}
