package place

import (
	"sort"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
)

const (
	giveBackWait   = 5000 // milliseconds that a customer below its share waits before borrowers are preempted
	giveBackTime   = 30   // seconds in which borrowers can be made to give everything back
	giveBackBurst  = 4    // attempts of borrowers stopped at once
	borrowerRuns   = 5000 // milliseconds that a borrower runs before it is stopped
	preemptHosts   = 128  // hosts looked at for one preemption once a choice was found
	preemptAgain   = 500  // milliseconds until a job that found nobody to stop looks again
	visitsARound   = 600  // workers looked at in one round for jobs that are not urgent
	scansARound    = 4    // jobs that are not urgent and look for somebody to stop in one round
	preemptsARound = 24   // attempts stopped in one round
	restartMs      = 2000 // lost by each checkpoint and restart
	tightLossMs    = 600_000
	borrowedLossMs = 60_000 // added for victims whose customer is within its share
	lossPart       = 20     // a checkpoint loses up to this part of what ran since the start
)

// mayPreempt reports whether the job's wait justifies stopping others.
func (r *round) mayPreempt(j *job) bool {
	r.rescuing = false
	if j.urgent() || j.service() {
		return true
	}
	if r.rescuing = r.rescues(j); r.rescuing {
		return true
	}
	if r.p.giveBack.left(r.now, len(r.p.running)) < 1 {
		return false
	}
	after := j.account.held.Plus(j.need).DominantShare(r.p.total)
	return after <= j.account.share && r.now-j.since >= giveBackWait
}

// rescueSlack is how close to its latest start a job may stop work that can wait.
const rescueSlack = 3000

// rescues reports whether the job is about to miss its deadline.
func (r *round) rescues(j *job) bool { return r.slack(j) < rescueSlack }

// canWait reports whether stopping the attempt costs its job no deadline.
func (r *round) canWait(x *running) bool {
	d := x.job.task.GetSpec().GetDeadlineUnixMs()
	left := x.left(r.now, r.p.learn.estimate(x.job.task.GetSpec()).cautious)
	return (d == 0 || d-r.now-left > 2*easySlack) && x.began > 0 && r.now-x.began >= borrowerRuns
}

// victim reports whether the attempt may be stopped in favour of the job.
func (r *round) victim(j *job, x *running) bool {
	if x.phase == egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING || r.stops[x.id] || x.job == j {
		return false
	}
	if x.job.urgent() || x.job.service() || !task.Restartable(x.job.task.GetSpec()) {
		return false
	}
	own := x.job.account == j.account
	switch {
	case j.urgent():
		return own || r.p.overShare(x.job.account) || !r.p.overShare(j.account)
	case j.service():
		return own || r.p.overShare(x.job.account)
	}
	if r.rescuing && (own || r.p.overShare(x.job.account)) && r.canWait(x) {
		return own || !r.p.overShare(j.account)
	}
	return !own && !r.p.overShare(j.account) && r.p.overShare(x.job.account) && x.began > 0 && r.now-x.began >= borrowerRuns
}

// loss estimates in milliseconds what stopping the attempt costs.
func (r *round) loss(j *job, x *running) int64 {
	ran := int64(0)
	if x.began > 0 {
		ran = r.now - x.began
	}
	loss := restartMs + ran/lossPart
	left := x.left(r.now, r.p.learn.estimate(x.job.task.GetSpec()).likely)
	if d := x.job.task.GetSpec().GetDeadlineUnixMs(); d > 0 && r.now+left+2*restartMs > d {
		loss += tightLossMs
	}
	if x.job.account != j.account && !r.p.overShare(x.job.account) {
		loss += borrowedLossMs
	}
	if x.job.gang() {
		loss *= int64(len(x.job.live))
	}
	return loss
}

