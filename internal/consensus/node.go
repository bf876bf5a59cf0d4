// Package consensus runs a replica of the replicated log. It drives the
// deterministic core: it supplies ticks, persists the core's output, exchanges
// messages with the other replicas and applies committed commands.
package consensus

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/core"
	"github.com/egretmux/egretmux/internal/consensus/wal"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Node is one running replica.
type Node struct {
	cfg  Config
	core *core.Core

	proposals    chan proposal
	messages     chan []*egretmuxv1.Message
	readRequests chan readRequest
	coreCalls    chan func(*core.Core)
	stop         chan struct{}
	stopped      chan struct{}
	stopOnce     sync.Once

	pendingProposals   map[uint64]pendingProposal // by log index
	pendingBytes       int
	unconfirmedReads   map[uint64]readRequest // by token
	confirmedReads     []readRequest          // waiting until their index is applied
	lastReadToken      uint64
	applied            uint64 // index of the last applied entry
	lastSnapshotIndex  uint64
	bytesSinceSnapshot int              // command bytes applied since the last snapshot
	jobs               executor         // of the log
	writing            *write           // handed to the log, which has not stored it yet; nil if there is none
	written            chan error       // outcome of writing
	logStopped         chan error       // failure of a compaction, after which the log takes no more writes
	writeRefused       bool             // a full disk has refused writing
	unstored           *core.Output     // output whose snapshot chunks a full disk has refused
	failure            error            // of the log, which stops the replica
	compactTo          atomic.Uint64    // index up to which the log is to be compacted; zero if no compaction waits
	fullSince          time.Time        // when the disk became full; zero while it is not
	slowWriteLogged    time.Time        // when a slow write was last logged
	batchDue           <-chan time.Time // when the next proposals are taken; nil while they are taken at once
	handedOver         time.Time        // when leadership was last handed over because of the disk
	snapshotRunning    bool
	snapshotResults    chan *egretmuxv1.SnapshotMeta // metadata of a finished snapshot; nil if it failed

	passes      atomic.Uint64 // through the loop of Run
	writesBegun atomic.Uint64
	writesDone  atomic.Uint64
	full        atomic.Bool // the disk is full

	statusMu      sync.RWMutex
	status        core.Status
	statusChanged chan struct{} // closed and replaced when role, term or leader change
}

// NewNode restores the state machine from the newest snapshot and returns a node
// that Run starts.
func NewNode(cfg Config) (*Node, error) {
	cfg.setDefaults()
	n := &Node{
		cfg:              cfg,
		proposals:        make(chan proposal, proposalQueueLength),
		messages:         make(chan []*egretmuxv1.Message, messageQueueLength),
		readRequests:     make(chan readRequest, readQueueLength),
		coreCalls:        make(chan func(*core.Core), coreCallQueueLength),
		stop:             make(chan struct{}),
		stopped:          make(chan struct{}),
		pendingProposals: make(map[uint64]pendingProposal),
		unconfirmedReads: make(map[uint64]readRequest),
		snapshotResults:  make(chan *egretmuxv1.SnapshotMeta, 1),
		jobs:             inlineExecutor{},
		written:          make(chan error, 1),
		logStopped:       make(chan error, 1),
		statusChanged:    make(chan struct{}),
	}
	if snap := cfg.Recovered.Snapshot; snap != nil {
		data, err := cfg.Log.LoadSnapshot(snap)
		if err != nil {
			return nil, err
		}
		if err := cfg.Machine.Restore(data); err != nil {
			return nil, errors.Wrap(err, "snapshot cannot be restored")
		}
		n.applied = snap.GetIndex()
		n.lastSnapshotIndex = snap.GetIndex()
	}
	n.core = core.New(core.Config{
		ID: cfg.ID, ElectionTicks: cfg.ElectionTicks, HeartbeatTicks: cfg.HeartbeatTicks, Rand: cfg.Rand,
	}, core.InitialState{HardState: cfg.Recovered.HardState, Snapshot: cfg.Recovered.Snapshot, Entries: cfg.Recovered.Entries})
	n.publishStatus()
	return n, nil
}

// diskFullRetryPause is the pause between two attempts to write to a full disk.
const diskFullRetryPause = 100 * time.Millisecond

