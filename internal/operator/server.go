package operator

import (
	"context"
	"time"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/leader"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Server carries out calls on the leader's cell listener. It trusts the
// identity that the forwarding instance has checked.
type Server struct {
	leader *leader.Leader
}

// NewServer returns a Server.
func NewServer(l *leader.Leader) *Server { return &Server{leader: l} }

// respond wraps a result or an error for connect.
func respond[Resp any](s *Server, msg *Resp, err error) (*connect.Response[Resp], error) {
	if err != nil {
		return nil, refusalrpc.ErrorWithLeader(err, s.leader.Address())
	}
	return connect.NewResponse(msg), nil
}

// SubmitTask implements TaskService.
func (s *Server) SubmitTask(ctx context.Context, req *connect.Request[egretmuxv1.SubmitTaskRequest]) (*connect.Response[egretmuxv1.SubmitTaskResponse], error) {
	spec := req.Msg.GetSpec()
	if spec == nil {
		return respond[egretmuxv1.SubmitTaskResponse](s, nil, refusal.New(refusal.Invalid, "set spec", "no task was given"))
	}
	if scope := identityFromHeader(req.Header()).customerScope(); scope != "" {
		if spec.GetCustomer() != "" && spec.GetCustomer() != scope {
			return respond[egretmuxv1.SubmitTaskResponse](s, nil, refusal.New(refusal.Forbidden, "submit with the customer's own credential", "the credential belongs to customer %s", scope))
		}
		spec.Customer = scope
	}
	task, warnings, err := s.leader.SubmitTask(ctx, req.Msg.GetChangeId(), spec)
	return respond(s, &egretmuxv1.SubmitTaskResponse{Task: task.GetId(), Warnings: warnings}, err)
}

// GetTask implements TaskService.
func (s *Server) GetTask(ctx context.Context, req *connect.Request[egretmuxv1.GetTaskRequest]) (*connect.Response[egretmuxv1.GetTaskResponse], error) {
	task, err := s.leader.Task(ctx, identityFromHeader(req.Header()).customerScope(), req.Msg.GetTask())
	return respond(s, &egretmuxv1.GetTaskResponse{Task: task}, err)
}

// WaitTask implements TaskService.
func (s *Server) WaitTask(ctx context.Context, req *connect.Request[egretmuxv1.WaitTaskRequest]) (*connect.Response[egretmuxv1.WaitTaskResponse], error) {
	wait := min(maxTaskWait, time.Duration(req.Msg.GetWaitMs())*time.Millisecond)
	task, reached, err := s.leader.WaitTask(ctx, identityFromHeader(req.Header()).customerScope(), req.Msg.GetTask(), req.Msg.GetRunning(), wait)
	return respond(s, &egretmuxv1.WaitTaskResponse{Task: task, Reached: reached}, err)
}

// CancelTask implements TaskService.
func (s *Server) CancelTask(ctx context.Context, req *connect.Request[egretmuxv1.CancelTaskRequest]) (*connect.Response[egretmuxv1.CancelTaskResponse], error) {
	cancelled, err := s.leader.CancelTasks(ctx, identityFromHeader(req.Header()).customerScope(), req.Msg.GetTasks(), req.Msg.GetReason())
	return respond(s, &egretmuxv1.CancelTaskResponse{Cancelled: int32(cancelled)}, err)
}

// ListTasks implements TaskService.
func (s *Server) ListTasks(ctx context.Context, req *connect.Request[egretmuxv1.ListTasksRequest]) (*connect.Response[egretmuxv1.ListTasksResponse], error) {
	customer := req.Msg.GetCustomer()
	if scope := identityFromHeader(req.Header()).customerScope(); scope != "" {
		customer = scope
	}
	page, next, err := s.leader.ListTasks(ctx, customer, req.Msg.GetPhase(), req.Msg.GetAfter(), int(req.Msg.GetLimit()))
	return respond(s, &egretmuxv1.ListTasksResponse{Tasks: page, Next: next}, err)
}

// ExplainTask implements TaskService.
func (s *Server) ExplainTask(ctx context.Context, req *connect.Request[egretmuxv1.ExplainTaskRequest]) (*connect.Response[egretmuxv1.ExplainTaskResponse], error) {
	explanation, err := s.leader.ExplainTask(ctx, identityFromHeader(req.Header()).customerScope(), req.Msg.GetTask())
	return respond(s, explanation, err)
}

// ApplyContract implements OperatorService.
func (s *Server) ApplyContract(ctx context.Context, req *connect.Request[egretmuxv1.ApplyContractRequest]) (*connect.Response[egretmuxv1.ApplyContractResponse], error) {
	if err := identityFromHeader(req.Header()).requireOperator(); err != nil {
		return respond[egretmuxv1.ApplyContractResponse](s, nil, err)
	}
	applied, err := s.leader.ApplyContract(ctx, &egretmuxv1.ApplyContract{
		Customer: req.Msg.GetCustomer(), BaseVersion: req.Msg.GetBaseVersion(), ChangeId: req.Msg.GetChangeId(),
		Text: req.Msg.GetText(), Author: req.Msg.GetAuthor(), Delete: req.Msg.GetDelete(),
	})
	return respond(s, &egretmuxv1.ApplyContractResponse{Contract: applied}, err)
}

// GetContract implements OperatorService.
func (s *Server) GetContract(ctx context.Context, req *connect.Request[egretmuxv1.GetContractRequest]) (*connect.Response[egretmuxv1.GetContractResponse], error) {
	if err := identityFromHeader(req.Header()).requireOperator(); err != nil {
		return respond[egretmuxv1.GetContractResponse](s, nil, err)
	}
	version, err := s.leader.Contract(ctx, req.Msg.GetCustomer(), req.Msg.GetVersion())
	return respond(s, &egretmuxv1.GetContractResponse{Contract: version}, err)
}

// ListContracts implements OperatorService.
func (s *Server) ListContracts(ctx context.Context, req *connect.Request[egretmuxv1.ListContractsRequest]) (*connect.Response[egretmuxv1.ListContractsResponse], error) {
	if err := identityFromHeader(req.Header()).requireOperator(); err != nil {
		return respond[egretmuxv1.ListContractsResponse](s, nil, err)
	}
	contracts, err := s.leader.Contracts(ctx)
	return respond(s, &egretmuxv1.ListContractsResponse{Contracts: contracts}, err)
}

// ContractHistory implements OperatorService.
func (s *Server) ContractHistory(ctx context.Context, req *connect.Request[egretmuxv1.ContractHistoryRequest]) (*connect.Response[egretmuxv1.ContractHistoryResponse], error) {
	if err := identityFromHeader(req.Header()).requireOperator(); err != nil {
		return respond[egretmuxv1.ContractHistoryResponse](s, nil, err)
	}
	versions, err := s.leader.History(ctx, req.Msg.GetCustomer())
	return respond(s, &egretmuxv1.ContractHistoryResponse{Versions: versions}, err)
}

// ForceStatus implements OperatorService.
func (s *Server) ForceStatus(ctx context.Context, req *connect.Request[egretmuxv1.ForceStatusRequest]) (*connect.Response[egretmuxv1.ForceStatusResponse], error) {
	if err := identityFromHeader(req.Header()).requireOperator(); err != nil {
		return respond[egretmuxv1.ForceStatusResponse](s, nil, err)
	}
	status, err := s.leader.ForceStatus(ctx, req.Msg.GetCellVersion())
	return respond(s, status, err)
}

// ListWorkers implements OperatorService.
func (s *Server) ListWorkers(ctx context.Context, req *connect.Request[egretmuxv1.ListWorkersRequest]) (*connect.Response[egretmuxv1.ListWorkersResponse], error) {
	if err := identityFromHeader(req.Header()).requireOperator(); err != nil {
		return respond[egretmuxv1.ListWorkersResponse](s, nil, err)
	}
	workers, err := s.leader.Workers(ctx)
	return respond(s, &egretmuxv1.ListWorkersResponse{Workers: workers}, err)
}

// DrainWorker implements OperatorService.
func (s *Server) DrainWorker(ctx context.Context, req *connect.Request[egretmuxv1.DrainWorkerRequest]) (*connect.Response[egretmuxv1.DrainWorkerResponse], error) {
	if err := identityFromHeader(req.Header()).requireOperator(); err != nil {
		return respond[egretmuxv1.DrainWorkerResponse](s, nil, err)
	}
	err := s.leader.DrainWorker(ctx, req.Msg.GetWorker(), req.Msg.GetUndrain(), req.Msg.GetReason())
	return respond(s, &egretmuxv1.DrainWorkerResponse{}, err)
}

// ListEndpoints implements OperatorService.
func (s *Server) ListEndpoints(ctx context.Context, req *connect.Request[egretmuxv1.ListEndpointsRequest]) (*connect.Response[egretmuxv1.ListEndpointsResponse], error) {
	if err := identityFromHeader(req.Header()).requireOperator(); err != nil {
		return respond[egretmuxv1.ListEndpointsResponse](s, nil, err)
	}
	endpoints, err := s.leader.Endpoints(ctx, req.Msg.GetService())
	return respond(s, &egretmuxv1.ListEndpointsResponse{Endpoints: endpoints}, err)
}

// ListServices implements OperatorService.
func (s *Server) ListServices(ctx context.Context, req *connect.Request[egretmuxv1.ListServicesRequest]) (*connect.Response[egretmuxv1.ListServicesResponse], error) {
	if err := identityFromHeader(req.Header()).requireOperator(); err != nil {
		return respond[egretmuxv1.ListServicesResponse](s, nil, err)
	}
	services, err := s.leader.Services(ctx)
	return respond(s, &egretmuxv1.ListServicesResponse{Services: services}, err)
}

// ListInstances implements OperatorService.
func (s *Server) ListInstances(ctx context.Context, req *connect.Request[egretmuxv1.ListInstancesRequest]) (*connect.Response[egretmuxv1.ListInstancesResponse], error) {
	if err := identityFromHeader(req.Header()).requireOperator(); err != nil {
		return respond[egretmuxv1.ListInstancesResponse](s, nil, err)
	}
	instances, err := s.leader.Instances(ctx)
	return respond(s, &egretmuxv1.ListInstancesResponse{Instances: instances}, err)
}

// Status implements OperatorService.
func (s *Server) Status(ctx context.Context, req *connect.Request[egretmuxv1.StatusRequest]) (*connect.Response[egretmuxv1.StatusResponse], error) {
	if err := identityFromHeader(req.Header()).requireOperator(); err != nil {
		return respond[egretmuxv1.StatusResponse](s, nil, err)
	}
	status, err := s.leader.Status(ctx)
	return respond(s, status, err)
}

// SetLogLevel implements OperatorService for the leader's process.
func (s *Server) SetLogLevel(_ context.Context, req *connect.Request[egretmuxv1.SetLogLevelRequest]) (*connect.Response[egretmuxv1.SetLogLevelResponse], error) {
	if err := identityFromHeader(req.Header()).requireOperator(); err != nil {
		return respond[egretmuxv1.SetLogLevelResponse](s, nil, err)
	}
	previous, err := telemetry.SetLevel(req.Msg.GetLevel())
	return respond(s, &egretmuxv1.SetLogLevelResponse{Previous: previous}, err)
}
