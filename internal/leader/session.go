package leader

import (
	"context"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// watchWait is how long a Watch without news is held.
const watchWait = 5 * time.Second

// maxQueuedCommands bounds a session's queue; what is dropped is sent again later.
const maxQueuedCommands = 10000

// session is what the leader knows of one instance.
type session struct {
	instance        *egretmuxv1.Instance
	incarnation     uint64
	confirmed       time.Time // its lease counts from before this time
	contractVersion uint64
	complete        bool // its holdings are fully known
	left            bool // it has stopped serving by itself
	commands        []*egretmuxv1.WorkerCommand
	sequence        uint64 // of the last command pushed
	wake            chan struct{}
}

func newSession(in *egretmuxv1.Instance, incarnation uint64) *session {
	return &session{instance: in, incarnation: incarnation, wake: make(chan struct{}, 1)}
}

func (s *session) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *session) push(c *egretmuxv1.WorkerCommand) {
	if len(s.commands) >= maxQueuedCommands {
		return
	}
	s.sequence++
	c.Sequence = s.sequence
	s.commands = append(s.commands, c)
	s.wakeUp()
}

// acknowledge drops the commands that the instance has received.
func (s *session) acknowledge(sequence uint64) {
	n := 0
	for n < len(s.commands) && s.commands[n].GetSequence() <= sequence {
		n++
	}
	s.commands = s.commands[n:]
}

// leaseMayHold reports whether the instance may still be serving.
func (t *tenure) leaseMayHold(id string, now time.Time) bool {
	s := t.sessions[id]
	if s == nil {
		return now.Sub(t.started) <= outlast(t.leader.timing.EntryLease)
	}
	return !s.left && now.Sub(s.confirmed) <= outlast(t.leader.timing.EntryLease)
}

// expireEntries takes back the grants of entries that cannot have requests in
// flight any more.
func (t *tenure) expireEntries(now time.Time) {
	for id, s := range t.sessions {
		ended := now.Sub(s.confirmed) > outlast(t.leader.timing.EntryLease)+t.leader.timing.RequestLimit
		if ended || s.left {
			t.endpoints.RemoveEntry(id)
			delete(t.sessions, id)
		}
	}
}

// entriesKnown reports whether every instance that may hold grants has told them.
func (t *tenure) entriesKnown(now time.Time) bool {
	for _, in := range t.store.Instances() {
		s := t.sessions[in.GetId()]
		if s == nil && now.Sub(t.started) <= outlast(t.leader.timing.EntryLease)+t.leader.timing.RequestLimit {
			return false
		}
		if s != nil && !s.complete && t.leaseMayHold(in.GetId(), now) {
			return false
		}
	}
	return true
}

