package jobs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Timing of a runner.
const (
	maxLease        = 6 * time.Second
	heartbeatPeriod = 500 * time.Millisecond
	reportTimeout   = time.Second
	stopDelay       = 20 * time.Millisecond // shortest time that a stop takes, and period of lease checks
	clockStart      = 1000                  // reading of the steady clock at the start, in milliseconds
	minLateDelay    = 500 * time.Millisecond
	maxLateDelay    = 12 * time.Second // until an order without an answer is carried out
	maxListedEnds   = 500              // ends in one answer, oldest first
)

// RunnerConfig describes a stand-in runner.
type RunnerConfig struct {
	ID, Pool, Zone string
	CPU, MemMB     int64
	Controls       []string // control addresses of instances
	Ledger         *Ledger
	Seed           uint64
	LateShare      float64 // share of orders that get no answer and are executed late
	Address        string  // where an earlier life listened; any free port if empty
	ClockRate      float64 // of its steady clock; 1 if zero
	// Crashed, unless nil, is called after a task whose text begins with specCrash has
	// crashed the runner.
	Crashed func()
	Labels  []string // "a" and "r1-1" if nil
	Adviser *Adviser // checks the tickets of jobs that need one; nil: no ticket is checked
	// MaxLateDelay is the longest time until an order without an answer is carried out;
	// maxLateDelay if zero.
	MaxLateDelay time.Duration
	MaxLease     time.Duration // longest lease; maxLease if zero
	MaxStopDelay time.Duration // longest time that a stop takes; stopDelay if zero
	WorkFactor   float64       // of the time that its tasks of speculative steps last; 1 if zero
	Birth        time.Time     // start that it reports, where its time of day is wrong; its start if zero
	Machine      string        // that it is a life of; one of its own if empty
}

// specFailOnce begins the text of jobs the first run of whose tasks fails.
const specFailOnce = "fail once"

// specCrash begins the text of jobs whose first task crashes each runner that starts it,
// crashDelay after its start.
const (
	specCrash  = "crash"
	crashDelay = 20 * time.Millisecond
)

// shrinkGrace is the time for which the larger capacity of a runner that has shrunk still
// counts: three seconds and a heartbeat, and the seconds in which the cell may be without a
// leader or the heartbeats do not arrive.
const shrinkGrace = 10 * time.Second

// Runner is a stand-in for one runner. It starts every task it is ordered to, even
// beyond its capacity, and records the violations in its ledger.
type Runner struct {
	cfg     RunnerConfig
	started time.Time // of the steady clock
	born    int64     // start that it reports, in Unix milliseconds; tells its incarnations apart
	server  *http.Server
	address string
	cancel  context.CancelFunc
	gone    chan struct{}

	mu           sync.Mutex
	rng          *rand.Rand
	draining     bool
	drainUntil   time.Time // until when it serves at least
	drainNoted   time.Time // when an instance has acknowledged that it drains
	ended        bool
	crashed      bool // by one of its tasks
	fencingToken uint64
	leaseUntil   int64    // end of the lease on its clock, in milliseconds
	leaseEnd     leaseEnd // the same, for the ledger
	loss         Loss
	cutAtPoll    bool      // everything is lost from the next poll that it carries out
	lateChance   float64   // share of polls that get no answer and are carried out late
	acknowledged uint64    // ends up to this number are forgotten
	lapsedAt     time.Time // when runs were last killed as the lease had expired
	running      map[Task]*runningTask
	highestRun   map[Task]uint64 // highest run number that was stopped or has ended here
	finished     []finishedRun
	lastEnd      uint64 // cursor of the newest entry of finished
	sequence     uint64
	cpu          int64 // capacity that it reports
	formerCPU    int64 // the largest capacity that still counts
	shrunkAt     time.Time
	runEnded     chan struct{} // closed and replaced when a run ends
}

