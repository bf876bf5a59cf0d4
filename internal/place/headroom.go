package place

import "github.com/egretmux/egretmux/internal/worker"

const (
	headroomHalf   = 60_000 // milliseconds in which the remembered peak of urgent work halves
	headroomFactor = 1.25   // of the peak that is kept free
)

// headroom keeps room free for the urgent work that is to be expected, so that
// it seldom has to preempt: what urgent work held at its recent peak, less what
// it holds now.
type headroom struct {
	peak worker.Resources
	at   int64
	held worker.Resources // by live urgent attempts
}

// observe takes in what urgent work holds and waits for.
func (x *headroom) observe(demand worker.Resources, now int64) {
	if dt := now - x.at; x.at > 0 && dt > 0 {
		x.peak = x.peak.Scale(max(0, 1-0.7*float64(min(dt, headroomHalf))/headroomHalf))
	}
	x.at = now
	x.peak = x.peak.Max(demand)
}

// free returns what must stay free in the cell beside other work.
func (x *headroom) free() worker.Resources {
	left := x.peak.Scale(headroomFactor).Minus(x.held)
	left.Accelerators = 0
	return left.Max(worker.Resources{})
}

// startHeadroom works out the headroom and the free room of the cell for a round.
func (r *round) startHeadroom() {
	demand := r.p.urgent.held
	held := worker.Resources{}
	for _, a := range r.p.order {
		held = held.Plus(a.held)
		demand = demand.Plus(a.urgent)
	}
	r.p.urgent.observe(demand, r.now)
	r.keep = r.p.urgent.free()
	r.free = r.p.total.Minus(held)
}

// leavesHeadroom reports whether the cell keeps room for urgent work beside
// that much more of other work.
func (r *round) leavesHeadroom(j *job, n int64) bool {
	if j.tier != tierBatch || len(j.claims) > 0 {
		return true
	}
	left := r.free.Minus(j.need.Times(n))
	return left.CPUMillis >= r.keep.CPUMillis && left.MemoryMiB >= r.keep.MemoryMiB
}
