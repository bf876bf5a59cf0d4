package place

import (
	"sort"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

const (
	minShrinkReports = 3      // usage reports before an attempt is shrunk
	shrinkIntervalMs = 10_000 // run time before the first shrink, and time between a resize and the next shrink
	shrinkThreshold  = 0.9    // an attempt is shrunk only to less than this fraction of what it holds
	memoryFullRatio  = 0.95   // memory counts as full if more than this fraction is in use
	throttlePeriodMs = 5000   // time that a throttle has to take effect
	peakDecay        = 0.001  // fraction of the remembered peak dropped with each report
)

// observedUsage is the usage that a worker reported for an attempt.
type observedUsage struct {
	used, peak  worker.Resources
	reports     int
	observedAt  int64 // time of the newest report's measurement
	resizedAt   int64
	throttledAt int64
}

// SetUsage records a worker's reports of what its attempts used. It ignores reports
// older than the newest one of the attempt.
func (p *Planner) SetUsage(id string, usage []*egretmuxv1.AttemptUsage, now int64) {
	for _, u := range usage {
		a := p.attempts[u.GetAttempt()]
		if a == nil || a.host.record.GetId() != id || now-u.GetAgeMs() < a.usage.observedAt {
			continue
		}
		observed := &a.usage
		observed.used = worker.ResourcesFromProto(u.GetUsed())
		observed.used.Accelerators = a.held.Accelerators
		observed.peak = observed.peak.Scale(1 - peakDecay).Max(observed.used)
		observed.observedAt = now - u.GetAgeMs()
		observed.reports++
		p.estimator.recordUsage(a.job.task.GetSpec(), observed.used, observed.reports == 1)
		p.usageReported[a.host] = true
	}
}

// applyUsage resizes attempts with new usage reports, and throttles or stops
// attempts where a worker is overloaded.
func (r *round) applyUsage() {
	if len(r.p.usageReported) == 0 {
		return
	}
	hosts := make([]*host, 0, len(r.p.usageReported))
	for h := range r.p.usageReported {
		hosts = append(hosts, h)
	}
	clear(r.p.usageReported)
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].record.GetId() < hosts[j].record.GetId() })
	for _, h := range hosts {
		for _, a := range h.sortedAttempts() {
			r.resize(a)
		}
		r.relieveOverload(h)
	}
}

// sortedAttempts returns the host's live attempts, sorted by ID.
func (h *host) sortedAttempts() []*attempt {
	attempts := make([]*attempt, 0, len(h.live))
	for _, a := range h.live {
		attempts = append(attempts, a)
	}
	sort.Slice(attempts, func(i, j int) bool { return attempts[i].id < attempts[j].id })
	return attempts
}

// resize grows what an attempt holds at once when it uses more, and shrinks it to
// the peak usage with a margin after some time.
func (r *round) resize(a *attempt) {
	usage := &a.usage
	if usage.reports == 0 || a.phase != egretmuxv1.AttemptPhase_ATTEMPT_PHASE_RUNNING {
		return
	}
	target := a.held.Max(usage.used)
	settled := usage.reports >= minShrinkReports && a.confirmedAt > 0 && r.now-max(a.confirmedAt, usage.resizedAt) >= shrinkIntervalMs
	if settled && target == a.held {
		wanted := withMargin(usage.peak).Max(task.ResourceFloor(a.job.task.GetSpec()))
		if worthShrinking(a.held, wanted) {
			target = wanted.Min(a.held)
		}
	}
	if target == a.held {
		return
	}
	usage.resizedAt = r.now
	r.placements = append(r.placements, placement{job: a.job, host: a.host, resources: target.Minus(a.held), resize: true})
	a.host.held = a.host.held.Plus(target).Minus(a.held)
	a.job.account.held = a.job.account.held.Plus(target).Minus(a.held)
	r.p.reindex(a.host)
	r.plan.Commit.Resizes = append(r.plan.Commit.Resizes, &egretmuxv1.PlanResize{
		Task: a.job.task.GetId(), Attempt: a.id, Held: target.Proto(),
	})
}

