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

// Times of a stand-in runner.
const (
	longestLease = 6 * time.Second
	beatPeriod   = 500 * time.Millisecond
	beatTimeout  = time.Second
	stopTime     = 20 * time.Millisecond
)

// RunnerConfig describes a stand-in runner.
type RunnerConfig struct {
	ID, Pool, Zone string
	CPU, MemMB     int64
	Controls       []string // control addresses of instances
	Ledger         *Ledger
	Seed           uint64
	LateShare      float64 // of the orders that get no answer and are carried out late
}

// Runner plays one runner: it starts what it is told to start, whatever room it
// has, and reports each promise that this breaks.
type Runner struct {
	cfg    RunnerConfig
	born   time.Time
	server *http.Server
	addr   string
	cancel context.CancelFunc
	gone   chan struct{}

	mu       sync.Mutex
	rand     *rand.Rand
	draining bool
	token    uint64
	until    time.Time // end of the lease
	running  map[Task]*work
	highest  map[Task]uint64 // run stopped or ended here
	finished []finished
	last     uint64
	sequence uint64
	news     chan struct{} // closed at the next end
}

type work struct {
	number uint64
	spec   string
	cpu    int64
	began  time.Time
	length time.Duration
	timer  *time.Timer
}

type finished struct {
	n      uint64
	task   Task
	number uint64
	how    string
}

// StartRunner begins to listen and to report itself.
func StartRunner(cfg RunnerConfig) (*Runner, error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{
		cfg: cfg, born: time.Now(), addr: socket.Addr().String(), cancel: cancel, gone: make(chan struct{}),
		rand:    rand.New(rand.NewPCG(cfg.Seed, uint64(time.Now().UnixNano()))),
		running: make(map[Task]*work), highest: make(map[Task]uint64), news: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.order(r.start))
	mux.HandleFunc("POST /run-stop", r.order(r.stop))
	mux.HandleFunc("POST /hold", r.hold)
	r.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = r.server.Serve(socket) }()
	go r.beatLoop(ctx)
	go r.leaseLoop(ctx)
	return r, nil
}

// Address returns where the runner takes orders.
func (r *Runner) Address() string { return r.addr }

// Crash ends the runner with all that runs on it.
func (r *Runner) Crash() {
	r.cancel()
	_ = r.server.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for t := range r.running {
		r.drop(t)
	}
}

// drop forgets a run without an end that could be listed. The caller holds mu.
func (r *Runner) drop(t Task) {
	w := r.running[t]
	w.timer.Stop()
	delete(r.running, t)
	r.cfg.Ledger.ended(t, w.number, r.name())
}

func (r *Runner) name() string { return r.cfg.ID + "@" + strconv.FormatInt(r.born.UnixMilli(), 10) }

func (r *Runner) clock() int64 { return time.Since(r.born).Milliseconds() + 1000 }

// Drain reports the runner as draining, waits and leaves.
func (r *Runner) Drain(wait time.Duration) {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	time.Sleep(wait)
	r.post("/Instances.Leave/"+r.cfg.ID, map[string]any{"born": r.born.UnixMilli()})
	r.Crash()
}

func (r *Runner) beatLoop(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		r.sequence++
		state := "ready"
		if r.draining {
			state = "draining"
		}
		body := map[string]any{
			"service": r.cfg.Pool, "address": r.addr, "zone": r.cfg.Zone, "version": "v1", "slots": 8, "state": state,
			"cold_remaining_ms": 0, "capacity": map[string]int64{"cpu": r.cfg.CPU, "mem_mb": r.cfg.MemMB, "gpu": 0},
			"labels": []string{"a", "r1-1"}, "clock_ms": r.clock(), "sequence": r.sequence,
			"born": r.born.UnixMilli(), "machine": "m-" + r.cfg.ID,
		}
		r.mu.Unlock()
		r.post("/Instances.Heartbeat/"+r.cfg.ID, body)
		select {
		case <-ctx.Done():
		case <-time.After(beatPeriod):
		}
	}
}

// post sends a report to the first instance that takes it.
func (r *Runner) post(path string, body map[string]any) {
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	r.mu.Lock()
	order := r.rand.Perm(len(r.cfg.Controls))
	r.mu.Unlock()
	client := http.Client{Timeout: beatTimeout}
	for _, i := range order {
		resp, err := client.Post("http://"+r.cfg.Controls[i]+path, "application/json", bytes.NewReader(data))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode/100 == 2 {
			return
		}
	}
}

// leaseLoop ends everything when the lease has passed.
func (r *Runner) leaseLoop(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(stopTime)
		r.mu.Lock()
		if len(r.running) > 0 && time.Now().After(r.until) {
			for t := range r.running {
				r.end(t, "lapsed")
			}
		}
		r.mu.Unlock()
	}
}

// end lists the end of a run. The caller holds mu.
func (r *Runner) end(t Task, how string) {
	w := r.running[t]
	if w == nil {
		return
	}
	w.timer.Stop()
	delete(r.running, t)
	r.highest[t] = max(r.highest[t], w.number)
	r.last++
	r.finished = append(r.finished, finished{r.last, t, w.number, how})
	r.cfg.Ledger.ended(t, w.number, r.name())
	close(r.news)
	r.news = make(chan struct{})
}

type order struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadline_ms"`
	FencingToken uint64 `json:"fencing_token"`
	AckCursor    uint64 `json:"ack_cursor"`
	WaitMs       int64  `json:"wait_ms"`
}

