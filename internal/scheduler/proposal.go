package scheduler

import (
	"context"

	"github.com/egretmux/egretmux/internal/job"
)

// callerProposal is a command that is being stored for one or more calls.
type callerProposal struct {
	done   chan struct{} // closed once the outcome is known
	result job.Result
	err    error
}

// beginProposal returns the proposal of a command, and whether it has been in progress before. Only a proposal that
// calls may join is found again.
func (t *tenure) beginProposal(command []byte, joinable bool) (p *callerProposal, joined bool) {
	p = &callerProposal{done: make(chan struct{})}
	if !joinable {
		return p, false
	}
	t.proposalsMu.Lock()
	defer t.proposalsMu.Unlock()
	if former := t.proposals[string(command)]; former != nil {
		return former, true
	}
	t.proposals[string(command)] = p
	return p, false
}

// endProposal tells the calls that wait for a proposal its outcome.
func (t *tenure) endProposal(p *callerProposal, command []byte, result job.Result, err error) {
	t.proposalsMu.Lock()
	if t.proposals[string(command)] == p {
		delete(t.proposals, string(command))
	}
	t.proposalsMu.Unlock()
	p.result, p.err = result, err
	close(p.done)
}

// await returns the outcome of the proposal, or an unknown one if ctx is done first.
func (p *callerProposal) await(ctx context.Context) (job.Result, error) {
	select {
	case <-p.done:
		return p.result, p.err
	case <-ctx.Done():
		return job.Result{}, outcomeUnknown("the call ended before the outcome was known").WithCause(ctx.Err())
	}
}
