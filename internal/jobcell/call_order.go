package jobcell

import (
	"strings"
	"sync"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/job"
)

// callOrder keeps the catalogue from going back for the clients of this instance. While there is no
// leader, calls wait; a later one may be answered first, before a new catalogue, and an earlier one
// after it.
//
// Invariant: of two answers, that of the call that came later does not show an older catalogue. An
// answer shows a catalogue unless the others that were shown are known to have its queue as well.
type callOrder struct {
	mu       sync.Mutex
	newest   uint64               // version of the newest catalogue by which a call was answered
	answered map[uint64]time.Time // beginning of the last call answered by each version
	held     map[string]heldQueue

	// While this process stands still, calls queue at its sockets, and then begin in any order.
	tickedAt     time.Time
	stalledSince time.Time // last sign of life before the latest stall
	stallEndsAt  time.Time // until when calls begin that queued during it
}

const (
	// orderRetention outlasts the longest time that a call waits.
	orderRetention  = 2 * time.Minute
	orderTickPeriod = 100 * time.Millisecond
	orderStall      = 2 * orderTickPeriod    // time between two ticks that is a stall
	orderBacklog    = 100 * time.Millisecond // time after a stall in which the queued calls begin
)

type orderVerdict int

const (
	inOrder      orderVerdict = iota
	behindOthers              // calls were answered by a newer catalogue already: ask again
	aheadOfLater              // a call that came later was answered by an older catalogue: the client has to ask again
)

// heldQueue is what earlier answers tell about a queue.
type heldQueue struct {
	first, last uint64 // oldest and newest version that are known to have it
	seenAt      time.Time
}

func newCallOrder() *callOrder {
	return &callOrder{answered: make(map[uint64]time.Time), held: make(map[string]heldQueue)}
}

// tick is called each orderTickPeriod.
func (o *callOrder) tick(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isStall(now) {
		o.stalledSince, o.stallEndsAt = o.tickedAt, now.Add(orderBacklog)
	}
	o.tickedAt = now
}

// isStall reports whether no tick has come for too long. A steady clock may stand still with the
// process, so the time of day counts as well. The caller holds mu.
func (o *callOrder) isStall(now time.Time) bool {
	return !o.tickedAt.IsZero() && max(now.Sub(o.tickedAt), now.Round(0).Sub(o.tickedAt.Round(0))) > orderStall
}

// earliestArrival returns the earliest time at which a call that begins now may have arrived.
func (o *callOrder) earliestArrival(now time.Time) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.isStall(now):
		return o.tickedAt
	case now.Before(o.stallEndsAt):
		return o.stalledSince
	}
	return now
}

// queueOf returns what names the queue of a call: its address without the job.
func queueOf(a *egretmuxv1.QueueAddress) string {
	return strings.ToLower(a.GetHost()) + job.TrimID(a.GetPath())
}

// admit decides whether the answer to a call under a queue may be delivered that began at a time and
// arrived at arrived or later, and notes it if so.
func (o *callOrder) admit(a *egretmuxv1.JobAnswer, queue string, arrived, began, now time.Time) orderVerdict {
	version := a.GetCatalogueVersion()
	if version == 0 {
		return inOrder // from a leader of an earlier release
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	has := heldQueue{first: version, last: version, seenAt: now}
	known, isKnown := o.held[queue]
	if isKnown && !a.GetNoQueue() {
		has.first, has.last = min(version, known.first), max(version, known.last)
	}
	if has.last < o.newest {
		return behindOthers
	}
	for older, latest := range o.answered {
		if older < has.first && latest.After(arrived) {
			return aheadOfLater
		}
	}
	switch {
	case a.GetNoQueue():
		delete(o.held, queue)
	case a.GetFound() || isKnown: // paths that are no queue's are not remembered
		o.held[queue] = has
	}
	if version > o.newest {
		o.newest = version
		o.forget(now)
	}
	if began.After(o.answered[version]) {
		o.answered[version] = began
	}
	return inOrder
}

// forget drops what no call that still waits can depend on. The caller holds mu.
func (o *callOrder) forget(now time.Time) {
	for older, latest := range o.answered {
		if now.Sub(latest) > orderRetention {
			delete(o.answered, older)
		}
	}
	for queue, has := range o.held {
		if now.Sub(has.seenAt) > orderRetention {
			delete(o.held, queue)
		}
	}
}
