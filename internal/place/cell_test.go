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
	leaseMs    = 10_000
	outlastMs  = leaseMs + leaseMs/20 + 100
	announceMs = 500
)

// truth is how a task's attempts really behave.
type truth struct {
	runMs    int64
	useParts float64 // of the declared size
	fails    bool
}

// cell is the real state and planner with a fake leader loop and fake workers.
type cell struct {
	store    *state.Store
	planner  *place.Planner
	now      int64
	index    uint64
	workers  map[string]*fakeWorker
	names    []string
	truths   map[uint64]truth
	faults   []string          // what the oracle found wrong
	ran      map[member]int    // executions that began, by member
	at       map[member]string // where a member executes now
	stale    *egretmuxv1.CommitPlan
	lossy    func() bool // whether a message gets lost
	warnings int
	firstRun map[uint64]int64            // when a task's first attempt began
	active   map[uint64]*egretmuxv1.Task // with live attempts
}

type member struct {
	task   uint64
	member int32
}

// fakeWorker keeps its lease as a worker must: it checks it before anything else.
type fakeWorker struct {
	record    *egretmuxv1.Worker
	epoch     uint64
	lease     int64
	running   map[uint64]*execution
	fenced    map[uint64]bool
	finished  map[uint64]*egretmuxv1.AttemptChange
	heard     int64 // by the leader
	told      int64 // when it last announced itself
	paused    bool
	cut       bool // partitioned from the leader
	blackHole bool
	throttled map[uint64]int64
}

type execution struct {
	attempt *egretmuxv1.Attempt
	task    *egretmuxv1.Task
	left    int64
	ran     int64
	told    bool
}

