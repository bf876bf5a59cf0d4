// Package relay is an instance's agent towards the leader: it reports the
// announcements of workers and endpoints, renews the instance's lease, applies
// contracts and endpoint grants, and forwards commands to workers. It passes on no
// clients' requests.
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
	"github.com/egretmux/egretmux/internal/clock"
	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/peer"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Timing of the exchange with the leader.
const (
	reportPeriod        = 500 * time.Millisecond
	changeBatchDelay    = 10 * time.Millisecond  // changes within this time share a report
	heartbeatBatchDelay = 250 * time.Millisecond // likewise for heartbeats, which can wait longer
	reportTimeout       = 2 * time.Second
	watchTimeout        = 10 * time.Second
	watchRetryDelay     = 50 * time.Millisecond
	leaveTimeout        = 3 * time.Second
	// busyReportTime is the time after a change of leader for which slots in use are
	// reported. The new leader needs them until all requests under the former one
	// have ended.
	busyReportTime = time.Minute
)

// Caller finds the leader and calls it, with retries while the outcome is unknown.
type Caller interface {
	Call(ctx context.Context, f func(context.Context, *peer.Clients) error) error
}

// Endpoints applies endpoint grants in this instance.
type Endpoints interface {
	// Update applies changed endpoints and grants.
	Update(states []*egretmuxv1.EndpointState)
	// Holdings returns the grants that this instance holds: those that changed
	// since the last call, or all if full is set.
	Holdings(full bool) []*egretmuxv1.GrantHolding
}

// Config holds the parts of a Relay.
type Config struct {
	Instance               *egretmuxv1.Instance
	Leader                 Caller
	Contracts              *contract.Book
	Endpoints              Endpoints
	Commands               *Commander
	EndpointSilenceTimeout time.Duration // time without an announcement after which an endpoint is reported as silent
	Clock                  clock.Clock   // by which the lease expires; nil: clock.New
	Logger                 zerolog.Logger
}

// Relay is an instance's agent towards the leader: it sends reports and watches for
// updates.
type Relay struct {
	cfg              Config
	lease            *Lease
	reportRequested  chan struct{} // a report is due before the period ends
	heartbeatPending chan struct{} // a worker's heartbeat is to be reported

	mu                   sync.Mutex
	incarnation          uint64
	term                 uint64 // term of the newest known leader; leaders of older terms change no grants
	termAdoptedAt        time.Time
	pendingAnnouncements []announcement
	endpoints            attachedEndpoints
	nextFull             bool // the next report must be a full one
	sequence             uint64
	hadLease             bool
	firstLease           chan struct{} // closed once a lease was granted
}

// New returns a Relay with an expired lease.
func New(cfg Config) *Relay {
	return &Relay{
		cfg: cfg, lease: NewLease(cfg.Clock), incarnation: newIncarnation(),
		reportRequested: make(chan struct{}, 1), heartbeatPending: make(chan struct{}, 1),
		endpoints: newAttachedEndpoints(cfg.EndpointSilenceTimeout), nextFull: true, firstLease: make(chan struct{}),
	}
}

// newIncarnation returns a number greater than those of processes that started
// earlier by the machine's clock.
func newIncarnation() uint64 {
	const randomBits = 16
	return uint64(time.Now().UnixMilli())<<randomBits | uint64(rand.N(1<<randomBits))
}

// Lease returns the instance's lease.
func (r *Relay) Lease() *Lease { return r.lease }

// Ready returns a channel that is closed once the instance has had a lease.
func (r *Relay) Ready() <-chan struct{} { return r.firstLease }

// Run sends reports and watches for updates until the context ends.
func (r *Relay) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { r.runReports(ctx) })
	loops.Go(func() { r.runWatch(ctx) })
	loops.Go(func() { r.runSilenceChecks(ctx) })
	loops.Wait()
}

// RequestReport triggers the next report without waiting for the period.
func (r *Relay) RequestReport() { signal(r.reportRequested) }

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
		r.sendReport(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-r.reportRequested:
			pause(ctx, changeBatchDelay, nil)
		case <-r.heartbeatPending:
			if pause(ctx, heartbeatBatchDelay, r.reportRequested) { // a change ends the wait for further heartbeats
				pause(ctx, changeBatchDelay, nil)
			}
		}
	}
}

