package voter

import (
	"sync"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// witness remembers what other replicas promised in their messages, so that
// one whose disk came back older can be told. It is kept in memory only: after
// a restart of the whole cell from backups nobody objects.
type witness struct {
	mu    sync.Mutex
	known map[uint64]promise // by replica
}

// promise is the newest that a replica has told of its persisted state.
type promise struct {
	term  uint64
	index uint64 // highest entry acknowledged in the term
	vote  uint64 // candidate voted for in the term; zero when not known
}

func newWitness() *witness { return &witness{known: make(map[uint64]promise)} }

// observe takes in messages. A replica sends only what it has persisted.
func (w *witness) observe(messages []*egretmuxv1.Message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range messages {
		p := w.known[m.GetFrom()]
		term := m.GetTerm()
		if isPreVote(m) || term < p.term {
			continue // a pre-vote names a term that nobody is in
		}
		if term > p.term {
			p = promise{term: term}
		}
		switch {
		case m.GetReject():
		case m.GetKind() == egretmuxv1.MessageKind_MESSAGE_KIND_APPEND_REPLY:
			p.index = max(p.index, m.GetIndex())
		case m.GetKind() == egretmuxv1.MessageKind_MESSAGE_KIND_VOTE_REPLY:
			p.vote = m.GetTo()
		case m.GetKind() == egretmuxv1.MessageKind_MESSAGE_KIND_VOTE:
			p.vote = m.GetFrom()
		}
		w.known[m.GetFrom()] = p
	}
}

func isPreVote(m *egretmuxv1.Message) bool {
	return m.GetKind() == egretmuxv1.MessageKind_MESSAGE_KIND_PRE_VOTE ||
		m.GetKind() == egretmuxv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
}

// of returns what is known of a replica.
func (w *witness) of(replica uint64) promise {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.known[replica]
}
