package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/link"
)

// simulate runs f in a synctest bubble with a new simulation.
func simulate(t *testing.T, entries, endpoints int, f func(t *testing.T, sim *simulation)) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(entries, endpoints)
		defer sim.close()
		defer time.Sleep(2 * time.Minute) // until abandoned requests have ended
		f(t, sim)
	})
}

func (s *simulation) setBehaviour(name string, b behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviours[name] = &b
}

func newRequest(method, path, key string) *http.Request {
	req, _ := http.NewRequest(method, "http://entry/service/s"+path, strings.NewReader("body"))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return req
}

func TestSameKeyThroughAnyEntryGetsTheFirstOutcome(t *testing.T) {
	simulate(t, 2, 2, func(t *testing.T, sim *simulation) {
		first := sim.call(t.Context(), 0, newRequest("POST", "/rollup?op=k", "k"))
		again := sim.call(t.Context(), 1, newRequest("POST", "/rollup?op=k", "k"))
		require.Equal(t, 200, first.status)
		require.Equal(t, first.body, again.body)
		require.Equal(t, 1, sim.runs["k"])
		other := newRequest("POST", "/rollup?op=k&other=1", "k")
		require.Equal(t, "key-conflict", sim.call(t.Context(), 1, other).kind)
	})
}

func TestCutAnswerOfKeyedRequestStaysUnknown(t *testing.T) {
	for _, bytes := range []int{10, 5000, 40000} {
		simulate(t, 2, 1, func(t *testing.T, sim *simulation) {
			sim.setBehaviour("k", behaviour{kind: "cut", attempts: 9, bytes: bytes})
			out := sim.call(t.Context(), 0, newRequest("POST", "/rollup?op=k", "k"))
			require.True(t, out.ran == "unknown" || out.cut, out.body)
			again := sim.call(t.Context(), 1, newRequest("POST", "/rollup?op=k", "k"))
			require.Equal(t, "unknown", again.ran, again.body)
			require.Equal(t, "outcome-unknown", again.kind)
			require.Equal(t, 1, sim.runs["k"])
		})
	}
}

func TestOutcomeIsCommittedOnceTheLeaderIsBack(t *testing.T) {
	simulate(t, 1, 1, func(t *testing.T, sim *simulation) {
		sim.setBehaviour("k", behaviour{work: time.Second})
		time.AfterFunc(500*time.Millisecond, func() { sim.attempts.setDown(true) })
		require.Equal(t, 200, sim.call(t.Context(), 0, newRequest("POST", "/rollup?op=k", "k")).status)
		sim.attempts.setDown(false)
		require.Equal(t, "key-in-progress", sim.call(t.Context(), 0, newRequest("POST", "/rollup?op=k", "k")).kind)
		time.Sleep(2 * time.Second)
		require.Equal(t, 200, sim.call(t.Context(), 0, newRequest("POST", "/rollup?op=k", "k")).status)
		require.Equal(t, 1, sim.runs["k"])
	})
}

func TestLookupsContinueWithoutALeaderUntilTheLeaseEnds(t *testing.T) {
	simulate(t, 1, 1, func(t *testing.T, sim *simulation) {
		sim.attempts.setDown(true)
		require.Equal(t, 200, sim.call(t.Context(), 0, newRequest("GET", "/lookup?op=a", "")).status)
		keyed := sim.call(t.Context(), 0, newRequest("POST", "/rollup?op=b", "b"))
		require.Equal(t, "no", keyed.ran)
		require.NotEmpty(t, keyed.retryAfter)
		time.Sleep(2 * time.Hour)
		late := sim.call(t.Context(), 0, newRequest("GET", "/lookup?op=c", ""))
		require.Equal(t, "no-lease", late.kind)
		require.Equal(t, "no", late.ran)
		require.Zero(t, sim.runs["b"]+sim.runs["c"])
	})
}