func newCell(lossy func() bool) *cell {
	c := &cell{
		now: 1_000_000, workers: make(map[string]*fakeWorker), truths: make(map[uint64]truth),
		ran: make(map[member]int), at: make(map[member]string), lossy: lossy, firstRun: make(map[uint64]int64), active: make(map[uint64]*egretmuxv1.Task),
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

// activeTasks returns the tasks with live attempts in ascending order.
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

// newLeader replaces the planner by one that knows the committed state only.
func (c *cell) newLeader() {
	c.planner = place.New()
	for _, x := range c.store.ParsedContracts() {
		c.planner.SetContract(x)
	}
	for _, w := range c.store.Workers() {
		c.planner.SetWorker(w, c.now)
	}
	for _, t := range c.store.Tasks() {
		c.planner.SetTask(t, c.now)
	}
	for _, w := range c.workers {
		w.heard = c.now
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

func (c *cell) contract(customer string, share float64, quota string) {
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

// submit returns the task's number, or the refusal.
func (c *cell) submit(spec *egretmuxv1.TaskSpec, x truth) (uint64, error) {
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
	c.truths[r.Task.GetId()] = x
	return r.Task.GetId(), nil
}

func (c *cell) cancel(id uint64) {
	c.apply(&egretmuxv1.Command{Body: &egretmuxv1.Command_CancelTask{CancelTask: &egretmuxv1.CancelTask{Task: id, Reason: "test"}}})
}

// plan decides and commits one round.
func (c *cell) plan() *place.Plan {
	p := c.planner.Decide(c.now)
	for _, phase := range p.Phases {
		c.apply(&egretmuxv1.Command{Body: &egretmuxv1.Command_SetWorkerPhase{SetWorkerPhase: phase}})
	}
	for _, x := range p.Throttles {
		c.workers[x.Worker].throttled[x.Attempt] = x.CPUMillis
	}
	c.commit(p.Commit)
	return p
}

func (c *cell) commit(p *egretmuxv1.CommitPlan) {
	if len(p.GetStarts())+len(p.GetStops())+len(p.GetResizes()) == 0 {
		return
	}
	before := c.live()
	c.apply(&egretmuxv1.Command{Body: &egretmuxv1.Command_CommitPlan{CommitPlan: p}})
	c.checkStarted(before)
}

// advance lets time pass in steps, with a leader that plans at each.
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
		if r := c.store.Worker(id); r != nil && r.GetPhase() != egretmuxv1.WorkerPhase_WORKER_PHASE_LOST && c.now-w.heard > outlastMs {
			c.setPhase(id, egretmuxv1.WorkerPhase_WORKER_PHASE_LOST)
		}
	}
	c.plan()
	c.sendCommands()
}

func (c *cell) setPhase(id string, phase egretmuxv1.WorkerPhase) {
	c.apply(&egretmuxv1.Command{Body: &egretmuxv1.Command_SetWorkerPhase{SetWorkerPhase: &egretmuxv1.SetWorkerPhase{Worker: id, Phase: phase}}})
}

// sendCommands repeats starts and stops until the state says that they are obsolete.
func (c *cell) sendCommands() {
	for _, t := range c.activeTasks() {
		for _, a := range t.GetAttempts() {
			w := c.workers[a.GetWorker()]
			if w.paused || w.cut || c.lossy() {
				continue
			}
			switch a.GetPhase() {
			case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STARTING:
				c.start(w, t, a)
			case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING:
				c.stop(w, t, a)
			}
		}
	}
}

func (c *cell) start(w *fakeWorker, t *egretmuxv1.Task, a *egretmuxv1.Attempt) {
	if w.running[a.GetId()] != nil || w.finished[a.GetId()] != nil || w.fenced[a.GetId()] || w.epoch != c.store.Worker(w.record.GetId()).GetEpoch() {
		return
	}
	if c.now > w.lease {
		w.fenced[a.GetId()] = true
		w.finished[a.GetId()] = change(t, a, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_REFUSED)
		return
	}
	w.fenced[a.GetId()] = true
	saved := task.SavedRunMs(t, a.GetMember())
	w.running[a.GetId()] = &execution{attempt: a, task: t, left: max(1, c.truths[t.GetId()].runMs-saved)}
	c.began(t, a, saved)
}

func (c *cell) stop(w *fakeWorker, t *egretmuxv1.Task, a *egretmuxv1.Attempt) {
	fenced := w.fenced[a.GetId()]
	w.fenced[a.GetId()] = true
	if x := w.running[a.GetId()]; x != nil {
		c.end(w, x, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPED)
		if a.GetPreempted() {
			w.finished[a.GetId()].CheckpointMs = task.SavedRunMs(t, a.GetMember()) + x.ran + 1
		}
	} else if w.finished[a.GetId()] == nil && !fenced && w.epoch == c.store.Worker(w.record.GetId()).GetEpoch() {
		w.finished[a.GetId()] = change(t, a, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_REFUSED)
	}
}

func change(t *egretmuxv1.Task, a *egretmuxv1.Attempt, phase egretmuxv1.AttemptPhase) *egretmuxv1.AttemptChange {
	return &egretmuxv1.AttemptChange{Task: t.GetId(), Attempt: a.GetId(), Phase: phase, Detail: "test"}
}

func (c *cell) end(w *fakeWorker, x *execution, phase egretmuxv1.AttemptPhase) {
	delete(w.running, x.attempt.GetId())
	if m := (member{x.task.GetId(), x.attempt.GetMember()}); c.at[m] == w.record.GetId() {
		delete(c.at, m)
	}
	w.finished[x.attempt.GetId()] = change(x.task, x.attempt, phase)
}

// runWorker is one step of a worker: lease first, then work, then announcement.
func (c *cell) runWorker(w *fakeWorker, ms int64) {
	if w.paused {
		return
	}
	if w.epoch != 0 && c.now > w.lease {
		c.stopAll(w)
	}
	for _, x := range w.executions() {
		x.ran += ms
		x.left -= ms
		switch {
		case w.blackHole || x.left <= 0 && c.truths[x.task.GetId()].fails:
			c.end(w, x, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_FAILED)
		case x.left <= 0 && x.task.GetSpec().GetKind() != egretmuxv1.TaskKind_TASK_KIND_SERVICE:
			c.end(w, x, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_SUCCEEDED)
		}
	}
	if !w.cut && (c.now-w.told >= announceMs || len(w.finished) > 0 || w.untold()) {
		w.told = c.now
		c.announce(w)
	}
}

func (w *fakeWorker) untold() bool {
	for _, x := range w.running {
		if !x.told {
			return true
		}
	}
	return false
}

func (w *fakeWorker) executions() []*execution {
	var out []*execution
	for _, x := range w.running {
		out = append(out, x)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].attempt.GetId() < out[j].attempt.GetId() })
	return out
}

func (c *cell) stopAll(w *fakeWorker) {
	for _, x := range w.executions() {
		c.end(w, x, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPED)
	}
	w.epoch = 0
}

// restart loses everything that the worker's process knew and ran.
func (c *cell) restart(w *fakeWorker) {
	c.stopAll(w)
	clear(w.finished)
	clear(w.fenced)
	w.paused = false
}

// announce is one exchange with the leader; its answer may get lost.
func (c *cell) announce(w *fakeWorker) {
	id := w.record.GetId()
	known := c.store.Worker(id)
	if w.epoch != 0 && (known.GetEpoch() != w.epoch || known.GetPhase() == egretmuxv1.WorkerPhase_WORKER_PHASE_LOST) {
		w.epoch = 0
	}
	var changes []*egretmuxv1.AttemptChange
	var running []uint64
	var usage []*egretmuxv1.AttemptUsage
	for _, x := range w.executions() {
		if c.store.TaskOfAttempt(id, x.attempt.GetId()) == 0 {
			c.end(w, x, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPED)
			delete(w.finished, x.attempt.GetId())
			continue
		}
		running = append(running, x.attempt.GetId())
		changes = append(changes, change(x.task, x.attempt, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_RUNNING))
		usage = append(usage, c.usageOf(w, x))
	}
	ended := make([]uint64, 0, len(w.finished))
	for a := range w.finished {
		ended = append(ended, a)
	}
	sort.Slice(ended, func(i, j int) bool { return ended[i] < ended[j] })
	for _, a := range ended {
		changes = append(changes, w.finished[a])
	}
	c.report(changes)
	epoch := w.epoch
	if epoch == 0 {
		epoch = c.apply(&egretmuxv1.Command{Body: &egretmuxv1.Command_RegisterWorker{RegisterWorker: &egretmuxv1.RegisterWorker{Worker: w.record, Running: running}}}).Worker.GetEpoch()
	}
	c.planner.SetUsage(id, usage, c.now)
	w.heard = c.now
	if c.lossy() {
		return
	}
	w.epoch = epoch
	w.lease = c.now + leaseMs
	clear(w.finished)
	for _, x := range w.running {
		x.told = true
	}
}

func (c *cell) usageOf(w *fakeWorker, x *execution) *egretmuxv1.AttemptUsage {
	used := worker.ResourcesFromProto(x.task.GetSpec().GetResources()).Scale(c.truths[x.task.GetId()].useParts)
	if limit := w.throttled[x.attempt.GetId()]; limit > 0 {
		used.CPUMillis = min(used.CPUMillis, limit)
	}
	return &egretmuxv1.AttemptUsage{Attempt: x.attempt.GetId(), Used: used.Proto(), AgeMs: 2000}
}

func (c *cell) report(changes []*egretmuxv1.AttemptChange) {
	if len(changes) > 0 {
		c.apply(&egretmuxv1.Command{Body: &egretmuxv1.Command_ReportAttempts{ReportAttempts: &egretmuxv1.ReportAttempts{Changes: changes}}})
	}
}
