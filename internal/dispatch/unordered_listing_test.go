package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/dispatch"
)

// Guards against TWICE: a worker listed two ends that are withheld, the later one first. The earlier one was acknowledged, as
// only ends from the first listed one on were kept back.
func TestWithheldEndsAreKeptBackInWhateverOrderTheyAreListed(t *testing.T) {
	h := newHarness(t)
	a := h.addWorker("a", 4)
	h.submit(id(1), tasks(2, 1))
	h.plan()
	runs := h.acceptStarts()
	h.addWorker("b", 4)
	h.core.PollUnanswered(a)
	h.advance(testLease + time.Second)
	h.plan()
	require.Len(t, h.acceptStarts(), 2, "started again on b")
	ends := []dispatch.ListedEnd{h.listedEnd(runs[0], done), h.listedEnd(runs[1], done)}
	slices.Reverse(ends)
	h.handleListing(a, nil, ends)
	h.storeEnds()
	_, cursor := h.core.GrantLease(a)
	require.Zero(t, cursor)
}
