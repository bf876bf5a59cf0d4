// Package core is the deterministic part of the replicated log: leader
// election, replication, membership change and read confirmation.
//
// A Core has no clock, goroutine or I/O. It is stepped by ticks, messages and
// proposals, and hands back an Output that its driver must carry out in order:
// send Output.Messages, persist Output.HardState, Output.Entries and
// Output.Chunks, call Persisted, send Output.AfterSync, then apply
// Output.Committed.
//
// Invariants:
//   - at most one replica leads in a term;
//   - a committed entry is in the log of every later leader;
//   - commit never decreases, and an entry at or below commit never changes;
//   - a vote or an acknowledgement leaves the replica only after what it
//     promises has been persisted.
package core

import (
	"sort"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Limits of one replication stream.
const (
	maxAppendEntries = 1024      // entries in one append message
	maxAppendBytes   = 512 << 10 // bytes of entry data in one append message
	maxInflight      = 32        // unacknowledged append messages to one replica
)

// Limits of the entries kept in memory behind a snapshot for slow replicas.
const (
	maxRetainedEntries = 100_000
	maxRetainedBytes   = 32 << 20
)

// Role is what a replica currently does.
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
	ElectionTicks  int             // ticks without a leader before an election starts
	HeartbeatTicks int             // ticks between a leader's heartbeats
	Rand           func(n int) int // uniform in [0, n); spreads elections
}

// InitialState is the persisted state a Core starts from.
type InitialState struct {
	HardState *egretmuxv1.HardState
	Snapshot  *egretmuxv1.SnapshotMeta // nil when there is none
	Entries   []*egretmuxv1.Entry      // follow the snapshot without a gap
}

// Read is a confirmed read: every entry committed when it was asked for has an
// index of at most Index.
type Read struct {
	Token uint64
	Index uint64
	OK    bool // false: leadership was lost before the read was confirmed
}

// Output is the work a Core asks of its driver.
type Output struct {
	Messages  []*egretmuxv1.Message // may be sent at once
	HardState *egretmuxv1.HardState // to persist; nil when unchanged
	Entries   []*egretmuxv1.Entry   // to append, replacing any from the first one's index on
	Chunks    []Chunk               // snapshot parts to store, in order
	AfterSync []*egretmuxv1.Message // only after everything above is persisted
	Committed []*egretmuxv1.Entry   // to apply, in order
	Reads     []Read
	Stale     bool // this replica lost what it had acknowledged; stop it
}

// Chunk is a received part of a snapshot. When Last is set, the log has been
// reset to Meta and the driver must load the whole snapshot before it persists
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
	applied   uint64 // last index handed out in Output.Committed
	persisted uint64 // last index known to be on disk

	members  membershipHistory
	progress map[uint64]*progress
	votes    map[uint64]bool
	incoming incomingSnapshot

	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int
	transferTo       uint64
	transferElapsed  int
	recentCommit     [recentHeartbeats]uint64 // commit at the last heartbeats, newest first

	stale bool // forgot acknowledged entries; takes no further part

	reads readQueue

	out       Output
	savedHard egretmuxv1.HardState
}

// New returns a follower that continues from the persisted state.
func New(cfg Config, init InitialState) *Core {
	c := &Core{cfg: cfg, log: newMemoryLog(init.Snapshot, init.Entries)}
	if init.HardState != nil {
		c.term = init.HardState.GetTerm()
		c.vote = init.HardState.GetVote()
		c.commit = init.HardState.GetCommit()
	}
	c.term = max(c.term, c.log.lastTerm())
	c.commit = min(max(c.commit, c.log.snapIndex), c.log.last())
	c.applied = c.log.snapIndex
	c.persisted = c.log.last()
	c.members.reset(init.Snapshot)
	for _, e := range init.Entries {
		c.members.observe(e)
	}
	c.savedHard = egretmuxv1.HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
	c.becomeFollower(c.term, 0)
	// A leader that is there is heard from within a heartbeat. After a restart of
	// all replicas there is none, and nothing to wait for.
	c.electionTimeout = c.retryTicks(2)
	return c
}

// Status is a view of a Core for reports and tests.
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
		First: c.log.snapIndex + 1, Last: c.log.last(),
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

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Leader returns the replica believed to lead, or zero.
func (c *Core) Leader() uint64 { return c.leader }

// Output returns the pending work and clears it. Each Output must be carried
// out completely before the next one is taken.
func (c *Core) Output() Output {
	c.out.Entries = c.log.unstableEntries()
	c.out.Stale = c.stale
	// A commit index alone promises nothing; it is persisted with the next entries.
	moved := c.commit != c.savedHard.GetCommit() && len(c.out.Entries) > 0
	if moved || c.hasUnsavedVote() {
		c.savedHard = egretmuxv1.HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
		c.out.HardState = &egretmuxv1.HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
	}
	if c.commit > c.applied {
		c.out.Committed = c.log.slice(c.applied+1, c.commit)
		c.applied = c.commit
	}
	out := c.out
	c.out = Output{}
	return out
}

// HasOutput reports whether Output would return any work.
func (c *Core) HasOutput() bool {
	return len(c.out.Messages) > 0 || len(c.out.AfterSync) > 0 || len(c.out.Reads) > 0 ||
		len(c.out.Chunks) > 0 || c.log.hasUnstable() || c.commit > c.applied ||
		c.stale || c.hasUnsavedVote()
}

func (c *Core) hasUnsavedVote() bool {
	return c.term != c.savedHard.GetTerm() || c.vote != c.savedHard.GetVote()
}

// MarkPersisted tells the core that the last Output is on disk.
func (c *Core) MarkPersisted() {
	c.persisted = c.log.markStable()
	if c.role == Candidate && c.vote == c.cfg.ID {
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

// Compact records a newer snapshot and forgets the entries that it covers, but
// for those from keepFrom on and those that a live replica is about to need.
// It returns the first entry kept.
func (c *Core) Compact(meta *egretmuxv1.SnapshotMeta, keepFrom uint64) uint64 {
	if meta.GetIndex() > c.applied {
		return c.log.snapIndex + 1
	}
	for id, p := range c.progress {
		if id != c.cfg.ID && p.idle < c.cfg.ElectionTicks {
			keepFrom = min(keepFrom, p.needsFrom())
		}
	}
	keepFrom = max(keepFrom, c.log.firstWithin(maxRetainedBytes, maxRetainedEntries))
	c.log.compact(meta, keepFrom)
	c.members.prune(c.log.snapIndex)
	return c.log.snapIndex + 1
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

// sendAfterSync queues a message that promises something persisted.
func (c *Core) sendAfterSync(m *egretmuxv1.Message) {
	m.From = c.cfg.ID
	if m.GetTerm() == 0 {
		m.Term = c.term
	}
	c.out.AfterSync = append(c.out.AfterSync, m)
}

func (c *Core) committedInTerm() bool { return c.log.termAt(c.commit) == c.term }

// peers returns the other replicas in ascending order, so that runs repeat.
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
