package place

import (
	"container/heap"

	"github.com/egretmux/egretmux/internal/worker"
)

// groupKey identifies jobs of one customer whose members fit on the same workers.
type groupKey struct {
	need    worker.Resources
	tier    tier
	members int32 // of a gang; 0: not a gang
}

// group is a heap of one customer's queued jobs with the same key, so that a need
// that fits nowhere is detected once for all of them.
type group struct {
	key      groupKey
	jobs     jobHeap
	queuePos int // position in the account's queue; -1: not in it
}

func (j *job) groupKey() groupKey {
	k := groupKey{need: j.need, tier: j.tier}
	if j.isGang() {
		k.members = j.memberCount()
	}
	return k
}

func (a *account) enqueue(j *job) {
	if j.heapPos >= 0 {
		return
	}
	k := j.groupKey()
	g := a.groups[k]
	if g == nil {
		g = &group{key: k, queuePos: -1}
		a.groups[k] = g
		j.group = g
		heap.Push(&g.jobs, j)
		heap.Push(&a.queue, g)
	} else {
		j.group = g
		heap.Push(&g.jobs, j)
		a.reorder(g)
	}
	if j.isUrgent() {
		j.countedUrgent = j.need.Times(int64(len(j.waitingMembers)))
		a.queuedUrgent = a.queuedUrgent.Plus(j.countedUrgent)
	}
}

func (a *account) dequeue(j *job) {
	if j.heapPos < 0 {
		return
	}
	g := j.group
	heap.Remove(&g.jobs, j.heapPos)
	j.group = nil
	a.queuedUrgent = a.queuedUrgent.Minus(j.countedUrgent)
	j.countedUrgent = worker.Resources{}
	if len(g.jobs) > 0 {
		a.reorder(g)
		return
	}
	delete(a.groups, g.key)
	a.removeGroup(g)
}

// reorder restores the queue's heap order after the group's head changed.
func (a *account) reorder(g *group) {
	if g.queuePos >= 0 {
		heap.Fix(&a.queue, g.queuePos)
	}
}

// removeGroup removes the group from the queue; its jobs stay in the group.
func (a *account) removeGroup(g *group) {
	if g.queuePos >= 0 {
		heap.Remove(&a.queue, g.queuePos)
	}
}

// restoreGroup puts a removed group back into the queue.
func (a *account) restoreGroup(g *group) {
	if g.queuePos < 0 && len(g.jobs) > 0 {
		heap.Push(&a.queue, g)
	}
}

// queuedJobs returns the account's queued jobs in no particular order.
func (a *account) queuedJobs() []*job {
	var out []*job
	for _, g := range a.queue {
		out = append(out, g.jobs...)
	}
	return out
}
