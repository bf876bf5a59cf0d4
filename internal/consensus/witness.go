package consensus

import (
	"sync"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/wal"
)

// PromiseTracker remembers what other replicas promised in their messages, so that
// one whose disk came back older can be told. It is kept in memory only: after
// a restart of the whole cell from backups nobody objects.
type PromiseTracker struct {
	mu    sync.Mutex
	known map[uint64]Promise // by replica
}

// Promise is the newest that a replica has told of its persisted state.
type Promise struct {
	Term  uint64
	Index uint64 // highest entry acknowledged in the term
	Vote  uint64 // candidate voted for in the term; zero when not known
}

// NewPromiseTracker returns a witness that knows nothing.
func NewPromiseTracker() *PromiseTracker { return &PromiseTracker{known: make(map[uint64]Promise)} }

// Observe takes in messages. A replica sends only what it has persisted.
func (w *PromiseTracker) Observe(messages []*egretmuxv1.Message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range messages {
		p := w.known[m.GetFrom()]
		term := m.GetTerm()
		if isPreVote(m) || term < p.Term {
			continue // a pre-vote names a term that nobody is in
		}
		if term > p.Term {
			p = Promise{Term: term}
		}
		switch {
		case m.GetReject():
		case m.GetKind() == egretmuxv1.MessageKind_MESSAGE_KIND_APPEND_REPLY:
			p.Index = max(p.Index, m.GetIndex())
		case m.GetKind() == egretmuxv1.MessageKind_MESSAGE_KIND_VOTE_REPLY:
			p.Vote = m.GetTo()
		case m.GetKind() == egretmuxv1.MessageKind_MESSAGE_KIND_VOTE:
			p.Vote = m.GetFrom()
		}
		w.known[m.GetFrom()] = p
	}
}

func isPreVote(m *egretmuxv1.Message) bool {
	return m.GetKind() == egretmuxv1.MessageKind_MESSAGE_KIND_PRE_VOTE ||
		m.GetKind() == egretmuxv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
}

// PromiseOf returns what is known of a replica.
func (w *PromiseTracker) PromiseOf(replica uint64) Promise {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.known[replica]
}

// Exceeds reports whether more was promised than a data folder holds: the
// folder is older than it was when the promise was made, and its replica must
// not run on it.
func (p Promise) Exceeds(held *wal.Recovered) bool {
	term, vote, last := held.Position()
	if p.Term != term {
		return p.Term > term
	}
	return p.Index > last || p.Vote != 0 && p.Vote != vote
}
