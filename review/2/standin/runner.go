package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform, as in the settings.
const (
	holdMax         = 6 * time.Second
	heartbeatPeriod = 1500 * time.Millisecond
	stopTime        = 50 * time.Millisecond
	startupTime     = 300 * time.Millisecond // until a task that lasts is at work
	gangTimeout     = 3 * time.Second
	maxListedEnds   = 500
)

// ledger knows the jobs that were sent and follows the runs on all runners.
type ledger struct {
	rec *record

	mu   sync.Mutex
	jobs map[string]*job
	runs []*runRecord
}

// runRecord is one run of a task, from its start to its end.
type runRecord struct {
	task    string
	run     uint64
	runner  string
	began   time.Time
	ended   time.Time // zero while it runs
	how     string
	atWork  time.Time // when a task that lasts was at work; zero before
	byOrder string    // the order that ended it: stop or upkeep
	noted   bool      // whether its end was acknowledged, without a lapse of the lease in between
}

func newLedger(rec *record) *ledger { return &ledger{rec: rec, jobs: make(map[string]*job)} }

func (l *ledger) add(j *job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[j.id] = j
}

// phaseOf returns the step of a task named ID.K.STEP.INDEX.
func (l *ledger) phaseOf(task string) *phase {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[parts[0]]
	step, err := strconv.Atoi(parts[2])
	if j == nil || err != nil || step >= len(j.phases) {
		return nil
	}
	return &j.phases[step]
}

// runsOf returns copies of the runs whose task name begins with the prefix.
func (l *ledger) runsOf(prefix string) []runRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []runRecord
	for _, r := range l.runs {
		if strings.HasPrefix(r.task, prefix) {
			out = append(out, *r)
		}
	}
	return out
}

// activeRun is a run on a runner.
type activeRun struct {
	record  *runRecord
	phase   *phase
	percent int // of full speed, by pace orders
	timer   *time.Timer
	stops   bool
}

type listedEnd struct {
	number uint64
	task   string
	run    uint64
	how    string
	record *runRecord
}

// runner is one life of a runner on a machine.
type runner struct {
	id, machine, zone, rack string
	kind                    string
	cpu, memMB              int64
	controls                []string
	rec                     *record
	ledger                  *ledger
	born                    time.Time
	listener                net.Listener
	server                  *http.Server

	mu         sync.Mutex
	gone       bool
	draining   bool
	fence      uint64
	leaseUntil time.Time
	lapsedAt   time.Time // when the lease was last found to have lapsed
	runs       map[string]*activeRun
	highest    map[string]uint64
	ends       []listedEnd
	lastEnd    uint64
	sequence   uint64
	changed    chan struct{}
	logAcks    func(task string) bool // nil: acknowledgements are not logged
	done       chan struct{}
}

// startRunner starts a runner of kind a.
func startRunner(rec *record, l *ledger, id, machine, zone, rack string, cpu, memMB int64, controls []string) (*runner, error) {
	return startRunnerOfKind(rec, l, id, machine, zone, rack, "a", cpu, memMB, controls)
}

func startRunnerOfKind(rec *record, l *ledger, id, machine, zone, rack, kind string, cpu, memMB int64, controls []string) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		id: id, machine: machine, zone: zone, rack: rack, kind: kind, cpu: cpu, memMB: memMB, controls: controls, rec: rec, ledger: l, born: time.Now(),
		listener: listener, runs: make(map[string]*activeRun), highest: make(map[string]uint64), changed: make(chan struct{}), done: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.serveStart)
	mux.HandleFunc("POST /run-stop", r.serveStop)
	mux.HandleFunc("POST /hold", r.serveHold)
	mux.HandleFunc("POST /pace", r.servePace)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(listener) }()
	go r.heartbeatLoop()
	go r.leaseLoop()
	rec.logf("runner %s of machine %s started at %s", id, machine, listener.Addr())
	return r, nil
}

func (r *runner) clockMs() int64 { return time.Since(r.born).Milliseconds() + 1000 }

func (r *runner) heartbeatLoop() {
	for i := 0; ; i++ {
		r.mu.Lock()
		r.sequence++
		state := "ready"
		if r.draining {
			state = "draining"
		}
		body := map[string]any{
			"service": serviceName, "address": r.listener.Addr().String(), "zone": r.zone, "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
			"capacity": map[string]int64{"cpu": r.cpu, "mem_mb": r.memMB, "gpu": 0}, "labels": []string{r.kind, r.rack},
			"clock_ms": r.clockMs(), "sequence": r.sequence, "born": r.born.UnixMilli(), "machine": r.machine,
		}
		r.mu.Unlock()
		for try := range r.controls {
			address := r.controls[(i+try)%len(r.controls)]
			if status, _ := exchange(http.MethodPost, "http://"+address+"/Instances.Heartbeat/"+r.id, "", nil, body, time.Second); status/100 == 2 {
				break
			}
			if r.isGone() {
				return
			}
		}
		select {
		case <-r.done:
			return
		case <-time.After(heartbeatPeriod):
		}
	}
}

