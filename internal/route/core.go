package route

import (
	"slices"
	"time"

	"github.com/egretmux/egretmux/internal/refusal"
)

// Request is what the choice of an endpoint depends on.
type Request struct {
	Service    string
	Customer   string
	Weight     float64 // the customer's weight in fair queueing
	Class      string
	ClassQueue int  // maximum queued requests of the customer's class; 0: no limit
	AtOnce     bool // a caller waits for the answer
	Idempotent bool // the request may run twice
	Deadline   time.Time
	Avoid      []string // endpoints that earlier attempts were sent to
}

// Event is a change in an endpoint's health that is logged and counted.
type Event struct {
	Name     string
	Endpoint string
}

const (
	reserveDivisor  = 4  // 1/4 of the slots is reserved for at-once requests
	canWaitInterval = 8  // every 8th dispatch prefers can-wait requests, so that they don't starve
	holdSmoothing   = 32 // the newest completion has a weight of 1/32 in the average hold time
	minHoldSamples  = 8  // completions needed before waits are predicted
	minRetryAfter   = time.Second
)

// Core decides for one service which endpoint a request goes to and which
// requests are queued or refused. It has no clock and does no I/O. It is not
// safe for concurrent use.
type Core struct {
	datacentre  string
	maxWaiting  int // limit of queued requests
	endpoints   []*Endpoint
	queues      [2]queue // by level
	rotation    int      // offset of the first endpoint examined, for round-robin
	dispatches  int
	canWaitBusy int32            // slots in use by can-wait requests
	busy        int32            // slots in use
	peakDemand  int32            // largest demand since the last report
	holdTime    [2]movingAverage // time that a request holds its slot, by level
	retryBudget float64          // number of retries allowed now
	events      []Event
}

// movingAverage is an exponential moving average.
type movingAverage struct {
	value   time.Duration
	samples int
}

func (a *movingAverage) add(d time.Duration) {
	if a.samples == 0 {
		a.value = d
	}
	a.samples++
	a.value += (d - a.value) / holdSmoothing
}

// Priority levels of the queues.
const (
	atOnceLevel = iota
	canWaitLevel
)

func levelOf(r *Request) int {
	if r.AtOnce {
		return atOnceLevel
	}
	return canWaitLevel
}

// NewCore returns a core without endpoints for an instance in the given data
// centre that queues at most maxWaiting requests.
func NewCore(datacentre string, maxWaiting int) *Core {
	c := &Core{datacentre: datacentre, maxWaiting: maxWaiting, retryBudget: retryBurst}
	for i := range c.queues {
		c.queues[i].byCustomer = make(map[string]*customerQueue)
	}
	return c
}

// Acquire returns the endpoint that the request goes to, or a waiter if the
// request is queued, or a refusal.
func (c *Core) Acquire(now time.Time, r *Request) (*Endpoint, *Waiter, *refusal.Error) {
	c.earnRetry()
	if !c.hasEndpoint() {
		return nil, nil, refusal.New(refusal.NoEndpoint, "retry later", "no endpoint of service %s takes requests", r.Service).WithRetryAfter(minRetryAfter)
	}
	if c.queues[atOnceLevel].size == 0 && (r.AtOnce || c.queues[canWaitLevel].size == 0) && c.levelMayTakeSlot(r) {
		if e := c.chooseEndpoint(now, r, false); e != nil {
			c.occupySlot(e, r)
			c.updatePeakDemand()
			return e, nil, nil
		}
	}
	if err := c.admissionError(now, r); err != nil {
		return nil, nil, err
	}
	w := &Waiter{request: r, outcome: make(chan outcome, 1)}
	c.queues[levelOf(r)].push(w)
	c.updatePeakDemand()
	return nil, w, nil
}

// admissionError returns a refusal if the request must not be queued, else nil.
// It may shed another request to admit this one.
func (c *Core) admissionError(now time.Time, r *Request) *refusal.Error {
	wait := c.expectedWait(r)
	holdTime := c.holdTime[levelOf(r)]
	if holdTime.samples >= minHoldSamples && now.Add(wait+holdTime.value).After(r.Deadline) {
		return refusal.New(refusal.DeadlineTooClose, "retry later or allow more time", "the request would wait %s", wait.Round(time.Millisecond)).WithRetryAfter(max(minRetryAfter, wait))
	}
	q := &c.queues[levelOf(r)]
	if r.ClassQueue > 0 && q.classSize(r.Customer, r.Class) >= r.ClassQueue {
		return refusal.New(refusal.QueueFull, "retry later, or raise queue in the contract's class", "%d requests of class %s wait already", r.ClassQueue, r.Class).WithRetryAfter(max(minRetryAfter, wait))
	}
	if c.Waiting() < c.maxWaiting || c.shed(r, wait) {
		return nil
	}
	return refusal.New(refusal.QueueFull, "retry later or spread the load", "too many requests wait at this instance").WithRetryAfter(max(minRetryAfter, wait))
}

// shed makes room for a request in a full queue. An at-once request displaces a
// can-wait one if there is any. Otherwise the newest request of the customer
// with the longest queue is shed, if that queue has at least two requests more
// than the one of r's customer.
func (c *Core) shed(r *Request, wait time.Duration) bool {
	q := &c.queues[canWaitLevel]
	if !r.AtOnce || q.size == 0 {
		q = &c.queues[levelOf(r)]
		longest := q.longestQueue()
		if longest == nil || longest.customer == r.Customer || longest.len() <= q.customerSize(r.Customer)+1 {
			return false
		}
	}
	w := q.longestQueue().newest()
	q.remove(w)
	w.outcome <- outcome{err: refusal.New(refusal.Shed, "retry later", "the request was shed in favour of others under overload").WithRetryAfter(max(minRetryAfter, wait))}
	return true
}

