package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/peer"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
)

// Times of the exchange with the leader.
const (
	reportPeriod  = 500 * time.Millisecond
	gatherTime    = 10 * time.Millisecond // announcements that arrive together share a report
	reportTimeout = 2 * time.Second
	watchTimeout  = 10 * time.Second
	retryPause    = 50 * time.Millisecond
	leaveTimeout  = 3 * time.Second
)

// Endpoints is what the instance does with endpoint grants.
type Endpoints interface {
	// Update takes in changed endpoints and grants.
	Update(states []*egretmuxv1.EndpointState)
	// Holdings returns what this instance holds; only what changed since the
	// last call, unless full is set.
	Holdings(full bool) []*egretmuxv1.GrantHolding
}

// Config holds the parts of a Relay.
type Config struct {
	Instance  *egretmuxv1.Instance
	Leader    *peer.Leader
	Book      *contract.Book
	Endpoints Endpoints
	Commands  *Commander
	Logger    zerolog.Logger
}

// Relay exchanges reports and news with the leader.
type Relay struct {
	cfg         Config
	lease       *Lease
	incarnation uint64
	wake        chan struct{}

	mu        sync.Mutex
	workers   []announcement
	endpoints map[string]*egretmuxv1.EndpointReport
	full      bool // the next report must be complete
	leaving   bool
	sequence  uint64
	confirmed chan struct{} // closed after the first lease
	onceReady sync.Once
}

// announcement is a worker's report that waits for the leader's answer.
type announcement struct {
	report *egretmuxv1.WorkerReport
	answer chan announceAnswer
}

type announceAnswer struct {
	reply   *egretmuxv1.WorkerReply
	leaseMs int64
	err     error
}

// New returns a Relay without a lease.
func New(cfg Config) *Relay {
	return &Relay{
		cfg: cfg, lease: NewLease(), incarnation: rand.Uint64() | 1,
		wake: make(chan struct{}, 1), endpoints: make(map[string]*egretmuxv1.EndpointReport),
		full: true, confirmed: make(chan struct{}),
	}
}

// Lease returns the instance's lease.
func (r *Relay) Lease() *Lease { return r.lease }

// Ready is closed once the instance has had a lease.
func (r *Relay) Ready() <-chan struct{} { return r.confirmed }

// Run exchanges reports and news until the context ends.
func (r *Relay) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { r.runReports(ctx) })
	loops.Go(func() { r.runWatch(ctx) })
	loops.Wait()
}

// Wake makes the next report go out at once.
func (r *Relay) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Relay) runReports(ctx context.Context) {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	for {
		r.report(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.wake:
			select {
			case <-ctx.Done():
				return
			case <-time.After(gatherTime):
			}
		}
	}
}

// report sends one report and takes in the answer.
func (r *Relay) report(ctx context.Context) {
	req, waiting := r.collect()
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var resp *egretmuxv1.ReportResponse
	err := r.cfg.Leader.Call(ctx, func(ctx context.Context, c *peer.Clients) error {
		out, err := c.Cell.Report(ctx, connect.NewRequest(req))
		if err == nil {
			resp = out.Msg
		}
		return err
	})
	if err != nil {
		r.reportFailed(req, waiting, err)
		return
	}
	r.takeResponse(req, resp, sent)
	answerAll(waiting, resp)
}

func (r *Relay) collect() (*egretmuxv1.ReportRequest, []announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	req := &egretmuxv1.ReportRequest{
		Instance: r.cfg.Instance, Incarnation: r.incarnation, Sequence: r.sequence,
		ContractVersion: r.cfg.Book.Version(), Full: r.full, Leaving: r.leaving,
		Holdings: r.cfg.Endpoints.Holdings(r.full),
	}
	waiting := r.workers
	r.workers = nil
	for _, a := range waiting {
		req.Workers = append(req.Workers, a.report)
	}
	for _, e := range r.endpoints {
		req.Endpoints = append(req.Endpoints, e)
	}
	r.endpoints = make(map[string]*egretmuxv1.EndpointReport)
	r.full = false
	return req, waiting
}

// reportFailed keeps what the leader did not hear for the next report.
func (r *Relay) reportFailed(req *egretmuxv1.ReportRequest, waiting []announcement, err error) {
	r.mu.Lock()
	r.full = true
	for _, e := range req.GetEndpoints() {
		if r.endpoints[e.GetId()] == nil {
			r.endpoints[e.GetId()] = e
		}
	}
	r.mu.Unlock()
	for _, a := range waiting {
		a.answer <- announceAnswer{err: err}
	}
	r.cfg.Logger.Debug().Err(err).Str("event", "report_failed").Msg("")
}

