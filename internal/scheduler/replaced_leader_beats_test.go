package scheduler_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/scheduler"
)

// replaceLeader stalls the leader of three until another one leads, and returns both. The first takes
// itself for the leader for a while.
func replaceLeader(t *testing.T) (old, next *scheduler.Scheduler) {
	t.Helper()
	schedulers := startSchedulers(t)
	old = awaitLeader(t, schedulers, nil)
	_, err := old.PutCatalogue(t.Context(), catalogue(1, "one"))
	require.NoError(t, err)
	stallReplica(t, old)
	return old, awaitLeader(t, schedulers, old)
}

func beatTo(t *testing.T, s *scheduler.Scheduler, b *egretmuxv1.WorkerBeat) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), callerPatience)
	defer cancel()
	return s.HandleHeartbeat(ctx, b)
}

// Guards against a replaced leader that acknowledges the end of a worker which it does not know: the
// worker does not announce its end again, and the leader takes that for a crash.
func TestReplacedLeaderDoesNotAcknowledgeTheEndOfAWorker(t *testing.T) {
	old, next := replaceLeader(t)
	life := &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: 1, Address: "w:1", Pool: "p", CpuMillis: 4000, MemoryMib: 1000}
	require.NoError(t, next.HandleHeartbeat(t.Context(), &egretmuxv1.WorkerBeat{Life: life, Sequence: 1}))
	require.Eventually(t, func() bool { return next.WorkerCount() == 1 }, 5*time.Second, time.Millisecond)
	acted := old.Leads()
	err := beatTo(t, old, &egretmuxv1.WorkerBeat{Life: &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: 1}, Leaving: true})
	if err == nil {
		require.Eventually(t, func() bool { return next.WorkerCount() == 0 }, time.Second, time.Millisecond, "acknowledged by the replaced leader, and not known to the one that leads")
	}
	t.Logf("took itself for the leader: %v, answered: %v", acted, err)
}
