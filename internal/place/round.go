package place

import (
	"container/heap"
	"maps"
	"slices"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/worker"
)

// Plan is the outcome of one round.
type Plan struct {
	Commit    *egretmuxv1.CommitPlan
	Throttles []Throttle
	Phases    []*egretmuxv1.SetWorkerPhase
	More      bool // the round ended at its limit, not for want of work
}

// Throttle asks a worker to hold an attempt to an amount of processor time.
type Throttle struct {
	Worker    string
	Task      uint64
	Attempt   uint64
	CPUMillis int64
}

// Empty reports whether the plan changes nothing that is committed.
func (p *Plan) Empty() bool {
	c := p.Commit
	return len(c.GetStarts())+len(c.GetStops())+len(c.GetRejects())+len(c.GetResizes()) == 0
}

// membersARound is how many members of a job that is not a gang are preempted for at a time.
const membersARound = 8

// missesAGroup is how many jobs of one group are tried that do not fit.
const missesAGroup = 3

// round is one run of Decide. What it places counts at once, and is taken back
// at its end: the committed state then says what really started.
type round struct {
	p           *Planner
	now         int64
	limit       int
	plan        *Plan
	placed      []placement
	aside       []*job           // taken out of their queues for this round
	misses      map[*account]int // jobs that did not fit; closed at backfillDepth
	asideGroups []asideGroup
	groupMisses map[*group]int
	failed      []worker.Resources     // needs that no free host fits
	spread      map[*job]*spread       // of services
	taken       map[*job]int           // waiting members placed in this round
	stops       map[uint64]bool        // attempts that this round stops
	sought      map[*job]bool          // jobs that this round has sought room for
	parts       map[*account]*position // cached key of an account
	visited     int                    // workers looked at for attempts to stop
	rescuing    bool                   // the job that seeks room is about to miss its deadline
	scans       int                    // jobs that looked for somebody to stop
	able        []*running             // scratch space of victimsOn
	keep        worker.Resources       // kept free for urgent work
	free        worker.Resources       // of the cell
}

type placement struct {
	job    *job
	host   *host
	room   worker.Resources
	resize bool // of a live attempt, by room
}

// Decide returns the plan of one round at a time in Unix milliseconds.
func (p *Planner) Decide(now int64) *Plan {
	r := &round{
		p: p, now: now, limit: p.budget.refill(now), plan: &Plan{Commit: &egretmuxv1.CommitPlan{}},
		misses: make(map[*account]int), groupMisses: make(map[*group]int), spread: make(map[*job]*spread), taken: make(map[*job]int),
		stops: make(map[uint64]bool), sought: make(map[*job]bool), parts: make(map[*account]*position),
	}
	p.turn++
	r.wakeDelayed()
	r.expire()
	r.startHeadroom()
	r.observe()
	r.tendQuarantine()
	r.placeClaimants()
	r.placeQueues()
	r.undo()
	p.budget.tokens -= float64(len(r.plan.Commit.Starts))
	return r.plan
}

// wakeDelayed queues the jobs whose backoff has ended.
func (r *round) wakeDelayed() {
	for len(r.p.delayed) > 0 && r.p.delayed[0].notBefore <= r.now {
		j := heap.Pop(&r.p.delayed).(*job)
		j.account.enqueue(j)
	}
}

// placeQueues places the heads of the queues until nothing more fits.
func (r *round) placeQueues() {
	for {
		a := r.nextAccount()
		if a == nil {
			return
		}
		if len(r.plan.Commit.Starts) >= r.limit {
			r.plan.More = true
			return
		}
		j := r.head(a)
		placed := r.try(j)
		delete(r.parts, a)
		if placed && r.taken[j] < len(j.waiting) {
			continue
		}
		g := j.group
		a.dequeue(j)
		r.aside = append(r.aside, j)
		if !placed {
			r.missed(a, g)
		}
	}
}

// missed counts a job that did not fit. After a few of one group the whole group
// is set aside: the others hardly differ.
func (r *round) missed(a *account, g *group) {
	r.misses[a]++
	r.groupMisses[g]++
	if r.groupMisses[g] >= missesAGroup && g.at >= 0 {
		a.setAside(g)
		r.asideGroups = append(r.asideGroups, asideGroup{a, g})
	}
}

