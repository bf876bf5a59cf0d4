// Package consensus drives the deterministic core: it ticks it, persists what
// it asks for, exchanges its messages and applies committed commands.
package consensus

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/core"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Node is one running replica.
type Node struct {
	cfg  Config
	core *core.Core

	proposals chan proposal
	messages  chan []*egretmuxv1.Message
	reads     chan readWaiter
	control   chan func(*core.Core)
	stop      chan struct{}
	stopped   chan struct{}
	stopOnce  sync.Once

	waiting      map[uint64]waiter // by log index
	waitingBytes int
	tokens       map[uint64]readWaiter
	confirmed    []readWaiter
	nextToken    uint64
	applied      uint64
	snapAt       uint64
	snapBytes    int // command bytes applied since the last snapshot
	snapping     bool
	snapDone     chan *egretmuxv1.SnapshotMeta

	appendTime atomic.Int64 // of the newest append, in nanoseconds

	statusMu sync.RWMutex
	status   core.Status
	changed  chan struct{} // closed and replaced when role, term or leader change
}

// NewNode restores the state machine and returns a node that Run starts.
func NewNode(cfg Config) (*Node, error) {
	cfg.setDefaults()
	n := &Node{
		cfg:       cfg,
		proposals: make(chan proposal, proposalQueue),
		messages:  make(chan []*egretmuxv1.Message, messageQueue),
		reads:     make(chan readWaiter, readQueueLength),
		control:   make(chan func(*core.Core), controlQueue),
		stop:      make(chan struct{}),
		stopped:   make(chan struct{}),
		waiting:   make(map[uint64]waiter),
		tokens:    make(map[uint64]readWaiter),
		snapDone:  make(chan *egretmuxv1.SnapshotMeta, 1),
		changed:   make(chan struct{}),
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
		n.snapAt = snap.GetIndex()
	}
	n.core = core.New(core.Config{
		ID: cfg.ID, ElectionTicks: cfg.ElectionTicks, HeartbeatTicks: cfg.HeartbeatTicks, Rand: cfg.Rand,
	}, core.InitialState{HardState: cfg.Recovered.HardState, Snapshot: cfg.Recovered.Snapshot, Entries: cfg.Recovered.Entries})
	n.publishStatus()
	return n, nil
}

// Run drives the replica until Stop or a disk failure.
func (n *Node) Run() {
	defer close(n.stopped)
	ticker := time.NewTicker(n.cfg.Tick)
	defer ticker.Stop()
	for {
		if !n.await(ticker.C) {
			n.failAll(ErrStopped)
			return
		}
		if err := n.process(); err != nil {
			n.cfg.Logger.Error().Err(err).Str("event", "replica_stopped").Msg("disk failure")
			n.failAll(ErrStopped)
			if n.cfg.OnFailure != nil {
				n.cfg.OnFailure(err)
			}
			return
		}
	}
}

// Stop ends Run and waits for it.
func (n *Node) Stop() {
	n.stopOnce.Do(func() { close(n.stop) })
	<-n.stopped
}

// await takes up one event and whatever else is already there.
func (n *Node) await(tick <-chan time.Time) bool {
	select {
	case <-n.stop:
		return false
	case <-tick:
		n.core.Tick()
	case p := <-n.acceptProposals():
		n.propose(p)
	case m := <-n.messages:
		n.stepAll(m)
	case r := <-n.reads:
		n.read(r)
	case f := <-n.control:
		f(n.core)
	case meta := <-n.snapDone:
		n.snapshotDone(meta)
	}
	for range maxBatch {
		select {
		case m := <-n.messages:
			n.stepAll(m)
		case p := <-n.acceptProposals():
			n.propose(p)
		case r := <-n.reads:
			n.read(r)
		case f := <-n.control:
			f(n.core)
		default:
			return true
		}
	}
	return true
}

// acceptProposals returns the queue of proposals, or nil while too many wait
// for their commit.
func (n *Node) acceptProposals() <-chan proposal {
	if len(n.waiting) >= maxWaiting || n.waitingBytes >= maxWaitingBytes {
		return nil
	}
	return n.proposals
}

func (n *Node) stepAll(messages []*egretmuxv1.Message) {
	for _, m := range messages {
		n.core.Step(m)
	}
}

