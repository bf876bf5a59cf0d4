package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/dispatch"
)

// Guards against TWICE: the machine of the leader was suspended, which its steady clock leaves out, and
// the leader granted a lease by a confirmation that it took for recent. The next leader, elected
// meanwhile, waits for leases that end one lease length after the confirmation.
func TestLeaseOfALeaderWhoseMachineWasSuspendedEndsOneLengthAfterItsConfirmation(t *testing.T) {
	const suspended = 5 * time.Second
	h := newHarness(t)
	a := h.addWorker("a", 4)
	h.advance(time.Second) // confirmed
	h.handleListing(a, nil, nil)
	confirmedAt := 1000 + h.now.Milliseconds() // on the worker's clock

	h.now += 100 * time.Millisecond
	h.core.HandleListing(a, h.now, h.now, dispatch.Listing{Clock: 1000 + (h.now + suspended).Milliseconds(), Complete: true})
	until, _ := h.core.GrantLease(a)
	require.LessOrEqual(t, until, confirmedAt+testLease.Milliseconds())
}