type runningTask struct {
	number uint64
	spec   string
	cpu    int64
	memMB  int64
	began  time.Time
	length time.Duration
	timer  *time.Timer
	saves  bool          // its step checkpoints
	serves bool          // it lasts, and few of its step may miss: it is at work after its startup
	before time.Duration // work of earlier runs that it resumes from
	saved  string        // newest checkpoint
}

type finishedRun struct {
	cursor  uint64
	task    Task
	number  uint64
	outcome string
	at      time.Time
	saved   string
	listed  *awaited // its acknowledgement; nil: it was not listed yet
}

// StartRunner starts a runner that serves orders and sends heartbeats.
func StartRunner(cfg RunnerConfig) (*Runner, error) {
	if cfg.Address == "" {
		cfg.Address = "127.0.0.1:0"
	}
	if cfg.ClockRate == 0 {
		cfg.ClockRate = 1
	}
	if cfg.Labels == nil {
		cfg.Labels = []string{"a", "r1-1"}
	}
	if cfg.MaxLateDelay == 0 {
		cfg.MaxLateDelay = maxLateDelay
	}
	if cfg.MaxLease == 0 {
		cfg.MaxLease = maxLease
	}
	if cfg.MaxStopDelay == 0 {
		cfg.MaxStopDelay = stopDelay
	}
	if cfg.Machine == "" {
		cfg.Machine = "m-" + cfg.ID
	}
	started := time.Now()
	if cfg.Birth.IsZero() {
		cfg.Birth = started
	}
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{
		cfg: cfg, started: started, born: cfg.Birth.UnixMilli(), address: listener.Addr().String(), cancel: cancel, gone: make(chan struct{}),
		rng:     rand.New(rand.NewPCG(cfg.Seed, uint64(time.Now().UnixNano()))),
		running: make(map[Task]*runningTask), highestRun: make(map[Task]uint64), runEnded: make(chan struct{}),
		cpu: cfg.CPU,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.orderHandler(r.start))
	mux.HandleFunc("POST /run-stop", r.orderHandler(r.stop))
	mux.HandleFunc("POST /hold", r.serveHold)
	r.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = r.server.Serve(listener) }()
	go r.heartbeatLoop(ctx)
	go r.leaseLoop(ctx)
	return r, nil
}

// Address returns the address that serves orders.
func (r *Runner) Address() string { return r.address }

// ID returns the runner's id, which its next life may have as well.
func (r *Runner) ID() string { return r.cfg.ID }

// Born returns the start of this life, in Unix milliseconds.
func (r *Runner) Born() int64 { return r.born }

// Crash kills the runner and all its runs.
func (r *Runner) Crash() {
	r.mu.Lock()
	for t := range r.running {
		r.cfg.Ledger.recordCrash(t)
	}
	r.mu.Unlock()
	r.end()
}

// Restart crashes a runner that is up, and reports whether it was: its next life may then be
// started.
func (r *Runner) Restart() bool {
	r.mu.Lock()
	up := !r.ended && !r.crashed && !r.draining
	r.crashed = r.crashed || up
	r.mu.Unlock()
	if up {
		r.Crash()
	}
	return up
}

// end ends the runner and all its runs.
func (r *Runner) end() {
	r.cancel()
	_ = r.server.Close()
	r.noteLoss(false)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireLease()
	r.ended = true
	for _, f := range r.finished {
		r.cfg.Ledger.settle(f.listed, false)
	}
	for t := range r.running {
		r.discardRun(t)
	}
}

// Resize changes the capacity that the runner reports.
func (r *Runner) Resize(cpu int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cpu < r.cpu {
		r.formerCPU, r.shrunkAt = r.countedCPU(), time.Now()
	}
	r.cpu = cpu
}

// countedCPU returns the capacity beyond which a start is a violation. The caller holds r.mu.
func (r *Runner) countedCPU() int64 {
	if time.Since(r.shrunkAt) < shrinkGrace {
		return max(r.cpu, r.formerCPU)
	}
	return r.cpu
}

