package jobcell

import (
	"context"
	"time"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
	"github.com/egretmux/egretmux/internal/scheduler"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Timing of the calls by which a leader checks that it answers. The replicas only hear the heartbeats of its log,
// which go on while its planner, its listener or its link stands still.
const (
	leaderProbePeriod  = 400 * time.Millisecond // while it answers
	leaderProbeTimeout = 400 * time.Millisecond
	probeRetryPause    = 50 * time.Millisecond
	maxFailedProbes    = 4 // in a row
	plannerStallLimit  = 1200 * time.Millisecond
	// handOverPause is the time after a hand-over in which a leader is not replaced again: the cause may be one
	// that moves with leadership, as too many calls.
	handOverPause = 5 * time.Second
)

// unresponsiveTime is the longest time for which a leader answers no call until it hands leadership over.
const unresponsiveTime = leaderProbePeriod + maxFailedProbes*(leaderProbeTimeout+probeRetryPause)

// leaderProbe checks that this instance answers calls while it leads, and hands leadership over if it does not.
type leaderProbe struct {
	cell    *Cell
	term    uint64
	failed  int       // probes in a row without an answer
	failing time.Time // when the first of these was sent
	quietBy time.Time // no hand-over before
}

// leaderProbeLoop probes this instance until the context ends.
func (c *Cell) leaderProbeLoop(ctx context.Context) {
	probe := &leaderProbe{cell: c}
	for ctx.Err() == nil {
		pause := leaderProbePeriod
		if probe.failed > 0 {
			pause = probeRetryPause
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		node := c.scheduler.Node()
		if node == nil {
			continue
		}
		status, _ := node.Status()
		if status.Leader != status.ID || status.ID == 0 {
			probe.term, probe.failed = 0, 0
			continue
		}
		if probe.term != status.Term { // calls wait for the first confirmation of a new leader
			probe.term, probe.failed = status.Term, 0
			continue
		}
		began := time.Now()
		if stalled := c.scheduler.PlannerStalled(); stalled > plannerStallLimit && !began.Before(probe.quietBy) {
			probe.quietBy = began.Add(handOverPause)
			c.handOverUnresponsive(ctx, "planner", stalled, status.Term)
			continue
		}
		if probe.update(c.probeLeader(ctx), began, time.Now()) {
			c.handOverUnresponsive(ctx, "no-answer", time.Since(probe.failing), status.Term)
		}
	}
}

// update takes note of a probe and reports whether leadership is to be handed over.
func (p *leaderProbe) update(err error, began, now time.Time) bool {
	if err == nil {
		p.failed = 0
		return false
	}
	telemetry.Count("leader_probes_failed_total")
	if p.failed++; p.failed == 1 {
		p.failing = began
	}
	if p.failed < maxFailedProbes || now.Before(p.quietBy) {
		return false
	}
	p.failed, p.quietBy = 0, now.Add(handOverPause)
	return true
}

func (c *Cell) handOverUnresponsive(ctx context.Context, reason string, age time.Duration, term uint64) {
	telemetry.Count(`leadership_handed_over_total{reason="` + reason + `"}`)
	c.cfg.Logger.Warn().Str("event", "leader_unresponsive").Str("reason", reason).Uint64("term", term).Int64("age_ms", age.Milliseconds()).Msg("handing over leadership: this instance leads and does not answer calls")
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := scheduler.HandOver(ctx, c.scheduler.Node()); err != nil {
		c.cfg.Logger.Warn().Err(err).Str("event", "leadership_not_handed_over").Uint64("term", term).Msg("")
	}
}

// probeLeader makes a call to this instance as others do, which needs its planner. It needs nothing of the other replicas:
// if these are slow, another leader is no better, and may be one of them.
func (c *Cell) probeLeader(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaderProbeTimeout)
	defer cancel()
	req := connect.NewRequest(&egretmuxv1.ShowCustomersRequest{})
	req.Header().Set(forwardedHeader, "1")
	_, err := c.probeDialer.Clients(c.cfg.Address).Jobs.ShowCustomers(ctx, req)
	if refusalrpc.IsRefusal(err) {
		return nil // it answers
	}
	return err
}
