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

func inWorld(t *testing.T, entries, endpoints int, f func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(entries, endpoints)
		defer w.close()
		defer time.Sleep(2 * time.Minute) // requests that were given up end
		f(t, w)
	})
}

func (w *world) plan(name string, b behaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.plans[name] = &b
}

func newRequest(method, path, key string) *http.Request {
	req, _ := http.NewRequest(method, "http://entry/service/s"+path, strings.NewReader("body"))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return req
}

func TestSameKeyThroughAnyEntryGetsTheFirstOutcome(t *testing.T) {
	inWorld(t, 2, 2, func(t *testing.T, w *world) {
		first := w.call(t.Context(), 0, newRequest("POST", "/rollup?op=k", "k"))
		again := w.call(t.Context(), 1, newRequest("POST", "/rollup?op=k", "k"))
		require.Equal(t, 200, first.status)
		require.Equal(t, first.body, again.body)
		require.Equal(t, 1, w.runs["k"])
		other := newRequest("POST", "/rollup?op=k&other=1", "k")
		require.Equal(t, "key-conflict", w.call(t.Context(), 1, other).kind)
	})
}

func TestCutOrPanickedKeyedRequestIsUnknownForEver(t *testing.T) {
	for _, bytes := range []int{10, 5000, 40000} {
		inWorld(t, 2, 1, func(t *testing.T, w *world) {
			w.plan("k", behaviour{kind: "cut", tries: 9, bytes: bytes})
			out := w.call(t.Context(), 0, newRequest("POST", "/rollup?op=k", "k"))
			require.True(t, out.ran == "unknown" || out.cut, out.body)
			again := w.call(t.Context(), 1, newRequest("POST", "/rollup?op=k", "k"))
			require.Equal(t, "unknown", again.ran, again.body)
			require.Equal(t, "outcome-unknown", again.kind)
			require.Equal(t, 1, w.runs["k"])
		})
	}
}

func TestOutcomeIsCommittedOnceTheLeaderIsBack(t *testing.T) {
	inWorld(t, 1, 1, func(t *testing.T, w *world) {
		w.plan("k", behaviour{work: time.Second})
		time.AfterFunc(500*time.Millisecond, func() { w.attempts.setDown(true) })
		require.Equal(t, 200, w.call(t.Context(), 0, newRequest("POST", "/rollup?op=k", "k")).status)
		w.attempts.setDown(false)
		require.Equal(t, "key-in-progress", w.call(t.Context(), 0, newRequest("POST", "/rollup?op=k", "k")).kind)
		time.Sleep(2 * time.Second)
		require.Equal(t, 200, w.call(t.Context(), 0, newRequest("POST", "/rollup?op=k", "k")).status)
		require.Equal(t, 1, w.runs["k"])
	})
}

func TestLookupsGoOnWithoutALeaderAndStopWithTheLease(t *testing.T) {
	inWorld(t, 1, 1, func(t *testing.T, w *world) {
		w.attempts.setDown(true)
		require.Equal(t, 200, w.call(t.Context(), 0, newRequest("GET", "/lookup?op=a", "")).status)
		keyed := w.call(t.Context(), 0, newRequest("POST", "/rollup?op=b", "b"))
		require.Equal(t, "no", keyed.ran)
		require.NotEmpty(t, keyed.after)
		time.Sleep(2 * time.Hour)
		late := w.call(t.Context(), 0, newRequest("GET", "/lookup?op=c", ""))
		require.Equal(t, "no-lease", late.kind)
		require.Equal(t, "no", late.ran)
		require.Zero(t, w.runs["b"]+w.runs["c"])
	})
}

func TestSilentConnectionsDoNotHarmLookups(t *testing.T) {
	inWorld(t, 1, 1, func(t *testing.T, w *world) {
		for _, name := range []string{"a", "b", "c"} {
			w.network.Silence("e0")
			out := w.call(t.Context(), 0, newRequest("GET", "/lookup?op="+name, ""))
			require.Equal(t, 200, out.status, out.body)
			require.Less(t, out.took, 2*time.Second)
		}
	})
}

func TestHangingEndpointIsTriedElsewhere(t *testing.T) {
	inWorld(t, 1, 2, func(t *testing.T, w *world) {
		w.plan("a", behaviour{kind: "hang", tries: 1})
		out := w.call(t.Context(), 0, newRequest("GET", "/lookup?op=a", ""))
		require.Equal(t, 200, out.status, out.body)
		w.plan("b", behaviour{kind: "hang", tries: 1})
		out = w.call(t.Context(), 0, newRequest("POST", "/rollup?op=b", ""))
		require.Equal(t, "unknown", out.ran)
		require.Less(t, out.took, 5*time.Second, "the answer was held back until the deadline")
		require.Equal(t, 1, w.runs["b"])
	})
}

