package place

import (
	"sort"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

const (
	shrinkReports  = 3      // usage reports before room is given back
	shrinkAfter    = 10_000 // milliseconds of running before room is given back, and between two changes
	shrinkPart     = 0.9    // what is held shrinks only to less than this part
	memoryFullPart = 0.95   // of a worker's memory in use from which an over-user is stopped
	throttlePeriod = 5000   // milliseconds that a throttle is given to work
	agePart        = 0.001  // of a use taken off the remembered peak with each report
)

// observed is what an attempt was seen to use.
type observed struct {
	used, peak worker.Resources
	reports    int
	at         int64 // of the newest report's observation
	resized    int64
	throttled  int64
}

// SetUsage takes in a worker's reports of what its attempts used some time ago.
// Reports that arrive out of order are left out.
func (p *Planner) SetUsage(id string, usage []*egretmuxv1.AttemptUsage, now int64) {
	for _, u := range usage {
		r := p.running[u.GetAttempt()]
		if r == nil || r.host.record.GetId() != id || now-u.GetAgeMs() < r.observed.at {
			continue
		}
		o := &r.observed
		o.used = worker.ResourcesFromProto(u.GetUsed())
		o.used.Accelerators = r.held.Accelerators
		o.peak = o.peak.Scale(1 - agePart).Max(o.used)
		o.at = now - u.GetAgeMs()
		o.reports++
		p.learn.saw(r.job.task.GetSpec(), o.used, o.reports == 1)
		p.dirty[r.host] = true
	}
}

// observe resizes what attempts hold and acts against those that use more than
// they declared where a worker runs out of room.
func (r *round) observe() {
	if len(r.p.dirty) == 0 {
		return
	}
	hosts := make([]*host, 0, len(r.p.dirty))
	for h := range r.p.dirty {
		hosts = append(hosts, h)
	}
	clear(r.p.dirty)
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].record.GetId() < hosts[j].record.GetId() })
	for _, h := range hosts {
		for _, x := range h.attempts() {
			r.resize(x)
		}
		r.relieve(h)
	}
}

// attempts returns the host's live attempts by number.
func (h *host) attempts() []*running {
	out := make([]*running, 0, len(h.live))
	for _, x := range h.live {
		out = append(out, x)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

// resize lets an attempt hold what it uses with headroom, and at once as much
// as it uses when that is more than it holds.
func (r *round) resize(x *running) {
	o := &x.observed
	if o.reports == 0 || x.phase != egretmuxv1.AttemptPhase_ATTEMPT_PHASE_RUNNING {
		return
	}
	target := x.held.Max(o.used)
	settled := o.reports >= shrinkReports && x.began > 0 && r.now-max(x.began, o.resized) >= shrinkAfter
	if settled && target == x.held {
		wanted := withHeadroom(o.peak).Max(task.ResourceFloor(x.job.task.GetSpec()))
		if shrinks(x.held, wanted) {
			target = wanted.Min(x.held)
		}
	}
	if target == x.held {
		return
	}
	o.resized = r.now
	r.placed = append(r.placed, placement{job: x.job, host: x.host, room: target.Minus(x.held), resize: true})
	x.host.held = x.host.held.Plus(target).Minus(x.held)
	x.job.account.held = x.job.account.held.Plus(target).Minus(x.held)
	r.p.reindex(x.host)
	r.plan.Commit.Resizes = append(r.plan.Commit.Resizes, &egretmuxv1.PlanResize{
		Task: x.job.task.GetId(), Attempt: x.id, Held: target.Proto(),
	})
}

func withHeadroom(r worker.Resources) worker.Resources {
	r.CPUMillis = int64(float64(r.CPUMillis) * cpuHeadroom)
	r.MemoryMiB = int64(float64(r.MemoryMiB) * memoryHeadroom)
	return r
}

func shrinks(held, wanted worker.Resources) bool {
	return float64(wanted.CPUMillis) < shrinkPart*float64(held.CPUMillis) ||
		float64(wanted.MemoryMiB) < shrinkPart*float64(held.MemoryMiB)
}

// relieve acts where the attempts of a worker use more than it has, or are about
// to: they hold more than its memory after an attempt outgrew its room. The one
// that most exceeds what it declared is throttled, then checkpointed and
// stopped. Only where all keep to what they declared does the newest one go.
func (r *round) relieve(h *host) {
	var used worker.Resources
	for _, x := range h.live {
		used = used.Plus(x.observed.used)
	}
	if h.held.MemoryMiB > h.capacity.MemoryMiB && float64(used.MemoryMiB) > memoryFullPart*float64(h.capacity.MemoryMiB) {
		r.stopOverUser(h, memoryExcess, "used more memory than it declared on a full worker")
		return
	}
	if used.CPUMillis <= h.capacity.CPUMillis {
		return
	}
	x := worst(h, cpuExcess)
	if x == nil {
		return
	}
	if x.observed.throttled == 0 {
		x.observed.throttled = r.now
	}
	switch {
	case r.now-x.observed.throttled <= throttlePeriod: // repeated, since a throttle may get lost
		r.plan.Throttles = append(r.plan.Throttles, Throttle{
			Worker: h.record.GetId(), Task: x.job.task.GetId(), Attempt: x.id,
			CPUMillis: x.job.task.GetSpec().GetResources().GetCpuMillis(),
		})
	default:
		r.stopOverUser(h, cpuExcess, "used more processors than it declared in spite of a throttle")
	}
}

// outOfMemory reports whether the host's attempts, the one that just ended
// included, were seen to use its memory up.
func (h *host) outOfMemory(ended *running) bool {
	used := ended.observed.used.MemoryMiB
	for _, x := range h.live {
		used += x.observed.used.MemoryMiB
	}
	return float64(used) > memoryFullPart*float64(h.capacity.MemoryMiB)
}

func cpuExcess(x *running) float64 {
	return share(x.observed.used.CPUMillis, x.job.task.GetSpec().GetResources().GetCpuMillis())
}

func memoryExcess(x *running) float64 {
	return share(x.observed.used.MemoryMiB, x.job.task.GetSpec().GetResources().GetMemoryMib())
}

// worst returns the attempt that most exceeds its declared size, or nil.
func worst(h *host, excess func(*running) float64) *running {
	var out *running
	for _, x := range h.attempts() {
		if x.phase == egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING || excess(x) <= 1 {
			continue
		}
		if out == nil || excess(x) > excess(out) {
			out = x
		}
	}
	return out
}

func (r *round) stopOverUser(h *host, excess func(*running) float64, reason string) {
	x := worst(h, excess)
	if x == nil {
		x = newestRestartable(h)
		reason = "its worker ran out of room that had been given back"
	}
	if x == nil || r.stops[x.id] {
		return
	}
	r.stops[x.id] = true
	r.plan.Commit.Stops = append(r.plan.Commit.Stops, &egretmuxv1.PlanStop{
		Task: x.job.task.GetId(), Attempt: x.id, Checkpoint: true, Reason: reason,
	})
}

func newestRestartable(h *host) *running {
	var out *running
	for _, x := range h.attempts() {
		if x.phase != egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING && task.Restartable(x.job.task.GetSpec()) && !x.job.service() {
			out = x
		}
	}
	return out
}
