package dispatch_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Calls for steps whose advice takes long fill what may be on its way; a step
// whose advice takes milliseconds is asked for all the same.
func TestLongCallsForAdviceDoNotHoldUpShortOnes(t *testing.T) {
	slow, quick := queue(), queue()
	slow.Advice = &egretmuxv1.QueueAdvice{DecideMs: 700, PerWorkerMs: 1, ValidityMs: 1500}
	quick.Name, quick.Prefix = "quick", "/quick/"
	quick.Advice = &egretmuxv1.QueueAdvice{DecideMs: 8, PerWorkerMs: 0.1, ValidityMs: 1500}
	w := newWorld(t, slow, quick)
	for n := range 4 {
		w.worker(fmt.Sprintf("w%d", n), 16)
	}
	for n := range 8 {
		w.submit(id(n), tasks(4, 2))
	}
	w.plan()
	held := len(w.asks)
	require.Positive(t, held)
	require.Less(t, held, 8, "calls are not bounded")

	w.submitTo("/quick/", id(100), tasks(2, 1))
	w.plan()
	require.Len(t, w.asks, held+1)
	require.Equal(t, id(100), w.asks[held].Step.Job)
}