func (r *runner) isGone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gone
}

// crash ends the runner and all that runs on it. Connections break.
func (r *runner) crash(why, order string) {
	r.mu.Lock()
	if r.gone {
		r.mu.Unlock()
		return
	}
	r.gone = true
	r.rec.logf("runner %s of machine %s ends: %s", r.id, r.machine, why)
	for _, a := range r.runs {
		r.closeRun(a, why, order)
	}
	close(r.done)
	r.mu.Unlock()
	_ = r.server.Close()
}

// closeRun records the end of a run that is not listed. The caller holds mu.
func (r *runner) closeRun(a *activeRun, how, order string) {
	if a.timer != nil {
		a.timer.Stop()
	}
	delete(r.runs, a.record.task)
	r.ledger.mu.Lock()
	a.record.ended, a.record.how, a.record.byOrder = time.Now(), how, order
	r.ledger.mu.Unlock()
	r.rec.logf("run %s #%d on %s ended: %s", a.record.task, a.record.run, r.id, how)
}

// endRun ends a run and lists its end. The caller holds mu.
func (r *runner) endRun(a *activeRun, how, order string) {
	if r.runs[a.record.task] != a {
		return
	}
	r.closeRun(a, how, order)
	r.highest[a.record.task] = max(r.highest[a.record.task], a.record.run)
	r.lastEnd++
	r.ends = append(r.ends, listedEnd{r.lastEnd, a.record.task, a.record.run, how, a.record})
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) leaseLoop() {
	for {
		select {
		case <-r.done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		r.mu.Lock()
		if now := time.Now(); now.After(r.leaseUntil) {
			r.lapsedAt = now
			for _, a := range r.runs {
				r.endRun(a, "lapsed", "")
			}
		}
		r.mu.Unlock()
	}
}

type order struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadline_ms"`
	FencingToken uint64 `json:"fencing_token"`
	AckCursor    uint64 `json:"ack_cursor"`
	WaitMs       int64  `json:"wait_ms"`
	Percent      int    `json:"percent"`
}

// read decodes an order for this runner. It answers those for another one.
func (r *runner) read(w http.ResponseWriter, req *http.Request) (order, bool) {
	var o order
	data, err := io.ReadAll(req.Body)
	if err != nil || json.Unmarshal(data, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	if id := req.Header.Get("Expect-Instance"); id != "" && id != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	return o, true
}

func (r *runner) answer(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock_ms": r.clockMs()}
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// fenced reports whether a newer leader has called. The caller holds mu.
func (r *runner) fenced(o order) bool {
	if o.FencingToken < r.fence {
		return true
	}
	r.fence = o.FencingToken
	return false
}

// extend extends the lease, at most by holdMax. The caller holds mu.
func (r *runner) extend(deadlineMs int64) {
	if deadlineMs == 0 {
		return
	}
	until := r.born.Add(time.Duration(deadlineMs-1000) * time.Millisecond)
	if latest := time.Now().Add(holdMax); until.After(latest) {
		until = latest
	}
	if until.After(r.leaseUntil) {
		r.leaseUntil = until
	}
}

func (r *runner) serveStart(w http.ResponseWriter, req *http.Request) {
	o, ok := r.read(w, req)
	if !ok {
		return
	}
	r.mu.Lock()
	status, reason := r.start(o)
	r.mu.Unlock()
	r.rec.logf("start %s #%d at %s, fence %d, lease %d -> %d %s", o.Task, o.Run, r.id, o.FencingToken, o.DeadlineMs, status, reason)
	r.answer(w, status, reason)
}

func (r *runner) start(o order) (int, string) {
	if r.fenced(o) {
		return http.StatusConflict, "fence"
	}
	if a := r.runs[o.Task]; a != nil && a.record.run == o.Run {
		return http.StatusOK, ""
	}
	if o.Run <= r.highest[o.Task] || r.runs[o.Task] != nil {
		r.extend(o.DeadlineMs)
		return http.StatusConflict, "old"
	}
	if o.DeadlineMs <= r.clockMs() {
		return http.StatusConflict, "late"
	}
	p := r.ledger.phaseOf(o.Task)
	if p == nil {
		return http.StatusBadRequest, ""
	}
	r.extend(o.DeadlineMs)
	rec := &runRecord{task: o.Task, run: o.Run, runner: r.id, began: time.Now()}
	r.ledger.mu.Lock()
	r.ledger.runs = append(r.ledger.runs, rec)
	r.ledger.mu.Unlock()
	a := &activeRun{record: rec, phase: p, percent: 100}
	r.runs[o.Task] = a
	length := p.lengthOf(o.Task)
	if p.LongRunning {
		length = startupTime
	}
	a.timer = time.AfterFunc(length, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.runs[o.Task] != a {
			return
		}
		if p.LongRunning {
			r.ledger.mu.Lock()
			rec.atWork = time.Now()
			r.ledger.mu.Unlock()
			r.rec.logf("run %s #%d on %s is at work", rec.task, rec.run, r.id)
			return
		}
		how := "done"
		if p.fails {
			how = "failed"
		}
		r.endRun(a, how, "")
	})
	return http.StatusOK, ""
}

func (r *runner) serveStop(w http.ResponseWriter, req *http.Request) {
	o, ok := r.read(w, req)
	if !ok {
		return
	}
	r.mu.Lock()
	status, reason := http.StatusOK, ""
	if r.fenced(o) {
		status, reason = http.StatusConflict, "fence"
	} else {
		r.highest[o.Task] = max(r.highest[o.Task], o.Run)
		if a := r.runs[o.Task]; a != nil && a.record.run <= o.Run && !a.stops {
			a.stops = true
			time.AfterFunc(stopTime, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.endRun(a, "stopped", "stop")
			})
		}
	}
	r.mu.Unlock()
	r.rec.logf("stop %s #%d at %s, fence %d -> %d %s", o.Task, o.Run, r.id, o.FencingToken, status, reason)
	r.answer(w, status, reason)
}

