package daemon

import (
	"context"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/peer"
)

// attempts implements entry.Attempts by calls to the leader.
type attempts struct{ leader *peer.LeaderClient }

// Begin implements entry.Attempts.
func (a *attempts) Begin(ctx context.Context, r *egretmuxv1.RequestRecord) (record *egretmuxv1.RequestRecord, run, conflict bool, err error) {
	err = a.leader.Call(ctx, func(ctx context.Context, c *peer.Clients) error {
		resp, err := c.Cell.BeginRequest(ctx, connect.NewRequest(&egretmuxv1.BeginRequestRequest{Request: r}))
		if err == nil {
			record, run, conflict = resp.Msg.GetRecord(), resp.Msg.GetRun(), resp.Msg.GetConflict()
		}
		return err
	})
	return record, run, conflict, err
}

// End implements entry.Attempts.
func (a *attempts) End(ctx context.Context, r *egretmuxv1.RequestRecord) error {
	return a.leader.Call(ctx, func(ctx context.Context, c *peer.Clients) error {
		_, err := c.Cell.EndRequest(ctx, connect.NewRequest(&egretmuxv1.EndRequestRequest{Request: r}))
		return err
	})
}
