// Package consensus drives the deterministic core: it ticks it, persists what
// it asks for, exchanges its messages and applies committed commands.
package consensus

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/core"
	"github.com/egretmux/egretmux/internal/consensus/wal"
)

// StateMachine is what the log's commands are applied to. Apply and Restore
// are called by one goroutine, in log order.
type StateMachine interface {
	// Apply carries out a command and returns its result for the proposer.
	Apply(index uint64, command []byte) any
	// Capture returns a function that writes the state as of now. Capture must
	// be quick; the function runs beside later Applies.
	Capture() func(io.Writer) error
	// Restore replaces the state by a captured one.
	Restore(data []byte) error
}

// Transport carries messages to other replicas. Send must not block; it may
// drop messages.
type Transport interface {
	Send(to *egretmuxv1.Replica, messages []*egretmuxv1.Message)
}

// Errors of Propose and ConfirmLeader.
var (
	ErrNotLeader      = errors.New("this instance does not lead; ask the leader")
	ErrOutcomeUnknown = errors.New("leadership was lost before the outcome was known; resend with the same change id")
	ErrStopped        = errors.New("the replica has stopped; see its log for the cause")
	ErrStale          = errors.New("the data folder is older than what this replica has acknowledged to the others; move it away and restart: the instance rejoins with a new identity")
)

// Config holds the parts and timing of a Node.
type Config struct {
	ID              uint64
	Log             *wal.Log
	Recovered       *wal.Recovered
	Machine         StateMachine
	Transport       Transport
	Tick            time.Duration
	ElectionTicks   int
	HeartbeatTicks  int
	SnapshotEntries uint64          // entries between two snapshots
	SnapshotBytes   int             // command bytes between two snapshots; zero means DefaultSnapshotBytes
	KeptEntries     uint64          // entries kept in memory behind a snapshot; zero means DefaultKeptEntries
	ChunkBytes      int             // snapshot bytes in one message; zero means DefaultChunkBytes
	Rand            func(n int) int // uniform in [0, n); nil means math/rand
	Logger          zerolog.Logger
	OnFailure       func(error) // called once when the disk fails
}

const (
	proposalQueue   = 4096     // proposals that wait for the loop
	maxBatch        = 1024     // proposals taken up at once
	maxWaiting      = 16384    // proposals that wait for their commit
	maxWaitingBytes = 32 << 20 // command bytes that wait for their commit
	messageQueue    = 1024
	controlQueue    = 64
	readQueueLength = 4096
)

// Defaults of Config.
const (
	DefaultSnapshotBytes = 32 << 20
	DefaultKeptEntries   = 5000
	DefaultChunkBytes    = 256 << 10
)

type proposal struct {
	term uint64 // that the proposer leads; zero: any
	data []byte
	done chan result
}

type result struct {
	value any
	err   error
}

type waiter struct {
	term uint64
	size int
	done chan result
}

type readWaiter struct {
	index uint64
	done  chan error
}

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
	}, core.Initial{HardState: cfg.Recovered.HardState, Snapshot: cfg.Recovered.Snapshot, Entries: cfg.Recovered.Entries})
	n.publishStatus()
	return n, nil
}

func (c *Config) setDefaults() {
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = DefaultSnapshotBytes
	}
	if c.KeptEntries == 0 {
		c.KeptEntries = DefaultKeptEntries
	}
	if c.ChunkBytes == 0 {
		c.ChunkBytes = DefaultChunkBytes
	}
	if c.Rand == nil {
		c.Rand = rand.IntN
	}
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

// propose hands a batch of waiting proposals to the core.
func (n *Node) propose(first proposal) {
	batch := []proposal{first}
	for len(batch) < maxBatch {
		select {
		case p := <-n.proposals:
			batch = append(batch, p)
			continue
		default:
		}
		break
	}
	if batch = n.ofThisTerm(batch); len(batch) == 0 {
		return
	}
	data := make([][]byte, len(batch))
	for i, p := range batch {
		data[i] = p.data
	}
	index, ok := n.core.Propose(data...)
	for i, p := range batch {
		if !ok {
			p.done <- result{err: ErrNotLeader}
			continue
		}
		n.waiting[index+uint64(i)] = waiter{term: n.core.Term(), size: len(p.data), done: p.done}
		n.waitingBytes += len(p.data)
	}
}

// ofThisTerm refuses the proposals that were made for another term.
func (n *Node) ofThisTerm(batch []proposal) []proposal {
	kept := batch[:0]
	for _, p := range batch {
		if p.term != 0 && p.term != n.core.Term() {
			p.done <- result{err: ErrNotLeader}
			continue
		}
		kept = append(kept, p)
	}
	return kept
}

func (n *Node) read(first readWaiter) {
	tokens := []uint64{n.addRead(first)}
	for len(tokens) < maxBatch {
		select {
		case r := <-n.reads:
			tokens = append(tokens, n.addRead(r))
			continue
		default:
		}
		break
	}
	n.core.ReadIndex(tokens...)
}

