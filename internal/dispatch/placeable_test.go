package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

// runAll plays the time until the given moment: starts are accepted, and the runs of one-second
// tasks of the given jobs end after a second. It returns when each job was done.
func (h *harness) runAll(until time.Duration, lasting map[string]bool) map[string]time.Duration {
	h.t.Helper()
	startedAt := make(map[dispatch.TaskKey]time.Duration)
	doneAt := make(map[string]time.Duration)
	for h.now < until {
		h.plan()
		for _, s := range h.acceptAll() {
			startedAt[s.Task] = h.now
		}
		h.advance(100 * time.Millisecond)
		ends := make(map[dispatch.Target][]dispatch.ListedEnd)
		running := make(map[dispatch.Target][]dispatch.ListedRun)
		var present []dispatch.StartOrder
		for _, s := range h.present {
			if !lasting[s.Task.Job] && h.now-startedAt[s.Task] >= time.Second {
				ends[s.Target] = append(ends[s.Target], h.listedEnd(s, done))
				continue
			}
			present = append(present, s)
			listed := listedRun(s)
			listed.ProgressPercent = h.now.Seconds()
			running[s.Target] = append(running[s.Target], listed)
		}
		h.present = present
		for _, w := range h.book.Workers() {
			target := targetOf(w.Life)
			h.core.GrantLease(target)
			h.handleListing(target, running[target], ends[target])
		}
		h.storeEnds()
		for _, n := range h.notices {
			if n.Event == "job_ended" {
				doneAt[n.Job] = h.now
			}
		}
		h.notices = nil
	}
	return doneAt
}

// Guards against jobs that never start beside a gang that can never be done: it claimed and
// reserved the room of all workers, plan after plan.
func TestGangThatCanNeverStartKeepsNoRoom(t *testing.T) {
	lastingTask := tasks(1, 1)
	lastingTask.LongRunning = true
	wide := tasks(20, 1)
	large := tasks(4, 4)
	labelled := tasks(8, 1)
	labelled.RequiredLabel = "x"
	spread := tasks(5, 1)
	spread.MaxPerWorker = 1
	for name, c := range map[string]struct {
		gang   *egretmuxv1.JobStep
		beside []*egretmuxv1.JobStep // jobs that run before it
	}{
		"more tasks than room":              {gang: wide},
		"a label that too few workers have": {gang: labelled},
		"fewer tasks a worker than allowed": {gang: spread},
		"whole workers beside lasting runs": {gang: large, beside: []*egretmuxv1.JobStep{lastingTask}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newMixedHarness(t, "a", "b", "c")
			d := life("d", 4)
			d.Labels = append(d.Labels, "x")
			h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_RecordLife{RecordLife: &egretmuxv1.RecordLife{Life: d}}})
			h.core.WorkerJoined(d, h.now)
			h.handleListing(targetOf(d), nil, nil)
			lasting := make(map[string]bool)
			for i, step := range c.beside {
				h.submit(id(1000+i), step)
				lasting[id(1000+i)] = true
			}
			h.plan()
			c.gang.Gang = true
			h.submit(id(1), c.gang)
			const jobs = 10 // of 8 one-second tasks
			for n := range jobs {
				h.submit(id(10+n), tasks(8, 1))
			}
			ended := h.runAll(12*time.Second, lasting)
			for n := range jobs {
				require.Contains(t, ended, id(10+n), "an ordinary job waits for the gang")
			}
			require.NotContains(t, ended, id(1))
		})
	}
}

// A gang that cannot start for now waits until there are workers for it.
func TestGangStartsOnceWorkersJoinThatItNeeds(t *testing.T) {
	h := newMixedHarness(t, "a", "b")
	gang := tasks(12, 1)
	gang.Gang = true
	h.submit(id(1), gang)
	h.plan()
	require.Empty(t, h.starts)
	require.Equal(t, 1, countNotices(h, "step_not_placeable", id(1)))
	h.advance(20 * time.Second)
	h.addWorker("c", 4)
	h.advance(time.Second)
	h.plan()
	require.Len(t, h.starts, 12)
}