func TestSilentConnectionsDoNotFailLookups(t *testing.T) {
	simulate(t, 1, 1, func(t *testing.T, sim *simulation) {
		for _, name := range []string{"a", "b", "c"} {
			sim.network.Silence("e0")
			out := sim.call(t.Context(), 0, newRequest("GET", "/lookup?op="+name, ""))
			require.Equal(t, 200, out.status, out.body)
			require.Less(t, out.duration, 2*time.Second)
		}
	})
}

func TestHangingIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	simulate(t, 1, 2, func(t *testing.T, sim *simulation) {
		sim.setBehaviour("a", behaviour{kind: "hang", attempts: 1})
		out := sim.call(t.Context(), 0, newRequest("GET", "/lookup?op=a", ""))
		require.Equal(t, 200, out.status, out.body)
		sim.setBehaviour("b", behaviour{kind: "hang", attempts: 1})
		out = sim.call(t.Context(), 0, newRequest("POST", "/rollup?op=b", ""))
		require.Equal(t, "unknown", out.ran)
		require.Less(t, out.duration, 5*time.Second, "the answer was held back until the deadline")
		require.Equal(t, 1, sim.runs["b"])
	})
}

func TestSlowLookupIsHedgedWithinTheBudget(t *testing.T) {
	simulate(t, 1, 2, func(t *testing.T, sim *simulation) {
		for range 20 {
			require.Equal(t, 200, sim.call(t.Context(), 0, newRequest("GET", "/lookup?op=warm", "")).status)
		}
		hedged := 0
		for i := range 30 {
			name := fmt.Sprint("slow", i)
			sim.setBehaviour(name, behaviour{kind: "hang", attempts: 1, bytes: 2000})
			out := sim.call(t.Context(), 0, newRequest("GET", "/lookup?op="+name, ""))
			require.Equal(t, 200, out.status, out.body)
			require.Equal(t, name+":"+strings.Repeat("x", 2000), out.body)
			if out.duration < 100*time.Millisecond {
				hedged++
			}
			time.Sleep(5 * time.Second) // until the endpoint's slot is free again
		}
		require.Greater(t, hedged, 5)
		require.Less(t, hedged, 20, "hedges are not bounded by the budget")
		sim.setBehaviour("once", behaviour{kind: "hang", attempts: 1})
		sim.call(t.Context(), 0, newRequest("POST", "/renewal?op=once", ""))
		require.Equal(t, 1, sim.runs["once"])
	})
}

func TestCallerCannotForgeIdentityHeaders(t *testing.T) {
	simulate(t, 1, 1, func(t *testing.T, sim *simulation) {
		seen := make(chan http.Header, 1)
		sim.servers[0].Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				seen <- r.Header.Clone()
			}
			rw.Header().Set(link.RequestIDHeader, r.Header.Get(link.RequestIDHeader))
			rw.Header().Set("Egretmux-Secret", "x")
		})
		req := newRequest("GET", "/lookup", "")
		for _, name := range []string{"Egretmux-Customer", "egretmux-query", "Egretmux-Request-Id"} {
			req.Header[name] = []string{"forged"}
		}
		req.Header.Add("Connection", "close")
		req.Header.Add("Connection", "X-Hop")
		req.Header.Set("X-Hop", "1")
		req.Header.Set("X-Kept", "1")
		out := sim.call(t.Context(), 0, req)
		got := <-seen
		require.Equal(t, 200, out.status)
		require.Equal(t, []string{"dixie"}, got.Values("Egretmux-Customer"))
		require.NotContains(t, got.Values(link.RequestIDHeader), "forged")
		require.Empty(t, got.Get("Egretmux-Query")+got.Get("X-Hop")+got.Get("Authorization"))
		require.Equal(t, "1", got.Get("X-Kept"))
		require.Empty(t, out.header.Get("Egretmux-Secret"))
		upgrade := newRequest("GET", "/lookup", "")
		upgrade.Header.Set("Upgrade", "websocket")
		require.Equal(t, "no", sim.call(t.Context(), 0, upgrade).ran)
	})
}

