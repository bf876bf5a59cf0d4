package place

import "math"

// accountRank is the sort key of an account in a round.
type accountRank struct {
	head       *job    // first job of the queue
	overShare  bool    // it holds its share or more
	shareRatio float64 // held dominant share relative to the contracted share
	slack      int64   // milliseconds until the head must start, or unlimitedSlack
}

const (
	criticalSlackMs = 20_000        // below it, work is about to miss its deadline
	ampleSlackMs    = 45_000        // above it, work can yield
	unlimitedSlack  = math.MaxInt64 // of work without a deadline
)

// isCritical reports whether the head is about to miss a deadline that it can
// still meet.
func (r *accountRank) isCritical() bool { return r.slack < criticalSlackMs }

// hasSlack reports whether the head has a deadline and time to spare.
func (r *accountRank) hasSlack() bool { return r.slack > ampleSlackMs && r.slack != unlimitedSlack }

// latePenaltyMs is added to the deadline of work that can no longer meet it, so
// that work that still can goes first, but only for a bounded time.
const latePenaltyMs = 300_000

// currentKey returns the job's queue key; work that can no longer meet its deadline
// has a later one.
func (p *Planner) currentKey(j *job, now int64) (tier, int64) {
	t, startBy := p.queueKey(j)
	if t == tierBatch && p.cannotMeetDeadline(j, now) {
		return t, j.task.GetSpec().GetDeadlineUnixMs() + latePenaltyMs
	}
	return t, startBy
}

// cannotMeetDeadline reports whether the job will probably miss its deadline even
// if it starts now.
func (p *Planner) cannotMeetDeadline(j *job, now int64) bool {
	deadline := j.task.GetSpec().GetDeadlineUnixMs()
	return deadline > 0 && now+p.likelyRemaining(j) > deadline
}

// nextAccount returns the account whose head is to be placed next, or nil.
func (r *round) nextAccount() *account {
	var best *account
	var bestRank *accountRank
	for _, a := range r.p.accountsByName {
		if len(a.queue) == 0 || r.accountMisses[a] >= backfillDepth {
			continue
		}
		rank := r.accountRanks[a]
		if rank == nil {
			rank = r.rankAccount(a)
			r.accountRanks[a] = rank
		}
		if best == nil || rank.before(bestRank) {
			best, bestRank = a, rank
		}
	}
	return best
}

func (r *round) rankAccount(a *account) *accountRank {
	held := a.held.DominantShare(r.p.total)
	j := r.refreshedHead(a)
	return &accountRank{head: j, overShare: held >= a.share, shareRatio: held / max(a.share, minShare), slack: r.slack(j)}
}

// slack returns how many milliseconds the job can still wait. It is unlimited for
// work without a deadline and for work that misses its deadline anyway.
func (r *round) slack(j *job) int64 {
	if j.task.GetSpec().GetDeadlineUnixMs() == 0 || r.p.cannotMeetDeadline(j, r.now) {
		return unlimitedSlack
	}
	return j.startBy - r.now
}

// minShare is the divisor in place of a smaller share, such as that of a customer
// without a contract.
const minShare = 1e-6

// before orders accounts: those with urgent work, then those below their share in
// queue order, then the others. Of the others, critical ones go first, even
// before accounts below their share whose head has slack; the rest are ordered by
// shareRatio.
func (r *accountRank) before(other *accountRank) bool {
	urgent, otherUrgent := r.head.tier == tierUrgent, other.head.tier == tierUrgent
	if urgent != otherUrgent {
		return urgent
	}
	if r.overShare != other.overShare {
		if r.overShare && r.isCritical() && other.hasSlack() {
			return true
		}
		if other.overShare && other.isCritical() && r.hasSlack() {
			return false
		}
		return !r.overShare
	}
	if r.overShare && r.isCritical() != other.isCritical() {
		return r.isCritical()
	}
	if r.overShare && r.shareRatio != other.shareRatio {
		return r.shareRatio < other.shareRatio
	}
	return r.head.before(other.head)
}