// discardRun ends a run without listing its end. The caller holds r.mu.
func (r *Runner) discardRun(t Task) {
	taskRun := r.running[t]
	taskRun.timer.Stop()
	delete(r.running, t)
	r.cfg.Ledger.recordEnd(t, taskRun.number, r.name(), "crashed", time.Now())
	r.cfg.Ledger.leaveGang(t, taskRun.number, "crashed")
}

func (r *Runner) name() string { return r.cfg.ID + "@" + strconv.FormatInt(r.born, 10) }

func (r *Runner) clockMs() int64 {
	return int64(float64(time.Since(r.started).Milliseconds())*r.cfg.ClockRate) + clockStart
}

// SetCutOff cuts the runner off from all instances, or ends that. Meanwhile it gets no calls, its
// answers are lost, and what it runs goes on until the lease ends.
func (r *Runner) SetCutOff(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loss, r.cutAtPoll = Loss{}, false
	if cut {
		r.loss = allLost
	}
	r.noteLoss(cut)
}

// Drain reports the runner as draining, waits, then deregisters and stops it.
func (r *Runner) Drain(wait time.Duration) {
	r.mu.Lock()
	r.draining, r.drainUntil = true, time.Now().Add(wait)
	r.mu.Unlock()
	r.cfg.Ledger.setRunnerFault(r, true)
	time.Sleep(wait)
	leave, acknowledged := r.cfg.Ledger.await(leaves, "leave of %s", r.name()), false
	for began := time.Now(); !acknowledged && time.Since(began) < leaveTime; {
		if acknowledged = r.post("/Instances.Leave/"+r.cfg.ID, map[string]any{"born": r.born}); !acknowledged {
			time.Sleep(leavePeriod)
		}
	}
	r.cfg.Ledger.settle(leave, acknowledged)
	r.end()
}

const (
	leavePeriod = 300 * time.Millisecond // between two announcements of an end that is not acknowledged
	leaveTime   = 3 * time.Second        // after which a runner ends also without an acknowledgement
)

// LeaveUnacknowledged announces the end of the runner again and again, loses all acknowledgements,
// and stops it after a time. What it runs goes on until then.
func (r *Runner) LeaveUnacknowledged(wait time.Duration) {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.noteLoss(true)
	for began := time.Now(); time.Since(began) < wait; time.Sleep(leavePeriod) {
		r.post("/Instances.Leave/"+r.cfg.ID, map[string]any{"born": r.born})
	}
	r.end()
}

// Ends returns how many ends of runs the runner has listed.
func (r *Runner) Ends() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastEnd
}

// Up reports whether the runner works and is not about to end.
func (r *Runner) Up() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.ended && !r.crashed && !r.draining
}

func (r *Runner) heartbeatLoop(ctx context.Context) {
	for ctx.Err() == nil {
		body := r.heartbeat()
		if !r.loses(heartbeats) && r.post(r.heartbeatPath(), body) && body["state"] == "draining" {
			r.noteDrain()
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatPeriod):
		}
	}
}

// post sends a report to instances in random order until one accepts it,
// and reports whether one has.
func (r *Runner) post(path string, body map[string]any) bool {
	data, err := json.Marshal(body)
	if err != nil {
		return false
	}
	r.mu.Lock()
	instances := r.rng.Perm(len(r.cfg.Controls))
	r.mu.Unlock()
	client := http.Client{Timeout: reportTimeout}
	for _, i := range instances {
		resp, err := client.Post("http://"+r.cfg.Controls[i]+path, "application/json", bytes.NewReader(data))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode/100 == 2 {
			return true
		}
	}
	return false
}

// leaseLoop ends all runs when the lease has expired.
func (r *Runner) leaseLoop(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(stopDelay)
		r.mu.Lock()
		r.expireLease()
		r.mu.Unlock()
	}
}

// finish ends a run and lists its end for the leader. The caller holds r.mu.
func (r *Runner) finish(t Task, outcome string) { r.finishAt(t, outcome, time.Now()) }

