package place

import (
	"maps"
	"slices"
	"sort"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/worker"
)

// Reservations and claims.
const (
	reserveAfterMs   = 500     // wait before hosts are reserved for a gang or a large task
	reserveHorizonMs = 600_000 // no reservation for a start that is further away
	reserveGraceMs   = 30_000  // after the expected start until the reservation expires
	reserveRetryMs   = 30_000  // pause of a job after a reservation that failed or expired
	claimDurationMs  = 10_000  // until a claim expires
	largeTaskRatio   = 0.5     // dominant share of a worker from which a task counts as large
)

// reservation keeps hosts free for one job until it expires. The cell has at most
// one, so that no two jobs hold resources that the other waits for.
type reservation struct {
	job       *job
	hosts     []*host
	expiresAt int64
}

// claim keeps resources on a host for a job while the attempts preempted for it stop.
type claim struct {
	host      *host
	resources worker.Resources
	expiresAt int64
	used      bool // whether a placement of the current tryPlace uses the claim
}

// placeGang places all members of a gang or none.
func (r *round) placeGang(j *job) bool {
	members := int(j.memberCount())
	if len(j.waitingMembers) < members || !j.account.quotaAllowsMore(j.need.Times(int64(members))) {
		return false
	}
	if !r.leavesHeadroom(j, int64(members)) {
		r.preemptOrReserve(j, members)
		return false
	}
	mark, starts := len(r.placements), len(r.plan.Commit.Starts)
	for r.placedMembers[j] < members {
		h := r.bestHost(j)
		if h == nil {
			r.rollback(mark)
			r.plan.Commit.Starts = r.plan.Commit.Starts[:starts]
			r.preemptOrReserve(j, members)
			return false
		}
		r.placeMember(j, h)
	}
	return true
}

// preemptOrReserve preempts for a job that did not fit, if it may, or else reserves
// hosts for a gang or a large task. It acts once per job and round.
func (r *round) preemptOrReserve(j *job, members int) {
	if r.roomRequested[j] {
		return
	}
	r.roomRequested[j] = true
	if r.now >= j.preemptRetryAt && (j.isUrgent() || r.victimSearches < maxSearchesPerRound) && r.mayPreempt(j) {
		r.victimSearches++
		if r.preempt(j, members) {
			return
		}
		j.preemptRetryAt = r.now + preemptRetryMs
	}
	if r.p.reservation.job == nil && r.now >= max(j.waitingSince+reserveAfterMs, j.reserveRetryAt) && (j.isGang() || r.p.isLarge(j.need)) {
		r.reserve(j, members)
	}
}

// isLarge reports whether the need is a large part of every worker that it fits on.
func (p *Planner) isLarge(need worker.Resources) bool {
	for _, s := range p.shapes {
		if need.Fits(s.capacity) && need.DominantShare(s.capacity) < largeTaskRatio {
			return false
		}
	}
	return true
}

// slot is the time when a host is expected to have room for one more member.
type slot struct {
	host *host
	at   int64
}

// reserve reserves the hosts that are expected to have room first.
func (r *round) reserve(j *job, members int) {
	var slots []slot
	for _, name := range r.p.hostNames {
		h := r.p.hosts[name]
		if status := h.availability(); status == Accepts || status == TooManyStarting {
			slots = append(slots, r.futureSlots(h, j.need, members)...)
		}
	}
	sort.SliceStable(slots, func(a, b int) bool { return slots[a].at < slots[b].at })
	if len(slots) < members || slots[members-1].at > r.now+reserveHorizonMs {
		j.reserveRetryAt = r.now + reserveRetryMs
		return
	}
	start := slots[members-1].at
	r.p.reservation = reservation{job: j, expiresAt: start + reserveGraceMs}
	for _, s := range slots[:members] {
		if s.host.reserved == nil {
			s.host.reserved = j
			s.host.reservedUntil = start
			r.p.reservation.hosts = append(r.p.reservation.hosts, s.host)
		}
	}
}