func (r *runner) servePace(w http.ResponseWriter, req *http.Request) {
	o, ok := r.read(w, req)
	if !ok {
		return
	}
	apply := func() (int, string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.fenced(o) {
			return http.StatusConflict, "fence"
		}
		a := r.runs[o.Task]
		if a == nil || a.record.run != o.Run {
			return http.StatusConflict, "old"
		}
		a.percent = o.Percent
		return http.StatusOK, ""
	}
	status, reason := apply()
	r.rec.logf("pace %s #%d to %d at %s -> %d %s", o.Task, o.Run, o.Percent, r.id, status, reason)
	r.answer(w, status, reason)
}

func (r *runner) serveHold(w http.ResponseWriter, req *http.Request) {
	o, ok := r.read(w, req)
	if !ok {
		return
	}
	r.mu.Lock()
	if r.fenced(o) {
		r.mu.Unlock()
		r.answer(w, http.StatusConflict, "fence")
		return
	}
	r.extend(o.DeadlineMs)
	kept := r.ends[:0]
	for _, e := range r.ends {
		if e.number > o.AckCursor {
			kept = append(kept, e)
			continue
		}
		r.ledger.mu.Lock()
		e.record.noted = r.lapsedAt.Before(e.record.ended)
		r.ledger.mu.Unlock()
		if r.logAcks != nil && r.logAcks(e.task) {
			r.rec.logf("end of %s #%d (%s) at %s acknowledged, fence %d", e.task, e.run, e.how, r.id, o.FencingToken)
		}
	}
	r.ends = kept
	changed, idle := r.changed, len(r.ends) == 0
	r.mu.Unlock()
	if idle && o.WaitMs > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-req.Context().Done():
			return
		case <-r.done:
		}
	}
	r.mu.Lock()
	running, finished := [][]any{}, [][]any{}
	for _, a := range r.runs {
		running = append(running, []any{a.record.task, a.record.run, "", r.progress(a), r.load(a)})
	}
	for _, e := range r.ends {
		if len(finished) < maxListedEnds {
			finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
		}
	}
	r.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": r.clockMs(), "born": r.born.UnixMilli(), "running": running, "finished": finished})
}

// progress returns the percent of a run. The caller holds mu.
func (r *runner) progress(a *activeRun) int {
	if a.phase.LongRunning {
		r.ledger.mu.Lock()
		defer r.ledger.mu.Unlock()
		if a.record.atWork.IsZero() {
			return 0
		}
		return 100
	}
	return min(99, int(100*time.Since(a.record.began)/max(1, a.phase.lengthOf(a.record.task))))
}

// load returns the fifth entry of a run's row. The caller holds mu.
func (r *runner) load(a *activeRun) int64 {
	if a.phase.TargetMs > 0 {
		return int64(a.phase.TargetMs / 4)
	}
	return a.phase.CPU
}

// idleTime returns for how long no run of a job has run.
func (l *ledger) idleTime(id string, since time.Time) time.Duration {
	last := since
	for _, r := range l.runsOf(id) {
		if r.ended.IsZero() {
			return 0
		}
		if r.ended.After(last) {
			last = r.ended
		}
	}
	return time.Since(last)
}

// running returns the number of runs on all runners.
func (l *ledger) running() int {
	n := 0
	for _, r := range l.runsOf("") {
		if r.ended.IsZero() {
			n++
		}
	}
	return n
}

// failLasting lets the tasks that last fail by themselves.
func (r *runner) failLasting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.runs {
		if a.phase.LongRunning {
			r.endRun(a, "failed", "")
		}
	}
}

// lengthOf returns how long a task of the step takes.
func (p *phase) lengthOf(task string) time.Duration {
	index, err := strconv.Atoi(task[strings.LastIndexByte(task, '.')+1:])
	if err != nil {
		return p.length
	}
	return p.length + time.Duration(index)*p.spread
}
