package place

import (
	"sort"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
)

const (
	quarantineThreshold = 3       // a worker with this evidenceCount is quarantined
	firstProbeDelayMs   = 10_000  // from the quarantine to the first probe
	maxProbeDelayMs     = 600_000 // bound of the backoff between probes
	releaseAfterMs      = 300_000 // time in quarantine after which a worker without a probe is released
	maxKeptFailures     = 16      // of one worker
	maxFailedWorkloads  = 5000    // workloads with failures; beyond that, all of them are forgotten
	minSpareFailures    = 2       // failures that a task must have left to be used as a probe

	// A worker released without a probe starts with placeholder failures, so that one
	// more failure that counts as evidence quarantines it again.
	probationFailures = quarantineThreshold - 1
	probationTask     = 0 // task ID that marks placeholder failures

	quarantineReason = "fails what it starts"
)

// failure is one failed attempt on a worker.
type failure struct {
	task     uint64
	member   int32
	workload workloadKey
}

// health holds a worker's recent failures and the state of its quarantine.
type health struct {
	failures      []failure // since its last success
	probeAt       int64     // earliest next probe
	probeDelayMs  int64
	quarantinedAt int64 // 0: not set by this leader
}

func (h *health) failureCount() int { return len(h.failures) }

func (h *health) hasFailedTask(id uint64) bool {
	for _, f := range h.failures {
		if f.task == id {
			return true
		}
	}
	return false
}

// failedOn records the workers that a workload has failed on.
type failedOn struct {
	workers map[workloadKey]map[string]bool
}

func newFailedOn() failedOn { return failedOn{workers: make(map[workloadKey]map[string]bool)} }

func (p *Planner) recordSuccess(a *attempt) {
	a.host.health.failures = nil
	if p.quarantined[a.host] {
		a.host.health.probeAt = 0
		p.hostsToRelease = append(p.hostsToRelease, a.host)
	}
}

func (p *Planner) recordFailure(a *attempt, now int64) {
	if a.host.outOfMemory(a) {
		return // neither the worker nor the work is to blame
	}
	f := failure{a.job.task.GetId(), a.member, a.job.workload()}
	if len(p.failedOn.workers) > maxFailedWorkloads {
		p.failedOn = newFailedOn()
	}
	if p.failedOn.workers[f.workload] == nil {
		p.failedOn.workers[f.workload] = make(map[string]bool)
	}
	p.failedOn.workers[f.workload][a.host.record.GetId()] = true
	h := &a.host.health
	if len(h.failures) >= maxKeptFailures {
		h.failures = h.failures[1:]
	}
	h.failures = append(h.failures, f)
	p.failing[a.host] = true
	if p.quarantined[a.host] {
		h.probeDelayMs = min(2*h.probeDelayMs, maxProbeDelayMs)
		h.probeAt = now + h.probeDelayMs
	}
}

// evidenceCount counts failures that point to the worker rather than to the work:
// one for each failed member of a workload that has succeeded before, and half for
// each workload that has failed on no other worker. A workload that fails on
// several workers and has never succeeded is itself to blame.
func (p *Planner) evidenceCount(h *host) int {
	type member struct {
		task   uint64
		member int32
	}
	members := make(map[member]bool)
	names := make(map[workloadKey]bool)
	for _, f := range h.health.failures {
		switch {
		case f.task == probationTask || p.estimator.succeeded[f.workload]:
			members[member{f.task, f.member}] = true
		case len(p.failedOn.workers[f.workload]) == 1:
			names[f.workload] = true
		}
	}
	return len(members) + len(names)/2
}

// updateQuarantine quarantines failing workers, and probes and releases
// quarantined ones.
func (r *round) updateQuarantine() {
	for _, h := range r.p.hostsToRelease {
		r.setPhase(h, egretmuxv1.WorkerPhase_WORKER_PHASE_READY, "a probe succeeded")
	}
	r.p.hostsToRelease = nil
	for _, h := range r.p.suspects() {
		if r.p.quarantined[h] {
			r.probeOrRelease(h)
			continue
		}
		if h.availability() == Accepts && r.p.evidenceCount(h) >= quarantineThreshold {
			h.health.probeDelayMs = firstProbeDelayMs
			h.health.probeAt = r.now + firstProbeDelayMs
			h.health.quarantinedAt = r.now
			r.setPhase(h, egretmuxv1.WorkerPhase_WORKER_PHASE_QUARANTINED, quarantineReason)
		}
	}
}

// suspects returns the workers with recent failures or in quarantine, sorted by ID.
func (p *Planner) suspects() []*host {
	var out []*host
	for h := range p.quarantined {
		out = append(out, h)
	}
	for h := range p.failing {
		if len(h.health.failures) == 0 {
			delete(p.failing, h)
		} else if !p.quarantined[h] {
			out = append(out, h)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].record.GetId() < out[j].record.GetId() })
	return out
}

func (r *round) setPhase(h *host, phase egretmuxv1.WorkerPhase, reason string) {
	r.plan.Phases = append(r.plan.Phases, &egretmuxv1.SetWorkerPhase{
		Worker: h.record.GetId(), Epoch: h.record.GetEpoch(), Phase: phase, Reason: reason,
	})
}

// probeOrRelease starts a due probe on an idle worker, or releases the worker if
// none was found in releaseAfterMs, or it is not idle, as attempts that were there
// before or a probe may go on for good.
func (r *round) probeOrRelease(h *host) {
	state := &h.health
	if state.quarantinedAt == 0 { // quarantined under an earlier leader
		state.quarantinedAt, state.probeDelayMs, state.probeAt = r.now, firstProbeDelayMs, r.now+firstProbeDelayMs
	}
	if r.now < state.probeAt {
		return
	}
	if len(h.live) == 0 { // the state accepts no second attempt
		if j := r.findProbe(h); j != nil {
			state.probeAt = r.now + state.probeDelayMs
			r.placeMember(j, h)
			j.account.dequeue(j)
			r.dequeuedJobs = append(r.dequeuedJobs, j)
			return
		}
	}
	if r.now-state.quarantinedAt > releaseAfterMs {
		state.quarantinedAt = 0
		state.failures = nil
		for i := range int32(probationFailures) {
			state.failures = append(state.failures, failure{task: probationTask, member: i})
		}
		r.setPhase(h, egretmuxv1.WorkerPhase_WORKER_PHASE_READY, "released without a probe")
	}
}

// findProbe returns a queued job that may fail on the host without harm, or nil.
func (r *round) findProbe(h *host) *job {
	for _, a := range r.p.accountsByName {
		for i, g := range a.queue {
			if i >= backfillDepth {
				break
			}
			j := g.jobs[0]
			if !j.isGang() && !j.isUrgent() && r.placedMembers[j] == 0 && j.need.Fits(h.free()) && toleratesFailure(j) && a.quotaAllowsMore(j.need) {
				return j
			}
		}
	}
	return nil
}

func toleratesFailure(j *job) bool {
	if j.isService() {
		return true
	}
	failed := int32(0)
	for _, n := range j.task.GetFailures() {
		failed = max(failed, n)
	}
	return j.task.GetSpec().GetIdempotent() && task.MaxFailures(j.task.GetSpec())-failed >= minSpareFailures
}
