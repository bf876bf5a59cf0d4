package place

import (
	"sort"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
)

const (
	reclaimWaitMs         = 5000    // wait of a customer below its share before it preempts borrowers
	reclaimPeriodSec      = 30      // shortest time in which all running attempts may be preempted for shares
	minReclaimBurst       = 4       // lower bound of the reclaim budget's burst, in attempts
	minBorrowerRunMs      = 5000    // run time of a borrower's attempt before it may be stopped
	maxHostsPerSearch     = 128     // hosts examined for one member once victims were found
	preemptRetryMs        = 500     // pause of a job after a search that found too few victims
	maxVisitsPerRound     = 600     // hosts examined in one round for jobs that are not urgent
	maxSearchesPerRound   = 4       // searches of one round after which only urgent jobs search
	maxPreemptsPerRound   = 24      // attempts stopped in one round
	restartLossMs         = 2000    // cost of a checkpoint and a restart
	missedDeadlineLossMs  = 600_000 // added for victims that would miss their deadline
	withinShareLossMs     = 60_000  // added for victims of another customer below its share
	checkpointLossDivisor = 20      // a checkpoint may lose 1/20 of the run time since the start
)

// mayPreempt reports whether the job may stop others now, and sets r.rescuing.
func (r *round) mayPreempt(j *job) bool {
	r.rescuing = false
	if j.isUrgent() || j.isService() {
		return true
	}
	if r.rescuing = r.needsRescue(j); r.rescuing {
		return true
	}
	if r.p.reclaimBudget.refill(r.now, len(r.p.attempts)) < 1 {
		return false
	}
	after := j.account.held.Plus(j.need).DominantShare(r.p.total)
	return after <= j.account.share && r.now-j.waitingSince >= reclaimWaitMs
}

// rescueSlackMs is the slack below which a job may stop work that can wait.
const rescueSlackMs = 3000

// needsRescue reports whether the job misses its deadline unless it starts soon.
func (r *round) needsRescue(j *job) bool { return r.slack(j) < rescueSlackMs }

// canWait reports whether the attempt may be stopped without its job missing a
// deadline.
func (r *round) canWait(a *attempt) bool {
	deadline := a.job.task.GetSpec().GetDeadlineUnixMs()
	left := a.remaining(r.now, r.p.estimator.runTime(a.job.task.GetSpec()).cautiousMs)
	return (deadline == 0 || deadline-r.now-left > 2*ampleSlackMs) && a.confirmedAt > 0 && r.now-a.confirmedAt >= minBorrowerRunMs
}

// mayStop reports whether the attempt may be stopped in favour of the job.
func (r *round) mayStop(j *job, a *attempt) bool {
	if a.phase == egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING || r.stops[a.id] || a.job == j {
		return false
	}
	if a.job.isUrgent() || a.job.isService() || !task.Restartable(a.job.task.GetSpec()) {
		return false
	}
	own := a.job.account == j.account
	switch {
	case j.isUrgent():
		return own || r.p.overShare(a.job.account) || !r.p.overShare(j.account)
	case j.isService():
		return own || r.p.overShare(a.job.account)
	}
	if r.rescuing && (own || r.p.overShare(a.job.account)) && r.canWait(a) {
		return own || !r.p.overShare(j.account)
	}
	return !own && !r.p.overShare(j.account) && r.p.overShare(a.job.account) && a.confirmedAt > 0 && r.now-a.confirmedAt >= minBorrowerRunMs
}

// stopLoss estimates the cost of stopping the attempt, in milliseconds.
func (r *round) stopLoss(j *job, a *attempt) int64 {
	ranMs := int64(0)
	if a.confirmedAt > 0 {
		ranMs = r.now - a.confirmedAt
	}
	loss := restartLossMs + ranMs/checkpointLossDivisor
	left := a.remaining(r.now, r.p.estimator.runTime(a.job.task.GetSpec()).likelyMs)
	if deadline := a.job.task.GetSpec().GetDeadlineUnixMs(); deadline > 0 && r.now+left+2*restartLossMs > deadline {
		loss += missedDeadlineLossMs
	}
	if a.job.account != j.account && !r.p.overShare(a.job.account) {
		loss += withinShareLossMs
	}
	if a.job.isGang() {
		loss *= int64(len(a.job.live))
	}
	return loss
}

