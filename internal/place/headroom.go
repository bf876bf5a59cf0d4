package place

import "github.com/egretmux/egretmux/internal/worker"

const (
	headroomHalfLifeMs = 60_000 // half-life of the remembered peak of urgent work
	headroomFactor     = 1.25   // resources kept free, relative to the peak
)

// headroom is what is kept free for expected urgent work, so that it seldom has to
// preempt: the recent peak of urgent demand less what urgent work holds now.
type headroom struct {
	peak      worker.Resources
	updatedAt int64
	held      worker.Resources // by live urgent attempts
}

// observeDemand updates the peak with what urgent work holds and waits for. The
// decay is linear within one step; 0.7 is about ln 2.
func (h *headroom) observeDemand(demand worker.Resources, now int64) {
	if dt := now - h.updatedAt; h.updatedAt > 0 && dt > 0 {
		h.peak = h.peak.Scale(max(0, 1-0.7*float64(min(dt, headroomHalfLifeMs))/headroomHalfLifeMs))
	}
	h.updatedAt = now
	h.peak = h.peak.Max(demand)
}

// required returns the resources that batch work must leave free in the cell.
func (h *headroom) required() worker.Resources {
	required := h.peak.Scale(headroomFactor).Minus(h.held)
	required.Accelerators = 0
	return required.Max(worker.Resources{})
}

// computeHeadroom computes the required headroom and the cell's free resources.
func (r *round) computeHeadroom() {
	demand := r.p.headroom.held
	held := worker.Resources{}
	for _, a := range r.p.accountsByName {
		held = held.Plus(a.held)
		demand = demand.Plus(a.queuedUrgent)
	}
	r.p.headroom.observeDemand(demand, r.now)
	r.headroom = r.p.headroom.required()
	r.freeResources = r.p.total.Minus(held)
}

// leavesHeadroom reports whether the headroom stays free if n more members of the
// job start. Only batch work without claims has to leave it.
func (r *round) leavesHeadroom(j *job, n int64) bool {
	if j.tier != tierBatch || len(j.claims) > 0 {
		return true
	}
	left := r.freeResources.Minus(j.need.Times(n))
	return left.CPUMillis >= r.headroom.CPUMillis && left.MemoryMiB >= r.headroom.MemoryMiB
}
