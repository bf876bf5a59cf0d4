package core

// readQueue holds reads that wait for a quorum to confirm the leader. A read
// belongs to the heartbeat round that starts after its request, so a
// confirmation proves that no newer leader existed when it was requested.
type readQueue struct {
	round    uint64 // newest heartbeat round started
	pending  []pendingRead
	deferred []uint64 // tokens of reads that wait for the first commit of the term
}

type pendingRead struct {
	token uint64
	round uint64
	index uint64
}

// ReadIndex requests a confirmation that this replica leads. The answer arrives
// in Output.Reads with the same token.
func (c *Core) ReadIndex(tokens ...uint64) {
	if c.role != Leader {
		for _, t := range tokens {
			c.out.Reads = append(c.out.Reads, Read{Token: t})
		}
		return
	}
	if !c.committedInTerm() {
		c.reads.deferred = append(c.reads.deferred, tokens...)
		return
	}
	c.reads.round++
	for _, t := range tokens {
		c.reads.pending = append(c.reads.pending, pendingRead{t, c.reads.round, c.commit})
	}
	c.broadcastHeartbeat()
	c.confirmReads()
}

// startDeferredReads starts the reads that waited for the first commit of the
// term.
func (c *Core) startDeferredReads() {
	if len(c.reads.deferred) == 0 || !c.committedInTerm() {
		return
	}
	deferred := c.reads.deferred
	c.reads.deferred = nil
	c.ReadIndex(deferred...)
}

func (c *Core) confirmReads() {
	ackedRound := c.members.quorumValue(func(id uint64) uint64 {
		if id == c.cfg.ID {
			return c.reads.round
		}
		if p := c.progress[id]; p != nil {
			return p.readRound
		}
		return 0
	})
	confirmed := 0
	for _, r := range c.reads.pending {
		if r.round > ackedRound {
			break
		}
		c.out.Reads = append(c.out.Reads, Read{Token: r.token, Index: r.index, OK: true})
		confirmed++
	}
	c.reads.pending = c.reads.pending[confirmed:]
}

func (c *Core) failReads() {
	for _, r := range c.reads.pending {
		c.out.Reads = append(c.out.Reads, Read{Token: r.token})
	}
	for _, t := range c.reads.deferred {
		c.out.Reads = append(c.out.Reads, Read{Token: t})
	}
	c.reads = readQueue{round: c.reads.round}
}
