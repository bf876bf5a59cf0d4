package measure

import (
	"sort"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/place"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// plannerPolicy runs the planner of the real system.
type plannerPolicy struct {
	planner *place.Planner
	run     *run
}

func (p *plannerPolicy) setup(r *run) {
	p.planner, p.run = place.New(), r
	for i := range r.cell.Customers {
		p.planner.SetContract(&contract.Contract{Customer: customerName(i), Share: 1 / float64(r.cell.Customers)})
	}
	for _, n := range r.nodes {
		p.workerChanged(n)
	}
}

func (p *plannerPolicy) workerChanged(n *node) { p.planner.SetWorker(n.record, p.run.now) }

func (p *plannerPolicy) admit(j *job) bool {
	refused, _ := p.planner.Admit(j.task.GetSpec(), p.run.now)
	return refused == nil
}

func (p *plannerPolicy) jobChanged(j *job) { p.planner.SetTask(j.task, p.run.now) }

func (p *plannerPolicy) reportUsage(n *node, u []*egretmuxv1.AttemptUsage) {
	p.planner.SetUsage(n.record.GetId(), u, p.run.now)
}

func (p *plannerPolicy) decide(now int64) *egretmuxv1.CommitPlan {
	plan := p.planner.Decide(now)
	for _, change := range plan.Phases {
		n := p.run.byID[change.GetWorker()]
		n.record.Phase = change.GetPhase()
		p.workerChanged(n)
		if change.GetPhase() == egretmuxv1.WorkerPhase_WORKER_PHASE_QUARANTINED {
			p.run.result.quarantined++
		}
	}
	return plan.Commit
}

// greedy is a baseline policy: it goes through a sorted queue and starts each job
// that fits. It never preempts.
type greedy struct {
	run     *run
	less    func(a, b *job) bool
	bestFit bool
}

// maxSkippedJobs is how many jobs that don't fit greedy skips in a round.
const maxSkippedJobs = 48

func fifo(a, b *job) bool { return a.task.GetId() < b.task.GetId() }

// edf orders by the earliest deadline; jobs without one come last.
func edf(a, b *job) bool {
	da, db := a.task.GetSpec().GetDeadlineUnixMs(), b.task.GetSpec().GetDeadlineUnixMs()
	if da != db {
		return da != 0 && (db == 0 || da < db)
	}
	return fifo(a, b)
}

func (p *greedy) setup(r *run)                                  { p.run = r }
func (p *greedy) admit(*job) bool                               { return true }
func (p *greedy) jobChanged(*job)                               {}
func (p *greedy) reportUsage(*node, []*egretmuxv1.AttemptUsage) {}

func (p *greedy) decide(now int64) *egretmuxv1.CommitPlan {
	var queue []*job
	for _, j := range p.run.waiting {
		if j.task.GetNotBeforeUnixMs() <= now {
			queue = append(queue, j)
		}
	}
	sort.Slice(queue, func(a, b int) bool { return p.less(queue[a], queue[b]) })
	plan := &egretmuxv1.CommitPlan{}
	free := make([]worker.Resources, len(p.run.nodes))
	for i, n := range p.run.nodes {
		if n.record.GetPhase() == egretmuxv1.WorkerPhase_WORKER_PHASE_READY {
			free[i] = n.capacity.Minus(n.held)
		}
	}
	skipped := 0
	for _, j := range queue {
		starts := p.placeJob(j, free)
		plan.Starts = append(plan.Starts, starts...)
		if len(starts) == 0 {
			if skipped++; skipped > maxSkippedJobs {
				break
			}
		}
	}
	return plan
}

// placeJob returns the starts of the waiting members that fit, and takes their
// resources from free. A gang starts as a whole or not at all.
func (p *greedy) placeJob(j *job, free []worker.Resources) []*egretmuxv1.PlanStart {
	need := worker.ResourcesFromProto(j.task.GetSpec().GetResources())
	waiting := task.WaitingMembers(j.task)
	if j.class == gang && len(waiting) < len(j.members) {
		return nil
	}
	var starts []*egretmuxv1.PlanStart
	var placedOn []int
	for _, m := range waiting {
		i := p.pickWorker(need, free)
		if i < 0 {
			break
		}
		free[i] = free[i].Minus(need)
		placedOn = append(placedOn, i)
		starts = append(starts, &egretmuxv1.PlanStart{Task: j.task.GetId(), Member: m, Worker: p.run.nodes[i].record.GetId(), Held: need.Proto()})
	}
	if j.class == gang && len(starts) < len(waiting) {
		for _, i := range placedOn {
			free[i] = free[i].Plus(need)
		}
		return nil
	}
	return starts
}

// pickWorker returns the index of the first worker that has room or, with bestFit,
// of the one with the fewest free cores; -1 if there is none.
func (p *greedy) pickWorker(need worker.Resources, free []worker.Resources) int {
	best := -1
	for i, f := range free {
		if !need.Fits(f) {
			continue
		}
		if !p.bestFit {
			return i
		}
		if best < 0 || f.CPUMillis < free[best].CPUMillis {
			best = i
		}
	}
	return best
}
