package route

import (
	"slices"

	"github.com/egretmux/egretmux/internal/refusal"
)

// Waiter is a queued request.
type Waiter struct {
	request *Request
	outcome chan outcome // receives one outcome
}

// outcome is the end of a wait: an endpoint or a refusal.
type outcome struct {
	endpoint *Endpoint
	err      *refusal.Error
}

// queue holds the queued requests of one level and shares dispatches among the
// customers by weighted fair queueing.
type queue struct {
	byCustomer  map[string]*customerQueue
	size        int
	virtualTime float64 // virtual time of the last dispatch
}

// customerQueue holds the queued requests of one customer, oldest first.
type customerQueue struct {
	customer string
	waiters  []*Waiter
	startTag float64 // virtual time when the customer's next request is due
}

func (l *customerQueue) len() int {
	if l == nil {
		return 0
	}
	return len(l.waiters)
}

func (l *customerQueue) newest() *Waiter { return l.waiters[len(l.waiters)-1] }

const minWeight = 0.001

func (q *queue) push(w *Waiter) {
	l := q.byCustomer[w.request.Customer]
	if l == nil {
		l = &customerQueue{customer: w.request.Customer, startTag: q.virtualTime}
		q.byCustomer[w.request.Customer] = l
	}
	if len(l.waiters) == 0 {
		l.startTag = max(l.startTag, q.virtualTime)
	}
	l.waiters = append(l.waiters, w)
	q.size++
}

// front returns the oldest request of the customer with the lowest start tag,
// or nil if the queue is empty.
func (q *queue) front() *Waiter {
	var best *customerQueue
	for _, l := range q.byCustomer {
		if len(l.waiters) == 0 {
			continue
		}
		if best == nil || l.startTag < best.startTag || l.startTag == best.startTag && l.customer < best.customer {
			best = l
		}
	}
	if best == nil {
		return nil
	}
	return best.waiters[0]
}

// pop removes the front request and advances its customer's start tag.
func (q *queue) pop(w *Waiter) {
	l := q.byCustomer[w.request.Customer]
	q.virtualTime = l.startTag
	l.startTag += 1 / max(minWeight, w.request.Weight)
	q.remove(w)
}

// remove removes a request and reports whether it was queued.
func (q *queue) remove(w *Waiter) bool {
	l := q.byCustomer[w.request.Customer]
	if l == nil {
		return false
	}
	i := slices.Index(l.waiters, w)
	if i < 0 {
		return false
	}
	l.waiters = slices.Delete(l.waiters, i, i+1)
	q.size--
	if len(l.waiters) == 0 && l.startTag <= q.virtualTime {
		delete(q.byCustomer, l.customer)
	}
	return true
}

func (q *queue) customerSize(customer string) int { return q.byCustomer[customer].len() }

func (q *queue) classSize(customer, class string) int {
	n := 0
	if l := q.byCustomer[customer]; l != nil {
		for _, w := range l.waiters {
			if w.request.Class == class {
				n++
			}
		}
	}
	return n
}

// longestQueue returns the queue with the most requests, or nil if all are empty.
func (q *queue) longestQueue() *customerQueue {
	var best *customerQueue
	for _, l := range q.byCustomer {
		if l.len() == 0 {
			continue
		}
		if best == nil || l.len() > best.len() || l.len() == best.len() && l.customer < best.customer {
			best = l
		}
	}
	return best
}

// countAhead returns how many queued requests are dispatched before a new one
// of r's customer if all customers have the same weight.
func (q *queue) countAhead(r *Request) int {
	own := q.customerSize(r.Customer)
	n := own
	for customer, l := range q.byCustomer {
		if customer != r.Customer {
			n += min(l.len(), own+1)
		}
	}
	return n
}
