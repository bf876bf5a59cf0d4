package core

import (
	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// progress is what the leader knows of one replica.
type progress struct {
	match     uint64 // last entry known to be persisted there
	next      uint64 // next entry to send
	idle      int    // ticks since the replica last answered
	heard     bool   // it has answered in this term
	probing   bool   // match is not known; one message at a time
	waiting   bool   // a probe or snapshot chunk is under way
	inflight  int    // append messages under way
	snapshot  *egretmuxv1.SnapshotMeta
	offset    uint64 // next snapshot byte to send
	readRound uint64 // newest heartbeat round acknowledged
	stalled   int    // periodic heartbeats since the replica last made progress
}

// needsFrom returns the first entry that the replica may still need.
func (p *progress) needsFrom() uint64 {
	if p.snapshot != nil {
		return p.snapshot.GetIndex() + 1
	}
	return p.match + 1
}

// answered records that the replica is alive.
func (p *progress) answered() {
	p.idle = 0
	p.heard = true
}

// stalledHeartbeats is how many heartbeats without progress mean that a
// message was lost.
const stalledHeartbeats = 2

// incomingSnapshot is a snapshot being received.
type incomingSnapshot struct {
	from, leaderTerm uint64 // files of two leaders may differ
	index, term      uint64
	offset           uint64
}

// Propose appends commands to the leader's log. It returns the index of the
// first one and false when this replica cannot accept proposals.
func (c *Core) Propose(data ...[]byte) (uint64, bool) {
	if c.role != Leader || c.transferTo != 0 {
		return 0, false
	}
	first := c.log.last() + 1
	entries := make([]*egretmuxv1.Entry, len(data))
	for i, d := range data {
		entries[i] = &egretmuxv1.Entry{Kind: egretmuxv1.EntryKind_ENTRY_KIND_COMMAND, Data: d}
	}
	c.appendEntries(entries...)
	return first, true
}

// appendEntries adds entries to the leader's own log and sends them.
func (c *Core) appendEntries(entries ...*egretmuxv1.Entry) {
	for _, e := range entries {
		e.Term = c.term
		e.Index = c.log.last() + 1
		c.log.append(e)
		c.members.observe(e)
	}
	c.broadcastAppend()
}

func (c *Core) broadcastAppend() {
	for _, id := range c.peers() {
		c.sendAppend(id)
	}
}

// sendAppend sends what a replica still lacks, as far as flow control lets it.
func (c *Core) sendAppend(id uint64) {
	p := c.progress[id]
	for p.next <= c.log.last() && !p.waiting && p.inflight < maxInflight {
		if p.next <= c.log.snapIndex {
			c.startSnapshot(id, p)
			return
		}
		entries := c.log.batch(p.next)
		c.send(&egretmuxv1.Message{
			Kind: egretmuxv1.MessageKind_MESSAGE_KIND_APPEND, To: id,
			Index: p.next - 1, LogTerm: c.log.termAt(p.next - 1),
			Entries: entries, Commit: c.commit,
		})
		if p.probing {
			p.waiting = true
			return
		}
		p.inflight++
		p.next += uint64(len(entries))
	}
}

// sendCommit tells a replica that has everything of a newer commit index.
func (c *Core) sendCommit(id uint64) {
	p := c.progress[id]
	if p.probing || p.waiting || p.next <= c.log.snapIndex {
		return
	}
	c.send(&egretmuxv1.Message{
		Kind: egretmuxv1.MessageKind_MESSAGE_KIND_APPEND, To: id,
		Index: p.next - 1, LogTerm: c.log.termAt(p.next - 1), Commit: c.commit,
	})
}

func (c *Core) broadcastHeartbeat() {
	for _, id := range c.peers() {
		p := c.progress[id]
		c.send(&egretmuxv1.Message{
			Kind: egretmuxv1.MessageKind_MESSAGE_KIND_HEARTBEAT, To: id,
			Commit: min(c.commit, p.match), Index: p.match, Context: c.reads.round,
		})
	}
}

func (c *Core) handleAppend(m *egretmuxv1.Message) {
	c.followLeader(m.GetFrom())
	reply := &egretmuxv1.Message{Kind: egretmuxv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.GetFrom()}
	prev, prevTerm, entries := m.GetIndex(), m.GetLogTerm(), m.GetEntries()
	last := prev + uint64(len(entries))
	if last < c.commit {
		reply.Index = c.commit
		c.sendAfterSync(reply)
		return
	}
	if prev < c.commit {
		// Everything up to commit is already the same as the leader's.
		entries = entries[c.commit-prev:]
		prev, prevTerm = c.commit, c.log.termAt(c.commit)
	}
	if prev > c.log.last() || c.log.termAt(prev) != prevTerm {
		reply.Reject = true
		reply.Index = prev
		reply.Hint = c.conflictHint(prev)
		c.sendAfterSync(reply)
		return
	}
	c.appendMissing(entries)
	c.commitTo(min(m.GetCommit(), last))
	reply.Index = last
	c.sendAfterSync(reply)
}

func (c *Core) followLeader(id uint64) {
	if c.role != Follower || c.leader != id {
		c.becomeFollower(c.term, id)
	}
	c.electionElapsed = 0
}

// conflictHint returns the last index at which this log may agree with the
// leader's, skipping the whole conflicting term.
func (c *Core) conflictHint(prev uint64) uint64 {
	i := min(prev, c.log.last())
	if i < prev {
		return i
	}
	term := c.log.termAt(i)
	for i > c.commit && i > c.log.snapIndex && c.log.termAt(i) == term {
		i--
	}
	return max(i, c.commit)
}

// appendMissing adds the entries that this log lacks, after dropping those
// that differ from the leader's.
func (c *Core) appendMissing(entries []*egretmuxv1.Entry) {
	for i, e := range entries {
		if e.GetIndex() <= c.log.last() {
			if c.log.termAt(e.GetIndex()) == e.GetTerm() {
				continue
			}
			c.log.truncate(e.GetIndex())
			c.members.truncate(e.GetIndex())
			c.persisted = min(c.persisted, e.GetIndex()-1)
		}
		c.log.append(entries[i:]...)
		for _, added := range entries[i:] {
			c.members.observe(added)
		}
		return
	}
}

func (c *Core) commitTo(index uint64) {
	c.commit = max(c.commit, min(index, c.log.last()))
}

func (c *Core) handleHeartbeat(m *egretmuxv1.Message) {
	c.followLeader(m.GetFrom())
	if m.GetIndex() > c.log.last() {
		// The leader was told of entries that this log does not hold: the disk
		// came back older than it was.
		c.stale = true
		return
	}
	c.commitTo(m.GetCommit())
	c.sendAfterSync(&egretmuxv1.Message{
		Kind: egretmuxv1.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, To: m.GetFrom(),
		Context: m.GetContext(), Index: c.log.last(),
	})
}

func (c *Core) handleAppendReply(m *egretmuxv1.Message) {
	p := c.progress[m.GetFrom()]
	if c.role != Leader || p == nil {
		return
	}
	p.answered()
	p.stalled = 0
	if m.GetReject() {
		c.handleAppendReject(m, p)
		return
	}
	p.inflight = max(0, p.inflight-1)
	if m.GetIndex() > p.match {
		p.match = m.GetIndex()
	}
	if p.snapshot != nil && p.match >= p.snapshot.GetIndex() {
		p.snapshot = nil
	}
	if p.snapshot == nil {
		p.probing = false
		p.waiting = false
	}
	p.next = max(p.next, p.match+1)
	c.advanceCommit()
	if c.role != Leader {
		return // its own removal was committed
	}
	c.maybeTransfer(m.GetFrom(), p)
	c.sendAppend(m.GetFrom())
}

func (c *Core) handleAppendReject(m *egretmuxv1.Message, p *progress) {
	if p.snapshot != nil || m.GetIndex() <= p.match && !p.probing {
		return
	}
	p.probing = true
	p.waiting = false
	p.inflight = 0
	p.next = max(p.match+1, min(m.GetIndex(), m.GetHint()+1))
	c.sendAppend(m.GetFrom())
}

func (c *Core) handleHeartbeatReply(m *egretmuxv1.Message) {
	p := c.progress[m.GetFrom()]
	if c.role != Leader || p == nil {
		return
	}
	p.answered()
	p.readRound = max(p.readRound, m.GetContext())
	c.confirmReads()
	if p.stalled >= stalledHeartbeats {
		p.stalled = 0
		c.resume(m.GetFrom(), p, m.GetIndex())
	}
}

// resume repeats what may have been lost: a snapshot chunk, entries, or the
// reply that tells what the replica holds.
func (c *Core) resume(id uint64, p *progress, last uint64) {
	if p.snapshot != nil {
		c.sendSnapshotChunk(id, p)
		return
	}
	p.waiting = false
	p.inflight = 0
	if p.match >= c.log.last() {
		return
	}
	p.next = max(p.match+1, min(p.next, last+1))
	if p.next > c.log.last() {
		p.probing = false
		c.sendCommit(id)
	}
	p.probing = true
	c.sendAppend(id)
}

// advanceCommit commits what a quorum has persisted, provided that the newest
// such entry is of this term.
func (c *Core) advanceCommit() {
	index := c.members.quorumIndex(func(id uint64) uint64 {
		if p := c.progress[id]; p != nil {
			return p.match
		}
		return 0
	})
	if index <= c.commit || c.log.termAt(index) != c.term {
		return
	}
	c.commit = index
	for _, id := range c.peers() {
		if c.progress[id].next > c.log.last() {
			c.sendCommit(id)
		}
	}
	c.startReads()
	c.stepDownIfRemoved()
}
