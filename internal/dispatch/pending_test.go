package dispatch_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/dispatch"
)

// Guards against a running job that is shown as queued, and counted as pending, after a change of the leader between two of
// its steps.
func TestJobWhoseFirstStepIsDoneHasStartedForTheNextLeader(t *testing.T) {
	h := newHarness(t)
	w := h.addWorker("a", 4)
	second := tasks(1, 100)
	second.After = []uint32{0}
	h.submit(id(1), tasks(1, 1), second)
	h.submit(id(2), tasks(1, 100))
	h.plan()
	started := h.acceptStarts()
	h.handleListing(w, nil, []dispatch.ListedEnd{h.listedEnd(started[0], done)})
	h.storeEnds()
	for range 2 {
		require.True(t, h.core.JobStarted(id(1)))
		require.False(t, h.core.JobStarted(id(2)))
		require.Equal(t, 1, h.core.PendingJobs("h", "/q/"))
		h.beginTenure()
	}
	h.core.JobEnded(id(1), "cancelled")
	h.core.JobEnded(id(2), "cancelled")
	require.Zero(t, h.core.PendingJobs("h", "/q/"))
}
