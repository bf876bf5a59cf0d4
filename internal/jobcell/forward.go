package jobcell

import (
	"context"
	"time"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/peer"
)

// tryTimeout bounds one call to the leader; a commit takes a few tens of
// milliseconds, and a leader that is gone is replaced within a second.
const tryTimeout = 800 * time.Millisecond

// CallJob carries a call to the leader. It tries again until the context ends.
func (c *Cell) CallJob(ctx context.Context, call *egretmuxv1.JobCall) (*egretmuxv1.JobAnswer, error) {
	if c.scheduler.Leads() {
		return c.scheduler.CallJob(ctx, call)
	}
	var out *egretmuxv1.JobAnswer
	err := c.toLeader(ctx, func(ctx context.Context, p *peer.Clients) error {
		resp, err := p.Jobs.CallJob(ctx, connect.NewRequest(call))
		if err == nil {
			out = resp.Msg
		}
		return err
	})
	return out, err
}

// PutCatalogue carries a configuration to the leader.
func (c *Cell) PutCatalogue(ctx context.Context, catalogue *egretmuxv1.Catalogue) error {
	return c.toLeader(ctx, func(ctx context.Context, p *peer.Clients) error {
		_, err := p.Jobs.PutCatalogue(ctx, connect.NewRequest(&egretmuxv1.PutCatalogueRequest{Catalogue: catalogue}))
		return err
	})
}

// Catalogue returns the configuration in force, as the leader has it.
func (c *Cell) Catalogue(ctx context.Context) (*egretmuxv1.Catalogue, error) {
	var out *egretmuxv1.Catalogue
	err := c.toLeader(ctx, func(ctx context.Context, p *peer.Clients) error {
		resp, err := p.Jobs.GetCatalogue(ctx, connect.NewRequest(&egretmuxv1.GetCatalogueRequest{}))
		if err == nil {
			out = resp.Msg.GetCatalogue()
		}
		return err
	})
	return out, err
}

// Beat carries a worker's report to the leader and returns the control address
// of the instance that leads.
func (c *Cell) Beat(ctx context.Context, beat *egretmuxv1.WorkerBeat) (string, error) {
	if c.scheduler.Leads() {
		return c.cfg.Control, c.scheduler.Beat(ctx, beat)
	}
	control := ""
	err := c.toLeader(ctx, func(ctx context.Context, p *peer.Clients) error {
		resp, err := p.Jobs.BeatWorker(ctx, connect.NewRequest(beat))
		if err == nil {
			control = resp.Msg.GetLeaderControl()
		}
		return err
	})
	return control, err
}

func (c *Cell) toLeader(ctx context.Context, f func(context.Context, *peer.Clients) error) error {
	return c.finder.Call(ctx, func(ctx context.Context, p *peer.Clients) error {
		ctx, cancel := context.WithTimeout(ctx, tryTimeout)
		defer cancel()
		return f(ctx, p)
	})
}
