package dispatch_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Guards against jobs that use up their attempts on a few broken workers, as these are the only ones with
// room: that everything fails there is no proof that it fails everywhere.
func TestWorkersOnWhichAllJobsFailRestWhileTheOthersAreFull(t *testing.T) {
	h := newHarness(t)
	h.addWorker("sound0", 16)
	h.addWorker("sound1", 16)
	h.submit(id(1), tasks(2, 16))
	h.plan()
	require.Len(t, h.acceptStarts(), 2)
	h.addWorker("broken0", 16)
	h.addWorker("broken1", 16)
	for n := range 5 {
		h.submit(id(2+n), tasks(8, 4))
		h.plan()
		h.failAll()
	}
	for n := range 5 {
		require.NotEqual(t, egretmuxv1.JobPhase_JOB_PHASE_FAILED, h.phase(id(2+n)), "job %d", n)
	}
}

// Guards against idle workers that get nothing for seconds after many small jobs that can never be done:
// each fails on a few workers only, together they fail on all.
func TestWorkersAreNotRestedForManyJobsThatFail(t *testing.T) {
	h := newHarness(t)
	for n := range 4 {
		h.addWorker(fmt.Sprintf("w%d", n), 16)
	}
	for n := range 100 {
		h.submit(id(100+n), tasks(2, 1))
	}
	h.plan()
	h.failAll()
	h.submit(id(1), tasks(16, 1))
	h.plan()
	require.Len(t, h.acceptStarts(), 16)
}
