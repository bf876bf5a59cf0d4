package state

import (
	"sort"
	"sync"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
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

func (t *instanceTable) join(m *egretmuxv1.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byID[m.GetId()] = m
}

func (t *instanceTable) leave(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, id)
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
