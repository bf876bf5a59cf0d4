package core

// readQueue holds reads that wait for a quorum to confirm the leader. A read
// belongs to the heartbeat round that starts after it was asked for, so a
// confirmation proves that no newer leader existed at that time.
type readQueue struct {
	round   uint64 // newest heartbeat round started
	pending []pendingRead
	parked  []uint64 // tokens that wait for the leader's first commit
}

type pendingRead struct {
	token uint64
	round uint64
	index uint64
}

// ReadIndex asks for a confirmation that this replica leads. The answer comes
// in Output.Reads with the same token.
func (c *Core) ReadIndex(tokens ...uint64) {
	if c.role != Leader {
		for _, t := range tokens {
			c.out.Reads = append(c.out.Reads, Read{Token: t})
		}
		return
	}
	if !c.committedInTerm() {
		c.reads.parked = append(c.reads.parked, tokens...)
		return
	}
	c.reads.round++
	for _, t := range tokens {
		c.reads.pending = append(c.reads.pending, pendingRead{t, c.reads.round, c.commit})
	}
	c.broadcastHeartbeat()
	c.confirmReads()
}

// startReads takes up the reads that waited for the first commit of the term.
func (c *Core) startReads() {
	if len(c.reads.parked) == 0 || !c.committedInTerm() {
		return
	}
	parked := c.reads.parked
	c.reads.parked = nil
	c.ReadIndex(parked...)
}

func (c *Core) confirmReads() {
	acked := c.members.quorumIndex(func(id uint64) uint64 {
		if id == c.cfg.ID {
			return c.reads.round
		}
		if p := c.progress[id]; p != nil {
			return p.readRound
		}
		return 0
	})
	done := 0
	for _, r := range c.reads.pending {
		if r.round > acked {
			break
		}
		c.out.Reads = append(c.out.Reads, Read{Token: r.token, Index: r.index, OK: true})
		done++
	}
	c.reads.pending = c.reads.pending[done:]
}

func (c *Core) failReads() {
	for _, r := range c.reads.pending {
		c.out.Reads = append(c.out.Reads, Read{Token: r.token})
	}
	for _, t := range c.reads.parked {
		c.out.Reads = append(c.out.Reads, Read{Token: t})
	}
	c.reads = readQueue{round: c.reads.round}
}
