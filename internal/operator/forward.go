package operator

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/rs/xid"
	"github.com/rs/zerolog"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/peer"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// callTimeout bounds a call without a deadline of its own.
const callTimeout = 15 * time.Second

// maxWait is the longest one wait for a task; clients repeat it.
const maxWait = 30 * time.Second

// requestIDHeader names a control call in answers and logs.
const requestIDHeader = "Egretmux-Request-Id"

// ForwarderConfig holds the dependencies and limits of a Forwarder.
type ForwarderConfig struct {
	Instance   string
	Access     *Access
	Leader     *peer.LeaderClient
	MaxMembers int32 // of one task
	Logger     zerolog.Logger
}

// Forwarder serves the control listener of every instance: it authenticates a call,
// checks its limits and hands it to the leader.
type Forwarder struct {
	ForwarderConfig
}

// NewForwarder returns a Forwarder.
func NewForwarder(cfg ForwarderConfig) *Forwarder { return &Forwarder{cfg} }

// Interceptor authenticates, limits and logs calls on the control listener.
func (e *Forwarder) Interceptor() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			id := xid.New().String()
			resp, err := e.serve(ctx, req, next)
			if err != nil {
				return nil, e.refuse(req, err, id)
			}
			e.Logger.Debug().Str("event", "call_served").Str("request_id", id).Str("procedure", req.Spec().Procedure).Msg("")
			resp.Header().Set(requestIDHeader, id)
			return resp, nil
		}
	}
}

func (e *Forwarder) serve(ctx context.Context, req connect.AnyRequest, next connect.UnaryFunc) (connect.AnyResponse, error) {
	identity, err := e.Access.Identify(req.Header())
	if err != nil {
		return nil, err
	}
	if err := check(req.Any(), e.MaxMembers); err != nil {
		return nil, err
	}
	return next(withIdentity(ctx, identity), req)
}

// refuse counts and logs a refused call and returns the error to answer with.
func (e *Forwarder) refuse(req connect.AnyRequest, err error, id string) error {
	f := refusal.Of(err)
	telemetry.CountRefusal(f)
	e.Logger.Info().Err(f).Str("event", "call_refused").Str("request_id", id).Str("procedure", req.Spec().Procedure).
		Str("kind", string(f.Kind)).Str("ran", string(f.Ran)).Str("from", req.Peer().Addr).Msg("")
	out := refusalrpc.Error(f)
	var answer *connect.Error
	if errors.As(out, &answer) {
		answer.Meta().Set(requestIDHeader, id)
	}
	return out
}

// call hands a message to the leader with the caller's identity.
func call[Q, A any](ctx context.Context, e *Forwarder, req *connect.Request[Q], f func(*peer.Clients) func(context.Context, *connect.Request[Q]) (*connect.Response[A], error)) (*connect.Response[A], error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	var resp *connect.Response[A]
	err := e.Leader.Call(ctx, func(ctx context.Context, c *peer.Clients) error {
		out := connect.NewRequest(req.Msg)
		out.Header().Set(identityHeader, identityFrom(ctx).header())
		var err error
		resp, err = f(c)(ctx, out)
		return err
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp.Msg), nil
}

// SubmitTask implements TaskService.
func (e *Forwarder) SubmitTask(ctx context.Context, req *connect.Request[egretmuxv1.SubmitTaskRequest]) (*connect.Response[egretmuxv1.SubmitTaskResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.SubmitTaskRequest]) (*connect.Response[egretmuxv1.SubmitTaskResponse], error) {
		return c.Task.SubmitTask
	})
}

// GetTask implements TaskService.
func (e *Forwarder) GetTask(ctx context.Context, req *connect.Request[egretmuxv1.GetTaskRequest]) (*connect.Response[egretmuxv1.GetTaskResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.GetTaskRequest]) (*connect.Response[egretmuxv1.GetTaskResponse], error) {
		return c.Task.GetTask
	})
}

// WaitTask implements TaskService.
func (e *Forwarder) WaitTask(ctx context.Context, req *connect.Request[egretmuxv1.WaitTaskRequest]) (*connect.Response[egretmuxv1.WaitTaskResponse], error) {
	wait := min(maxWait, time.Duration(req.Msg.GetWaitMs())*time.Millisecond)
	req.Msg.WaitMs = wait.Milliseconds()
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.WaitTaskRequest]) (*connect.Response[egretmuxv1.WaitTaskResponse], error) {
		return c.Task.WaitTask
	})
}

// CancelTask implements TaskService.
func (e *Forwarder) CancelTask(ctx context.Context, req *connect.Request[egretmuxv1.CancelTaskRequest]) (*connect.Response[egretmuxv1.CancelTaskResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.CancelTaskRequest]) (*connect.Response[egretmuxv1.CancelTaskResponse], error) {
		return c.Task.CancelTask
	})
}

// ListTasks implements TaskService.
func (e *Forwarder) ListTasks(ctx context.Context, req *connect.Request[egretmuxv1.ListTasksRequest]) (*connect.Response[egretmuxv1.ListTasksResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ListTasksRequest]) (*connect.Response[egretmuxv1.ListTasksResponse], error) {
		return c.Task.ListTasks
	})
}

