package standin

import (
	"context"
	"crypto/subtle"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
)

const announcePeriod = 500 * time.Millisecond

// WorkerConfig describes a stand-in worker.
type WorkerConfig struct {
	Record    *egretmuxv1.Worker // id, address, data centre, rack, capacity
	Announcer *Announcer
	Journal   *Journal
	Slots     int32 // of the endpoints that service tasks start
	Links     int32

	CommandToken string // secret that commands must show; empty: none
}

// Worker runs attempts as timers. A task's command says how: "run 200ms" ends
// well after that time, "fail 10ms" fails after it, "run 2s use 0.5" is seen to
// use half of its declared size, and service tasks serve an
// endpoint until they are stopped.
type Worker struct {
	cfg  WorkerConfig
	wake chan struct{}

	mu       sync.Mutex
	epoch    uint64
	lease    time.Time
	running  map[uint64]*attempt
	finished map[uint64]*egretmuxv1.AttemptReport // not acknowledged yet
	fenced   map[uint64]bool                      // never to be started
	needFull bool                                 // the leader asked for a full report
}

type attempt struct {
	start   *egretmuxv1.StartAttempt
	began   time.Time
	stop    chan struct{}
	told    bool // its start and usage were acknowledged
	stopped bool
	limit   int64 // thousandths of a core; 0: not throttled
}

// NewWorker returns a worker that Run starts.
func NewWorker(cfg WorkerConfig) *Worker {
	return &Worker{
		cfg: cfg, wake: make(chan struct{}, 1), running: make(map[uint64]*attempt),
		finished: make(map[uint64]*egretmuxv1.AttemptReport), fenced: make(map[uint64]bool),
	}
}

// Run serves commands and announces the worker until the context ends.
func (w *Worker) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", w.cfg.Record.GetAddress())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	path, commands := egretmuxv1connect.NewWorkerServiceHandler(w)
	mux.Handle(path, w.requireToken(commands))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: announceTimeout}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	w.RunAnnouncing(ctx)
	return nil
}

// RunAnnouncing announces the worker until the context ends. The caller hands
// it the commands for it.
func (w *Worker) RunAnnouncing(ctx context.Context) {
	ticker := time.NewTicker(announcePeriod)
	defer ticker.Stop()
	for {
		w.announce(ctx)
		select {
		case <-ctx.Done():
			w.stopAll("worker ends")
			return
		case <-ticker.C:
		case <-w.wake:
		}
		w.checkLease()
	}
}

// requireToken lets only commands through that show the secret.
func (w *Worker) requireToken(next http.Handler) http.Handler {
	want := []byte("Bearer " + w.cfg.CommandToken)
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		shown := []byte(r.Header.Get("Authorization"))
		if w.cfg.CommandToken != "" && subtle.ConstantTimeCompare(shown, want) != 1 {
			w.cfg.Journal.Write(JournalEntry{What: "command_unauthenticated", Who: w.cfg.Record.GetId()})
			http.Error(rw, "show the secret of [access] worker_token_file", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(rw, r)
	})
}

func (w *Worker) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// checkLease stops everything once the lease has ended.
func (w *Worker) checkLease() {
	w.mu.Lock()
	over := w.epoch != 0 && time.Now().After(w.lease)
	w.mu.Unlock()
	if over {
		w.stopAll("lease ended")
		w.mu.Lock()
		w.epoch = 0
		w.mu.Unlock()
	}
}

func (w *Worker) stopAll(reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, a := range w.running {
		w.end(id, a, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPED, reason)
	}
}

// announce sends a report and takes in the answer.
func (w *Worker) announce(ctx context.Context) {
	report := w.report()
	sent := time.Now()
	resp, err := w.cfg.Announcer.AnnounceWorker(ctx, report)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range resp.GetStopAttempts() {
		w.fenced[id] = true
		if a := w.running[id]; a != nil {
			w.end(id, a, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPED, "not known to the cell")
			delete(w.finished, id)
		}
	}
	if resp.GetRegister() {
		w.epoch = 0
		w.wakeUp()
		return
	}
	w.needFull = resp.GetNeedFull()
	if w.needFull {
		w.wakeUp()
	}
	w.epoch = resp.GetEpoch()
	w.lease = sent.Add(time.Duration(resp.GetLeaseMs()) * time.Millisecond)
	w.acknowledge(report)
}

