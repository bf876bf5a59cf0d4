package dispatch_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/job"
)

// Guards against a job that takes leader after leader down: all its occurrences are due at
// once, and each leader opened them all.
func TestOccurrencesThatAreDueAtOnceAreOpenedAFewAtATime(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 1_000_000)
	const perOccurrence, occurrences, limit = 5000, 8, 20_000
	step := tasks(perOccurrence, 1)
	step.MemoryMib = 0
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: &egretmuxv1.Job{
		Id: id(1), Host: "h", Prefix: "/q/", Service: "ledger", Attempts: 2, Repeats: occurrences, Steps: []*egretmuxv1.JobStep{step},
	}}}})
	h.core.JobAccepted(id(1), h.now)
	started := 0
	for range occurrences * perOccurrence / limit {
		h.plan()
		starts := h.acceptStarts()
		require.LessOrEqual(t, len(starts), limit)
		started += len(starts)
		var ends []dispatch.ListedEnd
		for _, s := range starts {
			ends = append(ends, h.listedEnd(s, done))
		}
		h.handleListing(a, nil, ends)
		h.storeEnds()
		h.advance(100 * time.Millisecond)
	}
	require.Equal(t, occurrences*perOccurrence, started)
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_COMPLETED, h.phase(id(1)))
}

// submitPeriodic submits a job whose steps run several times, the first time at the given
// time.
func (h *harness) submitPeriodic(id string, repeats uint32, first time.Duration, steps ...*egretmuxv1.JobStep) {
	h.t.Helper()
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: &egretmuxv1.Job{
		Id: id, Host: "h", Prefix: "/q/", Service: "ledger", Attempts: 2, Steps: steps,
		Repeats: repeats, FirstDueUnixMs: first.Milliseconds(), AcceptedUnixMs: h.now.Milliseconds(),
	}}}})
	h.core.JobAccepted(id, h.now)
}

// Guards against tasks that run twice: a new leader did not open an occurrence that the one
// before had begun, as more tasks than its limit were open. It acknowledged the ends of the
// occurrence's runs without storing them, and stopped the others.
func TestNewLeaderKnowsTheRunsOfOccurrencesBeyondItsLimit(t *testing.T) {
	const occurrences, limit = 3, 20_000
	h := newHarness(t)
	a := h.addWorker("a", 2*occurrences)
	wide := tasks(limit/2-2, 2*occurrences+1) // fits on no worker
	wide.After = []uint32{0}
	last := tasks(2, 1)
	last.After = []uint32{0}
	h.submitPeriodic(id(1), occurrences, h.now, tasks(1, 1), wide, last)
	h.plan()
	var ends []dispatch.ListedEnd
	for _, s := range h.acceptStarts() {
		ends = append(ends, h.listedEnd(s, done))
	}
	require.Len(t, ends, occurrences)
	h.handleListing(a, nil, ends)
	h.storeEnds()
	h.plan()
	runs := h.acceptStarts()
	require.Len(t, runs, 2*occurrences)

	h.beginTenure()
	var running []dispatch.ListedRun
	ends = nil
	for i, s := range runs { // of each occurrence, one run goes on
		if i%2 == 0 {
			running = append(running, listedRun(s))
		} else {
			ends = append(ends, h.listedEnd(s, done))
		}
	}
	h.handleListing(a, running, ends)
	require.Empty(t, h.stops)
	h.storeEnds()
	ends = nil
	for i := 0; i < len(runs); i += 2 {
		ends = append(ends, h.listedEnd(runs[i], done))
	}
	h.handleListing(a, nil, ends)
	h.storeEnds()
	h.advance(time.Second)
	h.plan()
	require.Empty(t, h.starts, "all runs have ended")
	h.book.View(id(1), func(r *job.Record) {
		for occurrence := range uint32(occurrences) {
			require.True(t, r.StepDone(occurrence, 2), "occurrence %d", occurrence)
		}
	})
}

// Guards against tasks that run twice: by the new leader's time of day, an occurrence that the
// one before had begun is not due yet.
func TestNewLeaderKnowsTheRunsOfAnOccurrenceThatIsNotDueByItsClock(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	h.submitPeriodic(id(1), 2, h.now, tasks(2, 1))
	h.plan()
	runs := h.acceptStarts()
	require.Len(t, runs, 4, "both occurrences are due")

	h.behind = 3 * time.Second
	h.beginTenure()
	h.handleListing(a, []dispatch.ListedRun{listedRun(runs[1])}, []dispatch.ListedEnd{h.listedEnd(runs[0], done), h.listedEnd(runs[2], done), h.listedEnd(runs[3], done)})
	require.Empty(t, h.stops)
	h.storeEnds()
	h.advance(2 * h.behind)
	h.plan()
	require.Empty(t, h.starts)
	h.handleListing(a, nil, []dispatch.ListedEnd{h.listedEnd(runs[1], done)})
	h.storeEnds()
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_COMPLETED, h.phase(id(1)))
}

// An occurrence of which nothing has begun waits for its time also under a new leader.
func TestNewLeaderWaitsForOccurrencesThatAreNotDue(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	h.submitPeriodic(id(1), 2, 10*time.Second, tasks(1, 1))
	h.beginTenure()
	h.handleListing(a, nil, nil)
	h.plan()
	require.Empty(t, h.starts)
	h.advance(10 * time.Second)
	h.plan()
	require.Len(t, h.starts, 2)
}

// Guards against occurrences that start before their time as their due time overflows.
func TestDueTimesAtTheExtremesAreKept(t *testing.T) {
	for name, c := range map[string]struct {
		first, interval int64
		due             int // of two occurrences
	}{
		"never":               {math.MaxInt64, math.MaxInt64, 0},
		"in a million years":  {3e16, 1000, 0},
		"second never":        {0, math.MaxInt64, 1},
		"a million years ago": {-3e16, 1000, 2},
		"since ever":          {math.MinInt64, 1000, 2},
		"sum beyond the type": {math.MaxInt64 - 500, 1000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a", 4)
			h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: &egretmuxv1.Job{
				Id: id(1), Host: "h", Prefix: "/q/", Service: "ledger", Attempts: 2, Steps: []*egretmuxv1.JobStep{tasks(1, 1)},
				Repeats: 2, FirstDueUnixMs: c.first, IntervalMs: c.interval,
			}}}})
			h.core.JobAccepted(id(1), h.now)
			h.advance(time.Second)
			h.plan()
			require.Len(t, h.starts, c.due)
		})
	}
}