func TestInFlightQueueAndBodyLimits(t *testing.T) {
	simulate(t, 1, 1, func(t *testing.T, sim *simulation) {
		const quota, queue = 12, 8
		text := strings.Replace(testContract, "in_flight = 64", "in_flight = 12", 1)
		sim.books[0].Apply(2, []*egretmuxv1.ContractVersion{{Customer: "dixie", CellVersion: 2, Text: text}})
		sim.setBehaviour("slow", behaviour{work: time.Second})
		outcomes := make(chan outcome, 100)
		send := func(n int, path string) {
			for range n {
				go func() { outcomes <- sim.call(t.Context(), 0, newRequest("GET", path+"?op=slow", "")) }()
			}
			synctest.Wait()
		}
		send(endpointSlots+queue, "/lookup")
		send(3, "/lookup") // the class's queue is full
		send(quota-endpointSlots-queue, "/rollup")
		send(5, "/rollup") // the contract's in-flight quota is used up
		count := make(map[string]int)
		for range endpointSlots + queue + 3 + quota - endpointSlots - queue + 5 {
			out := <-outcomes
			require.True(t, out.status == 200 || out.retryAfter != "", out.body)
			count[out.kind]++
		}
		require.Equal(t, 3, count["queue-full"])
		require.Equal(t, 5, count["in-flight-full"])
		large, _ := http.NewRequest("POST", "http://entry/service/s/rollup?op=l", strings.NewReader(strings.Repeat("x", 1<<17)))
		require.Equal(t, "too-large", sim.call(t.Context(), 0, large).kind)
		require.Zero(t, sim.runs["l"])
	})
}

func TestDrainCompletesRequestsInFlight(t *testing.T) {
	simulate(t, 1, 1, func(t *testing.T, sim *simulation) {
		sim.setBehaviour("a", behaviour{work: time.Second})
		ended := make(chan outcome, 1)
		go func() { ended <- sim.call(t.Context(), 0, newRequest("GET", "/lookup?op=a", "")) }()
		time.Sleep(100 * time.Millisecond)
		sim.entries[0].DisableKeepAlives()
		require.Equal(t, "close", sim.call(t.Context(), 0, newRequest("GET", "/lookup?op=b", "")).header.Get("Connection"))
		done := sim.entries[0].Drain()
		refused := sim.call(t.Context(), 0, newRequest("GET", "/lookup?op=c", ""))
		require.Equal(t, "draining", refused.kind)
		require.NotEmpty(t, refused.retryAfter)
		<-done
		require.Equal(t, 200, (<-ended).status)
	})
}

func TestDrainWaitsForSlotsOfAbandonedRequests(t *testing.T) {
	simulate(t, 1, 1, func(t *testing.T, sim *simulation) {
		sim.setBehaviour("a", behaviour{work: time.Second})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(10*time.Millisecond, cancel)
		began := time.Now()
		sim.call(ctx, 0, newRequest("GET", "/lookup?op=a", ""))
		<-sim.entries[0].Drain()
		require.GreaterOrEqual(t, time.Since(began), time.Second)
	})
}

func TestCancelledRequestHoldsItsSlotUntilTheEndpointIsIdle(t *testing.T) {
	simulate(t, 1, 1, func(t *testing.T, sim *simulation) {
		for _, name := range []string{"a", "b"} {
			sim.setBehaviour(name, behaviour{work: time.Second})
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(10*time.Millisecond, cancel)
			require.Equal(t, "cancelled", sim.call(ctx, 0, newRequest("GET", "/lookup?op="+name, "")).kind)
		}
		out := sim.call(t.Context(), 0, newRequest("GET", "/lookup?op=c", ""))
		require.Equal(t, 200, out.status)
		require.Greater(t, out.duration, 900*time.Millisecond)
		require.Equal(t, endpointSlots, sim.endpoints[0].peak)
	})
}
