package job_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/job"
)

func applyAt(t *testing.T, b *job.Book, index uint64, cmd *egretmuxv1.JobCommand) job.Result {
	t.Helper()
	data, err := proto.Marshal(cmd)
	require.NoError(t, err)
	result, ok := b.Apply(index, data).(job.Result)
	require.True(t, ok)
	return result
}

func submitTo(prefix string) *egretmuxv1.JobCommand {
	cmd := submit(&egretmuxv1.JobStep{Count: 1})
	cmd.GetSubmit().Job.Host, cmd.GetSubmit().Job.Prefix = "h", prefix
	return cmd
}

func cancelAt(prefix, id string) *egretmuxv1.JobCommand {
	return &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Cancel{Cancel: &egretmuxv1.CancelJob{Job: id, Host: "h", Prefix: prefix}}}
}

// Guards against a job that runs although its cancellation was acknowledged: its submit was still on its way.
func TestSubmitOfAWithdrawnJobIsNotAccepted(t *testing.T) {
	b := job.NewBook()
	require.Equal(t, job.Result{WithdrawnAt: 7}, applyAt(t, b, 7, cancelAt("/q/", jobID)))
	b = restored(t, b)
	require.Equal(t, job.Result{Withdrawn: true}, applyAt(t, b, 8, submitTo("/q/")))
	require.Equal(t, job.Result{}, applyAt(t, b, 9, submitTo("/other/")), "another queue's job")
}

// Guards against a job that is forgotten as withdrawn although it was cancelled again meanwhile.
func TestJobThatIsWithdrawnAgainIsNotForgottenWithTheFirstTime(t *testing.T) {
	b := job.NewBook()
	applyAt(t, b, 7, cancelAt("/q/", jobID))
	first := b.Withdrawn()
	applyAt(t, b, 8, cancelAt("/q/", jobID))
	forget := func(w []*egretmuxv1.WithdrawnJob) {
		applyAt(t, b, 9, &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_ForgetJobs{ForgetJobs: &egretmuxv1.ForgetJobs{Withdrawn: w}}})
	}
	forget(first)
	require.True(t, applyAt(t, b, 10, submitTo("/q/")).Withdrawn)
	forget(b.Withdrawn())
	require.Equal(t, job.Result{}, applyAt(t, b, 11, submitTo("/q/")))
}

// Guards against cancellations that are acknowledged and not kept, and against memory that callers fill with them.
func TestCancellationBeyondTheLimitOfWithdrawnJobsIsNotTaken(t *testing.T) {
	b := job.NewBook()
	for n := range job.MaxWithdrawn {
		require.False(t, applyAt(t, b, uint64(n+1), cancelAt("/q/", fmt.Sprintf("%016x", n+1000))).Full)
	}
	require.True(t, applyAt(t, b, 1<<20, cancelAt("/q/", jobID)).Full)
	require.False(t, applyAt(t, b, 1<<20, cancelAt("/q/", fmt.Sprintf("%016x", 1000))).Full, "withdrawn already")
	require.False(t, applyAt(t, b, 1<<20, submitTo("/q/")).Withdrawn)
	require.True(t, applyAt(t, b, 1<<20, cancelAt("/q/", jobID)).Known, "jobs that are known take no room")
}