// acknowledge forgets what the leader has taken in.
func (w *Worker) acknowledge(report *egretmuxv1.WorkerReport) {
	if report.GetRegister() != nil {
		w.wakeUp() // reports the attempts that a registration does not carry
		return
	}
	for _, r := range report.GetAttempts() {
		if a := w.running[r.GetAttempt()]; a != nil {
			a.told = true
		}
		if f := w.finished[r.GetAttempt()]; f != nil && f.GetPhase() == r.GetPhase() {
			delete(w.finished, r.GetAttempt())
		}
	}
}

func (w *Worker) report() *egretmuxv1.WorkerReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &egretmuxv1.WorkerReport{Worker: w.cfg.Record.GetId(), Epoch: w.epoch, Full: w.needFull || w.epoch == 0}
	if w.epoch == 0 {
		r.Register = w.cfg.Record
	}
	for id, a := range w.running {
		if r.GetFull() {
			r.Running = append(r.Running, id)
		}
		if !a.told {
			r.Attempts = append(r.Attempts, &egretmuxv1.AttemptReport{
				Task: a.start.GetTask(), Attempt: id, Phase: egretmuxv1.AttemptPhase_ATTEMPT_PHASE_RUNNING,
			})
		}
		if a.told && !r.GetFull() {
			continue // nothing changed
		}
		r.Usage = append(r.Usage, &egretmuxv1.AttemptUsage{Attempt: id, Used: a.used()})
	}
	for _, f := range w.finished {
		r.Attempts = append(r.Attempts, f)
	}
	sort.Slice(r.Running, func(i, j int) bool { return r.Running[i] < r.Running[j] })
	return r
}

// RunCommands implements WorkerService.
func (w *Worker) RunCommands(_ context.Context, req *connect.Request[egretmuxv1.RunCommandsRequest]) (*connect.Response[egretmuxv1.RunCommandsResponse], error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range req.Msg.GetCommands() {
		if c.GetWorker() != w.cfg.Record.GetId() {
			continue
		}
		if s := c.GetStart(); s != nil {
			w.start(c, s)
		}
		if s := c.GetStop(); s != nil {
			w.stop(s, c.GetWorkerEpoch())
		}
		if s := c.GetThrottle(); s != nil {
			w.throttle(s)
		}
	}
	w.wakeUp()
	return connect.NewResponse(&egretmuxv1.RunCommandsResponse{}), nil
}

// start begins an attempt once. After the lease has ended it refuses, and
// reports that until the leader has heard it.
func (w *Worker) start(c *egretmuxv1.WorkerCommand, s *egretmuxv1.StartAttempt) {
	id := s.GetAttempt()
	if w.running[id] != nil || w.finished[id] != nil || w.fenced[id] || c.GetWorkerEpoch() != w.epoch {
		return
	}
	w.fenced[id] = true
	if time.Now().After(w.lease) {
		w.finished[id] = &egretmuxv1.AttemptReport{Task: s.GetTask(), Attempt: id, Phase: egretmuxv1.AttemptPhase_ATTEMPT_PHASE_REFUSED, Detail: "the lease had ended"}
		return
	}
	a := &attempt{start: s, began: time.Now(), stop: make(chan struct{})}
	w.running[id] = a
	w.journal("attempt_started", a, "")
	go w.execute(a)
}

// stop ends an attempt, or proves that this process never started it.
func (w *Worker) stop(s *egretmuxv1.StopAttempt, epoch uint64) {
	id := s.GetAttempt()
	fenced := w.fenced[id]
	w.fenced[id] = true
	if a := w.running[id]; a != nil {
		w.end(id, a, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPED, "stopped by command")
		if s.GetCheckpoint() {
			w.finished[id].CheckpointMs = a.start.GetResumeMs() + time.Since(a.began).Milliseconds()
		}
		return
	}
	if w.finished[id] == nil && !fenced && epoch == w.epoch {
		w.finished[id] = &egretmuxv1.AttemptReport{Task: s.GetTask(), Attempt: id, Phase: egretmuxv1.AttemptPhase_ATTEMPT_PHASE_REFUSED, Detail: "never started here"}
	}
}