func (n *Node) addRead(r readWaiter) uint64 {
	n.nextToken++
	n.tokens[n.nextToken] = r
	return n.nextToken
}

// answer ends the wait of the proposal at a log index.
func (n *Node) answer(index uint64, w waiter, r result) {
	delete(n.waiting, index)
	n.waitingBytes -= w.size
	w.done <- r
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
		n.core.Persisted()
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
		n.cfg.Logger.Info().Str("event", "snapshot_installed").Uint64("index", n.applied).Msg("")
	}
	return n.cfg.Log.Append(out.HardState, out.Entries)
}

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

func (n *Node) answerReads(reads []core.Read) {
	for _, r := range reads {
		w := n.tokens[r.Token]
		delete(n.tokens, r.Token)
		if !r.OK {
			w.done <- ErrNotLeader
			continue
		}
		w.index = r.Index
		n.confirmed = append(n.confirmed, w)
	}
	n.releaseReads()
}

// releaseReads answers the confirmed reads whose index has been applied.
func (n *Node) releaseReads() {
	kept := n.confirmed[:0]
	for _, w := range n.confirmed {
		if w.index <= n.applied {
			w.done <- nil
		} else {
			kept = append(kept, w)
		}
	}
	n.confirmed = kept
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

func (n *Node) fillChunk(m *egretmuxv1.Message) bool {
	data, last, err := n.cfg.Log.ReadChunk(m.GetSnapshot(), m.GetOffset(), n.cfg.ChunkBytes)
	if err != nil {
		n.core.SnapshotUnavailable(m.GetTo())
		return false
	}
	m.Chunk = data
	m.LastChunk = last
	return true
}

// maybeSnapshot starts a snapshot when enough was applied since the last.
func (n *Node) maybeSnapshot() {
	if n.snapping || n.applied == n.snapAt {
		return
	}
	if n.applied < n.snapAt+n.cfg.SnapshotEntries && n.snapBytes < n.cfg.SnapshotBytes {
		return
	}
	n.snapping = true
	n.snapAt = n.applied
	n.snapBytes = 0
	meta := &egretmuxv1.SnapshotMeta{
		Index: n.applied, Term: n.core.TermAt(n.applied), Membership: n.core.MembershipAt(n.applied),
	}
	write := n.cfg.Machine.Capture()
	go func() {
		if err := n.cfg.Log.SaveSnapshot(meta, write); err != nil {
			n.cfg.Logger.Error().Err(err).Str("event", "snapshot_failed").Msg("")
			meta = nil
		}
		n.snapDone <- meta
	}()
}

func (n *Node) snapshotDone(meta *egretmuxv1.SnapshotMeta) {
	n.snapping = false
	if meta == nil {
		return
	}
	keepFrom := uint64(1)
	if meta.GetIndex() > n.cfg.KeptEntries {
		keepFrom = meta.GetIndex() - n.cfg.KeptEntries
	}
	keepFrom = n.core.Compact(meta, keepFrom)
	if err := n.cfg.Log.Compact(keepFrom - 1); err != nil {
		n.cfg.Logger.Error().Err(err).Str("event", "compaction_failed").Msg("")
	}
	n.cfg.Logger.Info().Str("event", "snapshot_saved").Uint64("index", meta.GetIndex()).Msg("")
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

// Propose appends a command and returns its result once it is committed and
// applied here. After ErrOutcomeUnknown or an ended context the command may
// still be applied.
func (n *Node) Propose(ctx context.Context, data []byte) (any, error) {
	return n.ProposeIn(ctx, 0, data)
}

// ProposeIn is Propose for a leader of the given term only: what it decided in
// that term does not enter the log in a later one.
func (n *Node) ProposeIn(ctx context.Context, term uint64, data []byte) (any, error) {
	p := proposal{term: term, data: data, done: make(chan result, 1)}
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-n.stopped:
		return nil, ErrStopped
	}
	select {
	case r := <-p.done:
		return r.value, r.err
	case <-ctx.Done():
		return nil, errors.Mark(ctx.Err(), ErrOutcomeUnknown)
	case <-n.stopped:
		return nil, ErrOutcomeUnknown
	}
}

// ConfirmLeader returns once a quorum has confirmed that this replica still
// led after the call began, and everything committed by then is applied here.
func (n *Node) ConfirmLeader(ctx context.Context) error {
	w := readWaiter{done: make(chan error, 1)}
	select {
	case n.reads <- w:
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopped:
		return ErrStopped
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopped:
		return ErrStopped
	}
}

// Step hands over messages received from other replicas. A full queue drops
// them, as the network might.
func (n *Node) Step(messages []*egretmuxv1.Message) {
	select {
	case n.messages <- messages:
	default:
	}
}

// Do runs f on the core between two events and waits for it.
func (n *Node) Do(ctx context.Context, f func(*core.Core) error) error {
	done := make(chan error, 1)
	select {
	case n.control <- func(c *core.Core) { done <- f(c) }:
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopped:
		return ErrStopped
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopped:
		return ErrStopped
	}
}
