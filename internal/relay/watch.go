package relay

import (
	"context"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/peer"
)

// runWatch long-polls the leader for updates.
func (r *Relay) runWatch(ctx context.Context) {
	req := &egretmuxv1.WatchRequest{Instance: r.cfg.Instance.GetId()}
	for ctx.Err() == nil {
		r.mu.Lock()
		req.Incarnation = r.incarnation
		r.mu.Unlock()
		req.ContractVersion = r.cfg.Contracts.Version()
		resp, err := r.watch(ctx, req)
		if err != nil {
			r.RequestReport() // a watch needs the session that a report opens
			pause(ctx, watchRetryDelay, nil)
			continue
		}
		r.applyWatchResponse(req, resp)
	}
}

func (r *Relay) watch(ctx context.Context, req *egretmuxv1.WatchRequest) (*egretmuxv1.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	var resp *egretmuxv1.WatchResponse
	err := r.cfg.Leader.Call(ctx, func(ctx context.Context, c *peer.Clients) error {
		out, err := c.Cell.Watch(ctx, connect.NewRequest(req))
		if err == nil {
			resp = out.Msg
		}
		return err
	})
	return resp, err
}

// applyWatchResponse applies a response and records in req what was applied. Contracts
// are committed state and accepted from any leader; grants and commands only from
// the newest known one.
func (r *Relay) applyWatchResponse(req *egretmuxv1.WatchRequest, resp *egretmuxv1.WatchResponse) {
	r.cfg.Contracts.Apply(resp.GetContractVersion(), resp.GetContracts())
	if resp.GetContractVersion() > req.GetContractVersion() {
		r.cfg.Logger.Info().Str("event", "contracts_in_force").Uint64("cell_version", r.cfg.Contracts.Version()).Msg("new contracts in effect")
		r.RequestReport()
	}
	if !r.adoptTerm(resp.GetTerm()) || !r.applyGrants(resp) {
		req.Term = 0
		return
	}
	r.cfg.Commands.Enqueue(resp.GetCommands())
	req.Term = resp.GetTerm()
	req.EndpointVersion = resp.GetEndpointVersion()
	req.CommandSequence = resp.GetCommandSequence()
}

// applyGrants applies grants unless a newer term was adopted in the meantime. The lock
// keeps a report that is being built consistent.
func (r *Relay) applyGrants(resp *egretmuxv1.WatchResponse) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if resp.GetTerm() != r.term {
		return false
	}
	if len(resp.GetEndpoints()) > 0 {
		r.cfg.Endpoints.Update(resp.GetEndpoints())
		r.RequestReport() // confirms the grants
	}
	return true
}
