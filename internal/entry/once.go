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
	maxKeptAnswerBytes = 16 << 10
	commitTimeout      = 5 * time.Second
	commitRetries      = 12
	commitRetryPause   = 500 * time.Millisecond
	maxKeyBytes        = 256
)

// Attempts commits the attempts of non-idempotent requests through the leader.
type Attempts interface {
	// Begin commits an attempt. It returns the record of the key, whether this
	// entry may send the request, and whether the key belongs to another request.
	Begin(ctx context.Context, r *egretmuxv1.RequestRecord) (record *egretmuxv1.RequestRecord, maySend, conflict bool, err error)
	// End commits the outcome of an attempt.
	End(ctx context.Context, r *egretmuxv1.RequestRecord) error
}

// keptAnswer is the stored JSON form of an answer.
type keptAnswer struct {
	Header http.Header
	Body   []byte
}

// serveAtMostOnce runs a request with an idempotency key at most once, also when
// it is repeated through other entries.
func (e *Entry) serveAtMostOnce(w http.ResponseWriter, r *http.Request, c *call) error {
	if len(c.key) > maxKeyBytes {
		return refusal.New(refusal.Invalid, "use a shorter key", "the idempotency key is longer than %d bytes", maxKeyBytes)
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	record := &egretmuxv1.RequestRecord{
		Customer: c.customer.Customer, Key: c.key, BodyHash: hashRequest(r, c), Instance: e.cfg.Instance,
		Attempt: xxhash.Sum64String(c.id), Service: c.service, LimitMs: time.Until(c.deadline).Milliseconds(),
	}
	existing, maySend, conflict, err := e.cfg.Attempts.Begin(ctx, record)
	switch {
	case conflict:
		return refusal.New(refusal.KeyConflict, "use a new Idempotency-Key for another request", "key %s was used for another request", c.key)
	case err != nil:
		return attemptNotRecordedRefusal(err)
	case !maySend:
		return e.replayOutcome(w, existing)
	}
	return e.runAttempt(w, r, c, record)
}

// attemptNotRecordedRefusal returns the refusal of a request whose attempt was
// not confirmed. No byte of the request was sent, and a late commit of the
// attempt sends none either, so it did not run.
func attemptNotRecordedRefusal(err error) error {
	kind := refusal.Of(err).Kind
	if kind == refusal.OutcomeUnknown {
		kind = refusal.NoLeader // the commit is in doubt, but the request did not run
	}
	return refusal.New(kind, "retry with the same Idempotency-Key", "the attempt could not be recorded").WithRetryAfter(time.Second).WithCause(err)
}

func hashRequest(r *http.Request, c *call) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(r.Method + "\x00" + c.service + "\x00" + c.path + "\x00" + r.URL.RawQuery + "\x00")
	_, _ = hash.Write(c.body)
	return hash.Sum64()
}

// runAttempt sends the request and commits the outcome before the caller gets
// the answer.
func (e *Entry) runAttempt(w http.ResponseWriter, r *http.Request, c *call, record *egretmuxv1.RequestRecord) error {
	answer := &answerBuffer{header: make(http.Header), target: w}
	record.Phase = egretmuxv1.RequestPhase_REQUEST_PHASE_UNKNOWN // unless replaced below; also committed after a panic
	committed := false
	commit := func() {
		if !committed {
			committed = true
			e.commitOutcome(r.Context(), c, record)
		}
	}
	defer commit()
	answer.onOverflow = func() {
		record.Phase = egretmuxv1.RequestPhase_REQUEST_PHASE_DONE
		record.Status = int32(answer.status)
		commit()
	}
	err := e.forward(answer, r, c)
	if answer.passthrough {
		return err
	}
	var cut *cutError
	if errors.As(err, &cut) {
		err = cut.cause // nothing was written to the caller yet
	}
	record.Phase = outcomePhase(err)
	if err != nil {
		commit()
		return err
	}
	record.Status = int32(answer.status)
	record.Answer, _ = json.Marshal(keptAnswer{Header: answer.header, Body: answer.body.Bytes()})
	record.AnswerKept = true
	commit()
	answer.writeBuffered()
	return nil
}

