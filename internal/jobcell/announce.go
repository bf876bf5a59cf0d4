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
	announceEager   = 150 * time.Millisecond // until a leader has answered
	announcePeriod  = time.Second
	announceTimeout = 700 * time.Millisecond
	leaderFresh     = 2500 * time.Millisecond // a leader's answer counts as current; two announcements may be lost
)

// announceLoop tells the leader of this instance, and looks for it while it is
// not known.
func (c *Cell) announceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause := announcePeriod
		if !c.announceToLeader(ctx) {
			pause = announceEager
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

// allowStart lets an empty replica start and wait for the leader.
func (c *Cell) allowStart() { c.startOnce.Do(func() { close(c.startNow) }) }

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
		c.members.forgetLeader(leader)
		return false
	}
	return resp.GetLeader() == leader
}

// leaderAddress is the leader as this replica or another instance knows it.
func (c *Cell) leaderAddress() string {
	if leader := c.scheduler.LeaderAddress(); leader != "" {
		return leader
	}
	leader, _ := c.members.leaderAndVoters()
	return leader
}

func (c *Cell) announceToAll(ctx context.Context) {
	var calls sync.WaitGroup
	for _, address := range c.members.contacts(c.currentSeeds()) {
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
		Member: c.self(), Known: c.members.members(now),
	}))
	if err != nil {
		return nil, err
	}
	c.members.told(resp.Msg.GetKnown(), now)
	c.members.learn(resp.Msg)
	if resp.Msg.GetLeader() == address {
		c.members.leaderHeard(now)
	}
	if _, voters := c.members.leaderAndVoters(); len(voters) > 0 {
		c.finder.SetVoters(voters)
	}
	return resp.Msg, nil
}

// Ready reports whether this instance reaches a leader.
func (c *Cell) Ready() bool {
	if c.scheduler.Leads() {
		return true
	}
	return c.members.leaderHeardWithin(leaderFresh)
}

// AnnounceMember answers another instance's announcement.
func (s *service) AnnounceMember(_ context.Context, req *connect.Request[egretmuxv1.AnnounceMemberRequest]) (*connect.Response[egretmuxv1.AnnounceMemberResponse], error) {
	c := s.cell
	now := time.Now()
	c.members.heard(req.Msg.GetMember(), now)
	c.members.told(req.Msg.GetKnown(), now)
	resp := &egretmuxv1.AnnounceMemberResponse{Leader: c.leaderAddress(), Voters: c.scheduler.Voters(), Formed: c.formed()}
	if len(resp.GetVoters()) == 0 {
		_, resp.Voters = c.members.leaderAndVoters()
	}
	if len(req.Msg.GetKnown()) < len(c.members.members(now)) || !resp.GetFormed() {
		resp.Known = append(c.members.members(now), c.self())
	}
	return connect.NewResponse(resp), nil
}

// setSeeds replaces the addresses to look for other instances at, and reports
// whether they changed.
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
