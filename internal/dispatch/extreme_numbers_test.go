package dispatch_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

// Guards against tasks that run twice: after a run with the highest number, the next one was run 0, which
// begins the numbers of the task anew.
func TestRunThatNoLeaderStartedDoesNotWrapTheNumbersOfItsTask(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	h.addWorker("b", 4)
	h.submit(id(1), tasks(1, 1))
	task := dispatch.TaskKey{StepKey: dispatch.StepKey{Job: id(1)}}
	h.handleListing(a, []dispatch.ListedRun{{Task: task, Run: math.MaxUint64}}, nil)
	h.advance(time.Second)
	h.handleListing(a, nil, nil) // it is gone
	h.plan()
	require.NotEmpty(t, h.starts)
	require.NotZero(t, h.starts[0].Run)
}

// Guards against ends that are never taken note of: an end with a number far beyond those before
// acknowledged all that the worker would list later.
func TestEndWithANumberFarBeyondDoesNotHideLaterEnds(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	h.submit(id(1), tasks(1, 1))
	h.plan()
	accepted := h.acceptStarts()
	foreign := dispatch.ListedEnd{Number: math.MaxUint64, Task: dispatch.TaskKey{StepKey: dispatch.StepKey{Job: id(9)}}, Run: 1, Outcome: done, TaskParsed: true}
	h.handleListing(a, []dispatch.ListedRun{listedRun(accepted[0])}, []dispatch.ListedEnd{foreign})
	h.storeEnds()
	h.advance(time.Second)
	h.handleListing(a, nil, []dispatch.ListedEnd{h.listedEnd(accepted[0], done)})
	h.storeEnds()
	h.plan()
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_COMPLETED, h.phase(id(1)))
}
