package scheduler_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/scheduler"
)

const overloadLatency = time.Second // of a confirmation

// submitInTime submits a job for a caller that waits for callerPatience.
func submitInTime(t *testing.T, s *scheduler.Scheduler, path, key string) *refusal.Error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), callerPatience)
	defer cancel()
	call := keyCall(submitVerb, path, key)
	call.Job = &egretmuxv1.Job{Steps: []*egretmuxv1.JobStep{{Count: 1, CpuMillis: 1000, EstimateMs: 100}}}
	_, err := s.CallJob(ctx, call)
	require.Error(t, err)
	return refusal.Of(err)
}

// Load: the leader is cut off and overloaded; another one may lead, and have stored the job. A
// client whose submit got no answer repeats it: the first one may still be committed.
func TestOverloadedLeaderWithoutQuorumShedsNoSubmit(t *testing.T) {
	s := startLeaderWith(t, catalogue(1, "one"))
	stallReplica(t, s)
	s.SetConfirmLatency(0)
	requireUnknownInTime(t, func(ctx context.Context) error { return submitOneTask(ctx, s) })
	s.SetConfirmLatency(overloadLatency)
	require.Equal(t, refusal.OutcomeUnknown, submitInTime(t, s, jobPath, "").Kind, "it is being stored")
	require.Equal(t, refusal.NoLeader, submitInTime(t, s, "/q/00000000000000bb", "").Kind)
}

// Load: a customer over its rate at a leader that is cut off; another one may have stored the
// job, whose submit is repeated here.
func TestLeaderWithoutQuorumRefusesNoSubmitForTheRate(t *testing.T) {
	c := catalogue(1, "x")
	c.CredentialsRequired = true
	c.Customers = []*egretmuxv1.Customer{{Name: "dixie", Weight: 1, JobsPerSecond: 0.001, CredentialSha256: [][]byte{job.HashCredential(testCredential)}}}
	s := startLeaderWith(t, c)
	require.NoError(t, submitOfCustomer(t, s, "0000000000000001"))
	require.NoError(t, submitOfCustomer(t, s, "0000000000000002"))
	stallReplica(t, s)
	s.SetConfirmLatency(0)
	require.Equal(t, refusal.NoLeader, submitInTime(t, s, "/q/0000000000000003", testCredential).Kind)
}

// Load: new jobs reach a leader that falls behind, and repeated submits of stored ones.
func TestOverloadedLeaderShedsNewSubmitsOnly(t *testing.T) {
	s := startLeaderWith(t, catalogue(1, "one"))
	require.NoError(t, untilNotShed(func() error { return submitOneTask(t.Context(), s) }))
	require.Eventually(t, func() bool { // a confirmation may come in between
		s.SetConfirmLatency(overloadLatency)
		_, err := s.CallJob(t.Context(), keyCall(submitVerb, jobPath, ""))
		require.NoError(t, err, "it is stored")
		s.SetConfirmLatency(overloadLatency)
		_, err = s.CallJob(t.Context(), keyCall(submitVerb, "/q/00000000000000bb", ""))
		return err != nil && refusal.Of(err).Kind == refusal.Shed
	}, 10*time.Second, transferTick)
}
