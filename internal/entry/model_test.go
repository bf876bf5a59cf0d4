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

// operation is one step of a plan: a request, or a fault of the connections or
// the leader. The kinds are:
//   - lookup: an idempotent request;
//   - send, renew: a can-wait or at-once request that must not run twice;
//   - keyed: a can-wait request with an idempotency key;
//   - silence: the open connections to an endpoint go silent;
//   - faults: the next connection gets a fault;
//   - leader: the leader becomes unreachable or reachable.
type operation struct {
	pause       time.Duration // before the step
	kind        string        // see above
	entry       int
	name        string // what the endpoints run; shared by requests with the same key
	behaviour   behaviour
	cancelAfter time.Duration // when the caller cancels the request; zero: never
	fault       standin.Faults
	endpoint    int
}

func drawPlan(t *rapid.T) []operation {
	n := rapid.IntRange(5, 40).Draw(t, "ops")
	plan := make([]operation, n)
	for i := range plan {
		step := operation{
			pause: rapid.SampledFrom([]time.Duration{0, 0, time.Millisecond, 100 * time.Millisecond, 3 * time.Second}).Draw(t, "pause"),
			kind:  rapid.SampledFrom([]string{"lookup", "lookup", "lookup", "send", "renew", "keyed", "keyed", "silence", "faults", "leader"}).Draw(t, "kind"),
			entry: rapid.IntRange(0, 1).Draw(t, "entry"), endpoint: rapid.IntRange(0, 1).Draw(t, "endpoint"),
			name: fmt.Sprintf("op%d", i),
			behaviour: behaviour{
				kind:     rapid.SampledFrom([]string{"", "", "refuse", "fail", "hang", "cut", "cross", "twice"}).Draw(t, "does"),
				attempts: rapid.IntRange(0, 3).Draw(t, "tries"),
				work:     rapid.SampledFrom([]time.Duration{0, 5 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second}).Draw(t, "work"),
				bytes:    rapid.SampledFrom([]int{0, 10, 2000, 20000}).Draw(t, "bytes"),
			},
		}
		if step.kind == "keyed" {
			step.name = fmt.Sprintf("key%d", rapid.IntRange(0, 3).Draw(t, "key"))
		}
		if rapid.IntRange(0, 4).Draw(t, "gives up") == 0 {
			step.cancelAfter = rapid.SampledFrom([]time.Duration{time.Millisecond, 300 * time.Millisecond}).Draw(t, "cancel")
		}
		step.fault = rapid.SampledFrom([]standin.Faults{{CutAtOnce: true}, {CutWriteAfter: 40}, {CutReadAfter: 60}, {StallAfter: 150}}).Draw(t, "fault")
		plan[i] = step
	}
	return plan
}

// runPlan executes a plan and returns the violated invariants, or "".
func runPlan(plan []operation) (violations string) {
	sim := newSimulation(2, 2)
	defer sim.close()
	var mu sync.Mutex
	reportError := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		violations += fmt.Sprintf(format, args...) + "\n"
	}
	var calls sync.WaitGroup
	for i := range plan {
		step := &plan[i]
		time.Sleep(step.pause)
		switch step.kind {
		case "silence":
			sim.network.Silence(sim.endpoints[step.endpoint].name)
		case "faults":
			sim.network.Fail(step.fault)
		case "leader":
			sim.attempts.setDown(i%2 == 0)
		default:
			sim.mu.Lock()
			if sim.behaviours[step.name] == nil {
				planned := step.behaviour
				sim.behaviours[step.name] = &planned
			}
			sim.mu.Unlock()
			calls.Go(func() { sim.request(step, reportError) })
		}
	}
	calls.Wait()
	time.Sleep(2 * time.Minute) // until abandoned requests have ended
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, step := range plan {
		if (step.kind == "send" || step.kind == "renew" || step.kind == "keyed") && sim.runs[step.name] > 1 {
			reportError("%s ran %d times", step.name, sim.runs[step.name])
		}
	}
	for _, endpoint := range sim.endpoints {
		if endpoint.peak > 2*endpointSlots || sim.network.Peak(endpoint.name) > 2*endpointLinks {
			reportError("endpoint %s: %d slots, %d connections in use", endpoint.name, endpoint.peak, sim.network.Peak(endpoint.name))
		}
	}
	return violations
}

// request sends a request and checks its answer against what the endpoints ran.
func (s *simulation) request(step *operation, reportError func(string, ...any)) {
	method, path, limit := http.MethodPost, "/service/s/rollup", 20*time.Second
	if step.kind == "renew" {
		path, limit = "/service/s/renewal", 5*time.Second
	}
	if step.kind == "lookup" {
		method, path, limit = http.MethodGet, "/service/s/lookup", 2*time.Second
	}
	req, _ := http.NewRequest(method, "http://entry"+path+"?op="+step.name, strings.NewReader("body"))
	if step.kind == "keyed" {
		req.Header.Set("Idempotency-Key", step.name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if step.cancelAfter > 0 {
		time.AfterFunc(step.cancelAfter, cancel)
	}
	out := s.call(ctx, step.entry, req)
	s.mu.Lock()
	runs, planned := s.runs[step.name], *s.behaviours[step.name]
	s.mu.Unlock()
	switch {
	case out.duration > limit+100*time.Millisecond:
		reportError("%s was answered after %s", step.name, out.duration)
	case out.cut:
	case out.ran == "no":
		if runs > 0 && step.kind != "keyed" {
			reportError("%s was refused as not run, but ran %d times: %s", step.name, runs, out.body)
		}
		if out.retryAfter == "" && out.kind != "cancelled" {
			reportError("%s was refused without Retry-After: %s", step.name, out.body)
		}
	case out.ran == "unknown":
	case out.body != step.name+":"+strings.Repeat("x", planned.bytes):
		reportError("%s got %d: %.80q", step.name, out.status, out.body)
	case runs == 0:
		reportError("%s was answered without a run", step.name)
	}
}

// TestModelRequests runs random plans of requests and faults. A request that must
// not run twice runs at most once, a refusal that says "no" did not run, and
// answers are complete and in time.
func TestModelRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt)
		var violations string
		synctest.Test(t, func(*testing.T) { violations = runPlan(plan) })
		if violations != "" {
			rt.Fatalf("%s", violations)
		}
	})
}
