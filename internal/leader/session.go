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

// maxWatchWait is the maximum time that a Watch without updates is held open.
const maxWatchWait = 5 * time.Second

// maxQueuedCommands bounds a session's queue; dropped commands are resent later.
const maxQueuedCommands = 10000

// session is the leader's state for one process of an instance.
type session struct {
	instance               *egretmuxv1.Instance
	entry                  string    // name of the process in the endpoint table
	openedAt               time.Time // time of its first report
	lastReport             time.Time // time of its newest report; its lease counts from an earlier time
	reportSequence         uint64
	cellVersion            uint64 // newest cell version that it has reported, as ContractVersion
	predecessorCellVersion uint64 // oldest cell version that its predecessors may use; math.MaxUint64 if it has none
	holdingsKnown          bool   // a full report has listed all grants that it holds
	excessPending          bool   // its holdings became known after others may have been granted the same slots
	hasLeft                bool   // it has announced that it no longer serves
	commandQueue           []*egretmuxv1.WorkerCommand
	commandSequence        uint64        // sequence of the last command queued
	updated                chan struct{} // closed at the next update
}

func entryName(in *egretmuxv1.Instance) string {
	return in.GetId() + "/" + strconv.FormatUint(in.GetIncarnation(), 16)
}

// notify wakes every Watch that waits for an update.
func (s *session) notify() {
	close(s.updated)
	s.updated = make(chan struct{})
}

func (s *session) enqueue(c *egretmuxv1.WorkerCommand) {
	if len(s.commandQueue) >= maxQueuedCommands {
		telemetry.Count("leader_commands_dropped_total")
		return
	}
	s.commandSequence++
	c.Sequence = s.commandSequence
	s.commandQueue = append(s.commandQueue, c)
	s.notify()
}

// dropAcknowledged drops the commands that the instance has received.
func (s *session) dropAcknowledged(sequence uint64) {
	n := 0
	for n < len(s.commandQueue) && s.commandQueue[n].GetSequence() <= sequence {
		n++
	}
	s.commandQueue = s.commandQueue[n:]
}

// mayHoldLease reports whether the newest process of an instance may still hold a
// lease, and so be serving.
func (t *tenure) mayHoldLease(id string, now time.Time) bool {
	s := t.sessions[id]
	if s == nil {
		return now.Sub(t.started) <= lease.GrantorDuration(t.leader.timing.EntryLease)
	}
	return !s.hasLeft && now.Sub(s.lastReport) <= lease.GrantorDuration(t.leader.timing.EntryLease)
}

// predecessorMayHoldLease reports whether an earlier process of the instance may
// still hold a lease. No earlier process was given one after the newest process
// had opened its session.
func (t *tenure) predecessorMayHoldLease(in *egretmuxv1.Instance, now time.Time) bool {
	s := t.sessions[in.GetId()]
	if s == nil || s.instance.GetIncarnation() != in.GetIncarnation() {
		return t.mayHoldLease(in.GetId(), now)
	}
	return in.GetPredecessor() && now.Sub(s.openedAt) <= lease.GrantorDuration(t.leader.timing.EntryLease)
}

// mayServe reports whether any process of the instance may be serving.
func (t *tenure) mayServe(in *egretmuxv1.Instance, now time.Time) bool {
	return t.mayHoldLease(in.GetId(), now) || t.predecessorMayHoldLease(in, now)
}

// oldestVersionInUse returns the oldest cell version that a process of the
// session's instance may be using.
func (s *session) oldestVersionInUse(in *egretmuxv1.Instance, predecessorMayHoldLease bool) uint64 {
	if predecessorMayHoldLease && s.instance.GetIncarnation() == in.GetIncarnation() {
		return min(s.cellVersion, s.predecessorCellVersion)
	}
	return s.cellVersion
}

// retiredEntry is the entry of an ended process whose requests may still be in
// flight.
type retiredEntry struct {
	entry       string
	requestsEnd time.Time // none of its requests is in flight after this time
}

