package place

import (
	"container/heap"
	"maps"
	"slices"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/worker"
)

// Plan is the result of one round.
type Plan struct {
	Commit    *egretmuxv1.CommitPlan
	Throttles []Throttle
	Phases    []*egretmuxv1.SetWorkerPhase
	More      bool // the round stopped at its limit of starts with work left to try
}

// Throttle asks a worker to limit an attempt to an amount of processor time.
type Throttle struct {
	Worker    string
	Task      uint64
	Attempt   uint64
	CPUMillis int64
}

// Empty reports whether the plan has nothing to commit.
func (p *Plan) Empty() bool {
	commit := p.Commit
	return len(commit.GetStarts())+len(commit.GetStops())+len(commit.GetRejects())+len(commit.GetResizes()) == 0
}

// maxMembersPerPreemption limits the members of one job, gangs excepted, for which a
// round may preempt others.
const maxMembersPerPreemption = 8

// maxMissesPerGroup is how many jobs of a group may fail to fit before the round
// skips the group.
const maxMissesPerGroup = 3

// round is the state of one call of Decide. Its placements count as held at once
// and are rolled back at its end: the committed state then tells what started.
type round struct {
	p              *Planner
	now            int64
	startLimit     int // starts allowed in this round
	plan           *Plan
	placements     []placement
	dequeuedJobs   []*job                    // to be queued again at the end of the round
	accountMisses  map[*account]int          // jobs that did not fit; at backfillDepth the account is skipped
	removedGroups  []removedGroup            // to be restored at the end of the round
	groupMisses    map[*group]int            // jobs that did not fit; at maxMissesPerGroup the group is removed
	unfitNeeds     []worker.Resources        // needs that fit on no host, without those covered by a smaller one
	spread         map[*job]*memberSpread    // of services
	placedMembers  map[*job]int              // waiting members placed in this round
	stops          map[uint64]bool           // attempts stopped by this round
	roomRequested  map[*job]bool             // jobs that preemptOrReserve has handled in this round
	accountRanks   map[*account]*accountRank // cache of rankAccount
	visitedHosts   int                       // hosts searched for victims
	deadlineAtRisk bool                      // of the job that searches for victims
	victimSearches int
	candidates     []*attempt       // scratch space of victimsOn
	headroom       worker.Resources // what batch work must leave free
	freeResources  worker.Resources // of the cell
}

type placement struct {
	job       *job
	host      *host
	resources worker.Resources
	resize    bool // of a live attempt; resources is the change of what it holds
}

// Decide returns the plan of one round; now is in Unix milliseconds.
func (p *Planner) Decide(now int64) *Plan {
	r := &round{
		p: p, now: now, startLimit: p.startBudget.refill(now), plan: &Plan{Commit: &egretmuxv1.CommitPlan{}},
		accountMisses: make(map[*account]int), groupMisses: make(map[*group]int), spread: make(map[*job]*memberSpread), placedMembers: make(map[*job]int),
		stops: make(map[uint64]bool), roomRequested: make(map[*job]bool), accountRanks: make(map[*account]*accountRank),
	}
	p.rotation++
	r.enqueueDelayed()
	r.expireReservations()
	r.computeHeadroom()
	r.applyUsage()
	r.updateQuarantine()
	r.placeClaimants()
	r.placeQueues()
	r.restoreQueues()
	p.startBudget.tokens -= float64(len(r.plan.Commit.Starts))
	return r.plan
}

// enqueueDelayed queues the delayed jobs whose backoff has ended.
func (r *round) enqueueDelayed() {
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
		if len(r.plan.Commit.Starts) >= r.startLimit {
			r.plan.More = true
			return
		}
		j := r.refreshedHead(a)
		placed := r.tryPlace(j)
		delete(r.accountRanks, a)
		if placed && r.placedMembers[j] < len(j.waitingMembers) {
			continue
		}
		g := j.group
		a.dequeue(j)
		r.dequeuedJobs = append(r.dequeuedJobs, j)
		if !placed {
			r.recordMiss(a, g)
		}
	}
}

// recordMiss counts a job that did not fit. After a few misses in a group it
// removes the whole group for the round, since its jobs hardly differ.
func (r *round) recordMiss(a *account, g *group) {
	r.accountMisses[a]++
	r.groupMisses[g]++
	if r.groupMisses[g] >= maxMissesPerGroup && g.queuePos >= 0 {
		a.removeGroup(g)
		r.removedGroups = append(r.removedGroups, removedGroup{a, g})
	}
}

// removedGroup is a group removed from its account's queue for the round.
type removedGroup struct {
	account *account
	group   *group
}

