package dispatch_test

import (
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
