package dispatch_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

// report stores a heartbeat with another capacity, as the scheduler does, and hands it over.
// It returns whether the core wanted it.
func (h *harness) report(t dispatch.Target, cores int64, sequence uint64) bool {
	h.t.Helper()
	life := proto.CloneOf(h.core.Life(t.Worker))
	life.CpuMillis = cores * 1000
	if !h.core.CapacityChanged(life, sequence) {
		return false
	}
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_RecordLife{RecordLife: &egretmuxv1.RecordLife{Life: life, Sequence: sequence}}})
	h.core.WorkerResized(life, sequence)
	return true
}

// Guards against runs beyond the capacity of a worker that has shrunk since it joined
// (LIMIT): its later heartbeats were not looked at.
func TestWorkerThatShrinksGetsNoRunsBeyondItsCapacity(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	h.submit(id(1), tasks(2, 1))
	h.plan()
	first := h.acceptStarts()
	require.Len(t, first, 2)
	require.True(t, h.report(a, 1, 2))
	h.submit(id(2), tasks(4, 1))
	h.plan()
	require.Empty(t, h.starts)
	require.Empty(t, h.stops, "runs beyond the capacity go on")

	h.handleListing(a, nil, []dispatch.ListedEnd{h.listedEnd(first[0], done), h.listedEnd(first[1], done)})
	h.storeEnds()
	h.plan()
	require.Len(t, h.acceptStarts(), 1)
	require.True(t, h.report(a, 3, 3))
	h.plan()
	require.Len(t, h.acceptStarts(), 2)
}

// Guards against heartbeats that overtake each other: the capacity of an older one is not
// taken over.
func TestOlderHeartbeatDoesNotResizeAWorker(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	require.True(t, h.report(a, 1, 5))
	require.False(t, h.report(a, 4, 4))
	h.submit(id(1), tasks(2, 1))
	h.plan()
	require.Len(t, h.starts, 1)
}

// Guards against a new leader that starts from the capacity with which a worker joined.
func TestNextLeaderKnowsTheCapacityOfAWorkerThatShrank(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	require.True(t, h.report(a, 1, 5))
	h.beginTenure()
	h.handleListing(a, nil, nil)
	require.False(t, h.report(a, 4, 4), "an older heartbeat")
	h.submit(id(1), tasks(2, 1))
	h.plan()
	require.Len(t, h.starts, 1)
}

// Guards against a stored capacity at the extremes, with which the free room of a worker or of a
// pool overflows.
func TestStoredCapacityAtTheExtremesIsBounded(t *testing.T) {
	for name, cpu := range map[string]int64{"largest": math.MaxInt64, "least": math.MinInt64} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			for n := range 3 {
				l := life(fmt.Sprintf("large-%d", n), 1)
				l.CpuMillis, l.MemoryMib, l.Accelerators = cpu, cpu, cpu
				h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_RecordLife{RecordLife: &egretmuxv1.RecordLife{Life: l}}})
			}
			h.beginTenure()
			a := h.addWorker("a", 4)
			gang := tasks(3, 1)
			gang.Gang = true
			h.submit(id(1), gang)
			h.submit(id(2), tasks(1, 1))
			h.plan()
			require.Len(t, h.starts, 4, "on the worker that answers")
			for _, s := range h.starts {
				require.Equal(t, a, s.Target)
			}
		})
	}
}
