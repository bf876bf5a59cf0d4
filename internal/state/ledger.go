package state

import (
	"sync"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// ledger sums what each customer holds, and how many of its members wait and
// how many run.
type ledger struct {
	mu      sync.RWMutex
	held    map[string]worker.Resources
	waiting map[string]int
	live    map[string]int // attempts
}

func (l *ledger) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = make(map[string]worker.Resources)
	l.waiting = make(map[string]int)
	l.live = make(map[string]int)
}

// account moves a task's part of the sums from its old record to the new one.
func (l *ledger) account(old, next *egretmuxv1.Task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old != nil {
		name := old.GetSpec().GetCustomer()
		room, live := heldBy(old)
		l.held[name] = l.held[name].Minus(room)
		l.live[name] -= live
		l.waiting[name] -= len(task.WaitingMembers(old))
	}
	name := next.GetSpec().GetCustomer()
	room, live := heldBy(next)
	l.held[name] = l.held[name].Plus(room)
	l.live[name] += live
	l.waiting[name] += len(task.WaitingMembers(next))
}

// heldBy returns the room of a task's live attempts and their number.
func heldBy(t *egretmuxv1.Task) (room worker.Resources, live int) {
	for _, a := range t.GetAttempts() {
		if task.Live(a.GetPhase()) {
			room = room.Plus(task.HeldResources(t, a))
			live++
		}
	}
	return room, live
}

// HeldByCustomer returns the room that a customer's live attempts hold.
func (s *Store) HeldByCustomer(customer string) worker.Resources {
	s.ledger.mu.RLock()
	defer s.ledger.mu.RUnlock()
	return s.ledger.held[customer]
}

// LiveAttempts returns how many of a customer's attempts may be running.
func (s *Store) LiveAttempts(customer string) int {
	s.ledger.mu.RLock()
	defer s.ledger.mu.RUnlock()
	return s.ledger.live[customer]
}

// WaitingMembers returns how many of a customer's members wait for a worker.
func (s *Store) WaitingMembers(customer string) int {
	s.ledger.mu.RLock()
	defer s.ledger.mu.RUnlock()
	return s.ledger.waiting[customer]
}

// withinQuota reports whether an amount held is within a contract's quota.
func withinQuota(c *contract.Contract, held worker.Resources) bool {
	if c == nil {
		return false
	}
	q := c.Quota
	return within(held.CPUMillis, q.CPUMillis) && within(held.MemoryMiB, q.MemoryMiB) && within(held.Accelerators, q.Accelerators)
}

// within reports whether x is at most the limit; a limit of zero is none.
func within(x, limit int64) bool { return limit == 0 || x <= limit }
