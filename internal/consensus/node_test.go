package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
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

func TestPromiseTrackerRecordsOnlyPromises(t *testing.T) {
	w := NewPromiseTracker()
	w.Observe([]*egretmuxv1.Message{
		{Kind: egretmuxv1.MessageKind_MESSAGE_KIND_PRE_VOTE, From: 1, Term: 9},
		{Kind: egretmuxv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, From: 1, Term: 9},
		{Kind: egretmuxv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: 1, Term: 3, Index: 7},
		{Kind: egretmuxv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: 1, Term: 3, Index: 99, Reject: true},
		{Kind: egretmuxv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: 1, Term: 2, Index: 50},
		{Kind: egretmuxv1.MessageKind_MESSAGE_KIND_VOTE_REPLY, From: 2, To: 1, Term: 4},
		{Kind: egretmuxv1.MessageKind_MESSAGE_KIND_VOTE_REPLY, From: 3, To: 1, Term: 4, Reject: true},
	})
	require.Equal(t, Promise{Term: 3, Index: 7}, w.PromiseOf(1))
	require.Equal(t, Promise{Term: 4, Vote: 1}, w.PromiseOf(2))
	require.Equal(t, Promise{Term: 4}, w.PromiseOf(3))
}
