package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Load: a customer submits many jobs at once, and then at exactly its rate.
func TestTokenBucketHoldsItsWindowsWorth(t *testing.T) {
	const rate = 5
	b := newTokenBucket(rate, time.Second, 0)
	for range rate {
		require.True(t, b.take(rate, 0))
	}
	require.False(t, b.take(rate, 0))
	require.Equal(t, 200*time.Millisecond, b.untilToken(rate, 0))
	for now := 200 * time.Millisecond; now <= 2*time.Second; now += 200 * time.Millisecond {
		require.True(t, b.take(rate, now))
		require.False(t, b.take(rate, now))
	}
}

// Load: a customer submits several times its rate for a while that is shorter than the window.
func TestTokenBucketOfALongWindowLetsAShortBurstThrough(t *testing.T) {
	const rate, window = 10, 5 * time.Second
	b := newTokenBucket(rate, window, 0)
	for now := time.Duration(0); now < 2*time.Second; now += 50 * time.Millisecond {
		require.True(t, b.take(rate, now))
	}
	for b.take(rate, 2*time.Second) {
	}
	require.False(t, b.take(rate, 2*time.Second+50*time.Millisecond), "beyond the window's worth only the rate is left")
	require.True(t, b.take(rate, 2*time.Second+100*time.Millisecond))
}

// Load: a customer with less than one job a second submits one now and then.
func TestTokenBucketOfASmallRateHoldsOneToken(t *testing.T) {
	const rate = 0.25
	b := newTokenBucket(rate, time.Second, 0)
	require.True(t, b.take(rate, 0))
	require.False(t, b.take(rate, 3*time.Second))
	require.Equal(t, time.Second, b.untilToken(rate, 3*time.Second))
	require.True(t, b.take(rate, 4*time.Second))
}

// Load: a customer pauses after a burst. What it leaves unused is a surplus of at most the
// window's worth, and is gone once it submits beyond its rate again.
func TestTokenBucketKeepsTheUnusedTokensAsSurplus(t *testing.T) {
	const rate = 2
	b := newTokenBucket(rate, time.Second, 0)
	b.refill(rate, 10*time.Second)
	require.True(t, b.takeSurplus())
	require.True(t, b.takeSurplus())
	require.False(t, b.takeSurplus())
	b.refill(rate, 11*time.Second)
	for range rate {
		require.True(t, b.take(rate, 11*time.Second))
	}
	require.False(t, b.take(rate, 11*time.Second))
	require.False(t, b.takeSurplus())
}
