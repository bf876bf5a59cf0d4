package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/link"
	"github.com/egretmux/egretmux/internal/refusal"
)

// Limits of requests that run at most once.
const (
	keptAnswerBytes = 16 << 10
	endTimeout      = 5 * time.Second
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
		Attempt: xxhash.Sum64String(c.id), Service: c.service,
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
	f := refusal.Of(err)
	return refusal.New(f.Kind, "retry with the same Idempotency-Key", "the attempt could not be recorded").After(time.Second).Because(err)
}

func hashCall(r *http.Request, c *call) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Method + "\x00" + c.service + "\x00" + c.path + "\x00" + r.URL.RawQuery + "\x00")
	_, _ = h.Write(c.body)
	return h.Sum64()
}

// runOnce sends the request, then commits the outcome before the caller gets it.
func (e *Entry) runOnce(w http.ResponseWriter, r *http.Request, c *call, record *egretmuxv1.RequestRecord) error {
	answer := &recorder{header: make(http.Header)}
	err := e.forward(answer, r, c)
	record.Phase = egretmuxv1.RequestPhase_REQUEST_PHASE_DONE
	switch {
	case err != nil && refusal.Of(err).Ran == refusal.No:
		record.Phase = egretmuxv1.RequestPhase_REQUEST_PHASE_NOT_RUN
	case err != nil:
		record.Phase = egretmuxv1.RequestPhase_REQUEST_PHASE_UNKNOWN
	default:
		record.Status = int32(answer.status)
		if answer.body.Len() <= keptAnswerBytes {
			record.Answer, _ = json.Marshal(keptAnswer{Header: answer.header, Body: answer.body.Bytes()})
			record.AnswerKept = true
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), endTimeout)
	defer cancel()
	if endErr := e.cfg.Attempts.End(ctx, record); endErr != nil {
		e.cfg.Logger.Warn().Err(endErr).Str("event", "outcome_not_recorded").Str("request_id", c.id).Msg("")
	}
	if err != nil {
		return err
	}
	answer.replay(w)
	return nil
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

// recorder holds an answer until its outcome is committed.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *recorder) Write(p []byte) (int, error) { return r.body.Write(p) }

func (r *recorder) replay(w http.ResponseWriter) {
	for name, values := range r.header {
		if name != link.RequestIDHeader {
			w.Header()[name] = values
		}
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body.Bytes())
}