// throttle bounds the processors that the attempt is seen to use.
func (w *Worker) throttle(s *egretmuxv1.ThrottleAttempt) {
	if a := w.running[s.GetAttempt()]; a != nil {
		a.limit = s.GetCpuMillis()
		a.told = false // its usage changed
	}
}

// used returns the declared size, multiplied by what a command that ends in
// "use 2.5" says, within the attempt's throttle.
func (a *attempt) used() *egretmuxv1.Resources {
	spec := a.start.GetSpec()
	out := &egretmuxv1.Resources{
		CpuMillis: spec.GetResources().GetCpuMillis(), MemoryMib: spec.GetResources().GetMemoryMib(), Accelerators: spec.GetResources().GetAccelerators(),
	}
	if _, parts, ok := strings.Cut(spec.GetCommand(), " use "); ok {
		if f, err := strconv.ParseFloat(parts, 64); err == nil {
			out.CpuMillis = int64(float64(out.CpuMillis) * f)
			out.MemoryMib = int64(float64(out.MemoryMib) * f)
		}
	}
	if a.limit > 0 {
		out.CpuMillis = min(out.CpuMillis, a.limit)
	}
	return out
}

// end records an attempt's end. The caller holds the lock.
func (w *Worker) end(id uint64, a *attempt, phase egretmuxv1.AttemptPhase, detail string) {
	if a.stopped {
		return
	}
	a.stopped = true
	close(a.stop)
	delete(w.running, id)
	w.finished[id] = &egretmuxv1.AttemptReport{Task: a.start.GetTask(), Attempt: id, Phase: phase, Detail: detail}
	w.journal("attempt_ended", a, phase.String())
	w.wakeUp()
}

func (w *Worker) journal(what string, a *attempt, detail string) {
	w.cfg.Journal.Write(JournalEntry{
		What: what, Who: w.cfg.Record.GetId(), Task: a.start.GetTask(), Attempt: a.start.GetAttempt(), Member: a.start.GetMember(), Detail: detail,
	})
}

// execute plays the attempt's command.
func (w *Worker) execute(a *attempt) {
	spec := a.start.GetSpec()
	if spec.GetKind() == egretmuxv1.TaskKind_TASK_KIND_SERVICE {
		w.serve(a)
		return
	}
	command, _, _ := strings.Cut(spec.GetCommand(), " use ")
	verb, rest, _ := strings.Cut(command, " ")
	length, err := time.ParseDuration(rest)
	if err != nil {
		length = 0
	}
	length -= time.Duration(a.start.GetResumeMs()) * time.Millisecond
	select {
	case <-a.stop:
		return
	case <-time.After(length):
	}
	phase := egretmuxv1.AttemptPhase_ATTEMPT_PHASE_SUCCEEDED
	if verb == "fail" {
		phase = egretmuxv1.AttemptPhase_ATTEMPT_PHASE_FAILED
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end(a.start.GetAttempt(), a, phase, "")
}

// serve runs an endpoint for a service task.
func (w *Worker) serve(a *attempt) {
	host, _, _ := net.SplitHostPort(w.cfg.Record.GetAddress())
	e := NewEndpoint(EndpointConfig{
		ID: w.cfg.Record.GetId() + "-" + a.start.GetSpec().GetService() + "-" + uintName(a.start.GetAttempt()), Service: a.start.GetSpec().GetService(),
		Address: net.JoinHostPort(host, "0"), Datacentre: w.cfg.Record.GetDatacentre(),
		Slots: w.cfg.Slots, Links: w.cfg.Links, Announcer: w.cfg.Announcer, Journal: w.cfg.Journal,
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-a.stop
		cancel()
	}()
	if err := e.Run(ctx); err != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(a.start.GetAttempt(), a, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_FAILED, err.Error())
	}
}
