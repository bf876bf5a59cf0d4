package dispatch_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/job"
)

// retireWhileDraining cuts off a draining worker with a run until its leader has retired it as silent. It returns the run,
// and the latest end of a lease on the worker's clock.
func retireWhileDraining(h *harness, other bool) (first dispatch.StartOrder, leaseUntil int64) {
	h.t.Helper()
	const silent, step = 20 * time.Second, 100 * time.Millisecond
	a := h.addWorker("a", 4)
	h.submit(id(1), tasks(1, 1))
	h.plan()
	first = h.acceptStarts()[0]
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{EndLife: &egretmuxv1.EndLife{Worker: a.Worker, BornUnixMs: a.Born, Draining: true}}})
	h.core.WorkerDraining(a, time.Minute, h.now)
	h.advance(step)
	until, _ := h.core.GrantLease(a)
	leaseUntil = max(until, first.LeaseUntil)
	h.handleListing(a, []dispatch.ListedRun{listedRun(first)}, nil)
	var b dispatch.Target
	if other {
		b = h.addWorker("b", 4)
	}
	var again []dispatch.StartOrder
	for !h.core.RetireSilent(a, silent, h.now) {
		until, _ := h.core.GrantLease(a)
		leaseUntil = max(until, leaseUntil) // the poll may have arrived
		h.core.PollUnanswered(a)
		h.advance(step)
		if other {
			h.core.GrantLease(b)
			var listed []dispatch.ListedRun
			for _, s := range again {
				listed = append(listed, dispatch.ListedRun{Task: s.Task, Run: s.Run, ProgressPercent: h.now.Seconds()})
			}
			h.handleListing(b, listed, nil)
		}
		h.plan()
		for _, s := range h.acceptStarts() {
			require.Greater(h.t, 1000+h.now.Milliseconds(), leaseUntil, "started again before the lease on a has expired")
			again = append(again, s)
		}
		require.Less(h.t, h.now, 2*silent)
	}
	require.Equal(h.t, other, len(again) == 1)
	require.Greater(h.t, 1000+h.now.Milliseconds(), leaseUntil, "retired before its lease has expired")
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{EndLife: &egretmuxv1.EndLife{Worker: a.Worker, BornUnixMs: a.Born}}})
	h.handleListing(a, []dispatch.ListedRun{listedRun(first)}, []dispatch.ListedEnd{{Number: 1, Task: first.Task, Run: first.Run, Outcome: done, TaskParsed: true}})
	require.Empty(h.t, h.endBatches, "it answers before the leader knows that the end of its life is stored")
	require.False(h.t, h.core.MayRun(a))
	h.core.WorkerGone(a, dispatch.GoneSilent, h.now)
	return first, leaseUntil
}

// Guards against TWICE: the life of a draining worker that is retired as silent counts as over, so that its superseded runs
// are forgotten, while its process may only be cut off. Whenever the process comes back, no leader may poll it, which
// would acknowledge its ends, and its task may be started elsewhere only after its lease.
func TestDrainingWorkerThatWasRetiredAsSilentIsNeverPolledAgain(t *testing.T) {
	for _, startedAgain := range []bool{false, true} {
		for _, next := range []string{"same leader", "next leader", "leader from a snapshot"} {
			t.Run(fmt.Sprintf("started again %v, %s", startedAgain, next), func(t *testing.T) {
				h := newHarness(t)
				first, _ := retireWhileDraining(h, startedAgain)
				switch next {
				case "next leader":
					h.beginTenure()
				case "leader from a snapshot":
					h.book = restoredBook(t, h.book)
					h.beginTenure()
				}
				require.True(t, h.book.LifeOver(first.Worker, first.Born))
				require.False(t, h.core.Knows(first.Target))
				result := h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_RecordLife{RecordLife: &egretmuxv1.RecordLife{Life: life("a", 4), Sequence: 99}}})
				require.True(t, result.Outdated, "its heartbeat is refused")
				for _, w := range h.book.Workers() {
					require.NotEqual(t, first.Worker, w.Life.GetWorker(), "a later leader polls it")
				}
				h.handleListing(first.Target, nil, []dispatch.ListedEnd{h.listedEnd(first, done)}) // of a poll that was on its way
				until, cursor := h.core.GrantLease(first.Target)
				require.Zero(t, until)
				require.Zero(t, cursor)
				require.Empty(t, h.endBatches)
			})
		}
	}
}

// restoredBook returns a book from the snapshot of another one.
func restoredBook(t *testing.T, b *job.Book) *job.Book {
	t.Helper()
	var snapshot bytes.Buffer
	require.NoError(t, b.Capture()(&snapshot))
	restored := job.NewBook()
	require.NoError(t, restored.Restore(snapshot.Bytes()))
	return restored
}