// futureSlots returns when the host is expected to have room for the first, second
// and further members. Services are not expected to end.
func (r *round) futureSlots(h *host, need worker.Resources, members int) []slot {
	if !need.Fits(h.capacity) {
		return nil
	}
	type release struct {
		at        int64
		resources worker.Resources
	}
	ends := []release{{r.now, worker.Resources{}}}
	for _, a := range h.sortedAttempts() {
		if a.job.isService() {
			continue
		}
		estimateMs := r.p.estimator.runTime(a.job.task.GetSpec()).likelyMs
		ends = append(ends, release{r.now + a.remaining(r.now, estimateMs), a.held})
	}
	sort.SliceStable(ends, func(a, b int) bool { return ends[a].at < ends[b].at })
	var slots []slot
	free := h.free()
	for _, e := range ends {
		free = free.Plus(e.resources)
		for len(slots) < members && need.Fits(free) {
			slots = append(slots, slot{h, e.at})
			free = free.Minus(need)
		}
	}
	return slots
}

// reservedHost returns a host reserved for the job that has room now, or nil.
func (r *round) reservedHost(j *job) *host {
	if r.p.reservation.job != j {
		return nil
	}
	for _, h := range r.p.reservation.hosts {
		if h.availability() == Accepts && j.need.Fits(h.free()) {
			return h
		}
	}
	return nil
}

func (p *Planner) dropReservation() {
	for _, h := range p.reservation.hosts {
		h.reserved = nil
	}
	p.reservation = reservation{}
}

// expireReservations drops an expired reservation and expired claims.
func (r *round) expireReservations() {
	if j := r.p.reservation.job; j != nil && r.now > r.p.reservation.expiresAt {
		j.reserveRetryAt = r.now + reserveRetryMs
		r.p.dropReservation()
	}
	for _, id := range slices.Sorted(maps.Keys(r.p.claimants)) {
		j := r.p.claimants[id]
		if r.now > j.claims[0].expiresAt {
			r.p.dropClaims(j)
		}
	}
}

func (p *Planner) addClaim(j *job, h *host, expiresAt int64) {
	j.claims = append(j.claims, claim{host: h, resources: j.need, expiresAt: expiresAt})
	p.claimants[j.task.GetId()] = j
	h.claimed = h.claimed.Plus(j.need)
	p.reindex(h)
}

// dropClaims releases all claims of the job.
func (p *Planner) dropClaims(j *job) {
	for i := range j.claims {
		p.releaseClaim(&j.claims[i])
	}
	j.claims = nil
	delete(p.claimants, j.task.GetId())
}

func (p *Planner) releaseClaim(c *claim) {
	c.host.claimed = c.host.claimed.Minus(c.resources)
	p.reindex(c.host)
}

// suspendClaims frees the resources of the job's claims while the job itself is
// placed.
func (r *round) suspendClaims(j *job) {
	for i := range j.claims {
		r.p.releaseClaim(&j.claims[i])
	}
}

// restoreClaims ends the suspension of the first suspendedCount claims: unused ones
// hold their resources again, and used ones are removed if the job was placed. Later
// claims were made meanwhile and not suspended.
func (r *round) restoreClaims(j *job, placed bool, suspendedCount int) {
	kept := j.claims[:0]
	for i, c := range j.claims {
		if i >= suspendedCount {
			kept = append(kept, c)
			continue
		}
		if placed && c.used {
			continue
		}
		c.used = false
		c.host.claimed = c.host.claimed.Plus(c.resources)
		r.p.reindex(c.host)
		kept = append(kept, c)
	}
	j.claims = kept
	if len(kept) == 0 {
		j.claims = nil
		delete(r.p.claimants, j.task.GetId())
	}
}

// takeClaimedHost returns the host of an unused claim that has room now, and marks
// the claim as used. It returns nil if there is none.
func (r *round) takeClaimedHost(j *job) *host {
	for i := range j.claims {
		c := &j.claims[i]
		if !c.used && c.host.availability() == Accepts && j.need.Fits(c.host.free()) && c.host.record.GetPhase() == egretmuxv1.WorkerPhase_WORKER_PHASE_READY {
			c.used = true
			return c.host
		}
	}
	return nil
}
