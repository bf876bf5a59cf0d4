package measure

import (
	"fmt"
	"maps"
	"slices"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// Times of the simulation, in milliseconds. Those of faults count from epoch.
const (
	epoch           = int64(1_000_000)
	stepMs          = 100
	startConfirmMs  = 200 // time until a worker confirms a start
	stopMs          = 300 // time until a stopped attempt has saved its work and released its worker
	restartCostMs   = 500 // progress lost when an attempt resumes saved work
	usageIntervalMs = 2000
	usageAgeMs      = 2000
	workerLostAt    = 60_000 // the first worker is lost
	lossDetectionMs = 10_000 // time until the lease of a lost worker has certainly ended
	faultyFrom      = 30_000 // from here on, one worker in faultyEvery fails every attempt except those of services
	faultyEvery     = 50
	cancelAt        = 90_000 // the first customer cancels its waiting batch work
	maxDrainMs      = 200_000
)

// policy decides which attempts start and stop. The planner also implements
// workerChanged, which is optional.
type policy interface {
	setup(r *run)
	admit(j *job) bool
	jobChanged(j *job)
	reportUsage(n *node, reports []*egretmuxv1.AttemptUsage)
	decide(now int64) *egretmuxv1.CommitPlan
}

// node is a simulated worker.
type node struct {
	record   *egretmuxv1.Worker
	capacity worker.Resources
	held     worker.Resources
	live     map[uint64]*execution
	faulty   bool
	lost     bool
}

// execution is an attempt on its worker.
type execution struct {
	job       *job
	attempt   *egretmuxv1.Attempt
	node      *node
	confirmAt int64
	leavesAt  int64 // when a stopped attempt releases its worker; 0: not stopped
}

// run is one measurement.
type run struct {
	cell        Cell
	policy      policy
	now         int64
	nodes       []*node
	byID        map[string]*node
	jobs        map[uint64]*job
	arrivals    []*job
	lastAttempt uint64 // id of the last started attempt
	result      *Result
	waiting     map[uint64]*job
}

// Run measures one policy on one load with a fixed seed.
func Run(cell Cell, load float64, p policy, seed uint64) *Result {
	r := &run{cell: cell, policy: p, now: epoch, byID: make(map[string]*node), jobs: make(map[uint64]*job), waiting: make(map[uint64]*job)}
	r.result = newResult(cell)
	for i := range cell.Workers {
		r.addNode(i)
	}
	p.setup(r)
	services, arrivals := generateLoad(cell, load, seed)
	r.arrivals = arrivals
	for _, j := range services {
		r.submit(j)
	}
	for r.now < epoch+cell.ArrivalMs+maxDrainMs {
		if r.now >= epoch+cell.ArrivalMs && r.now%1000 == 0 && r.countUnfinished() == 0 {
			break
		}
		for len(arrivals) > 0 && epoch+arrivals[0].submittedMs <= r.now {
			r.submit(arrivals[0])
			arrivals = arrivals[1:]
		}
		r.injectFaults()
		for _, n := range r.nodes {
			r.advanceWorker(n)
		}
		r.decideAndApply()
		r.sampleUsage()
		r.now += stepMs
	}
	r.result.computeTotals(r)
	return r.result
}

func (r *run) addNode(i int) {
	capacity := r.cell.WorkerCapacity
	if i >= r.cell.AcceleratorWorkers {
		capacity.Accelerators = 0
	}
	n := &node{
		record: &egretmuxv1.Worker{
			Id: fmt.Sprintf("w%04d", i), Datacentre: fmt.Sprintf("dc%d", i%r.cell.Datacentres), Rack: fmt.Sprintf("r%d", i/r.cell.WorkersPerRack),
			Capacity: capacity.Proto(), Phase: egretmuxv1.WorkerPhase_WORKER_PHASE_READY, Epoch: 1,
		},
		capacity: capacity, live: make(map[uint64]*execution),
	}
	r.nodes = append(r.nodes, n)
	r.byID[n.record.GetId()] = n
}

func (r *run) countUnfinished() int {
	n := 0
	for _, j := range r.arrivals {
		if j.endedAt == 0 && !j.refused {
			n++
		}
	}
	return n
}

func (r *run) submit(j *job) {
	r.jobs[j.task.GetId()] = j
	if !r.policy.admit(j) {
		j.refused = true
		return
	}
	r.jobChanged(j)
}

// jobChanged notifies the policy of a changed job.
func (r *run) jobChanged(j *job) {
	if len(task.WaitingMembers(j.task)) > 0 {
		r.waiting[j.task.GetId()] = j
	} else {
		delete(r.waiting, j.task.GetId())
	}
	r.policy.jobChanged(j)
}

func (r *run) injectFaults() {
	switch r.now - epoch {
	case faultyFrom:
		for i := faultyEvery / 2; i < len(r.nodes); i += faultyEvery {
			r.nodes[i].faulty = true
		}
	case workerLostAt:
		r.nodes[0].lost = true
	case workerLostAt + lossDetectionMs:
		for _, id := range slices.Sorted(maps.Keys(r.nodes[0].live)) {
			r.endAttempt(r.nodes[0].live[id], egretmuxv1.AttemptPhase_ATTEMPT_PHASE_LOST, false)
		}
		r.nodes[0].record.Phase = egretmuxv1.WorkerPhase_WORKER_PHASE_LOST
		r.workerChanged(r.nodes[0])
	case cancelAt:
		for _, id := range slices.Sorted(maps.Keys(r.jobs)) {
			j := r.jobs[id]
			if j.class == plain && j.task.GetSpec().GetCustomer() == customerName(0) && r.waiting[j.task.GetId()] != nil && len(j.task.GetAttempts()) == 0 {
				j.task.Phase = egretmuxv1.TaskPhase_TASK_PHASE_CANCELLED
				j.cancelledAt, j.endedAt = r.now, r.now
				r.jobChanged(j)
			}
		}
	}
}

func (r *run) workerChanged(n *node) {
	if s, ok := r.policy.(interface{ workerChanged(n *node) }); ok {
		s.workerChanged(n)
	}
}

// advanceWorker simulates one step on one worker. If the attempts use more CPU than
// there is, all slow down in proportion; if they use more memory, the one that most
// exceeds its declared size is killed.
func (r *run) advanceWorker(n *node) {
	if n.lost || len(n.live) == 0 {
		return
	}
	var used worker.Resources
	for _, exec := range n.live {
		if exec.attempt.GetConfirmedUnixMs() > 0 {
			used = used.Plus(exec.job.usage)
		}
	}
	if used.MemoryMiB > n.capacity.MemoryMiB {
		r.killForMemory(n)
	}
	speed := 1.0
	if used.CPUMillis > n.capacity.CPUMillis {
		speed = float64(n.capacity.CPUMillis) / float64(used.CPUMillis)
	}
	if r.now < epoch+r.cell.ArrivalMs {
		r.result.usedCPU += min(float64(used.CPUMillis), float64(n.capacity.CPUMillis))
	}
	for _, id := range slices.Sorted(maps.Keys(n.live)) {
		if exec := n.live[id]; exec != nil {
			r.advanceExecution(exec, speed)
		}
	}
	if (r.now/stepMs+int64(len(n.record.GetId()))+int64(n.record.GetId()[4]))%(usageIntervalMs/stepMs) == 0 {
		r.policy.reportUsage(n, usageReports(n))
	}
}

func usageReports(n *node) []*egretmuxv1.AttemptUsage {
	out := make([]*egretmuxv1.AttemptUsage, 0, len(n.live))
	for _, id := range slices.Sorted(maps.Keys(n.live)) {
		exec := n.live[id]
		if exec.attempt.GetConfirmedUnixMs() > 0 {
			out = append(out, &egretmuxv1.AttemptUsage{Attempt: id, Used: exec.job.usage.Proto(), AgeMs: usageAgeMs})
		}
	}
	return out
}

// memoryExcess returns the ratio of used to declared memory.
func memoryExcess(exec *execution) float64 {
	return float64(exec.job.usage.MemoryMiB) / float64(exec.job.task.GetSpec().GetResources().GetMemoryMib())
}

func (r *run) killForMemory(n *node) {
	var worst *execution
	for _, exec := range n.live {
		if exec.attempt.GetConfirmedUnixMs() == 0 {
			continue
		}
		if worst == nil || memoryExcess(exec) > memoryExcess(worst) || memoryExcess(exec) == memoryExcess(worst) && exec.attempt.GetId() < worst.attempt.GetId() {
			worst = exec
		}
	}
	r.result.killed++
	r.policy.reportUsage(n, usageReports(n))
	r.endAttempt(worst, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_FAILED, false)
}

func (r *run) advanceExecution(exec *execution, speed float64) {
	member := &exec.job.members[exec.attempt.GetMember()]
	if exec.leavesAt > 0 {
		if r.now >= exec.leavesAt {
			r.endAttempt(exec, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPED, true)
		}
		return
	}
	if exec.attempt.GetConfirmedUnixMs() == 0 {
		if r.now < exec.confirmAt {
			return
		}
		exec.attempt.ConfirmedUnixMs = r.now
		exec.attempt.Phase = egretmuxv1.AttemptPhase_ATTEMPT_PHASE_RUNNING
		if exec.job.startedAt == 0 {
			exec.job.startedAt = r.now
			r.result.recordStart(exec.job, r.now)
		}
		r.jobChanged(exec.job)
	}
	if exec.node.faulty && exec.job.runMs != 0 && exec.job.task.GetSpec().GetKind() != egretmuxv1.TaskKind_TASK_KIND_SERVICE {
		r.endAttempt(exec, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_FAILED, false)
		return
	}
	member.progressMs += stepMs * speed
	if member.progressMs >= float64(exec.job.runMs) {
		member.done = true
		r.endAttempt(exec, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_SUCCEEDED, true)
	}
}

// endAttempt removes an attempt from its worker and updates its job. If saved is
// set, the attempt has saved its work and loses only the cost of resuming it.
func (r *run) endAttempt(exec *execution, phase egretmuxv1.AttemptPhase, saved bool) {
	j, member := exec.job, &exec.job.members[exec.attempt.GetMember()]
	delete(exec.node.live, exec.attempt.GetId())
	exec.node.held = exec.node.held.Minus(worker.ResourcesFromProto(exec.attempt.GetHeld()))
	exec.attempt.Phase = phase
	exec.attempt.EndedUnixMs = r.now
	if phase != egretmuxv1.AttemptPhase_ATTEMPT_PHASE_SUCCEEDED {
		lostMs := member.progressMs - member.savedMs
		if saved {
			lostMs = min(lostMs, restartCostMs)
		}
		member.progressMs -= lostMs
		member.savedMs = member.progressMs
		r.result.wastedCPU += lostMs / stepMs * float64(j.usage.CPUMillis)
		j.task.NotBeforeUnixMs = r.now + 500
	}
	for int(exec.attempt.GetMember()) >= len(j.task.SavedMs) {
		j.task.SavedMs = append(j.task.SavedMs, 0)
	}
	j.task.SavedMs[exec.attempt.GetMember()] = int64(member.savedMs)
	if member.done {
		j.membersLeft--
		j.task.DoneMembers = append(j.task.DoneMembers, exec.attempt.GetMember())
	}
	if phase != egretmuxv1.AttemptPhase_ATTEMPT_PHASE_SUCCEEDED && j.class == gang {
		r.restartGang(j)
	}
	if j.membersLeft == 0 {
		j.endedAt = r.now
		j.task.Phase = egretmuxv1.TaskPhase_TASK_PHASE_SUCCEEDED
		j.task.EndedUnixMs = r.now
	}
	r.jobChanged(j)
	j.task.Attempts = liveAttempts(j.task.GetAttempts())
}

func liveAttempts(list []*egretmuxv1.Attempt) []*egretmuxv1.Attempt {
	var out []*egretmuxv1.Attempt
	for _, a := range list {
		if task.Live(a.GetPhase()) {
			out = append(out, a)
		}
	}
	return out
}

// restartGang stops the remaining attempts of a gang, so that it starts again as a
// whole.
func (r *run) restartGang(j *job) {
	for i := range j.members {
		j.members[i].done = false
	}
	j.membersLeft = len(j.members)
	j.task.DoneMembers = nil
	for _, a := range j.task.GetAttempts() {
		r.stopAttempt(j, a)
	}
}

func (r *run) stopAttempt(j *job, a *egretmuxv1.Attempt) {
	if n := r.byID[a.GetWorker()]; n.live[a.GetId()] != nil && n.live[a.GetId()].leavesAt == 0 {
		n.live[a.GetId()].leavesAt = r.now + stopMs
		a.Phase = egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING
	}
}

// decideAndApply gets a plan from the policy and applies it, except for starts that
// don't fit.
func (r *run) decideAndApply() {
	start := time.Now()
	plan := r.policy.decide(r.now)
	r.result.recordRound(time.Since(start), len(plan.GetStarts()))
	for _, change := range plan.GetResizes() {
		j := r.jobs[change.GetTask()]
		if a := task.FindAttempt(j.task, change.GetAttempt()); a != nil {
			n := r.byID[a.GetWorker()]
			n.held = n.held.Minus(worker.ResourcesFromProto(a.GetHeld())).Plus(worker.ResourcesFromProto(change.GetHeld()))
			a.Held = change.GetHeld()
			r.policy.jobChanged(j)
		}
	}
	for _, change := range plan.GetStops() {
		j := r.jobs[change.GetTask()]
		if a := task.FindAttempt(j.task, change.GetAttempt()); a != nil {
			r.result.preempted++
			r.stopAttempt(j, a)
			if j.class == gang {
				r.restartGang(j)
			}
			r.jobChanged(j)
		}
	}
	changed := make(map[uint64]*job)
	for _, s := range plan.GetStarts() {
		r.startAttempt(s)
		changed[s.GetTask()] = r.jobs[s.GetTask()]
	}
	for _, id := range slices.Sorted(maps.Keys(changed)) {
		r.jobChanged(changed[id])
	}
}

func (r *run) startAttempt(s *egretmuxv1.PlanStart) {
	n, j := r.byID[s.GetWorker()], r.jobs[s.GetTask()]
	held := worker.ResourcesFromProto(s.GetHeld())
	if !n.held.Plus(held).Fits(n.capacity) {
		r.result.rejectedStarts++
		return
	}
	r.lastAttempt++
	a := &egretmuxv1.Attempt{
		Id: r.lastAttempt, Member: s.GetMember(), Worker: s.GetWorker(), Phase: egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STARTING,
		StartedUnixMs: r.now, Held: s.GetHeld(),
	}
	j.task.Attempts = append(j.task.Attempts, a)
	n.held = n.held.Plus(held)
	n.live[a.GetId()] = &execution{job: j, attempt: a, node: n, confirmAt: r.now + startConfirmMs}
}