func (r *Runner) finishAt(t Task, outcome string, at time.Time) {
	taskRun := r.running[t]
	if taskRun == nil {
		return
	}
	taskRun.timer.Stop()
	delete(r.running, t)
	r.highestRun[t] = max(r.highestRun[t], taskRun.number)
	r.lastEnd++
	r.checkpoint(t, taskRun, at, outcome == "stopped")
	r.finished = append(r.finished, finishedRun{r.lastEnd, t, taskRun.number, outcome, at, taskRun.saved, nil})
	r.cfg.Ledger.recordEnd(t, taskRun.number, r.name(), outcome, at)
	r.cfg.Ledger.leaveGang(t, taskRun.number, outcome)
	close(r.runEnded)
	r.runEnded = make(chan struct{})
}

type runnerOrder struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadline_ms"`
	FencingToken uint64 `json:"fencing_token"`
	AckCursor    uint64 `json:"ack_cursor"`
	WaitMs       int64  `json:"wait_ms"`
	Ticket       string `json:"ticket"`
	Checkpoint   string `json:"checkpoint"`

	late bool // it is carried out late
}

// orderHandler returns a handler that executes one order. It leaves LateShare of
// the orders unanswered and executes them late.
func (r *Runner) orderHandler(execute func(Task, runnerOrder) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		order, t, ok := r.readOrder(w, req)
		if !ok {
			return
		}
		r.mu.Lock()
		late := r.rng.Float64() < r.cfg.LateShare
		delay := minLateDelay + time.Duration(r.rng.Int64N(int64(r.cfg.MaxLateDelay-minLateDelay)))
		r.mu.Unlock()
		if late {
			order.late = true
			r.cfg.Ledger.addLateOrders(1)
			r.cfg.Ledger.noteLateMember(t, order.Run)
			time.AfterFunc(delay, func() {
				execute(t, order)
				r.cfg.Ledger.addLateOrders(-1)
			})
			<-req.Context().Done()
			return
		}
		status, reason := execute(t, order)
		r.writeAnswer(w, req, status, map[string]any{"clock_ms": r.clockMs(), "reason": reason})
	}
}

func (r *Runner) readOrder(w http.ResponseWriter, req *http.Request) (runnerOrder, Task, bool) {
	var order runnerOrder
	body, err := io.ReadAll(req.Body)
	if r.loses(calls) {
		<-req.Context().Done()
		return order, Task{}, false
	}
	if err != nil || json.Unmarshal(body, &order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return order, Task{}, false
	}
	if id := req.Header.Get("Expect-Instance"); id != "" && id != r.cfg.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return order, Task{}, false
	}
	var t Task
	parts := strings.Split(order.Task, ".")
	if len(parts) == 4 {
		t.Job = parts[0]
		t.Occurrence, _ = strconv.Atoi(parts[1])
		t.Step, _ = strconv.Atoi(parts[2])
		t.Index, _ = strconv.Atoi(parts[3])
	}
	return order, t, true
}

