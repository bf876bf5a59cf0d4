package place

import (
	"container/heap"
	"maps"
	"slices"

	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// unpark looks again at the jobs that no worker was large enough for.
func (p *Planner) unpark(now int64) {
	for _, id := range slices.Sorted(maps.Keys(p.parked)) {
		p.requeue(p.parked[id], now)
	}
}

// requeue puts the job where its waiting members belong.
func (p *Planner) requeue(j *job, now int64) {
	if len(j.waiting) == 0 {
		p.unqueue(j)
		p.dropClaims(j)
		if p.hold.job == j {
			p.dropReservation()
		}
		j.since = 0
		return
	}
	if j.since == 0 {
		j.since = now
	}
	need := p.sizeOf(j)
	if need != j.need {
		p.unqueue(j)
		j.need = need
	}
	if !p.fitsSome(need) {
		p.unqueue(j)
		j.parked = true
		p.parked[j.task.GetId()] = j
		return
	}
	p.rank(j, now)
}

// sizeOf returns what a member of the job holds when it starts: what its like was
// seen to use where that leaves the job runnable, or else what it declared.
func (p *Planner) sizeOf(j *job) worker.Resources {
	declared := worker.ResourcesFromProto(j.task.GetSpec().GetResources())
	learned := p.learn.size(j.task.GetSpec()).Min(p.largestFor(declared))
	if learned == declared {
		return declared
	}
	together := int64(1)
	if !j.batch() {
		together = int64(j.members())
	}
	if !j.account.allows(learned.Times(together)) || !p.fitsTogether(learned, together) {
		return declared
	}
	return learned
}

// largestFor returns the capacity of the largest worker that could hold the need.
func (p *Planner) largestFor(need worker.Resources) worker.Resources {
	largest := need
	for _, x := range p.shapes {
		if need.Fits(x.capacity) && x.capacity.CPUMillis > largest.CPUMillis {
			largest = x.capacity
		}
	}
	return largest
}

// fitsTogether reports whether the cell's workers could hold n of the need when idle.
func (p *Planner) fitsTogether(need worker.Resources, n int64) bool {
	for _, x := range p.shapes {
		n -= x.workers * need.CountFitting(x.capacity)
	}
	return n <= 0
}

// rank files a job that some worker could run by its key or by its backoff.
func (p *Planner) rank(j *job, now int64) {
	tier, startBy := p.keyOf(j)
	if j.at >= 0 && (tier != j.tier || startBy != j.startBy) || j.parked || j.delayedAt >= 0 {
		p.unqueue(j)
	}
	if j.at >= 0 {
		return
	}
	j.tier, j.startBy = tier, startBy
	if j.notBefore > now {
		heap.Push(&p.delayed, j)
		return
	}
	j.account.enqueue(j)
}

func (p *Planner) keyOf(j *job) (tier, int64) {
	spec := j.task.GetSpec()
	startBy := j.task.GetSubmittedUnixMs() + noDeadlineMs
	if spec.GetDeadlineUnixMs() > 0 {
		startBy = spec.GetDeadlineUnixMs() - p.estimate(j)
	}
	switch {
	case spec.GetUrgent():
		return tierUrgent, startBy
	case j.service():
		return tierService, startBy
	}
	return tierBatch, startBy
}

// estimate returns the run time in milliseconds that one member still needs.
func (p *Planner) estimate(j *job) int64 {
	ms := p.learn.estimate(j.task.GetSpec()).cautious
	saved := int64(0)
	if len(j.waiting) > 0 {
		saved = task.SavedRunMs(j.task, j.waiting[0])
	}
	return max(ms-saved, ms/20, 1)
}

// likely returns the run time in milliseconds that one member probably still needs.
func (p *Planner) likely(j *job) int64 {
	e := p.learn.estimate(j.task.GetSpec())
	if !e.sure {
		return min(e.likely, j.task.GetSpec().GetDeclaredRunMs()) / 2
	}
	return max(e.likely-task.SavedRunMs(j.task, j.waiting[0]), 1)
}

func (p *Planner) unqueue(j *job) {
	j.account.dequeue(j)
	if j.delayedAt >= 0 {
		heap.Remove(&p.delayed, j.delayedAt)
	}
	if j.parked {
		j.parked = false
		delete(p.parked, j.task.GetId())
	}
}

// fitsSome reports whether a worker that is not lost could hold the need when idle.
func (p *Planner) fitsSome(need worker.Resources) bool {
	for _, x := range p.shapes {
		if need.Fits(x.capacity) {
			return true
		}
	}
	return false
}
