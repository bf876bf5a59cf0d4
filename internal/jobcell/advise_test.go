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
	c, err := New(Config{Address: "self", Logger: zerolog.Nop(), Scheduler: scheduler.Config{WorkerClient: newFakeWorkers()}})
	require.NoError(t, err)
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		meet(c, &egretmuxv1.Member{Address: name}, time.Now())
	}
	usedByLong := make(map[string]bool)
	for range 40 {
		address, _ := c.advice.acquire(dispatch.LongAdviceMs)
		usedByLong[address] = true
	}
	require.NotContains(t, usedByLong, "self")
	require.Len(t, usedByLong, 6)
	address, _ := c.advice.acquire(1)
	require.False(t, usedByLong[address], "a short call must not queue behind long ones")
}

// hangingAdviser never answers.
type hangingAdviser struct{}

func (hangingAdviser) Advise(ctx context.Context, _ string, _ []string) (map[string]string, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// allowingAdviser issues a ticket for every worker.
type allowingAdviser struct{}

func (allowingAdviser) Advise(_ context.Context, _ string, workers []string) (map[string]string, error) {
	out := make(map[string]string)
	for _, w := range workers {
		out[w] = "ticket"
	}
	return out, nil
}

func TestCallForAdviceThatHangsHereIsMadeThroughAnotherInstance(t *testing.T) {
	other, err := New(Config{Address: "other", Logger: zerolog.Nop(), Adviser: allowingAdviser{}, Scheduler: scheduler.Config{WorkerClient: newFakeWorkers()}})
	require.NoError(t, err)
	c, err := New(Config{Address: "self", Logger: zerolog.Nop(), Adviser: hangingAdviser{}, Scheduler: scheduler.Config{WorkerClient: newFakeWorkers()}})
	require.NoError(t, err)
	meet(c, &egretmuxv1.Member{Address: serveCell(t, other).Listener.Addr().String()}, time.Now())
	ask := dispatch.Ask{Step: dispatch.StepKey{Job: "j"}, Workers: []string{"w"}, ExpectedMs: 10}
	for range 3 {
		tickets, err := c.advice.Advise(contextWithTimeout(t, 2*time.Second), ask)
		require.NoError(t, err)
		require.Equal(t, map[string]string{"w": "ticket"}, tickets)
	}
	require.Equal(t, 1, c.advice.Instances(), "this instance gets no calls during the backoff")
}
