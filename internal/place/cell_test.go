package place_test

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/place"
	"github.com/egretmux/egretmux/internal/state"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

const (
	leaseDurationMs    = 10_000
	lossTimeoutMs      = leaseDurationMs + leaseDurationMs/20 + 100
	announceIntervalMs = 500
)

// behaviour is how a task's attempts run, whatever the task declares.
type behaviour struct {
	runMs        int64
	usedFraction float64 // of the declared size
	fails        bool
}

// cell runs the real state and planner with a simulated leader and workers.
type cell struct {
	store          *state.Store
	planner        *place.Planner
	now            int64
	index          uint64
	workers        map[string]*fakeWorker
	names          []string
	behaviours     map[uint64]behaviour
	violations     []string          // found by the oracle
	executionCount map[member]int    // executions started, by member
	executingOn    map[member]string // worker that executes a member now
	stalePlan      *egretmuxv1.CommitPlan
	dropsMessage   func() bool // reports whether the next message is lost
	warnings       int
	firstRun       map[uint64]int64            // when a task's first attempt began
	active         map[uint64]*egretmuxv1.Task // with live attempts
}

type member struct {
	task   uint64
	member int32
}

// fakeWorker simulates a worker. It checks its lease before anything else, as a
// worker must.
type fakeWorker struct {
	record        *egretmuxv1.Worker
	epoch         uint64
	leaseUntil    int64
	running       map[uint64]*execution
	fenced        map[uint64]bool
	finished      map[uint64]*egretmuxv1.AttemptChange
	lastHeard     int64 // when the leader last heard from it
	lastAnnounced int64 // when it last announced itself
	paused        bool
	partitioned   bool // from the leader
	failsAll      bool
	failsNew      bool // fails all batch work
	throttled     map[uint64]int64
}

type execution struct {
	attempt     *egretmuxv1.Attempt
	task        *egretmuxv1.Task
	remainingMs int64
	ranMs       int64
	announced   bool
}

func newCell(dropsMessage func() bool) *cell {
	c := &cell{
		now: 1_000_000, workers: make(map[string]*fakeWorker), behaviours: make(map[uint64]behaviour),
		executionCount: make(map[member]int), executingOn: make(map[member]string), dropsMessage: dropsMessage, firstRun: make(map[uint64]int64), active: make(map[uint64]*egretmuxv1.Task),
	}
	c.store = state.New(c)
	c.planner = place.New()
	return c
}

// TaskChanged implements state.Listener.
func (c *cell) TaskChanged(t *egretmuxv1.Task) {
	c.planner.SetTask(t, c.now)
	delete(c.active, t.GetId())
	for _, a := range t.GetAttempts() {
		if task.Live(a.GetPhase()) {
			c.active[t.GetId()] = t
		}
	}
}

// activeTasks returns the tasks with live attempts, sorted by ID.
func (c *cell) activeTasks() []*egretmuxv1.Task {
	out := make([]*egretmuxv1.Task, 0, len(c.active))
	for _, id := range slices.Sorted(maps.Keys(c.active)) {
		out = append(out, c.active[id])
	}
	return out
}

func (c *cell) WorkerChanged(w *egretmuxv1.Worker)            { c.planner.SetWorker(w, c.now) }
func (c *cell) ContractChanged(v *egretmuxv1.ContractVersion) { c.loadContract(v.GetCustomer()) }
func (c *cell) Restored()                                     {}

func (c *cell) loadContract(customer string) {
	if parsed := c.store.ParsedContract(customer); parsed != nil {
		c.planner.SetContract(parsed)
	}
}

// replaceLeader replaces the planner by a new one that is given the committed state.
func (c *cell) replaceLeader() {
	c.planner = place.New()
	for _, contract := range c.store.ParsedContracts() {
		c.planner.SetContract(contract)
	}
	for _, w := range c.store.Workers() {
		c.planner.SetWorker(w, c.now)
	}
	for _, t := range c.store.Tasks() {
		c.planner.SetTask(t, c.now)
	}
	for _, w := range c.workers {
		w.lastHeard = c.now
	}
}

