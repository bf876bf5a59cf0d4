package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/egretmux/egretmux/internal/standin"
)

// op is one step of a plan: a request, or a fault of the connections.
type op struct {
	after   time.Duration // pause before it
	kind    string        // lookup, send, renew, keyed, silence, faults, leader
	through int
	name    string // of the operation that runs; the same for requests with one key
	does    behaviour
	cancel  time.Duration // the caller gives up after it; zero: never
	fault   standin.Faults
	target  int // endpoint
}

func drawPlan(t *rapid.T) []op {
	n := rapid.IntRange(5, 40).Draw(t, "ops")
	plan := make([]op, n)
	for i := range plan {
		o := op{
			after:   rapid.SampledFrom([]time.Duration{0, 0, time.Millisecond, 100 * time.Millisecond, 3 * time.Second}).Draw(t, "pause"),
			kind:    rapid.SampledFrom([]string{"lookup", "lookup", "lookup", "send", "renew", "keyed", "keyed", "silence", "faults", "leader"}).Draw(t, "kind"),
			through: rapid.IntRange(0, 1).Draw(t, "entry"), target: rapid.IntRange(0, 1).Draw(t, "endpoint"),
			name: fmt.Sprintf("op%d", i),
			does: behaviour{
				kind:  rapid.SampledFrom([]string{"", "", "refuse", "fail", "hang", "cut", "cross", "twice"}).Draw(t, "does"),
				tries: rapid.IntRange(0, 3).Draw(t, "tries"),
				work:  rapid.SampledFrom([]time.Duration{0, 5 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second}).Draw(t, "work"),
				bytes: rapid.SampledFrom([]int{0, 10, 2000, 20000}).Draw(t, "bytes"),
			},
		}
		if o.kind == "keyed" {
			o.name = fmt.Sprintf("key%d", rapid.IntRange(0, 3).Draw(t, "key"))
		}
		if rapid.IntRange(0, 4).Draw(t, "gives up") == 0 {
			o.cancel = rapid.SampledFrom([]time.Duration{time.Millisecond, 300 * time.Millisecond}).Draw(t, "cancel")
		}
		o.fault = rapid.SampledFrom([]standin.Faults{{CutAtOnce: true}, {CutWriteAfter: 40}, {CutReadAfter: 60}, {StallAfter: 150}}).Draw(t, "fault")
		plan[i] = o
	}
	return plan
}

// run carries out a plan and returns what was wrong, or "".
func run(plan []op) (wrong string) {
	w := newWorld(2, 2)
	defer w.close()
	var mu sync.Mutex
	complain := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		wrong += fmt.Sprintf(format, args...) + "\n"
	}
	var calls sync.WaitGroup
	for i := range plan {
		o := &plan[i]
		time.Sleep(o.after)
		switch o.kind {
		case "silence":
			w.network.Silence(w.endpoints[o.target].name)
		case "faults":
			w.network.Fail(o.fault)
		case "leader":
			w.attempts.setDown(i%2 == 0)
		default:
			w.mu.Lock()
			if w.plans[o.name] == nil {
				does := o.does
				w.plans[o.name] = &does
			}
			w.mu.Unlock()
			calls.Go(func() { w.request(o, complain) })
		}
	}
	calls.Wait()
	time.Sleep(2 * time.Minute) // requests that were given up end
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range plan {
		if (o.kind == "send" || o.kind == "renew" || o.kind == "keyed") && w.runs[o.name] > 1 {
			complain("%s ran %d times", o.name, w.runs[o.name])
		}
	}
	for _, s := range w.endpoints {
		if s.peak > 2*worldSlots || w.network.Peak(s.name) > 2*worldLinks {
			complain("endpoint %s: %d slots, %d connections in use", s.name, s.peak, w.network.Peak(s.name))
		}
	}
	return wrong
}

// request makes a call and checks its answer against what the endpoints ran.
func (w *world) request(o *op, complain func(string, ...any)) {
	method, path, limit := http.MethodPost, "/service/s/rollup", 20*time.Second
	if o.kind == "renew" {
		path, limit = "/service/s/renewal", 5*time.Second
	}
	if o.kind == "lookup" {
		method, path, limit = http.MethodGet, "/service/s/lookup", 2*time.Second
	}
	req, _ := http.NewRequest(method, "http://entry"+path+"?op="+o.name, strings.NewReader("body"))
	if o.kind == "keyed" {
		req.Header.Set("Idempotency-Key", o.name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if o.cancel > 0 {
		time.AfterFunc(o.cancel, cancel)
	}
	out := w.call(ctx, o.through, req)
	w.mu.Lock()
	runs, plan := w.runs[o.name], *w.plans[o.name]
	w.mu.Unlock()
	switch {
	case out.took > limit+100*time.Millisecond:
		complain("%s was answered after %s", o.name, out.took)
	case out.cut:
	case out.ran == "no":
		if runs > 0 && o.kind != "keyed" {
			complain("%s was refused as not run, but ran %d times: %s", o.name, runs, out.body)
		}
		if out.after == "" && out.kind != "cancelled" {
			complain("%s was refused without Retry-After: %s", o.name, out.body)
		}
	case out.ran == "unknown":
	case out.body != o.name+":"+strings.Repeat("x", plan.bytes):
		complain("%s got %d: %.80q", o.name, out.status, out.body)
	case runs == 0:
		complain("%s was answered without a run", o.name)
	}
}

func TestModelRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt)
		var wrong string
		synctest.Test(t, func(*testing.T) { wrong = run(plan) })
		if wrong != "" {
			rt.Fatalf("%s", wrong)
		}
	})
}
