package scheduler_test

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/peer"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/scheduler"
	"github.com/egretmux/egretmux/internal/settings"
	"github.com/egretmux/egretmux/internal/voter"
)

// openLeader opens the only replica of a cell in a data folder and returns its scheduler once it leads.
// close stops it as a crash does: without a hand-over or a last snapshot.
func openLeader(t *testing.T, folder string, snapshotEntries uint64) (s *scheduler.Scheduler, closeAll func()) {
	t.Helper()
	dialer, err := peer.NewDialer("", "")
	require.NoError(t, err)
	v, err := voter.Open(&settings.Settings{
		Instance: "a", DataFolder: folder, Cell: settings.Listener{Address: "a"},
		Tick: 5 * time.Millisecond, ElectionTicks: 6, HeartbeatTicks: 2, SnapshotEntries: snapshotEntries,
	}, dialer, zerolog.Nop())
	require.NoError(t, err)
	if v.Empty() {
		require.NoError(t, v.Bootstrap(&egretmuxv1.Membership{Replicas: []*egretmuxv1.Replica{v.Replica()}}))
	}
	book := job.NewBook()
	node, err := v.StartReplica(book, func(err error) { t.Error(err) })
	require.NoError(t, err)
	f := &fakeWorkers{stored: func(dispatch.StartOrder) bool { return true }}
	s = scheduler.New(scheduler.Config{WorkerClient: f, AdviceClient: noAdvice{}, Lease: 6 * time.Second, FarFactor: 1, StatusKeep: time.Minute, Logger: zerolog.Nop()})
	s.SetReplica(node, book)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	require.Eventually(t, s.Leads, 10*time.Second, 5*time.Millisecond)
	return s, func() {
		cancel()
		<-done
		require.NoError(t, v.Close())
	}
}

// Guards against a key that was withdrawn, and a worker that had left, which are in use again after all
// replicas were restarted, from the log as well as from a snapshot: late copies of the older
// configuration and of a heartbeat arrive afterwards.
func TestWithdrawnKeyAndWorkerThatLeftStayOutAfterARestartOfAllReplicas(t *testing.T) {
	for name, snapshotEntries := range map[string]uint64{"log": 100000, "snapshot": 8} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			life := &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: 1, Address: "w:1", Pool: "p", CpuMillis: 4000, MemoryMib: 1000}
			s, closeAll := openLeader(t, folder, snapshotEntries)
			ctx := t.Context()
			_, err := s.PutCatalogue(ctx, customersCatalogue(1, "withdrawn", "kept"))
			require.NoError(t, err)
			require.NoError(t, s.HandleHeartbeat(ctx, &egretmuxv1.WorkerBeat{Life: life, Sequence: 1}))
			require.NoError(t, s.HandleHeartbeat(ctx, &egretmuxv1.WorkerBeat{Life: &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: 1}, Leaving: true}))
			_, err = s.PutCatalogue(ctx, customersCatalogue(4, "kept"))
			require.NoError(t, err)
			for n := range 20 { // more entries, so that a snapshot covers those before
				require.Equal(t, "found", outcome(ctx, s, keyCall(submitVerb, fmt.Sprintf("/q/%016x", n), "kept")))
			}
			require.Eventually(t, func() bool { return s.WorkerCount() == 0 }, 5*time.Second, 5*time.Millisecond)
			closeAll()

			for range 2 { // the second restart reads what the first one wrote
				s, closeAll = openLeader(t, folder, snapshotEntries)
				_, err = s.PutCatalogue(ctx, customersCatalogue(1, "withdrawn", "kept"))
				require.NoError(t, err)
				require.NoError(t, s.HandleHeartbeat(ctx, &egretmuxv1.WorkerBeat{Life: life, Sequence: 2}))
				require.Never(t, func() bool { return s.WorkerCount() > 0 }, 100*time.Millisecond, 5*time.Millisecond)
				for _, verb := range []egretmuxv1.JobVerb{submitVerb, showVerb, cancelVerb} {
					require.Equal(t, string(refusal.Unauthenticated), outcome(ctx, s, keyCall(verb, "/q/0000000000000001", "withdrawn")))
				}
				require.Equal(t, "found", outcome(ctx, s, keyCall(showVerb, "/q/0000000000000001", "kept")))
				snapshots, err := filepath.Glob(filepath.Join(folder, "snapshot-*"))
				require.NoError(t, err)
				require.Equal(t, name == "snapshot", len(snapshots) > 0)
				closeAll()
			}
		})
	}
}
