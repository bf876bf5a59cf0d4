package consensus

import (
	"context"

	"github.com/cockroachdb/errors"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/core"
	"github.com/egretmux/egretmux/internal/telemetry"
)

type proposal struct {
	term uint64 // that the proposer leads; zero: any
	data []byte
	done chan result
}

type result struct {
	value any
	err   error
}

type waiter struct {
	term uint64
	size int
	done chan result
}

type readWaiter struct {
	index uint64
	done  chan error
}

// Propose appends a command and returns its result once it is committed and
// applied here. After ErrOutcomeUnknown or an ended context the command may
// still be applied.
func (n *Node) Propose(ctx context.Context, data []byte) (any, error) {
	return n.ProposeIn(ctx, 0, data)
}

// ProposeIn is Propose for a leader of the given term only: what it decided in
// that term does not enter the log in a later one.
func (n *Node) ProposeIn(ctx context.Context, term uint64, data []byte) (any, error) {
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

// ConfirmLeader returns once a quorum has confirmed that this replica still
// led after the call began, and everything committed by then is applied here.
func (n *Node) ConfirmLeader(ctx context.Context) error {
	w := readWaiter{done: make(chan error, 1)}
	select {
	case n.reads <- w:
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopped:
		return ErrStopped
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopped:
		return ErrStopped
	}
}

// Step hands over messages received from other replicas. A full queue drops
// them, as the network might.
func (n *Node) Step(messages []*egretmuxv1.Message) {
	select {
	case n.messages <- messages:
	default:
		telemetry.Count("replica_messages_dropped_total")
	}
}

// Do runs f on the core between two events and waits for it.
func (n *Node) Do(ctx context.Context, f func(*core.Core) error) error {
	done := make(chan error, 1)
	select {
	case n.control <- func(c *core.Core) { done <- f(c) }:
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

// propose hands a batch of waiting proposals to the core.
func (n *Node) propose(first proposal) {
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
	if batch = n.ofThisTerm(batch); len(batch) == 0 {
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
		n.waiting[index+uint64(i)] = waiter{term: n.core.Term(), size: len(p.data), done: p.done}
		n.waitingBytes += len(p.data)
	}
}

// ofThisTerm refuses the proposals that were made for another term.
func (n *Node) ofThisTerm(batch []proposal) []proposal {
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

func (n *Node) read(first readWaiter) {
	tokens := []uint64{n.addRead(first)}
	for len(tokens) < maxBatch {
		select {
		case r := <-n.reads:
			tokens = append(tokens, n.addRead(r))
			continue
		default:
		}
		break
	}
	n.core.ReadIndex(tokens...)
}

func (n *Node) addRead(r readWaiter) uint64 {
	n.nextToken++
	n.tokens[n.nextToken] = r
	return n.nextToken
}

// answer ends the wait of the proposal at a log index.
func (n *Node) answer(index uint64, w waiter, r result) {
	delete(n.waiting, index)
	n.waitingBytes -= w.size
	w.done <- r
}

func (n *Node) answerReads(reads []core.Read) {
	for _, r := range reads {
		w := n.tokens[r.Token]
		delete(n.tokens, r.Token)
		if !r.OK {
			w.done <- ErrNotLeader
			continue
		}
		w.index = r.Index
		n.confirmed = append(n.confirmed, w)
	}
	n.releaseReads()
}

// releaseReads answers the confirmed reads whose index has been applied.
func (n *Node) releaseReads() {
	kept := n.confirmed[:0]
	for _, w := range n.confirmed {
		if w.index <= n.applied {
			w.done <- nil
		} else {
			kept = append(kept, w)
		}
	}
	n.confirmed = kept
}
