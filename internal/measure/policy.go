package measure

import (
	"sort"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/place"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// ours is the real decision code.
type ours struct {
	planner *place.Planner
	run     *run
}

func (p *ours) setup(r *run) {
	p.planner, p.run = place.New(), r
	for i := range r.cell.Customers {
		p.planner.SetContract(&contract.Contract{Customer: customerName(i), Share: 1 / float64(r.cell.Customers)})
	}
	for _, n := range r.nodes {
		p.worker(n)
	}
}

func (p *ours) worker(n *node) { p.planner.SetWorker(n.record, p.run.now) }

func (p *ours) admit(j *job) bool {
	refused, _ := p.planner.Admit(j.task.GetSpec(), p.run.now)
	return refused == nil
}

func (p *ours) changed(j *job) { p.planner.SetTask(j.task, p.run.now) }

func (p *ours) usage(n *node, u []*egretmuxv1.AttemptUsage) {
	p.planner.SetUsage(n.record.GetId(), u, p.run.now)
}

func (p *ours) decide(now int64) *egretmuxv1.CommitPlan {
	plan := p.planner.Decide(now)
	for _, x := range plan.Phases {
		n := p.run.byID[x.GetWorker()]
		n.record.Phase = x.GetPhase()
		p.worker(n)
		if x.GetPhase() == egretmuxv1.WorkerPhase_WORKER_PHASE_QUARANTINED {
			p.run.result.quarantined++
		}
	}
	return plan.Commit
}

// greedy is a baseline: a queue in a fixed order, placed as far as it fits.
type greedy struct {
	run     *run
	order   func(a, b *job) bool
	bestFit bool
}

// greedyDepth is how many jobs that do not fit are passed over in a round.
const greedyDepth = 48

func fifo(a, b *job) bool { return a.task.GetId() < b.task.GetId() }

func edf(a, b *job) bool {
	da, db := a.task.GetSpec().GetDeadlineUnixMs(), b.task.GetSpec().GetDeadlineUnixMs()
	if da != db {
		return da != 0 && (db == 0 || da < db)
	}
	return fifo(a, b)
}

func (p *greedy) setup(r *run)                            { p.run = r }
func (p *greedy) admit(*job) bool                         { return true }
func (p *greedy) changed(*job)                            {}
func (p *greedy) usage(*node, []*egretmuxv1.AttemptUsage) {}

func (p *greedy) decide(now int64) *egretmuxv1.CommitPlan {
	var queue []*job
	for _, j := range p.run.waiting {
		if j.task.GetNotBeforeUnixMs() <= now {
			queue = append(queue, j)
		}
	}
	sort.Slice(queue, func(a, b int) bool { return p.order(queue[a], queue[b]) })
	plan := &egretmuxv1.CommitPlan{}
	free := make([]worker.Resources, len(p.run.nodes))
	for i, n := range p.run.nodes {
		if n.record.GetPhase() == egretmuxv1.WorkerPhase_WORKER_PHASE_READY {
			free[i] = n.capacity.Minus(n.held)
		}
	}
	missed := 0
	for _, j := range queue {
		starts := p.startsOf(j, free)
		plan.Starts = append(plan.Starts, starts...)
		if len(starts) == 0 {
			if missed++; missed > greedyDepth {
				break
			}
		}
	}
	return plan
}

func (p *greedy) startsOf(j *job, free []worker.Resources) []*egretmuxv1.PlanStart {
	need := worker.ResourcesFromProto(j.task.GetSpec().GetResources())
	waiting := task.WaitingMembers(j.task)
	if j.class == gang && len(waiting) < len(j.members) {
		return nil
	}
	var starts []*egretmuxv1.PlanStart
	var at []int
	for _, m := range waiting {
		i := p.pick(need, free)
		if i < 0 {
			break
		}
		free[i] = free[i].Minus(need)
		at = append(at, i)
		starts = append(starts, &egretmuxv1.PlanStart{Task: j.task.GetId(), Member: m, Worker: p.run.nodes[i].record.GetId(), Held: need.Proto()})
	}
	if j.class == gang && len(starts) < len(waiting) {
		for _, i := range at {
			free[i] = free[i].Plus(need)
		}
		return nil
	}
	return starts
}

func (p *greedy) pick(need worker.Resources, free []worker.Resources) int {
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
