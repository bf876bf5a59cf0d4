// Package core is the deterministic part of the replicated log: leader
// election, replication, membership change and read confirmation.
//
// A Core has no clock, goroutine or I/O. Its driver feeds it ticks, messages
// and proposals, and processes each Output: it sends Output.Messages, stores
// Output.Chunks, and applies Output.Committed. It begins to persist
// Output.HardState and Output.Entries, and calls MarkPersisted and sends
// Output.AfterSync once they are persisted. Until then it feeds the Core further
// events and requests further Outputs, which have nothing to persist.
//
// Invariants:
//   - at most one replica leads in a term;
//   - a committed entry is in the log of every later leader;
//   - commit never decreases, and an entry at or below commit never changes;
//   - a vote or an acknowledgement is sent only after the state that it
//     attests has been persisted.
package core

import (
	"sort"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Limits of the replication to one replica.
const (
	maxAppendEntries = 1024      // entries in one append message
	maxAppendBytes   = 512 << 10 // bytes of entry data in one append message
	maxInflight      = 32        // unacknowledged append messages to one replica
)

// Limits of the entries kept in memory for slow replicas after a snapshot
// covers them.
const (
	maxRetainedEntries = 100_000
	maxRetainedBytes   = 32 << 20
)

// Role is the role of a replica in the current term.
type Role int

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name for logs.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Config holds the fixed parameters of a Core.
type Config struct {
	ID             uint64          // this replica; not zero
	ElectionTicks  int             // minimum election timeout; up to as much again is added at random
	HeartbeatTicks int             // ticks between a leader's heartbeats
	Rand           func(n int) int // uniform in [0, n); randomizes the election timeout
}

// InitialState is the persisted state a Core starts from.
type InitialState struct {
	HardState *egretmuxv1.HardState
	Snapshot  *egretmuxv1.SnapshotMeta // nil when there is none
	Entries   []*egretmuxv1.Entry      // entries after the snapshot, without a gap
}

// Read is the answer to a ReadIndex request. Every entry committed when the
// request was made has an index of at most Index.
type Read struct {
	Token uint64
	Index uint64
	OK    bool // false: this replica does not lead, or lost leadership before the confirmation
}

// Output is the work a Core asks of its driver.
type Output struct {
	Messages  []*egretmuxv1.Message // messages to send immediately
	HardState *egretmuxv1.HardState // hard state to persist; nil when unchanged
	Entries   []*egretmuxv1.Entry   // entries to append, replacing any from the first one's index on
	Chunks    []Chunk               // received snapshot chunks to store, in order
	AfterSync []*egretmuxv1.Message // messages to send once everything above is persisted
	Committed []*egretmuxv1.Entry   // entries to apply, in order; a quorum has persisted them, this replica may not have
	Reads     []Read
	Stale     bool // the disk lost acknowledged entries; the driver must stop this replica
}

// Chunk is a received chunk of a snapshot. When Last is set, the log has been
// reset to Meta, and the driver must load the whole snapshot before it persists
// or applies anything else.
type Chunk struct {
	Meta   *egretmuxv1.SnapshotMeta
	Offset uint64
	Data   []byte
	Last   bool
}

// Core is one replica. It is not safe for concurrent use.
type Core struct {
	cfg    Config
	role   Role
	term   uint64
	vote   uint64
	leader uint64

	log       *memoryLog
	commit    uint64
	commitDue bool   // the other replicas are to be told of commit
	applied   uint64 // last index handed out in Output.Committed
	persisted uint64 // last index known to be persisted

	members  membershipHistory
	progress map[uint64]*progress
	votes    map[uint64]bool // in the current term, while this replica campaigns
	preVotes map[uint64]bool
	incoming incomingSnapshot

	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int
	transferTo       uint64
	transferElapsed  int
	recentCommit     [caughtUpHeartbeats]uint64 // commit index at the last heartbeats, newest first

	stale bool // the disk lost acknowledged entries; ticks and messages are ignored

	reads readQueue

	out           Output
	persisting    bool                 // the driver has not persisted an earlier Output yet
	lastHardState egretmuxv1.HardState // newest one handed to the driver
	savedTerm     uint64               // term and vote known to be persisted
	savedVote     uint64
}

// New returns a follower that resumes from the persisted state.
func New(cfg Config, init InitialState) *Core {
	c := &Core{cfg: cfg, log: newMemoryLog(init.Snapshot, init.Entries)}
	if init.HardState != nil {
		c.term = init.HardState.GetTerm()
		c.vote = init.HardState.GetVote()
		c.commit = init.HardState.GetCommit()
	}
	if c.log.lastTerm() > c.term {
		c.term, c.vote = c.log.lastTerm(), 0
	}
	c.commit = min(max(c.commit, c.log.compactedIndex), c.log.last())
	c.applied = c.log.compactedIndex
	c.persisted = c.log.last()
	c.members.reset(init.Snapshot)
	for _, e := range init.Entries {
		c.members.recordIfMembership(e)
	}
	c.lastHardState = egretmuxv1.HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
	c.savedTerm, c.savedVote = c.term, c.vote
	c.becomeFollower(c.term, 0)
	// The first timeout is short: an existing leader sends a heartbeat well before
	// it ends, and after a restart of all replicas there is no leader to wait for.
	c.electionTimeout = c.retryTicks(2)
	return c
}

// Status is a copy of a Core's state for reports and tests.
type Status struct {
	ID, Term, Leader     uint64
	Role                 Role
	Commit, Applied      uint64
	First, Last          uint64
	Membership           *egretmuxv1.Membership
	MembershipIndex      uint64 // log index of the membership
	MembershipCommitted  bool
	Match                map[uint64]uint64 // by replica; only on the leader
	CommittedInThisTerm  bool
	TransferInProgressTo uint64
}

// Status returns the current state.
func (c *Core) Status() Status {
	s := Status{
		ID: c.cfg.ID, Term: c.term, Leader: c.leader, Role: c.role,
		Commit: c.commit, Applied: c.applied,
		First: c.log.compactedIndex + 1, Last: c.log.last(),
		Membership:           c.members.current(),
		MembershipIndex:      c.members.index(),
		MembershipCommitted:  c.members.index() <= c.commit,
		CommittedInThisTerm:  c.committedInTerm(),
		TransferInProgressTo: c.transferTo,
	}
	if c.role == Leader {
		s.Match = make(map[uint64]uint64, len(c.progress))
		for id, p := range c.progress {
			s.Match[id] = p.match
		}
	}
	return s
}

// SilentTicks returns the ticks since each other replica last replied, by replica, or
// nil if this replica does not lead.
func (c *Core) SilentTicks() map[uint64]int {
	if c.role != Leader {
		return nil
	}
	out := make(map[uint64]int, len(c.progress))
	for _, id := range c.peers() {
		out[id] = c.progress[id].ticksSinceReply
	}
	return out
}

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Leader returns the leader known to this replica, or zero.
func (c *Core) Leader() uint64 { return c.leader }

// Output returns the pending work and clears it. While an earlier Output is being
// persisted, it returns nothing to persist.
func (c *Core) Output() Output {
	if !c.persisting {
		c.sendDueCommits() // meanwhile commits gather; heartbeats tell of them as well
	}
	out := Output{Messages: c.out.Messages, Reads: c.out.Reads, Stale: c.stale}
	c.out.Messages, c.out.Reads = nil, nil
	if !c.persisting {
		c.addWrite(&out)
	}
	if c.hasCommitted() {
		out.Committed = c.log.slice(c.applied+1, c.commit)
		c.applied = c.commit
	}
	return out
}

// addWrite adds everything that is to be persisted, and what waits for that.
func (c *Core) addWrite(out *Output) {
	out.Chunks, out.AfterSync = c.out.Chunks, c.out.AfterSync
	c.out.Chunks, c.out.AfterSync = nil, nil
	out.Entries = c.log.unstableEntries()
	// No message depends on the persisted commit index, so it is persisted only
	// along with new entries, a term or a vote.
	commitAdvanced := c.commit != c.lastHardState.GetCommit() && len(out.Entries) > 0
	if commitAdvanced || c.hasUnsavedTermOrVote() {
		c.lastHardState = egretmuxv1.HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
		out.HardState = &egretmuxv1.HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
	}
	c.persisting = out.HardState != nil || len(out.Entries) > 0 || len(out.Chunks) > 0
}

// HasOutput reports whether Output would return any work.
func (c *Core) HasOutput() bool {
	if len(c.out.Messages) > 0 || len(c.out.Reads) > 0 || c.stale || c.hasCommitted() {
		return true
	}
	return !c.persisting && (c.commitDue || len(c.out.AfterSync) > 0 || len(c.out.Chunks) > 0 || c.log.hasUnstable() || c.hasUnsavedTermOrVote())
}

// hasCommitted reports whether there are entries to apply. Entries after a received
// snapshot have to wait until the driver has loaded that.
func (c *Core) hasCommitted() bool {
	return c.commit > c.applied && (!c.persisting || len(c.out.Chunks) == 0)
}

func (c *Core) hasUnsavedTermOrVote() bool {
	return c.term != c.lastHardState.GetTerm() || c.vote != c.lastHardState.GetVote()
}

// MarkPersisted tells the core that everything that it has handed out is persisted.
func (c *Core) MarkPersisted() {
	c.persisting = false
	c.persisted = c.log.markStable()
	c.savedTerm, c.savedVote = c.lastHardState.GetTerm(), c.lastHardState.GetVote()
	if c.campaigns() && c.hasSavedTermAndVote() {
		c.countVote(c.cfg.ID, true)
	}
	if c.role != Leader {
		return
	}
	if p := c.progress[c.cfg.ID]; p != nil {
		p.match = max(p.match, c.persisted)
		p.next = p.match + 1
		c.advanceCommit()
	}
}

// Compact records a newer snapshot and drops the entries that it covers, except
// those from keepFrom on, those that are not persisted yet, and those that a live
// replica still needs, as far as maxRetainedEntries and maxRetainedBytes allow. A
// replica that needs older ones gets a snapshot. Compact returns the index of the
// first entry kept.
func (c *Core) Compact(meta *egretmuxv1.SnapshotMeta, keepFrom uint64) uint64 {
	if meta.GetIndex() > c.applied {
		return c.log.compactedIndex + 1
	}
	for id, p := range c.progress {
		if id != c.cfg.ID && p.ticksSinceReply < c.cfg.ElectionTicks {
			keepFrom = min(keepFrom, p.firstNeeded())
		}
	}
	keepFrom = max(keepFrom, c.log.firstWithinLimits(maxRetainedBytes, maxRetainedEntries))
	keepFrom = min(keepFrom, c.log.unstable) // the stored log must not have a gap
	c.log.compact(meta, keepFrom)
	c.members.prune(c.log.compactedIndex)
	return c.log.compactedIndex + 1
}

// Replica returns a member of the current membership, or nil.
func (c *Core) Replica(id uint64) *egretmuxv1.Replica { return c.members.replica(id) }

// MembershipAt returns the membership in force at the given log index.
func (c *Core) MembershipAt(index uint64) *egretmuxv1.Membership { return c.members.at(index) }

// TermAt returns the term of the entry at index; zero when it is not known.
func (c *Core) TermAt(index uint64) uint64 { return c.log.termAt(index) }

func (c *Core) send(m *egretmuxv1.Message) {
	m.From = c.cfg.ID
	if m.GetTerm() == 0 {
		m.Term = c.term
	}
	c.out.Messages = append(c.out.Messages, m)
}

// sendAfterSync queues a message that must not be sent before the state that it
// attests is persisted.
func (c *Core) sendAfterSync(m *egretmuxv1.Message) {
	m.From = c.cfg.ID
	if m.GetTerm() == 0 {
		m.Term = c.term
	}
	c.out.AfterSync = append(c.out.AfterSync, m)
}

func (c *Core) committedInTerm() bool { return c.log.termAt(c.commit) == c.term }

// peers returns the other replicas in ascending order, which keeps the core
// deterministic.
func (c *Core) peers() []uint64 {
	ids := make([]uint64, 0, len(c.progress))
	for id := range c.progress {
		if id != c.cfg.ID {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
