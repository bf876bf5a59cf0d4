package daemon

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/edge"
	"github.com/egretmux/egretmux/internal/leader"
	"github.com/egretmux/egretmux/internal/operator"
	"github.com/egretmux/egretmux/internal/peer"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// maxCellMessage bounds a message between instances, in bytes.
const maxCellMessage = 16 << 20

func (d *Daemon) callersHandler() http.Handler {
	body := edge.LimitBody(d.settings.MaxBodyBytes, http.HandlerFunc(d.serveCaller))
	return edge.CloseAfter(d.draining, d.limitRequests(body))
}

// servicePrefix is the path prefix of callers' requests.
const servicePrefix = "/service/"

// serveCaller passes a request to the entry. It uses no mux, because a mux would
// redirect paths with // or .., which belong to the service.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	path, found := strings.CutPrefix(r.URL.Path, servicePrefix)
	name, subpath, _ := strings.Cut(path, "/")
	if !found || name == "" {
		edge.Refuse(w, r, refusal.New(refusal.NoService, "use /service/NAME/...", "no service has the path %.200q", r.URL.Path))
		return
	}
	r.SetPathValue("name", name)
	r.SetPathValue("rest", subpath)
	d.entry.ServeHTTP(w, r)
}

// limitRequests applies the limits of header size and body time, which hold for
// the requests of every client.
func (d *Daemon) limitRequests(next http.Handler) http.Handler {
	return edge.LimitHeader(d.settings.MaxHeaderBytes, edge.LimitBodyTime(d.settings.BodyTimeout, next))
}

func (d *Daemon) controlHandler() http.Handler {
	s := d.settings
	forwarder := operator.NewForwarder(operator.ForwarderConfig{
		Instance: s.Instance, Leader: d.leaderClient, MaxMembers: s.MaxMembers, Logger: d.logger,
		Access: &operator.Access{OperatorSHA256: s.OperatorSHA256, Book: d.contracts, Lease: d.relay.Lease(), Open: s.AcceptUnauthenticated},
	})
	interceptors := connect.WithInterceptors(forwarder.Interceptor())
	readLimit := connect.WithReadMaxBytes(s.MaxMessageBytes)
	apis := http.NewServeMux()
	taskPath, taskHandler := egretmuxv1connect.NewTaskServiceHandler(forwarder, interceptors, readLimit)
	apis.Handle(taskPath, taskHandler)
	operatorPath, operatorHandler := egretmuxv1connect.NewOperatorServiceHandler(forwarder, interceptors, readLimit)
	apis.Handle(operatorPath, operatorHandler)
	limitedAPIs := edge.LimitInFlight(s.MaxControlCalls, edge.LimitMessage(s.MaxMessageBytes, apis))
	mux := http.NewServeMux()
	mux.Handle(taskPath, limitedAPIs)
	mux.Handle(operatorPath, limitedAPIs)
	announcePath, announceHandler := egretmuxv1connect.NewAnnounceServiceHandler(d.relay, readLimit, withoutCompression())
	mux.Handle(announcePath, operator.RequireToken(s.AcceptUnauthenticated, []string{s.AnnouncerSHA256}, edge.LimitMessage(s.MaxMessageBytes, announceHandler)))
	mux.HandleFunc("GET /healthz", d.serveHealth)
	mux.HandleFunc("GET /readyz", d.serveReady)
	mux.Handle("GET /metrics", operator.RequireToken(s.AcceptUnauthenticated, []string{s.OperatorSHA256, s.MetricsSHA256}, http.HandlerFunc(serveMetrics)))
	return telemetry.CountMessages("control", d.limitRequests(mux))
}

// withoutCompression disables compression of a handler whose responses are short:
// each active compressor takes about 1 MB.
func withoutCompression() connect.HandlerOption { return connect.WithCompression("gzip", nil, nil) }

func serveMetrics(w http.ResponseWriter, _ *http.Request) { telemetry.WriteMetrics(w) }

// serveHealth is the liveness check. Its text says what the instance waits
// for, if anything.
func (d *Daemon) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintln(w, "ok: "+d.condition())
}

// serveReady is the readiness check of the platform's load balancer.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	condition := d.condition()
	if condition != conditionReady {
		http.Error(w, condition, http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, condition)
}