// ExplainTask implements TaskService.
func (e *Forwarder) ExplainTask(ctx context.Context, req *connect.Request[egretmuxv1.ExplainTaskRequest]) (*connect.Response[egretmuxv1.ExplainTaskResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ExplainTaskRequest]) (*connect.Response[egretmuxv1.ExplainTaskResponse], error) {
		return c.Task.ExplainTask
	})
}

// ApplyContract implements OperatorService.
func (e *Forwarder) ApplyContract(ctx context.Context, req *connect.Request[egretmuxv1.ApplyContractRequest]) (*connect.Response[egretmuxv1.ApplyContractResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ApplyContractRequest]) (*connect.Response[egretmuxv1.ApplyContractResponse], error) {
		return c.Operator.ApplyContract
	})
}

// GetContract implements OperatorService.
func (e *Forwarder) GetContract(ctx context.Context, req *connect.Request[egretmuxv1.GetContractRequest]) (*connect.Response[egretmuxv1.GetContractResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.GetContractRequest]) (*connect.Response[egretmuxv1.GetContractResponse], error) {
		return c.Operator.GetContract
	})
}

// ListContracts implements OperatorService.
func (e *Forwarder) ListContracts(ctx context.Context, req *connect.Request[egretmuxv1.ListContractsRequest]) (*connect.Response[egretmuxv1.ListContractsResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ListContractsRequest]) (*connect.Response[egretmuxv1.ListContractsResponse], error) {
		return c.Operator.ListContracts
	})
}

// ContractHistory implements OperatorService.
func (e *Forwarder) ContractHistory(ctx context.Context, req *connect.Request[egretmuxv1.ContractHistoryRequest]) (*connect.Response[egretmuxv1.ContractHistoryResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ContractHistoryRequest]) (*connect.Response[egretmuxv1.ContractHistoryResponse], error) {
		return c.Operator.ContractHistory
	})
}

// ForceStatus implements OperatorService.
func (e *Forwarder) ForceStatus(ctx context.Context, req *connect.Request[egretmuxv1.ForceStatusRequest]) (*connect.Response[egretmuxv1.ForceStatusResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ForceStatusRequest]) (*connect.Response[egretmuxv1.ForceStatusResponse], error) {
		return c.Operator.ForceStatus
	})
}

// ListWorkers implements OperatorService.
func (e *Forwarder) ListWorkers(ctx context.Context, req *connect.Request[egretmuxv1.ListWorkersRequest]) (*connect.Response[egretmuxv1.ListWorkersResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ListWorkersRequest]) (*connect.Response[egretmuxv1.ListWorkersResponse], error) {
		return c.Operator.ListWorkers
	})
}

// DrainWorker implements OperatorService.
func (e *Forwarder) DrainWorker(ctx context.Context, req *connect.Request[egretmuxv1.DrainWorkerRequest]) (*connect.Response[egretmuxv1.DrainWorkerResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.DrainWorkerRequest]) (*connect.Response[egretmuxv1.DrainWorkerResponse], error) {
		return c.Operator.DrainWorker
	})
}

// ListEndpoints implements OperatorService.
func (e *Forwarder) ListEndpoints(ctx context.Context, req *connect.Request[egretmuxv1.ListEndpointsRequest]) (*connect.Response[egretmuxv1.ListEndpointsResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ListEndpointsRequest]) (*connect.Response[egretmuxv1.ListEndpointsResponse], error) {
		return c.Operator.ListEndpoints
	})
}

// ListServices implements OperatorService.
func (e *Forwarder) ListServices(ctx context.Context, req *connect.Request[egretmuxv1.ListServicesRequest]) (*connect.Response[egretmuxv1.ListServicesResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ListServicesRequest]) (*connect.Response[egretmuxv1.ListServicesResponse], error) {
		return c.Operator.ListServices
	})
}

// ListInstances implements OperatorService.
func (e *Forwarder) ListInstances(ctx context.Context, req *connect.Request[egretmuxv1.ListInstancesRequest]) (*connect.Response[egretmuxv1.ListInstancesResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ListInstancesRequest]) (*connect.Response[egretmuxv1.ListInstancesResponse], error) {
		return c.Operator.ListInstances
	})
}

// Status implements OperatorService.
func (e *Forwarder) Status(ctx context.Context, req *connect.Request[egretmuxv1.StatusRequest]) (*connect.Response[egretmuxv1.StatusResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.StatusRequest]) (*connect.Response[egretmuxv1.StatusResponse], error) {
		return c.Operator.Status
	})
}

// SetLogLevel implements OperatorService for this instance alone.
func (e *Forwarder) SetLogLevel(ctx context.Context, req *connect.Request[egretmuxv1.SetLogLevelRequest]) (*connect.Response[egretmuxv1.SetLogLevelResponse], error) {
	if err := identityFrom(ctx).requireOperator(); err != nil {
		return nil, err
	}
	previous, err := telemetry.SetLevel(req.Msg.GetLevel())
	if err != nil {
		return nil, refusal.New(refusal.Invalid, "use debug, info, warn or error", "%v", err)
	}
	e.Logger.Log().Str("event", "log_level_changed").Str("from", previous).Str("to", req.Msg.GetLevel()).Msg("")
	return connect.NewResponse(&egretmuxv1.SetLogLevelResponse{Previous: previous, Instance: e.Instance}), nil
}
