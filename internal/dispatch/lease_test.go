package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against TWICE: a short lease was taken for the end of a longer one that an earlier leader may have granted.
func TestShortLeaseDoesNotEndALongerOneBeforeItsTime(t *testing.T) {
	const inherited = 6 * time.Second
	l := lease{length: inherited, expiresAt: inheritedLeaseWait(inherited)}
	l.observeClock(1000, 10*time.Millisecond, 0)
	l.confirm(20 * time.Millisecond)
	require.Positive(t, l.grantFor(100*time.Millisecond, 20*time.Millisecond, 30*time.Millisecond))
	require.Equal(t, inheritedLeaseWait(inherited), l.expiresAt)
}

// Guards against TWICE: the lease of a worker whose clock has a coarse resolution, and which ends its runs that much later,
// was taken for expired.
func TestShortLeaseCountsAsExpiredOnlyAfterTheResolutionOfTheWorkersClock(t *testing.T) {
	const resolution = 40 * time.Millisecond
	l := lease{length: 6 * time.Second}
	l.observeClock(1000, 10*time.Millisecond, 0)
	l.confirm(20 * time.Millisecond)
	until := l.grantFor(100*time.Millisecond, 20*time.Millisecond, 30*time.Millisecond)
	end := l.latest.at + time.Duration(until-l.latest.clock)*time.Millisecond
	require.GreaterOrEqual(t, l.expiresAt, end+resolution)
	require.GreaterOrEqual(t, inheritedLeaseWait(100*time.Millisecond), 100*time.Millisecond+resolution)
}
