package scheduler_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/refusal"
)

// Load: a customer sends gangs that its whole quota cannot hold, and repeats an earlier submit
// whose answer was lost after the operator has lowered the quota below it.
func TestSubmitThatCanNeverFitItsQuotaIsRefusedUnlessItIsStored(t *testing.T) {
	s := startLeader(t, &fakeWorkers{})
	ctx := t.Context()
	putQuota := func(version uint64, cpu int64) {
		c := catalogue(version, "text")
		c.CredentialsRequired = true
		c.Customers = []*egretmuxv1.Customer{{
			Name: "a", Weight: 1, CredentialSha256: [][]byte{job.HashCredential("key")}, Quota: &egretmuxv1.Resources{CpuMillis: cpu},
		}}
		_, err := s.PutCatalogue(ctx, c)
		require.NoError(t, err)
	}
	submit := func(path string) error {
		return untilNotShed(func() error {
			_, err := s.CallJob(ctx, &egretmuxv1.JobCall{
				Address: address(path), Verb: egretmuxv1.JobVerb_JOB_VERB_SUBMIT, CredentialSha256: job.HashCredential("key"),
				Job: &egretmuxv1.Job{Steps: []*egretmuxv1.JobStep{{Count: 4, CpuMillis: 1000, Gang: true}}},
			})
			return err
		})
	}
	putQuota(1, 4000)
	require.NoError(t, submit(jobPath))
	putQuota(2, 3000)
	require.NoError(t, submit(jobPath), "it is stored")
	err := submit("/q/00000000000000bb")
	require.Equal(t, refusal.NeverRunnable, refusal.Of(err).Kind)
	require.ErrorContains(t, err, `quota of customer "a" is 3000`)
	answer, err := s.CallJob(ctx, &egretmuxv1.JobCall{
		Address: address("/q/00000000000000bb"), Verb: egretmuxv1.JobVerb_JOB_VERB_SHOW, CredentialSha256: job.HashCredential("key"),
	})
	require.NoError(t, err)
	require.False(t, answer.GetFound(), "it was not stored")
}