// takeResponse renews the lease, counted from before the request was sent. An
// instance that lacks the newest contracts is not renewed until it has them.
func (r *Relay) takeResponse(req *egretmuxv1.ReportRequest, resp *egretmuxv1.ReportResponse, sent time.Time) {
	if resp.GetNeedFull() {
		r.mu.Lock()
		r.full = true
		r.mu.Unlock()
		r.Wake()
	}
	if r.cfg.Book.Version() < resp.GetContractVersion() {
		return
	}
	r.lease.Extend(sent.Add(time.Duration(resp.GetEntryLeaseMs()) * time.Millisecond))
	r.onceReady.Do(func() { close(r.confirmed) })
	if req.GetContractVersion() < r.cfg.Book.Version() {
		r.Wake() // tells the leader of the version that came into force meanwhile
	}
}

func answerAll(waiting []announcement, resp *egretmuxv1.ReportResponse) {
	replies := make(map[string]*egretmuxv1.WorkerReply, len(resp.GetWorkers()))
	for _, w := range resp.GetWorkers() {
		replies[w.GetWorker()] = w
	}
	for _, a := range waiting {
		a.answer <- announceAnswer{reply: replies[a.report.GetWorker()], leaseMs: resp.GetWorkerLeaseMs()}
	}
}

func (r *Relay) runWatch(ctx context.Context) {
	req := &egretmuxv1.WatchRequest{Instance: r.cfg.Instance.GetId(), Incarnation: r.incarnation}
	for ctx.Err() == nil {
		req.ContractVersion = r.cfg.Book.Version()
		resp, err := r.watch(ctx, req)
		if err != nil {
			r.Wake() // a report opens the session that a watch needs
			select {
			case <-ctx.Done():
			case <-time.After(retryPause):
			}
			continue
		}
		r.cfg.Book.Apply(resp.GetContractVersion(), resp.GetContracts())
		if resp.GetContractVersion() > req.GetContractVersion() {
			r.cfg.Logger.Info().Str("event", "contracts_in_force").Uint64("cell_version", r.cfg.Book.Version()).Msg("")
			r.Wake()
		}
		if len(resp.GetEndpoints()) > 0 {
			r.cfg.Endpoints.Update(resp.GetEndpoints())
			r.Wake() // confirms the grants
		}
		r.cfg.Commands.Run(resp.GetCommands())
		req.Term = resp.GetTerm()
		req.EndpointVersion = resp.GetEndpointVersion()
		req.CommandSequence = resp.GetCommandSequence()
	}
}

func (r *Relay) watch(ctx context.Context, req *egretmuxv1.WatchRequest) (*egretmuxv1.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	var resp *egretmuxv1.WatchResponse
	err := r.cfg.Leader.Call(ctx, func(ctx context.Context, c *peer.Clients) error {
		out, err := c.Cell.Watch(ctx, connect.NewRequest(req))
		if err == nil {
			resp = out.Msg
		}
		return err
	})
	return resp, err
}

// Leave tells the leader that this instance has stopped serving.
func (r *Relay) Leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	return r.cfg.Leader.Call(ctx, func(ctx context.Context, c *peer.Clients) error {
		_, err := c.Cell.Leave(ctx, connect.NewRequest(&egretmuxv1.LeaveRequest{
			Instance: r.cfg.Instance.GetId(), Incarnation: r.incarnation,
		}))
		return err
	})
}

// AnnounceWorker hands a worker's report to the leader and returns its answer.
func (r *Relay) AnnounceWorker(ctx context.Context, req *connect.Request[egretmuxv1.AnnounceWorkerRequest]) (*connect.Response[egretmuxv1.AnnounceWorkerResponse], error) {
	if req.Msg.GetReport().GetWorker() == "" {
		return nil, refusalrpc.Error(refusal.New(refusal.Invalid, "set report.worker", "the report names no worker"))
	}
	a := announcement{report: req.Msg.GetReport(), answer: make(chan announceAnswer, 1)}
	r.mu.Lock()
	r.workers = append(r.workers, a)
	r.mu.Unlock()
	r.Wake()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case out := <-a.answer:
		if out.err != nil {
			return nil, refusalrpc.Error(out.err)
		}
		return connect.NewResponse(&egretmuxv1.AnnounceWorkerResponse{
			Epoch: out.reply.GetEpoch(), LeaseMs: out.leaseMs,
			Register: out.reply.GetRegister(), StopAttempts: out.reply.GetStopAttempts(),
		}), nil
	}
}

// endpointInterval is how often endpoints announce themselves.
const endpointInterval = 500 * time.Millisecond

// AnnounceEndpoint notes an endpoint's report for the next report.
func (r *Relay) AnnounceEndpoint(_ context.Context, req *connect.Request[egretmuxv1.AnnounceEndpointRequest]) (*connect.Response[egretmuxv1.AnnounceEndpointResponse], error) {
	e := req.Msg.GetReport()
	if e.GetId() == "" || e.GetService() == "" || e.GetAddress() == "" || e.GetSlots() <= 0 {
		return nil, refusalrpc.Error(refusal.New(refusal.Invalid, "set id, service, address and slots", "the report is incomplete"))
	}
	r.mu.Lock()
	r.endpoints[e.GetId()] = e
	r.mu.Unlock()
	r.Wake()
	return connect.NewResponse(&egretmuxv1.AnnounceEndpointResponse{IntervalMs: endpointInterval.Milliseconds()}), nil
}
