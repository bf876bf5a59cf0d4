package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/dispatch"
)

// Guards against TWICE: the worker of a run was replaced while the end of that run, as done, was being stored. Its
// task was taken for lost and started again.
func TestTaskWhoseEndIsBeingStoredIsNotStartedAgainWhenItsWorkerIsGone(t *testing.T) {
	for name, members := range map[string]uint32{"task": 1, "gang": 3} {
		for _, reason := range []string{"replaced", "another-life"} {
			t.Run(name+" "+reason, func(t *testing.T) {
				h := newHarness(t)
				a := h.addWorker("a", 4)
				next := tasks(1, 1)
				next.After = []uint32{0}
				h.submit(id(1), gang(members, 1), next)
				h.plan()
				var ends []dispatch.ListedEnd
				for _, s := range h.acceptStarts() {
					ends = append(ends, h.listedEnd(s, done))
				}
				h.addWorker("b", 4)
				h.handleListing(a, nil, ends) // the ends are being stored from here on
				h.core.WorkerGone(a, reason, h.now)
				h.advance(100 * time.Millisecond)
				h.plan()
				require.Empty(t, h.starts)
				h.storeEnds()
				h.plan()
				started := h.acceptStarts()
				require.Len(t, started, 1, "the next step has begun")
				require.Equal(t, uint32(1), started[0].Task.Step)
			})
		}
	}
}