// Guards against jobs that never start beside a gang that waits for a run without an end in
// sight: room is kept for it in turns.
func TestGangKeepsRoomInTurns(t *testing.T) {
	h := newMixedHarness(t, "a", "b", "c", "d")
	endless := tasks(1, 1)
	endless.EstimateMs = 1 << 30
	h.submit(id(1), endless)
	h.plan()
	gang := tasks(16, 1)
	gang.Gang = true
	h.submit(id(2), gang)
	for n := range 3 {
		h.submit(id(10+n), tasks(4, 1))
	}
	ended := h.runAll(4*time.Second, map[string]bool{id(1): true})
	for n := range 3 {
		require.Contains(t, ended, id(10+n), "most of the pool is idle")
	}
	require.NotContains(t, ended, id(2))
	ended = h.runAll(8*time.Second, nil) // the endless run ends
	require.Contains(t, ended, id(1))
	require.Contains(t, ended, id(2))
}

// While the pool is busy, a gang gets the room that comes free for longer, as runs have to end
// on many workers.
func TestGangInABusyPoolKeepsTheRoomThatComesFree(t *testing.T) {
	h := newMixedHarness(t, "a", "b", "c", "d")
	for n := range 40 { // each fills the pool for a second; some of it is always in use
		h.submit(id(10+n), tasks(10, 1))
	}
	h.plan()
	gang := tasks(12, 1)
	gang.Gang = true
	h.submit(id(1), gang)
	ended := h.runAll(10*time.Second, nil)
	require.Contains(t, ended, id(1))
}

// Guards against room that is held for ever for a gang whose tickets never come.
func TestHoldForTicketsThatDoNotComeEnds(t *testing.T) {
	gangs, plain := adviceQueue(), queue()
	plain.Prefix, plain.Priority = "/plain/", 1
	gangs.Priority = 1
	h := newHarness(t, gangs, plain)
	a := h.addWorker("a", 4)
	gang := tasks(4, 1)
	gang.Gang = true
	h.submit(id(1), gang)
	h.plan()
	require.Len(t, h.asks, 1)
	answered := h.asks[0]
	h.asks = nil
	h.advance(100 * time.Millisecond)
	h.core.AdviceAnswered(answered, map[string]string{a.Worker: "ticket"}, false, h.now, h.now)
	h.advance(2 * time.Second) // the ticket has expired, and calls for another one get no answer
	h.plan()
	h.submitTo("/plain/", id(2), tasks(1, 1))
	h.plan()
	require.Empty(t, h.starts, "room is held for the gang")
	for range 120 {
		h.advance(100 * time.Millisecond)
		if len(h.present) == 0 {
			h.handleListing(a, nil, nil)
		}
		h.handlePresent()
		h.plan()
		h.acceptAll()
	}
	require.Len(t, h.present, 1)
	require.Equal(t, id(2), h.present[0].Task.Job)
}

// Guards against a gang that can never start and counts as demand for ever: work over rate would
// leave it half of the pool.
func TestGangThatCanNeverStartIsNoDemand(t *testing.T) {
	h := newMixedHarness(t, "a", "b", "c", "d")
	h.putCustomers(customer("x", 1, 1), customer("y", 1, 1))
	gang := tasks(20, 1)
	gang.Gang = true
	h.submitAs("y", false, "/later/", id(2), gang)
	h.submitAs("x", true, "/q/", id(3), tasks(16, 1))
	h.plan()
	require.Equal(t, map[string]int{id(3): 16}, countStarts(h))
}

// Guards against headroom that is kept for ever: for an urgent gang that can never start, or
// because of urgent runs of long ago.
func TestHeadroomIsKeptOnlyForStepsThatCanBePlaced(t *testing.T) {
	for name, urgent := range map[string]*egretmuxv1.JobStep{"gang that can never start": tasks(20, 1), "runs of long ago": tasks(1, 1)} {
		t.Run(name, func(t *testing.T) {
			fast, plain := queue(), queue()
			plain.Name, plain.Prefix, plain.Priority = "plain", "/plain/", 1
			h := newHarness(t, fast, plain)
			for _, w := range []string{"a", "b", "c", "d"} {
				h.addWorker(w, 4)
			}
			urgent.Gang = urgent.GetCount() > 1
			h.submit(id(1), urgent)
			h.runAll(2*time.Second, nil)
			h.pass(2 * time.Minute)
			h.submitTo("/plain/", id(2), tasks(16, 1))
			h.plan()
			require.Len(t, h.starts, 16)
		})
	}
}
