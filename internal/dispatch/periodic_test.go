package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
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
