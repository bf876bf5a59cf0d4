package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newMixedHarness returns a harness with a queue for gangs, "/q/", and one for tasks that
// can wait, "/later/", neither of which is urgent, and workers of 4 cores.
func newMixedHarness(t *testing.T, workers ...string) *harness {
	t.Helper()
	gangs, later := queue(), queue()
	gangs.Priority = 1
	later.Name, later.Prefix, later.Priority, later.SlackFactor = "later", "/later/", 2, 20
	h := newHarness(t, gangs, later)
	for _, w := range workers {
		h.addWorker(w, 4)
	}
	return h
}

// Load: the workers are full, their tasks end one after the other, more gangs wait than
// have reservations, and single tasks that can wait arrive all the time. They must not
// take each core as it comes free while a gang needs one on each worker.
func TestTasksThatCanWaitLeaveRoomForGangs(t *testing.T) {
	h := newMixedHarness(t, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n")
	h.submitTo("/later/", id(1), tasks(56, 1))
	h.plan()
	occupying := h.acceptAll()
	require.Len(t, occupying, 56)
	for n := range 5 {
		gang := tasks(14, 1)
		gang.Gang = true
		h.submit(id(10+n), gang)
	}
	ended := make(map[string]bool)
	for _, s := range occupying {
		if ended[s.Worker] {
			continue
		}
		ended[s.Worker] = true
		h.submitTo("/later/", id(100+len(ended)), tasks(1, 1))
		require.Empty(t, h.starts, "a core went to a task that can wait")
		h.endOne(s)
	}
	require.Len(t, h.starts, 14)
	for _, s := range h.starts {
		require.Equal(t, id(10), s.Task.Job)
	}
}

// Load: more work than room. Small gangs that will miss their objective anyway fit into
// each gap. They must leave it to a large gang that can still meet its own, for a part of
// the time in which they are still worth something.
func TestLateGangsLeaveRoomForAGangThatIsOnTime(t *testing.T) {
	h := newMixedHarness(t, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n")
	h.submitTo("/later/", id(1), tasks(56, 1))
	h.plan()
	occupying := h.acceptAll()
	require.Len(t, occupying, 56)
	for n := range 3 {
		small := tasks(2, 1)
		small.Gang, small.EstimateMs = true, 100 // its latest start is after 0.6 s
		h.submit(id(10+n), small)
	}
	h.advance(time.Second)
	large := tasks(20, 1)
	large.Gang = true
	h.submit(id(2), large)
	started := make(map[string]int)
	endRun := func(n int) { // on one worker after the other
		h.endOne(occupying[n%14*4+n/14])
		for _, start := range h.acceptAll() {
			started[start.Task.Job]++
		}
	}
	for n := range 20 {
		require.Empty(t, started)
		endRun(n)
	}
	require.Equal(t, map[string]int{id(2): 20}, started)
	h.submit(id(3), large)
	for n := range 12 {
		endRun(20 + n)
	}
	require.Len(t, started, 1, "the next gang that is on time waits")
	h.advance(400 * time.Millisecond) // 1.4 s of 2 s, the objective being 0.7 s
	endRun(32)
	require.Positive(t, started[id(10)], "a late gang that has waited is not held back")
}

// Load: a gang waits for whole workers. A task that can wait is held back for a part of
// its slack only.
func TestTaskThatHasWaitedLongIsNotHeldBack(t *testing.T) {
	h := newMixedHarness(t, "a", "b", "c", "d")
	h.submitTo("/later/", id(1), tasks(16, 1))
	h.plan()
	occupying := h.acceptAll()
	gang := tasks(2, 4)
	gang.Gang = true
	h.submit(id(2), gang) // its latest start is after 1.5 s
	waiting := tasks(1, 1)
	waiting.EstimateMs = 100 // its latest start is after 2.4 s
	h.submitTo("/later/", id(3), waiting)
	h.endOne(occupying[0])
	require.Empty(t, h.starts)
	h.plan()
	require.Equal(t, 1, countNotices(h, "step_deferred", id(3)), "the decision is logged once")
	h.advance(1300 * time.Millisecond)
	h.plan()
	require.Len(t, h.starts, 1)
	require.Equal(t, id(3), h.starts[0].Task.Job)
}

// Load: a gang waits for whole workers when a task fails that is to run all the time, long
// after its job was accepted.
func TestLongRunningTaskIsRestartedBesideWaitingGangs(t *testing.T) {
	h := newMixedHarness(t, "a", "b", "c", "d")
	service := tasks(1, 1)
	service.LongRunning = true
	h.submitTo("/later/", id(1), service)
	h.plan()
	lasting := h.acceptAll()
	h.submitTo("/later/", id(2), tasks(15, 1))
	h.plan()
	require.Len(t, h.acceptAll(), 15)
	for range 70 { // seconds; a job with this objective is worth nothing after 61.5 s
		h.advance(time.Second)
		h.handlePresent()
	}
	gang := tasks(2, 4)
	gang.Gang = true
	h.submit(id(3), gang)
	h.plan()
	require.Empty(t, h.starts)
	h.endOne(lasting[0])
	require.Len(t, h.starts, 1)
	require.Equal(t, id(1), h.starts[0].Task.Job)
}

// Guards against a task that is to run all the time and waits behind a gang that has reserved
// every worker: it had failed long after its job was accepted, so it came after the gang.
func TestLongRunningTaskIsRestartedInReservedRoom(t *testing.T) {
	h := newMixedHarness(t, "a", "b", "c", "d", "e", "f")
	service := tasks(1, 2)
	service.LongRunning = true
	h.submitTo("/later/", id(1), service)
	h.plan()
	lasting := h.acceptAll()
	h.submitTo("/later/", id(2), tasks(2, 3), tasks(2, 4)) // on four of the other workers
	h.plan()
	require.Len(t, h.acceptAll(), 4)
	h.pass(70 * time.Second)
	gang := tasks(3, 3)
	gang.Gang = true
	h.submit(id(3), gang)
	h.pass(5 * time.Second) // it is late now
	require.Empty(t, h.starts)
	h.endOne(lasting[0])
	require.Len(t, h.starts, 1)
	require.Equal(t, id(1), h.starts[0].Task.Job)
}

// Load: gangs wait for tickets, not for room, and most of the pool is idle.
func TestTasksThatCanWaitUseAnIdlePoolBesideWaitingGangs(t *testing.T) {
	gangs, later := adviceQueue(), queue()
	later.Name, later.Prefix, later.Priority, later.SlackFactor = "later", "/later/", 2, 20
	h := newHarness(t, gangs, later)
	for _, w := range []string{"a", "b", "c", "d"} {
		h.addWorker(w, 4)
	}
	for n := range 4 {
		gang := tasks(4, 1)
		gang.Gang = true
		h.submit(id(n), gang)
	}
	h.submitTo("/later/", id(10), tasks(8, 1))
	h.plan()
	require.NotEmpty(t, h.asks)
	require.NotEmpty(t, h.starts, "half of the pool is free for tasks that can wait")
}

// A plan considers a part of the steps only. A gang that holds resources while its tickets
// are requested must be among them when the tickets come, whatever has come before it.
func TestGangThatHoldsResourcesIsConsideredByEveryPlan(t *testing.T) {
	plain := queue()
	plain.Prefix, plain.Priority = "/plain/", 1
	h := newHarness(t, adviceQueue(), plain)
	h.addWorker("a", 4)
	gang := tasks(2, 1)
	gang.Gang = true
	h.submit(id(1), gang)
	h.plan()
	h.advance(600 * time.Millisecond)
	asks := h.asks
	h.asks = nil
	for _, a := range asks { // may run it, with a ticket that has expired
		h.core.AdviceAnswered(a, map[string]string{"a": "ticket"}, false, h.now-2*time.Second, h.now-1500*time.Millisecond)
	}
	h.plan()
	require.NotEmpty(t, h.asks, "the tickets are requested, and the room is held")
	for n := range 600 { // with an earlier latest start, and too large for the room that is left
		large := tasks(1, 3)
		large.EstimateMs = 1
		h.submitTo("/plain/", id(100+n), large)
	}
	h.plan()
	h.advance(300 * time.Millisecond)
	h.answer()
	h.starts = nil
	h.plan()
	require.Len(t, h.starts, 2)
	require.Equal(t, id(1), h.starts[0].Task.Job)
}

func countNotices(h *harness, event, jobID string) int {
	n := 0
	for _, notice := range h.notices {
		if notice.Event == event && notice.Job == jobID {
			n++
		}
	}
	return n
}