func (c *cell) apply(cmd *egretmuxv1.Command) *state.Result {
	cmd.NowUnixMs = c.now
	data, err := proto.Marshal(cmd)
	if err != nil {
		panic(err)
	}
	c.index++
	return c.store.Apply(c.index, data).(*state.Result)
}

func (c *cell) applyContract(customer string, share float64, quota string) {
	text := fmt.Sprintf("[contract]\ncustomer = %s\nshare = %g\ncredential_sha256 = %x\n[quota]\n%s\n[class.work]\nurgent = yes\n", customer, share, sha256.Sum256([]byte(customer)), quota)
	r := c.apply(&egretmuxv1.Command{Body: &egretmuxv1.Command_ApplyContract{ApplyContract: &egretmuxv1.ApplyContract{
		Customer: customer, ChangeId: customer, Text: text, Author: "test",
	}}})
	if r.Err != nil {
		panic(r.Err)
	}
}

func (c *cell) addWorker(id, dc, rack string, capacity worker.Resources) {
	c.workers[id] = &fakeWorker{
		record:  &egretmuxv1.Worker{Id: id, Address: id, Datacentre: dc, Rack: rack, Capacity: capacity.Proto()},
		running: make(map[uint64]*execution), fenced: make(map[uint64]bool),
		finished: make(map[uint64]*egretmuxv1.AttemptChange), throttled: make(map[uint64]int64),
	}
	c.names = append(c.names, id)
	sort.Strings(c.names)
	c.announce(c.workers[id])
}

// submit returns the task's ID, or the refusal.
func (c *cell) submit(spec *egretmuxv1.TaskSpec, b behaviour) (uint64, error) {
	cmd := &egretmuxv1.SubmitTask{Spec: spec}
	refused, warnings := c.planner.Admit(spec, c.now)
	c.warnings += len(warnings)
	if refused != nil {
		cmd.Refusal = &egretmuxv1.Refusal{Kind: string(refused.Kind), Message: refused.Message, Remedy: refused.Remedy}
	}
	r := c.apply(&egretmuxv1.Command{Body: &egretmuxv1.Command_SubmitTask{SubmitTask: cmd}})
	if r.Err != nil {
		return 0, r.Err
	}
	c.behaviours[r.Task.GetId()] = b
	return r.Task.GetId(), nil
}

func (c *cell) cancel(id uint64) {
	c.apply(&egretmuxv1.Command{Body: &egretmuxv1.Command_CancelTask{CancelTask: &egretmuxv1.CancelTask{Task: id, Reason: "test"}}})
}

// planAndCommit plans one round and commits the plan.
func (c *cell) planAndCommit() *place.Plan {
	p := c.planner.Decide(c.now)
	for _, phase := range p.Phases {
		c.apply(&egretmuxv1.Command{Body: &egretmuxv1.Command_SetWorkerPhase{SetWorkerPhase: phase}})
	}
	for _, throttle := range p.Throttles {
		c.workers[throttle.Worker].throttled[throttle.Attempt] = throttle.CPUMillis
	}
	c.commit(p.Commit)
	return p
}

func (c *cell) commit(p *egretmuxv1.CommitPlan) {
	if len(p.GetStarts())+len(p.GetStops())+len(p.GetResizes()) == 0 {
		return
	}
	before := c.liveAttempts()
	c.apply(&egretmuxv1.Command{Body: &egretmuxv1.Command_CommitPlan{CommitPlan: p}})
	c.checkNewAttempts(before)
}

// advance moves the time forward in steps of at most 100 ms and runs the workers and
// the leader in each.
func (c *cell) advance(ms int64) {
	for end := c.now + ms; c.now < end; {
		c.now += min(100, end-c.now)
		c.step()
	}
}

func (c *cell) step() {
	for _, id := range c.names {
		c.runWorker(c.workers[id], 100)
	}
	for _, id := range c.names {
		w := c.workers[id]
		if r := c.store.Worker(id); r != nil && r.GetPhase() != egretmuxv1.WorkerPhase_WORKER_PHASE_LOST && c.now-w.lastHeard > lossTimeoutMs {
			c.setPhase(id, egretmuxv1.WorkerPhase_WORKER_PHASE_LOST)
		}
	}
	c.planAndCommit()
	c.sendCommands()
}

