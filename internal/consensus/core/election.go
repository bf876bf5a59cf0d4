package core

import egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"

// Tick advances the core's time by one tick.
func (c *Core) Tick() {
	if c.stale {
		return
	}
	if c.role == Leader {
		c.electionElapsed++
		c.tickLeader()
		return
	}
	if !c.hasSavedTermAndVote() {
		// Timeouts run from when a vote is persisted, and its candidate learns of it.
		if c.role == Candidate {
			// The others take about as long to persist their votes, behind a write in progress.
			// The timeout keeps its random part: candidates on equally slow disks must not retry in step.
			c.electionElapsed = max(c.electionElapsed-2, -maxVoteWaitFactor*c.cfg.ElectionTicks)
		}
		return
	}
	c.electionElapsed++
	if c.electionElapsed >= c.electionTimeout {
		c.electionElapsed = 0
		c.startPreVote()
	}
}

func (c *Core) tickLeader() {
	c.heartbeatElapsed++
	if c.transferTo != 0 {
		c.transferElapsed++
		if c.transferElapsed >= c.cfg.ElectionTicks {
			c.transferTo = 0
		}
	}
	if c.electionElapsed >= c.cfg.ElectionTicks {
		c.electionElapsed = 0
		if !c.quorumActive() {
			c.becomeFollower(c.term, 0)
			return
		}
	}
	for _, p := range c.progress {
		p.ticksSinceReply++
	}
	if c.heartbeatElapsed >= c.cfg.HeartbeatTicks {
		c.heartbeatElapsed = 0
		for _, p := range c.progress {
			p.heartbeatsStalled++
		}
		copy(c.recentCommit[1:], c.recentCommit[:])
		c.recentCommit[0] = c.commit
		c.broadcastHeartbeat()
	}
}

// quorumActive reports whether a quorum replied within the election timeout.
func (c *Core) quorumActive() bool {
	return c.members.hasQuorum(func(id uint64) bool {
		p := c.progress[id]
		return id == c.cfg.ID || (p != nil && p.ticksSinceReply < c.cfg.ElectionTicks)
	})
}

func (c *Core) becomeFollower(term, leader uint64) {
	if term != c.term {
		c.term = term
		c.vote = 0
	}
	c.role = Follower
	c.leader = leader
	c.progress = nil
	c.votes, c.preVotes = nil, nil
	c.transferTo = 0
	c.resetElection()
	c.failReads()
}

func (c *Core) resetElection() {
	c.electionElapsed = 0
	c.electionTimeout = c.cfg.ElectionTicks + c.cfg.Rand(c.cfg.ElectionTicks)
}

const (
	minRetryTicks = 2 // minimum time between two vote rounds
	// crossingTicks is the age of a replica's own pre-vote requests up to which those of another may have crossed them.
	crossingTicks = 1
	// maxVoteWaitFactor limits the time by which a candidate waits longer for votes, in election timeouts.
	maxVoteWaitFactor = 4
)

// startPreVote requests pre-votes. They change no replica's term, so a replica
// that returns from a partition does not disrupt the leader. Votes of the current term
// that come late still count.
func (c *Core) startPreVote() {
	if !c.members.isVoter(c.cfg.ID) {
		c.leader = 0
		return
	}
	c.role = PreCandidate
	c.leader = 0
	c.preVotes = map[uint64]bool{c.cfg.ID: true}
	c.resetElection()
	// The other replicas ignore a pre-vote while they still have a live leader,
	// so the retry follows soon.
	c.electionTimeout = c.retryTicks(4)
	if c.members.hasQuorum(granted(c.preVotes)) {
		c.startElection(false)
		return
	}
	c.requestVotes(egretmuxv1.MessageKind_MESSAGE_KIND_PRE_VOTE, c.term+1, false)
}

