package standin

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/task"
)

// SubmitterConfig describes a mixed load of tasks.
type SubmitterConfig struct {
	Instances    []string // control addresses
	Customers    []Customer
	Rate         float64 // tasks a second
	Length       time.Duration
	DrainTimeout time.Duration // time after Length for the tasks to end
	Seed         uint64
	Journal      *Journal
}

const (
	submitTimeout  = 5 * time.Second
	submitPause    = 200 * time.Millisecond
	percentGang    = 15
	percentPlain   = 25 // not idempotent
	longestTaskMs  = 2500
	largestTaskCPU = 4000
)

// Submitter submits tasks and waits for each to end.
type Submitter struct {
	cfg     SubmitterConfig
	clients []egretmuxv1connect.TaskServiceClient
}

// NewSubmitter returns a submitter that Run starts.
func NewSubmitter(cfg SubmitterConfig) *Submitter {
	s := &Submitter{cfg: cfg}
	client := &http.Client{}
	for _, address := range cfg.Instances {
		s.clients = append(s.clients, egretmuxv1connect.NewTaskServiceClient(client, "http://"+address))
	}
	return s
}

// Run submits the load and returns when every task has ended or patience is over.
func (s *Submitter) Run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Length+s.cfg.DrainTimeout)
	defer cancel()
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 1))
	begin := time.Now()
	var wg sync.WaitGroup
	for n := range int(s.cfg.Length.Seconds() * s.cfg.Rate) {
		spec, customer := s.spec(rng, n)
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(begin.Add(time.Duration(float64(n) / s.cfg.Rate * float64(time.Second))))):
		}
		wg.Go(func() { s.follow(ctx, n, spec, customer) })
	}
	wg.Wait()
}

func (s *Submitter) spec(rng *rand.Rand, n int) (*egretmuxv1.TaskSpec, Customer) {
	customer := s.cfg.Customers[rng.IntN(len(s.cfg.Customers))]
	runMs := 50 + rng.IntN(longestTaskMs)
	spec := &egretmuxv1.TaskSpec{
		Name: "soak-" + strconv.Itoa(n%7), Kind: egretmuxv1.TaskKind_TASK_KIND_BATCH, Members: 1, Idempotent: true,
		Resources:     &egretmuxv1.Resources{CpuMillis: 500 + rng.Int64N(largestTaskCPU), MemoryMib: 512 + rng.Int64N(4096)},
		DeclaredRunMs: int64(runMs), Command: "run " + strconv.Itoa(runMs) + "ms", MaxFailures: 5,
	}
	switch kind := rng.IntN(100); {
	case kind < percentGang:
		spec.Kind = egretmuxv1.TaskKind_TASK_KIND_GANG
		spec.Members = int32(2 + rng.IntN(5))
	case kind < percentGang+percentPlain:
		spec.Idempotent = false
		spec.MaxFailures = 1
	}
	return spec, customer
}

// follow submits a task under one change id until an instance accepts it, and
// waits for its end.
func (s *Submitter) follow(ctx context.Context, n int, spec *egretmuxv1.TaskSpec, customer Customer) {
	change := "soak-" + strconv.FormatUint(s.cfg.Seed, 10) + "-" + strconv.Itoa(n)
	var id uint64
	accepted := s.repeat(ctx, n, customer, func(ctx context.Context, c egretmuxv1connect.TaskServiceClient, h http.Header) bool {
		req := connect.NewRequest(&egretmuxv1.SubmitTaskRequest{ChangeId: change, Spec: spec})
		copyHeader(req.Header(), h)
		resp, err := c.SubmitTask(ctx, req)
		if err == nil {
			id = resp.Msg.GetTask()
			return true
		}
		if final(err) {
			s.cfg.Journal.Write(JournalEntry{What: "task_refused", Who: "submitter", Key: change, Detail: err.Error()})
			return true
		}
		return false
	})
	if id == 0 {
		if !accepted {
			s.cfg.Journal.Write(JournalEntry{What: "task_not_accepted", Who: "submitter", Key: change})
		}
		return
	}
	idempotent := "idempotent"
	if !spec.GetIdempotent() {
		idempotent = "once"
	}
	s.cfg.Journal.Write(JournalEntry{What: "task_accepted", Who: "submitter", Task: id, Key: change, Detail: idempotent})
	s.await(ctx, n, id, customer)
}

func (s *Submitter) await(ctx context.Context, n int, id uint64, customer Customer) {
	ended := s.repeat(ctx, n, customer, func(ctx context.Context, c egretmuxv1connect.TaskServiceClient, h http.Header) bool {
		req := connect.NewRequest(&egretmuxv1.WaitTaskRequest{Task: id, WaitMs: submitTimeout.Milliseconds() / 2})
		copyHeader(req.Header(), h)
		resp, err := c.WaitTask(ctx, req)
		if err != nil || !task.Final(resp.Msg.GetTask().GetPhase()) {
			return false
		}
		s.cfg.Journal.Write(JournalEntry{What: "task_ended", Who: "submitter", Task: id, Detail: resp.Msg.GetTask().GetPhase().String()})
		return true
	})
	if !ended {
		s.cfg.Journal.Write(JournalEntry{What: "task_not_ended", Who: "submitter", Task: id})
	}
}

func final(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodePermissionDenied, connect.CodeUnauthenticated, connect.CodeNotFound, connect.CodeResourceExhausted, connect.CodeFailedPrecondition:
		return true
	}
	return false
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// repeat calls f on one instance after another until it returns true.
func (s *Submitter) repeat(ctx context.Context, n int, customer Customer, f func(context.Context, egretmuxv1connect.TaskServiceClient, http.Header) bool) bool {
	h := http.Header{}
	h.Set("Authorization", "Bearer "+customer.Token)
	for i := n; ctx.Err() == nil; i++ {
		once, cancel := context.WithTimeout(ctx, submitTimeout)
		done := f(once, s.clients[i%len(s.clients)], h)
		cancel()
		if done {
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(submitPause):
		}
	}
	return false
}
