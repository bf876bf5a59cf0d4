package route

import (
	"slices"

	"github.com/egretmux/egretmux/internal/refusal"
)

// Waiter is a request that waits for a slot.
type Waiter struct {
	request *Request
	ready   chan outcome
}

// outcome is what a waiter gets: an endpoint or a refusal.
type outcome struct {
	endpoint *Endpoint
	err      *refusal.Error
}

// queue holds the waiting requests of one level. Customers take turns by
// their weights.
type queue struct {
	lists map[string]*list
	size  int
	clock float64 // virtual time of the last dispatch
}

// list holds the waiting requests of one customer, oldest first.
type list struct {
	customer string
	waiters  []*Waiter
	tag      float64 // virtual time of the customer's next dispatch
}

func (l *list) len() int {
	if l == nil {
		return 0
	}
	return len(l.waiters)
}

func (l *list) last() *Waiter { return l.waiters[len(l.waiters)-1] }

const minWeight = 0.001

func (q *queue) push(w *Waiter) {
	l := q.lists[w.request.Customer]
	if l == nil {
		l = &list{customer: w.request.Customer, tag: q.clock}
		q.lists[w.request.Customer] = l
	}
	if len(l.waiters) == 0 {
		l.tag = max(l.tag, q.clock)
	}
	l.waiters = append(l.waiters, w)
	q.size++
}

// front returns the request whose turn it is, or nil.
func (q *queue) front() *Waiter {
	var best *list
	for _, l := range q.lists {
		if len(l.waiters) == 0 {
			continue
		}
		if best == nil || l.tag < best.tag || l.tag == best.tag && l.customer < best.customer {
			best = l
		}
	}
	if best == nil {
		return nil
	}
	return best.waiters[0]
}

// pop takes the front request out and moves its customer's turn on.
func (q *queue) pop(w *Waiter) {
	l := q.lists[w.request.Customer]
	q.clock = l.tag
	l.tag += 1 / max(minWeight, w.request.Weight)
	q.remove(w)
}

func (q *queue) remove(w *Waiter) bool {
	l := q.lists[w.request.Customer]
	if l == nil {
		return false
	}
	i := slices.Index(l.waiters, w)
	if i < 0 {
		return false
	}
	l.waiters = slices.Delete(l.waiters, i, i+1)
	q.size--
	if len(l.waiters) == 0 && l.tag <= q.clock {
		delete(q.lists, l.customer)
	}
	return true
}

func (q *queue) customerSize(customer string) int { return q.lists[customer].len() }

func (q *queue) classSize(customer, class string) int {
	n := 0
	if l := q.lists[customer]; l != nil {
		for _, w := range l.waiters {
			if w.request.Class == class {
				n++
			}
		}
	}
	return n
}

// longest returns the list with the most waiting requests, or nil.
func (q *queue) longest() *list {
	var best *list
	for _, l := range q.lists {
		if l.len() == 0 {
			continue
		}
		if best == nil || l.len() > best.len() || l.len() == best.len() && l.customer < best.customer {
			best = l
		}
	}
	return best
}

// ahead returns how many requests go before a new one of the request's
// customer when customers take turns.
func (q *queue) ahead(r *Request) int {
	own := q.customerSize(r.Customer)
	n := own
	for customer, l := range q.lists {
		if customer != r.Customer {
			n += min(l.len(), own+1)
		}
	}
	return n
}
