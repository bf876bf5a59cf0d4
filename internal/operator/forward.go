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

// defaultCallTimeout bounds a call without a deadline of its own.
const defaultCallTimeout = 15 * time.Second

// maxTaskWait bounds one wait for a task; clients repeat the call.
const maxTaskWait = 30 * time.Second

// requestIDHeader carries the id of a control call, which its log line has too.
const requestIDHeader = "Egretmux-Request-Id"

// ForwarderConfig holds the dependencies and limits of a Forwarder.
type ForwarderConfig struct {
	Instance   string
	Access     *Access
	Leader     *peer.LeaderClient
	MaxMembers int32 // largest number of members of one task
	Logger     zerolog.Logger
}

// Forwarder serves the control listener of every instance: it authenticates a call,
// checks its limits and forwards it to the leader.
type Forwarder struct {
	ForwarderConfig
}

// NewForwarder returns a Forwarder.
func NewForwarder(cfg ForwarderConfig) *Forwarder { return &Forwarder{cfg} }

// Interceptor authenticates, limits and logs calls on the control listener.
func (f *Forwarder) Interceptor() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			id := xid.New().String()
			resp, err := f.serve(ctx, req, next)
			if err != nil {
				return nil, f.refuse(req, err, id)
			}
			f.Logger.Debug().Str("event", "call_served").Str("request_id", id).Str("procedure", req.Spec().Procedure).Msg("")
			resp.Header().Set(requestIDHeader, id)
			return resp, nil
		}
	}
}

func (f *Forwarder) serve(ctx context.Context, req connect.AnyRequest, next connect.UnaryFunc) (connect.AnyResponse, error) {
	identity, err := f.Access.Identify(req.Header())
	if err != nil {
		return nil, err
	}
	if err := checkMessage(req.Any(), f.MaxMembers); err != nil {
		return nil, err
	}
	return next(contextWithIdentity(ctx, identity), req)
}

// refuse counts and logs a refused call and returns the error to answer with.
func (f *Forwarder) refuse(req connect.AnyRequest, err error, id string) error {
	refused := refusal.Of(err)
	telemetry.CountRefusal(refused)
	f.Logger.Info().Err(refused).Str("event", "call_refused").Str("request_id", id).Str("procedure", req.Spec().Procedure).
		Str("kind", string(refused.Kind)).Str("ran", string(refused.Ran)).Str("from", req.Peer().Addr).Msg("")
	rpcErr := refusalrpc.Error(refused)
	var connectErr *connect.Error
	if errors.As(rpcErr, &connectErr) {
		connectErr.Meta().Set(requestIDHeader, id)
	}
	return rpcErr
}

// forward sends a message to the leader with the caller's identity.
func forward[Req, Resp any](ctx context.Context, forwarder *Forwarder, req *connect.Request[Req], method func(*peer.Clients) func(context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)) (*connect.Response[Resp], error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	var resp *connect.Response[Resp]
	err := forwarder.Leader.Call(ctx, func(ctx context.Context, c *peer.Clients) error {
		forwarded := connect.NewRequest(req.Msg)
		forwarded.Header().Set(identityHeader, identityFromContext(ctx).headerValue())
		var err error
		resp, err = method(c)(ctx, forwarded)
		return err
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp.Msg), nil
}

// SubmitTask implements TaskService.
func (f *Forwarder) SubmitTask(ctx context.Context, req *connect.Request[egretmuxv1.SubmitTaskRequest]) (*connect.Response[egretmuxv1.SubmitTaskResponse], error) {
	return forward(ctx, f, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.SubmitTaskRequest]) (*connect.Response[egretmuxv1.SubmitTaskResponse], error) {
		return c.Task.SubmitTask
	})
}

// GetTask implements TaskService.
func (f *Forwarder) GetTask(ctx context.Context, req *connect.Request[egretmuxv1.GetTaskRequest]) (*connect.Response[egretmuxv1.GetTaskResponse], error) {
	return forward(ctx, f, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.GetTaskRequest]) (*connect.Response[egretmuxv1.GetTaskResponse], error) {
		return c.Task.GetTask
	})
}

// WaitTask implements TaskService.
func (f *Forwarder) WaitTask(ctx context.Context, req *connect.Request[egretmuxv1.WaitTaskRequest]) (*connect.Response[egretmuxv1.WaitTaskResponse], error) {
	wait := min(maxTaskWait, time.Duration(req.Msg.GetWaitMs())*time.Millisecond)
	req.Msg.WaitMs = wait.Milliseconds()
	ctx, cancel := context.WithTimeout(ctx, wait+defaultCallTimeout)
	defer cancel()
	return forward(ctx, f, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.WaitTaskRequest]) (*connect.Response[egretmuxv1.WaitTaskResponse], error) {
		return c.Task.WaitTask
	})
}

// CancelTask implements TaskService.
func (f *Forwarder) CancelTask(ctx context.Context, req *connect.Request[egretmuxv1.CancelTaskRequest]) (*connect.Response[egretmuxv1.CancelTaskResponse], error) {
	return forward(ctx, f, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.CancelTaskRequest]) (*connect.Response[egretmuxv1.CancelTaskResponse], error) {
		return c.Task.CancelTask
	})
}

// ListTasks implements TaskService.
func (f *Forwarder) ListTasks(ctx context.Context, req *connect.Request[egretmuxv1.ListTasksRequest]) (*connect.Response[egretmuxv1.ListTasksResponse], error) {
	return forward(ctx, f, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ListTasksRequest]) (*connect.Response[egretmuxv1.ListTasksResponse], error) {
		return c.Task.ListTasks
	})
}

