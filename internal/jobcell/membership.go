package jobcell

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus"
	"github.com/egretmux/egretmux/internal/consensus/core"
	"github.com/egretmux/egretmux/internal/periodic"
	"github.com/egretmux/egretmux/internal/voter"
)

const (
	membershipCheckPeriod = 200 * time.Millisecond
	// replicaLostAfter is the silence after which a spare replaces a replica. It
	// outlasts restarts and short network partitions.
	replicaLostAfter = 8 * time.Second
	// supersededVoterLostAfter is the same for a voter that is not needed any more: its
	// successor seems to be there, or there are enough voters without it.
	supersededVoterLostAfter = time.Second
	// successorWindow is the time before the last reply of a voter from which on a new
	// replica counts as its possible successor. It covers a change of the leader, after
	// which the silence counts anew.
	successorWindow = 10 * time.Second
	// unresponsiveAfter is the time without a reply after which a learner holds up no other
	// change.
	unresponsiveAfter = time.Second
)

// membershipLoop repairs the membership while this instance leads. An instance
// whose data folder came back empty joins as a new replica in place of its former
// one, and a spare replaces a lost replica.
func (c *Cell) membershipLoop(ctx context.Context, node *consensus.Node) {
	var leadingSince time.Time // zero while not leading
	periodic.Run(ctx, membershipCheckPeriod, func(now time.Time) {
		if status, _ := node.Status(); status.Role != core.Leader {
			leadingSince = time.Time{}
			return
		}
		var status core.Status
		var silentTicks map[uint64]int
		if err := node.Do(ctx, func(co *core.Core) error {
			status, silentTicks = co.Status(), co.SilentTicks()
			return nil
		}); err != nil || status.Role != core.Leader {
			return // the replica stops, or has lost leadership by now
		}
		if leadingSince.IsZero() {
			leadingSince = now
		}
		next, reason := c.nextMembership(status, silentTicks, now, leadingSince)
		if next == nil {
			return
		}
		err := node.Do(ctx, func(co *core.Core) error { return co.ChangeMembership(next) })
		var change core.ChangeError
		switch {
		case err == nil:
			c.cfg.Logger.Info().Str("event", "membership_changing").Str("reason", reason).Int("replicas", len(next.GetReplicas())).Msg("changing the membership")
		case errors.As(err, &change):
			c.cfg.Logger.Debug().Err(err).Str("event", "membership_waits").Str("reason", reason).Msg("")
		default:
			c.cfg.Logger.Warn().Err(err).Str("event", "membership_not_changed").Str("reason", reason).Msg("could not change the membership; trying again")
		}
	})
}

// nextMembership returns the membership that is one change closer to the target,
// and the reason for the change, or nil if no change is needed. silentTicks are the ticks
// since each replica last replied.
func (c *Cell) nextMembership(status core.Status, silentTicks map[uint64]int, now, leadingSince time.Time) (*egretmuxv1.Membership, string) {
	current := status.Membership
	live := c.directory.Live(now)
	live = append(live, c.self())
	var waiting *egretmuxv1.Member // with a learner that does not hold the log yet
	for _, m := range live {
		if m.GetReplica() == 0 {
			continue
		}
		r := replicaAt(current, m.GetAddress())
		if r == nil || (r.GetId() == m.GetReplica() && !r.GetLearner() && countReplicasAt(current, m.GetAddress()) == 1) {
			continue
		}
		if isLearner(current, m.GetReplica()) {
			if time.Duration(silentTicks[m.GetReplica()])*tickInterval > unresponsiveAfter {
				continue // it cannot become a voter now
			}
			if status.Match[m.GetReplica()] < status.MembershipIndex {
				waiting = m
				continue
			}
		}
		return advanceReplica(status, m), "replica-returned"
	}
	if waiting != nil {
		return advanceReplica(status, waiting), "replica-returned"
	}
	for _, r := range current.GetReplicas() {
		if r.GetLearner() && r.GetAddress() != c.cfg.Address && c.directory.SilentFor(r.GetAddress(), now, leadingSince) > replicaLostAfter {
			return withoutReplica(current, r), "learner-lost"
		}
	}
	voters, lost := countVoters(current), c.lostVoter(status, silentTicks, now, leadingSince)
	if spare := findSpare(append(slices.Clone(c.directory.Responsive(now)), c.self()), current); spare != nil && (voters < c.targetVoters() || (lost != nil && voters == c.targetVoters())) {
		return advanceReplica(status, spare), "replica-missing"
	}
	if lost != nil && voters > c.targetVoters() {
		return withoutReplica(current, lost), "replica-lost"
	}
	return nil, ""
}

