package scheduler_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/scheduler"
)

// refusedUpkeep is a machines' API that refuses every upkeep for good.
type refusedUpkeep struct{ orders chan string }

func (refusedUpkeep) States(context.Context) (map[string]scheduler.MachineState, error) {
	return map[string]scheduler.MachineState{"m": scheduler.MachineUp}, nil
}

func (r refusedUpkeep) Upkeep(_ context.Context, machine string, _, _ uint64) scheduler.UpkeepAnswer {
	r.orders <- machine
	return scheduler.UpkeepRefused
}

// Guards against workers that stay closed for good: the upkeep of the worker's machine was
// refused, and it was never opened again.
func TestWorkerGetsRunsAgainIfTheUpkeepOfItsMachineIsRefused(t *testing.T) {
	api := refusedUpkeep{orders: make(chan string, 1)}
	s := startLeader(t, &fakeWorkers{}, func(cfg *scheduler.Config) { cfg.Machines = api })
	ctx := t.Context()
	_, err := s.PutCatalogue(ctx, catalogue(1, "one"))
	require.NoError(t, err)
	require.NoError(t, s.HandleHeartbeat(ctx, &egretmuxv1.WorkerBeat{Life: &egretmuxv1.WorkerLife{
		Worker: "w", BornUnixMs: 1, Address: "w:1", Pool: "p", CpuMillis: 4000, MemoryMib: 1000, Machine: "m",
	}}))
	require.NoError(t, s.StartWave(ctx, &egretmuxv1.Wave{Id: 1, Machines: []string{"m"}, DurationMs: 20_000, MaxDown: 1}))
	require.Equal(t, "m", <-api.orders)
	_, err = s.CallJob(ctx, &egretmuxv1.JobCall{Address: address(jobPath), Verb: egretmuxv1.JobVerb_JOB_VERB_SUBMIT, Job: &egretmuxv1.Job{
		Steps: []*egretmuxv1.JobStep{{Count: 1, CpuMillis: 1000, MemoryMib: 10, EstimateMs: 10}},
	}})
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		answer, err := s.CallJob(ctx, &egretmuxv1.JobCall{Address: address(jobPath), Verb: egretmuxv1.JobVerb_JOB_VERB_SHOW})
		return err == nil && answer.GetPhase() == egretmuxv1.JobPhase_JOB_PHASE_COMPLETED
	}, 10*time.Second, 10*time.Millisecond)
}
