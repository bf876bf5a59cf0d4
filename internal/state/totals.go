package state

import (
	"sync"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// customerTotals holds, by customer, the resources of its live attempts, their
// number and the number of members that wait for a worker.
type customerTotals struct {
	mu      sync.RWMutex
	held    map[string]worker.Resources
	waiting map[string]int // members
	live    map[string]int // attempts
}

func (t *customerTotals) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held = make(map[string]worker.Resources)
	t.waiting = make(map[string]int)
	t.live = make(map[string]int)
}

// replaceTask subtracts a task's old record, which may be nil, from its
// customer's totals and adds the new one.
func (t *customerTotals) replaceTask(old, next *egretmuxv1.Task) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old != nil {
		customer := old.GetSpec().GetCustomer()
		held, live := sumLiveAttempts(old)
		t.held[customer] = t.held[customer].Minus(held)
		t.live[customer] -= live
		t.waiting[customer] -= len(task.WaitingMembers(old))
	}
	customer := next.GetSpec().GetCustomer()
	held, live := sumLiveAttempts(next)
	t.held[customer] = t.held[customer].Plus(held)
	t.live[customer] += live
	t.waiting[customer] += len(task.WaitingMembers(next))
}

// sumLiveAttempts returns the resources that a task's live attempts hold and
// their number.
func sumLiveAttempts(t *egretmuxv1.Task) (held worker.Resources, live int) {
	for _, a := range t.GetAttempts() {
		if task.Live(a.GetPhase()) {
			held = held.Plus(task.HeldResources(t, a))
			live++
		}
	}
	return held, live
}

// HeldByCustomer returns the resources that a customer's live attempts hold.
func (s *Store) HeldByCustomer(customer string) worker.Resources {
	s.totals.mu.RLock()
	defer s.totals.mu.RUnlock()
	return s.totals.held[customer]
}

// LiveAttempts returns how many of a customer's attempts may be running.
func (s *Store) LiveAttempts(customer string) int {
	s.totals.mu.RLock()
	defer s.totals.mu.RUnlock()
	return s.totals.live[customer]
}

// WaitingMembers returns how many of a customer's members wait for a worker.
func (s *Store) WaitingMembers(customer string) int {
	s.totals.mu.RLock()
	defer s.totals.mu.RUnlock()
	return s.totals.waiting[customer]
}

// withinQuota reports whether the held resources are within the contract's
// quota. Without a contract nothing is.
func withinQuota(c *contract.Contract, held worker.Resources) bool {
	if c == nil {
		return false
	}
	q := c.Quota
	return withinLimit(held.CPUMillis, q.CPUMillis) && withinLimit(held.MemoryMiB, q.MemoryMiB) && withinLimit(held.Accelerators, q.Accelerators)
}

// withinLimit reports whether amount is at most limit; a limit of zero means no
// limit.
func withinLimit(amount, limit int64) bool { return limit == 0 || amount <= limit }
