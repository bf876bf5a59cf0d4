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

// EdgeConfig holds the parts and limits of an Edge.
type EdgeConfig struct {
	Instance   string
	Access     *Access
	Leader     *peer.LeaderClient
	MaxMembers int32 // of one task
	Logger     zerolog.Logger
}

// Edge serves the control listener of every instance: it authenticates a call,
// checks its limits and hands it to the leader.
type Edge struct {
	EdgeConfig
}

// NewEdge returns an Edge.
func NewEdge(cfg EdgeConfig) *Edge { return &Edge{cfg} }

// Interceptor authenticates, limits and logs calls on the control listener.
func (e *Edge) Interceptor() connect.UnaryInterceptorFunc {
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

func (e *Edge) serve(ctx context.Context, req connect.AnyRequest, next connect.UnaryFunc) (connect.AnyResponse, error) {
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
func (e *Edge) refuse(req connect.AnyRequest, err error, id string) error {
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
func call[Q, A any](ctx context.Context, e *Edge, req *connect.Request[Q], f func(*peer.Clients) func(context.Context, *connect.Request[Q]) (*connect.Response[A], error)) (*connect.Response[A], error) {
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
func (e *Edge) SubmitTask(ctx context.Context, req *connect.Request[egretmuxv1.SubmitTaskRequest]) (*connect.Response[egretmuxv1.SubmitTaskResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.SubmitTaskRequest]) (*connect.Response[egretmuxv1.SubmitTaskResponse], error) {
		return c.Task.SubmitTask
	})
}

// GetTask implements TaskService.
func (e *Edge) GetTask(ctx context.Context, req *connect.Request[egretmuxv1.GetTaskRequest]) (*connect.Response[egretmuxv1.GetTaskResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.GetTaskRequest]) (*connect.Response[egretmuxv1.GetTaskResponse], error) {
		return c.Task.GetTask
	})
}

// WaitTask implements TaskService.
func (e *Edge) WaitTask(ctx context.Context, req *connect.Request[egretmuxv1.WaitTaskRequest]) (*connect.Response[egretmuxv1.WaitTaskResponse], error) {
	wait := min(maxWait, time.Duration(req.Msg.GetWaitMs())*time.Millisecond)
	req.Msg.WaitMs = wait.Milliseconds()
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.WaitTaskRequest]) (*connect.Response[egretmuxv1.WaitTaskResponse], error) {
		return c.Task.WaitTask
	})
}

// CancelTask implements TaskService.
func (e *Edge) CancelTask(ctx context.Context, req *connect.Request[egretmuxv1.CancelTaskRequest]) (*connect.Response[egretmuxv1.CancelTaskResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.CancelTaskRequest]) (*connect.Response[egretmuxv1.CancelTaskResponse], error) {
		return c.Task.CancelTask
	})
}

// ListTasks implements TaskService.
func (e *Edge) ListTasks(ctx context.Context, req *connect.Request[egretmuxv1.ListTasksRequest]) (*connect.Response[egretmuxv1.ListTasksResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ListTasksRequest]) (*connect.Response[egretmuxv1.ListTasksResponse], error) {
		return c.Task.ListTasks
	})
}

// ExplainTask implements TaskService.
func (e *Edge) ExplainTask(ctx context.Context, req *connect.Request[egretmuxv1.ExplainTaskRequest]) (*connect.Response[egretmuxv1.ExplainTaskResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ExplainTaskRequest]) (*connect.Response[egretmuxv1.ExplainTaskResponse], error) {
		return c.Task.ExplainTask
	})
}

// ApplyContract implements OperatorService.
func (e *Edge) ApplyContract(ctx context.Context, req *connect.Request[egretmuxv1.ApplyContractRequest]) (*connect.Response[egretmuxv1.ApplyContractResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ApplyContractRequest]) (*connect.Response[egretmuxv1.ApplyContractResponse], error) {
		return c.Operator.ApplyContract
	})
}

