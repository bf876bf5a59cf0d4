package leader_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// TestUnconfirmedStartIsStoppedAndRestarted has a worker that reports but never
// confirms a start: the attempt is stopped, and a new one starts once the worker
// has reported that the first never ran.
func TestUnconfirmedStartIsStoppedAndRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, 1)
		c.worker = &fakeWorker{}
		time.Sleep(2 * time.Second)
		l := c.voters[0].leader
		sequence := uint64(0)
		send := func(r *egretmuxv1.WorkerReport) *egretmuxv1.WorkerReply {
			sequence++
			resp, err := l.Report(ctx, &egretmuxv1.ReportRequest{
				Instance: &egretmuxv1.Instance{Id: "probe"}, Incarnation: 1, Sequence: sequence, Full: true, Workers: []*egretmuxv1.WorkerReport{r},
			})
			require.NoError(t, err)
			return resp.GetWorkers()[0]
		}
		_, err := l.ApplyContract(ctx, &egretmuxv1.ApplyContract{Customer: "dixie", ChangeId: "1", Text: contractText(1)})
		require.NoError(t, err)
		room := &egretmuxv1.Resources{CpuMillis: 1000, MemoryMib: 1024}
		epoch := send(&egretmuxv1.WorkerReport{Worker: "w9", Register: &egretmuxv1.Worker{Id: "w9", Address: "w9", Capacity: room}, Full: true}).GetEpoch()
		submitted, _, err := l.SubmitTask(ctx, "t", &egretmuxv1.TaskSpec{Customer: "dixie", Name: "t", Kind: egretmuxv1.TaskKind_TASK_KIND_BATCH, Resources: room})
		require.NoError(t, err)
		attempt := func() *egretmuxv1.Attempt {
			all := c.committed.Task(submitted.GetId()).GetAttempts()
			return all[len(all)-1]
		}
		for range 9 {
			time.Sleep(time.Second)
			send(&egretmuxv1.WorkerReport{Worker: "w9", Epoch: epoch})
		}
		first := attempt()
		require.Equal(t, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STARTING, first.GetPhase())
		for range 3 {
			time.Sleep(time.Second)
			send(&egretmuxv1.WorkerReport{Worker: "w9", Epoch: epoch})
		}
		require.Equal(t, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING, attempt().GetPhase())
		send(&egretmuxv1.WorkerReport{Worker: "w9", Epoch: epoch, Attempts: []*egretmuxv1.AttemptReport{
			{Task: submitted.GetId(), Attempt: first.GetId(), Phase: egretmuxv1.AttemptPhase_ATTEMPT_PHASE_REFUSED},
		}})
		time.Sleep(time.Second)
		require.Greater(t, attempt().GetId(), first.GetId())
		cancel()
		time.Sleep(time.Minute)
	})
}
