package relay

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
	"github.com/egretmux/egretmux/internal/telemetry"
)

const (
	endpointInterval = 500 * time.Millisecond // how often endpoints announce themselves
	silenceCheck     = 100 * time.Millisecond // how often their silence is looked for
	defaultSilent    = 1500 * time.Millisecond
	maxAnnouncements = 4096 // reports of workers that wait for the leader
)

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

func answerAll(waiting []announcement, resp *egretmuxv1.ReportResponse) {
	replies := make(map[string]*egretmuxv1.WorkerReply, len(resp.GetWorkers()))
	for _, w := range resp.GetWorkers() {
		replies[w.GetWorker()] = w
	}
	for _, a := range waiting {
		a.answer <- announceAnswer{reply: replies[a.report.GetWorker()], leaseMs: resp.GetWorkerLeaseMs()}
	}
}

// AnnounceWorker hands a worker's report to the leader and returns its answer.
func (r *Relay) AnnounceWorker(ctx context.Context, req *connect.Request[egretmuxv1.AnnounceWorkerRequest]) (*connect.Response[egretmuxv1.AnnounceWorkerResponse], error) {
	report := req.Msg.GetReport()
	if report.GetWorker() == "" {
		return nil, refusalrpc.Error(refusal.New(refusal.Invalid, "set report.worker", "the report names no worker"))
	}
	a := announcement{report: report, answer: make(chan announceAnswer, 1)}
	if !r.enqueue(a) {
		return nil, refusalrpc.Error(refusal.New(refusal.QueueFull, "announce through another instance", "%d reports of workers wait for the leader", maxAnnouncements).After(endpointInterval))
	}
	if report.GetRegister() != nil || len(report.GetAttempts()) > 0 || report.GetLeaving() {
		r.Wake()
	} else {
		signal(r.heartbeat)
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case out := <-a.answer:
		if out.err != nil {
			return nil, refusalrpc.Error(out.err)
		}
		return connect.NewResponse(&egretmuxv1.AnnounceWorkerResponse{
			Epoch: out.reply.GetEpoch(), LeaseMs: out.leaseMs, NeedFull: out.reply.GetNeedFull(),
			Register: out.reply.GetRegister(), StopAttempts: out.reply.GetStopAttempts(),
		}), nil
	}
}

// enqueue adds an announcement to the next report unless too many wait.
func (r *Relay) enqueue(a announcement) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.workers) >= maxAnnouncements {
		telemetry.Count("relay_announcements_refused_total")
		return false
	}
	r.workers = append(r.workers, a)
	return true
}

// AnnounceEndpoint notes an endpoint's report. Only a change goes on to the leader.
func (r *Relay) AnnounceEndpoint(_ context.Context, req *connect.Request[egretmuxv1.AnnounceEndpointRequest]) (*connect.Response[egretmuxv1.AnnounceEndpointResponse], error) {
	e := req.Msg.GetReport()
	if e.GetId() == "" || e.GetService() == "" || e.GetAddress() == "" || e.GetSlots() <= 0 {
		return nil, refusalrpc.Error(refusal.New(refusal.Invalid, "set id, service, address and slots", "the report is incomplete"))
	}
	r.mu.Lock()
	changed := r.endpoints.announce(e, time.Now())
	r.mu.Unlock()
	if changed {
		r.Wake()
	}
	return connect.NewResponse(&egretmuxv1.AnnounceEndpointResponse{IntervalMs: endpointInterval.Milliseconds()}), nil
}

// runSilence looks for endpoints that have stopped announcing themselves.
func (r *Relay) runSilence(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, silenceCheck, nil)
		r.mu.Lock()
		found := r.endpoints.expire(time.Now())
		r.mu.Unlock()
		if found {
			r.Wake()
		}
	}
}

// attachedEndpoints are the endpoints that announce themselves here, and what
// the leader has yet to hear of them.
type attachedEndpoints struct {
	limit   time.Duration
	byID    map[string]*attachedEndpoint
	changed map[string]bool
	busy    map[string]bool // changed in the slots in use alone
	silent  map[string]bool
}

type attachedEndpoint struct {
	report *egretmuxv1.EndpointReport
	heard  time.Time
}

func newAttachedEndpoints(limit time.Duration) attachedEndpoints {
	if limit <= 0 {
		limit = defaultSilent
	}
	return attachedEndpoints{
		limit: limit, byID: make(map[string]*attachedEndpoint), changed: make(map[string]bool), busy: make(map[string]bool), silent: make(map[string]bool),
	}
}

// announce takes in a report and returns whether the leader must hear of it.
// A late report of an earlier start of the endpoint counts for nothing.
func (a *attachedEndpoints) announce(e *egretmuxv1.EndpointReport, now time.Time) bool {
	old := a.byID[e.GetId()]
	if old != nil && e.GetEpoch() < old.report.GetEpoch() {
		return false
	}
	if old != nil && sameEndpoint(old.report, e) {
		if old.report.GetBusy() != e.GetBusy() {
			a.busy[e.GetId()] = true
		}
		old.report, old.heard = e, now
		return false
	}
	a.byID[e.GetId()] = &attachedEndpoint{report: e, heard: now}
	a.changed[e.GetId()] = true
	delete(a.silent, e.GetId())
	return true
}

// sameEndpoint reports whether two reports differ in the slots in use at most.
func sameEndpoint(a, b *egretmuxv1.EndpointReport) bool {
	if a.GetBusy() == b.GetBusy() {
		return proto.Equal(a, b)
	}
	a = proto.Clone(a).(*egretmuxv1.EndpointReport)
	a.Busy = b.GetBusy()
	return proto.Equal(a, b)
}

// expire drops the endpoints that have been silent for too long.
func (a *attachedEndpoints) expire(now time.Time) bool {
	found := false
	for id, e := range a.byID {
		if now.Sub(e.heard) > a.limit {
			delete(a.byID, id)
			delete(a.changed, id)
			delete(a.busy, id)
			a.silent[id] = true
			found = true
		}
	}
	return found
}

// collect returns what the leader has yet to hear; with full set, every
// endpoint attached, which tells the leader by omission which ones are not.
// Changes of the slots in use go along only with busy set.
func (a *attachedEndpoints) collect(full, busy bool) (reports []*egretmuxv1.EndpointReport, silent []string) {
	for id, e := range a.byID {
		if full || a.changed[id] || busy && a.busy[id] {
			reports = append(reports, e.report)
		}
	}
	if !full {
		for id := range a.silent {
			silent = append(silent, id)
		}
	}
	clear(a.changed)
	clear(a.busy)
	clear(a.silent)
	return reports, silent
}
