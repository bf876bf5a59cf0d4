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

// refuse answers with a typed refusal and counts it.
func (e *Entry) refuse(w http.ResponseWriter, id string, err error) {
	f := refusal.Of(err)
	e.count(id, f)
	if f.RetryAfter > 0 {
		seconds := (f.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.Kind.HTTPStatus())
	_ = json.NewEncoder(w).Encode(refusalBody{
		Kind: string(f.Kind), Ran: string(f.Ran), Message: f.Message, Remedy: f.Remedy, RequestID: id,
	})
}

// count counts and logs a refusal.
func (e *Entry) count(id string, f *refusal.Error) {
	telemetry.CountRefusal(f)
	e.cfg.Logger.Info().Err(f).Str("event", "request_refused").Str("request_id", id).Str("kind", string(f.Kind)).Str("ran", string(f.Ran)).Msg("")
}

// cutError is a failure after the first byte of the answer went to the caller.
type cutError struct{ cause error }

// Error implements error.
func (c *cutError) Error() string { return "answer cut: " + c.cause.Error() }

// Unwrap returns the refusal that tells why.
func (c *cutError) Unwrap() error { return c.cause }