// inFlightUntil returns the time after which none of the session's requests can
// be in flight.
func (t *tenure) inFlightUntil(s *session) time.Time {
	return s.lastReport.Add(lease.GrantorDuration(t.leader.timing.EntryLease) + t.leader.timing.RequestLimit)
}

// expireEntries takes back the grants of entries that can no longer have requests
// in flight.
func (t *tenure) expireEntries(now time.Time) {
	for id, s := range t.sessions {
		if s.hasLeft || now.After(t.inFlightUntil(s)) {
			t.closeSession(id, s)
			t.endpoints.RemoveEntry(s.entry)
		}
	}
	kept := t.retiredEntries[:0]
	for _, retired := range t.retiredEntries {
		if now.After(retired.requestsEnd) {
			t.endpoints.RemoveEntry(retired.entry)
		} else {
			kept = append(kept, retired)
		}
	}
	t.retiredEntries = kept
}

func (t *tenure) closeSession(id string, s *session) {
	t.lastCommandSequence = max(t.lastCommandSequence, s.commandSequence)
	t.attachments.removeEntry(s.entry)
	s.notify()
	delete(t.sessions, id)
	t.sessionEnds[id] = time.Now()
}

// ensureSession returns the session of the reporting process and creates it if
// needed. A new process replaces the previous one, whose requests may still be in
// flight.
func (t *tenure) ensureSession(in *egretmuxv1.Instance, now time.Time) *session {
	old := t.sessions[in.GetId()]
	if old != nil && old.instance.GetIncarnation() == in.GetIncarnation() {
		return old
	}
	s := &session{instance: in, entry: entryName(in), openedAt: now, updated: make(chan struct{})}
	if !t.store.Instance(in.GetId()).GetPredecessor() {
		s.predecessorCellVersion = math.MaxUint64
	}
	if old != nil {
		s.predecessorCellVersion = min(old.cellVersion, old.predecessorCellVersion)
		t.closeSession(in.GetId(), old)
		t.endpoints.RetireEntry(old.entry)
		t.retiredEntries = append(t.retiredEntries, retiredEntry{entry: old.entry, requestsEnd: t.inFlightUntil(old)})
	}
	s.commandSequence = t.lastCommandSequence // so that acknowledgements of an older session have no effect
	t.sessions[in.GetId()] = s
	return s
}

// allHoldingsKnown reports whether every instance that may hold grants has
// reported them.
func (t *tenure) allHoldingsKnown(now time.Time) bool {
	for _, in := range t.store.Instances() {
		s := t.sessions[in.GetId()]
		if (s == nil || !s.holdingsKnown) && t.mayHoldLease(in.GetId(), now) || t.predecessorMayHoldLease(in, now) {
			return false
		}
	}
	return true
}

