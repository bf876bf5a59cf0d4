package scheduler_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/job"
)

// Guards against a cancel that is answered as if the job were not known, and leaves it running: it joined an earlier
// cancel, which was applied before the job was stored.
func TestCancelThatJoinsOneFromBeforeTheSubmitCancelsTheJob(t *testing.T) {
	s := startLeaderWith(t, catalogue(1, "one"))
	end, err := s.BeginUnknownCancel(job.JobKey{Host: "h", Prefix: "/q/", ID: strings.TrimPrefix(jobPath, "/q/")})
	require.NoError(t, err)
	require.NoError(t, untilNotShed(func() error { return submitOneTask(t.Context(), s) }))
	var answer *egretmuxv1.JobAnswer
	answered := make(chan error, 1)
	go func() {
		var err error
		answer, err = s.CallJob(t.Context(), keyCall(cancelVerb, jobPath, ""))
		answered <- err
	}()
	time.Sleep(50 * time.Millisecond) // the cancel joins
	end()
	require.NoError(t, <-answered)
	require.True(t, answer.GetFound())
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_CANCELLED, answer.GetPhase())
}