// GetContract implements OperatorService.
func (e *Edge) GetContract(ctx context.Context, req *connect.Request[egretmuxv1.GetContractRequest]) (*connect.Response[egretmuxv1.GetContractResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.GetContractRequest]) (*connect.Response[egretmuxv1.GetContractResponse], error) {
		return c.Operator.GetContract
	})
}

// ListContracts implements OperatorService.
func (e *Edge) ListContracts(ctx context.Context, req *connect.Request[egretmuxv1.ListContractsRequest]) (*connect.Response[egretmuxv1.ListContractsResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ListContractsRequest]) (*connect.Response[egretmuxv1.ListContractsResponse], error) {
		return c.Operator.ListContracts
	})
}

// ContractHistory implements OperatorService.
func (e *Edge) ContractHistory(ctx context.Context, req *connect.Request[egretmuxv1.ContractHistoryRequest]) (*connect.Response[egretmuxv1.ContractHistoryResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ContractHistoryRequest]) (*connect.Response[egretmuxv1.ContractHistoryResponse], error) {
		return c.Operator.ContractHistory
	})
}

// ForceStatus implements OperatorService.
func (e *Edge) ForceStatus(ctx context.Context, req *connect.Request[egretmuxv1.ForceStatusRequest]) (*connect.Response[egretmuxv1.ForceStatusResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ForceStatusRequest]) (*connect.Response[egretmuxv1.ForceStatusResponse], error) {
		return c.Operator.ForceStatus
	})
}

// ListWorkers implements OperatorService.
func (e *Edge) ListWorkers(ctx context.Context, req *connect.Request[egretmuxv1.ListWorkersRequest]) (*connect.Response[egretmuxv1.ListWorkersResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ListWorkersRequest]) (*connect.Response[egretmuxv1.ListWorkersResponse], error) {
		return c.Operator.ListWorkers
	})
}

// DrainWorker implements OperatorService.
func (e *Edge) DrainWorker(ctx context.Context, req *connect.Request[egretmuxv1.DrainWorkerRequest]) (*connect.Response[egretmuxv1.DrainWorkerResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.DrainWorkerRequest]) (*connect.Response[egretmuxv1.DrainWorkerResponse], error) {
		return c.Operator.DrainWorker
	})
}

// ListEndpoints implements OperatorService.
func (e *Edge) ListEndpoints(ctx context.Context, req *connect.Request[egretmuxv1.ListEndpointsRequest]) (*connect.Response[egretmuxv1.ListEndpointsResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ListEndpointsRequest]) (*connect.Response[egretmuxv1.ListEndpointsResponse], error) {
		return c.Operator.ListEndpoints
	})
}

// ListServices implements OperatorService.
func (e *Edge) ListServices(ctx context.Context, req *connect.Request[egretmuxv1.ListServicesRequest]) (*connect.Response[egretmuxv1.ListServicesResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ListServicesRequest]) (*connect.Response[egretmuxv1.ListServicesResponse], error) {
		return c.Operator.ListServices
	})
}

// ListInstances implements OperatorService.
func (e *Edge) ListInstances(ctx context.Context, req *connect.Request[egretmuxv1.ListInstancesRequest]) (*connect.Response[egretmuxv1.ListInstancesResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.ListInstancesRequest]) (*connect.Response[egretmuxv1.ListInstancesResponse], error) {
		return c.Operator.ListInstances
	})
}

// Status implements OperatorService.
func (e *Edge) Status(ctx context.Context, req *connect.Request[egretmuxv1.StatusRequest]) (*connect.Response[egretmuxv1.StatusResponse], error) {
	return call(ctx, e, req, func(c *peer.Clients) func(context.Context, *connect.Request[egretmuxv1.StatusRequest]) (*connect.Response[egretmuxv1.StatusResponse], error) {
		return c.Operator.Status
	})
}

// SetLogLevel implements OperatorService for this instance alone.
func (e *Edge) SetLogLevel(ctx context.Context, req *connect.Request[egretmuxv1.SetLogLevelRequest]) (*connect.Response[egretmuxv1.SetLogLevelResponse], error) {
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
