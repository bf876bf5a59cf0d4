package place

import (
	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// account holds a customer's contracted limits, its usage and its queue.
type account struct {
	name                          string
	share                         float64          // contracted share of the cell, from 0 to 1
	quota                         worker.Resources // 0 in a dimension: no limit
	held                          worker.Resources // by live attempts, and by placements of the current round
	queue                         groupHeap        // groups with waiting jobs, without those removed for the current round
	groups                        map[groupKey]*group
	queuedUrgent                  worker.Resources // total need of queued urgent jobs
	usedShare                     shareMean
	deadlinesMet, deadlinesMissed int32
	lateness                      latenessHistory
}

// quotaAllowsMore reports whether the held and the extra resources are within the
// quota.
func (a *account) quotaAllowsMore(extra worker.Resources) bool {
	return a.withinQuota(a.held.Plus(extra))
}

// withinQuota reports whether the total is within the quota.
func (a *account) withinQuota(sum worker.Resources) bool {
	return (a.quota.CPUMillis == 0 || sum.CPUMillis <= a.quota.CPUMillis) &&
		(a.quota.MemoryMiB == 0 || sum.MemoryMiB <= a.quota.MemoryMiB) &&
		(a.quota.Accelerators == 0 || sum.Accelerators <= a.quota.Accelerators)
}

// overShare reports whether the account holds its share of the cell or more.
func (p *Planner) overShare(a *account) bool {
	return a.held.DominantShare(p.total) >= a.share
}

// job is a task that is not final.
type job struct {
	task           *egretmuxv1.Task
	account        *account
	need           worker.Resources    // resources that one member holds when it starts
	waitingMembers []int32             // members to be placed
	live           map[uint64]*attempt // by attempt ID
	notBefore      int64               // end of the backoff, Unix milliseconds
	oversized      bool                // no worker is large enough

	tier           tier
	startBy        int64 // latest start that meets its deadline, Unix milliseconds
	group          *group
	heapPos        int              // position in its group's heap; -1: not queued
	countedUrgent  worker.Resources // its part of account.queuedUrgent
	delayedPos     int              // position in Planner.delayed; -1: not delayed
	waitingSince   int64            // when its members began to wait; 0: none waits
	claims         []claim
	reserveRetryAt int64 // no new reservation before this time
	preemptRetryAt int64 // no new search for victims before this time
}

// tier is the first sort key of a queue.
type tier int

const (
	tierUrgent tier = iota
	tierService
	tierBatch
)

func (j *job) kind() egretmuxv1.TaskKind { return j.task.GetSpec().GetKind() }
func (j *job) memberCount() int32        { return task.Members(j.task.GetSpec()) }
func (j *job) isUrgent() bool            { return j.task.GetSpec().GetUrgent() }
func (j *job) isGang() bool              { return j.kind() == egretmuxv1.TaskKind_TASK_KIND_GANG }
func (j *job) isBatch() bool             { return j.kind() == egretmuxv1.TaskKind_TASK_KIND_BATCH }
func (j *job) isService() bool           { return j.kind() == egretmuxv1.TaskKind_TASK_KIND_SERVICE }

func (j *job) workload() workloadKey {
	return workloadKey{j.task.GetSpec().GetCustomer(), j.task.GetSpec().GetName()}
}

// before orders the queue of one account: urgent work, then services, then the
// least slack. All slack shrinks at the same rate, so startBy stands for it.
func (j *job) before(other *job) bool {
	if j.tier != other.tier {
		return j.tier < other.tier
	}
	if j.startBy != other.startBy {
		return j.startBy < other.startBy
	}
	return j.task.GetId() < other.task.GetId()
}
