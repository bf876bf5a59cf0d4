package scheduler_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/scheduler"
)

const testCredential = "dixie-credential"

// submitOfCustomer submits a job with the customer's credential.
func submitOfCustomer(t *testing.T, s *scheduler.Scheduler, id string) error {
	t.Helper()
	return untilNotShed(func() error {
		_, err := s.CallJob(t.Context(), &egretmuxv1.JobCall{
			Address: address("/q/" + id), Verb: egretmuxv1.JobVerb_JOB_VERB_SUBMIT, CredentialSha256: job.HashCredential(testCredential),
			Job: &egretmuxv1.Job{Steps: []*egretmuxv1.JobStep{{Count: 1, CpuMillis: 1000, EstimateMs: 100}}},
		})
		return err
	})
}

// Load: a customer submits more than its rate while there is no room at all. What is accepted
// stays accepted, also when its submit is repeated; the rest is refused with a time to return.
func TestSubmitOverRateIsRefusedWhileEarlierOnesWait(t *testing.T) {
	s := startLeader(t, &fakeWorkers{})
	c := catalogue(1, "x")
	c.CredentialsRequired = true
	c.Customers = []*egretmuxv1.Customer{{Name: "dixie", Weight: 1, JobsPerSecond: 0.001, CredentialSha256: [][]byte{job.HashCredential(testCredential)}}}
	_, err := s.PutCatalogue(t.Context(), c)
	require.NoError(t, err)
	require.NoError(t, submitOfCustomer(t, s, "0000000000000001"))
	require.NoError(t, submitOfCustomer(t, s, "0000000000000002"))
	refused := refusal.Of(submitOfCustomer(t, s, "0000000000000003"))
	require.Equal(t, refusal.QueueFull, refused.Kind)
	require.Equal(t, refusal.No, refused.Ran)
	require.Positive(t, refused.RetryAfter)
	require.NoError(t, submitOfCustomer(t, s, "0000000000000002"))
	shown, err := s.ShowCustomers()
	require.NoError(t, err)
	require.Equal(t, uint64(2), shown.GetCustomers()[0].GetOpenJobs())
	require.Equal(t, uint64(1), shown.GetCustomers()[0].GetOverRateJobs())
	require.Equal(t, map[string]uint64{"over-rate": 1}, shown.GetCustomers()[0].GetRefused())
}