// lostVoter returns the voter that has been lost for the longest time, or nil.
//
// A new replica at a new address is the successor of a machine that is gone for good. From
// then on the cell may lose another voter, which takes the majority if the one that is gone
// still counts. An instance whose data folder came back empty needs no such guess.
func (c *Cell) lostVoter(status core.Status, silentTicks map[uint64]int, now, leadingSince time.Time) *egretmuxv1.Replica {
	surplus := countVoters(status.Membership) > c.targetVoters()
	var lost *egretmuxv1.Replica
	var lostFor time.Duration
	for _, r := range status.Membership.GetReplicas() {
		if r.GetLearner() {
			continue
		}
		// An instance may be up without its replica, as on a disk that hangs.
		withoutReply := time.Duration(silentTicks[r.GetId()]) * tickInterval
		limit := replicaLostAfter
		if surplus || c.directory.NewReplicaSince(now.Add(-withoutReply-successorWindow)) {
			limit = supersededVoterLostAfter
		}
		silent := withoutReply
		if r.GetAddress() != c.cfg.Address {
			silent = max(silent, c.directory.SilentFor(r.GetAddress(), now, leadingSince))
		}
		if (withoutReply > limit || silent > replicaLostAfter) && (lost == nil || silent > lostFor) {
			lost, lostFor = r, silent
		}
	}
	return lost
}

func countVoters(membership *egretmuxv1.Membership) int {
	n := 0
	for _, r := range membership.GetReplicas() {
		if !r.GetLearner() {
			n++
		}
	}
	return n
}

// advanceReplica returns the membership that brings an instance's replica one step
// closer to being a voter, or nil if it is one.
func advanceReplica(status core.Status, m *egretmuxv1.Member) *egretmuxv1.Membership {
	next, done := voter.NextMembership(status, &egretmuxv1.JoinReplicaRequest{Instance: m.GetAddress(), Address: m.GetAddress(), Replica: m.GetReplica()})
	if done {
		return nil
	}
	return next
}

func replicaAt(membership *egretmuxv1.Membership, address string) *egretmuxv1.Replica {
	for _, r := range membership.GetReplicas() {
		if r.GetAddress() == address {
			return r
		}
	}
	return nil
}

func isLearner(membership *egretmuxv1.Membership, id uint64) bool {
	for _, r := range membership.GetReplicas() {
		if r.GetId() == id {
			return r.GetLearner()
		}
	}
	return false
}

func countReplicasAt(membership *egretmuxv1.Membership, address string) int {
	n := 0
	for _, r := range membership.GetReplicas() {
		if r.GetAddress() == address {
			n++
		}
	}
	return n
}

// findSpare returns one of the given instances that has a data folder but no replica in the
// membership.
func findSpare(instances []*egretmuxv1.Member, current *egretmuxv1.Membership) *egretmuxv1.Member {
	for _, m := range instances {
		if m.GetReplica() != 0 && replicaAt(current, m.GetAddress()) == nil {
			return m
		}
	}
	return nil
}

func withoutReplica(current *egretmuxv1.Membership, r *egretmuxv1.Replica) *egretmuxv1.Membership {
	next := proto.Clone(current).(*egretmuxv1.Membership)
	for i, replica := range next.GetReplicas() {
		if replica.GetId() == r.GetId() {
			next.Replicas = append(next.Replicas[:i], next.Replicas[i+1:]...)
			break
		}
	}
	return next
}
