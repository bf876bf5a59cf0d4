package jobcell

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/scheduler"
)

func TestLongCallsForAdviceLeaveInstancesToShortOnes(t *testing.T) {
	c, err := New(Config{Address: "self", Logger: zerolog.Nop(), Scheduler: scheduler.Config{Workers: newFakeWorkers()}})
	require.NoError(t, err)
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		c.members.heard(&egretmuxv1.Member{Address: name}, time.Now())
	}
	long := make(map[string]bool)
	for range 40 {
		address, _ := c.advisers.take(dispatch.LongAdviceMs)
		long[address] = true
	}
	require.NotContains(t, long, "self")
	require.Len(t, long, 6)
	address, _ := c.advisers.take(1)
	require.False(t, long[address], "a short call waits behind long ones")
}

// stuckAdviser does not answer.
type stuckAdviser struct{}

func (stuckAdviser) Advise(ctx context.Context, _ string, _ []string) (map[string]string, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// goodAdviser allows every worker.
type goodAdviser struct{}

func (goodAdviser) Advise(_ context.Context, _ string, workers []string) (map[string]string, error) {
	out := make(map[string]string)
	for _, w := range workers {
		out[w] = "ticket"
	}
	return out, nil
}

func TestCallForAdviceThatHangsHereIsMadeThroughAnotherInstance(t *testing.T) {
	other, err := New(Config{Address: "other", Logger: zerolog.Nop(), Adviser: goodAdviser{}, Scheduler: scheduler.Config{Workers: newFakeWorkers()}})
	require.NoError(t, err)
	c, err := New(Config{Address: "self", Logger: zerolog.Nop(), Adviser: stuckAdviser{}, Scheduler: scheduler.Config{Workers: newFakeWorkers()}})
	require.NoError(t, err)
	c.members.heard(&egretmuxv1.Member{Address: serveCell(t, other).Listener.Addr().String()}, time.Now())
	ask := dispatch.Ask{Step: dispatch.StepKey{Job: "j"}, Workers: []string{"w"}, ExpectedMs: 10}
	for range 3 {
		tickets, err := c.advisers.Advise(withTime(t, 2*time.Second), ask)
		require.NoError(t, err)
		require.Equal(t, map[string]string{"w": "ticket"}, tickets)
	}
	require.Equal(t, 1, c.advisers.Instances(), "this instance is left alone for a while")
}
