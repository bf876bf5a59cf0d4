// Package refusal defines the typed errors that requests are refused with. Each
// states the reason, whether the request may have run, and a remedy.
package refusal

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is the reason for a refusal. It is also a metric label.
type Kind string

// Kinds of refusal.
const (
	Unauthenticated  Kind = "unauthenticated"
	Forbidden        Kind = "forbidden"
	Invalid          Kind = "invalid"
	TooLarge         Kind = "too-large"
	NoService        Kind = "no-service"
	NoEndpoint       Kind = "no-endpoint"
	QueueFull        Kind = "queue-full"
	Shed             Kind = "shed"
	DeadlineTooClose Kind = "deadline-too-close"
	DeadlinePassed   Kind = "deadline-passed"
	InFlightFull     Kind = "in-flight-full"
	Draining         Kind = "draining"
	NoLease          Kind = "no-lease"
	NoLeader         Kind = "no-leader"
	KeyConflict      Kind = "key-conflict"
	KeyInProgress    Kind = "key-in-progress"
	OutcomeUnknown   Kind = "outcome-unknown"
	EndpointRefused  Kind = "endpoint-refused"
	LinkFailed       Kind = "link-failed"
	LinkSilent       Kind = "link-silent"
	AnswerCut        Kind = "answer-cut"
	AnswerMismatch   Kind = "answer-mismatch"
	Cancelled        Kind = "cancelled"
	JobWithdrawn     Kind = "job-withdrawn"
	WithdrawnFull    Kind = "withdrawn-full"
	VersionConflict  Kind = "version-conflict"
	NotFound         Kind = "not-found"
	NeverRunnable    Kind = "never-runnable"
	QuotaExceeded    Kind = "quota-exceeded"
	DeadlineNotMet   Kind = "deadline-not-attainable"
	Internal         Kind = "internal"
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{
		Unauthenticated, Forbidden, Invalid, TooLarge, NoService, NoEndpoint,
		QueueFull, Shed, DeadlineTooClose, DeadlinePassed, InFlightFull, Draining,
		NoLease, NoLeader, KeyConflict, KeyInProgress, OutcomeUnknown, EndpointRefused,
		LinkFailed, LinkSilent, AnswerCut, AnswerMismatch, Cancelled, VersionConflict,
		NotFound, NeverRunnable, QuotaExceeded, DeadlineNotMet, JobWithdrawn, WithdrawnFull, Internal,
	}
}

// Ran tells whether a refused request ran.
type Ran string

// Values of Ran.
const (
	No      Ran = "no"      // certain: no byte of it reached an endpoint, or the endpoint said that it did not run
	Unknown Ran = "unknown" // it may have run
)

// Error is a refusal.
type Error struct {
	Kind       Kind
	Ran        Ran
	Message    string
	Remedy     string
	RetryAfter time.Duration // zero: retry at once, or a retry does not help
	Difference string        // with VersionConflict: unified diff from the version in force to the refused one
	cause      error
}

// New returns a refusal of a request that did not run.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Ran: No, Remedy: remedy, Message: fmt.Sprintf(format, args...)}
}

// NewUnknown returns a refusal of a request that may have run.
func NewUnknown(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Ran: Unknown, Remedy: remedy, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets the time after which a retry may succeed.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithCause sets the underlying error.
func (e *Error) WithCause(err error) *Error {
	e.cause = err
	return e
}

// Error returns the kind, the message, the underlying error and the remedy.
func (e *Error) Error() string {
	s := string(e.Kind) + ": " + e.Message
	if e.cause != nil {
		s += " (" + e.cause.Error() + ")"
	}
	if e.Remedy != "" {
		s += "; " + e.Remedy
	}
	return s
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.cause }

// Of returns the refusal that err wraps. Any other error becomes an Internal
// refusal of a request that may have run.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return NewUnknown(Internal, "look up the request id in the instance's log", "unexpected error").WithCause(err)
}

// HTTPStatus returns the HTTP status code for refusals of this kind.
func (k Kind) HTTPStatus() int {
	switch k {
	case Unauthenticated:
		return http.StatusUnauthorized
	case Forbidden:
		return http.StatusForbidden
	case Invalid, NeverRunnable:
		return http.StatusBadRequest
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case NoService, NotFound:
		return http.StatusNotFound
	case QueueFull, Shed, InFlightFull, QuotaExceeded:
		return http.StatusTooManyRequests
	case KeyConflict, KeyInProgress, VersionConflict, DeadlineNotMet:
		return http.StatusConflict
	case DeadlineTooClose, DeadlinePassed, LinkSilent:
		return http.StatusGatewayTimeout
	case OutcomeUnknown, EndpointRefused, LinkFailed, AnswerCut, AnswerMismatch:
		return http.StatusBadGateway
	case Internal:
		return http.StatusInternalServerError
	}
	return http.StatusServiceUnavailable
}
