package scheduler_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/scheduler"
)

// startSchedulers starts a cell of three replicas with a scheduler each.
func startSchedulers(t *testing.T) []*scheduler.Scheduler {
	t.Helper()
	nodes, books, _ := startReplicas(t, 3)
	ctx, cancel := context.WithCancel(context.Background())
	var schedulers []*scheduler.Scheduler
	var running sync.WaitGroup
	for i, node := range nodes {
		s := scheduler.New(scheduler.Config{WorkerClient: &fakeWorkers{}, AdviceClient: noAdvice{}, Lease: 6 * time.Second, FarFactor: 1, StatusKeep: time.Minute, Logger: zerolog.Nop()})
		s.SetReplica(node, books[i])
		running.Go(func() { s.Run(ctx) })
		schedulers = append(schedulers, s)
	}
	t.Cleanup(func() { cancel(); running.Wait() })
	return schedulers
}

// awaitLeader returns the scheduler that leads, other than the given one.
func awaitLeader(t *testing.T, schedulers []*scheduler.Scheduler, except *scheduler.Scheduler) (leader *scheduler.Scheduler) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, s := range schedulers {
			if s != except && s.Leads() {
				leader = s
			}
		}
		return leader != nil
	}, 10*time.Second, transferTick)
	return leader
}

// A leader that stood still while another one was elected holds the catalogue from before.
// When it goes on, it must not serve by it, nor deny by it.
func TestReplacedLeaderDoesNotUseItsOldCatalogue(t *testing.T) {
	schedulers := startSchedulers(t)
	old := awaitLeader(t, schedulers, nil)
	_, err := old.PutCatalogue(t.Context(), customersCatalogue(1, "withdrawn"))
	require.NoError(t, err)
	require.Equal(t, "found", outcome(t.Context(), old, keyCall(submitVerb, jobPath, "withdrawn")))
	release := stallReplica(t, old)
	next := awaitLeader(t, schedulers, old)
	_, err = next.PutCatalogue(t.Context(), customersCatalogue(2, "added"))
	require.NoError(t, err)

	call := func(verb egretmuxv1.JobVerb, path, key string) string {
		ctx, cancel := context.WithTimeout(t.Context(), callerPatience)
		defer cancel()
		return outcome(ctx, old, keyCall(verb, path, key))
	}
	callOld := func(n int) {
		path := fmt.Sprintf("/q/%016x", n)
		require.NotContains(t, []string{"found", "unknown job"}, call(showVerb, jobPath, "withdrawn"))
		require.NotEqual(t, "found", call(submitVerb, path, "withdrawn"))
		for _, verb := range []egretmuxv1.JobVerb{submitVerb, showVerb, cancelVerb} {
			require.NotEqual(t, string(refusal.Unauthenticated), call(verb, path, "added"))
		}
	}
	callOld(1)
	release()
	for n := range 100 {
		callOld(2 + n)
		time.Sleep(transferTick)
	}
	require.Equal(t, "found", outcome(t.Context(), awaitLeader(t, schedulers, nil), keyCall(showVerb, jobPath, "added")))
}