func outcomePhase(err error) egretmuxv1.RequestPhase {
	switch {
	case err == nil:
		return egretmuxv1.RequestPhase_REQUEST_PHASE_DONE
	case refusal.Of(err).Ran == refusal.No:
		return egretmuxv1.RequestPhase_REQUEST_PHASE_NOT_RUN
	}
	return egretmuxv1.RequestPhase_REQUEST_PHASE_UNKNOWN
}

// commitOutcome commits an outcome. When the leader cannot be reached in time,
// retries continue in the background; meanwhile repeated requests are refused
// as key-in-progress.
func (e *Entry) commitOutcome(ctx context.Context, c *call, record *egretmuxv1.RequestRecord) {
	if e.tryCommitOutcome(ctx, c, record) {
		return
	}
	record = proto.CloneOf(record)
	go func() {
		for range commitRetries {
			time.Sleep(commitRetryPause)
			if e.tryCommitOutcome(context.Background(), c, record) {
				return
			}
		}
	}()
}

func (e *Entry) tryCommitOutcome(ctx context.Context, c *call, record *egretmuxv1.RequestRecord) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout)
	defer cancel()
	err := e.cfg.Attempts.End(ctx, record)
	if err != nil {
		telemetry.Count("outcomes_not_recorded_total")
		e.cfg.Logger.Warn().Err(err).Str("event", "outcome_not_recorded").Str("request_id", c.id).Msg("")
	}
	return err == nil
}

// replayOutcome answers a repeated request with the recorded outcome.
func (e *Entry) replayOutcome(w http.ResponseWriter, record *egretmuxv1.RequestRecord) error {
	switch record.GetPhase() {
	case egretmuxv1.RequestPhase_REQUEST_PHASE_DONE:
		if !record.GetAnswerKept() {
			return refusal.NewUnknown(refusal.OutcomeUnknown, "ask the service for its result", "the request ran with status %d; its answer was too long to keep", record.GetStatus())
		}
		kept := keptAnswer{}
		if err := json.Unmarshal(record.GetAnswer(), &kept); err != nil {
			return refusal.NewUnknown(refusal.Internal, "report it", "the kept answer cannot be read").WithCause(err)
		}
		copyHeaders(w.Header(), kept.Header)
		w.Header().Set("Egretmux-Repeated", "yes")
		w.Header().Set("Content-Length", strconv.Itoa(len(kept.Body)))
		w.WriteHeader(int(record.GetStatus()))
		_, _ = w.Write(kept.Body)
		return nil
	case egretmuxv1.RequestPhase_REQUEST_PHASE_BEGUN:
		return refusal.NewUnknown(refusal.KeyInProgress, "retry with the same Idempotency-Key for its outcome", "the request is running").WithRetryAfter(time.Second)
	}
	return refusal.NewUnknown(refusal.OutcomeUnknown, "ask the service whether it ran; use a new key only if it did not", "the request may have run and its answer is lost")
}

// answerBuffer buffers an answer until its outcome is committed. An answer over
// maxKeptAnswerBytes is passed through after onOverflow has committed that the
// request ran.
type answerBuffer struct {
	header      http.Header
	status      int
	body        bytes.Buffer
	target      http.ResponseWriter
	onOverflow  func()
	passthrough bool
}

// Header implements http.ResponseWriter.
func (b *answerBuffer) Header() http.Header {
	if b.passthrough {
		return b.target.Header() // for trailers
	}
	return b.header
}

// WriteHeader implements http.ResponseWriter.
func (b *answerBuffer) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *answerBuffer) Write(p []byte) (int, error) {
	if b.passthrough {
		return b.target.Write(p)
	}
	if b.body.Len()+len(p) <= maxKeptAnswerBytes {
		return b.body.Write(p)
	}
	b.onOverflow()
	b.writeBuffered()
	b.passthrough = true
	return b.target.Write(p)
}

// Flush implements http.Flusher.
func (b *answerBuffer) Flush() {
	if b.passthrough {
		_ = http.NewResponseController(b.target).Flush()
	}
}

func (b *answerBuffer) writeBuffered() {
	for name, values := range b.header {
		if name != link.RequestIDHeader {
			b.target.Header()[name] = values
		}
	}
	b.target.WriteHeader(b.status)
	_, _ = b.target.Write(b.body.Bytes())
}
