package place

import (
	"container/heap"
	"maps"
	"slices"

	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// requeueOversized retries the jobs that no worker was large enough for.
func (p *Planner) requeueOversized(now int64) {
	for _, id := range slices.Sorted(maps.Keys(p.oversized)) {
		p.requeue(p.oversized[id], now)
	}
}

// requeue updates the job's size and puts it into its account's queue, the delayed
// jobs or the oversized jobs. A job without waiting members is dequeued.
func (p *Planner) requeue(j *job, now int64) {
	if len(j.waitingMembers) == 0 {
		p.dequeue(j)
		p.dropClaims(j)
		if p.reservation.job == j {
			p.dropReservation()
		}
		j.waitingSince = 0
		return
	}
	if j.waitingSince == 0 {
		j.waitingSince = now
	}
	need := p.startSize(j)
	if need != j.need {
		p.dequeue(j)
		j.need = need
	}
	if !p.fitsAnyWorker(need) {
		p.dequeue(j)
		j.oversized = true
		p.oversized[j.task.GetId()] = j
		return
	}
	p.enqueueOrDelay(j, now)
}

// startSize returns the resources that a member of the job holds when it starts: the
// learned size, or the declared one if the learned size would keep the job from
// ever running.
func (p *Planner) startSize(j *job) worker.Resources {
	declared := worker.ResourcesFromProto(j.task.GetSpec().GetResources())
	learned := p.estimator.startSize(j.task.GetSpec()).Min(p.largestFitting(declared))
	if learned == declared {
		return declared
	}
	concurrent := int64(1)
	if !j.isBatch() {
		concurrent = int64(j.memberCount())
	}
	if !j.account.withinQuota(learned.Times(concurrent)) || !p.cellHolds(learned, concurrent) {
		return declared
	}
	return learned
}

// largestFitting returns the capacity of the largest worker that could hold the
// need when idle, or the need itself if there is none.
func (p *Planner) largestFitting(need worker.Resources) worker.Resources {
	largest := need
	for _, s := range p.shapes {
		if need.Fits(s.capacity) && s.capacity.CPUMillis > largest.CPUMillis {
			largest = s.capacity
		}
	}
	return largest
}

// cellHolds reports whether the cell's workers could hold n times the need when idle.
func (p *Planner) cellHolds(need worker.Resources, n int64) bool {
	for _, s := range p.shapes {
		n -= s.workers * need.CountFitting(s.capacity)
	}
	return n <= 0
}

// enqueueOrDelay puts the job into its account's queue, or into the delayed jobs
// while its backoff lasts.
func (p *Planner) enqueueOrDelay(j *job, now int64) {
	tier, startBy := p.queueKey(j)
	if j.heapPos >= 0 && (tier != j.tier || startBy != j.startBy) || j.oversized || j.delayedPos >= 0 {
		p.dequeue(j)
	}
	if j.heapPos >= 0 {
		return
	}
	j.tier, j.startBy = tier, startBy
	if j.notBefore > now {
		heap.Push(&p.delayed, j)
		return
	}
	j.account.enqueue(j)
}

func (p *Planner) queueKey(j *job) (tier, int64) {
	spec := j.task.GetSpec()
	startBy := j.task.GetSubmittedUnixMs() + defaultMaxWaitMs
	if spec.GetDeadlineUnixMs() > 0 {
		startBy = spec.GetDeadlineUnixMs() - p.cautiousRemaining(j)
	}
	switch {
	case spec.GetUrgent():
		return tierUrgent, startBy
	case j.isService():
		return tierService, startBy
	}
	return tierBatch, startBy
}

// cautiousRemaining estimates the milliseconds that one member still has to run;
// it is seldom exceeded.
func (p *Planner) cautiousRemaining(j *job) int64 {
	estimateMs := p.estimator.runTime(j.task.GetSpec()).cautiousMs
	savedMs := int64(0)
	if len(j.waitingMembers) > 0 {
		savedMs = task.SavedRunMs(j.task, j.waitingMembers[0])
	}
	return max(estimateMs-savedMs, estimateMs/20, 1)
}

// likelyRemaining estimates the milliseconds that one member still has to run.
// Without learned run times it is half of the predicted or declared run time,
// whichever is less.
func (p *Planner) likelyRemaining(j *job) int64 {
	e := p.estimator.runTime(j.task.GetSpec())
	if !e.learned {
		return min(e.likelyMs, j.task.GetSpec().GetDeclaredRunMs()) / 2
	}
	return max(e.likelyMs-task.SavedRunMs(j.task, j.waitingMembers[0]), 1)
}

func (p *Planner) dequeue(j *job) {
	j.account.dequeue(j)
	if j.delayedPos >= 0 {
		heap.Remove(&p.delayed, j.delayedPos)
	}
	if j.oversized {
		j.oversized = false
		delete(p.oversized, j.task.GetId())
	}
}

// fitsAnyWorker reports whether a worker that is not lost could hold the need when idle.
func (p *Planner) fitsAnyWorker(need worker.Resources) bool {
	for _, s := range p.shapes {
		if need.Fits(s.capacity) {
			return true
		}
	}
	return false
}
