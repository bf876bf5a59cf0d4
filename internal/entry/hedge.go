package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/route"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// hedged makes an attempt, and a second one on another endpoint when the first
// takes far longer than usual and the retry budget allows. The first answer
// wins; the other attempt is cancelled.
func (e *Entry) hedged(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, slot *route.Slot, request route.Request) error {
	after := e.cfg.Routes.HedgeAfter(c.service)
	if after == 0 || !request.Repeatable || !request.AtOnce || len(request.Avoid) > 0 {
		return e.try(ctx, w, r, c, slot)
	}
	race := &race{to: w}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, 2)
	start := func(s *route.Slot) {
		go func() {
			by := &racer{race: race, header: make(http.Header)}
			err := e.try(ctx, by, r, c, s)
			if by.lost {
				err = errLostRace
			}
			results <- err
		}()
	}
	start(slot)
	timer := time.NewTimer(after)
	defer timer.Stop()
	var err error
	for running := 1; running > 0; {
		select {
		case <-timer.C:
			request.Avoid = []string{slot.Endpoint.ID}
			if second := e.cfg.Routes.AcquireHedge(request); second != nil {
				telemetry.Count("hedges_total")
				start(second)
				running++
			}
			continue
		case result := <-results:
			running--
			if !errors.Is(result, errLostRace) && !race.wonBefore(result) {
				err = result
			}
		}
		if race.won() {
			cancel()
		}
	}
	return err
}

var errLostRace = errors.New("another attempt answered first")

// race lets one of several attempts write the answer.
type race struct {
	to http.ResponseWriter

	mu     sync.Mutex
	winner *racer
	done   bool // the winner's attempt has ended
}

func (r *race) claim(by *racer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner == nil {
		r.winner = by
	}
	return r.winner == by
}

func (r *race) won() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner != nil && r.done
}

// wonBefore reports whether an attempt's error does not matter, because
// another one is giving or has given the answer.
func (r *race) wonBefore(err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var cut *cutError
	if r.winner != nil && (err == nil || errors.As(err, &cut)) {
		r.done = true
		return false
	}
	return r.winner != nil
}

// racer is the response writer of one attempt.
type racer struct {
	race   *race
	header http.Header
	lost   bool
}

// Header implements http.ResponseWriter.
func (r *racer) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter. The first to call it wins.
func (r *racer) WriteHeader(status int) {
	if !r.race.claim(r) {
		r.lost = true
		return
	}
	for name, values := range r.header {
		r.race.to.Header()[name] = values
	}
	r.header = r.race.to.Header() // for trailers
	r.race.to.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *racer) Write(p []byte) (int, error) {
	if r.lost {
		return 0, errLostRace
	}
	return r.race.to.Write(p)
}

// Unwrap gives http.ResponseController the writer to flush.
func (r *racer) Unwrap() http.ResponseWriter { return r.race.to }

func lostRace(err error) error {
	if errors.Is(err, errLostRace) {
		return refusal.NewUnknown(refusal.Cancelled, "", "another attempt answered first").Because(err)
	}
	return callerGone(err)
}
