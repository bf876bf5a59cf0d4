// Package place decides which waiting tasks start on which workers, which
// attempts make room for others, and what each attempt holds. A Planner is fed
// the changes of the state and of the workers' usage and answers with plans. It
// knows no clock, starts no goroutine and does no I/O; one goroutine at a time
// may use it.
package place

import (
	"container/heap"
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
	total     worker.Room // of all workers that are not lost
	shapes    []shape     // of the workers that are not lost
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
	a.quota = worker.Room{CPUMillis: c.Quota.CPUMillis, MemoryMiB: c.Quota.MemoryMiB, Accelerators: c.Quota.Accelerators}
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
	h.capacity = worker.RoomOf(w.GetCapacity())
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

// unpark looks again at the jobs that no worker was large enough for.
func (p *Planner) unpark(now int64) {
	for _, id := range slices.Sorted(maps.Keys(p.parked)) {
		p.requeue(p.parked[id], now)
	}
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
	j.waiting = task.Waiting(t)
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

// syncAttempts brings the hosts in step with the task's attempts.
func (p *Planner) syncAttempts(j *job, now int64) {
	live := 0
	for _, a := range j.task.GetAttempts() {
		r := j.live[a.GetId()]
		if task.Live(a.GetPhase()) {
			live++
		}
		switch {
		case task.Live(a.GetPhase()) && r == nil:
			p.hire(j, a)
		case task.Live(a.GetPhase()):
			p.update(r, a)
		case r != nil:
			p.release(r)
			p.ended(r, a, now)
		}
	}
	if len(j.live) > live {
		p.releaseGone(j)
	}
}

// releaseGone releases attempts that the task's record no longer names.
func (p *Planner) releaseGone(j *job) {
	for _, id := range slices.Sorted(maps.Keys(j.live)) {
		if a := task.FindAttempt(j.task, id); a == nil || !task.Live(a.GetPhase()) {
			p.release(j.live[id])
		}
	}
}

func (p *Planner) hire(j *job, a *egretmuxv1.Attempt) {
	r := &running{
		id: a.GetId(), job: j, member: a.GetMember(), host: p.host(a.GetWorker()), phase: a.GetPhase(),
		held: task.Held(j.task, a), placed: a.GetStartedUnixMs(), began: a.GetConfirmedUnixMs(),
		saved: task.SavedRun(j.task, a.GetMember()),
	}
	j.live[r.id] = r
	p.running[r.id] = r
	r.host.live[r.id] = r
	p.addHeld(r, r.held)
	if unconfirmed(r.phase) {
		r.host.starting++
	}
	p.reindex(r.host)
}

// addHeld adds to what the attempt's host, customer and urgent work hold.
func (p *Planner) addHeld(r *running, room worker.Room) {
	r.host.held = r.host.held.Plus(room)
	r.job.account.held = r.job.account.held.Plus(room)
	if r.job.urgent() {
		p.urgent.held = p.urgent.held.Plus(room)
	}
}

func unconfirmed(phase egretmuxv1.AttemptPhase) bool {
	return phase == egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STARTING
}

func (p *Planner) update(r *running, a *egretmuxv1.Attempt) {
	if unconfirmed(r.phase) && !unconfirmed(a.GetPhase()) {
		r.host.starting--
	}
	r.phase = a.GetPhase()
	r.began = a.GetConfirmedUnixMs()
	held := task.Held(r.job.task, a)
	if held != r.held {
		p.addHeld(r, held.Minus(r.held))
		r.held = held
		p.reindex(r.host)
	}
}

func (p *Planner) release(r *running) {
	delete(r.job.live, r.id)
	delete(p.running, r.id)
	delete(r.host.live, r.id)
	p.addHeld(r, worker.Room{}.Minus(r.held))
	if unconfirmed(r.phase) {
		r.host.starting--
	}
	p.reindex(r.host)
}

// ended learns from an attempt that is over.
func (p *Planner) ended(r *running, a *egretmuxv1.Attempt, now int64) {
	switch a.GetPhase() {
	case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_SUCCEEDED:
		if a.GetConfirmedUnixMs() > 0 && !r.job.service() {
			p.learn.ran(r.job.task.GetSpec(), r.saved+a.GetEndedUnixMs()-a.GetConfirmedUnixMs())
		}
		p.noteSuccess(r)
	case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_FAILED:
		p.noteFailure(r, now)
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
func (p *Planner) sizeOf(j *job) worker.Room {
	declared := worker.RoomOf(j.task.GetSpec().GetResources())
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
func (p *Planner) largestFor(need worker.Room) worker.Room {
	largest := need
	for _, x := range p.shapes {
		if need.Fits(x.capacity) && x.capacity.CPUMillis > largest.CPUMillis {
			largest = x.capacity
		}
	}
	return largest
}

// fitsTogether reports whether the cell's workers could hold n of the need when idle.
func (p *Planner) fitsTogether(need worker.Room, n int64) bool {
	for _, x := range p.shapes {
		n -= x.workers * need.Count(x.capacity)
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
		saved = task.SavedRun(j.task, j.waiting[0])
	}
	return max(ms-saved, ms/20, 1)
}

// likely returns the run time in milliseconds that one member probably still needs.
func (p *Planner) likely(j *job) int64 {
	e := p.learn.estimate(j.task.GetSpec())
	if !e.sure {
		return min(e.likely, j.task.GetSpec().GetDeclaredRunMs()) / 2
	}
	return max(e.likely-task.SavedRun(j.task, j.waiting[0]), 1)
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
func (p *Planner) fitsSome(need worker.Room) bool {
	for _, x := range p.shapes {
		if need.Fits(x.capacity) {
			return true
		}
	}
	return false
}

// shape is a capacity and how many workers that are not lost have it.
type shape struct {
	capacity worker.Room
	workers  int64
}

// countShape adds n workers of a capacity to the cell.
func (p *Planner) countShape(capacity worker.Room, n int64) {
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
