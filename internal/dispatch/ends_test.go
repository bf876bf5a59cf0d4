package dispatch_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/dispatch"
)

// Guards against ends of runs that are acknowledged and never stored: batches of ends are
// stored at the same time, and a later one acknowledged the ends of an earlier one that was
// not stored yet, or not at all.
func TestEndsAreAcknowledgedOnlyOnceAllEarlierOnesAreStored(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	h.submit(id(1), tasks(3, 1))
	h.plan()
	runs := h.acceptStarts()
	require.Len(t, runs, 3)
	var ends []dispatch.ListedEnd
	for i, r := range runs {
		ends = append(ends, h.listedEnd(r, done))
		var running []dispatch.ListedRun
		for _, left := range runs[i+1:] {
			running = append(running, listedRun(left))
		}
		h.handleListing(a, running, ends)
	}
	require.Len(t, h.endBatches, 3)
	first, second, third := h.endBatches[0], h.endBatches[1], h.endBatches[2]
	acknowledgedAfter := func(stored dispatch.EndBatch) uint64 {
		h.endBatches = []dispatch.EndBatch{stored}
		h.storeEnds()
		_, cursor := h.core.GrantLease(a)
		return cursor
	}
	require.Zero(t, acknowledgedAfter(second), "the first is not stored")
	require.True(t, h.core.StoringEnds(a))
	require.Equal(t, uint64(2), acknowledgedAfter(first))
	require.Equal(t, uint64(3), acknowledgedAfter(third))
	require.False(t, h.core.StoringEnds(a))
}