// Report processes an instance's report and renews its lease. All conditions of
// the lease are checked after the leadership was confirmed, and the instance
// counts the lease from before it sent the report, so that a pause at any point
// only makes the lease shorter.
func (l *Leader) Report(ctx context.Context, req *egretmuxv1.ReportRequest) (*egretmuxv1.ReportResponse, error) {
	telemetry.Count("leader_reports_total")
	initial, err := l.currentTenure()
	if err != nil {
		return nil, err
	}
	req.Instance.Incarnation = req.GetIncarnation()
	newer, err := l.admitInstance(ctx, req.GetInstance())
	if err != nil {
		return nil, err
	}
	if newer != 0 {
		telemetry.Count("leader_reports_superseded_total")
		return &egretmuxv1.ReportResponse{Term: initial.term, SupersededBy: newer}, nil
	}
	t, err := l.confirmTenure(ctx)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	resp := &egretmuxv1.ReportResponse{Term: t.term, WorkerLeaseMs: l.timing.WorkerLease.Milliseconds(), ContractVersion: l.store.CellVersion()}
	if err := t.applyReport(req, now, resp); err != nil {
		return nil, err
	}
	if err := t.applyWorkerReports(ctx, req, now, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// admitInstance commits a process that the cell does not know yet. It returns the
// incarnation of a newer process of the same instance, if there is one.
func (l *Leader) admitInstance(ctx context.Context, in *egretmuxv1.Instance) (newer uint64, err error) {
	if in.GetId() == "" || in.GetIncarnation() == 0 {
		return 0, refusal.New(refusal.Invalid, "set [instance] id", "the report lacks the id or the incarnation of the instance")
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

// applyReport updates the instance's session and the endpoints.
func (t *tenure) applyReport(req *egretmuxv1.ReportRequest, now time.Time, resp *egretmuxv1.ReportResponse) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.store.Instance(req.GetInstance().GetId())
	if known.GetIncarnation() != req.GetIncarnation() || t.removing[known.GetId()] {
		return refusal.New(refusal.NoLease, "the instance reports again by itself", "instance %s does not belong to the cell at the moment", req.GetInstance().GetId())
	}
	s := t.ensureSession(req.GetInstance(), now)
	if req.GetSequence() < s.reportSequence {
		return refusal.New(refusal.Cancelled, "", "a newer report of instance %s has arrived", known.GetId())
	}
	s.reportSequence = req.GetSequence()
	t.endpoints.RecordReport(now)
	if now.After(s.lastReport) {
		s.lastReport = now
	}
	s.cellVersion = max(s.cellVersion, req.GetContractVersion())
	// Holdings count only once the instance accepts no grants of older terms.
	if !s.holdingsKnown && req.GetFull() && req.GetTerm() == t.term {
		s.holdingsKnown = true
		s.excessPending = !t.endpoints.Recovering
	}
	resp.NeedFull = !s.holdingsKnown
	if s.holdingsKnown {
		t.applyHoldings(s, req)
	}
	if s.leaseEligible(t) {
		resp.EntryLeaseMs = t.leader.timing.EntryLease.Milliseconds()
	}
	if t.applyEndpointReports(s, req, now) {
		t.endpoints.Rebalance()
		t.notifySessionsLocked()
	}
	return nil
}

// leaseEligible reports whether the entry's holdings are known and within its
// grants. An entry that returns after its lease has expired must first give back
// slots that others may have been granted since.
func (s *session) leaseEligible(t *tenure) bool {
	s.excessPending = s.excessPending && t.endpoints.ExceedsGrants(s.entry)
	return s.holdingsKnown && !s.excessPending
}

// applyHoldings records the grants that the entry holds and redistributes those
// it has given back.
func (t *tenure) applyHoldings(s *session, req *egretmuxv1.ReportRequest) {
	for _, h := range req.GetHoldings() {
		t.endpoints.RecordHolding(s.entry, h)
	}
	if !req.GetLeaving() {
		t.endpoints.AddEntry(s.entry, s.instance.GetDatacentre())
	}
	if len(req.GetHoldings()) > 0 && t.endpoints.Rebalance() {
		t.notifySessionsLocked()
	}
}

// applyEndpointReports records the endpoints that announce themselves through the
// entry. It returns whether entries must be notified of a change.
func (t *tenure) applyEndpointReports(s *session, req *egretmuxv1.ReportRequest, now time.Time) bool {
	changed := false
	silent := req.GetSilentEndpoints()
	if req.GetFull() {
		silent = append(silent, t.attachments.heardButNotListed(s.entry, req.GetEndpoints())...)
	}
	for _, id := range silent {
		if last := t.attachments.markSilent(s.entry, id); last != nil {
			gone := proto.Clone(last).(*egretmuxv1.EndpointReport)
			gone.Leaving = true
			changed = t.endpoints.Announce(gone, now) || changed
			telemetry.Count("leader_endpoints_silent_total")
		}
	}
	for _, e := range req.GetEndpoints() {
		t.attachments.announce(s.entry, e)
	}
	for _, e := range t.attachments.reportsHeardBy(s.entry) {
		changed = t.endpoints.Announce(e, now) || changed
	}
	return changed
}

// notifySessionsLocked wakes every Watch. The caller holds the lock.
func (t *tenure) notifySessionsLocked() {
	for _, s := range t.sessions {
		s.notify()
	}
}

// Watch returns the updates that the instance lacks, and waits for some up to
// maxWatchWait.
func (l *Leader) Watch(ctx context.Context, req *egretmuxv1.WatchRequest) (*egretmuxv1.WatchResponse, error) {
	t, err := l.currentTenure()
	if err != nil {
		return nil, err
	}
	timeout := time.NewTimer(maxWatchWait)
	defer timeout.Stop()
	for {
		resp, updated, err := t.updatesFor(req)
		if err != nil {
			return nil, err
		}
		if resp != nil {
			return resp, nil
		}
		select {
		case <-ctx.Done():
			return nil, refusal.New(refusal.Cancelled, "", "the instance cancelled the watch").WithCause(ctx.Err())
		case <-timeout.C:
			return &egretmuxv1.WatchResponse{
				Term: t.term, ContractVersion: req.GetContractVersion(),
				EndpointVersion: req.GetEndpointVersion(), CommandSequence: req.GetCommandSequence(),
			}, nil
		case <-updated:
		}
		if current, err := l.currentTenure(); err != nil || current != t {
			return nil, notLeaderError()
		}
	}
}

// updatesFor returns the updates that the instance lacks. If there are none, it
// returns a channel that is closed at the session's next update.
func (t *tenure) updatesFor(req *egretmuxv1.WatchRequest) (*egretmuxv1.WatchResponse, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sessions[req.GetInstance()]
	if s == nil || s.instance.GetIncarnation() != req.GetIncarnation() || !t.mayHoldLease(req.GetInstance(), time.Now()) {
		return nil, nil, refusal.New(refusal.NoLease, "report first", "no session of instance %s", req.GetInstance())
	}
	endpointsFrom := req.GetEndpointVersion()
	if req.GetTerm() != t.term {
		endpointsFrom = 0
	} else {
		s.dropAcknowledged(req.GetCommandSequence())
	}
	version, contracts := t.store.ContractsSince(req.GetContractVersion())
	resp := &egretmuxv1.WatchResponse{
		Term:            t.term,
		ContractVersion: version,
		Contracts:       contracts,
		EndpointVersion: t.endpoints.Version(),
		Endpoints:       t.endpoints.StatesSince(s.entry, endpointsFrom),
		CommandSequence: s.commandSequence,
		Commands:        append([]*egretmuxv1.WorkerCommand(nil), s.commandQueue...),
	}
	hasUpdates := req.GetTerm() != t.term || resp.GetContractVersion() != req.GetContractVersion() ||
		len(resp.GetEndpoints()) > 0 || len(resp.GetCommands()) > 0
	if hasUpdates {
		return resp, nil, nil
	}
	return nil, s.updated, nil
}

// Leave records that a process has stopped serving and removes it from the list of
// instances.
func (l *Leader) Leave(ctx context.Context, req *egretmuxv1.LeaveRequest) error {
	t, err := l.confirmTenure(ctx)
	if err != nil {
		return err
	}
	t.mu.Lock()
	if s := t.sessions[req.GetInstance()]; s != nil && s.instance.GetIncarnation() == req.GetIncarnation() {
		s.hasLeft = true
	}
	t.mu.Unlock()
	_, err = l.propose(ctx, &egretmuxv1.Command{Body: &egretmuxv1.Command_LeaveInstance{LeaveInstance: &egretmuxv1.LeaveInstance{
		Id: req.GetInstance(), Incarnation: req.GetIncarnation(),
	}}})
	return err
}
