package core

import (
	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// progress is the leader's view of one replica.
type progress struct {
	match             uint64                   // last index known to be persisted on the replica
	next              uint64                   // next index to send
	ticksSinceReply   int                      // ticks since the replica last answered
	hasReplied        bool                     // replied at least once in this term
	probing           bool                     // match is not known; one append message at a time
	awaitingReply     bool                     // a probe or snapshot chunk is in flight
	inflight          int                      // unacknowledged append messages
	snapshot          *egretmuxv1.SnapshotMeta // snapshot being sent; nil when none
	offset            uint64                   // next snapshot byte to send
	readRound         uint64                   // newest heartbeat round acknowledged
	received          uint64                   // highest last index that the replica has reported, persisted or not
	heartbeatsStalled int                      // periodic heartbeats since the replica last made progress
}

// firstNeeded returns the first index that the replica may still need.
func (p *progress) firstNeeded() uint64 {
	if p.snapshot != nil {
		return p.snapshot.GetIndex() + 1
	}
	return p.match + 1
}

// recordReply records that the replica replied in this term.
func (p *progress) recordReply() {
	p.ticksSinceReply = 0
	p.hasReplied = true
}

// resendAfterHeartbeats is the number of heartbeats without progress after
// which a message counts as lost.
const resendAfterHeartbeats = 2

// incomingSnapshot is a snapshot being received.
type incomingSnapshot struct {
	from, leaderTerm uint64 // the files of two leaders may differ
	index, term      uint64
	offset           uint64 // next byte expected
}

// Propose appends commands to the leader's log and returns the index of the
// first one. It returns false when this replica cannot accept proposals.
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
		c.members.recordIfMembership(e)
	}
	c.broadcastAppend()
}

func (c *Core) broadcastAppend() {
	for _, id := range c.peers() {
		c.sendAppend(id)
	}
}

// sendAppend sends the entries that a replica lacks, as far as flow control
// allows.
func (c *Core) sendAppend(id uint64) {
	p := c.progress[id]
	for p.next <= c.log.last() && !p.awaitingReply && p.inflight < maxInflight {
		if p.next <= c.log.compactedIndex {
			c.startSnapshot(id, p)
			return
		}
		entries := c.log.nextBatch(p.next)
		c.send(&egretmuxv1.Message{
			Kind: egretmuxv1.MessageKind_MESSAGE_KIND_APPEND, To: id,
			Index: p.next - 1, LogTerm: c.log.termAt(p.next - 1),
			Entries: entries, Commit: c.commit, Hint: c.persisted,
		})
		if p.probing {
			p.awaitingReply = true
			return
		}
		p.inflight++
		p.next += uint64(len(entries))
	}
}

// sendCommit sends the commit index to a replica to which all entries have been
// sent.
func (c *Core) sendCommit(id uint64) {
	p := c.progress[id]
	if p.probing || p.awaitingReply || p.next <= c.log.compactedIndex {
		return
	}
	c.send(&egretmuxv1.Message{
		Kind: egretmuxv1.MessageKind_MESSAGE_KIND_APPEND, To: id,
		Index: p.next - 1, LogTerm: c.log.termAt(p.next - 1), Commit: c.commit, Hint: c.persisted,
	})
}

func (c *Core) broadcastHeartbeat() {
	for _, id := range c.peers() {
		p := c.progress[id]
		c.send(&egretmuxv1.Message{
			Kind: egretmuxv1.MessageKind_MESSAGE_KIND_HEARTBEAT, To: id,
			Commit: min(c.commit, p.match), Index: p.match, LogTerm: c.log.termAt(p.match), Context: c.reads.round, Hint: c.persisted,
		})
	}
}

func (c *Core) handleAppend(m *egretmuxv1.Message) {
	c.followLeader(m.GetFrom())
	prev, prevTerm, entries := m.GetIndex(), m.GetLogTerm(), m.GetEntries()
	last := prev + uint64(len(entries))
	if last < c.commit {
		c.acknowledge(m, c.commit)
		return
	}
	if prev < c.commit {
		// The log matches the leader's up to the commit index.
		entries = entries[c.commit-prev:]
		prev, prevTerm = c.commit, c.log.termAt(c.commit)
	}
	if prev > c.log.last() || c.log.termAt(prev) != prevTerm {
		c.sendAfterSync(&egretmuxv1.Message{
			Kind: egretmuxv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.GetFrom(),
			Reject: true, Index: prev, Hint: c.conflictHint(prev),
		})
		return
	}
	c.appendMissing(entries)
	c.commitTo(min(m.GetCommit(), last))
	c.acknowledge(m, last)
}

// acknowledge queues the reply to an append message, which covers those to earlier ones.
func (c *Core) acknowledge(m *egretmuxv1.Message, index uint64) {
	n := len(c.out.AfterSync)
	c.sendAfterSync(&egretmuxv1.Message{Kind: egretmuxv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.GetFrom(), Index: index})
	// A leader of an earlier release, which sends no hint, counts the replies.
	if n > 0 && m.GetHint() != 0 && supersedes(c.out.AfterSync[n], c.out.AfterSync[n-1]) {
		c.out.AfterSync = append(c.out.AfterSync[:n-1], c.out.AfterSync[n])
	}
}

// supersedes reports whether a message makes an earlier one needless: an acknowledgement
// covers those of earlier entries.
func supersedes(m, earlier *egretmuxv1.Message) bool {
	return m.GetKind() == egretmuxv1.MessageKind_MESSAGE_KIND_APPEND_REPLY && earlier.GetKind() == m.GetKind() &&
		earlier.GetTo() == m.GetTo() && earlier.GetTerm() == m.GetTerm() && !earlier.GetReject() && !m.GetReject() && earlier.GetIndex() <= m.GetIndex()
}