// pause waits for the duration or the interrupt, and reports whether the latter came.
func pause(ctx context.Context, d time.Duration, interrupt <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-interrupt:
		return true
	}
	return false
}

// sendReport sends one report and applies the response.
func (r *Relay) sendReport(ctx context.Context) {
	req, announcements := r.buildReport()
	telemetry.Count("relay_reports_total")
	telemetry.Add("relay_report_bytes_total", proto.Size(req))
	sent := r.lease.Now()
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
		err = r.applyReportResponse(req, resp, sent)
	}
	if err != nil {
		r.handleReportFailure(announcements, err)
		return
	}
	answerAnnouncements(announcements, resp)
}

// buildReport builds the next report. Its holdings are valid for the leaders of the
// report's term and of later ones, since leaders of older terms can no longer change
// grants once the term is adopted.
func (r *Relay) buildReport() (*egretmuxv1.ReportRequest, []announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	req := &egretmuxv1.ReportRequest{
		Instance: r.cfg.Instance, Incarnation: r.incarnation, Sequence: r.sequence, Term: r.term,
		ContractVersion: r.cfg.Contracts.Version(), Full: r.nextFull, Holdings: r.cfg.Endpoints.Holdings(r.nextFull),
	}
	req.Endpoints, req.SilentEndpoints = r.endpoints.drainChanges(r.nextFull, time.Since(r.termAdoptedAt) < busyReportTime)
	announcements := r.pendingAnnouncements
	r.pendingAnnouncements = nil
	for _, a := range announcements {
		req.Workers = append(req.Workers, a.report)
	}
	r.nextFull = false
	return req, announcements
}

// handleReportFailure makes the next report a full one, since the leader may not have
// received this one.
func (r *Relay) handleReportFailure(announcements []announcement, err error) {
	r.mu.Lock()
	r.nextFull = true
	r.mu.Unlock()
	for _, a := range announcements {
		a.answer <- announceAnswer{err: err}
	}
	telemetry.Count("relay_reports_failed_total")
	r.cfg.Logger.Debug().Err(err).Str("event", "report_failed").Msg("")
}

// applyReportResponse renews the lease, counted from before the request was sent. The
// lease is not renewed while this instance lacks the newest contracts.
func (r *Relay) applyReportResponse(req *egretmuxv1.ReportRequest, resp *egretmuxv1.ReportResponse, sent time.Duration) error {
	if newerIncarnation := resp.GetSupersededBy(); newerIncarnation != 0 {
		return r.handleSuperseded(newerIncarnation)
	}
	if !r.adoptTerm(resp.GetTerm()) {
		return refusal.New(refusal.NoLeader, "the report is repeated by itself", "the answer came from the leader of an older term")
	}
	if resp.GetNeedFull() {
		r.mu.Lock()
		r.nextFull = true
		r.mu.Unlock()
		r.RequestReport()
	}
	if resp.GetEntryLeaseMs() == 0 || r.cfg.Contracts.Version() < resp.GetContractVersion() {
		return nil
	}
	r.lease.Extend(sent + time.Duration(resp.GetEntryLeaseMs())*time.Millisecond)
	r.markLeased()
	if req.GetContractVersion() < r.cfg.Contracts.Version() {
		r.RequestReport() // reports the contract version applied in the meantime
	}
	return nil
}

// markLeased closes firstLease at the first lease.
func (r *Relay) markLeased() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hadLease {
		r.hadLease = true
		close(r.firstLease)
	}
}

// adoptTerm switches to a newer term. It returns false if the term is older than the
// current one.
func (r *Relay) adoptTerm(term uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if term > r.term {
		r.term = term
		r.termAdoptedAt = time.Now()
		r.nextFull = true
		r.RequestReport()
	}
	return term == r.term
}

// handleSuperseded handles the case that a process with a greater incarnation has
// joined under this instance's id. A process that has not served yet raises its own
// incarnation above that one, since its own may be too small if the clock was set
// back.
func (r *Relay) handleSuperseded(newerIncarnation uint64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hadLease {
		r.incarnation = newerIncarnation + 1
		r.RequestReport()
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