// retryTicks returns a random timeout of one to two times
// ElectionTicks/divisor.
func (c *Core) retryTicks(divisor int) int {
	ticks := max(minRetryTicks, c.cfg.ElectionTicks/divisor)
	return ticks + c.cfg.Rand(ticks)
}

func (c *Core) startElection(transfer bool) {
	c.role = Candidate
	c.leader = 0
	c.term++
	c.vote = c.cfg.ID
	c.votes, c.preVotes = make(map[uint64]bool), nil // its own vote counts once it is persisted
	c.electionElapsed = 0
	c.electionTimeout = c.retryTicks(2) // a split vote is retried soon
	c.requestVotes(egretmuxv1.MessageKind_MESSAGE_KIND_VOTE, c.term, transfer)
}

// campaigns reports whether this replica has requested votes in the current term, and
// nobody is known to lead in it.
func (c *Core) campaigns() bool { return c.votes != nil }

// hasSavedTermAndVote reports whether the current term and the vote in it are persisted.
func (c *Core) hasSavedTermAndVote() bool { return c.savedTerm == c.term && c.savedVote == c.vote }

func granted(votes map[uint64]bool) func(id uint64) bool {
	return func(id uint64) bool { return votes[id] }
}

func refused(votes map[uint64]bool) func(id uint64) bool {
	return func(id uint64) bool {
		granted, answered := votes[id]
		return answered && !granted
	}
}

func (c *Core) requestVotes(kind egretmuxv1.MessageKind, term uint64, transfer bool) {
	for _, r := range c.members.current().GetReplicas() {
		if r.GetLearner() || r.GetId() == c.cfg.ID {
			continue
		}
		request := &egretmuxv1.Message{
			Kind: kind, To: r.GetId(), Term: term, Transfer: transfer,
			Index: c.log.last(), LogTerm: c.log.lastTerm(),
		}
		if kind == egretmuxv1.MessageKind_MESSAGE_KIND_PRE_VOTE {
			c.send(request)
			continue
		}
		// A vote request implies the candidate's vote for itself, which must be
		// persisted first.
		c.sendAfterSync(request)
	}
}

// Step handles one message from another replica. It reports whether the message was one
// that a replica sends.
func (c *Core) Step(m *egretmuxv1.Message) bool {
	if !isWellFormed(m) {
		return false
	}
	if m.GetTo() != c.cfg.ID || c.stale {
		return true
	}
	switch {
	case m.GetTerm() > c.term:
		if !c.acceptHigherTerm(m) {
			return true
		}
	case m.GetTerm() < c.term:
		c.replyToLowerTerm(m)
		return true
	}
	c.dispatch(m)
	return true
}

// isWellFormed reports whether a message has a sender, names no entry of a later term than its own, and its entries
// follow the one before them, in number and in term.
func isWellFormed(m *egretmuxv1.Message) bool {
	index, term := m.GetIndex(), m.GetLogTerm()
	for _, e := range m.GetEntries() {
		if index++; e.GetIndex() != index || e.GetTerm() < term || e.GetTerm() > m.GetTerm() {
			return false
		}
		term = e.GetTerm()
	}
	return m.GetFrom() != 0 && m.GetLogTerm() <= m.GetTerm()
}

// acceptHigherTerm enters the term of the message, except for a pre-vote request
// or a granted pre-vote, which change no term. It reports whether the message
// should be handled further: a vote request is ignored while a live leader
// exists.
func (c *Core) acceptHigherTerm(m *egretmuxv1.Message) bool {
	switch m.GetKind() {
	case egretmuxv1.MessageKind_MESSAGE_KIND_PRE_VOTE, egretmuxv1.MessageKind_MESSAGE_KIND_VOTE:
		if c.hasLiveLeader() && !m.GetTransfer() {
			return false
		}
		if m.GetKind() == egretmuxv1.MessageKind_MESSAGE_KIND_VOTE {
			c.becomeFollower(m.GetTerm(), 0)
		}
	case egretmuxv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		if m.GetReject() {
			c.becomeFollower(m.GetTerm(), 0)
		}
	case egretmuxv1.MessageKind_MESSAGE_KIND_APPEND,
		egretmuxv1.MessageKind_MESSAGE_KIND_HEARTBEAT,
		egretmuxv1.MessageKind_MESSAGE_KIND_SNAPSHOT:
		c.becomeFollower(m.GetTerm(), m.GetFrom())
	default:
		c.becomeFollower(m.GetTerm(), 0)
	}
	return true
}

