package state

import (
	"sort"
	"sync"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
)

// instanceTable holds the instances that belong to the cell.
type instanceTable struct {
	mu   sync.RWMutex
	byID map[string]*egretmuxv1.Instance
}

func (t *instanceTable) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byID = make(map[string]*egretmuxv1.Instance)
}

// put stores a record as it is.
func (t *instanceTable) put(m *egretmuxv1.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byID[m.GetId()] = m
}

// join records a process of an instance. It returns false when a newer process
// is recorded. A process that replaces one which has not left is marked as
// having a predecessor until the leader says that it is settled.
func (t *instanceTable) join(c *egretmuxv1.JoinInstance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := clone(c.GetInstance())
	old := t.byID[next.GetId()]
	switch {
	case old == nil:
		next.Predecessor = false
	case old.GetIncarnation() > next.GetIncarnation():
		return false
	case old.GetIncarnation() < next.GetIncarnation():
		next.Predecessor = true
	default:
		next.Predecessor = old.GetPredecessor() && !c.GetSettled()
	}
	t.byID[next.GetId()] = next
	return true
}

// leave removes an instance unless another process of its name has joined or
// may still hold a lease.
func (t *instanceTable) leave(c *egretmuxv1.LeaveInstance) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.byID[c.GetId()]
	if m == nil || m.GetIncarnation() != c.GetIncarnation() || m.GetPredecessor() {
		return 0
	}
	delete(t.byID, c.GetId())
	return 1
}

func (t *instanceTable) all() []*egretmuxv1.Instance {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]*egretmuxv1.Instance, 0, len(t.byID))
	for _, m := range t.byID {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetId() < out[j].GetId() })
	return out
}

// Instances returns the instances that belong to the cell, by name.
func (s *Store) Instances() []*egretmuxv1.Instance { return s.members.all() }

// Instance returns an instance or nil.
func (s *Store) Instance(id string) *egretmuxv1.Instance {
	s.members.mu.RLock()
	defer s.members.mu.RUnlock()
	return s.members.byID[id]
}

// joinInstance records a process of an instance. Requests that an earlier
// process began and did not end have an unknown outcome from then on.
func (s *Store) joinInstance(c *egretmuxv1.JoinInstance) *Result {
	earlier := s.Instance(c.GetInstance().GetId()).GetIncarnation()
	if c.GetInstance() == nil || !s.members.join(c) {
		return &Result{Err: refusal.New(refusal.NoLease, "give each instance an id of its own", "a newer process of instance %s has joined", c.GetInstance().GetId())}
	}
	if earlier < c.GetInstance().GetIncarnation() {
		s.requests.abandon(c.GetInstance().GetId(), s.now)
	}
	return &Result{Applied: 1}
}
