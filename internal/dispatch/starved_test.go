package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/dispatch"
)

// maxIdleTime is the time for which nothing of a job may run although there is room.
const maxIdleTime = 3 * time.Second

// idleTime plays time until a job is started, and returns how long that took.
func (h *harness) idleTime(job string) time.Duration {
	h.t.Helper()
	from := h.now
	for h.now-from < 4*maxIdleTime {
		h.plan()
		for _, s := range h.acceptAll() {
			if s.Task.Job == job {
				return h.now - from
			}
		}
		h.advance(100 * time.Millisecond)
		h.handlePresent()
	}
	return h.now - from
}

// Guards against a job that waits for as long as a gang may hold room for tickets.
func TestJobDoesNotWaitForRoomThatIsHeldForTickets(t *testing.T) {
	gangs, plain := adviceQueue(), queue()
	plain.Prefix, plain.Priority = "/plain/", 1
	gangs.Priority = 1
	h := newHarness(t, gangs, plain)
	a := h.addWorker("a", 4)
	gang := tasks(4, 1)
	gang.Gang = true
	h.submit(id(1), gang)
	h.plan()
	answered := h.asks[0]
	h.advance(100 * time.Millisecond)
	h.core.AdviceAnswered(answered, map[string]string{a.Worker: "ticket"}, false, h.now, h.now)
	h.advance(2 * time.Second) // the ticket has expired, and calls for another one get no answer
	h.plan()
	h.submitTo("/plain/", id(2), tasks(1, 1))
	require.Less(t, h.idleTime(id(2)), maxIdleTime)
}

// Guards against a job that waits for as long as the only worker that suits it rests.
func TestJobDoesNotWaitForTheRestOfTheOnlyWorkerThatSuits(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 16)
	h.addWorker("b", 4)
	for n := range 3 {
		h.submit(id(1+n), tasks(1, 5)) // too large for b
	}
	h.plan()
	runs := h.acceptStarts()
	require.Len(t, runs, 3)
	h.handleListing(a, nil, []dispatch.ListedEnd{h.listedEnd(runs[0], failed), h.listedEnd(runs[1], failed), h.listedEnd(runs[2], failed)})
	h.storeEnds()
	for n := range 3 {
		h.core.JobEnded(id(1+n), "cancelled")
	}
	h.submit(id(10), tasks(1, 5))
	h.plan()
	require.Empty(t, h.starts, "it rests")
	require.Less(t, h.idleTime(id(10)), maxIdleTime)
}

// Guards against a job that waits for as long as room is kept for urgent work that cannot start.
func TestJobDoesNotWaitForRoomThatIsKeptForUrgentWork(t *testing.T) {
	urgent, plain := adviceQueue(), queue()
	plain.Prefix, plain.Priority = "/plain/", 1
	urgent.Priority = 0
	h := newHarness(t, urgent, plain)
	h.addWorker("a", 16)
	h.addWorker("b", 4)
	lasting := tasks(1, 5)
	lasting.LongRunning = true
	h.submitTo("/plain/", id(1), lasting)
	h.plan()
	h.acceptAll()
	h.submit(id(2), tasks(1, 8)) // calls for advice about it get no answer
	h.advance(300 * time.Millisecond)
	h.handlePresent()
	h.submitTo("/plain/", id(3), tasks(1, 5))
	h.plan()
	require.Empty(t, h.starts, "headroom is kept")
	require.Less(t, h.idleTime(id(3)), maxIdleTime)
}