// preempt claims room for the job's members and stops the victims there. For a
// gang it claims room for all members or stops nothing. It reports whether the job
// has all the claims it needs.
func (r *round) preempt(j *job, members int) bool {
	firstNew := len(j.claims)
	var stops []*attempt
	for len(j.claims) < members {
		if !j.isUrgent() && r.visitedHosts > maxVisitsPerRound {
			break
		}
		h, victims := r.cheapestHost(j)
		if h == nil || len(r.stops)+len(victims) > maxPreemptsPerRound {
			break
		}
		if len(victims) == 0 && !r.leavesHeadroom(j, int64(members)) {
			break
		}
		if !j.isUrgent() && !j.isService() && len(victims) > 0 && !r.p.reclaimBudget.spend(len(victims)) {
			break
		}
		r.p.addClaim(j, h, r.now+claimDurationMs)
		for _, a := range victims {
			r.stops[a.id] = true
		}
		stops = append(stops, victims...)
	}
	if j.isGang() && len(j.claims) < members {
		r.rollbackClaims(j, firstNew, stops)
		return false
	}
	for _, a := range stops {
		r.plan.Commit.Stops = append(r.plan.Commit.Stops, &egretmuxv1.PlanStop{
			Task: a.job.task.GetId(), Attempt: a.id, Checkpoint: true, Reason: stopReason(j),
		})
	}
	return len(j.claims) >= members
}

// rollbackClaims undoes the claims after the first n and the stops for them.
func (r *round) rollbackClaims(j *job, n int, stops []*attempt) {
	for _, a := range stops {
		delete(r.stops, a.id)
	}
	for i := n; i < len(j.claims); i++ {
		r.p.releaseClaim(&j.claims[i])
	}
	j.claims = j.claims[:n]
	if n == 0 {
		delete(r.p.claimants, j.task.GetId())
	}
}

// cheapestHost returns the host where room for a member costs the least loss, and
// the victims there. It returns nil if there is none.
func (r *round) cheapestHost(j *job) (*host, []*attempt) {
	var best *host
	var victims []*attempt
	leastLoss := int64(0)
	n := len(r.p.hostNames)
	for i := range n {
		if best != nil && i >= maxHostsPerSearch {
			break
		}
		h := r.p.hosts[r.p.hostNames[(i+r.p.rotation*maxHostsPerSearch)%n]]
		if status := h.availability(); status != Accepts || !j.need.Fits(h.capacity) || h.reserved != nil && h.reserved != j {
			continue
		}
		r.visitedHosts++
		hostVictims, loss, ok := r.victimsOn(j, h)
		if ok && (best == nil || loss < leastLoss) {
			best, victims, leastLoss = h, hostVictims, loss
		}
	}
	return best, victims
}

// victimsOn returns the attempts to stop on the host for one more member, their
// loss, and whether that makes enough room. Cheap victims go first; those that
// turn out not to be needed are spared.
func (r *round) victimsOn(j *job, h *host) ([]*attempt, int64, bool) {
	free := h.free()
	candidates := r.candidates[:0]
	for _, a := range h.live {
		if a.phase == egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING || r.stops[a.id] {
			free = free.Plus(a.held)
		} else if r.mayStop(j, a) {
			candidates = append(candidates, a)
		}
	}
	r.candidates = candidates
	if j.need.Fits(free) {
		return nil, 0, true
	}
	reclaimable := free
	for _, a := range candidates {
		reclaimable = reclaimable.Plus(a.held)
	}
	if !j.need.Fits(reclaimable) {
		return nil, 0, false
	}
	losses := make(map[*attempt]int64, len(candidates))
	for _, a := range candidates {
		losses[a] = r.stopLoss(j, a)
	}
	sort.Slice(candidates, func(a, b int) bool {
		if losses[candidates[a]] != losses[candidates[b]] {
			return losses[candidates[a]] < losses[candidates[b]]
		}
		return candidates[a].id < candidates[b].id
	})
	n := 0
	for n < len(candidates) && !j.need.Fits(free) {
		free = free.Plus(candidates[n].held)
		n++
	}
	if !j.need.Fits(free) {
		return nil, 0, false
	}
	var victims []*attempt
	total := int64(0)
	for i := n - 1; i >= 0; i-- {
		if without := free.Minus(candidates[i].held); j.need.Fits(without) {
			free = without
			continue
		}
		victims = append(victims, candidates[i])
		total += losses[candidates[i]]
	}
	return victims, total, true
}

// stopReason returns the recorded reason of a stop in favour of the job.
func stopReason(j *job) string {
	switch {
	case j.isUrgent():
		return "preempted for urgent work"
	case j.isService():
		return "preempted for a service"
	}
	return "preempted for a customer below its share"
}

// reclaimBudget is a token bucket that limits how fast attempts of borrowers are
// stopped, since much of their room becomes free without it.
type reclaimBudget struct {
	tokens     float64
	refilledAt int64
}

// refill adds the tokens for the time passed and returns how many attempts may be
// stopped.
func (b *reclaimBudget) refill(now int64, running int) float64 {
	burst := max(minReclaimBurst, float64(running)/reclaimPeriodSec)
	if now > b.refilledAt {
		b.tokens = min(burst, b.tokens+float64(now-b.refilledAt)/1000*float64(running)/reclaimPeriodSec)
		b.refilledAt = now
	}
	return b.tokens
}

// spend takes n tokens if there is at least one. It may leave the bucket negative,
// so that a gang can be preempted for as a whole.
func (b *reclaimBudget) spend(n int) bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens -= float64(n)
	return true
}