// Conditions of an instance, as /healthz and /readyz report them.
const (
	conditionReady       = "ready"
	conditionDraining    = "draining: the instance shuts down"
	conditionForming     = "no lease: this voter waits for the other voters to form the cell; compare [cell] voters and key_file on all of them"
	conditionNoLeaderYet = "no lease: no leader was heard since the start; the instance has no contracts"
	conditionLeaseLost   = "no lease: the leader is not heard any more"
)

func (d *Daemon) condition() string {
	select {
	case <-d.draining:
		return conditionDraining
	default:
	}
	if d.relay.Lease().Valid() {
		return conditionReady
	}
	if d.voter != nil && d.leader.Replica() == nil {
		return conditionForming
	}
	select {
	case <-d.relay.Ready():
		return conditionLeaseLost
	default:
		return conditionNoLeaderYet
	}
}

func (d *Daemon) cellHandler() http.Handler {
	options := connect.WithHandlerOptions(connect.WithReadMaxBytes(maxCellMessage), withoutCompression())
	mux := http.NewServeMux()
	if d.voter != nil {
		server := operator.NewServer(d.leader)
		mux.Handle(d.voter.Handler())
		mux.Handle(egretmuxv1connect.NewCellServiceHandler(&cellService{leader: d.leader}, options))
		mux.Handle(egretmuxv1connect.NewTaskServiceHandler(server, options))
		mux.Handle(egretmuxv1connect.NewOperatorServiceHandler(server, options))
	}
	return telemetry.CountMessages("cell", peer.RequireKey(d.settings.CellKey, mux))
}

// cellService serves other instances' calls to the leader.
type cellService struct{ leader *leader.Leader }

func respond[Resp any](s *cellService, msg *Resp, err error) (*connect.Response[Resp], error) {
	if err != nil {
		return nil, refusalrpc.ErrorWithLeader(err, s.leader.Address())
	}
	return connect.NewResponse(msg), nil
}

// Report implements CellService.
func (s *cellService) Report(ctx context.Context, req *connect.Request[egretmuxv1.ReportRequest]) (*connect.Response[egretmuxv1.ReportResponse], error) {
	resp, err := s.leader.Report(ctx, req.Msg)
	return respond(s, resp, err)
}

// Watch implements CellService.
func (s *cellService) Watch(ctx context.Context, req *connect.Request[egretmuxv1.WatchRequest]) (*connect.Response[egretmuxv1.WatchResponse], error) {
	resp, err := s.leader.Watch(ctx, req.Msg)
	return respond(s, resp, err)
}

// BeginRequest implements CellService.
func (s *cellService) BeginRequest(ctx context.Context, req *connect.Request[egretmuxv1.BeginRequestRequest]) (*connect.Response[egretmuxv1.BeginRequestResponse], error) {
	record, run, conflict, err := s.leader.BeginRequest(ctx, req.Msg.GetRequest())
	return respond(s, &egretmuxv1.BeginRequestResponse{Record: record, Run: run, Conflict: conflict}, err)
}

// EndRequest implements CellService.
func (s *cellService) EndRequest(ctx context.Context, req *connect.Request[egretmuxv1.EndRequestRequest]) (*connect.Response[egretmuxv1.EndRequestResponse], error) {
	return respond(s, &egretmuxv1.EndRequestResponse{}, s.leader.EndRequest(ctx, req.Msg.GetRequest()))
}

// Leave implements CellService.
func (s *cellService) Leave(ctx context.Context, req *connect.Request[egretmuxv1.LeaveRequest]) (*connect.Response[egretmuxv1.LeaveResponse], error) {
	return respond(s, &egretmuxv1.LeaveResponse{}, s.leader.Leave(ctx, req.Msg))
}

// JoinReplica implements CellService.
func (s *cellService) JoinReplica(ctx context.Context, req *connect.Request[egretmuxv1.JoinReplicaRequest]) (*connect.Response[egretmuxv1.JoinReplicaResponse], error) {
	return respond(s, &egretmuxv1.JoinReplicaResponse{}, s.leader.JoinReplica(ctx, req.Msg))
}