// Run drives the replica until Stop is called or a failure stops it. While the disk is
// full the replica is silent: it acknowledges nothing, and if it leads, another replica
// is elected.
func (n *Node) Run() {
	defer close(n.stopped)
	defer n.startWatch()()
	writer := startLogWriter()
	defer writer.stop()
	n.jobs = writer
	ticker := time.NewTicker(n.cfg.Tick)
	defer ticker.Stop()
	for {
		n.passes.Add(1)
		if !n.isFull() && !n.handleEvents(ticker.C) {
			n.failAll(ErrStopped)
			return
		}
		err := n.processOutput()
		if errors.Is(err, wal.ErrDiskFull) {
			select {
			case <-n.stop:
				n.failAll(ErrStopped)
				return
			case meta := <-n.snapshotsWhileFull():
				n.finishSnapshot(meta)
			case <-time.After(diskFullRetryPause):
			}
			continue
		}
		if err != nil {
			n.cfg.Logger.Error().Err(err).Str("event", "replica_stopped").Msg("replica stopped after a failure")
			n.failAll(ErrStopped)
			if n.cfg.OnFailure != nil {
				n.cfg.OnFailure(err)
			}
			return
		}
	}
}

// snapshotsWhileFull returns the channel of finished snapshots, which cover entries that
// are stored already, so that the log can be compacted to make room. It returns nil while a
// snapshot from the leader is being stored: the core has dropped the log for it, the disk
// must not yet.
func (n *Node) snapshotsWhileFull() <-chan *egretmuxv1.SnapshotMeta {
	if n.unstored != nil {
		return nil
	}
	return n.snapshotResults
}

// Stop ends Run and waits for it.
func (n *Node) Stop() {
	n.stopOnce.Do(func() { close(n.stop) })
	<-n.stopped
}

// handleEvents waits for one event and handles it together with others that are
// already queued. It returns false when the node must stop.
func (n *Node) handleEvents(tick <-chan time.Time) bool {
	if n.hangs() {
		select {
		case <-n.stop:
			return false
		case err := <-n.written:
			n.finishWrite(err)
			return true
		}
	}
	select {
	case <-n.stop:
		return false
	case err := <-n.written:
		n.finishWrite(err)
	case n.failure = <-n.logStopped:
	case <-tick:
		n.core.Tick()
		n.handOverIfDiskHangs()
	case p := <-n.admittedProposals():
		n.proposeBatch(p)
	case m := <-n.messages:
		n.stepAll(m)
	case r := <-n.readRequests:
		n.requestReads(r)
	case f := <-n.coreCalls:
		f(n.core)
	case meta := <-n.snapshotResults:
		n.finishSnapshot(meta)
	case <-n.batchDue:
		n.batchDue = nil
	}
	for range maxBatch {
		select {
		case m := <-n.messages:
			n.stepAll(m)
		case p := <-n.admittedProposals():
			n.proposeBatch(p)
		case r := <-n.readRequests:
			n.requestReads(r)
		case f := <-n.coreCalls:
			f(n.core)
		default:
			return true
		}
	}
	return true
}

// admittedProposals returns the proposal queue, or nil while a batch gathers, too many proposals
// are pending, or leadership is being handed over: if that fails, the leader goes on in
// the same term.
func (n *Node) admittedProposals() <-chan proposal {
	if n.batchDue != nil || len(n.pendingProposals) >= maxPendingProposals || n.pendingBytes >= maxPendingBytes || n.core.HandingOver() {
		return nil
	}
	return n.proposals
}

func (n *Node) stepAll(messages []*egretmuxv1.Message) {
	for _, m := range messages {
		if !n.core.Step(m) {
			telemetry.Count("replica_messages_malformed_total")
			n.cfg.Logger.Warn().Str("event", "replica_message_malformed").Stringer("kind", m.GetKind()).Uint64("from", m.GetFrom()).Uint64("term", m.GetTerm()).
				Uint64("index", m.GetIndex()).Int("entries", len(m.GetEntries())).Msg("a message that no replica sends is left out")
		}
	}
}

// processOutput processes the core's outputs until there are none left but what waits for
// the write in progress. It returns wal.ErrDiskFull if an output could not be stored; the core
// must then get no event until a further call has succeeded.
func (n *Node) processOutput() error {
	for {
		if err := n.takeWriteResult(); err != nil {
			return err
		}
		if n.unstored == nil && !n.core.HasOutput() {
			break
		}
		if n.unstored == nil {
			out := n.core.Output()
			if out.Stale {
				return ErrStale
			}
			n.sendAll(out.Messages)
			n.unstored = &out
		}
		out := n.unstored
		hasChunks := len(out.Chunks) > 0
		if err := n.storeChunks(out); err != nil {
			n.noteDiskFull(err)
			return err
		}
		if hasChunks {
			n.noteDiskFull(nil)
		}
		n.unstored = nil
		n.startWrite(out)
		n.apply(out.Committed)
		n.handleReadResults(out.Reads)
	}
	n.publishStatus()
	n.startSnapshotIfDue()
	return nil
}

