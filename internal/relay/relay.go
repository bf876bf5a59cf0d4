package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/peer"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Times of the exchange with the leader.
const (
	reportPeriod    = 500 * time.Millisecond
	changeGather    = 10 * time.Millisecond  // changes that arrive together share a report
	heartbeatGather = 250 * time.Millisecond // as do heartbeats, which can wait longer
	reportTimeout   = 2 * time.Second
	watchTimeout    = 10 * time.Second
	retryPause      = 50 * time.Millisecond
	leaveTimeout    = 3 * time.Second
	busyReported    = time.Minute // a new leader needs the slots in use until all requests of its predecessor have ended
)

// Caller finds the leader and calls it, again while the outcome is unknown.
type Caller interface {
	Call(ctx context.Context, f func(context.Context, *peer.Clients) error) error
}

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
	Instance       *egretmuxv1.Instance
	Leader         Caller
	Book           *contract.Book
	Endpoints      Endpoints
	Commands       *Commander
	EndpointSilent time.Duration // silence after which an endpoint is reported as silent
	Logger         zerolog.Logger
}

// Relay exchanges reports and news with the leader.
type Relay struct {
	cfg       Config
	lease     *Lease
	urgent    chan struct{} // something changed
	heartbeat chan struct{} // a worker waits for an answer

	mu          sync.Mutex
	incarnation uint64
	term        uint64 // of the newest leader heard; older ones change no grants
	adopted     time.Time
	workers     []announcement
	endpoints   attachedEndpoints
	full        bool // the next report must be complete
	sequence    uint64
	hadLease    bool
	confirmed   chan struct{} // closed after the first lease
}

// New returns a Relay without a lease.
func New(cfg Config) *Relay {
	return &Relay{
		cfg: cfg, lease: NewLease(), incarnation: newIncarnation(),
		urgent: make(chan struct{}, 1), heartbeat: make(chan struct{}, 1),
		endpoints: newAttachedEndpoints(cfg.EndpointSilent), full: true, confirmed: make(chan struct{}),
	}
}

// newIncarnation returns a number greater than those of processes started
// before, as far as the machine's clock tells.
func newIncarnation() uint64 {
	const randomBits = 16
	return uint64(time.Now().UnixMilli())<<randomBits | uint64(rand.N(1<<randomBits))
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
	loops.Go(func() { r.runSilence(ctx) })
	loops.Wait()
}

// Wake makes the next report go out at once.
func (r *Relay) Wake() { signal(r.urgent) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (r *Relay) runReports(ctx context.Context) {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	for ctx.Err() == nil {
		r.report(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-r.urgent:
			pause(ctx, changeGather, nil)
		case <-r.heartbeat:
			if pause(ctx, heartbeatGather, r.urgent) {
				pause(ctx, changeGather, nil)
			}
		}
	}
}

// pause waits for the time or the signal; it returns whether the signal came.
func pause(ctx context.Context, d time.Duration, sign <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-sign:
		return true
	}
	return false
}

// report sends one report and takes in the answer.
func (r *Relay) report(ctx context.Context) {
	req, waiting := r.collect()
	telemetry.Count("relay_reports_total")
	telemetry.Add("relay_report_bytes_total", proto.Size(req))
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
	if err == nil {
		err = r.takeResponse(req, resp, sent)
	}
	if err != nil {
		r.reportFailed(waiting, err)
		return
	}
	answerAll(waiting, resp)
}

// collect builds a report. What it says about grants is true under every
// leader of the report's term and later ones: older leaders change no grants
// after the term was taken up.
func (r *Relay) collect() (*egretmuxv1.ReportRequest, []announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	req := &egretmuxv1.ReportRequest{
		Instance: r.cfg.Instance, Incarnation: r.incarnation, Sequence: r.sequence, Term: r.term,
		ContractVersion: r.cfg.Book.Version(), Full: r.full, Holdings: r.cfg.Endpoints.Holdings(r.full),
	}
	req.Endpoints, req.SilentEndpoints = r.endpoints.collect(r.full, time.Since(r.adopted) < busyReported)
	waiting := r.workers
	r.workers = nil
	for _, a := range waiting {
		req.Workers = append(req.Workers, a.report)
	}
	r.full = false
	return req, waiting
}

// reportFailed makes the next report complete, since the leader may not have
// heard this one.
func (r *Relay) reportFailed(waiting []announcement, err error) {
	r.mu.Lock()
	r.full = true
	r.mu.Unlock()
	for _, a := range waiting {
		a.answer <- announceAnswer{err: err}
	}
	telemetry.Count("relay_reports_failed_total")
	r.cfg.Logger.Debug().Err(err).Str("event", "report_failed").Msg("")
}

// takeResponse renews the lease, counted from before the request was sent. An
// instance that lacks the newest contracts is not renewed until it has them.
func (r *Relay) takeResponse(req *egretmuxv1.ReportRequest, resp *egretmuxv1.ReportResponse, sent time.Time) error {
	if newer := resp.GetSupersededBy(); newer != 0 {
		return r.superseded(newer)
	}
	if !r.adopt(resp.GetTerm()) {
		return refusal.New(refusal.NoLeader, "the report is repeated by itself", "the answer came from the leader of an older term")
	}
	if resp.GetNeedFull() {
		r.mu.Lock()
		r.full = true
		r.mu.Unlock()
		r.Wake()
	}
	if resp.GetEntryLeaseMs() == 0 || r.cfg.Book.Version() < resp.GetContractVersion() {
		return nil
	}
	r.lease.Extend(sent.Add(time.Duration(resp.GetEntryLeaseMs()) * time.Millisecond))
	r.noteLease()
	if req.GetContractVersion() < r.cfg.Book.Version() {
		r.Wake() // tells the leader of the version that came into force meanwhile
	}
	return nil
}

func (r *Relay) noteLease() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hadLease {
		r.hadLease = true
		close(r.confirmed)
	}
}

// adopt takes up the leader of a term. It returns false for an older one.
func (r *Relay) adopt(term uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if term > r.term {
		r.term = term
		r.adopted = time.Now()
		r.full = true
		r.Wake()
	}
	return term == r.term
}

// superseded handles the word that a process with a greater number has the
// instance's name. A process that has not served yet takes a number above it,
// since a clock that was set back may have given it too small a one.
func (r *Relay) superseded(newer uint64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hadLease {
		r.incarnation = newer + 1
		r.Wake()
	}
	r.cfg.Logger.Error().Str("event", "instance_superseded").Bool("gives_up", r.hadLease).Msg("another process has joined under this instance's id")
	return refusal.New(refusal.NoLease, "give each instance an id of its own", "another process has joined as instance %s", r.cfg.Instance.GetId())
}

// Leave tells the leader that this instance has stopped serving.
func (r *Relay) Leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	r.mu.Lock()
	req := &egretmuxv1.LeaveRequest{Instance: r.cfg.Instance.GetId(), Incarnation: r.incarnation}
	r.mu.Unlock()
	return r.cfg.Leader.Call(ctx, func(ctx context.Context, c *peer.Clients) error {
		_, err := c.Cell.Leave(ctx, connect.NewRequest(req))
		return err
	})
}
