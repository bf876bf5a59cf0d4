package route

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/egretmux/egretmux/internal/refusal"
)

// scenario runs the commands of a scenario file on a Core. The lines of a
// command's input are run in order; the output lists the effects of each.
type scenario struct {
	t        *testing.T
	now      time.Time
	core     *Core
	acquired map[string]*Endpoint
	waiting  map[string]*Waiter
	requests map[string]*Request
	order    []string
}

func newScenario(t *testing.T) *scenario {
	return &scenario{
		t: t, now: time.Unix(0, 0), core: NewCore("a", 4),
		acquired: make(map[string]*Endpoint), waiting: make(map[string]*Waiter), requests: make(map[string]*Request),
	}
}

func (s *scenario) arg(words []string, name, def string) string {
	for _, w := range words {
		if v, ok := strings.CutPrefix(w, name+"="); ok {
			return v
		}
	}
	return def
}

func (s *scenario) number(words []string, name string, def int32) int32 {
	n := def
	_, err := fmt.Sscan(s.arg(words, name, fmt.Sprint(def)), &n)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

func (s *scenario) duration(words []string, name, def string) time.Duration {
	d, err := time.ParseDuration(s.arg(words, name, def))
	if err != nil {
		s.t.Fatal(err)
	}
	return d
}

// endpoint runs "endpoint NAME dc= slots= leaving=", which adds or changes an
// endpoint.
func (s *scenario) endpoint(words []string) string {
	var e *Endpoint
	for _, known := range s.core.endpoints {
		if known.ID == words[0] {
			e = known
		}
	}
	if e == nil {
		e = &Endpoint{ID: words[0]}
		s.core.endpoints = append(s.core.endpoints, e)
	}
	e.Datacentre = s.arg(words, "dc", "a")
	e.slots = s.number(words, "slots", 1)
	e.leaving = s.arg(words, "leaving", "no") == "yes"
	s.core.Dispatch(s.now)
	return s.drainEvents()
}

// request runs "request NAME customer= weight= class= queue= wait=yes deadline=
// once=yes avoid=".
func (s *scenario) request(words []string) string {
	r := &Request{
		Service: "s", Customer: s.arg(words, "customer", "c"), Weight: float64(s.number(words, "weight", 1)), Class: s.arg(words, "class", "k"),
		ClassQueue: int(s.number(words, "queue", 0)), AtOnce: s.arg(words, "wait", "no") == "no", Idempotent: s.arg(words, "once", "no") == "no",
		Deadline: s.now.Add(s.duration(words, "deadline", "1h")),
	}
	if a := s.arg(words, "avoid", ""); a != "" {
		r.Avoid = strings.Split(a, ",")
	}
	name := words[0]
	e, w, err := s.core.Acquire(s.now, r)
	s.requests[name] = r
	switch {
	case err != nil:
		return s.refused(name, err) + s.drainEvents()
	case w != nil:
		s.waiting[name] = w
		s.order = append(s.order, name)
		return name + " waits\n" + s.drainEvents()
	}
	s.acquired[name] = e
	return name + " -> " + e.ID + "\n" + s.drainEvents()
}

func (s *scenario) refused(name string, err *refusal.Error) string {
	return fmt.Sprintf("%s refused: %s, ran %s, retry after %s\n", name, err.Kind, err.Ran, err.RetryAfter)
}

// endRequest runs "end NAME result= used=", which releases the request's slot.
func (s *scenario) endRequest(words []string) string {
	results := map[string]Result{"ok": Succeeded, "failed": Failed, "unreached": Unreached, "neutral": Neutral}
	r, used := s.requests[words[0]], s.duration(words, "used", "10ms")
	e := s.acquired[words[0]]
	if e == nil {
		return words[0] + " holds nothing\n"
	}
	delete(s.acquired, words[0])
	s.core.Release(e, r.AtOnce, used)
	s.core.recordResult(s.now, e, results[s.arg(words, "result", "ok")], used, r.AtOnce)
	s.core.Dispatch(s.now)
	return s.drainEvents()
}

// drainEvents returns the endpoint events and the outcomes of queued requests
// since the last call.
func (s *scenario) drainEvents() string {
	out := ""
	for _, ev := range s.core.events {
		out += ev.Name + " " + ev.Endpoint + "\n"
	}
	s.core.events = nil
	for _, name := range s.order {
		select {
		case o := <-s.waiting[name].outcome:
			if o.err != nil {
				out += s.refused(name, o.err)
				continue
			}
			s.acquired[name] = o.endpoint
			out += name + " -> " + o.endpoint.ID + "\n"
		default:
		}
	}
	return out
}

func (s *scenario) runCommand(words []string) string {
	switch words[0] {
	case "endpoint":
		return s.endpoint(words[1:])
	case "request":
		return s.request(words[1:])
	case "end":
		return s.endRequest(words[1:])
	case "advance":
		s.now = s.now.Add(s.duration([]string{"by=" + words[1]}, "by", ""))
		return ""
	case "retry":
		return fmt.Sprintf("retry allowed: %t\n", s.core.spendRetry())
	case "state":
		return fmt.Sprintf("busy %d, waiting %d\n", s.core.busy, s.core.Waiting())
	}
	s.t.Fatalf("unknown command %q", words[0])
	return ""
}

func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newScenario(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.t = t
			out := ""
			for _, line := range strings.Split(d.Input, "\n") {
				if words := strings.Fields(line); len(words) > 0 {
					out += s.runCommand(words)
				}
			}
			return out
		})
	})
}
