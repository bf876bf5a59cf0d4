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

// answer wraps a result or an error for connect.
func answer[A any](s *Server, msg *A, err error) (*connect.Response[A], error) {
	if err != nil {
		return nil, refusalrpc.ErrorWithLeader(err, s.leader.Address())
	}
	return connect.NewResponse(msg), nil
}

// SubmitTask implements TaskService.
func (s *Server) SubmitTask(ctx context.Context, req *connect.Request[egretmuxv1.SubmitTaskRequest]) (*connect.Response[egretmuxv1.SubmitTaskResponse], error) {
	spec := req.Msg.GetSpec()
	if spec == nil {
		return answer[egretmuxv1.SubmitTaskResponse](s, nil, refusal.New(refusal.Invalid, "set spec", "no task was given"))
	}
	if scope := identityOf(req.Header()).scope(); scope != "" {
		if spec.GetCustomer() != "" && spec.GetCustomer() != scope {
			return answer[egretmuxv1.SubmitTaskResponse](s, nil, refusal.New(refusal.Forbidden, "submit with the customer's own credential", "the credential belongs to customer %s", scope))
		}
		spec.Customer = scope
	}
	t, warnings, err := s.leader.SubmitTask(ctx, req.Msg.GetChangeId(), spec)
	return answer(s, &egretmuxv1.SubmitTaskResponse{Task: t.GetId(), Warnings: warnings}, err)
}

// GetTask implements TaskService.
func (s *Server) GetTask(ctx context.Context, req *connect.Request[egretmuxv1.GetTaskRequest]) (*connect.Response[egretmuxv1.GetTaskResponse], error) {
	t, err := s.leader.Task(ctx, identityOf(req.Header()).scope(), req.Msg.GetTask())
	return answer(s, &egretmuxv1.GetTaskResponse{Task: t}, err)
}

// WaitTask implements TaskService.
func (s *Server) WaitTask(ctx context.Context, req *connect.Request[egretmuxv1.WaitTaskRequest]) (*connect.Response[egretmuxv1.WaitTaskResponse], error) {
	wait := min(maxWait, time.Duration(req.Msg.GetWaitMs())*time.Millisecond)
	t, reached, err := s.leader.WaitTask(ctx, identityOf(req.Header()).scope(), req.Msg.GetTask(), req.Msg.GetRunning(), wait)
	return answer(s, &egretmuxv1.WaitTaskResponse{Task: t, Reached: reached}, err)
}

// CancelTask implements TaskService.
func (s *Server) CancelTask(ctx context.Context, req *connect.Request[egretmuxv1.CancelTaskRequest]) (*connect.Response[egretmuxv1.CancelTaskResponse], error) {
	n, err := s.leader.CancelTasks(ctx, identityOf(req.Header()).scope(), req.Msg.GetTasks(), req.Msg.GetReason())
	return answer(s, &egretmuxv1.CancelTaskResponse{Cancelled: int32(n)}, err)
}

// ListTasks implements TaskService.
func (s *Server) ListTasks(ctx context.Context, req *connect.Request[egretmuxv1.ListTasksRequest]) (*connect.Response[egretmuxv1.ListTasksResponse], error) {
	customer := req.Msg.GetCustomer()
	if scope := identityOf(req.Header()).scope(); scope != "" {
		customer = scope
	}
	page, next, err := s.leader.ListTasks(ctx, customer, req.Msg.GetPhase(), req.Msg.GetAfter(), int(req.Msg.GetLimit()))
	return answer(s, &egretmuxv1.ListTasksResponse{Tasks: page, Next: next}, err)
}

// ExplainTask implements TaskService.
func (s *Server) ExplainTask(ctx context.Context, req *connect.Request[egretmuxv1.ExplainTaskRequest]) (*connect.Response[egretmuxv1.ExplainTaskResponse], error) {
	out, err := s.leader.ExplainTask(ctx, identityOf(req.Header()).scope(), req.Msg.GetTask())
	return answer(s, out, err)
}

// ApplyContract implements OperatorService.
func (s *Server) ApplyContract(ctx context.Context, req *connect.Request[egretmuxv1.ApplyContractRequest]) (*connect.Response[egretmuxv1.ApplyContractResponse], error) {
	if err := identityOf(req.Header()).requireOperator(); err != nil {
		return answer[egretmuxv1.ApplyContractResponse](s, nil, err)
	}
	c, err := s.leader.ApplyContract(ctx, &egretmuxv1.ApplyContract{
		Customer: req.Msg.GetCustomer(), BaseVersion: req.Msg.GetBaseVersion(), ChangeId: req.Msg.GetChangeId(),
		Text: req.Msg.GetText(), Author: req.Msg.GetAuthor(), Delete: req.Msg.GetDelete(),
	})
	return answer(s, &egretmuxv1.ApplyContractResponse{Contract: c}, err)
}

// GetContract implements OperatorService.
func (s *Server) GetContract(ctx context.Context, req *connect.Request[egretmuxv1.GetContractRequest]) (*connect.Response[egretmuxv1.GetContractResponse], error) {
	if err := identityOf(req.Header()).requireOperator(); err != nil {
		return answer[egretmuxv1.GetContractResponse](s, nil, err)
	}
	c, err := s.leader.Contract(ctx, req.Msg.GetCustomer(), req.Msg.GetVersion())
	return answer(s, &egretmuxv1.GetContractResponse{Contract: c}, err)
}