// order serves one order; some get no answer and are carried out late.
func (r *Runner) order(carryOut func(Task, order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		o, t, ok := r.read(w, req)
		if !ok {
			return
		}
		r.mu.Lock()
		late := r.rand.Float64() < r.cfg.LateShare
		delay := time.Duration(500+r.rand.IntN(3000)) * time.Millisecond
		r.mu.Unlock()
		if late {
			time.AfterFunc(delay, func() { carryOut(t, o) })
			<-req.Context().Done()
			return
		}
		status, reason := carryOut(t, o)
		r.answer(w, status, map[string]any{"clock_ms": r.clock(), "reason": reason})
	}
}

func (r *Runner) read(w http.ResponseWriter, req *http.Request) (order, Task, bool) {
	var o order
	body, err := io.ReadAll(req.Body)
	if err != nil || json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, Task{}, false
	}
	if id := req.Header.Get("Expect-Instance"); id != "" && id != r.cfg.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, Task{}, false
	}
	var t Task
	parts := strings.Split(o.Task, ".")
	if len(parts) == 4 {
		t.Job = parts[0]
		t.Step, _ = strconv.Atoi(parts[2])
		t.Index, _ = strconv.Atoi(parts[3])
	}
	return o, t, true
}

func (r *Runner) answer(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// fence reports whether an order comes from a leader that was replaced. The
// caller holds mu.
func (r *Runner) fence(o order) bool {
	if o.FencingToken < r.token {
		return true
	}
	r.token = o.FencingToken
	return false
}

// extend takes up the end of a lease, given on the runner's clock. The caller
// holds mu.
func (r *Runner) extend(deadline int64) {
	left := min(longestLease, time.Duration(deadline-r.clock())*time.Millisecond)
	if until := time.Now().Add(left); deadline > 0 && until.After(r.until) {
		r.until = until
	}
}

func (r *Runner) start(t Task, o order) (int, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fence(o) {
		return http.StatusConflict, "fence"
	}
	if w := r.running[t]; w != nil && w.number == o.Run {
		return http.StatusOK, ""
	}
	if o.Run <= r.highest[t] || r.running[t] != nil {
		r.extend(o.DeadlineMs)
		return http.StatusConflict, "old"
	}
	if o.DeadlineMs <= r.clock() {
		return http.StatusConflict, "late"
	}
	r.extend(o.DeadlineMs)
	r.cfg.Ledger.started(t, o.Run, r.name(), o.Spec)
	w := &work{number: o.Run, spec: o.Spec, began: time.Now(), length: 100 * time.Millisecond}
	if j := r.cfg.Ledger.job(t.Job); j != nil && t.Step < len(j.Steps) {
		w.cpu = j.Steps[t.Step].CPU
		w.length = time.Duration(j.Steps[t.Step].Ms) * time.Millisecond
	}
	taken := w.cpu
	for _, other := range r.running {
		taken += other.cpu
	}
	if taken > r.cfg.CPU {
		r.cfg.Ledger.AddViolation("LIMIT %v on %s: %d of %d", t, r.name(), taken, r.cfg.CPU)
	}
	how := "done"
	if strings.HasPrefix(o.Spec, "fail") {
		how = "failed"
	}
	w.timer = time.AfterFunc(w.length, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.running[t] == w {
			r.end(t, how)
		}
	})
	r.running[t] = w
	return http.StatusOK, ""
}

func (r *Runner) stop(t Task, o order) (int, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fence(o) {
		return http.StatusConflict, "fence"
	}
	r.highest[t] = max(r.highest[t], o.Run)
	if w := r.running[t]; w != nil && w.number <= o.Run {
		time.AfterFunc(stopTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.running[t] == w {
				r.end(t, "stopped")
			}
		})
	}
	return http.StatusOK, ""
}

func (r *Runner) hold(w http.ResponseWriter, req *http.Request) {
	o, _, ok := r.read(w, req)
	if !ok {
		return
	}
	r.mu.Lock()
	if r.fence(o) {
		r.mu.Unlock()
		r.answer(w, http.StatusConflict, map[string]any{"clock_ms": r.clock(), "reason": "fence"})
		return
	}
	r.extend(o.DeadlineMs)
	r.forget(o.AckCursor)
	news := r.news
	waits := len(r.finished) == 0
	r.mu.Unlock()
	if waits && o.WaitMs > 0 {
		select {
		case <-news:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-req.Context().Done():
			return
		}
	}
	r.mu.Lock()
	running, ended := [][]any{}, [][]any{}
	for t, k := range r.running {
		percent := min(99, 100*float64(time.Since(k.began))/float64(max(1, k.length)))
		running = append(running, []any{name(t), k.number, "", int(percent)})
	}
	for _, f := range r.finished {
		ended = append(ended, []any{f.n, name(f.task), f.number, f.how, ""})
	}
	r.mu.Unlock()
	r.answer(w, http.StatusOK, map[string]any{"clock_ms": r.clock(), "born": r.born.UnixMilli(), "running": running, "finished": ended})
}

// forget drops the ends that the leader has taken note of. The caller holds mu.
func (r *Runner) forget(cursor uint64) {
	kept := r.finished[:0]
	for _, f := range r.finished {
		if f.n <= cursor {
			r.cfg.Ledger.forgotten(f.task, f.how)
			continue
		}
		kept = append(kept, f)
	}
	r.finished = kept
}

func name(t Task) string { return fmt.Sprintf("%s.0.%d.%d", t.Job, t.Step, t.Index) }
