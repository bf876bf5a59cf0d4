// Package refusalrpc carries refusals as errors of connect RPCs.
package refusalrpc

import (
	"context"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
)

// Error converts a refusal to a connect error with a Refusal detail.
func Error(err error) error { return ErrorWithLeader(err, "") }

// ErrorWithLeader also tells the address of the leader's cell listener.
func ErrorWithLeader(err error, leader string) error {
	if err == nil {
		return nil
	}
	r := refusal.Of(err)
	out := connect.NewError(code(r.Kind), errors.New(r.Error()))
	detail, derr := connect.NewErrorDetail(&egretmuxv1.Refusal{
		Kind: string(r.Kind), Ran: string(r.Ran), Message: r.Message, Remedy: r.Remedy,
		RetryAfterMs: r.RetryAfter.Milliseconds(), LeaderAddress: leader, Difference: r.Difference,
	})
	if derr == nil {
		out.AddDetail(detail)
	}
	return out
}

func code(k refusal.Kind) connect.Code {
	switch k {
	case refusal.Unauthenticated:
		return connect.CodeUnauthenticated
	case refusal.Forbidden:
		return connect.CodePermissionDenied
	case refusal.Invalid, refusal.TooLarge, refusal.NeverRunnable:
		return connect.CodeInvalidArgument
	case refusal.NotFound, refusal.NoService:
		return connect.CodeNotFound
	case refusal.VersionConflict, refusal.KeyConflict, refusal.DeadlineNotMet:
		return connect.CodeFailedPrecondition
	case refusal.QuotaExceeded, refusal.QueueFull:
		return connect.CodeResourceExhausted
	case refusal.NoLeader, refusal.NoLease, refusal.Draining:
		return connect.CodeUnavailable
	case refusal.OutcomeUnknown:
		return connect.CodeUnknown
	}
	return connect.CodeInternal
}

// From converts an RPC error back. An error without a Refusal detail came from
// the connection; unless none was made, the call may have been carried out.
func From(err error) (r *refusal.Error, leader string) {
	if err == nil {
		return nil, ""
	}
	var ce *connect.Error
	if errors.As(err, &ce) {
		for _, d := range ce.Details() {
			if msg, derr := d.Value(); derr == nil {
				if w, ok := msg.(*egretmuxv1.Refusal); ok {
					return fromWire(w), w.GetLeaderAddress()
				}
			}
		}
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return refusal.New(refusal.NoLeader, "retry; the instance cannot be reached", "no connection").Because(err), ""
	}
	kind := refusal.NoLeader
	if errors.Is(err, context.DeadlineExceeded) || connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		kind = refusal.OutcomeUnknown
	}
	return refusal.NewUnknown(kind, "resend with the same change id", "no answer").Because(err), ""
}

func fromWire(w *egretmuxv1.Refusal) *refusal.Error {
	return &refusal.Error{
		Kind: refusal.Kind(w.GetKind()), Ran: refusal.Ran(w.GetRan()), Message: w.GetMessage(),
		Remedy: w.GetRemedy(), RetryAfter: time.Duration(w.GetRetryAfterMs()) * time.Millisecond,
		Difference: w.GetDifference(),
	}
}
