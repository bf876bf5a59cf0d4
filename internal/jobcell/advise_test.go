package jobcell

import (
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
		long[c.advisers.take(dispatch.LongAdvice)] = true
	}
	require.NotContains(t, long, "self")
	require.Len(t, long, 6)
	require.False(t, long[c.advisers.take(1)], "a short call waits behind long ones")
}
