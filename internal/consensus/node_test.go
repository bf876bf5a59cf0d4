package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/consensus/core"
)

// TestProposalReplacedByAnotherTerm lets a deposed leader take in at once that
// it was deposed and that another leader's entry stands at the index of its
// own proposal.
func TestProposalReplacedByAnotherTerm(t *testing.T) {
	b := newBench(t, 3, 1)
	b.run(3 * benchElectionTicks)
	old := b.leader()
	for _, s := range b.slots {
		b.blocked[[2]int{old.number, s.number}] = true
	}
	b.propose(old, "replaced")
	mine := b.changes[0]
	old.paused = true
	b.run(4 * benchElectionTicks)
	b.propose(b.leader(), "other")
	b.propose(b.leader(), "another")
	b.run(2)
	clear(b.blocked)
	old.paused = false
	for range 10 {
		b.tick()
		b.deliverTogether()
	}
	require.Equal(t, core.Follower, old.observed.Role)
	require.NotContains(t, b.oracle.answers, mine.change)
	require.Len(t, old.machine.Changes, 2)
}