func (c *Core) followLeader(leader uint64) {
	if c.role != Follower || c.leader != leader {
		c.becomeFollower(c.term, leader)
	}
	c.electionElapsed = 0
}

// conflictHint returns the last index at which this log may match the leader's,
// skipping the whole conflicting term.
func (c *Core) conflictHint(prev uint64) uint64 {
	i := min(prev, c.log.last())
	if i < prev {
		return i
	}
	term := c.log.termAt(i)
	for i > c.commit && i > c.log.compactedIndex && c.log.termAt(i) == term {
		i--
	}
	return max(i, c.commit)
}

// appendMissing appends the entries that this log lacks, after truncating those
// that conflict with the leader's.
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
			c.members.recordIfMembership(added)
		}
		return
	}
}

func (c *Core) commitTo(index uint64) {
	c.commit = max(c.commit, min(index, c.log.last()))
}

func (c *Core) handleHeartbeat(m *egretmuxv1.Message) {
	c.followLeader(m.GetFrom())
	if m.GetIndex() > c.log.last() || c.hasOtherEntry(m.GetIndex(), m.GetLogTerm()) {
		// This replica acknowledged entries that its log does not hold: its disk
		// was replaced by an older copy.
		c.stale = true
		return
	}
	c.commitTo(m.GetCommit())
	reply := &egretmuxv1.Message{
		Kind: egretmuxv1.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, To: m.GetFrom(),
		Context: m.GetContext(), Index: c.log.last(),
	}
	if c.savedTerm != c.term {
		c.sendAfterSync(reply)
		return
	}
	c.send(reply) // it attests the term alone
}

// hasOtherEntry reports whether the log is known to hold an entry of another term at index.
// Term zero is not known.
func (c *Core) hasOtherEntry(index, term uint64) bool {
	own := c.log.termAt(index)
	return own != 0 && term != 0 && own != term
}

func (c *Core) handleAppendReply(m *egretmuxv1.Message) {
	p := c.progress[m.GetFrom()]
	if c.role != Leader || p == nil {
		return
	}
	p.recordReply()
	p.heartbeatsStalled = 0
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
		p.awaitingReply = false
	}
	p.next = max(p.next, p.match+1)
	if p.match+1 >= p.next {
		p.inflight = 0 // replies to some of the messages may have been lost
	}
	c.advanceCommit()
	if c.role != Leader {
		return // its own removal was committed
	}
	c.transferIfCaughtUp(m.GetFrom(), p)
	c.sendAppend(m.GetFrom())
}

func (c *Core) handleAppendReject(m *egretmuxv1.Message, p *progress) {
	if p.snapshot != nil || m.GetIndex() <= p.match && !p.probing {
		return
	}
	p.probing = true
	p.awaitingReply = false
	p.inflight = 0
	p.next = max(p.match+1, min(m.GetIndex(), m.GetHint()+1))
	c.sendAppend(m.GetFrom())
}

func (c *Core) handleHeartbeatReply(m *egretmuxv1.Message) {
	p := c.progress[m.GetFrom()]
	if c.role != Leader || p == nil {
		return
	}
	p.recordReply()
	p.readRound = max(p.readRound, m.GetContext())
	c.confirmReads()
	if !p.probing && !p.awaitingReply && p.next <= m.GetIndex()+1 {
		p.inflight = 0 // all messages have arrived, and only the disk holds up their replies
		c.sendAppend(m.GetFrom())
	}
	arriving := m.GetIndex() > p.received
	p.received = max(p.received, m.GetIndex())
	if p.heartbeatsStalled >= resendAfterHeartbeats {
		p.heartbeatsStalled = 0
		c.resendLost(m.GetFrom(), p, m.GetIndex(), arriving)
	}
}

// resendLost resends a snapshot chunk or entries, or, when only the
// acknowledgement was lost, an empty append message that prompts it again.
// replicaLast is the last index in the replica's log; arriving tells that it has grown since
// the reply before.
func (c *Core) resendLost(id uint64, p *progress, replicaLast uint64, arriving bool) {
	if p.snapshot != nil {
		c.sendSnapshotChunk(id, p)
		return
	}
	if !p.probing && p.match+1 < p.next && p.next <= replicaLast+1 {
		// The replica holds everything that was sent: its disk is slow, or the
		// acknowledgement was lost.
		c.sendCommit(id)
		c.sendAppend(id)
		return
	}
	if !p.probing && arriving && p.next > replicaLast+1 {
		return // the rest is on its way
	}
	p.awaitingReply = false
	p.inflight = 0
	if p.match >= c.log.last() {
		return
	}
	p.next = max(p.match+1, min(p.next, replicaLast+1))
	if p.next > c.log.last() {
		p.probing = false
		c.sendCommit(id)
	}
	p.probing = true
	c.sendAppend(id)
}

// sendDueCommits tells the replicas to which all entries have been sent of the newest commit.
// The others learn of it with their next entries.
func (c *Core) sendDueCommits() {
	if !c.commitDue {
		return
	}
	c.commitDue = false
	for _, id := range c.peers() {
		if c.progress[id].next > c.log.last() {
			c.sendCommit(id)
		}
	}
}

// advanceCommit commits the entries that a quorum has persisted, provided that
// the newest of them is of this term.
func (c *Core) advanceCommit() {
	index := c.members.quorumValue(func(id uint64) uint64 {
		if p := c.progress[id]; p != nil {
			return p.match
		}
		return 0
	})
	if index <= c.commit || c.log.termAt(index) != c.term {
		return
	}
	c.commit = index
	c.commitDue = true
	c.startDeferredReads()
	c.stepDownIfRemoved()
}