// preempt claims room for the job's members and stops what is in the way. A
// gang gets room for all members or stops nothing. It reports whether the job
// has all the claims it needs.
func (r *round) preempt(j *job, members int) bool {
	from := len(j.claims)
	var stops []*running
	for len(j.claims) < members {
		if !j.urgent() && r.visited > visitsARound {
			break
		}
		h, victims := r.roomFor(j)
		if h == nil || len(r.stops)+len(victims) > preemptsARound {
			break
		}
		if len(victims) == 0 && !r.leavesHeadroom(j, int64(members)) {
			break
		}
		if !j.urgent() && !j.service() && len(victims) > 0 && !r.p.giveBack.take(len(victims)) {
			break
		}
		r.p.addClaim(j, h, r.now+claimLength)
		for _, x := range victims {
			r.stops[x.id] = true
		}
		stops = append(stops, victims...)
	}
	if j.gang() && len(j.claims) < members {
		r.giveUp(j, from, stops)
		return false
	}
	for _, x := range stops {
		r.plan.Commit.Stops = append(r.plan.Commit.Stops, &egretmuxv1.PlanStop{
			Task: x.job.task.GetId(), Attempt: x.id, Checkpoint: true, Reason: reasonOf(j),
		})
	}
	return len(j.claims) >= members
}

// giveUp takes back the claims after the first n and the stops for them.
func (r *round) giveUp(j *job, n int, stops []*running) {
	for _, x := range stops {
		delete(r.stops, x.id)
	}
	for i := n; i < len(j.claims); i++ {
		r.p.unclaim(&j.claims[i])
	}
	j.claims = j.claims[:n]
	if n == 0 {
		delete(r.p.claimants, j.task.GetId())
	}
}

// roomFor returns the host where a member finds room at the least loss, and
// what must stop there.
func (r *round) roomFor(j *job) (*host, []*running) {
	var best *host
	var victims []*running
	least := int64(0)
	n := len(r.p.names)
	for i := range n {
		if best != nil && i >= preemptHosts {
			break
		}
		h := r.p.hosts[r.p.names[(i+r.p.turn*preemptHosts)%n]]
		if t := h.takes(); t != Fits || !j.need.Fits(h.capacity) || h.reserved != nil && h.reserved != j {
			continue
		}
		r.visited++
		set, loss, ok := r.victimsOn(j, h)
		if ok && (best == nil || loss < least) {
			best, victims, least = h, set, loss
		}
	}
	return best, victims
}

// victimsOn returns what must stop on the host for one more member.
func (r *round) victimsOn(j *job, h *host) ([]*running, int64, bool) {
	free := h.free()
	able := r.able[:0]
	for _, x := range h.live {
		if x.phase == egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING || r.stops[x.id] {
			free = free.Plus(x.held)
		} else if r.victim(j, x) {
			able = append(able, x)
		}
	}
	r.able = able
	if j.need.Fits(free) {
		return nil, 0, true
	}
	most := free
	for _, x := range able {
		most = most.Plus(x.held)
	}
	if !j.need.Fits(most) {
		return nil, 0, false
	}
	losses := make(map[*running]int64, len(able))
	for _, x := range able {
		losses[x] = r.loss(j, x)
	}
	sort.Slice(able, func(a, b int) bool {
		if losses[able[a]] != losses[able[b]] {
			return losses[able[a]] < losses[able[b]]
		}
		return able[a].id < able[b].id
	})
	n := 0
	for n < len(able) && !j.need.Fits(free) {
		free = free.Plus(able[n].held)
		n++
	}
	if !j.need.Fits(free) {
		return nil, 0, false
	}
	var set []*running
	total := int64(0)
	for i := n - 1; i >= 0; i-- {
		if without := free.Minus(able[i].held); j.need.Fits(without) {
			free = without
			continue
		}
		set = append(set, able[i])
		total += losses[able[i]]
	}
	return set, total, true
}

// reasonOf tells for whom an attempt is stopped.
func reasonOf(j *job) string {
	switch {
	case j.urgent():
		return "preempted for urgent work"
	case j.service():
		return "preempted for a service"
	}
	return "preempted for a customer below its share"
}

// giveBackBudget bounds how fast the attempts of borrowers are stopped, since
// much of what they hold comes free by itself.
type giveBackBudget struct {
	tokens float64
	at     int64
}

// left refills the budget and returns how many attempts may be stopped.
func (b *giveBackBudget) left(now int64, running int) float64 {
	burst := max(giveBackBurst, float64(running)/giveBackTime)
	if now > b.at {
		b.tokens = min(burst, b.tokens+float64(now-b.at)/1000*float64(running)/giveBackTime)
		b.at = now
	}
	return b.tokens
}

// take spends the budget on n attempts; a gang may overdraw it once.
func (b *giveBackBudget) take(n int) bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens -= float64(n)
	return true
}
