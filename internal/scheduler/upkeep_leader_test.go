package scheduler_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/peer"
	"github.com/egretmux/egretmux/internal/scheduler"
	"github.com/egretmux/egretmux/internal/settings"
	"github.com/egretmux/egretmux/internal/voter"
)

// unansweredUpkeep is a machines' API that gives no definite answer to orders.
type unansweredUpkeep struct{ orders chan string }

func (unansweredUpkeep) States(context.Context) (map[string]scheduler.MachineState, error) {
	return map[string]scheduler.MachineState{"m": scheduler.MachineUp}, nil
}

func (u unansweredUpkeep) Upkeep(_ context.Context, machine string, _, _ uint64) scheduler.UpkeepAnswer {
	select {
	case u.orders <- machine:
	default:
	}
	return scheduler.UpkeepUnknown
}

// Guards against AVAIL: a leader had ordered the upkeep of a machine, without a definite answer, and the
// next one started tasks there, which the upkeep ends.
func TestNextLeaderStartsNothingOnAMachineWhoseUpkeepIsOrdered(t *testing.T) {
	dialer, err := peer.NewDialer("", "")
	require.NoError(t, err)
	v, err := voter.Open(&settings.Settings{
		Instance: "a", DataFolder: t.TempDir(), Cell: settings.Listener{Address: "a"},
		Tick: 5 * time.Millisecond, ElectionTicks: 6, HeartbeatTicks: 2, SnapshotEntries: 1000,
	}, dialer, zerolog.Nop())
	require.NoError(t, err)
	require.NoError(t, v.Bootstrap(&egretmuxv1.Membership{Replicas: []*egretmuxv1.Replica{v.Replica()}}))
	book := job.NewBook()
	node, err := v.StartReplica(book, func(err error) { t.Error(err) })
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, v.Close()) })
	lead := func(f *fakeWorkers, api unansweredUpkeep) (*scheduler.Scheduler, func()) {
		f.stored = func(dispatch.StartOrder) bool { return true }
		s := scheduler.New(scheduler.Config{WorkerClient: f, AdviceClient: noAdvice{}, Machines: api, Lease: 6 * time.Second, FarFactor: 1, StatusKeep: time.Minute, Logger: zerolog.Nop()})
		s.SetReplica(node, book)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.Run(ctx)
		}()
		require.Eventually(t, s.Leads, 10*time.Second, 5*time.Millisecond)
		return s, func() {
			cancel()
			<-done
		}
	}
	ctx := t.Context()

	first := unansweredUpkeep{orders: make(chan string, 1)}
	s, end := lead(&fakeWorkers{}, first)
	_, err = s.PutCatalogue(ctx, catalogue(1, "one"))
	require.NoError(t, err)
	require.NoError(t, untilNotShed(func() error {
		return s.HandleHeartbeat(ctx, &egretmuxv1.WorkerBeat{Life: &egretmuxv1.WorkerLife{
			Worker: "w", BornUnixMs: 1, Address: "w:1", Pool: "p", CpuMillis: 4000, MemoryMib: 1000, Machine: "m",
		}})
	}))
	require.NoError(t, s.StartWave(ctx, &egretmuxv1.Wave{Id: 1, Machines: []string{"m"}, DurationMs: 20_000, MaxDown: 1}))
	require.Equal(t, "m", <-first.orders)
	end()

	f, second := &fakeWorkers{}, unansweredUpkeep{orders: make(chan string, 1)}
	s, end = lead(f, second)
	defer end()
	require.Equal(t, "m", <-second.orders, "the order is repeated")
	require.NoError(t, untilNotShed(func() error {
		_, err := s.CallJob(ctx, &egretmuxv1.JobCall{Address: address(jobPath), Verb: egretmuxv1.JobVerb_JOB_VERB_SUBMIT, Job: &egretmuxv1.Job{
			Steps: []*egretmuxv1.JobStep{{Count: 1, CpuMillis: 1000, MemoryMib: 10, EstimateMs: 10}},
		}})
		return err
	}))
	require.Never(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.starts > 0
	}, time.Second, 5*time.Millisecond)
}
