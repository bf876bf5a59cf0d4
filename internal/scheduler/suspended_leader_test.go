package scheduler_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/scheduler"
)

const suspension = 4 * time.Second

// suspendedClock is a clock that stands still but for suspensions.
type suspendedClock struct{ now atomic.Int64 }

func (c *suspendedClock) read() time.Duration     { return time.Duration(c.now.Load()) }
func (c *suspendedClock) suspend(d time.Duration) { c.now.Add(int64(d)) }

// Guards against an instance that answers as the leader by a confirmation from before its
// machine was suspended.
func TestSuspendedLeaderDoesNotAnswerByItsOldConfirmation(t *testing.T) {
	c := &suspendedClock{}
	s := startLeader(t, &fakeWorkers{}, func(cfg *scheduler.Config) { cfg.Clock = c.read })
	release := stallReplica(t, s)
	require.True(t, s.Leads())
	c.suspend(suspension)
	require.False(t, s.Leads())
	_, err := s.ShowCustomers()
	require.Error(t, err)
	address, _ := s.Leader()
	require.Empty(t, address)
	release()
	require.Eventually(t, s.Leads, 10*time.Second, 5*time.Millisecond)
}
