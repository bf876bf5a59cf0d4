package leader

import (
	"context"
	"math"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/lease"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// watchWait is how long a Watch without news is held.
const watchWait = 5 * time.Second

// maxQueuedCommands bounds a session's queue; what is dropped is sent again later.
const maxQueuedCommands = 10000

// session is what the leader knows of one process of an instance.
type session struct {
	instance        *egretmuxv1.Instance
	entry           string    // names the process in the endpoint table
	opened          time.Time // when it reported first
	confirmed       time.Time // its lease counts from before this time
	reported        uint64    // sequence of its newest report
	contractVersion uint64
	formerVersion   uint64 // oldest that its predecessors may use; the greatest number when it has none
	complete        bool   // its holdings are fully known
	returning       bool   // its holdings became known after others were given them
	left            bool   // it has stopped serving by itself
	commands        []*egretmuxv1.WorkerCommand
	sequence        uint64        // of the last command pushed
	wake            chan struct{} // closed at the next news
}

func entryName(in *egretmuxv1.Instance) string {
	return in.GetId() + "/" + strconv.FormatUint(in.GetIncarnation(), 16)
}

// wakeUp wakes every Watch that waits for news.
func (s *session) wakeUp() {
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *session) push(c *egretmuxv1.WorkerCommand) {
	if len(s.commands) >= maxQueuedCommands {
		telemetry.Count("leader_commands_dropped_total")
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

// leaseMayHold reports whether the process may still be serving.
func (t *tenure) leaseMayHold(id string, now time.Time) bool {
	s := t.sessions[id]
	if s == nil {
		return now.Sub(t.started) <= lease.GrantorDuration(t.leader.timing.EntryLease)
	}
	return !s.left && now.Sub(s.confirmed) <= lease.GrantorDuration(t.leader.timing.EntryLease)
}

// predecessorMayHold reports whether an earlier process of the name may still
// be serving. The newest process got no lease before the earlier one's last.
func (t *tenure) predecessorMayHold(in *egretmuxv1.Instance, now time.Time) bool {
	s := t.sessions[in.GetId()]
	if s == nil || s.instance.GetIncarnation() != in.GetIncarnation() {
		return t.leaseMayHold(in.GetId(), now)
	}
	return in.GetPredecessor() && now.Sub(s.opened) <= lease.GrantorDuration(t.leader.timing.EntryLease)
}

// mayServe reports whether any process of the instance may be serving.
func (t *tenure) mayServe(in *egretmuxv1.Instance, now time.Time) bool {
	return t.leaseMayHold(in.GetId(), now) || t.predecessorMayHold(in, now)
}

// versionInForce returns the oldest contract version that a process of the
// session's instance may be using.
func (s *session) versionInForce(in *egretmuxv1.Instance, predecessor bool) uint64 {
	if predecessor && s.instance.GetIncarnation() == in.GetIncarnation() {
		return min(s.contractVersion, s.formerVersion)
	}
	return s.contractVersion
}

// departure is the end of a process whose requests may still be in flight.
type departure struct {
	entry string
	over  time.Time // none of its requests is in flight after this time
}

// inFlightUntil returns when no request of the session can be in flight.
func (t *tenure) inFlightUntil(s *session) time.Time {
	return s.confirmed.Add(lease.GrantorDuration(t.leader.timing.EntryLease) + t.leader.timing.RequestLimit)
}

// expireEntries takes back the grants of entries that cannot have requests in
// flight any more.
func (t *tenure) expireEntries(now time.Time) {
	for id, s := range t.sessions {
		if s.left || now.After(t.inFlightUntil(s)) {
			t.closeSession(id, s)
			t.endpoints.RemoveEntry(s.entry)
		}
	}
	kept := t.departures[:0]
	for _, d := range t.departures {
		if now.After(d.over) {
			t.endpoints.RemoveEntry(d.entry)
		} else {
			kept = append(kept, d)
		}
	}
	t.departures = kept
}

func (t *tenure) closeSession(id string, s *session) {
	t.lastSequence = max(t.lastSequence, s.sequence)
	t.attached.drop(s.entry)
	s.wakeUp()
	delete(t.sessions, id)
	t.closed[id] = time.Now()
}

// openSession returns the session of the process that reports. A new process
// replaces the one before, whose requests may still be in flight.
func (t *tenure) openSession(in *egretmuxv1.Instance, now time.Time) *session {
	old := t.sessions[in.GetId()]
	if old != nil && old.instance.GetIncarnation() == in.GetIncarnation() {
		return old
	}
	s := &session{instance: in, entry: entryName(in), opened: now, wake: make(chan struct{})}
	if !t.store.Instance(in.GetId()).GetPredecessor() {
		s.formerVersion = math.MaxUint64
	}
	if old != nil {
		s.formerVersion = min(old.contractVersion, old.formerVersion)
		t.closeSession(in.GetId(), old)
		t.endpoints.RetireEntry(old.entry)
		t.departures = append(t.departures, departure{entry: old.entry, over: t.inFlightUntil(old)})
	}
	s.sequence = t.lastSequence // so that no acknowledgement of an older session counts
	t.sessions[in.GetId()] = s
	return s
}

// entriesKnown reports whether every instance that may hold grants has told them.
func (t *tenure) entriesKnown(now time.Time) bool {
	for _, in := range t.store.Instances() {
		s := t.sessions[in.GetId()]
		if (s == nil || !s.complete) && t.leaseMayHold(in.GetId(), now) || t.predecessorMayHold(in, now) {
			return false
		}
	}
	return true
}

// Report takes in what an instance has heard and renews its lease. Everything
// that the lease promises is checked after the leader was confirmed and is
// counted by the instance from before it sent the report, so that a pause at
// any point only makes the lease shorter.
func (l *Leader) Report(ctx context.Context, req *egretmuxv1.ReportRequest) (*egretmuxv1.ReportResponse, error) {
	telemetry.Count("leader_reports_total")
	first, err := l.current()
	if err != nil {
		return nil, err
	}
	req.Instance.Incarnation = req.GetIncarnation()
	newer, err := l.admit(ctx, req.GetInstance())
	if err != nil {
		return nil, err
	}
	if newer != 0 {
		telemetry.Count("leader_reports_superseded_total")
		return &egretmuxv1.ReportResponse{Term: first.term, SupersededBy: newer}, nil
	}
	t, err := l.confirm(ctx)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	resp := &egretmuxv1.ReportResponse{Term: t.term, WorkerLeaseMs: l.timing.WorkerLease.Milliseconds(), ContractVersion: l.store.CellVersion()}
	if err := t.takeReport(req, now, resp); err != nil {
		return nil, err
	}
	if err := t.takeWorkerReports(ctx, req, now, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// admit records a process that the cell does not know yet. It returns the
// incarnation of a newer process of the same name, if there is one.
func (l *Leader) admit(ctx context.Context, in *egretmuxv1.Instance) (newer uint64, err error) {
	if in.GetId() == "" || in.GetIncarnation() == 0 {
		return 0, refusal.New(refusal.Invalid, "set [instance] id", "the report names no instance or no process")
	}
	known := l.store.Instance(in.GetId())
	if known.GetIncarnation() > in.GetIncarnation() {
		return known.GetIncarnation(), nil
	}
	if known.GetIncarnation() == in.GetIncarnation() && known.GetCellAddress() == in.GetCellAddress() && known.GetControlAddress() == in.GetControlAddress() {
		return 0, nil
	}
	result, err := l.propose(ctx, &egretmuxv1.Command{Body: &egretmuxv1.Command_JoinInstance{JoinInstance: &egretmuxv1.JoinInstance{Instance: in}}})
	if result != nil && result.Err != nil {
		return l.store.Instance(in.GetId()).GetIncarnation(), nil
	}
	return 0, err
}

// takeReport updates the instance's session and the endpoints.
func (t *tenure) takeReport(req *egretmuxv1.ReportRequest, now time.Time, resp *egretmuxv1.ReportResponse) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.store.Instance(req.GetInstance().GetId())
	if known.GetIncarnation() != req.GetIncarnation() || t.removing[known.GetId()] {
		return refusal.New(refusal.NoLease, "the instance reports again by itself", "instance %s is not a member at the moment", req.GetInstance().GetId())
	}
	s := t.openSession(req.GetInstance(), now)
	if req.GetSequence() < s.reported {
		return refusal.New(refusal.Cancelled, "", "a newer report of instance %s has arrived", known.GetId())
	}
	s.reported = req.GetSequence()
	t.endpoints.RecordReport(now)
	if now.After(s.confirmed) {
		s.confirmed = now
	}
	s.contractVersion = max(s.contractVersion, req.GetContractVersion())
	// Holdings count only once the instance takes no grants of older terms.
	if !s.complete && req.GetFull() && req.GetTerm() == t.term {
		s.complete = true
		s.returning = !t.endpoints.Recovering
	}
	resp.NeedFull = !s.complete
	if s.complete {
		t.takeHoldings(s, req)
	}
	if s.mayHaveLease(t) {
		resp.EntryLeaseMs = t.leader.timing.EntryLease.Milliseconds()
	}
	if t.takeEndpoints(s, req, now) {
		t.endpoints.Rebalance()
		t.wakeSessions()
	}
	return nil
}

// mayHaveLease reports whether the entry's holdings are known and its own. An
// entry that returns after its lease has run out gives back first what others
// may hold since.
func (s *session) mayHaveLease(t *tenure) bool {
	s.returning = s.returning && t.endpoints.ExceedsGrants(s.entry)
	return s.complete && !s.returning
}

// takeHoldings records what the entry holds and shares out what it gave back.
func (t *tenure) takeHoldings(s *session, req *egretmuxv1.ReportRequest) {
	for _, h := range req.GetHoldings() {
		t.endpoints.RecordHolding(s.entry, h)
	}
	if !req.GetLeaving() {
		t.endpoints.AddEntry(s.entry, s.instance.GetDatacentre())
	}
	if len(req.GetHoldings()) > 0 && t.endpoints.Rebalance() {
		t.wakeSessions()
	}
}

// takeEndpoints notes the endpoints that the entry hears. It returns whether
// entries must hear of a change.
func (t *tenure) takeEndpoints(s *session, req *egretmuxv1.ReportRequest, now time.Time) bool {
	changed := false
	silent := req.GetSilentEndpoints()
	if req.GetFull() {
		silent = append(silent, t.attached.unheard(s.entry, req.GetEndpoints())...)
	}
	for _, id := range silent {
		if last := t.attached.silent(s.entry, id); last != nil {
			gone := proto.Clone(last).(*egretmuxv1.EndpointReport)
			gone.Leaving = true
			changed = t.endpoints.Announce(gone, now) || changed
			telemetry.Count("leader_endpoints_silent_total")
		}
	}
	for _, e := range req.GetEndpoints() {
		t.attached.announce(s.entry, e)
	}
	for _, e := range t.attached.heardBy(s.entry) {
		changed = t.endpoints.Announce(e, now) || changed
	}
	return changed
}

func (t *tenure) wakeSessions() {
	for _, s := range t.sessions {
		s.wakeUp()
	}
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
	if s == nil || s.instance.GetIncarnation() != req.GetIncarnation() || !t.leaseMayHold(req.GetInstance(), time.Now()) {
		return nil, nil, refusal.New(refusal.NoLease, "report first", "no session of instance %s", req.GetInstance())
	}
	endpointsFrom := req.GetEndpointVersion()
	if req.GetTerm() != t.term {
		endpointsFrom = 0
	} else {
		s.acknowledge(req.GetCommandSequence())
	}
	version, contracts := t.store.ContractsSince(req.GetContractVersion())
	resp := &egretmuxv1.WatchResponse{
		Term:            t.term,
		ContractVersion: version,
		Contracts:       contracts,
		EndpointVersion: t.endpoints.Version(),
		Endpoints:       t.endpoints.StatesSince(s.entry, endpointsFrom),
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

// Leave forgets a process that has stopped serving.
func (l *Leader) Leave(ctx context.Context, req *egretmuxv1.LeaveRequest) error {
	t, err := l.confirm(ctx)
	if err != nil {
		return err
	}
	t.mu.Lock()
	if s := t.sessions[req.GetInstance()]; s != nil && s.instance.GetIncarnation() == req.GetIncarnation() {
		s.left = true
	}
	t.mu.Unlock()
	_, err = l.propose(ctx, &egretmuxv1.Command{Body: &egretmuxv1.Command_LeaveInstance{LeaveInstance: &egretmuxv1.LeaveInstance{
		Id: req.GetInstance(), Incarnation: req.GetIncarnation(),
	}}})
	return err
}