func TestSlowLookupIsHedgedWithinTheBudget(t *testing.T) {
	inWorld(t, 1, 2, func(t *testing.T, w *world) {
		for range 20 {
			require.Equal(t, 200, w.call(t.Context(), 0, newRequest("GET", "/lookup?op=warm", "")).status)
		}
		hedged := 0
		for i := range 30 {
			name := fmt.Sprint("slow", i)
			w.plan(name, behaviour{kind: "hang", tries: 1, bytes: 2000})
			out := w.call(t.Context(), 0, newRequest("GET", "/lookup?op="+name, ""))
			require.Equal(t, 200, out.status, out.body)
			require.Equal(t, name+":"+strings.Repeat("x", 2000), out.body)
			if out.took < 100*time.Millisecond {
				hedged++
			}
			time.Sleep(5 * time.Second) // the endpoint's slot is free again
		}
		require.Greater(t, hedged, 5)
		require.Less(t, hedged, 20, "hedges are not bounded by the budget")
		w.plan("once", behaviour{kind: "hang", tries: 1})
		w.call(t.Context(), 0, newRequest("POST", "/renewal?op=once", ""))
		require.Equal(t, 1, w.runs["once"])
	})
}

func TestHeadersOfTheCallerDoNotPassAsIdentity(t *testing.T) {
	inWorld(t, 1, 1, func(t *testing.T, w *world) {
		seen := make(chan http.Header, 1)
		w.servers[0].Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
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
		out := w.call(t.Context(), 0, req)
		got := <-seen
		require.Equal(t, 200, out.status)
		require.Equal(t, []string{"dixie"}, got.Values("Egretmux-Customer"))
		require.NotContains(t, got.Values(link.RequestIDHeader), "forged")
		require.Empty(t, got.Get("Egretmux-Query")+got.Get("X-Hop")+got.Get("Authorization"))
		require.Equal(t, "1", got.Get("X-Kept"))
		require.Empty(t, out.header.Get("Egretmux-Secret"))
		upgrade := newRequest("GET", "/lookup", "")
		upgrade.Header.Set("Upgrade", "websocket")
		require.Equal(t, "no", w.call(t.Context(), 0, upgrade).ran)
	})
}

func TestLimitsOfTheContractAndOfBodies(t *testing.T) {
	inWorld(t, 1, 1, func(t *testing.T, w *world) {
		const quota, queue = 12, 8
		text := strings.Replace(worldContract, "in_flight = 64", "in_flight = 12", 1)
		w.books[0].Apply(2, []*egretmuxv1.ContractVersion{{Customer: "dixie", CellVersion: 2, Text: text}})
		w.plan("slow", behaviour{work: time.Second})
		outcomes := make(chan outcome, 100)
		send := func(n int, path string) {
			for range n {
				go func() { outcomes <- w.call(t.Context(), 0, newRequest("GET", path+"?op=slow", "")) }()
			}
			synctest.Wait()
		}
		send(worldSlots+queue, "/lookup")
		send(3, "/lookup") // the class's queue is full
		send(quota-worldSlots-queue, "/rollup")
		send(5, "/rollup") // as many are in flight as the contract allows
		count := make(map[string]int)
		for range worldSlots + queue + 3 + quota - worldSlots - queue + 5 {
			out := <-outcomes
			require.True(t, out.status == 200 || out.after != "", out.body)
			count[out.kind]++
		}
		require.Equal(t, 3, count["queue-full"])
		require.Equal(t, 5, count["in-flight-full"])
		large, _ := http.NewRequest("POST", "http://entry/service/s/rollup?op=l", strings.NewReader(strings.Repeat("x", 1<<17)))
		require.Equal(t, "too-large", w.call(t.Context(), 0, large).kind)
		require.Zero(t, w.runs["l"])
	})
}

func TestDrainingCutsNothing(t *testing.T) {
	inWorld(t, 1, 1, func(t *testing.T, w *world) {
		w.plan("a", behaviour{work: time.Second})
		ended := make(chan outcome, 1)
		go func() { ended <- w.call(t.Context(), 0, newRequest("GET", "/lookup?op=a", "")) }()
		time.Sleep(100 * time.Millisecond)
		w.entries[0].DisableKeepAlives()
		require.Equal(t, "close", w.call(t.Context(), 0, newRequest("GET", "/lookup?op=b", "")).header.Get("Connection"))
		done := w.entries[0].Drain()
		refused := w.call(t.Context(), 0, newRequest("GET", "/lookup?op=c", ""))
		require.Equal(t, "draining", refused.kind)
		require.NotEmpty(t, refused.after)
		<-done
		require.Equal(t, 200, (<-ended).status)
	})
}

func TestDrainingWaitsForSlotsOfRequestsGivenUp(t *testing.T) {
	inWorld(t, 1, 1, func(t *testing.T, w *world) {
		w.plan("a", behaviour{work: time.Second})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(10*time.Millisecond, cancel)
		began := time.Now()
		w.call(ctx, 0, newRequest("GET", "/lookup?op=a", ""))
		<-w.entries[0].Drain()
		require.GreaterOrEqual(t, time.Since(began), time.Second)
	})
}

func TestCallerGoneKeepsTheSlotUntilTheEndpointIsFree(t *testing.T) {
	inWorld(t, 1, 1, func(t *testing.T, w *world) {
		for _, name := range []string{"a", "b"} {
			w.plan(name, behaviour{work: time.Second})
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(10*time.Millisecond, cancel)
			require.Equal(t, "cancelled", w.call(ctx, 0, newRequest("GET", "/lookup?op="+name, "")).kind)
		}
		out := w.call(t.Context(), 0, newRequest("GET", "/lookup?op=c", ""))
		require.Equal(t, 200, out.status)
		require.Greater(t, out.took, 900*time.Millisecond)
		require.Equal(t, worldSlots, w.endpoints[0].peak)
	})
}
