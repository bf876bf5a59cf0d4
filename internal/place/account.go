package place

import (
	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// account is one customer: its contract's limits, what it holds and its queue.
type account struct {
	name        string
	share       float64          // of the cell, due by contract
	quota       worker.Resources // zero in a dimension: no limit
	held        worker.Resources
	queue       groupHeap // the groups that have jobs, but for those set aside in a round
	groups      map[groupKey]*group
	urgent      worker.Resources // needed by queued urgent work
	usedShare   decayed
	met, missed int32
	late        lateness
}

func (a *account) withinQuota(extra worker.Resources) bool {
	return a.allows(a.held.Plus(extra))
}

// allows reports whether an amount is within the quota.
func (a *account) allows(sum worker.Resources) bool {
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
	task      *egretmuxv1.Task
	account   *account
	need      worker.Resources // declared, or what its like was seen to use if that is more
	waiting   []int32
	live      map[uint64]*running
	notBefore int64
	parked    bool // no worker is large enough

	tier         tier
	startBy      int64 // latest start that keeps its deadline, Unix milliseconds
	group        *group
	at           int              // position in its group; -1: not queued
	counted      worker.Resources // what it added to the account's queued urgent work
	delayedAt    int              // position among the delayed jobs; -1: not delayed
	since        int64            // when its members began to wait
	claims       []claim
	retryGang    int64 // no new reservation before
	retryPreempt int64 // no new search for attempts to stop before
}

// tier is the first key of the queue's order.
type tier int

const (
	tierUrgent tier = iota
	tierService
	tierBatch
)

func (j *job) kind() egretmuxv1.TaskKind { return j.task.GetSpec().GetKind() }
func (j *job) members() int32            { return task.Members(j.task.GetSpec()) }
func (j *job) urgent() bool              { return j.task.GetSpec().GetUrgent() }
func (j *job) gang() bool                { return j.kind() == egretmuxv1.TaskKind_TASK_KIND_GANG }
func (j *job) batch() bool               { return j.kind() == egretmuxv1.TaskKind_TASK_KIND_BATCH }
func (j *job) service() bool             { return j.kind() == egretmuxv1.TaskKind_TASK_KIND_SERVICE }

func (j *job) key() learnKey {
	return learnKey{j.task.GetSpec().GetCustomer(), j.task.GetSpec().GetName()}
}

// before is the order of one account's queue: urgent work, services, then the
// least slack; the slack of two jobs shrinks alike, so the latest start decides.
func (j *job) before(o *job) bool {
	if j.tier != o.tier {
		return j.tier < o.tier
	}
	if j.startBy != o.startBy {
		return j.startBy < o.startBy
	}
	return j.task.GetId() < o.task.GetId()
}
