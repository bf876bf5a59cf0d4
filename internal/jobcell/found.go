package jobcell

import (
	"context"
	"time"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
)

// Timing of forming a cell.
const (
	settleTime  = 700 * time.Millisecond // no new instance for so long; the platform starts all within 300 ms
	foundPause  = 100 * time.Millisecond
	foundCalled = 2 * time.Second // bound of one call
)

// foundLoop forms the cell. Only the first seed runs it, in a cell that never
// existed, so at most one first membership is chosen.
func (c *Cell) foundLoop(ctx context.Context) {
	var chosen *egretmuxv1.Membership
	for ctx.Err() == nil && !c.formed() {
		now := time.Now()
		if chosen == nil && c.members.settledFor(now) > settleTime {
			chosen = c.firstMembers(now)
		}
		if chosen != nil {
			if err := c.found(ctx, chosen); err == nil {
				c.members.learn(&egretmuxv1.AnnounceMemberResponse{Formed: true})
				c.allowStart()
				return
			} else {
				c.cfg.Logger.Warn().Err(err).Str("event", "cell_not_formed").Str("replica", chosen.GetReplicas()[0].GetAddress()).Msg("")
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(foundPause):
		}
	}
}

// firstMembers chooses the first replicas, spread over the zones; nil while
// there are too few.
func (c *Cell) firstMembers(now time.Time) *egretmuxv1.Membership {
	var candidates []*egretmuxv1.Member
	for _, m := range append(c.members.members(now), c.self()) {
		if m.GetReplica() != 0 && m.GetEmpty() && m.GetFounding() {
			candidates = append(candidates, m)
		}
	}
	sortMembers(candidates)
	if len(candidates) == 0 {
		return nil
	}
	out := &egretmuxv1.Membership{}
	perZone := make(map[string]int)
	for round := 0; len(out.GetReplicas()) < c.wantedVoters() && round < len(candidates); round++ {
		for _, m := range candidates {
			if perZone[m.GetZone()] != round || len(out.GetReplicas()) >= c.wantedVoters() || has(out, m) {
				continue
			}
			perZone[m.GetZone()]++
			out.Replicas = append(out.Replicas, &egretmuxv1.Replica{Id: m.GetReplica(), Instance: m.GetAddress(), Address: m.GetAddress()})
		}
	}
	return out
}

func has(ms *egretmuxv1.Membership, m *egretmuxv1.Member) bool {
	for _, r := range ms.GetReplicas() {
		if r.GetId() == m.GetReplica() {
			return true
		}
	}
	return false
}

// wantedVoters is the number of replicas of which the tolerated losses leave a
// majority.
func (c *Cell) wantedVoters() int { return 2*max(1, c.cfg.ToleratedLosses) + 1 }

func (c *Cell) found(ctx context.Context, members *egretmuxv1.Membership) error {
	first := members.GetReplicas()[0].GetAddress()
	if first == c.cfg.Address {
		return c.writeFirst(members)
	}
	ctx, cancel := context.WithTimeout(ctx, foundCalled)
	defer cancel()
	_, err := c.dialer.Clients(first).Jobs.FoundCell(ctx, connect.NewRequest(&egretmuxv1.FoundCellRequest{Membership: members}))
	return err
}

// writeFirst writes the first membership into this instance's empty log.
func (c *Cell) writeFirst(members *egretmuxv1.Membership) error {
	c.founding.Lock()
	defer c.founding.Unlock()
	if c.voter == nil {
		return refusal.New(refusal.Invalid, "choose an instance with a data folder", "this instance keeps no replica")
	}
	if !c.voter.Empty() {
		return nil // an earlier call was carried out
	}
	if c.scheduler.Node() != nil {
		return refusal.New(refusal.Invalid, "the replica joins the cell that exists", "the replica has started without a cell of its own")
	}
	if err := c.voter.Found(members); err != nil {
		return err
	}
	c.allowStart()
	return nil
}

// FoundCell implements JobCellService.
func (s *service) FoundCell(_ context.Context, req *connect.Request[egretmuxv1.FoundCellRequest]) (*connect.Response[egretmuxv1.FoundCellResponse], error) {
	if err := s.cell.writeFirst(req.Msg.GetMembership()); err != nil {
		return nil, refusalrpc.Error(err)
	}
	return connect.NewResponse(&egretmuxv1.FoundCellResponse{}), nil
}