// expectedWait predicts how long a request would wait for a slot.
func (c *Core) expectedWait(r *Request) time.Duration {
	slots := c.usableSlots() - c.canWaitBusy
	ahead := c.queues[atOnceLevel].countAhead(r)
	if !r.AtOnce {
		slots = c.usableSlots() - c.reservedSlots()
		ahead = c.queues[canWaitLevel].countAhead(r)
	}
	if c.usableSlots() == 0 {
		return 0
	}
	return c.holdTime[levelOf(r)].value * time.Duration(ahead+1) / time.Duration(max(1, slots))
}

// usableSlots returns the slots granted at endpoints that are neither leaving
// nor ejected.
func (c *Core) usableSlots() int32 {
	var n int32
	for _, e := range c.endpoints {
		if !e.leaving && !e.health.ejected {
			n += e.slots
		}
	}
	return n
}

// reservedSlots returns the number of slots reserved for at-once requests.
func (c *Core) reservedSlots() int32 {
	n := c.usableSlots()
	if n < 2 {
		return 0
	}
	return max(1, n/reserveDivisor)
}

// levelMayTakeSlot reports whether the request's level may use another slot.
func (c *Core) levelMayTakeSlot(r *Request) bool {
	return r.AtOnce || c.canWaitBusy < c.usableSlots()-c.reservedSlots()
}

// hasEndpoint reports whether any endpoint accepts requests, with or without
// slots granted to this instance.
func (c *Core) hasEndpoint() bool {
	for _, e := range c.endpoints {
		if !e.leaving {
			return true
		}
	}
	return false
}

// chooseEndpoint returns the endpoint with the most free slots, preferring those
// of the instance's own data centre. Only requests that may run twice probe
// ejected endpoints. Endpoints that an earlier attempt was sent to are used
// only when there is no other, or by a request that was queued, so that it does
// not block the requests behind it.
func (c *Core) chooseEndpoint(now time.Time, r *Request, waited bool) *Endpoint {
	var best, tried *Endpoint
	c.rotation++
	for i := range c.endpoints {
		e := c.endpoints[(i+c.rotation)%len(c.endpoints)]
		switch {
		case !e.hasFreeSlot():
		case slices.Contains(r.Avoid, e.ID):
			tried = e
		case e.health.ejected:
			if r.Idempotent && len(r.Avoid) == 0 && e.probeDue(now) {
				return e
			}
		case best == nil || c.isPreferred(e, best):
			best = e
		}
	}
	if best == nil && tried != nil && (waited || !c.hasUntriedEndpoint(r)) {
		return tried
	}
	return best
}

// hasUntriedEndpoint reports whether a usable endpoint exists that no earlier
// attempt of the request was sent to.
func (c *Core) hasUntriedEndpoint(r *Request) bool {
	for _, e := range c.endpoints {
		if !e.leaving && !e.health.ejected && e.slots > 0 && !slices.Contains(r.Avoid, e.ID) {
			return true
		}
	}
	return false
}

// isPreferred reports whether endpoint a is to be used before b.
func (c *Core) isPreferred(a, b *Endpoint) bool {
	nearA, nearB := a.Datacentre == c.datacentre, b.Datacentre == c.datacentre
	if nearA != nearB {
		return nearA
	}
	return a.slots-a.busy > b.slots-b.busy
}

func (c *Core) occupySlot(e *Endpoint, r *Request) {
	e.busy++
	c.busy++
	if !r.AtOnce {
		c.canWaitBusy++
	}
}

// Release frees a slot that was held for the given time.
func (c *Core) Release(e *Endpoint, atOnce bool, used time.Duration) {
	e.busy--
	c.busy--
	if !atOnce {
		c.canWaitBusy--
	}
	level := atOnceLevel
	if !atOnce {
		level = canWaitLevel
	}
	c.holdTime[level].add(used)
}

// Dispatch assigns free slots to queued requests.
func (c *Core) Dispatch(now time.Time) {
	for {
		w, e := c.nextMatch(now)
		if w == nil {
			return
		}
		c.occupySlot(e, w.request)
		w.outcome <- outcome{endpoint: e}
	}
}

// nextMatch dequeues the next request that has an endpoint with a free slot.
func (c *Core) nextMatch(now time.Time) (*Waiter, *Endpoint) {
	order := [2]int{atOnceLevel, canWaitLevel}
	if c.dispatches%canWaitInterval == canWaitInterval-1 {
		order = [2]int{canWaitLevel, atOnceLevel}
	}
	for _, level := range order {
		q := &c.queues[level]
		w := q.front()
		if w == nil || !c.levelMayTakeSlot(w.request) {
			continue
		}
		if e := c.chooseEndpoint(now, w.request, true); e != nil {
			q.pop(w)
			c.dispatches++
			return w, e
		}
	}
	return nil, nil
}

// Waiting returns the number of queued requests.
func (c *Core) Waiting() int { return c.queues[atOnceLevel].size + c.queues[canWaitLevel].size }

// Withdraw removes a waiter from its queue. It returns false if the waiter
// already has its outcome.
func (c *Core) Withdraw(w *Waiter) bool { return c.queues[levelOf(w.request)].remove(w) }

func (c *Core) updatePeakDemand() { c.peakDemand = max(c.peakDemand, c.demand()) }

// demand returns the number of slots that this instance could use now.
func (c *Core) demand() int32 { return c.busy + int32(c.Waiting()) }
