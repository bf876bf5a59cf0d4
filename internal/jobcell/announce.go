package jobcell

import (
	"context"
	"time"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/discovery"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Limits of the pause between two looks at the directory.
const (
	minDiscoveryPause = 5 * time.Millisecond
	// replicaWatchPeriod is the limit on an instance with a replica, which may be
	// elected at any time.
	replicaWatchPeriod = 100 * time.Millisecond
)

// discoveryLoop makes the calls by which this instance finds the others and the leader.
func (c *Cell) discoveryLoop(ctx context.Context) {
	leader := ""
	watch := &leaderWatch{logger: c.cfg.Logger}
	for ctx.Err() == nil {
		now := time.Now()
		c.directory.SetLocal(c.localState(), now)
		if known := c.leaderAddress(); known != leader {
			leader = known
			c.cfg.Logger.Info().Str("event", "leader_changed").Str("leader", leader).Msg("")
			c.leader.LeaderChanged(leader)
		}
		age, reason := c.directory.Search(now)
		watch.update(age, reason, c.Ready(), c.directory.Asked)
		calls, next := c.directory.Calls(now)
		for _, call := range calls {
			go c.makeCall(ctx, call)
		}
		if c.formed() {
			c.allowReplicaStart()
		}
		pause := max(minDiscoveryPause, time.Until(next))
		if c.voter() != nil {
			pause = min(pause, replicaWatchPeriod)
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-c.directory.Wake():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// localState returns what the replica knows of the cell.
func (c *Cell) localState() discovery.Local {
	leader, term := c.scheduler.Leader()
	return discovery.Local{
		Leads: c.scheduler.Leads(), Leader: leader, Term: term, Replicas: c.scheduler.ReplicaAddresses(), Formed: c.replicaFormed(),
	}
}

// allowReplicaStart lets an empty replica start and wait for the leader to add it.
func (c *Cell) allowReplicaStart() { c.startOnce.Do(func() { close(c.replicaStartAllowed) }) }

// leaderAddress returns the address of the leader, or an empty string if it is unknown
// or did not answer the last announcement.
func (c *Cell) leaderAddress() string {
	address, _ := c.directory.Leader()
	return address
}

// makeCall makes one call of the directory and reports the answer to it.
func (c *Cell) makeCall(ctx context.Context, call discovery.Call) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	jobs, began := c.dialer.Clients(call.Address).Jobs, time.Now()
	if call.Notice != nil {
		resp, err := jobs.AnnounceLeader(ctx, connect.NewRequest(call.Notice))
		if err != nil {
			telemetry.CountRetry("leader-notice-failed")
			c.directory.NoticeAnswered(call, nil, time.Now())
			return
		}
		c.directory.NoticeAnswered(call, resp.Msg, time.Now())
		return
	}
	resp, err := jobs.AnnounceMember(ctx, connect.NewRequest(call.Announce))
	if err != nil {
		telemetry.CountRetry("announce-failed")
		if connect.CodeOf(err) == connect.CodeDeadlineExceeded {
			c.dialer.Renew(call.Address)
		}
		c.directory.Failed(call, time.Now())
		return
	}
	c.dialer.Answered(call.Address)
	telemetry.ObserveSeconds("announce", time.Since(began))
	c.directory.Answered(call, resp.Msg, began, time.Now())
	c.followVoters()
}

// followVoters looks for the leader among the replicas that the directory knows, and sends calls
// that wait for one to a new leader.
func (c *Cell) followVoters() {
	if voters := c.directory.Voters(); len(voters) > 0 {
		c.leader.SetVoters(voters)
	}
	c.leader.LeaderChanged(c.leaderAddress())
}

// Ready reports whether this instance leads or can reach the leader.
func (c *Cell) Ready() bool { return c.scheduler.Leads() || c.directory.InContact(time.Now()) }

// AnnounceMember implements JobCellService.
func (s *service) AnnounceMember(_ context.Context, req *connect.Request[egretmuxv1.AnnounceMemberRequest]) (*connect.Response[egretmuxv1.AnnounceMemberResponse], error) {
	return connect.NewResponse(s.cell.directory.HandleAnnouncement(req.Msg, time.Now())), nil
}

// AnnounceLeader implements JobCellService.
func (s *service) AnnounceLeader(_ context.Context, req *connect.Request[egretmuxv1.AnnounceLeaderRequest]) (*connect.Response[egretmuxv1.AnnounceLeaderResponse], error) {
	resp := s.cell.directory.HandleNotice(req.Msg, time.Now())
	s.cell.followVoters()
	return connect.NewResponse(resp), nil
}
