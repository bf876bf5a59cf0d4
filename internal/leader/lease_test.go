package leader_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/lease"
	"github.com/egretmux/egretmux/internal/settings"
)

// TestReportDuringLossDoesNotRenewLease sends a worker's report while the loss of
// the worker is being committed: it must not renew the lease.
func TestReportDuringLossDoesNotRenewLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, 1)
		c.worker = &fakeWorker{}
		time.Sleep(2 * time.Second)
		l := c.voters[0].leader
		send := func(r *egretmuxv1.WorkerReport, sequence uint64) *egretmuxv1.WorkerReply {
			resp, err := l.Report(ctx, &egretmuxv1.ReportRequest{
				Instance: &egretmuxv1.Instance{Id: "probe"}, Incarnation: 1, Sequence: sequence, Full: true, Workers: []*egretmuxv1.WorkerReport{r},
			})
			require.NoError(t, err)
			return resp.GetWorkers()[0]
		}
		epoch := send(&egretmuxv1.WorkerReport{Worker: "w1", Register: &egretmuxv1.Worker{Id: "w1"}, Full: true}, 1).GetEpoch()
		require.NotZero(t, epoch)
		c.mu.Lock()
		c.voters[0].delayBeforePhaseChange = time.Second
		c.mu.Unlock()
		time.Sleep(6800 * time.Millisecond) // the loss is decided after 6.4 s and committed 1 s later
		reply := send(&egretmuxv1.WorkerReport{Worker: "w1", Epoch: epoch}, 2)
		require.True(t, reply.GetRegister())
		require.Zero(t, reply.GetEpoch())
		time.Sleep(time.Second)
		require.Equal(t, egretmuxv1.WorkerPhase_WORKER_PHASE_LOST, c.committed.Worker("w1").GetPhase())
		again := send(&egretmuxv1.WorkerReport{Worker: "w1", Register: &egretmuxv1.Worker{Id: "w1"}, Full: true}, 3)
		require.Greater(t, again.GetEpoch(), epoch)
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestDefaultSettingsMeetEnforcementDelayLimit checks that the default settings
// keep lease.MaxEnforcementDelay within EnforcementDelayLimit. That bound allows
// for one isolated instance, the leader included.
func TestDefaultSettingsMeetEnforcementDelayLimit(t *testing.T) {
	key := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(key, []byte("0123456789abcdef"), 0o600))
	s, err := settings.Parse("test", `[instance]
id = a1
datacentre = se-atl
[listen]
callers = 127.0.0.1:22001
control = 127.0.0.1:22002
cell = 127.0.0.1:22003
[cell]
voters = a2=127.0.0.1:22005
key_file = `+key+`
[access]
accept_unauthenticated = accept everything from everyone
`)
	require.NoError(t, err)
	require.LessOrEqual(t, lease.MaxEnforcementDelay(s.EntryLease, time.Duration(s.ElectionTicks)*s.Tick), lease.EnforcementDelayLimit)
}