// writeAnswer sends an answer, and reports whether it was not lost.
func (r *Runner) writeAnswer(w http.ResponseWriter, req *http.Request, status int, body map[string]any) bool {
	if r.loses(answers) {
		<-req.Context().Done()
		return false
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(body) == nil
}

// isFenced reports whether an order's fencing token is stale, which means that its
// sender is no longer the leader. It remembers a token that is not. The caller
// holds r.mu.
func (r *Runner) isFenced(order runnerOrder) bool {
	if order.FencingToken < r.fencingToken {
		return true
	}
	r.fencingToken = order.FencingToken
	return false
}

// extendLease extends the lease to a deadline on the runner's clock, at most by
// the longest lease from now. The caller holds r.mu.
func (r *Runner) extendLease(deadlineMs int64) {
	r.expireLease()
	r.leaseUntil = max(r.leaseUntil, min(deadlineMs, r.clockMs()+r.cfg.MaxLease.Milliseconds()))
	r.leaseEnd.set(r.leaseEndsAt())
}

func (r *Runner) start(t Task, order runnerOrder) (int, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireLease()
	if r.isFenced(order) || r.ended {
		return http.StatusConflict, "fence"
	}
	if taskRun := r.running[t]; taskRun != nil && taskRun.number == order.Run {
		return http.StatusOK, ""
	}
	if order.Run <= r.highestRun[t] || r.running[t] != nil {
		r.extendLease(order.DeadlineMs)
		return http.StatusConflict, "old"
	}
	if order.DeadlineMs <= r.clockMs() {
		return http.StatusConflict, "late"
	}
	j := r.cfg.Ledger.job(t.Job)
	if a := r.cfg.Adviser; a != nil && j != nil && j.Advised && !a.accepts(order.Ticket, phaseOf(t), r.cfg.ID) {
		return http.StatusConflict, "ticket"
	}
	r.extendLease(order.DeadlineMs)
	r.cfg.Ledger.recordStart(t, order.Run, r.name(), order.Spec, &r.leaseEnd, order.late)
	r.checkStart(t, j, order.late)
	taskRun := &runningTask{number: order.Run, spec: order.Spec, began: time.Now(), length: 100 * time.Millisecond}
	if j != nil && t.Step < len(j.Steps) {
		taskRun.cpu, taskRun.memMB = j.Steps[t.Step].CPU, j.Steps[t.Step].MemMB
		taskRun.length = time.Duration(j.Steps[t.Step].Ms) * time.Millisecond
		taskRun.saves = j.Steps[t.Step].Checkpointing
		taskRun.serves = j.Steps[t.Step].LongRunning && j.Steps[t.Step].MayMiss > 0
	}
	if order.Checkpoint != "" {
		taskRun.before = r.cfg.Ledger.resume(t, order.Checkpoint, r.name())
		taskRun.saved = order.Checkpoint
		taskRun.length = max(0, taskRun.length-taskRun.before)
	}
	if r.cfg.WorkFactor > 0 && j != nil && j.speculative(t.Step) {
		taskRun.length = time.Duration(float64(taskRun.length) * r.cfg.WorkFactor)
	}
	cpuInUse := taskRun.cpu
	for _, other := range r.running {
		cpuInUse += other.cpu
	}
	if counted := r.countedCPU(); cpuInUse > counted {
		r.cfg.Ledger.AddViolation("LIMIT %v on %s: %d of %d", t, r.name(), cpuInUse, counted)
	}
	outcome := "done"
	if strings.HasPrefix(order.Spec, "fail") {
		outcome = "failed"
	}
	if strings.HasPrefix(order.Spec, specFailOnce) && order.Run > 1 {
		outcome = "done"
	}
	crashes := strings.HasPrefix(order.Spec, specCrash) && t.Index == 0
	if crashes {
		taskRun.length = time.Hour // it does not end before it crashes the runner, however late that is
	}
	end := func(outcome string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.expireLease()
		if r.running[t] == taskRun {
			r.finish(t, outcome)
		}
	}
	r.running[t] = taskRun
	if j != nil && j.Steps[t.Step].Gang {
		wait := r.cfg.Ledger.joinGang(t, order.Run, j.Steps[t.Step].Count, taskRun.length, end)
		taskRun.timer = time.AfterFunc(wait, func() {
			if !r.cfg.Ledger.gangComplete(t, order.Run) {
				end("alone")
			}
		})
	} else {
		taskRun.timer = time.AfterFunc(taskRun.length, func() { end(outcome) })
	}
	if crashes {
		time.AfterFunc(crashDelay, r.crashUnderATask)
	}
	return http.StatusOK, ""
}

// crashUnderATask crashes the runner, unless it has ended meanwhile.
func (r *Runner) crashUnderATask() {
	r.mu.Lock()
	ended := r.ended || r.crashed
	r.crashed = true // another task may crash it at the same moment, and it has one next life
	r.mu.Unlock()
	if ended {
		return
	}
	r.Crash()
	if r.cfg.Crashed != nil {
		r.cfg.Crashed()
	}
}

func (r *Runner) stop(t Task, order runnerOrder) (int, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isFenced(order) {
		return http.StatusConflict, "fence"
	}
	r.expireLease()
	r.highestRun[t] = max(r.highestRun[t], order.Run)
	if taskRun := r.running[t]; taskRun != nil && taskRun.number <= order.Run {
		r.cfg.Ledger.recordStop(t, taskRun.number, r.name())
		if !r.draining && !order.late {
			r.cfg.Ledger.orderedStop(t, taskRun.number, r)
		}
		time.AfterFunc(r.stopTime(), func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.expireLease()
			if r.running[t] == taskRun {
				r.finish(t, "stopped")
			}
		})
	}
	return http.StatusOK, ""
}

