package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// refusalBody is the JSON form of a refusal.
type refusalBody struct {
	Kind      string `json:"kind"`
	Ran       string `json:"ran"`
	Message   string `json:"message"`
	Remedy    string `json:"remedy,omitempty"`
	RequestID string `json:"request_id"`
}

// refuse answers with a typed refusal and records it.
func (e *Entry) refuse(w http.ResponseWriter, id string, err error) {
	refusalErr := refusal.Of(err)
	e.recordRefusal(id, refusalErr)
	if refusalErr.RetryAfter > 0 {
		seconds := (refusalErr.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(refusalErr.Kind.HTTPStatus())
	_ = json.NewEncoder(w).Encode(refusalBody{
		Kind: string(refusalErr.Kind), Ran: string(refusalErr.Ran), Message: refusalErr.Message, Remedy: refusalErr.Remedy, RequestID: id,
	})
}

// recordRefusal counts and logs a refusal.
func (e *Entry) recordRefusal(id string, refusalErr *refusal.Error) {
	telemetry.CountRefusal(refusalErr)
	e.cfg.Logger.Info().Err(refusalErr).Str("event", "request_refused").Str("request_id", id).Str("kind", string(refusalErr.Kind)).Str("ran", string(refusalErr.Ran)).Msg("")
}

// cutError is a failure after a part of the answer was sent to the caller.
type cutError struct{ cause error }

// Error implements error.
func (e *cutError) Error() string { return "answer cut: " + e.cause.Error() }

// Unwrap returns the refusal with the cause.
func (e *cutError) Unwrap() error { return e.cause }
