package relay

import (
	"context"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/peer"
)

// runWatch asks the leader for news, one call after another.
func (r *Relay) runWatch(ctx context.Context) {
	req := &egretmuxv1.WatchRequest{Instance: r.cfg.Instance.GetId()}
	for ctx.Err() == nil {
		r.mu.Lock()
		req.Incarnation = r.incarnation
		r.mu.Unlock()
		req.ContractVersion = r.cfg.Book.Version()
		resp, err := r.watch(ctx, req)
		if err != nil {
			r.Wake() // a report opens the session that a watch needs
			pause(ctx, retryPause, nil)
			continue
		}
		r.takeNews(req, resp)
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

// takeNews takes in an answer and notes in req what was taken in. Contracts
// are committed state, whoever sends them; grants and commands count only from
// the newest leader known.
func (r *Relay) takeNews(req *egretmuxv1.WatchRequest, resp *egretmuxv1.WatchResponse) {
	r.cfg.Book.Apply(resp.GetContractVersion(), resp.GetContracts())
	if resp.GetContractVersion() > req.GetContractVersion() {
		r.cfg.Logger.Info().Str("event", "contracts_in_force").Uint64("cell_version", r.cfg.Book.Version()).Msg("")
		r.Wake()
	}
	if !r.adopt(resp.GetTerm()) || !r.takeGrants(resp) {
		req.Term = 0
		return
	}
	r.cfg.Commands.Enqueue(resp.GetCommands())
	req.Term = resp.GetTerm()
	req.EndpointVersion = resp.GetEndpointVersion()
	req.CommandSequence = resp.GetCommandSequence()
}

// takeGrants passes grants on unless a newer leader was taken up meanwhile.
// The lock keeps a report that is being collected whole.
func (r *Relay) takeGrants(resp *egretmuxv1.WatchResponse) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if resp.GetTerm() != r.term {
		return false
	}
	if len(resp.GetEndpoints()) > 0 {
		r.cfg.Endpoints.Update(resp.GetEndpoints())
		r.Wake() // confirms the grants
	}
	return true
}
