// Package place decides which waiting tasks start on which workers, which
// attempts make room for others, and what each attempt holds. A Planner is fed
// the changes of the state and of the workers' usage and answers with plans. It
// knows no clock, starts no goroutine and does no I/O; one goroutine at a time
// may use it.
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
	maxStarting    = 32      // attempts of one worker that it has not confirmed
	startsPerRound = 256     // starts and stops of one plan
	startsPerSec   = 6000    // starts of the cell
	backfillDepth  = 48      // waiting jobs of one customer looked at past the first that does not fit
	noDeadlineMs   = 600_000 // latest start, after submission, of batch work without a deadline
)

// Planner holds what decisions are made from.
type Planner struct {
	hosts     map[string]*host
	names     []string // of the hosts, sorted
	index     *index
	total     worker.Resources // of all workers that are not lost
	shapes    []shape          // of the workers that are not lost
	accounts  map[string]*account
	order     []*account // by name
	jobs      map[uint64]*job
	running   map[uint64]*running
	delayed   delayHeap
	parked    map[uint64]*job
	learn     *learner
	blame     blame
	dirty     map[*host]bool // with new usage reports
	sick      map[*host]bool // quarantined
	failing   map[*host]bool // with failures since the last success
	recovered []*host        // whose probe succeeded
	claimants map[uint64]*job
	hold      reservation
	turn      int
	budget    startBudget
	urgent    headroom
	giveBack  giveBackBudget
}

// New returns a Planner that knows nothing yet.
func New() *Planner {
	return &Planner{
		hosts: make(map[string]*host), index: newIndex(), accounts: make(map[string]*account),
		jobs: make(map[uint64]*job), running: make(map[uint64]*running), parked: make(map[uint64]*job),
		learn: newLearner(), blame: newBlame(), dirty: make(map[*host]bool), sick: make(map[*host]bool),
		failing: make(map[*host]bool), claimants: make(map[uint64]*job),
	}
}

// SetContract takes in a contract in force.
func (p *Planner) SetContract(c *contract.Contract) {
	a := p.account(c.Customer)
	a.share = c.Share
	a.quota = worker.Resources{CPUMillis: c.Quota.CPUMillis, MemoryMiB: c.Quota.MemoryMiB, Accelerators: c.Quota.Accelerators}
}

// RemoveContract leaves the customer without a share.
func (p *Planner) RemoveContract(customer string) {
	if a := p.accounts[customer]; a != nil {
		a.share = 0
	}
}

func (p *Planner) account(name string) *account {
	a := p.accounts[name]
	if a == nil {
		a = &account{name: name, groups: make(map[groupKey]*group)}
		p.accounts[name] = a
		p.order = append(p.order, a)
		sort.Slice(p.order, func(i, j int) bool { return p.order[i].name < p.order[j].name })
	}
	return a
}

// SetWorker takes in a new or changed worker.
func (p *Planner) SetWorker(w *egretmuxv1.Worker, now int64) {
	h := p.host(w.GetId())
	if counts(h.record.GetPhase()) {
		p.countShape(h.capacity, -1)
	}
	h.record = w
	h.capacity = worker.ResourcesFromProto(w.GetCapacity())
	if counts(w.GetPhase()) {
		p.countShape(h.capacity, 1)
	}
	if w.GetPhase() == egretmuxv1.WorkerPhase_WORKER_PHASE_QUARANTINED {
		p.sick[h] = true
	} else {
		delete(p.sick, h)
	}
	p.reindex(h)
	p.unpark(now)
}

// counts reports whether a worker in that phase is part of the cell's room.
func counts(phase egretmuxv1.WorkerPhase) bool {
	return phase != egretmuxv1.WorkerPhase_WORKER_PHASE_LOST && phase != egretmuxv1.WorkerPhase_WORKER_PHASE_UNSPECIFIED
}

func (p *Planner) host(id string) *host {
	h := p.hosts[id]
	if h == nil {
		h = &host{record: &egretmuxv1.Worker{Id: id}, live: make(map[uint64]*running), cell: -1}
		p.hosts[id] = h
		at := sort.SearchStrings(p.names, id)
		p.names = append(p.names, "")
		copy(p.names[at+1:], p.names[at:])
		p.names[at] = id
	}
	return h
}

// reindex files the host under its free room, or nowhere when it takes nothing.
func (p *Planner) reindex(h *host) {
	if h.record.GetPhase() != egretmuxv1.WorkerPhase_WORKER_PHASE_READY {
		p.index.remove(h)
		return
	}
	p.index.put(h)
}

// SetTask takes in a new or changed task.
func (p *Planner) SetTask(t *egretmuxv1.Task, now int64) {
	j := p.jobs[t.GetId()]
	if j == nil {
		if task.Final(t.GetPhase()) {
			return
		}
		j = &job{account: p.account(t.GetSpec().GetCustomer()), live: make(map[uint64]*running), at: -1, delayedAt: -1}
		p.jobs[t.GetId()] = j
	}
	j.task = t
	p.syncAttempts(j, now)
	j.waiting = task.WaitingMembers(t)
	j.notBefore = t.GetNotBeforeUnixMs()
	if task.Final(t.GetPhase()) {
		p.finish(j)
		return
	}
	p.requeue(j, now)
}

// Unfinished returns the number of tasks that are not final.
func (p *Planner) Unfinished() int { return len(p.jobs) }

// Forget drops a task whatever its phase.
func (p *Planner) Forget(id uint64) {
	if j := p.jobs[id]; j != nil {
		p.finish(j)
	}
}

func (p *Planner) finish(j *job) {
	for _, id := range slices.Sorted(maps.Keys(j.live)) {
		p.release(j.live[id])
	}
	j.waiting = nil
	p.unqueue(j)
	p.dropClaims(j)
	if p.hold.job == j {
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
		j.account.met++
	default:
		j.account.missed++
	}
}

// shape is a capacity and how many workers that are not lost have it.
type shape struct {
	capacity worker.Resources
	workers  int64
}

// countShape adds n workers of a capacity to the cell.
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

// startBudget bounds the starts per second with a token bucket.
type startBudget struct {
	now    int64
	tokens float64
}

// refill adds the tokens of the time since the last round.
func (b *startBudget) refill(now int64) int {
	if b.now == 0 {
		b.tokens = startsPerRound
	}
	if now > b.now {
		b.tokens = min(startsPerRound, b.tokens+float64(now-b.now)*startsPerSec/1000)
		b.now = now
	}
	return int(b.tokens)
}
