package jobcell

import (
	"context"
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
	stewardPeriod = 200 * time.Millisecond
	// replicaLost is the silence after which a spare replica takes another's
	// place. Restarts and short cuts end before it.
	replicaLost = 8 * time.Second
)

// stewardLoop keeps the replicas complete while this instance leads: a data
// folder that came back empty takes the place of its former identity, and a
// spare one that of a replica that is lost.
func (c *Cell) stewardLoop(ctx context.Context, node *consensus.Node) {
	var since time.Time // leading since
	periodic.Run(ctx, stewardPeriod, func(now time.Time) {
		status, _ := node.Status()
		if status.Role != core.Leader {
			since = time.Time{}
			return
		}
		if since.IsZero() {
			since = now
		}
		next, reason := c.nextMembership(status.Membership, now, since)
		if next == nil {
			return
		}
		err := node.Do(ctx, func(co *core.Core) error { return co.ChangeMembership(next) })
		var change core.ChangeError
		switch {
		case err == nil:
			c.cfg.Logger.Info().Str("event", "membership_changing").Str("reason", reason).Int("replicas", len(next.GetReplicas())).Msg("")
		case errors.As(err, &change):
			c.cfg.Logger.Debug().Err(err).Str("event", "membership_waits").Str("reason", reason).Msg("")
		default:
			c.cfg.Logger.Warn().Err(err).Str("event", "membership_not_changed").Str("reason", reason).Msg("")
		}
	})
}

// nextMembership returns the membership one step closer to the one wanted, or
// nil when it is that one.
func (c *Cell) nextMembership(current *egretmuxv1.Membership, now, since time.Time) (*egretmuxv1.Membership, string) {
	live := c.members.live(now, memberAway)
	live = append(live, c.self())
	for _, m := range live {
		if m.GetReplica() == 0 {
			continue
		}
		r := replicaAt(current, m.GetAddress())
		if r == nil || (r.GetId() == m.GetReplica() && !r.GetLearner() && replicasAt(current, m.GetAddress()) == 1) {
			continue
		}
		return step(current, m), "replica-returned"
	}
	voters, lost := 0, (*egretmuxv1.Replica)(nil)
	for _, r := range current.GetReplicas() {
		away := r.GetAddress() != c.cfg.Address && c.members.silentSince(r.GetAddress(), now, since) > replicaLost
		if r.GetLearner() && away {
			return without(current, r), "learner-lost"
		}
		if !r.GetLearner() {
			voters++
		}
		if away && lost == nil {
			lost = r
		}
	}
	if spare := spareOf(live, current); spare != nil && (voters < c.wantedVoters() || (lost != nil && voters == c.wantedVoters())) {
		return step(current, spare), "replica-missing"
	}
	if lost != nil && voters > c.wantedVoters() {
		return without(current, lost), "replica-lost"
	}
	return nil, ""
}

// step brings a member's replica one step closer to being a voter.
func step(current *egretmuxv1.Membership, m *egretmuxv1.Member) *egretmuxv1.Membership {
	next, done := voter.NextMembership(current, &egretmuxv1.JoinReplicaRequest{Instance: m.GetAddress(), Address: m.GetAddress(), Replica: m.GetReplica()})
	if done {
		return nil
	}
	return next
}

func replicaAt(ms *egretmuxv1.Membership, address string) *egretmuxv1.Replica {
	for _, r := range ms.GetReplicas() {
		if r.GetAddress() == address {
			return r
		}
	}
	return nil
}

func replicasAt(ms *egretmuxv1.Membership, address string) int {
	n := 0
	for _, r := range ms.GetReplicas() {
		if r.GetAddress() == address {
			n++
		}
	}
	return n
}

// spareOf returns an instance that could keep a replica and has none.
func spareOf(live []*egretmuxv1.Member, current *egretmuxv1.Membership) *egretmuxv1.Member {
	for _, m := range live {
		if m.GetReplica() != 0 && replicaAt(current, m.GetAddress()) == nil {
			return m
		}
	}
	return nil
}

func without(current *egretmuxv1.Membership, r *egretmuxv1.Replica) *egretmuxv1.Membership {
	next := proto.Clone(current).(*egretmuxv1.Membership)
	for i, o := range next.GetReplicas() {
		if o.GetId() == r.GetId() {
			next.Replicas = append(next.Replicas[:i], next.Replicas[i+1:]...)
			break
		}
	}
	return next
}

// silentSince returns for how long an instance has not announced itself; what
// lies before the given time does not count.
func (d *directory) silentSince(address string, now, since time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	heard := since
	if e := d.known[address]; e != nil && e.heard.After(heard) {
		heard = e.heard
	}
	return now.Sub(heard)
}
