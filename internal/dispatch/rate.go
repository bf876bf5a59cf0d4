package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const defaultRateWindow = time.Second

// tokenBucket measures the rate at which a customer submits jobs. A job takes one token. The
// depth is what comes in a window of time, and at least one.
type tokenBucket struct {
	window    time.Duration
	tokens    float64
	surplus   float64 // tokens that came while the bucket was full, at most its depth
	updatedAt time.Duration
}

// newTokenBucket returns a full bucket.
func newTokenBucket(rate float64, window, now time.Duration) *tokenBucket {
	b := &tokenBucket{window: window, updatedAt: now}
	b.tokens = b.depth(rate)
	return b
}

func (b *tokenBucket) depth(rate float64) float64 { return max(1, rate*b.window.Seconds()) }

// refill adds the tokens that have come since the last call.
func (b *tokenBucket) refill(rate float64, now time.Duration) {
	depth := b.depth(rate)
	tokens := b.tokens + rate*max(0, now-b.updatedAt).Seconds()
	b.updatedAt = max(now, b.updatedAt)
	b.tokens = min(depth, tokens)
	b.surplus = min(depth, b.surplus+tokens-b.tokens)
}

// take takes a token if there is one. A customer that misses one has left nothing unused.
func (b *tokenBucket) take(rate float64, now time.Duration) bool {
	b.refill(rate, now)
	if b.tokens < 1 {
		b.surplus = 0
		return false
	}
	b.tokens--
	return true
}

// takeSurplus takes one of the tokens that the customer left unused.
func (b *tokenBucket) takeSurplus() bool {
	if b.surplus < 1 {
		return false
	}
	b.surplus--
	return true
}

// untilToken returns the time until the next token, at most maxRetryAfter.
func (b *tokenBucket) untilToken(rate float64, now time.Duration) time.Duration {
	b.refill(rate, now)
	return retryTime(max(0, 1-b.tokens) / rate)
}

// retryTime converts seconds, which may be more than a duration holds, to a time of at most
// maxRetryAfter.
func retryTime(seconds float64) time.Duration {
	return time.Duration(math.Ceil(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second)))
}

// overRate reports whether steps of other jobs come before those of this one, as it was
// submitted beyond the rate of its customer.
func (j *job) overRate() bool { return j.spec.GetOverRate() && !j.promoted }

// comesAfterRate reports whether a step comes after those within rate. Long-running tasks are
// due whenever they do not run, so that a mark does not hold them back.
func (s *step) comesAfterRate() bool { return s.job.overRate() && !s.spec.GetLongRunning() }

// promoteJobs counts the oldest of a customer's waiting jobs over rate as within it, one for
// each token that the customer has left unused, and all of a customer without a rate. A job
// may be listed once for each of its steps.
func (c *Core) promoteJobs(customer *customer, waiting []*job, now time.Duration) {
	if len(waiting) == 0 {
		return
	}
	slices.SortFunc(waiting, func(a, b *job) int { return cmp.Or(cmp.Compare(a.acceptedAt, b.acceptedAt), cmp.Compare(a.id, b.id)) })
	rate := customer.limits.GetJobsPerSecond()
	bucket := customer.bucket(now)
	bucket.refill(rate, now)
	for _, j := range slices.Compact(waiting) {
		if rate > 0 && !bucket.takeSurplus() {
			return
		}
		j.promoted = true
		c.addNotice(Notice{Event: "job_promoted", Job: j.id, Customer: customer.name, Reason: "rate-unused", Age: now - j.acceptedAt})
	}
}
