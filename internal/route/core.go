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
	Weight     float64 // of the customer among those that wait
	Class      string
	ClassQueue int  // requests of the class that may wait; 0: no limit
	AtOnce     bool // somebody waits for the answer
	Repeatable bool // may run twice
	Deadline   time.Time
	Avoid      []string // endpoints that this request was tried on before
}

// Event is a change that operators want to see.
type Event struct {
	Name     string
	Endpoint string
}

// Shares of a service's slots.
const (
	reservePart   = 4  // one slot in this many is kept for requests that are answered at once
	canWaitTurn   = 8  // one dispatch in this many goes to requests that can wait
	holdWeight    = 32 // the newest completion counts one in this many
	holdSamples   = 8  // completions before waits are predicted
	minRetryAfter = time.Second
)

// Core decides for one service which endpoint a request goes to, who waits and
// who is refused. It has no clock and does no I/O. It is not safe for concurrent use.
type Core struct {
	datacentre string
	limit      int // waiting requests
	endpoints  []*Endpoint
	queues     [2]queue // by level
	next       int      // rotates the first endpoint looked at
	turns      int
	canWait    int32 // slots used by requests that can wait
	busy       int32
	peak       int32      // largest demand since it was last asked for
	hold       [2]average // time that a slot is used, by level
	budget     float64    // retries allowed now
	events     []Event
}

// average is a moving average.
type average struct {
	value   time.Duration
	samples int
}

func (a *average) add(d time.Duration) {
	if a.samples == 0 {
		a.value = d
	}
	a.samples++
	a.value += (d - a.value) / holdWeight
}

// Levels of waiting.
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
// centre that lets at most limit requests wait.
func NewCore(datacentre string, limit int) *Core {
	c := &Core{datacentre: datacentre, limit: limit, budget: retryBurst}
	for i := range c.queues {
		c.queues[i].lists = make(map[string]*list)
	}
	return c
}

// Acquire returns the endpoint that the request goes to, or a waiter, or a refusal.
func (c *Core) Acquire(now time.Time, r *Request) (*Endpoint, *Waiter, *refusal.Error) {
	c.earnRetry()
	if !c.reachable() {
		return nil, nil, refusal.New(refusal.NoEndpoint, "retry later", "no endpoint of service %s takes requests", r.Service).After(minRetryAfter)
	}
	if c.queues[atOnceLevel].size == 0 && (r.AtOnce || c.queues[canWaitLevel].size == 0) && c.levelOpen(r) {
		if e := c.choose(now, r, false); e != nil {
			c.take(e, r)
			c.notePeak()
			return e, nil, nil
		}
	}
	if err := c.refuse(now, r); err != nil {
		return nil, nil, err
	}
	w := &Waiter{request: r, ready: make(chan outcome, 1)}
	c.queues[levelOf(r)].push(w)
	c.notePeak()
	return nil, w, nil
}

// refuse returns why a request must not wait, if so.
func (c *Core) refuse(now time.Time, r *Request) *refusal.Error {
	wait := c.expectedWait(r)
	hold := c.hold[levelOf(r)]
	if hold.samples >= holdSamples && now.Add(wait+hold.value).After(r.Deadline) {
		return refusal.New(refusal.DeadlineTooClose, "retry later or allow more time", "the request would wait %s", wait.Round(time.Millisecond)).After(max(minRetryAfter, wait))
	}
	q := &c.queues[levelOf(r)]
	if r.ClassQueue > 0 && q.classSize(r.Customer, r.Class) >= r.ClassQueue {
		return refusal.New(refusal.QueueFull, "retry later, or raise queue in the contract's class", "%d requests of class %s wait already", r.ClassQueue, r.Class).After(max(minRetryAfter, wait))
	}
	if c.Waiting() < c.limit || c.shed(r, wait) {
		return nil
	}
	return refusal.New(refusal.QueueFull, "retry later or spread the load", "too many requests wait at this instance").After(max(minRetryAfter, wait))
}

// shed makes room for a request in a full queue: at the cost of one that can
// wait, or of the customer with clearly more requests waiting.
func (c *Core) shed(r *Request, wait time.Duration) bool {
	q := &c.queues[canWaitLevel]
	if !r.AtOnce || q.size == 0 {
		q = &c.queues[levelOf(r)]
		longest := q.longest()
		if longest == nil || longest.customer == r.Customer || longest.len() <= q.customerSize(r.Customer)+1 {
			return false
		}
	}
	w := q.longest().last()
	q.remove(w)
	w.ready <- outcome{err: refusal.New(refusal.Shed, "retry later", "the request gave way to others under overload").After(max(minRetryAfter, wait))}
	return true
}

