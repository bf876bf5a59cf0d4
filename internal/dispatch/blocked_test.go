package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against logs that don't tell which rule keeps a task waiting beside free room.
func TestStarvedStepIsLoggedWithWhatBlocksIt(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a", 16)
	h.addWorker("b", 4)
	h.submit(id(1), tasks(1, 5))
	h.plan()
	require.Len(t, h.acceptAll(), 1)
	h.core.PollUnanswered(h.present[0].Target)
	h.submit(id(2), tasks(1, 5))
	for range 15 {
		h.plan()
		h.advance(100 * time.Millisecond)
	}
	blocked := h.noticesOf("step_blocked")
	require.Len(t, blocked, 1)
	require.Equal(t, "worker-unusable", blocked[0].Reason)
	require.GreaterOrEqual(t, blocked[0].Age, time.Second)
}