// placeClaimants places jobs with claims before all others.
func (r *round) placeClaimants() {
	for _, id := range slices.Sorted(maps.Keys(r.p.claimants)) {
		j := r.p.claimants[id]
		for j.heapPos >= 0 && r.placedMembers[j] < len(j.waitingMembers) && len(j.claims) > 0 && r.tryPlace(j) {
			continue
		}
		if r.placedMembers[j] > 0 && r.placedMembers[j] == len(j.waitingMembers) {
			j.account.dequeue(j)
			r.dequeuedJobs = append(r.dequeuedJobs, j)
		}
	}
}

// refreshedHead returns the first job of the account's queue, after updating keys
// with what was learned since the jobs were queued.
func (r *round) refreshedHead(a *account) *job {
	for {
		g := a.queue[0]
		j := g.jobs[0]
		_, startBy := r.p.currentKey(j, r.now)
		if startBy == j.startBy {
			return j
		}
		j.startBy = startBy
		heap.Fix(&g.jobs, 0)
		a.reorder(g)
	}
}

// tryPlace places the next member of the job, or all members of a gang. The job
// may use its claims.
func (r *round) tryPlace(j *job) bool {
	suspendedCount := len(j.claims)
	r.suspendClaims(j)
	placed := r.placeNext(j)
	r.restoreClaims(j, placed, suspendedCount)
	return placed
}

func (r *round) placeNext(j *job) bool {
	if j.isGang() {
		return r.placeGang(j)
	}
	if !j.account.quotaAllowsMore(j.need) {
		return false
	}
	if r.leavesHeadroom(j, 1) {
		if h := r.bestHost(j); h != nil {
			r.placeMember(j, h)
			return true
		}
	}
	r.preemptOrReserve(j, min(len(j.waitingMembers)-r.placedMembers[j], maxMembersPerPreemption))
	return false
}

// placeMember adds a start of the job's next waiting member on the host to the plan.
func (r *round) placeMember(j *job, h *host) {
	member := j.waitingMembers[r.placedMembers[j]]
	start := &egretmuxv1.PlanStart{
		Task: j.task.GetId(), Member: member, Worker: h.record.GetId(), WorkerEpoch: h.record.GetEpoch(), Held: j.need.Proto(),
	}
	if j.isGang() {
		start.Gang = j.task.GetId()
	}
	r.plan.Commit.Starts = append(r.plan.Commit.Starts, start)
	r.recordPlacement(j, h)
}

// recordPlacement counts the member's resources as held until the end of the round.
func (r *round) recordPlacement(j *job, h *host) {
	r.placedMembers[j]++
	r.placements = append(r.placements, placement{job: j, host: h, resources: j.need})
	h.held = h.held.Plus(j.need)
	h.starting++
	r.freeResources = r.freeResources.Minus(j.need)
	j.account.held = j.account.held.Plus(j.need)
	r.p.reindex(h)
	if s := r.spread[j]; s != nil {
		s.add(h, 1)
	}
}

// rollback undoes the placements after the first n, last ones first.
func (r *round) rollback(n int) {
	for i := len(r.placements) - 1; i >= n; i-- {
		placed := r.placements[i]
		placed.host.held = placed.host.held.Minus(placed.resources)
		r.freeResources = r.freeResources.Plus(placed.resources)
		placed.job.account.held = placed.job.account.held.Minus(placed.resources)
		r.p.reindex(placed.host)
		if placed.resize {
			continue
		}
		r.placedMembers[placed.job]--
		placed.host.starting--
		if s := r.spread[placed.job]; s != nil {
			s.add(placed.host, -1)
		}
	}
	r.placements = r.placements[:n]
}

func (r *round) restoreQueues() {
	r.rollback(0)
	for _, removed := range r.removedGroups {
		removed.account.restoreGroup(removed.group)
	}
	for _, j := range r.dequeuedJobs {
		j.account.enqueue(j)
	}
}

// knownUnfit reports whether this need or a smaller one was already found not to fit.
func (r *round) knownUnfit(need worker.Resources) bool {
	for _, unfit := range r.unfitNeeds {
		if unfit.Fits(need) {
			return true
		}
	}
	return false
}

// recordUnfit records that the need fits on no host.
func (r *round) recordUnfit(need worker.Resources) {
	kept := r.unfitNeeds[:0]
	for _, unfit := range r.unfitNeeds {
		if !need.Fits(unfit) {
			kept = append(kept, unfit)
		}
	}
	r.unfitNeeds = append(kept, need)
}