// expectedWait predicts how long a request would wait for a slot.
func (c *Core) expectedWait(r *Request) time.Duration {
	slots := c.slots() - c.canWait
	ahead := c.queues[atOnceLevel].ahead(r)
	if !r.AtOnce {
		slots = c.slots() - c.reserve()
		ahead = c.queues[canWaitLevel].ahead(r)
	}
	if c.slots() == 0 {
		return 0
	}
	return c.hold[levelOf(r)].value * time.Duration(ahead+1) / time.Duration(max(1, slots))
}

func (c *Core) slots() int32 {
	var n int32
	for _, e := range c.endpoints {
		if !e.leaving && !e.health.ejected {
			n += e.slots
		}
	}
	return n
}

// reserve returns the slots kept for requests that are answered at once.
func (c *Core) reserve() int32 {
	n := c.slots()
	if n < 2 {
		return 0
	}
	return max(1, n/reservePart)
}

func (c *Core) levelOpen(r *Request) bool {
	return r.AtOnce || c.canWait < c.slots()-c.reserve()
}

// reachable reports whether any endpoint may take requests, now or once this
// instance is granted slots of it.
func (c *Core) reachable() bool {
	for _, e := range c.endpoints {
		if !e.leaving {
			return true
		}
	}
	return false
}

// choose returns the endpoint with the most free slots, near ones first. An
// ejected endpoint is probed with a request that may run twice. Endpoints that
// the request was tried on are used only when there is no other, or by a
// request that waited, so that it does not hold up those behind it.
func (c *Core) choose(now time.Time, r *Request, waited bool) *Endpoint {
	var best, tried *Endpoint
	c.next++
	for i := range c.endpoints {
		e := c.endpoints[(i+c.next)%len(c.endpoints)]
		switch {
		case !e.free():
		case slices.Contains(r.Avoid, e.ID):
			tried = e
		case e.health.ejected:
			if r.Repeatable && len(r.Avoid) == 0 && e.probeDue(now) {
				return e
			}
		case best == nil || c.better(e, best):
			best = e
		}
	}
	if best == nil && tried != nil && (waited || !c.others(r)) {
		return tried
	}
	return best
}

// others reports whether an endpoint exists that the request was not tried on.
func (c *Core) others(r *Request) bool {
	for _, e := range c.endpoints {
		if !e.leaving && !e.health.ejected && e.slots > 0 && !slices.Contains(r.Avoid, e.ID) {
			return true
		}
	}
	return false
}

func (c *Core) better(a, b *Endpoint) bool {
	nearA, nearB := a.Datacentre == c.datacentre, b.Datacentre == c.datacentre
	if nearA != nearB {
		return nearA
	}
	return a.slots-a.busy > b.slots-b.busy
}

func (c *Core) take(e *Endpoint, r *Request) {
	e.busy++
	c.busy++
	if !r.AtOnce {
		c.canWait++
	}
}

// Release gives a slot back that was used for the given time.
func (c *Core) Release(e *Endpoint, atOnce bool, used time.Duration) {
	e.busy--
	c.busy--
	if !atOnce {
		c.canWait--
	}
	level := atOnceLevel
	if !atOnce {
		level = canWaitLevel
	}
	c.hold[level].add(used)
}

// Dispatch hands free slots to those who wait.
func (c *Core) Dispatch(now time.Time) {
	for {
		w, e := c.nextMatch(now)
		if w == nil {
			return
		}
		c.take(e, w.request)
		w.ready <- outcome{endpoint: e}
	}
}

func (c *Core) nextMatch(now time.Time) (*Waiter, *Endpoint) {
	order := [2]int{atOnceLevel, canWaitLevel}
	if c.turns%canWaitTurn == canWaitTurn-1 {
		order = [2]int{canWaitLevel, atOnceLevel}
	}
	for _, level := range order {
		q := &c.queues[level]
		w := q.front()
		if w == nil || !c.levelOpen(w.request) {
			continue
		}
		if e := c.choose(now, w.request, true); e != nil {
			q.pop(w)
			c.turns++
			return w, e
		}
	}
	return nil, nil
}

// Waiting returns the number of requests that wait.
func (c *Core) Waiting() int { return c.queues[atOnceLevel].size + c.queues[canWaitLevel].size }

// Withdraw takes a waiter out of its queue. It returns false when the waiter
// has been given its outcome.
func (c *Core) Withdraw(w *Waiter) bool { return c.queues[levelOf(w.request)].remove(w) }

func (c *Core) notePeak() { c.peak = max(c.peak, c.demand()) }

// demand returns the slots that this instance could use now.
func (c *Core) demand() int32 { return c.busy + int32(c.Waiting()) }