// hasLiveLeader reports whether this replica received a message from a leader
// within the election timeout. It then ignores vote requests outside of a
// leadership transfer.
func (c *Core) hasLiveLeader() bool {
	return c.leader != 0 && c.electionElapsed < c.cfg.ElectionTicks
}

func (c *Core) replyToLowerTerm(m *egretmuxv1.Message) {
	switch m.GetKind() {
	case egretmuxv1.MessageKind_MESSAGE_KIND_APPEND,
		egretmuxv1.MessageKind_MESSAGE_KIND_HEARTBEAT,
		egretmuxv1.MessageKind_MESSAGE_KIND_SNAPSHOT:
		// The reply makes a leader of an older term step down.
		c.sendAfterSync(&egretmuxv1.Message{Kind: egretmuxv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.GetFrom(), Reject: true})
	case egretmuxv1.MessageKind_MESSAGE_KIND_PRE_VOTE:
		c.send(&egretmuxv1.Message{Kind: egretmuxv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: m.GetFrom(), Reject: true})
	}
}

func (c *Core) dispatch(m *egretmuxv1.Message) {
	switch m.GetKind() {
	case egretmuxv1.MessageKind_MESSAGE_KIND_PRE_VOTE, egretmuxv1.MessageKind_MESSAGE_KIND_VOTE:
		c.handleVoteRequest(m)
	case egretmuxv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		c.handlePreVoteReply(m)
	case egretmuxv1.MessageKind_MESSAGE_KIND_VOTE_REPLY:
		if c.campaigns() {
			c.countVote(m.GetFrom(), !m.GetReject())
		}
	case egretmuxv1.MessageKind_MESSAGE_KIND_APPEND:
		c.handleAppend(m)
	case egretmuxv1.MessageKind_MESSAGE_KIND_HEARTBEAT:
		c.handleHeartbeat(m)
	case egretmuxv1.MessageKind_MESSAGE_KIND_SNAPSHOT:
		c.handleSnapshot(m)
	case egretmuxv1.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		c.handleAppendReply(m)
	case egretmuxv1.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY:
		c.handleHeartbeatReply(m)
	case egretmuxv1.MessageKind_MESSAGE_KIND_SNAPSHOT_REPLY:
		c.handleSnapshotReply(m)
	case egretmuxv1.MessageKind_MESSAGE_KIND_TIMEOUT_NOW:
		if c.role != Leader && c.members.isVoter(c.cfg.ID) {
			c.startElection(true)
		}
	}
}

func (c *Core) handleVoteRequest(m *egretmuxv1.Message) {
	preVote := m.GetKind() == egretmuxv1.MessageKind_MESSAGE_KIND_PRE_VOTE
	mayVote := c.vote == 0 || c.vote == m.GetFrom()
	if preVote {
		// A vote that is still being persisted may elect its candidate.
		mayVote = m.GetTerm() > c.term && c.hasSavedTermAndVote()
	}
	upToDate := m.GetLogTerm() > c.log.lastTerm() ||
		(m.GetLogTerm() == c.log.lastTerm() && m.GetIndex() >= c.log.last())
	grant := mayVote && upToDate && (!preVote || !c.outranksCrossing(m))
	reply := &egretmuxv1.Message{Kind: egretmuxv1.MessageKind_MESSAGE_KIND_VOTE_REPLY, To: m.GetFrom(), Reject: !grant}
	if preVote {
		reply.Kind = egretmuxv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
		if grant {
			reply.Term = m.GetTerm()
		}
		c.send(reply) // it attests nothing that is persisted
		return
	}
	if grant {
		c.vote = m.GetFrom()
		c.electionElapsed = 0
	}
	c.sendAfterSync(reply)
}

