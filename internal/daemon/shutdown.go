package daemon

import (
	"context"
	"time"

	"github.com/egretmux/egretmux/internal/consensus/core"
)

// drain drops readiness, waits for the balancer to notice, refuses new
// requests, waits for those in flight, and hands the endpoint grants back.
// Once urgent ends, it waits for nothing any more.
func (d *Daemon) drain(urgent context.Context) {
	close(d.draining)
	d.entry.DisableKeepAlives()
	d.logger.Info().Str("event", "readiness_dropped").Msg("")
	d.handOver(urgent)
	wait(urgent, d.settings.ReadinessWait, nil)
	finished := d.entry.Drain()
	if !wait(urgent, d.settings.DrainLimit, finished) && d.entry.InFlight() > 0 {
		cause := "drain limit"
		if urgent.Err() != nil {
			cause = "second signal"
		}
		d.logger.Warn().Str("event", "requests_cut").Int64("in_flight", d.entry.InFlight()).Str("cause", cause).Msg("")
	}
	ctx, cancel := context.WithTimeout(urgent, closeTimeout)
	defer cancel()
	if err := d.relay.Leave(ctx); err != nil {
		d.logger.Warn().Err(err).Str("event", "leave_not_told").Msg("")
	}
}

// wait returns true once done is closed, and false after the time or when the
// context ends first.
func wait(ctx context.Context, limit time.Duration, done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// handOver passes leadership to the voter that has the most of the log.
func (d *Daemon) handOver(urgent context.Context) {
	node := d.leader.Node()
	if node == nil {
		return
	}
	ctx, cancel := context.WithTimeout(urgent, closeTimeout)
	defer cancel()
	_ = node.Do(ctx, func(c *core.Core) error {
		if to := c.Successor(); to != 0 && c.TransferLeadership(to) {
			d.logger.Info().Str("event", "leadership_handed_over").Uint64("to", to).Msg("")
		}
		return nil
	})
}

func (d *Daemon) close(urgent context.Context) {
	ctx, cancel := context.WithTimeout(urgent, closeTimeout)
	defer cancel()
	if d.voter != nil {
		d.voter.EndStreams()
	}
	d.closeServers(ctx)
	d.links.Close()
	if d.voter != nil {
		if err := d.voter.Close(); err != nil {
			d.logger.Warn().Err(err).Str("event", "data_folder_not_closed").Msg("")
		}
	}
}
