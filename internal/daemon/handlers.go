package daemon

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/leader"
	"github.com/egretmux/egretmux/internal/operator"
	"github.com/egretmux/egretmux/internal/peer"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// maxMessageBytes bounds a message on the control and cell listeners.
const maxMessageBytes = 16 << 20

func (d *Daemon) callersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/service/{name}/{rest...}", d.entry)
	return mux
}

func (d *Daemon) controlHandler() http.Handler {
	access := &operator.Access{OperatorSHA256: d.settings.Operator, Book: d.book, Open: d.settings.Open}
	edge := operator.NewEdge(access, d.finder)
	limit := connect.WithReadMaxBytes(maxMessageBytes)
	mux := http.NewServeMux()
	mux.Handle(egretmuxv1connect.NewTaskServiceHandler(edge, connect.WithInterceptors(edge.Interceptor()), limit))
	mux.Handle(egretmuxv1connect.NewOperatorServiceHandler(edge, connect.WithInterceptors(edge.Interceptor()), limit))
	path, announce := egretmuxv1connect.NewAnnounceServiceHandler(d.relay, limit)
	mux.Handle(path, operator.RequireToken(d.settings.Announcer, announce))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", d.serveReady)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { telemetry.WriteMetrics(w) })
	return mux
}

// serveReady tells the platform's balancer whether to send requests here.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-d.draining:
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	default:
	}
	if !d.relay.Lease().Valid() {
		http.Error(w, "no lease", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (d *Daemon) cellHandler() http.Handler {
	mux := http.NewServeMux()
	if d.voter != nil {
		server := operator.NewServer(d.leader)
		mux.Handle(d.voter.Handler())
		mux.Handle(egretmuxv1connect.NewCellServiceHandler(&cellService{leader: d.leader}))
		mux.Handle(egretmuxv1connect.NewTaskServiceHandler(server))
		mux.Handle(egretmuxv1connect.NewOperatorServiceHandler(server))
	}
	return peer.RequireKey(d.settings.CellKey, mux)
}

// cellService serves the other instances' calls to the leader.
type cellService struct{ leader *leader.Leader }

func reply[A any](s *cellService, msg *A, err error) (*connect.Response[A], error) {
	if err != nil {
		return nil, refusalrpc.ErrorWithLeader(err, s.leader.Address())
	}
	return connect.NewResponse(msg), nil
}

// Report implements CellService.
func (s *cellService) Report(ctx context.Context, req *connect.Request[egretmuxv1.ReportRequest]) (*connect.Response[egretmuxv1.ReportResponse], error) {
	resp, err := s.leader.Report(ctx, req.Msg)
	return reply(s, resp, err)
}

// Watch implements CellService.
func (s *cellService) Watch(ctx context.Context, req *connect.Request[egretmuxv1.WatchRequest]) (*connect.Response[egretmuxv1.WatchResponse], error) {
	resp, err := s.leader.Watch(ctx, req.Msg)
	return reply(s, resp, err)
}

// BeginRequest implements CellService.
func (s *cellService) BeginRequest(ctx context.Context, req *connect.Request[egretmuxv1.BeginRequestRequest]) (*connect.Response[egretmuxv1.BeginRequestResponse], error) {
	record, run, conflict, err := s.leader.BeginRequest(ctx, req.Msg.GetRequest())
	return reply(s, &egretmuxv1.BeginRequestResponse{Record: record, Run: run, Conflict: conflict}, err)
}

// EndRequest implements CellService.
func (s *cellService) EndRequest(ctx context.Context, req *connect.Request[egretmuxv1.EndRequestRequest]) (*connect.Response[egretmuxv1.EndRequestResponse], error) {
	return reply(s, &egretmuxv1.EndRequestResponse{}, s.leader.EndRequest(ctx, req.Msg.GetRequest()))
}

// Leave implements CellService.
func (s *cellService) Leave(ctx context.Context, req *connect.Request[egretmuxv1.LeaveRequest]) (*connect.Response[egretmuxv1.LeaveResponse], error) {
	return reply(s, &egretmuxv1.LeaveResponse{}, s.leader.Leave(ctx, req.Msg))
}

// JoinReplica implements CellService.
func (s *cellService) JoinReplica(ctx context.Context, req *connect.Request[egretmuxv1.JoinReplicaRequest]) (*connect.Response[egretmuxv1.JoinReplicaResponse], error) {
	return reply(s, &egretmuxv1.JoinReplicaResponse{}, s.leader.JoinReplica(ctx, req.Msg))
}
