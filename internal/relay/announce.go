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
	announceInterval        = 500 * time.Millisecond // between two announcements of an endpoint
	silenceCheckPeriod      = 100 * time.Millisecond
	defaultSilenceTimeout   = 1500 * time.Millisecond
	maxPendingAnnouncements = 4096 // worker announcements that await the leader's answer
)

// announcement is a worker's report that awaits the leader's answer.
type announcement struct {
	report *egretmuxv1.WorkerReport
	answer chan announceAnswer
}

type announceAnswer struct {
	reply   *egretmuxv1.WorkerReply
	leaseMs int64
	err     error
}

// answerAnnouncements passes the leader's answers on to the waiting workers.
func answerAnnouncements(pending []announcement, resp *egretmuxv1.ReportResponse) {
	replies := make(map[string]*egretmuxv1.WorkerReply, len(resp.GetWorkers()))
	for _, w := range resp.GetWorkers() {
		replies[w.GetWorker()] = w
	}
	for _, a := range pending {
		a.answer <- announceAnswer{reply: replies[a.report.GetWorker()], leaseMs: resp.GetWorkerLeaseMs()}
	}
}

// AnnounceWorker forwards a worker's report to the leader and returns the answer.
func (r *Relay) AnnounceWorker(ctx context.Context, req *connect.Request[egretmuxv1.AnnounceWorkerRequest]) (*connect.Response[egretmuxv1.AnnounceWorkerResponse], error) {
	report := req.Msg.GetReport()
	if report.GetWorker() == "" {
		return nil, refusalrpc.Error(refusal.New(refusal.Invalid, "set report.worker", "the report names no worker"))
	}
	a := announcement{report: report, answer: make(chan announceAnswer, 1)}
	if !r.enqueue(a) {
		return nil, refusalrpc.Error(refusal.New(refusal.QueueFull, "announce through another instance", "%d reports of workers wait for the leader", maxPendingAnnouncements).WithRetryAfter(announceInterval))
	}
	if report.GetRegister() != nil || len(report.GetAttempts()) > 0 || report.GetLeaving() {
		r.RequestReport()
	} else {
		signal(r.heartbeatPending)
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case answer := <-a.answer:
		if answer.err != nil {
			return nil, refusalrpc.Error(answer.err)
		}
		return connect.NewResponse(&egretmuxv1.AnnounceWorkerResponse{
			Epoch: answer.reply.GetEpoch(), LeaseMs: answer.leaseMs, NeedFull: answer.reply.GetNeedFull(),
			Register: answer.reply.GetRegister(), StopAttempts: answer.reply.GetStopAttempts(),
		}), nil
	}
}

// enqueue adds an announcement to the next report unless too many are pending.
func (r *Relay) enqueue(a announcement) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pendingAnnouncements) >= maxPendingAnnouncements {
		telemetry.Count("relay_announcements_refused_total")
		return false
	}
	r.pendingAnnouncements = append(r.pendingAnnouncements, a)
	return true
}

// AnnounceEndpoint records an endpoint's report. Only changes are reported to the
// leader.
func (r *Relay) AnnounceEndpoint(_ context.Context, req *connect.Request[egretmuxv1.AnnounceEndpointRequest]) (*connect.Response[egretmuxv1.AnnounceEndpointResponse], error) {
	e := req.Msg.GetReport()
	if e.GetId() == "" || e.GetService() == "" || e.GetAddress() == "" || e.GetSlots() <= 0 {
		return nil, refusalrpc.Error(refusal.New(refusal.Invalid, "set id, service, address and slots", "the report is incomplete"))
	}
	r.mu.Lock()
	changed := r.endpoints.update(e, time.Now())
	r.mu.Unlock()
	if changed {
		r.RequestReport()
	}
	return connect.NewResponse(&egretmuxv1.AnnounceEndpointResponse{IntervalMs: announceInterval.Milliseconds()}), nil
}

// runSilenceChecks removes endpoints that have stopped announcing themselves.
func (r *Relay) runSilenceChecks(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, silenceCheckPeriod, nil)
		r.mu.Lock()
		expired := r.endpoints.expire(time.Now())
		r.mu.Unlock()
		if expired {
			r.RequestReport()
		}
	}
}

// attachedEndpoints holds the endpoints that announce themselves here, and their
// changes that have not been reported to the leader.
type attachedEndpoints struct {
	silenceTimeout time.Duration
	byID           map[string]*attachedEndpoint
	changed        map[string]bool
	busyChanged    map[string]bool // changed only in the slots in use
	silent         map[string]bool // removed for their silence
}

type attachedEndpoint struct {
	report    *egretmuxv1.EndpointReport
	lastHeard time.Time
}

func newAttachedEndpoints(silenceTimeout time.Duration) attachedEndpoints {
	if silenceTimeout <= 0 {
		silenceTimeout = defaultSilenceTimeout
	}
	return attachedEndpoints{
		silenceTimeout: silenceTimeout, byID: make(map[string]*attachedEndpoint), changed: make(map[string]bool), busyChanged: make(map[string]bool), silent: make(map[string]bool),
	}
}

// update stores a report and returns whether the leader must be told at once. A
// late report from an earlier start of the endpoint is ignored.
func (a *attachedEndpoints) update(e *egretmuxv1.EndpointReport, now time.Time) bool {
	old := a.byID[e.GetId()]
	if old != nil && e.GetEpoch() < old.report.GetEpoch() {
		return false
	}
	if old != nil && sameEndpoint(old.report, e) {
		if old.report.GetBusy() != e.GetBusy() {
			a.busyChanged[e.GetId()] = true
		}
		old.report, old.lastHeard = e, now
		return false
	}
	a.byID[e.GetId()] = &attachedEndpoint{report: e, lastHeard: now}
	a.changed[e.GetId()] = true
	delete(a.silent, e.GetId())
	return true
}

// sameEndpoint reports whether two reports are equal except for the slots in use.
func sameEndpoint(a, b *egretmuxv1.EndpointReport) bool {
	if a.GetBusy() == b.GetBusy() {
		return proto.Equal(a, b)
	}
	a = proto.Clone(a).(*egretmuxv1.EndpointReport)
	a.Busy = b.GetBusy()
	return proto.Equal(a, b)
}

// expire removes the endpoints that exceeded the silence timeout, and reports whether
// there were any.
func (a *attachedEndpoints) expire(now time.Time) bool {
	expired := false
	for id, e := range a.byID {
		if now.Sub(e.lastHeard) > a.silenceTimeout {
			delete(a.byID, id)
			delete(a.changed, id)
			delete(a.busyChanged, id)
			a.silent[id] = true
			expired = true
		}
	}
	return expired
}

// drainChanges returns and clears the unreported changes. With full set it returns
// every attached endpoint instead, so that the leader takes the others for detached.
// Changes of only the slots in use are included if busy is set.
func (a *attachedEndpoints) drainChanges(full, busy bool) (reports []*egretmuxv1.EndpointReport, silent []string) {
	for id, e := range a.byID {
		if full || a.changed[id] || busy && a.busyChanged[id] {
			reports = append(reports, e.report)
		}
	}
	if !full {
		for id := range a.silent {
			silent = append(silent, id)
		}
	}
	clear(a.changed)
	clear(a.busyChanged)
	clear(a.silent)
	return reports, silent
}
