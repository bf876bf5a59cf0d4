package place

import (
	"maps"
	"slices"
	"sort"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/worker"
)

// Times of reservations and claims in milliseconds.
const (
	reserveAfter   = 500     // waiting before room is kept free for a gang or a large task
	reserveHorizon = 600_000 // no room is kept for a start that is further away
	reserveGrace   = 30_000  // past the expected start
	reserveAgain   = 30_000  // pause of a job whose reservation ended in vain
	claimLength    = 10_000  // room of a preempted attempt is kept for the job that it made room for
	largePart      = 0.5     // part of the largest worker from which a task counts as large
)

// reservation keeps workers free for one job at a time, so that two jobs never
// hold room that each other waits for. It ends by itself.
type reservation struct {
	job   *job
	hosts []*host
	until int64
}

// claim keeps room on a host until a preempted attempt has stopped there.
type claim struct {
	host  *host
	room  worker.Resources
	until int64
	used  bool
}

// tryGang places all members or none.
func (r *round) tryGang(j *job) bool {
	members := int(j.members())
	if len(j.waiting) < members || !j.account.withinQuota(j.need.Times(int64(members))) {
		return false
	}
	if !r.leavesHeadroom(j, int64(members)) {
		r.seekRoom(j, members)
		return false
	}
	mark, starts := len(r.placed), len(r.plan.Commit.Starts)
	for r.taken[j] < members {
		h := r.pick(j)
		if h == nil {
			r.takeBack(mark)
			r.plan.Commit.Starts = r.plan.Commit.Starts[:starts]
			r.seekRoom(j, members)
			return false
		}
		r.place(j, h)
	}
	return true
}

// seekRoom preempts for a job that may, or else keeps workers free for a gang
// or a large task.
func (r *round) seekRoom(j *job, members int) {
	if r.sought[j] {
		return
	}
	r.sought[j] = true
	if r.now >= j.retryPreempt && (j.urgent() || r.scans < scansARound) && r.mayPreempt(j) {
		r.scans++
		if r.preempt(j, members) {
			return
		}
		j.retryPreempt = r.now + preemptAgain
	}
	if r.p.hold.job == nil && r.now >= max(j.since+reserveAfter, j.retryGang) && (j.gang() || r.p.large(j.need)) {
		r.reserve(j, members)
	}
}

// large reports whether the need is a large part of the largest worker.
func (p *Planner) large(need worker.Resources) bool {
	for _, x := range p.shapes {
		if need.Fits(x.capacity) && need.DominantShare(x.capacity) < largePart {
			return false
		}
	}
	return true
}

// slot is when a host is expected to have room for one more member.
type slot struct {
	host *host
	at   int64
}

// reserve keeps the hosts free that are expected to have room first.
func (r *round) reserve(j *job, members int) {
	var slots []slot
	for _, name := range r.p.names {
		h := r.p.hosts[name]
		if t := h.takes(); t == Fits || t == TooManyStarting {
			slots = append(slots, r.slotsOf(h, j.need, members)...)
		}
	}
	sort.SliceStable(slots, func(a, b int) bool { return slots[a].at < slots[b].at })
	if len(slots) < members || slots[members-1].at > r.now+reserveHorizon {
		j.retryGang = r.now + reserveAgain
		return
	}
	start := slots[members-1].at
	r.p.hold = reservation{job: j, until: start + reserveGrace}
	for _, s := range slots[:members] {
		if s.host.reserved == nil {
			s.host.reserved = j
			s.host.reservedUntil = start
			r.p.hold.hosts = append(r.p.hold.hosts, s.host)
		}
	}
}

// slotsOf returns when the host has room for the first, second and further members.
func (r *round) slotsOf(h *host, need worker.Resources, members int) []slot {
	if !need.Fits(h.capacity) {
		return nil
	}
	type release struct {
		at   int64
		room worker.Resources
	}
	ends := []release{{r.now, worker.Resources{}}}
	for _, x := range h.attempts() {
		if x.job.service() {
			continue
		}
		ms := r.p.learn.estimate(x.job.task.GetSpec()).likely
		ends = append(ends, release{r.now + x.left(r.now, ms), x.held})
	}
	sort.SliceStable(ends, func(a, b int) bool { return ends[a].at < ends[b].at })
	var slots []slot
	free := h.free()
	for _, e := range ends {
		free = free.Plus(e.room)
		for len(slots) < members && need.Fits(free) {
			slots = append(slots, slot{h, e.at})
			free = free.Minus(need)
		}
	}
	return slots
}

// reservedHost returns a host kept free for the job that has room now.
func (r *round) reservedHost(j *job) *host {
	if r.p.hold.job != j {
		return nil
	}
	for _, h := range r.p.hold.hosts {
		if h.takes() == Fits && j.need.Fits(h.free()) {
			return h
		}
	}
	return nil
}

func (p *Planner) dropReservation() {
	for _, h := range p.hold.hosts {
		h.reserved = nil
	}
	p.hold = reservation{}
}

// expire ends the reservation and the claims whose time is over.
func (r *round) expire() {
	if j := r.p.hold.job; j != nil && r.now > r.p.hold.until {
		j.retryGang = r.now + reserveAgain
		r.p.dropReservation()
	}
	for _, id := range slices.Sorted(maps.Keys(r.p.claimants)) {
		j := r.p.claimants[id]
		if r.now > j.claims[0].until {
			r.p.dropClaims(j)
		}
	}
}

func (p *Planner) addClaim(j *job, h *host, until int64) {
	j.claims = append(j.claims, claim{host: h, room: j.need, until: until})
	p.claimants[j.task.GetId()] = j
	h.claimed = h.claimed.Plus(j.need)
	p.reindex(h)
}

// dropClaims gives up the claims of the job.
func (p *Planner) dropClaims(j *job) {
	for i := range j.claims {
		p.unclaim(&j.claims[i])
	}
	j.claims = nil
	delete(p.claimants, j.task.GetId())
}

func (p *Planner) unclaim(c *claim) {
	c.host.claimed = c.host.claimed.Minus(c.room)
	p.reindex(c.host)
}

// openClaims lets the job see the room that is kept for it.
func (r *round) openClaims(j *job) {
	for i := range j.claims {
		r.p.unclaim(&j.claims[i])
	}
}

// closeClaims keeps the room of the claims that were not used.
func (r *round) closeClaims(j *job, placed bool, opened int) {
	kept := j.claims[:0]
	for i, c := range j.claims {
		if i >= opened {
			kept = append(kept, c)
			continue
		}
		if placed && c.used {
			continue
		}
		c.used = false
		c.host.claimed = c.host.claimed.Plus(c.room)
		r.p.reindex(c.host)
		kept = append(kept, c)
	}
	j.claims = kept
	if len(kept) == 0 {
		j.claims = nil
		delete(r.p.claimants, j.task.GetId())
	}
}

// claimed returns a host of an unused claim that has room now.
func (r *round) claimed(j *job) *host {
	for i := range j.claims {
		c := &j.claims[i]
		if !c.used && c.host.takes() == Fits && j.need.Fits(c.host.free()) && c.host.record.GetPhase() == egretmuxv1.WorkerPhase_WORKER_PHASE_READY {
			c.used = true
			return c.host
		}
	}
	return nil
}
