package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/link"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Limits of requests that run at most once.
const (
	keptAnswerBytes = 16 << 10
	endTimeout      = 5 * time.Second
	endRetries      = 12
	endPause        = 500 * time.Millisecond
	maxKeyBytes     = 256
)

// Attempts commits the attempts of non-idempotent requests at the leader.
type Attempts interface {
	// Begin commits an attempt; run tells whether this entry may send it.
	Begin(ctx context.Context, r *egretmuxv1.RequestRecord) (record *egretmuxv1.RequestRecord, run, conflict bool, err error)
	// End commits its outcome.
	End(ctx context.Context, r *egretmuxv1.RequestRecord) error
}

// keptAnswer is the stored form of an answer.
type keptAnswer struct {
	Header http.Header
	Body   []byte
}

// serveOnce runs a request with an idempotency key at most once, whichever
// entries it comes through.
func (e *Entry) serveOnce(w http.ResponseWriter, r *http.Request, c *call) error {
	if len(c.key) > maxKeyBytes {
		return refusal.New(refusal.Invalid, "use a shorter key", "the idempotency key is longer than %d bytes", maxKeyBytes)
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	record := &egretmuxv1.RequestRecord{
		Customer: c.customer.Customer, Key: c.key, BodyHash: hashCall(r, c), Instance: e.cfg.Instance,
		Attempt: xxhash.Sum64String(c.id), Service: c.service, LimitMs: time.Until(c.deadline).Milliseconds(),
	}
	found, run, conflict, err := e.cfg.Attempts.Begin(ctx, record)
	switch {
	case conflict:
		return refusal.New(refusal.KeyConflict, "use a new Idempotency-Key for another request", "key %s was used for another request", c.key)
	case err != nil:
		return notBegun(err)
	case !run:
		return e.repeatAnswer(w, found)
	}
	return e.runOnce(w, r, c, record)
}

// notBegun is the refusal of a request whose attempt was not confirmed: no
// byte of it was sent, and a late commit of the attempt sends none either.
func notBegun(err error) error {
	kind := refusal.Of(err).Kind
	if kind == refusal.OutcomeUnknown {
		kind = refusal.NoLeader // only the record's outcome is unknown
	}
	return refusal.New(kind, "retry with the same Idempotency-Key", "the attempt could not be recorded").After(time.Second).Because(err)
}

func hashCall(r *http.Request, c *call) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Method + "\x00" + c.service + "\x00" + c.path + "\x00" + r.URL.RawQuery + "\x00")
	_, _ = h.Write(c.body)
	return h.Sum64()
}

// runOnce sends the request, then commits the outcome before the caller gets it.
func (e *Entry) runOnce(w http.ResponseWriter, r *http.Request, c *call, record *egretmuxv1.RequestRecord) error {
	answer := &recorder{header: make(http.Header), to: w}
	record.Phase = egretmuxv1.RequestPhase_REQUEST_PHASE_UNKNOWN // also when a panic ends the attempt
	ended := false
	end := func() {
		if !ended {
			ended = true
			e.end(r.Context(), c, record)
		}
	}
	defer end()
	answer.overflow = func() {
		record.Phase = egretmuxv1.RequestPhase_REQUEST_PHASE_DONE
		record.Status = int32(answer.status)
		end()
	}
	err := e.forward(answer, r, c)
	if answer.passing {
		return err
	}
	var cut *cutError
	if errors.As(err, &cut) {
		err = cut.cause // the caller has got nothing yet
	}
	record.Phase = outcomeOf(err)
	if err != nil {
		end()
		return err
	}
	record.Status = int32(answer.status)
	record.Answer, _ = json.Marshal(keptAnswer{Header: answer.header, Body: answer.body.Bytes()})
	record.AnswerKept = true
	end()
	answer.replay()
	return nil
}

func outcomeOf(err error) egretmuxv1.RequestPhase {
	switch {
	case err == nil:
		return egretmuxv1.RequestPhase_REQUEST_PHASE_DONE
	case refusal.Of(err).Ran == refusal.No:
		return egretmuxv1.RequestPhase_REQUEST_PHASE_NOT_RUN
	}
	return egretmuxv1.RequestPhase_REQUEST_PHASE_UNKNOWN
}

// end commits an outcome. When the leader cannot be reached in time, it goes
// on trying in the background; until then the key reads as in progress.
func (e *Entry) end(ctx context.Context, c *call, record *egretmuxv1.RequestRecord) {
	if e.tryEnd(ctx, c, record) {
		return
	}
	record = proto.CloneOf(record)
	go func() {
		for range endRetries {
			time.Sleep(endPause)
			if e.tryEnd(context.Background(), c, record) {
				return
			}
		}
	}()
}

func (e *Entry) tryEnd(ctx context.Context, c *call, record *egretmuxv1.RequestRecord) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	err := e.cfg.Attempts.End(ctx, record)
	if err != nil {
		telemetry.Count("outcomes_not_recorded_total")
		e.cfg.Logger.Warn().Err(err).Str("event", "outcome_not_recorded").Str("request_id", c.id).Msg("")
	}
	return err == nil
}

// repeatAnswer gives the first outcome again.
func (e *Entry) repeatAnswer(w http.ResponseWriter, record *egretmuxv1.RequestRecord) error {
	switch record.GetPhase() {
	case egretmuxv1.RequestPhase_REQUEST_PHASE_DONE:
		if !record.GetAnswerKept() {
			return refusal.NewUnknown(refusal.OutcomeUnknown, "ask the service for its result", "the request ran with status %d; its answer was too long to keep", record.GetStatus())
		}
		kept := keptAnswer{}
		if err := json.Unmarshal(record.GetAnswer(), &kept); err != nil {
			return refusal.NewUnknown(refusal.Internal, "report it", "the kept answer cannot be read").Because(err)
		}
		copyHeaders(w.Header(), kept.Header)
		w.Header().Set("Egretmux-Repeated", "yes")
		w.Header().Set("Content-Length", strconv.Itoa(len(kept.Body)))
		w.WriteHeader(int(record.GetStatus()))
		_, _ = w.Write(kept.Body)
		return nil
	case egretmuxv1.RequestPhase_REQUEST_PHASE_BEGUN:
		return refusal.NewUnknown(refusal.KeyInProgress, "retry with the same Idempotency-Key for its outcome", "the request is running").After(time.Second)
	}
	return refusal.NewUnknown(refusal.OutcomeUnknown, "ask the service whether it ran; use a new key only if it did not", "the request may have run and its answer is lost")
}

// recorder holds an answer until its outcome is committed. One that is too
// long to keep is passed on after overflow has committed that it ran.
type recorder struct {
	header   http.Header
	status   int
	body     bytes.Buffer
	to       http.ResponseWriter
	overflow func()
	passing  bool
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header {
	if r.passing {
		return r.to.Header() // for trailers
	}
	return r.header
}

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *recorder) Write(p []byte) (int, error) {
	if r.passing {
		return r.to.Write(p)
	}
	if r.body.Len()+len(p) <= keptAnswerBytes {
		return r.body.Write(p)
	}
	r.overflow()
	r.replay()
	r.passing = true
	return r.to.Write(p)
}

// Flush implements http.Flusher.
func (r *recorder) Flush() {
	if r.passing {
		_ = http.NewResponseController(r.to).Flush()
	}
}

func (r *recorder) replay() {
	for name, values := range r.header {
		if name != link.RequestIDHeader {
			r.to.Header()[name] = values
		}
	}
	r.to.WriteHeader(r.status)
	_, _ = r.to.Write(r.body.Bytes())
}