// serveHold serves the leader's long poll: it extends the lease, drops acknowledged
// ends and answers with the runs in progress and the ends not yet acknowledged.
func (r *Runner) serveHold(w http.ResponseWriter, req *http.Request) {
	order, _, ok := r.readOrder(w, req)
	if !ok {
		return
	}
	if r.isLatePoll() {
		r.pollLate(order)
		<-req.Context().Done()
		return
	}
	r.mu.Lock()
	if r.isFenced(order) {
		r.mu.Unlock()
		r.writeAnswer(w, req, http.StatusConflict, map[string]any{"clock_ms": r.clockMs(), "reason": "fence"})
		return
	}
	r.extendLease(order.DeadlineMs)
	r.dropAcknowledged(order.AckCursor)
	if r.cutAtPoll {
		r.cutAtPoll, r.loss = false, allLost
	}
	runEnded := r.runEnded
	nothingToReport := len(r.finished) == 0
	r.mu.Unlock()
	if nothingToReport && order.WaitMs > 0 {
		select {
		case <-runEnded:
		case <-time.After(time.Duration(order.WaitMs) * time.Millisecond):
		case <-req.Context().Done():
			return
		}
	}
	r.mu.Lock()
	running, ended := [][]any{}, [][]any{}
	r.expireLease()
	for t, taskRun := range r.running {
		r.checkpoint(t, taskRun, time.Now(), false)
		percent := min(99, 100*float64(time.Since(taskRun.began))/float64(max(1, taskRun.length)))
		if r.cfg.Ledger.waitsForOthers(t, taskRun.number) {
			percent = 0
		}
		if taskRun.serves && time.Since(taskRun.began) >= lastingStartup {
			percent = 100
		}
		running = append(running, []any{taskName(t), taskRun.number, taskRun.saved, int(percent)})
	}
	lastListed := uint64(0)
	for _, f := range r.finished[:min(len(r.finished), maxListedEnds)] {
		lastListed = f.cursor
		ended = append(ended, []any{f.cursor, taskName(f.task), f.number, f.outcome, f.saved})
	}
	r.mu.Unlock()
	if r.writeAnswer(w, req, http.StatusOK, map[string]any{"clock_ms": r.clockMs(), "born": r.born, "running": running, "finished": ended}) {
		r.noteListed(lastListed)
	}
}

// noteListed records that ends up to a cursor were listed.
func (r *Runner) noteListed(cursor uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	for n := range r.finished {
		if f := &r.finished[n]; f.cursor <= cursor && f.listed == nil {
			f.listed = r.cfg.Ledger.await(listedEnds, "end %d of %s, run %d of %v", f.cursor, r.name(), f.number, f.task)
		}
	}
}

// dropAcknowledged drops the ends that the leader has acknowledged. The caller
// holds r.mu.
func (r *Runner) dropAcknowledged(cursor uint64) {
	r.acknowledged = max(r.acknowledged, cursor)
	kept := r.finished[:0]
	for _, f := range r.finished {
		if f.cursor <= r.acknowledged {
			r.cfg.Ledger.settle(f.listed, true)
			if !r.lapsedAt.After(f.at) { // otherwise the end does not count
				r.cfg.Ledger.recordAcknowledgement(f.task, f.number, r.name(), f.outcome)
			}
			continue
		}
		kept = append(kept, f)
	}
	r.finished = kept
}

func taskName(t Task) string { return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index) }
