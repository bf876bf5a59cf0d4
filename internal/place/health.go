package place

import (
	"sort"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
)

const (
	quarantineAt   = 3       // pieces of evidence against a worker
	probeFirst     = 10_000  // milliseconds until the first probe
	probeLongest   = 600_000 // milliseconds between probes at most
	releaseAfter   = 300_000 // milliseconds after which a worker that found no probe is released
	keptFailures   = 16      // of one worker
	maxBlamedKeys  = 5000
	spareFailures  = 2 // failures that a probing task must have left
	strikesAfter   = quarantineAt - 1
	probationTask  = 0 // stands for the evidence kept after a release without a probe
	reasonFailsAll = "fails what it starts"
)

// failure is one failed attempt on a worker.
type failure struct {
	task   uint64
	member int32
	key    learnKey
}

// health is what is known against one worker since its last success.
type health struct {
	failures   []failure
	probeAt    int64
	probeDelay int64
	since      int64 // quarantined since
}

func (h *health) recent() int { return len(h.failures) }

func (h *health) failedJob(id uint64) bool {
	for _, f := range h.failures {
		if f.task == id {
			return true
		}
	}
	return false
}

// blame records on which workers the tasks of a name failed.
type blame struct {
	hosts map[learnKey]map[string]bool
}

func newBlame() blame { return blame{hosts: make(map[learnKey]map[string]bool)} }

func (p *Planner) noteSuccess(r *running) {
	r.host.health.failures = nil
	if p.sick[r.host] {
		r.host.health.probeAt = 0
		p.recovered = append(p.recovered, r.host)
	}
}

func (p *Planner) noteFailure(r *running, now int64) {
	if r.host.outOfMemory(r) {
		return // neither the worker nor the work is to blame
	}
	f := failure{r.job.task.GetId(), r.member, r.job.key()}
	if len(p.blame.hosts) > maxBlamedKeys {
		p.blame = newBlame()
	}
	if p.blame.hosts[f.key] == nil {
		p.blame.hosts[f.key] = make(map[string]bool)
	}
	p.blame.hosts[f.key][r.host.record.GetId()] = true
	h := &r.host.health
	if len(h.failures) >= keptFailures {
		h.failures = h.failures[1:]
	}
	h.failures = append(h.failures, f)
	p.failing[r.host] = true
	if p.sick[r.host] {
		h.probeDelay = min(2*h.probeDelay, probeLongest)
		h.probeAt = now + h.probeDelay
	}
}

// evidence counts what speaks against the worker and not against the work: each
// member of work that has succeeded before and, as half as much, each name of
// work that has failed nowhere else. Work that fails on several workers and
// succeeds on none is itself to blame.
func (p *Planner) evidence(h *host) int {
	type member struct {
		task   uint64
		member int32
	}
	members := make(map[member]bool)
	names := make(map[learnKey]bool)
	for _, f := range h.health.failures {
		switch {
		case f.task == probationTask || p.learn.succeeded[f.key]:
			members[member{f.task, f.member}] = true
		case len(p.blame.hosts[f.key]) == 1:
			names[f.key] = true
		}
	}
	return len(members) + len(names)/2
}

// tendQuarantine quarantines workers, probes them and releases them.
func (r *round) tendQuarantine() {
	for _, h := range r.p.recovered {
		r.setPhase(h, egretmuxv1.WorkerPhase_WORKER_PHASE_READY, "a probe succeeded")
	}
	r.p.recovered = nil
	for _, h := range r.p.suspects() {
		if r.p.sick[h] {
			r.tendSick(h)
			continue
		}
		if h.takes() == Fits && r.p.evidence(h) >= quarantineAt {
			h.health.probeDelay = probeFirst
			h.health.probeAt = r.now + probeFirst
			h.health.since = r.now
			r.setPhase(h, egretmuxv1.WorkerPhase_WORKER_PHASE_QUARANTINED, reasonFailsAll)
		}
	}
}

// suspects returns the workers with recent failures or in quarantine, by name.
func (p *Planner) suspects() []*host {
	var out []*host
	for h := range p.sick {
		out = append(out, h)
	}
	for h := range p.failing {
		if len(h.health.failures) == 0 {
			delete(p.failing, h)
		} else if !p.sick[h] {
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

// tendSick starts a probe, or releases a worker for which none was found.
func (r *round) tendSick(h *host) {
	x := &h.health
	if x.since == 0 { // quarantined under an earlier leader
		x.since, x.probeDelay, x.probeAt = r.now, probeFirst, r.now+probeFirst
	}
	if len(h.live) > 0 || r.now < x.probeAt {
		return
	}
	if j := r.probeFor(h); j != nil {
		x.probeAt = r.now + x.probeDelay
		r.place(j, h)
		j.account.dequeue(j)
		r.aside = append(r.aside, j)
		return
	}
	if r.now-x.since > releaseAfter {
		x.since = 0
		x.failures = nil
		for i := range int32(strikesAfter) {
			x.failures = append(x.failures, failure{task: probationTask, member: i})
		}
		r.setPhase(h, egretmuxv1.WorkerPhase_WORKER_PHASE_READY, "released without a probe")
	}
}

// probeFor returns a waiting job that can afford to fail on the host.
func (r *round) probeFor(h *host) *job {
	for _, a := range r.p.order {
		for i, g := range a.queue {
			if i >= backfillDepth {
				break
			}
			j := g.jobs[0]
			if !j.gang() && !j.urgent() && r.taken[j] == 0 && j.need.Fits(h.free()) && canFail(j) && a.withinQuota(j.need) {
				return j
			}
		}
	}
	return nil
}

func canFail(j *job) bool {
	if j.service() {
		return true
	}
	failed := int32(0)
	for _, n := range j.task.GetFailures() {
		failed = max(failed, n)
	}
	return j.task.GetSpec().GetIdempotent() && task.MaxFailures(j.task.GetSpec())-failed >= spareFailures
}
