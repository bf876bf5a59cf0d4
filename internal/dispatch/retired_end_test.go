package dispatch_test

import (
	"testing"
)

// Guards against TWICE: the run of a worker that was retired as silent was given up without being
// recorded as superseded, and the next leader acknowledged its end.
func TestEndOfARunThatWasLostWithASilentWorkerIsNotAcknowledged(t *testing.T) {
	h := newHarness(t)
	a, first := retireWithRun(h)
	h.core.WorkerGone(a, "silent", h.now)
	h.addWorker("b", 4)
	h.plan()
	second := h.acceptStarts()
	if len(second) == 0 {
		return // the run is not given up
	}
	endSecond(h, second[0])
	h.addWorker("a", 4)
	requireUnacknowledged(h, a, h.listedEnd(first, done))
}