// asideGroup is a group taken out of its account's queue for the round.
type asideGroup struct {
	account *account
	group   *group
}

// placeClaimants tries the jobs that room is kept for before all others.
func (r *round) placeClaimants() {
	for _, id := range slices.Sorted(maps.Keys(r.p.claimants)) {
		j := r.p.claimants[id]
		for j.at >= 0 && r.taken[j] < len(j.waiting) && len(j.claims) > 0 && r.try(j) {
			continue
		}
		if r.taken[j] > 0 && r.taken[j] == len(j.waiting) {
			j.account.dequeue(j)
			r.aside = append(r.aside, j)
		}
	}
}

// head returns the first job of the account's queue after bringing its key up
// to date with what was learned since it was queued.
func (r *round) head(a *account) *job {
	for {
		g := a.queue[0]
		j := g.jobs[0]
		_, startBy := r.p.keyNow(j, r.now)
		if startBy == j.startBy {
			return j
		}
		j.startBy = startBy
		heap.Fix(&g.jobs, 0)
		a.fix(g)
	}
}

// try places the next member of the job, or all members of a gang.
func (r *round) try(j *job) bool {
	opened := len(j.claims)
	r.openClaims(j)
	placed := r.tryOpen(j)
	r.closeClaims(j, placed, opened)
	return placed
}

func (r *round) tryOpen(j *job) bool {
	if j.gang() {
		return r.tryGang(j)
	}
	if !j.account.withinQuota(j.need) {
		return false
	}
	if r.leavesHeadroom(j, 1) {
		if h := r.pick(j); h != nil {
			r.place(j, h)
			return true
		}
	}
	r.seekRoom(j, min(len(j.waiting)-r.taken[j], membersARound))
	return false
}

// place puts the job's next waiting member on the host.
func (r *round) place(j *job, h *host) {
	member := j.waiting[r.taken[j]]
	start := &egretmuxv1.PlanStart{
		Task: j.task.GetId(), Member: member, Worker: h.record.GetId(), WorkerEpoch: h.record.GetEpoch(), Held: j.need.Proto(),
	}
	if j.gang() {
		start.Gang = j.task.GetId()
	}
	r.plan.Commit.Starts = append(r.plan.Commit.Starts, start)
	r.hold(j, h)
}

// hold counts the member as placed until the round ends.
func (r *round) hold(j *job, h *host) {
	r.taken[j]++
	r.placed = append(r.placed, placement{job: j, host: h, room: j.need})
	h.held = h.held.Plus(j.need)
	h.starting++
	r.free = r.free.Minus(j.need)
	j.account.held = j.account.held.Plus(j.need)
	r.p.reindex(h)
	if s := r.spread[j]; s != nil {
		s.add(h, 1)
	}
}

// takeBack undoes the placements after the first n.
func (r *round) takeBack(n int) {
	for i := len(r.placed) - 1; i >= n; i-- {
		x := r.placed[i]
		x.host.held = x.host.held.Minus(x.room)
		r.free = r.free.Plus(x.room)
		x.job.account.held = x.job.account.held.Minus(x.room)
		r.p.reindex(x.host)
		if x.resize {
			continue
		}
		r.taken[x.job]--
		x.host.starting--
		if s := r.spread[x.job]; s != nil {
			s.add(x.host, -1)
		}
	}
	r.placed = r.placed[:n]
}

func (r *round) undo() {
	r.takeBack(0)
	for _, x := range r.asideGroups {
		x.account.putBack(x.group)
	}
	for _, j := range r.aside {
		j.account.enqueue(j)
	}
}

// isFull reports whether a need at least as large was already found not to fit.
func (r *round) isFull(need worker.Resources) bool {
	for _, f := range r.failed {
		if f.Fits(need) {
			return true
		}
	}
	return false
}

// noteFull remembers that no free host fits the need.
func (r *round) noteFull(need worker.Resources) {
	kept := r.failed[:0]
	for _, f := range r.failed {
		if !need.Fits(f) {
			kept = append(kept, f)
		}
	}
	r.failed = append(kept, need)
}