func (c *cell) setPhase(id string, phase egretmuxv1.WorkerPhase) {
	c.apply(&egretmuxv1.Command{Body: &egretmuxv1.Command_SetWorkerPhase{SetWorkerPhase: &egretmuxv1.SetWorkerPhase{Worker: id, Phase: phase}}})
}

// sendCommands sends the start and stop commands that the state still calls for.
func (c *cell) sendCommands() {
	for _, t := range c.activeTasks() {
		for _, a := range t.GetAttempts() {
			w := c.workers[a.GetWorker()]
			if w.paused || w.partitioned || c.dropsMessage() {
				continue
			}
			switch a.GetPhase() {
			case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STARTING:
				c.startAttempt(w, t, a)
			case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING:
				c.stopAttempt(w, t, a)
			}
		}
	}
}

func (c *cell) startAttempt(w *fakeWorker, t *egretmuxv1.Task, a *egretmuxv1.Attempt) {
	if w.running[a.GetId()] != nil || w.finished[a.GetId()] != nil || w.fenced[a.GetId()] || w.epoch != c.store.Worker(w.record.GetId()).GetEpoch() {
		return
	}
	if c.now > w.leaseUntil {
		w.fenced[a.GetId()] = true
		w.finished[a.GetId()] = attemptChange(t, a, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_REFUSED)
		return
	}
	w.fenced[a.GetId()] = true
	saved := task.SavedRunMs(t, a.GetMember())
	w.running[a.GetId()] = &execution{attempt: a, task: t, remainingMs: max(1, c.behaviours[t.GetId()].runMs-saved)}
	c.executionBegan(t, a, saved)
}

func (c *cell) stopAttempt(w *fakeWorker, t *egretmuxv1.Task, a *egretmuxv1.Attempt) {
	fenced := w.fenced[a.GetId()]
	w.fenced[a.GetId()] = true
	if running := w.running[a.GetId()]; running != nil {
		c.endExecution(w, running, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPED)
		if a.GetPreempted() {
			w.finished[a.GetId()].CheckpointMs = task.SavedRunMs(t, a.GetMember()) + running.ranMs + 1
		}
	} else if w.finished[a.GetId()] == nil && !fenced && w.epoch == c.store.Worker(w.record.GetId()).GetEpoch() {
		w.finished[a.GetId()] = attemptChange(t, a, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_REFUSED)
	}
}

func attemptChange(t *egretmuxv1.Task, a *egretmuxv1.Attempt, phase egretmuxv1.AttemptPhase) *egretmuxv1.AttemptChange {
	return &egretmuxv1.AttemptChange{Task: t.GetId(), Attempt: a.GetId(), Phase: phase, Detail: "test"}
}

func (c *cell) endExecution(w *fakeWorker, e *execution, phase egretmuxv1.AttemptPhase) {
	delete(w.running, e.attempt.GetId())
	if m := (member{e.task.GetId(), e.attempt.GetMember()}); c.executingOn[m] == w.record.GetId() {
		delete(c.executingOn, m)
	}
	w.finished[e.attempt.GetId()] = attemptChange(e.task, e.attempt, phase)
}

// runWorker runs one step of a worker: lease check, executions, announcement.
func (c *cell) runWorker(w *fakeWorker, ms int64) {
	if w.paused {
		return
	}
	if w.epoch != 0 && c.now > w.leaseUntil {
		c.stopAll(w)
	}
	for _, e := range w.executions() {
		e.ranMs += ms
		e.remainingMs -= ms
		switch {
		case w.failsAll || w.failsNew && e.task.GetSpec().GetKind() != egretmuxv1.TaskKind_TASK_KIND_SERVICE || e.remainingMs <= 0 && c.behaviours[e.task.GetId()].fails:
			c.endExecution(w, e, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_FAILED)
		case e.remainingMs <= 0 && e.task.GetSpec().GetKind() != egretmuxv1.TaskKind_TASK_KIND_SERVICE:
			c.endExecution(w, e, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_SUCCEEDED)
		}
	}
	if !w.partitioned && (c.now-w.lastAnnounced >= announceIntervalMs || len(w.finished) > 0 || w.hasUnannounced()) {
		w.lastAnnounced = c.now
		c.announce(w)
	}
}

