package jobcell

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
)

// Timing of the bootstrap of a cell.
const (
	discoverySettleTime  = 700 * time.Millisecond // discovery counts as complete after this time without a new instance; the platform starts all within 300 ms
	smallCellSettleTime  = 3 * time.Second        // the same if there are fewer candidates than replicas are wanted
	bootstrapRetryDelay  = 100 * time.Millisecond
	bootstrapCallTimeout = 2 * time.Second
)

// bootstrapLoop bootstraps the cell. Only the first seed of a cell that never existed
// before runs it, so that at most one initial membership is chosen.
func (c *Cell) bootstrapLoop(ctx context.Context) {
	var membership *egretmuxv1.Membership
	for ctx.Err() == nil && !c.formed() {
		now := time.Now()
		if settled := c.directory.SinceLastDiscovery(now); membership == nil && settled > discoverySettleTime {
			membership = c.chooseInitialMembership()
			if len(membership.GetReplicas()) < c.targetVoters() && settled <= smallCellSettleTime {
				membership = nil
			}
		}
		if membership != nil {
			if err := c.bootstrapCell(ctx, membership); err == nil {
				c.directory.MarkFormed()
				c.allowReplicaStart()
				c.startReplicas(ctx, membership)
				return
			} else {
				c.cfg.Logger.Warn().Err(err).Str("event", "cell_not_formed").Str("replica", membership.GetReplicas()[0].GetAddress()).Msg("could not write the initial membership; trying again")
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(bootstrapRetryDelay):
		}
	}
}

// chooseInitialMembership chooses the initial replicas, spread over the zones. It
// returns nil while no instance qualifies.
func (c *Cell) chooseInitialMembership() *egretmuxv1.Membership {
	var candidates []*egretmuxv1.Member
	for _, m := range append(c.directory.Members(), c.self()) {
		if m.GetReplica() != 0 && m.GetEmpty() && m.GetFounding() {
			candidates = append(candidates, m)
		}
	}
	slices.SortFunc(candidates, func(a, b *egretmuxv1.Member) int { return strings.Compare(a.GetAddress(), b.GetAddress()) })
	if len(candidates) == 0 {
		return nil
	}
	out := &egretmuxv1.Membership{}
	chosenPerZone := make(map[string]int)
	for round := 0; len(out.GetReplicas()) < c.targetVoters() && round < len(candidates); round++ {
		for _, m := range candidates {
			if chosenPerZone[m.GetZone()] != round || len(out.GetReplicas()) >= c.targetVoters() || hasReplica(out, m) {
				continue
			}
			chosenPerZone[m.GetZone()]++
			out.Replicas = append(out.Replicas, &egretmuxv1.Replica{Id: m.GetReplica(), Instance: m.GetAddress(), Address: m.GetAddress()})
		}
	}
	return out
}

func hasReplica(membership *egretmuxv1.Membership, m *egretmuxv1.Member) bool {
	for _, r := range membership.GetReplicas() {
		if r.GetId() == m.GetReplica() {
			return true
		}
	}
	return false
}

// targetVoters returns the number of replicas that keep a majority after the
// tolerated losses.
func (c *Cell) targetVoters() int { return 2*max(1, c.cfg.ToleratedLosses) + 1 }

// bootstrapCell has the first replica write the initial membership.
func (c *Cell) bootstrapCell(ctx context.Context, membership *egretmuxv1.Membership) error {
	first := membership.GetReplicas()[0].GetAddress()
	if first == c.cfg.Address {
		return c.writeInitialMembership(membership)
	}
	ctx, cancel := context.WithTimeout(ctx, bootstrapCallTimeout)
	defer cancel()
	_, err := c.dialer.Clients(first).Jobs.FoundCell(ctx, connect.NewRequest(&egretmuxv1.FoundCellRequest{Membership: membership}))
	return err
}

// startReplicas lets the other initial replicas start. One that is not reached learns
// from other instances that the cell is formed.
func (c *Cell) startReplicas(ctx context.Context, membership *egretmuxv1.Membership) {
	ctx, cancel := context.WithTimeout(ctx, bootstrapCallTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, r := range membership.GetReplicas()[1:] {
		if r.GetAddress() == c.cfg.Address {
			continue
		}
		calls.Go(func() {
			if _, err := c.dialer.Clients(r.GetAddress()).Jobs.FoundCell(ctx, connect.NewRequest(&egretmuxv1.FoundCellRequest{OnlyStart: true})); err != nil {
				c.cfg.Logger.Warn().Err(err).Str("event", "replica_not_started").Str("replica", r.GetAddress()).Msg("could not tell the replica to start; it starts when another instance tells it")
			}
		})
	}
	calls.Wait()
}

// writeInitialMembership writes the initial membership to this instance's empty log.
// Repeating the call is safe.
func (c *Cell) writeInitialMembership(membership *egretmuxv1.Membership) error {
	c.bootstrapMu.Lock()
	defer c.bootstrapMu.Unlock()
	if c.voter() == nil {
		return refusal.New(refusal.Invalid, "choose an instance with a data folder", "this instance keeps no replica")
	}
	if !c.voter().Empty() {
		return nil // written by an earlier call
	}
	if c.scheduler.Node() != nil {
		return refusal.New(refusal.Invalid, "the replica joins the cell that exists", "the replica has started without a cell of its own")
	}
	if err := c.voter().Bootstrap(membership); err != nil {
		return err
	}
	c.allowReplicaStart()
	return nil
}

// FoundCell implements JobCellService.
func (s *service) FoundCell(_ context.Context, req *connect.Request[egretmuxv1.FoundCellRequest]) (*connect.Response[egretmuxv1.FoundCellResponse], error) {
	if req.Msg.GetOnlyStart() {
		s.cell.directory.MarkFormed()
		s.cell.allowReplicaStart()
		return connect.NewResponse(&egretmuxv1.FoundCellResponse{}), nil
	}
	if err := s.cell.writeInitialMembership(req.Msg.GetMembership()); err != nil {
		return nil, refusalrpc.Error(err)
	}
	return connect.NewResponse(&egretmuxv1.FoundCellResponse{}), nil
}
