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

// tryHedged makes an attempt, and a hedge on another endpoint when the first
// takes far longer than usual and the retry budget allows it. The first answer
// wins; the other attempt is cancelled.
func (e *Entry) tryHedged(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, slot *route.Slot, request route.Request) error {
	delay := e.cfg.Routes.HedgeAfter(c.service)
	if delay == 0 || !request.Idempotent || !request.AtOnce || len(request.Avoid) > 0 {
		return e.try(ctx, w, r, c, slot)
	}
	race := &answerRace{target: w}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, 2)
	start := func(attemptSlot *route.Slot) {
		go func() {
			writer := &raceWriter{race: race, header: make(http.Header)}
			err := e.try(ctx, writer, r, c, attemptSlot)
			if writer.lost {
				err = errLostRace
			}
			results <- err
		}()
	}
	start(slot)
	hedgeTimer := time.NewTimer(delay)
	defer hedgeTimer.Stop()
	var err error
	for running := 1; running > 0; {
		select {
		case <-hedgeTimer.C:
			request.Avoid = []string{slot.Endpoint.ID}
			if second := e.cfg.Routes.AcquireHedge(request); second != nil {
				telemetry.Count("hedges_total")
				start(second)
				running++
			}
			continue
		case result := <-results:
			running--
			if !errors.Is(result, errLostRace) && !race.endAttempt(result) {
				err = result
			}
		}
		if race.hasWinnerEnded() {
			cancel()
		}
	}
	return err
}

var errLostRace = errors.New("another attempt answered first")

// answerRace lets only the first of several attempts write its answer.
type answerRace struct {
	target http.ResponseWriter

	mu          sync.Mutex
	winner      *raceWriter
	winnerEnded bool
}

func (r *answerRace) claim(w *raceWriter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner == nil {
		r.winner = w
	}
	return r.winner == w
}

func (r *answerRace) hasWinnerEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner != nil && r.winnerEnded
}

// endAttempt records the result of an attempt. It reports whether the result is
// superseded, because another attempt has written or is writing the answer.
func (r *answerRace) endAttempt(err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var cut *cutError
	if r.winner != nil && (err == nil || errors.As(err, &cut)) {
		r.winnerEnded = true
		return false
	}
	return r.winner != nil
}

// raceWriter is the http.ResponseWriter of one attempt in a race.
type raceWriter struct {
	race   *answerRace
	header http.Header
	lost   bool
}

// Header implements http.ResponseWriter.
func (w *raceWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. The first to call it wins.
func (w *raceWriter) WriteHeader(status int) {
	if !w.race.claim(w) {
		w.lost = true
		return
	}
	for name, values := range w.header {
		w.race.target.Header()[name] = values
	}
	w.header = w.race.target.Header() // for trailers
	w.race.target.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *raceWriter) Write(p []byte) (int, error) {
	if w.lost {
		return 0, errLostRace
	}
	return w.race.target.Write(p)
}

// Unwrap lets http.ResponseController find the writer to flush.
func (w *raceWriter) Unwrap() http.ResponseWriter { return w.race.target }

func answerWriteError(err error) error {
	if errors.Is(err, errLostRace) {
		return refusal.NewUnknown(refusal.Cancelled, "", "another attempt answered first").WithCause(err)
	}
	return callerDisconnected(err)
}
