package standin

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// TestStartAfterTheLeaseIsReportedAsRefused sends a start to a worker whose lease
// has ended. The worker must never run it, also under a later lease, and must
// report the refusal until that is acknowledged.
func TestStartAfterTheLeaseIsReportedAsRefused(t *testing.T) {
	w := NewWorker(WorkerConfig{Record: &egretmuxv1.Worker{Id: "w1"}})
	w.epoch = 7
	w.leaseEnd = time.Now().Add(-time.Second)
	start := connect.NewRequest(&egretmuxv1.RunCommandsRequest{Commands: []*egretmuxv1.WorkerCommand{{
		Worker: "w1", WorkerEpoch: 7, Body: &egretmuxv1.WorkerCommand_Start{Start: &egretmuxv1.StartAttempt{Task: 1, Attempt: 2, Spec: &egretmuxv1.TaskSpec{}}},
	}}})
	_, err := w.RunCommands(t.Context(), start)
	require.NoError(t, err)
	w.leaseEnd = time.Now().Add(time.Hour)
	_, err = w.RunCommands(t.Context(), start)
	require.NoError(t, err)
	for range 2 {
		r := w.report()
		require.Empty(t, r.GetRunning())
		require.Len(t, r.GetAttempts(), 1)
		require.Equal(t, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_REFUSED, r.GetAttempts()[0].GetPhase())
	}
	w.acknowledge(w.report())
	require.Empty(t, w.report().GetAttempts())
}
