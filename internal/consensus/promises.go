package consensus

import (
	"sync"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/wal"
)

// PromiseTracker records what other replicas promised in their messages, so
// that a replica restarted on an older copy of its disk can be detected. It is
// kept in memory only: after a restart of the whole cell from backups, an older
// copy goes undetected.
type PromiseTracker struct {
	mu       sync.Mutex
	promises map[uint64]Promise // by replica
}

// Promise is the newest persisted state that a replica has announced.
type Promise struct {
	Term  uint64
	Index uint64 // highest entry acknowledged in the term, or persisted by its leader
	Vote  uint64 // candidate voted for in the term; zero when not known
}

// NewPromiseTracker returns an empty tracker.
func NewPromiseTracker() *PromiseTracker { return &PromiseTracker{promises: make(map[uint64]Promise)} }

// Observe records the promises in the messages. A replica sends only what it
// has persisted.
func (t *PromiseTracker) Observe(messages []*egretmuxv1.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range messages {
		p := t.promises[m.GetFrom()]
		term := m.GetTerm()
		if isPreVote(m) || term < p.Term {
			continue // a pre-vote carries a term that its sender has not entered
		}
		if term > p.Term {
			p = Promise{Term: term}
		}
		switch {
		case m.GetReject():
		case m.GetKind() == egretmuxv1.MessageKind_MESSAGE_KIND_APPEND_REPLY:
			p.Index = max(p.Index, m.GetIndex())
		case m.GetKind() == egretmuxv1.MessageKind_MESSAGE_KIND_APPEND, m.GetKind() == egretmuxv1.MessageKind_MESSAGE_KIND_HEARTBEAT:
			p.Index = max(p.Index, m.GetHint()) // a leader counts what it has persisted for commits
		case m.GetKind() == egretmuxv1.MessageKind_MESSAGE_KIND_VOTE_REPLY:
			p.Vote = m.GetTo()
		case m.GetKind() == egretmuxv1.MessageKind_MESSAGE_KIND_VOTE:
			p.Vote = m.GetFrom()
		}
		t.promises[m.GetFrom()] = p
	}
}

func isPreVote(m *egretmuxv1.Message) bool {
	return m.GetKind() == egretmuxv1.MessageKind_MESSAGE_KIND_PRE_VOTE ||
		m.GetKind() == egretmuxv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
}

// PromiseOf returns the newest promise of a replica, or the zero Promise.
func (t *PromiseTracker) PromiseOf(replica uint64) Promise {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.promises[replica]
}

// Exceeds reports whether the replica promised more than its data folder
// holds. The folder is then older than the promise, and the replica must not
// run on it.
func (p Promise) Exceeds(recovered *wal.Recovered) bool {
	term, vote, last := recovered.Position()
	if p.Term != term {
		return p.Term > term
	}
	return p.Index > last || p.Vote != 0 && p.Vote != vote
}
