package jobcell

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Timing of announcements.
const (
	announceRetryPeriod  = 150 * time.Millisecond // while no leader answers
	announcePeriod       = time.Second
	announceTimeout      = 700 * time.Millisecond
	leaderContactTimeout = 2500 * time.Millisecond // age at which the leader's last response no longer counts; tolerates two lost announcements
)

// announceLoop announces this instance to the leader, or to all known instances
// while the leader is unknown or does not answer.
func (c *Cell) announceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause := announcePeriod
		if !c.announceToLeader(ctx) {
			pause = announceRetryPeriod
			c.announceToAll(ctx)
		}
		if c.formed() {
			c.allowStart()
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// allowStart lets an empty replica start and wait for the leader to add it.
func (c *Cell) allowStart() { c.startOnce.Do(func() { close(c.startAllowed) }) }

func (c *Cell) announceToLeader(ctx context.Context) bool {
	leader := c.leaderAddress()
	if leader == "" {
		return false
	}
	if leader == c.cfg.Address {
		return true
	}
	resp, err := c.announce(ctx, leader)
	if err != nil {
		telemetry.CountRetry("announce-failed")
		c.directory.forgetLeader(leader)
		return false
	}
	return resp.GetLeader() == leader
}

// leaderAddress returns the leader known to this replica, or else the one that
// other instances reported.
func (c *Cell) leaderAddress() string {
	if leader := c.scheduler.LeaderAddress(); leader != "" {
		return leader
	}
	leader, _ := c.directory.leaderAndVoters()
	return leader
}

func (c *Cell) announceToAll(ctx context.Context) {
	var calls sync.WaitGroup
	for _, address := range c.directory.announceTargets(c.currentSeeds()) {
		calls.Go(func() {
			if _, err := c.announce(ctx, address); err != nil {
				telemetry.CountRetry("announce-failed")
			}
		})
	}
	calls.Wait()
}

func (c *Cell) announce(ctx context.Context, address string) (*egretmuxv1.AnnounceMemberResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	now := time.Now()
	resp, err := c.dialer.Clients(address).Jobs.AnnounceMember(ctx, connect.NewRequest(&egretmuxv1.AnnounceMemberRequest{
		Member: c.self(), Known: c.directory.members(now),
	}))
	if err != nil {
		return nil, err
	}
	c.directory.mergeKnown(resp.Msg.GetKnown(), now)
	c.directory.updateCellState(resp.Msg)
	if resp.Msg.GetLeader() == address {
		c.directory.recordLeaderContact(now)
	}
	if _, voters := c.directory.leaderAndVoters(); len(voters) > 0 {
		c.leader.SetVoters(voters)
	}
	return resp.Msg, nil
}

// Ready reports whether this instance leads or can reach the leader.
func (c *Cell) Ready() bool {
	if c.scheduler.Leads() {
		return true
	}
	return c.directory.leaderContactWithin(leaderContactTimeout)
}

// AnnounceMember implements JobCellService. It records the announcement of another
// instance and returns what this one knows of the cell.
func (s *service) AnnounceMember(_ context.Context, req *connect.Request[egretmuxv1.AnnounceMemberRequest]) (*connect.Response[egretmuxv1.AnnounceMemberResponse], error) {
	c := s.cell
	now := time.Now()
	c.directory.recordAnnouncement(req.Msg.GetMember(), now)
	c.directory.mergeKnown(req.Msg.GetKnown(), now)
	resp := &egretmuxv1.AnnounceMemberResponse{Leader: c.leaderAddress(), Voters: c.scheduler.ReplicaAddresses(), Formed: c.formed()}
	if len(resp.GetVoters()) == 0 {
		_, resp.Voters = c.directory.leaderAndVoters()
	}
	if len(req.Msg.GetKnown()) < len(c.directory.members(now)) || !resp.GetFormed() {
		resp.Known = append(c.directory.members(now), c.self())
	}
	return connect.NewResponse(resp), nil
}

// setSeeds replaces the seed addresses and reports whether they changed.
func (c *Cell) setSeeds(seeds []string) bool {
	c.seedsMu.Lock()
	defer c.seedsMu.Unlock()
	if slices.Equal(c.seeds, seeds) {
		return false
	}
	c.seeds = seeds
	return true
}

func (c *Cell) currentSeeds() []string {
	c.seedsMu.Lock()
	defer c.seedsMu.Unlock()
	return c.seeds
}