// Report takes in what an instance has heard and renews its lease.
func (l *Leader) Report(ctx context.Context, req *egretmuxv1.ReportRequest) (*egretmuxv1.ReportResponse, error) {
	telemetry.Count("leader_reports_total")
	if _, err := l.current(); err != nil {
		return nil, err
	}
	if err := l.admit(ctx, req.GetInstance()); err != nil {
		return nil, err
	}
	t, err := l.confirm(ctx)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	resp := &egretmuxv1.ReportResponse{
		Term: t.term, EntryLeaseMs: l.timing.EntryLease.Milliseconds(), WorkerLeaseMs: l.timing.WorkerLease.Milliseconds(),
		ContractVersion: l.store.CellVersion(),
	}
	if err := t.takeReport(req, now, resp); err != nil {
		return nil, err
	}
	if err := t.takeWorkerReports(ctx, req, now, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// admit records an instance that the cell does not know yet.
func (l *Leader) admit(ctx context.Context, in *egretmuxv1.Instance) error {
	if in.GetId() == "" {
		return refusal.New(refusal.Invalid, "set [instance] id", "the report names no instance")
	}
	known := l.store.Instance(in.GetId())
	if known != nil && known.GetCellAddress() == in.GetCellAddress() && known.GetControlAddress() == in.GetControlAddress() {
		return nil
	}
	_, err := l.propose(ctx, &egretmuxv1.Command{Body: &egretmuxv1.Command_JoinInstance{JoinInstance: &egretmuxv1.JoinInstance{Instance: in}}})
	return err
}

// takeReport updates the instance's session and the endpoints.
func (t *tenure) takeReport(req *egretmuxv1.ReportRequest, now time.Time, resp *egretmuxv1.ReportResponse) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := req.GetInstance().GetId()
	s := t.sessions[id]
	if s == nil || s.incarnation != req.GetIncarnation() {
		if s != nil {
			s.wakeUp()
			t.endpoints.Restart(id, now.Add(t.leader.timing.RequestLimit))
		}
		s = newSession(req.GetInstance(), req.GetIncarnation())
		t.sessions[id] = s
	}
	s.confirmed = now
	s.contractVersion = max(s.contractVersion, req.GetContractVersion())
	s.complete = s.complete || req.GetFull()
	resp.NeedFull = !s.complete
	for _, h := range req.GetHoldings() {
		t.endpoints.Hold(id, h)
	}
	if req.GetLeaving() {
		return nil
	}
	t.endpoints.AddEntry(id, req.GetInstance().GetDatacentre())
	changed := false
	for _, e := range req.GetEndpoints() {
		changed = t.endpoints.Announce(e, now) || changed
	}
	if changed || len(req.GetHoldings()) > 0 {
		changed = t.endpoints.Rebalance() || changed
	}
	if changed {
		for _, other := range t.sessions {
			other.wakeUp()
		}
	}
	return nil
}

// Watch answers when there is something the instance does not have.
func (l *Leader) Watch(ctx context.Context, req *egretmuxv1.WatchRequest) (*egretmuxv1.WatchResponse, error) {
	t, err := l.current()
	if err != nil {
		return nil, err
	}
	deadline := time.NewTimer(watchWait)
	defer deadline.Stop()
	for {
		resp, wake, err := t.news(req)
		if err != nil {
			return nil, err
		}
		if resp != nil {
			return resp, nil
		}
		select {
		case <-ctx.Done():
			return nil, refusal.New(refusal.Cancelled, "", "the instance gave up").Because(ctx.Err())
		case <-deadline.C:
			return &egretmuxv1.WatchResponse{
				Term: t.term, ContractVersion: req.GetContractVersion(),
				EndpointVersion: req.GetEndpointVersion(), CommandSequence: req.GetCommandSequence(),
			}, nil
		case <-wake:
		}
		if now, err := l.current(); err != nil || now != t {
			return nil, noLeader()
		}
	}
}

// news returns what the instance lacks, or a channel that tells when to look again.
func (t *tenure) news(req *egretmuxv1.WatchRequest) (*egretmuxv1.WatchResponse, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sessions[req.GetInstance()]
	if s == nil || s.incarnation != req.GetIncarnation() || !t.leaseMayHold(req.GetInstance(), time.Now()) {
		return nil, nil, refusal.New(refusal.NoLease, "report first", "no session of instance %s", req.GetInstance())
	}
	endpointsFrom := req.GetEndpointVersion()
	if req.GetTerm() != t.term {
		endpointsFrom = 0
	} else {
		s.acknowledge(req.GetCommandSequence())
	}
	resp := &egretmuxv1.WatchResponse{
		Term:            t.term,
		ContractVersion: t.store.CellVersion(),
		Contracts:       t.store.ContractsSince(req.GetContractVersion()),
		EndpointVersion: t.endpoints.Version(),
		Endpoints:       t.endpoints.Since(req.GetInstance(), endpointsFrom),
		CommandSequence: s.sequence,
		Commands:        append([]*egretmuxv1.WorkerCommand(nil), s.commands...),
	}
	fresh := req.GetTerm() != t.term || resp.GetContractVersion() != req.GetContractVersion() ||
		len(resp.GetEndpoints()) > 0 || len(resp.GetCommands()) > 0
	if fresh {
		return resp, nil, nil
	}
	return nil, s.wake, nil
}

// Leave forgets an instance that has stopped serving.
func (l *Leader) Leave(ctx context.Context, req *egretmuxv1.LeaveRequest) error {
	t, err := l.confirm(ctx)
	if err != nil {
		return err
	}
	t.mu.Lock()
	if s := t.sessions[req.GetInstance()]; s != nil && s.incarnation == req.GetIncarnation() {
		s.left = true
	}
	t.mu.Unlock()
	return nil
}
