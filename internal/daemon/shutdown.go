package daemon

import (
	"context"
	"time"

	"github.com/egretmux/egretmux/internal/consensus/core"
)

// drain fails the readiness check, transfers leadership, waits for the load
// balancer to notice, refuses new requests, waits for those in flight, and returns
// the endpoint grants to the leader. Once graceCtx ends, it waits for nothing.
func (d *Daemon) drain(graceCtx context.Context) {
	close(d.draining)
	d.entry.DisableKeepAlives()
	d.logger.Info().Str("event", "readiness_dropped").Msg("shutting down; readiness checks fail from now on")
	d.transferLeadership(graceCtx)
	waitUntilClosed(graceCtx, d.settings.ReadinessWait, nil)
	drained := d.entry.Drain()
	if !waitUntilClosed(graceCtx, d.settings.DrainLimit, drained) && d.entry.InFlight() > 0 {
		cause := "drain limit"
		if graceCtx.Err() != nil {
			cause = "second signal"
		}
		d.logger.Warn().Str("event", "requests_cut").Int64("in_flight", d.entry.InFlight()).Str("cause", cause).Msg("stopped waiting for requests in flight")
	}
	ctx, cancel := context.WithTimeout(graceCtx, shutdownStepTimeout)
	defer cancel()
	if err := d.relay.Leave(ctx); err != nil {
		d.logger.Warn().Err(err).Str("event", "leave_not_told").Msg("could not tell the leader that this instance leaves")
	}
}

// waitUntilClosed returns true once done is closed, and false if the time limit or
// the context ends first. A nil done is never closed.
func waitUntilClosed(ctx context.Context, limit time.Duration, done <-chan struct{}) bool {
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

// transferLeadership hands leadership over to the voter with the most up-to-date
// log if this instance leads.
func (d *Daemon) transferLeadership(graceCtx context.Context) {
	node := d.leader.Replica()
	if node == nil {
		return
	}
	ctx, cancel := context.WithTimeout(graceCtx, shutdownStepTimeout)
	defer cancel()
	_ = node.Do(ctx, func(c *core.Core) error {
		if successor := c.Successor(); successor != 0 && c.TransferLeadership(successor) {
			d.logger.Info().Str("event", "leadership_handed_over").Uint64("to", successor).Msg("transferring leadership")
		}
		return nil
	})
}

func (d *Daemon) close(graceCtx context.Context) {
	ctx, cancel := context.WithTimeout(graceCtx, shutdownStepTimeout)
	defer cancel()
	if d.voter != nil {
		d.voter.EndStreams()
	}
	d.closeServers(ctx)
	d.links.Close()
	if d.voter != nil {
		d.closeVoter()
	}
}

// closeVoter closes the data folder. A replica that stands still, as on a hanging disk,
// is left behind: the log is synced before anything is acknowledged.
func (d *Daemon) closeVoter() {
	closed := make(chan error, 1)
	go func() { closed <- d.voter.Close() }()
	timeout := time.NewTimer(shutdownStepTimeout)
	defer timeout.Stop()
	select {
	case err := <-closed:
		if err != nil {
			d.logger.Warn().Err(err).Str("event", "data_folder_not_closed").Msg("could not close the data folder")
		}
	case <-timeout.C:
		d.logger.Warn().Str("event", "data_folder_not_closed").Msg("the replica stands still; ending without it, which is as safe as a crash")
	}
}