func withMargin(used worker.Resources) worker.Resources {
	used.CPUMillis = int64(float64(used.CPUMillis) * cpuMargin)
	used.MemoryMiB = int64(float64(used.MemoryMiB) * memoryMargin)
	return used
}

func worthShrinking(held, wanted worker.Resources) bool {
	return float64(wanted.CPUMillis) < shrinkThreshold*float64(held.CPUMillis) ||
		float64(wanted.MemoryMiB) < shrinkThreshold*float64(held.MemoryMiB)
}

// relieveOverload handles two kinds of overload. Processors: the worker's attempts
// use more than it has; the attempt that most exceeds its declared size is throttled,
// then stopped if the throttle doesn't help. Memory: the attempts hold more than the
// worker has, because one grew, and use nearly all of it; the attempt that most
// exceeds its declared size is stopped at once, or the newest restartable one if none
// exceeds it. Stopped attempts are checkpointed.
func (r *round) relieveOverload(h *host) {
	var used worker.Resources
	for _, a := range h.live {
		used = used.Plus(a.usage.used)
	}
	if h.held.MemoryMiB > h.capacity.MemoryMiB && float64(used.MemoryMiB) > memoryFullRatio*float64(h.capacity.MemoryMiB) {
		r.stopForOverload(h, memoryExcess, "used more memory than it declared on a full worker")
		return
	}
	if used.CPUMillis <= h.capacity.CPUMillis {
		return
	}
	a := attemptWithMaxExcess(h, cpuExcess)
	if a == nil {
		return
	}
	if a.usage.throttledAt == 0 {
		a.usage.throttledAt = r.now
	}
	switch {
	case r.now-a.usage.throttledAt <= throttlePeriodMs: // repeated because a throttle may get lost
		r.plan.Throttles = append(r.plan.Throttles, Throttle{
			Worker: h.record.GetId(), Task: a.job.task.GetId(), Attempt: a.id,
			CPUMillis: a.job.task.GetSpec().GetResources().GetCpuMillis(),
		})
	default:
		r.stopForOverload(h, cpuExcess, "used more processors than it declared in spite of a throttle")
	}
}

// outOfMemory reports whether the host's attempts, including the one that just
// ended, nearly used up its memory.
func (h *host) outOfMemory(ended *attempt) bool {
	used := ended.usage.used.MemoryMiB
	for _, a := range h.live {
		used += a.usage.used.MemoryMiB
	}
	return float64(used) > memoryFullRatio*float64(h.capacity.MemoryMiB)
}

func cpuExcess(a *attempt) float64 {
	return fraction(a.usage.used.CPUMillis, a.job.task.GetSpec().GetResources().GetCpuMillis())
}

func memoryExcess(a *attempt) float64 {
	return fraction(a.usage.used.MemoryMiB, a.job.task.GetSpec().GetResources().GetMemoryMib())
}

// attemptWithMaxExcess returns the attempt that most exceeds its declared size, or nil.
func attemptWithMaxExcess(h *host, excess func(*attempt) float64) *attempt {
	var worst *attempt
	for _, a := range h.sortedAttempts() {
		if a.phase == egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING || excess(a) <= 1 {
			continue
		}
		if worst == nil || excess(a) > excess(worst) {
			worst = a
		}
	}
	return worst
}

// stopForOverload stops the attempt that most exceeds its declared size, or else the
// newest restartable one.
func (r *round) stopForOverload(h *host, excess func(*attempt) float64, reason string) {
	a := attemptWithMaxExcess(h, excess)
	if a == nil {
		a = newestRestartable(h)
		reason = "its worker ran out of room that had been given back"
	}
	if a == nil || r.stops[a.id] {
		return
	}
	r.stops[a.id] = true
	r.plan.Commit.Stops = append(r.plan.Commit.Stops, &egretmuxv1.PlanStop{
		Task: a.job.task.GetId(), Attempt: a.id, Checkpoint: true, Reason: reason,
	})
}

func newestRestartable(h *host) *attempt {
	var newest *attempt
	for _, a := range h.sortedAttempts() {
		if a.phase != egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING && task.Restartable(a.job.task.GetSpec()) && !a.job.isService() {
			newest = a
		}
	}
	return newest
}
