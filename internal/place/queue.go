package place

import "math"

// position is where an account stands in the order of a round.
type position struct {
	head  *job
	over  bool
	ratio float64 // of the dominant share held to the share due
	slack int64   // milliseconds until the head must start; noSlack when it is not urgent to know
}

const (
	criticalSlack = 20_000        // milliseconds; less is left only to work that is about to miss its deadline
	easySlack     = 45_000        // milliseconds; work with more can yield
	noDeadline    = math.MaxInt64 // slack of work without a deadline
)

// critical reports whether the head is about to miss a deadline that it can meet.
func (p *position) critical() bool { return p.slack < criticalSlack }

// easy reports whether the head has a deadline and time to spare.
func (p *position) easy() bool { return p.slack > easySlack && p.slack != noDeadline }

// lateMs is added to the deadline of work that can no longer meet it: work that
// can still meet its own goes first, but not for ever.
const lateMs = 300_000

// keyNow returns the job's key with the present time taken into account.
func (p *Planner) keyNow(j *job, now int64) (tier, int64) {
	t, startBy := p.keyOf(j)
	if t == tierBatch && p.hopeless(j, now) {
		return t, j.task.GetSpec().GetDeadlineUnixMs() + lateMs
	}
	return t, startBy
}

// hopeless reports whether the job ends after its deadline even if it starts now.
func (p *Planner) hopeless(j *job, now int64) bool {
	deadline := j.task.GetSpec().GetDeadlineUnixMs()
	return deadline > 0 && now+p.likely(j) > deadline
}

// nextAccount returns the customer whose head is placed next, or nil.
func (r *round) nextAccount() *account {
	var best *account
	var at *position
	for _, a := range r.p.order {
		if len(a.queue) == 0 || r.misses[a] >= backfillDepth {
			continue
		}
		p := r.parts[a]
		if p == nil {
			p = r.position(a)
			r.parts[a] = p
		}
		if best == nil || p.before(at) {
			best, at = a, p
		}
	}
	return best
}

func (r *round) position(a *account) *position {
	held := a.held.DominantShare(r.p.total)
	j := r.head(a)
	return &position{head: j, over: held >= a.share, ratio: held / max(a.share, minShare), slack: r.slack(j)}
}

// slack returns how long the job can still wait. Work that will be late anyway
// has as much as work without a deadline.
func (r *round) slack(j *job) int64 {
	if j.task.GetSpec().GetDeadlineUnixMs() == 0 || r.p.hopeless(j, r.now) {
		return noDeadline
	}
	return j.startBy - r.now
}

// minShare stands for the share of customers that have none when they are
// compared with each other.
const minShare = 1e-6

// before orders customers: urgent work first, then those below their share by
// the least slack, then the others by how far they are above it.
func (p *position) before(o *position) bool {
	pu, ou := p.head.tier == tierUrgent, o.head.tier == tierUrgent
	if pu != ou {
		return pu
	}
	if p.over != o.over {
		if p.over && p.critical() && o.easy() {
			return true
		}
		if o.over && o.critical() && p.easy() {
			return false
		}
		return !p.over
	}
	if p.over && p.critical() != o.critical() {
		return p.critical()
	}
	if p.over && p.ratio != o.ratio {
		return p.ratio < o.ratio
	}
	return p.head.before(o.head)
}
