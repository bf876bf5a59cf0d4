package scheduler_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/scheduler"
)

// Guards against a leader that stood still while another one was elected, and then answers reads of the
// configuration, of jobs and of waves with what it held before.
func TestReplacedLeaderAnswersNoReadWithItsOldState(t *testing.T) {
	schedulers := startSchedulers(t)
	old := awaitLeader(t, schedulers, nil)
	_, err := old.PutCatalogue(t.Context(), catalogue(1, "one"))
	require.NoError(t, err)
	require.NoError(t, untilNotShed(func() error { return submitOneTask(t.Context(), old) }))
	release := stallReplica(t, old)
	next := awaitLeader(t, schedulers, old)
	_, err = next.PutCatalogue(t.Context(), catalogue(2, "two"))
	require.NoError(t, err)
	_, err = next.CallJob(t.Context(), &egretmuxv1.JobCall{Address: address(jobPath), Verb: cancelVerb})
	require.NoError(t, err)
	require.NoError(t, next.StartWave(t.Context(), &egretmuxv1.Wave{Id: 1, Machines: []string{"m"}}))

	requireNothingOld(t, old)
	release()
	for range 100 {
		requireNothingOld(t, old)
		time.Sleep(transferTick)
	}
	leader := awaitLeader(t, schedulers, nil)
	c, err := leader.Catalogue(t.Context())
	require.NoError(t, err)
	require.Equal(t, uint64(2), c.GetVersion())
}

// requireNothingOld reads the configuration, the job and the wave. No answer is none of an older state.
func requireNothingOld(t *testing.T, s *scheduler.Scheduler) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), callerPatience/4)
	defer cancel()
	if c, err := s.Catalogue(ctx); err == nil {
		require.Equal(t, uint64(2), c.GetVersion())
	}
	if answer, err := s.CallJob(ctx, &egretmuxv1.JobCall{Address: address(jobPath), Verb: showVerb}); err == nil {
		require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_CANCELLED, answer.GetPhase())
	}
	if answer, err := s.CallJob(ctx, &egretmuxv1.JobCall{Address: address("/q/"), Verb: showVerb}); err == nil {
		require.Zero(t, answer.GetPending())
	}
	if wave, err := s.ShowWave(ctx, 1); err == nil {
		require.True(t, wave.GetFound())
	}
}