// ExplainTask implements TaskService.
func (f *Forwarder) ExplainTask(ctx context.Context, req *connect.Request[egretmuxv1.ExplainTaskRequest]) (*connect.Response[egretmuxv1.ExplainTaskResponse], error) {
	return forward(ctx, f, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ExplainTaskRequest]) (*connect.Response[egretmuxv1.ExplainTaskResponse], error) {
		return c.Task.ExplainTask
	})
}

// ApplyContract implements OperatorService.
func (f *Forwarder) ApplyContract(ctx context.Context, req *connect.Request[egretmuxv1.ApplyContractRequest]) (*connect.Response[egretmuxv1.ApplyContractResponse], error) {
	return forward(ctx, f, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ApplyContractRequest]) (*connect.Response[egretmuxv1.ApplyContractResponse], error) {
		return c.Operator.ApplyContract
	})
}

// GetContract implements OperatorService.
func (f *Forwarder) GetContract(ctx context.Context, req *connect.Request[egretmuxv1.GetContractRequest]) (*connect.Response[egretmuxv1.GetContractResponse], error) {
	return forward(ctx, f, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.GetContractRequest]) (*connect.Response[egretmuxv1.GetContractResponse], error) {
		return c.Operator.GetContract
	})
}

// ListContracts implements OperatorService.
func (f *Forwarder) ListContracts(ctx context.Context, req *connect.Request[egretmuxv1.ListContractsRequest]) (*connect.Response[egretmuxv1.ListContractsResponse], error) {
	return forward(ctx, f, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ListContractsRequest]) (*connect.Response[egretmuxv1.ListContractsResponse], error) {
		return c.Operator.ListContracts
	})
}

// ContractHistory implements OperatorService.
func (f *Forwarder) ContractHistory(ctx context.Context, req *connect.Request[egretmuxv1.ContractHistoryRequest]) (*connect.Response[egretmuxv1.ContractHistoryResponse], error) {
	return forward(ctx, f, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ContractHistoryRequest]) (*connect.Response[egretmuxv1.ContractHistoryResponse], error) {
		return c.Operator.ContractHistory
	})
}

// ForceStatus implements OperatorService.
func (f *Forwarder) ForceStatus(ctx context.Context, req *connect.Request[egretmuxv1.ForceStatusRequest]) (*connect.Response[egretmuxv1.ForceStatusResponse], error) {
	return forward(ctx, f, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ForceStatusRequest]) (*connect.Response[egretmuxv1.ForceStatusResponse], error) {
		return c.Operator.ForceStatus
	})
}

// ListWorkers implements OperatorService.
func (f *Forwarder) ListWorkers(ctx context.Context, req *connect.Request[egretmuxv1.ListWorkersRequest]) (*connect.Response[egretmuxv1.ListWorkersResponse], error) {
	return forward(ctx, f, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ListWorkersRequest]) (*connect.Response[egretmuxv1.ListWorkersResponse], error) {
		return c.Operator.ListWorkers
	})
}

// DrainWorker implements OperatorService.
func (f *Forwarder) DrainWorker(ctx context.Context, req *connect.Request[egretmuxv1.DrainWorkerRequest]) (*connect.Response[egretmuxv1.DrainWorkerResponse], error) {
	return forward(ctx, f, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.DrainWorkerRequest]) (*connect.Response[egretmuxv1.DrainWorkerResponse], error) {
		return c.Operator.DrainWorker
	})
}

// ListEndpoints implements OperatorService.
func (f *Forwarder) ListEndpoints(ctx context.Context, req *connect.Request[egretmuxv1.ListEndpointsRequest]) (*connect.Response[egretmuxv1.ListEndpointsResponse], error) {
	return forward(ctx, f, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ListEndpointsRequest]) (*connect.Response[egretmuxv1.ListEndpointsResponse], error) {
		return c.Operator.ListEndpoints
	})
}

// ListServices implements OperatorService.
func (f *Forwarder) ListServices(ctx context.Context, req *connect.Request[egretmuxv1.ListServicesRequest]) (*connect.Response[egretmuxv1.ListServicesResponse], error) {
	return forward(ctx, f, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ListServicesRequest]) (*connect.Response[egretmuxv1.ListServicesResponse], error) {
		return c.Operator.ListServices
	})
}

// ListInstances implements OperatorService.
func (f *Forwarder) ListInstances(ctx context.Context, req *connect.Request[egretmuxv1.ListInstancesRequest]) (*connect.Response[egretmuxv1.ListInstancesResponse], error) {
	return forward(ctx, f, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ListInstancesRequest]) (*connect.Response[egretmuxv1.ListInstancesResponse], error) {
		return c.Operator.ListInstances
	})
}

// Status implements OperatorService.
func (f *Forwarder) Status(ctx context.Context, req *connect.Request[egretmuxv1.StatusRequest]) (*connect.Response[egretmuxv1.StatusResponse], error) {
	return forward(ctx, f, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.StatusRequest]) (*connect.Response[egretmuxv1.StatusResponse], error) {
		return c.Operator.Status
	})
}

// SetLogLevel implements OperatorService for this instance alone.
func (f *Forwarder) SetLogLevel(ctx context.Context, req *connect.Request[egretmuxv1.SetLogLevelRequest]) (*connect.Response[egretmuxv1.SetLogLevelResponse], error) {
	if err := identityFromContext(ctx).requireOperator(); err != nil {
		return nil, err
	}
	previous, err := telemetry.SetLevel(req.Msg.GetLevel())
	if err != nil {
		return nil, refusal.New(refusal.Invalid, "use debug, info, warn or error", "%v", err)
	}
	f.Logger.Log().Str("event", "log_level_changed").Str("from", previous).Str("to", req.Msg.GetLevel()).Msg("log level changed")
	return connect.NewResponse(&egretmuxv1.SetLogLevelResponse{Previous: previous, Instance: f.Instance}), nil
}
