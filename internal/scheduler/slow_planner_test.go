package scheduler_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Guards against CONFIG: a configuration that was stored got no answer while the planner was busy, which it does not need.
func TestConfigurationIsAcknowledgedWhileThePlannerIsBusy(t *testing.T) {
	s := startLeaderWith(t, catalogue(1, "one"))
	release := s.HoldPlanner()
	defer release()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := s.PutCatalogue(ctx, catalogue(2, "two"))
	require.NoError(t, err)
}

// Guards against LOST: reads of accepted jobs got no answer in time while the planner was busy, which they do not need.
func TestJobsAreShownWhileThePlannerIsBusy(t *testing.T) {
	s := startLeaderWith(t, catalogue(1, "one"))
	require.NoError(t, untilNotShed(func() error { return submitOneTask(t.Context(), s) })) // there is no worker
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	release := s.HoldPlanner()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		shown, err := s.CallJob(ctx, keyCall(showVerb, jobPath, ""))
		assert.NoError(t, err)
		assert.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_QUEUED, shown.GetPhase())
		counted, err := s.CallJob(ctx, keyCall(showVerb, "/q/", ""))
		assert.NoError(t, err)
		assert.EqualValues(t, 1, counted.GetPending())
	}()
	select {
	case <-answered:
	case <-ctx.Done():
		assert.Fail(t, "no answer in time")
	}
	release()
	<-answered
}