// ListContracts implements OperatorService.
func (s *Server) ListContracts(ctx context.Context, req *connect.Request[egretmuxv1.ListContractsRequest]) (*connect.Response[egretmuxv1.ListContractsResponse], error) {
	if err := identityOf(req.Header()).requireOperator(); err != nil {
		return answer[egretmuxv1.ListContractsResponse](s, nil, err)
	}
	list, err := s.leader.Contracts(ctx)
	return answer(s, &egretmuxv1.ListContractsResponse{Contracts: list}, err)
}

// ContractHistory implements OperatorService.
func (s *Server) ContractHistory(ctx context.Context, req *connect.Request[egretmuxv1.ContractHistoryRequest]) (*connect.Response[egretmuxv1.ContractHistoryResponse], error) {
	if err := identityOf(req.Header()).requireOperator(); err != nil {
		return answer[egretmuxv1.ContractHistoryResponse](s, nil, err)
	}
	list, err := s.leader.History(ctx, req.Msg.GetCustomer())
	return answer(s, &egretmuxv1.ContractHistoryResponse{Versions: list}, err)
}

// ForceStatus implements OperatorService.
func (s *Server) ForceStatus(ctx context.Context, req *connect.Request[egretmuxv1.ForceStatusRequest]) (*connect.Response[egretmuxv1.ForceStatusResponse], error) {
	if err := identityOf(req.Header()).requireOperator(); err != nil {
		return answer[egretmuxv1.ForceStatusResponse](s, nil, err)
	}
	out, err := s.leader.ForceStatus(ctx, req.Msg.GetCellVersion())
	return answer(s, out, err)
}

// ListWorkers implements OperatorService.
func (s *Server) ListWorkers(ctx context.Context, req *connect.Request[egretmuxv1.ListWorkersRequest]) (*connect.Response[egretmuxv1.ListWorkersResponse], error) {
	if err := identityOf(req.Header()).requireOperator(); err != nil {
		return answer[egretmuxv1.ListWorkersResponse](s, nil, err)
	}
	list, err := s.leader.Workers(ctx)
	return answer(s, &egretmuxv1.ListWorkersResponse{Workers: list}, err)
}

// DrainWorker implements OperatorService.
func (s *Server) DrainWorker(ctx context.Context, req *connect.Request[egretmuxv1.DrainWorkerRequest]) (*connect.Response[egretmuxv1.DrainWorkerResponse], error) {
	if err := identityOf(req.Header()).requireOperator(); err != nil {
		return answer[egretmuxv1.DrainWorkerResponse](s, nil, err)
	}
	err := s.leader.DrainWorker(ctx, req.Msg.GetWorker(), req.Msg.GetUndrain(), req.Msg.GetReason())
	return answer(s, &egretmuxv1.DrainWorkerResponse{}, err)
}

// ListEndpoints implements OperatorService.
func (s *Server) ListEndpoints(ctx context.Context, req *connect.Request[egretmuxv1.ListEndpointsRequest]) (*connect.Response[egretmuxv1.ListEndpointsResponse], error) {
	if err := identityOf(req.Header()).requireOperator(); err != nil {
		return answer[egretmuxv1.ListEndpointsResponse](s, nil, err)
	}
	list, err := s.leader.Endpoints(ctx, req.Msg.GetService())
	return answer(s, &egretmuxv1.ListEndpointsResponse{Endpoints: list}, err)
}

// ListServices implements OperatorService.
func (s *Server) ListServices(ctx context.Context, req *connect.Request[egretmuxv1.ListServicesRequest]) (*connect.Response[egretmuxv1.ListServicesResponse], error) {
	if err := identityOf(req.Header()).requireOperator(); err != nil {
		return answer[egretmuxv1.ListServicesResponse](s, nil, err)
	}
	list, err := s.leader.Services(ctx)
	return answer(s, &egretmuxv1.ListServicesResponse{Services: list}, err)
}

// ListInstances implements OperatorService.
func (s *Server) ListInstances(ctx context.Context, req *connect.Request[egretmuxv1.ListInstancesRequest]) (*connect.Response[egretmuxv1.ListInstancesResponse], error) {
	if err := identityOf(req.Header()).requireOperator(); err != nil {
		return answer[egretmuxv1.ListInstancesResponse](s, nil, err)
	}
	list, err := s.leader.Instances(ctx)
	return answer(s, &egretmuxv1.ListInstancesResponse{Instances: list}, err)
}

// Status implements OperatorService.
func (s *Server) Status(ctx context.Context, req *connect.Request[egretmuxv1.StatusRequest]) (*connect.Response[egretmuxv1.StatusResponse], error) {
	if err := identityOf(req.Header()).requireOperator(); err != nil {
		return answer[egretmuxv1.StatusResponse](s, nil, err)
	}
	out, err := s.leader.Status(ctx)
	return answer(s, out, err)
}

// SetLogLevel implements OperatorService for the leader's process.
func (s *Server) SetLogLevel(_ context.Context, req *connect.Request[egretmuxv1.SetLogLevelRequest]) (*connect.Response[egretmuxv1.SetLogLevelResponse], error) {
	if err := identityOf(req.Header()).requireOperator(); err != nil {
		return answer[egretmuxv1.SetLogLevelResponse](s, nil, err)
	}
	previous, err := telemetry.SetLevel(req.Msg.GetLevel())
	return answer(s, &egretmuxv1.SetLogLevelResponse{Previous: previous}, err)
}
