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

// put stores a record from a snapshot unchanged.
func (t *instanceTable) put(in *egretmuxv1.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byID[in.GetId()] = in
}

// join records an instance's process, identified by its incarnation. It returns
// false if a newer incarnation is recorded. A process that replaces one that has
// not left is marked as having a predecessor until the leader reports that no
// earlier process can hold a lease.
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

// leave removes an instance, unless another process of the same id is recorded
// or a predecessor may still hold a lease. It returns the number of instances
// removed.
func (t *instanceTable) leave(c *egretmuxv1.LeaveInstance) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	in := t.byID[c.GetId()]
	if in == nil || in.GetIncarnation() != c.GetIncarnation() || in.GetPredecessor() {
		return 0
	}
	delete(t.byID, c.GetId())
	return 1
}

func (t *instanceTable) all() []*egretmuxv1.Instance {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]*egretmuxv1.Instance, 0, len(t.byID))
	for _, in := range t.byID {
		out = append(out, in)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetId() < out[j].GetId() })
	return out
}

// Instances returns the instances that belong to the cell, ordered by id.
func (s *Store) Instances() []*egretmuxv1.Instance { return s.instances.all() }

// Instance returns an instance or nil.
func (s *Store) Instance(id string) *egretmuxv1.Instance {
	s.instances.mu.RLock()
	defer s.instances.mu.RUnlock()
	return s.instances.byID[id]
}

// joinInstance records a process of an instance. Requests that an earlier
// process began and did not end get an unknown outcome.
func (s *Store) joinInstance(c *egretmuxv1.JoinInstance) *Result {
	previous := s.Instance(c.GetInstance().GetId()).GetIncarnation()
	if c.GetInstance() == nil || !s.instances.join(c) {
		return &Result{Err: refusal.New(refusal.NoLease, "give each instance an id of its own", "a newer process of instance %s has joined", c.GetInstance().GetId())}
	}
	if previous < c.GetInstance().GetIncarnation() {
		s.requests.markUnknownByInstance(c.GetInstance().GetId(), s.now)
	}
	return &Result{Applied: 1}
}
