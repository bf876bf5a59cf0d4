// Package place decides which waiting tasks start on which workers, which
// attempts are preempted, and what resources each attempt holds. A Planner receives
// changes of the replicated state and usage reports of the workers, and returns
// plans. It reads no clock, starts no goroutines, does no I/O and is not safe for
// concurrent use.
package place

import (
	"maps"
	"slices"
	"sort"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// Limits of one planning round and of one worker.
const (
	maxStartingPerWorker = 32      // attempts of one worker that it has not confirmed
	maxStartsPerRound    = 256     // burst of the cell's starts
	maxStartsPerSec      = 6000    // mean rate of the cell's starts
	backfillDepth        = 48      // jobs of one customer that may fail to fit before a round leaves its queue
	defaultMaxWaitMs     = 600_000 // after submission, until the latest start of work without a deadline
)

// Planner holds the state that placement decisions are based on.
type Planner struct {
	hosts          map[string]*host
	hostNames      []string // sorted
	index          *index
	total          worker.Resources // capacity of all workers that are not lost
	shapes         []shape          // of all workers that are not lost
	accounts       map[string]*account
	accountsByName []*account          // sorted by name
	jobs           map[uint64]*job     // by task ID
	attempts       map[uint64]*attempt // live ones, by attempt ID
	delayed        delayHeap           // jobs in backoff
	oversized      map[uint64]*job     // jobs that no worker is large enough for, by task ID
	estimator      *estimator
	failedOn       failedOn
	usageReported  map[*host]bool // hosts with usage reports since the last round
	quarantined    map[*host]bool
	failing        map[*host]bool  // hosts with failures since their last success
	hostsToRelease []*host         // quarantined hosts on which a probe succeeded
	claimants      map[uint64]*job // jobs with claims, by task ID
	reservation    reservation
	rotation       int // round counter; varies which hosts are tried first
	startBudget    startBudget
	headroom       headroom
	reclaimBudget  reclaimBudget
}

// New returns an empty Planner.
func New() *Planner {
	return &Planner{
		hosts: make(map[string]*host), index: newIndex(), accounts: make(map[string]*account),
		jobs: make(map[uint64]*job), attempts: make(map[uint64]*attempt), oversized: make(map[uint64]*job),
		estimator: newEstimator(), failedOn: newFailedOn(), usageReported: make(map[*host]bool), quarantined: make(map[*host]bool),
		failing: make(map[*host]bool), claimants: make(map[uint64]*job),
	}
}

// SetContract sets the share and quota of the contract's customer.
func (p *Planner) SetContract(c *contract.Contract) {
	a := p.accountOrNew(c.Customer)
	a.share = c.Share
	a.quota = worker.Resources{CPUMillis: c.Quota.CPUMillis, MemoryMiB: c.Quota.MemoryMiB, Accelerators: c.Quota.Accelerators}
}

// RemoveContract sets the customer's share to 0.
func (p *Planner) RemoveContract(customer string) {
	if a := p.accounts[customer]; a != nil {
		a.share = 0
	}
}

func (p *Planner) accountOrNew(name string) *account {
	a := p.accounts[name]
	if a == nil {
		a = &account{name: name, groups: make(map[groupKey]*group)}
		p.accounts[name] = a
		p.accountsByName = append(p.accountsByName, a)
		sort.Slice(p.accountsByName, func(i, j int) bool { return p.accountsByName[i].name < p.accountsByName[j].name })
	}
	return a
}

// SetWorker adds or updates a worker.
func (p *Planner) SetWorker(w *egretmuxv1.Worker, now int64) {
	h := p.hostOrNew(w.GetId())
	if countsTowardCell(h.record.GetPhase()) {
		p.countShape(h.capacity, -1)
	}
	h.record = w
	h.capacity = worker.ResourcesFromProto(w.GetCapacity())
	if countsTowardCell(w.GetPhase()) {
		p.countShape(h.capacity, 1)
	}
	if w.GetPhase() == egretmuxv1.WorkerPhase_WORKER_PHASE_QUARANTINED {
		p.quarantined[h] = true
	} else {
		delete(p.quarantined, h)
	}
	p.reindex(h)
	p.requeueOversized(now)
}

// countsTowardCell reports whether a worker in the phase adds to the cell's capacity.
func countsTowardCell(phase egretmuxv1.WorkerPhase) bool {
	return phase != egretmuxv1.WorkerPhase_WORKER_PHASE_LOST && phase != egretmuxv1.WorkerPhase_WORKER_PHASE_UNSPECIFIED
}

func (p *Planner) hostOrNew(id string) *host {
	h := p.hosts[id]
	if h == nil {
		h = &host{record: &egretmuxv1.Worker{Id: id}, live: make(map[uint64]*attempt), indexRank: -1}
		p.hosts[id] = h
		at := sort.SearchStrings(p.hostNames, id)
		p.hostNames = append(p.hostNames, "")
		copy(p.hostNames[at+1:], p.hostNames[at:])
		p.hostNames[at] = id
	}
	return h
}

// reindex updates the host's place in the index, which holds ready workers only.
func (p *Planner) reindex(h *host) {
	if h.record.GetPhase() != egretmuxv1.WorkerPhase_WORKER_PHASE_READY {
		p.index.remove(h)
		return
	}
	p.index.put(h)
}

// SetTask adds or updates a task and removes a final one.
func (p *Planner) SetTask(t *egretmuxv1.Task, now int64) {
	j := p.jobs[t.GetId()]
	if j == nil {
		if task.Final(t.GetPhase()) {
			return
		}
		j = &job{account: p.accountOrNew(t.GetSpec().GetCustomer()), live: make(map[uint64]*attempt), heapPos: -1, delayedPos: -1}
		p.jobs[t.GetId()] = j
	}
	j.task = t
	p.syncAttempts(j, now)
	j.waitingMembers = task.WaitingMembers(t)
	j.notBefore = t.GetNotBeforeUnixMs()
	if task.Final(t.GetPhase()) {
		p.removeJob(j)
		return
	}
	p.requeue(j, now)
}

// Unfinished returns the number of tasks that are not final.
func (p *Planner) Unfinished() int { return len(p.jobs) }

// Forget removes a task whatever its phase. A task with a deadline that has neither
// succeeded in time nor been cancelled counts as a missed deadline.
func (p *Planner) Forget(id uint64) {
	if j := p.jobs[id]; j != nil {
		p.removeJob(j)
	}
}

func (p *Planner) removeJob(j *job) {
	for _, id := range slices.Sorted(maps.Keys(j.live)) {
		p.removeAttempt(j.live[id])
	}
	j.waitingMembers = nil
	p.dequeue(j)
	p.dropClaims(j)
	if p.reservation.job == j {
		p.dropReservation()
	}
	delete(p.jobs, j.task.GetId())
	p.countDeadline(j)
}

func (p *Planner) countDeadline(j *job) {
	deadline := j.task.GetSpec().GetDeadlineUnixMs()
	switch {
	case deadline == 0 || j.task.GetPhase() == egretmuxv1.TaskPhase_TASK_PHASE_CANCELLED:
	case j.task.GetPhase() == egretmuxv1.TaskPhase_TASK_PHASE_SUCCEEDED && j.task.GetEndedUnixMs() <= deadline:
		j.account.deadlinesMet++
	default:
		j.account.deadlinesMissed++
	}
}

// shape is a worker capacity with the number of workers that have it, lost ones
// left out.
type shape struct {
	capacity worker.Resources
	workers  int64
}

// countShape adds n workers of the capacity to the cell; n may be negative.
func (p *Planner) countShape(capacity worker.Resources, n int64) {
	p.total = p.total.Plus(capacity.Times(n))
	for i := range p.shapes {
		if p.shapes[i].capacity == capacity {
			p.shapes[i].workers += n
			if p.shapes[i].workers == 0 {
				p.shapes = slices.Delete(p.shapes, i, i+1)
			}
			return
		}
	}
	p.shapes = append(p.shapes, shape{capacity, n})
}

// startBudget is a token bucket that limits the starts per second.
type startBudget struct {
	refilledAt int64
	tokens     float64
}

// refill adds the tokens for the time since the last round and returns how many
// starts are allowed.
func (b *startBudget) refill(now int64) int {
	if b.refilledAt == 0 {
		b.tokens = maxStartsPerRound
	}
	if now > b.refilledAt {
		b.tokens = min(maxStartsPerRound, b.tokens+float64(now-b.refilledAt)*maxStartsPerSec/1000)
		b.refilledAt = now
	}
	return int(b.tokens)
}