// noteDiskFull logs when the disk becomes full and when it takes writes again.
func (n *Node) noteDiskFull(err error) {
	full := errors.Is(err, wal.ErrDiskFull)
	n.full.Store(full)
	switch {
	case full && n.fullSince.IsZero():
		n.fullSince = time.Now()
		telemetry.Count("replica_disk_full_total")
		n.cfg.Logger.Error().Err(err).Str("event", "disk_full").Msg("the disk is full: this replica waits, and its instance serves through the others")
	case err == nil && !n.fullSince.IsZero():
		n.cfg.Logger.Info().Str("event", "disk_writable").Int64("age_ms", time.Since(n.fullSince).Milliseconds()).Msg("the disk takes writes again: this replica goes on")
		n.fullSince = time.Time{}
	}
}

func (n *Node) apply(entries []*egretmuxv1.Entry) {
	for _, e := range entries {
		var value any
		if e.GetKind() == egretmuxv1.EntryKind_ENTRY_KIND_COMMAND && len(e.GetData()) > 0 {
			value = n.cfg.Machine.Apply(e.GetIndex(), e.GetData())
		}
		n.applied = e.GetIndex()
		n.bytesSinceSnapshot += len(e.GetData())
		pending, ok := n.pendingProposals[e.GetIndex()]
		if !ok {
			continue
		}
		if pending.term == e.GetTerm() {
			n.completeProposal(e.GetIndex(), pending, result{value: value})
		} else {
			n.completeProposal(e.GetIndex(), pending, result{err: ErrOutcomeUnknown})
		}
	}
	n.completeReads()
}

// sendAll groups messages by receiver and fills in snapshot chunks.
func (n *Node) sendAll(messages []*egretmuxv1.Message) {
	groups := make(map[uint64][]*egretmuxv1.Message)
	var order []uint64
	for _, m := range messages {
		if m.GetKind() == egretmuxv1.MessageKind_MESSAGE_KIND_SNAPSHOT && !n.loadChunk(m) {
			continue
		}
		if groups[m.GetTo()] == nil {
			order = append(order, m.GetTo())
		}
		groups[m.GetTo()] = append(groups[m.GetTo()], m)
	}
	for _, id := range order {
		to := n.core.Replica(id)
		if to == nil {
			// A replica outside of the membership is addressed by its identity alone.
			to = &egretmuxv1.Replica{Id: id}
		}
		n.cfg.Transport.Send(to, groups[id])
	}
}

// failAll fails all reads with err and all pending proposals as unknown.
func (n *Node) failAll(err error) {
	for i, pending := range n.pendingProposals {
		n.completeProposal(i, pending, result{err: ErrOutcomeUnknown})
	}
	for token, request := range n.unconfirmedReads {
		request.done <- err
		delete(n.unconfirmedReads, token)
	}
	for _, request := range n.confirmedReads {
		request.done <- err
	}
	n.confirmedReads = nil
}

// publishStatus updates the status that Status returns. After a change of role
// or term it fails the pending proposals of terms in which this replica no
// longer leads.
func (n *Node) publishStatus() {
	s := n.core.Status()
	n.statusMu.Lock()
	old := n.status
	n.status = s
	changed := old.Role != s.Role || old.Term != s.Term || old.Leader != s.Leader
	if changed {
		close(n.statusChanged)
		n.statusChanged = make(chan struct{})
	}
	n.statusMu.Unlock()
	if !changed {
		return
	}
	if old.Role != s.Role {
		telemetry.Count(`replica_role_changes_total{role="` + s.Role.String() + `"}`)
	}
	n.cfg.Logger.Info().Str("event", "role_changed").Stringer("role", s.Role).Uint64("term", s.Term).Uint64("leader", s.Leader).Msg("role, term or leader changed")
	for i, pending := range n.pendingProposals {
		if s.Role != core.Leader || pending.term != s.Term {
			n.completeProposal(i, pending, result{err: ErrOutcomeUnknown})
		}
	}
}

// Status returns the newest status and a channel that is closed on the next
// change of role, term or leader.
func (n *Node) Status() (core.Status, <-chan struct{}) {
	n.statusMu.RLock()
	defer n.statusMu.RUnlock()
	return n.status, n.statusChanged
}
