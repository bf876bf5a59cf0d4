package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// A pool of loadWorkers workers that loadCustomers equal customers use to loadShare of its
// cores, 0.3 of it with lookups. Each keeps below its rate.
const (
	loadWorkers   = 36
	loadCustomers = 20
	loadShare     = 0.85
)

// usualRates returns the jobs a second of each kind that each customer usually submits.
func usualRates() (lookups, rebuilds float64) {
	cores := loadShare * loadWorkers * 32 / loadCustomers
	return 0.3 * cores / lookup.coreSeconds(), 0.7 * cores / rebuild.coreSeconds()
}

func (k *jobKind) coreSeconds() float64 {
	return float64(k.step.GetCount()) * float64(k.step.GetCpuMillis()) / 1000 * k.runTime.Seconds()
}

func nameOf(n int) string { return fmt.Sprintf("c%02d", n) }

// newSharedLoad returns the load of equal customers, of which the first few submit a
// multiple of their usual jobs from the 10th second on for some time.
func newSharedLoad(t *testing.T, hot int, factor float64, length time.Duration) *load {
	lookups, rebuilds := usualRates()
	var customers []*egretmuxv1.Customer
	for n := range loadCustomers {
		customers = append(customers, customer(nameOf(n), 1, 1.2*(lookups+rebuilds)))
	}
	l := newLoad(t, loadWorkers, customers...)
	for n := range loadCustomers {
		f := 1.0
		if n < hot {
			f = factor
		}
		phase := float64(n) / loadCustomers
		l.sources = append(
			l.sources,
			&source{customer: nameOf(n), kind: lookup, perSecond: burst(lookups, f, 10*time.Second, 10*time.Second+length), due: phase},
			&source{customer: nameOf(n), kind: rebuild, perSecond: burst(rebuilds, f, 10*time.Second, 10*time.Second+length), due: phase},
		)
	}
	return l
}

// requireOthersServed checks that a burst of some customers costs the others little, and
// nothing any more 3 s after it, and that the part of the hot ones within their rate is served.
func requireOthersServed(t *testing.T, hot int, factor float64) {
	const length, end = 7 * time.Second, 34 * time.Second
	usual, contended := newSharedLoad(t, 0, 1, 0), newSharedLoad(t, hot, factor, length)
	usual.run(end)
	contended.run(end)
	judged := func(s *submitted) bool { return s.at+s.kind.objective() < end }
	for n := range loadCustomers {
		for _, kind := range []*jobKind{lookup, rebuild} {
			match := func(s *submitted) bool {
				return s.customer == nameOf(n) && s.kind == kind && judged(s) && !s.overRate
			}
			before, _ := usual.served(match)
			now, of := contended.served(match)
			if n < hot {
				require.GreaterOrEqual(t, float64(now), 0.9*float64(of), "%s of %s within its rate", kind.queue.GetName(), nameOf(n))
				continue
			}
			require.GreaterOrEqual(t, float64(now), 0.9*float64(before), "%s of %s", kind.queue.GetName(), nameOf(n))
		}
	}
	requireAllServed(t, contended, "lookups 3 s after the burst", func(s *submitted) bool {
		return s.kind == lookup && !s.overRate && s.at >= 10*time.Second+length+3*time.Second && judged(s)
	})
}

// Load: one of 20 customers sends seven times its usual for 7 s.
func TestBurstOfOneCustomerDoesNotDelayOthers(t *testing.T) { requireOthersServed(t, 1, 7) }

// Load: three of 20 customers send six times their usual for 7 s.
func TestBurstsOfThreeCustomersDoNotDelayOthers(t *testing.T) { requireOthersServed(t, 3, 6) }

// Load: nothing starts or ends for 9 s, as in an outage of the leaders, while the customers go
// on, one with seven times its usual. What waits then must not delay new lookups for long.
func TestLookupsAreInTimeSoonAfterAnOutage(t *testing.T) {
	const from, until, end = 10 * time.Second, 19 * time.Second, 32 * time.Second
	l := newSharedLoad(t, 1, 7, until-from)
	l.outage = func(at time.Duration) bool { return at >= from && at < until }
	l.run(end)
	requireAllServed(t, l, "lookups 3 s after the outage", func(s *submitted) bool {
		return s.kind == lookup && !s.overRate && s.at >= until+3*time.Second && s.at+s.kind.objective() < end
	})
}

// Load: customers of unequal weights all send far more than there is room for, for long.
func TestCustomersGetRoomByTheirWeights(t *testing.T) {
	for name, limited := range map[string]bool{"without rates": false, "with rates": true} {
		t.Run(name, func(t *testing.T) {
			weights := []float64{1, 2, 3, 6}
			const workers, sum, end = loadWorkers, 12.0, 40 * time.Second
			full := workers * 32 / rebuild.coreSeconds() // jobs a second that fill the pool
			var customers []*egretmuxv1.Customer
			for n, w := range weights {
				rate := 0.0
				if limited {
					rate = 0.5 * full * w / sum
				}
				customers = append(customers, customer(nameOf(n), w, rate))
			}
			l := newLoad(t, workers, customers...)
			for n := range weights {
				l.sources = append(l.sources, &source{customer: nameOf(n), kind: rebuild, perSecond: steady(full), due: float64(n) / 4})
			}
			l.run(end)
			got, total := make([]float64, len(weights)), 0.0
			for _, s := range l.submits {
				if s.endedAfter > 0 && s.at+s.endedAfter > 10*time.Second {
					got[s.customer[2]-'0']++
					total++
				}
			}
			for n, w := range weights {
				require.InEpsilon(t, w/sum, got[n]/total, 0.2, "part of weight %v; all: %v", w, got)
			}
			require.Greater(t, total/(end-10*time.Second).Seconds(), 0.9*full, "the pool is kept busy")
		})
	}
}

// Load: one customer sends many times its rate while the others are idle.
func TestIdleRoomIsUsedByWorkOverRate(t *testing.T) {
	const end = 15 * time.Second
	l := newLoad(t, loadWorkers, customer("a", 1, 1), customer("b", 1, 1))
	l.sources = []*source{{customer: "a", kind: lookup, perSecond: steady(40)}} // a third of the pool
	l.run(end)
	requireAllServed(t, l, "lookups of a customer alone", func(s *submitted) bool { return s.at+s.kind.objective() < end })
}

// Load: a burst far beyond a customer's rate in a full pool. Each refused caller is told
// another time, so that they do not return together.
func TestRefusedCallersAreToldToReturnOneAfterTheOther(t *testing.T) {
	const rate = 5
	l := newLoad(t, 2, customer("a", 1, 1), customer("b", 1, rate))
	l.sources = []*source{{customer: "a", kind: rebuild, perSecond: steady(2)}}
	l.run(5 * time.Second)
	perSecond := make(map[int]int)
	refused := 0
	for range 60 {
		if s := l.submitJob("b", lookup); s.refused {
			require.Positive(t, s.retryAfter)
			perSecond[int(s.retryAfter.Seconds())]++
			refused++
		}
	}
	require.Greater(t, refused, 40)
	for second, n := range perSecond {
		require.LessOrEqual(t, n, rate, "callers that return in second %d", second)
	}
}