// outranksCrossing reports whether this replica has just requested pre-votes itself, and may win instead of the sender:
// if both granted, both would become candidates and split the votes, which are persisted before the next try. After
// that it grants, as the sender may reach a quorum that this replica does not.
func (c *Core) outranksCrossing(m *egretmuxv1.Message) bool {
	return c.role == PreCandidate && c.electionElapsed < crossingTicks &&
		m.GetLogTerm() == c.log.lastTerm() && m.GetIndex() == c.log.last() && c.cfg.ID > m.GetFrom()
}

func (c *Core) handlePreVoteReply(m *egretmuxv1.Message) {
	if c.role != PreCandidate || !m.GetReject() && m.GetTerm() != c.term+1 {
		return
	}
	c.preVotes[m.GetFrom()] = !m.GetReject()
	switch {
	case c.members.hasQuorum(granted(c.preVotes)):
		c.startElection(false)
	case c.members.hasQuorum(refused(c.preVotes)) && !c.campaigns():
		c.becomeFollower(c.term, 0)
	}
}

func (c *Core) countVote(from uint64, granting bool) {
	c.votes[from] = granting
	switch {
	case c.members.hasQuorum(granted(c.votes)):
		c.becomeLeader()
	case c.members.hasQuorum(refused(c.votes)):
		c.becomeFollower(c.term, 0)
	}
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.cfg.ID
	c.votes, c.preVotes = nil, nil
	c.electionElapsed = 0
	c.heartbeatElapsed = 0
	c.transferTo = 0
	c.progress = make(map[uint64]*progress)
	c.syncProgress()
	c.recentCommit = [caughtUpHeartbeats]uint64{c.log.last(), c.log.last(), c.log.last()}
	c.progress[c.cfg.ID].match = c.persisted
	// Entries of earlier terms commit only together with one of the current term.
	c.appendEntries(&egretmuxv1.Entry{Kind: egretmuxv1.EntryKind_ENTRY_KIND_COMMAND})
}

// TransferLeadership transfers leadership to the given voter once its log is
// complete. It reports whether the transfer was started. A request during a transfer
// changes at most its target: it ends in its time, as proposals wait for that.
func (c *Core) TransferLeadership(to uint64) bool {
	p := c.progress[to]
	if c.role != Leader || to == c.cfg.ID || p == nil || !c.members.isVoter(to) {
		return false
	}
	if c.transferTo == 0 {
		c.transferElapsed = 0
	}
	c.transferTo = to
	c.transferIfCaughtUp(to, p)
	return true
}

// HandingOver reports whether a transfer of leadership is in progress. It ends with
// another leader, or after the election timeout with this one.
func (c *Core) HandingOver() bool { return c.transferTo != 0 }

// Successor returns the live voter with the most up-to-date log, or zero when
// there is none or this replica does not lead.
func (c *Core) Successor() uint64 {
	var best uint64
	for _, id := range c.peers() {
		p := c.progress[id]
		if !c.members.isVoter(id) || !p.hasReplied || p.ticksSinceReply >= c.cfg.ElectionTicks/2 {
			continue
		}
		if best == 0 || p.match > c.progress[best].match {
			best = id
		}
	}
	return best
}

// LacksCommitted reports whether this replica leads and has not persisted entries that a
// quorum has.
func (c *Core) LacksCommitted() bool { return c.role == Leader && c.persisted < c.commit }

func (c *Core) transferIfCaughtUp(to uint64, p *progress) {
	if c.transferTo == to && p.match == c.log.last() {
		c.send(&egretmuxv1.Message{Kind: egretmuxv1.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: to})
	}
}
