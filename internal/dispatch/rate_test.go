package dispatch

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
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

// Load: refused callers of customers whose rates are as good as none. Each is told a time
// within the bound.
func TestRefusedCallersAreToldToReturnWithinTheBound(t *testing.T) {
	for _, rate := range []float64{0.01, 1e-12, math.SmallestNonzeroFloat64} {
		c := &customer{limits: &egretmuxv1.Customer{JobsPerSecond: rate}, rateWindow: time.Second}
		require.True(t, c.withinRate(0))
		for now := time.Duration(0); now < time.Minute; now += time.Second {
			after := c.retryAfter(now)
			require.Positive(t, after, "rate %v", rate)
			require.LessOrEqual(t, after, maxRetryAfter, "rate %v", rate)
		}
	}
}

// Load: a customer with a job in ten seconds has three callers refused. They return apart as
// far as the bound allows.
func TestRefusedCallersOfASmallRateReturnApart(t *testing.T) {
	c := &customer{limits: &egretmuxv1.Customer{JobsPerSecond: 0.1}, rateWindow: time.Second}
	require.True(t, c.withinRate(0))
	for _, after := range []time.Duration{10 * time.Second, 20 * time.Second, 30 * time.Second, 10 * time.Second} {
		require.Equal(t, after, c.retryAfter(0))
	}
}
