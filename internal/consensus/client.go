package consensus

import (
	"context"

	"github.com/cockroachdb/errors"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/core"
	"github.com/egretmux/egretmux/internal/telemetry"
)

type proposal struct {
	term uint64 // term in which it may be appended; zero means any
	data []byte
	done chan result
}

type result struct {
	value any
	err   error
}

type pendingProposal struct {
	term uint64
	size int
	done chan result
}

type readRequest struct {
	index uint64 // to be applied before the read completes; set when a quorum has confirmed it
	done  chan error
}

// Propose appends a command and returns its result once it is committed and
// applied here. After ErrOutcomeUnknown or an ended context the command may
// still be applied.
func (n *Node) Propose(ctx context.Context, data []byte) (any, error) {
	return n.ProposeInTerm(ctx, 0, data)
}

// ProposeInTerm is like Propose, but returns ErrNotLeader unless this replica leads
// in the given term. A decision made in that term therefore never enters the log
// in a later one. ErrNotLeader is final: this replica will not lead in that term again.
func (n *Node) ProposeInTerm(ctx context.Context, term uint64, data []byte) (any, error) {
	p := proposal{term: term, data: data, done: make(chan result, 1)}
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-n.stopped:
		return nil, ErrStopped
	}
	select {
	case r := <-p.done:
		return r.value, r.err
	case <-ctx.Done():
		return nil, errors.Mark(ctx.Err(), ErrOutcomeUnknown)
	case <-n.stopped:
		return nil, ErrOutcomeUnknown
	}
}

// ConfirmLeader returns nil once a quorum has confirmed that this replica still
// led after the call began, and everything committed by then is applied here.
func (n *Node) ConfirmLeader(ctx context.Context) error {
	request := readRequest{done: make(chan error, 1)}
	select {
	case n.readRequests <- request:
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopped:
		return ErrStopped
	}
	select {
	case err := <-request.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopped:
		return ErrStopped
	}
}

// Step queues messages received from other replicas. When the queue is full they
// are dropped, which the protocol tolerates like a loss in the network.
func (n *Node) Step(messages []*egretmuxv1.Message) {
	select {
	case n.messages <- messages:
	default:
		telemetry.Count("replica_messages_dropped_total")
	}
}

// Do runs f on the core in the loop of Run and waits for its result.
func (n *Node) Do(ctx context.Context, f func(*core.Core) error) error {
	done := make(chan error, 1)
	select {
	case n.coreCalls <- func(c *core.Core) { done <- f(c) }:
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopped:
		return ErrStopped
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopped:
		return ErrStopped
	}
}

// proposeBatch proposes first and further queued proposals as one batch.
func (n *Node) proposeBatch(first proposal) {
	batch := []proposal{first}
	for len(batch) < maxBatch {
		select {
		case p := <-n.proposals:
			batch = append(batch, p)
			continue
		default:
		}
		break
	}
	if batch = n.rejectOtherTerms(batch); len(batch) == 0 {
		return
	}
	data := make([][]byte, len(batch))
	for i, p := range batch {
		data[i] = p.data
	}
	index, ok := n.core.Propose(data...)
	for i, p := range batch {
		if !ok {
			p.done <- result{err: ErrNotLeader}
			continue
		}
		n.pendingProposals[index+uint64(i)] = pendingProposal{term: n.core.Term(), size: len(p.data), done: p.done}
		n.pendingBytes += len(p.data)
	}
}

// rejectOtherTerms rejects the proposals made for another term and returns the
// others.
func (n *Node) rejectOtherTerms(batch []proposal) []proposal {
	kept := batch[:0]
	for _, p := range batch {
		if p.term != 0 && p.term != n.core.Term() {
			p.done <- result{err: ErrNotLeader}
			continue
		}
		kept = append(kept, p)
	}
	return kept
}

func (n *Node) requestReads(first readRequest) {
	tokens := []uint64{n.registerRead(first)}
	for len(tokens) < maxBatch {
		select {
		case r := <-n.readRequests:
			tokens = append(tokens, n.registerRead(r))
			continue
		default:
		}
		break
	}
	n.core.ReadIndex(tokens...)
}

func (n *Node) registerRead(r readRequest) uint64 {
	n.lastReadToken++
	n.unconfirmedReads[n.lastReadToken] = r
	return n.lastReadToken
}

// completeProposal sends the result of the proposal at a log index to its caller.
func (n *Node) completeProposal(index uint64, p pendingProposal, r result) {
	delete(n.pendingProposals, index)
	n.pendingBytes -= p.size
	p.done <- r
}

func (n *Node) handleReadResults(reads []core.Read) {
	for _, r := range reads {
		request := n.unconfirmedReads[r.Token]
		delete(n.unconfirmedReads, r.Token)
		if !r.OK {
			request.done <- ErrNotLeader
			continue
		}
		request.index = r.Index
		n.confirmedReads = append(n.confirmedReads, request)
	}
	n.completeReads()
}

// completeReads completes the confirmed reads whose index has been applied.
func (n *Node) completeReads() {
	unapplied := n.confirmedReads[:0]
	for _, request := range n.confirmedReads {
		if request.index <= n.applied {
			request.done <- nil
		} else {
			unapplied = append(unapplied, request)
		}
	}
	n.confirmedReads = unapplied
}
