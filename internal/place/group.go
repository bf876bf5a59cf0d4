package place

import (
	"container/heap"

	"github.com/egretmux/egretmux/internal/worker"
)

// groupKey is what jobs of one customer share whose members fit on the same workers.
type groupKey struct {
	need    worker.Resources
	tier    tier
	members int32 // of a gang; 0: not a gang
}

// group holds one customer's waiting jobs of one key in the order of before. A
// need that fits nowhere is found once for all of them.
type group struct {
	key  groupKey
	jobs jobHeap
	at   int // position in the account's queue; -1: set aside in the round
}

func (j *job) groupKey() groupKey {
	k := groupKey{need: j.need, tier: j.tier}
	if j.gang() {
		k.members = j.members()
	}
	return k
}

func (a *account) enqueue(j *job) {
	if j.at >= 0 {
		return
	}
	k := j.groupKey()
	g := a.groups[k]
	if g == nil {
		g = &group{key: k, at: -1}
		a.groups[k] = g
		j.group = g
		heap.Push(&g.jobs, j)
		heap.Push(&a.queue, g)
	} else {
		j.group = g
		heap.Push(&g.jobs, j)
		a.fix(g)
	}
	if j.urgent() {
		j.counted = j.need.Times(int64(len(j.waiting)))
		a.urgent = a.urgent.Plus(j.counted)
	}
}

func (a *account) dequeue(j *job) {
	if j.at < 0 {
		return
	}
	g := j.group
	heap.Remove(&g.jobs, j.at)
	j.group = nil
	a.urgent = a.urgent.Minus(j.counted)
	j.counted = worker.Resources{}
	if len(g.jobs) > 0 {
		a.fix(g)
		return
	}
	delete(a.groups, g.key)
	a.setAside(g)
}

// fix restores the order of the queue after the group's head changed.
func (a *account) fix(g *group) {
	if g.at >= 0 {
		heap.Fix(&a.queue, g.at)
	}
}

// setAside takes the group out of the queue; its jobs stay in it.
func (a *account) setAside(g *group) {
	if g.at >= 0 {
		heap.Remove(&a.queue, g.at)
	}
}

// putBack returns a group that was set aside.
func (a *account) putBack(g *group) {
	if g.at < 0 && len(g.jobs) > 0 {
		heap.Push(&a.queue, g)
	}
}

// queued returns the account's waiting jobs in no particular order.
func (a *account) queued() []*job {
	var out []*job
	for _, g := range a.queue {
		out = append(out, g.jobs...)
	}
	return out
}