func (w *fakeWorker) hasUnannounced() bool {
	for _, e := range w.running {
		if !e.announced {
			return true
		}
	}
	return false
}

func (w *fakeWorker) executions() []*execution {
	var executions []*execution
	for _, e := range w.running {
		executions = append(executions, e)
	}
	sort.Slice(executions, func(i, j int) bool { return executions[i].attempt.GetId() < executions[j].attempt.GetId() })
	return executions
}

func (c *cell) stopAll(w *fakeWorker) {
	for _, e := range w.executions() {
		c.endExecution(w, e, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPED)
	}
	w.epoch = 0
}

// restartWorker drops everything that the worker's process knew and ran.
func (c *cell) restartWorker(w *fakeWorker) {
	c.stopAll(w)
	clear(w.finished)
	clear(w.fenced)
	w.paused = false
}

// announce sends the worker's reports to the leader; the answer may be lost.
func (c *cell) announce(w *fakeWorker) {
	id := w.record.GetId()
	known := c.store.Worker(id)
	if w.epoch != 0 && (known.GetEpoch() != w.epoch || known.GetPhase() == egretmuxv1.WorkerPhase_WORKER_PHASE_LOST) {
		w.epoch = 0
	}
	var changes []*egretmuxv1.AttemptChange
	var running []uint64
	var usage []*egretmuxv1.AttemptUsage
	for _, e := range w.executions() {
		if c.store.TaskOfAttempt(id, e.attempt.GetId()) == 0 {
			c.endExecution(w, e, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPED)
			delete(w.finished, e.attempt.GetId())
			continue
		}
		running = append(running, e.attempt.GetId())
		changes = append(changes, attemptChange(e.task, e.attempt, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_RUNNING))
		usage = append(usage, c.usageOf(w, e))
	}
	ended := make([]uint64, 0, len(w.finished))
	for a := range w.finished {
		ended = append(ended, a)
	}
	sort.Slice(ended, func(i, j int) bool { return ended[i] < ended[j] })
	for _, a := range ended {
		changes = append(changes, w.finished[a])
	}
	c.reportAttempts(changes)
	epoch := w.epoch
	if epoch == 0 {
		epoch = c.apply(&egretmuxv1.Command{Body: &egretmuxv1.Command_RegisterWorker{RegisterWorker: &egretmuxv1.RegisterWorker{Worker: w.record, Running: running}}}).Worker.GetEpoch()
	}
	c.planner.SetUsage(id, usage, c.now)
	w.lastHeard = c.now
	if c.dropsMessage() {
		return
	}
	w.epoch = epoch
	w.leaseUntil = c.now + leaseDurationMs
	clear(w.finished)
	for _, e := range w.running {
		e.announced = true
	}
}

func (c *cell) usageOf(w *fakeWorker, e *execution) *egretmuxv1.AttemptUsage {
	used := worker.ResourcesFromProto(e.task.GetSpec().GetResources()).Scale(c.behaviours[e.task.GetId()].usedFraction)
	if limit := w.throttled[e.attempt.GetId()]; limit > 0 {
		used.CPUMillis = min(used.CPUMillis, limit)
	}
	return &egretmuxv1.AttemptUsage{Attempt: e.attempt.GetId(), Used: used.Proto(), AgeMs: 2000}
}

func (c *cell) reportAttempts(changes []*egretmuxv1.AttemptChange) {
	if len(changes) > 0 {
		c.apply(&egretmuxv1.Command{Body: &egretmuxv1.Command_ReportAttempts{ReportAttempts: &egretmuxv1.ReportAttempts{Changes: changes}}})
	}
}