// process carries out the core's outputs until there are none.
func (n *Node) process() error {
	for n.core.HasOutput() {
		out := n.core.Output()
		if out.Stale {
			return ErrStale
		}
		n.sendAll(out.Messages)
		if err := n.persist(out); err != nil {
			return err
		}
		n.core.MarkPersisted()
		n.sendAll(out.AfterSync)
		n.apply(out.Committed)
		n.answerReads(out.Reads)
	}
	n.publishStatus()
	n.maybeSnapshot()
	return nil
}

func (n *Node) persist(out core.Output) error {
	for _, c := range out.Chunks {
		if err := n.cfg.Log.WriteChunk(c.Meta, c.Offset, c.Data, c.Last); err != nil {
			return err
		}
		if !c.Last {
			continue
		}
		data, err := n.cfg.Log.LoadSnapshot(c.Meta)
		if err != nil {
			return err
		}
		if err := n.cfg.Machine.Restore(data); err != nil {
			return err
		}
		n.applied = c.Meta.GetIndex()
		n.snapAt = c.Meta.GetIndex()
		telemetry.Count("replica_snapshots_installed_total")
		n.cfg.Logger.Info().Str("event", "snapshot_installed").Uint64("index", n.applied).Msg("")
	}
	if out.HardState == nil && len(out.Entries) == 0 {
		return nil
	}
	began := time.Now()
	err := n.cfg.Log.Append(out.HardState, out.Entries)
	took := time.Since(began)
	telemetry.ObserveSeconds("log_append", took)
	n.appendTime.Store(int64(took))
	return err
}

// AppendTime returns how long the newest append to the log took.
func (n *Node) AppendTime() time.Duration { return time.Duration(n.appendTime.Load()) }

func (n *Node) apply(entries []*egretmuxv1.Entry) {
	for _, e := range entries {
		var value any
		if e.GetKind() == egretmuxv1.EntryKind_ENTRY_KIND_COMMAND && len(e.GetData()) > 0 {
			value = n.cfg.Machine.Apply(e.GetIndex(), e.GetData())
		}
		n.applied = e.GetIndex()
		n.snapBytes += len(e.GetData())
		w, ok := n.waiting[e.GetIndex()]
		if !ok {
			continue
		}
		if w.term == e.GetTerm() {
			n.answer(e.GetIndex(), w, result{value: value})
		} else {
			n.answer(e.GetIndex(), w, result{err: ErrOutcomeUnknown})
		}
	}
	n.releaseReads()
}

// sendAll groups messages by receiver and fills in snapshot chunks.
func (n *Node) sendAll(messages []*egretmuxv1.Message) {
	groups := make(map[uint64][]*egretmuxv1.Message)
	var order []uint64
	for _, m := range messages {
		if m.GetKind() == egretmuxv1.MessageKind_MESSAGE_KIND_SNAPSHOT && !n.fillChunk(m) {
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
			// Not in the membership: answered by its identity alone.
			to = &egretmuxv1.Replica{Id: id}
		}
		n.cfg.Transport.Send(to, groups[id])
	}
}

func (n *Node) failAll(err error) {
	for i, w := range n.waiting {
		n.answer(i, w, result{err: ErrOutcomeUnknown})
	}
	for t, w := range n.tokens {
		w.done <- err
		delete(n.tokens, t)
	}
	for _, w := range n.confirmed {
		w.done <- err
	}
	n.confirmed = nil
}

// publishStatus makes the core's status visible and fails the proposals of a
// term that this replica no longer leads.
func (n *Node) publishStatus() {
	s := n.core.Status()
	n.statusMu.Lock()
	old := n.status
	n.status = s
	changed := old.Role != s.Role || old.Term != s.Term || old.Leader != s.Leader
	if changed {
		close(n.changed)
		n.changed = make(chan struct{})
	}
	n.statusMu.Unlock()
	if !changed {
		return
	}
	if old.Role != s.Role {
		telemetry.Count(`replica_role_changes_total{role="` + s.Role.String() + `"}`)
	}
	n.cfg.Logger.Info().Str("event", "role_changed").Stringer("role", s.Role).Uint64("term", s.Term).Uint64("leader", s.Leader).Msg("")
	for i, w := range n.waiting {
		if s.Role != core.Leader || w.term != s.Term {
			n.answer(i, w, result{err: ErrOutcomeUnknown})
		}
	}
}

// Status returns the newest status and a channel that is closed when role,
// term or leader change.
func (n *Node) Status() (core.Status, <-chan struct{}) {
	n.statusMu.RLock()
	defer n.statusMu.RUnlock()
	return n.status, n.changed
}
