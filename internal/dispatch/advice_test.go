package dispatch_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Long calls for advice reach their limit of calls in flight. Advice that takes
// milliseconds is still requested.
func TestLongCallsForAdviceDoNotHoldUpShortOnes(t *testing.T) {
	slow, quick := queue(), queue()
	slow.Advice = &egretmuxv1.QueueAdvice{DecideMs: 700, PerWorkerMs: 1, ValidityMs: 1500}
	quick.Name, quick.Prefix = "quick", "/quick/"
	quick.Advice = &egretmuxv1.QueueAdvice{DecideMs: 8, PerWorkerMs: 0.1, ValidityMs: 1500}
	h := newHarness(t, slow, quick)
	for n := range 4 {
		h.addWorker(fmt.Sprintf("w%d", n), 16)
	}
	for n := range 8 {
		h.submit(id(n), tasks(4, 2))
	}
	h.plan()
	inFlight := len(h.asks)
	require.Positive(t, inFlight)
	require.Less(t, inFlight, 8, "calls in flight are not bounded")

	h.submitTo("/quick/", id(100), tasks(2, 1))
	h.plan()
	require.Len(t, h.asks, inFlight+1)
	require.Equal(t, id(100), h.asks[inFlight].Step.Job)
}
