// Package refusalrpc converts refusals to errors of Connect RPCs and back.
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

// Error converts an error to a Connect error with a Refusal detail.
func Error(err error) error { return ErrorWithLeader(err, "") }

// ErrorWithLeader also adds the address of the leader's cell listener.
func ErrorWithLeader(err error, leader string) error {
	if err == nil {
		return nil
	}
	refusalErr := refusal.Of(err)
	connectErr := connect.NewError(connectCode(refusalErr.Kind), errors.New(refusalErr.Error()))
	detail, detailErr := connect.NewErrorDetail(&egretmuxv1.Refusal{
		Kind: string(refusalErr.Kind), Ran: string(refusalErr.Ran), Message: refusalErr.Message, Remedy: refusalErr.Remedy,
		RetryAfterMs: refusalErr.RetryAfter.Milliseconds(), LeaderAddress: leader, Difference: refusalErr.Difference,
	})
	if detailErr == nil {
		connectErr.AddDetail(detail)
	}
	return connectErr
}

func connectCode(kind refusal.Kind) connect.Code {
	switch kind {
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

// IsRefusal reports whether an instance answered a call with a refusal.
func IsRefusal(err error) bool { return detailOf(err) != nil }

// detailOf returns the Refusal detail of an RPC error, or nil.
func detailOf(err error) *egretmuxv1.Refusal {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return nil
	}
	for _, detail := range connectErr.Details() {
		if msg, detailErr := detail.Value(); detailErr == nil {
			if wire, ok := msg.(*egretmuxv1.Refusal); ok {
				return wire
			}
		}
	}
	return nil
}

// From converts an RPC error to a refusal and the leader's address, if it has
// one. An error without a Refusal detail is a connection failure: unless dialing
// failed, the call may have run.
func From(err error) (refusalErr *refusal.Error, leader string) {
	if err == nil {
		return nil, ""
	}
	if wire := detailOf(err); wire != nil {
		return fromWire(wire), wire.GetLeaderAddress()
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return refusal.New(refusal.NoLeader, "retry; the instance cannot be reached", "no connection").WithCause(err), ""
	}
	kind := refusal.NoLeader
	if errors.Is(err, context.DeadlineExceeded) || connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		kind = refusal.OutcomeUnknown
	}
	return refusal.NewUnknown(kind, "resend with the same change id", "no answer").WithCause(err), ""
}

func fromWire(wire *egretmuxv1.Refusal) *refusal.Error {
	return &refusal.Error{
		Kind: refusal.Kind(wire.GetKind()), Ran: refusal.Ran(wire.GetRan()), Message: wire.GetMessage(),
		Remedy: wire.GetRemedy(), RetryAfter: time.Duration(wire.GetRetryAfterMs()) * time.Millisecond,
		Difference: wire.GetDifference(),
	}
}
