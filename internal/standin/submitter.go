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
	DrainTimeout time.Duration // time after Length in which the tasks must end
	Seed         uint64
	Journal      *Journal
}

const (
	submitTimeout             = 5 * time.Second
	submitRetryPause          = 200 * time.Millisecond
	percentGangTasks          = 15
	percentNonIdempotentTasks = 25
	runSpreadMs               = 2500 // range of run times above the shortest
	cpuSpreadMillis           = 4000 // range of CPU sizes above the smallest
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

// Run submits the load and returns when every task has ended or DrainTimeout has
// passed.
func (s *Submitter) Run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Length+s.cfg.DrainTimeout)
	defer cancel()
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 1))
	start := time.Now()
	var wg sync.WaitGroup
	for n := range int(s.cfg.Length.Seconds() * s.cfg.Rate) {
		spec, customer := s.randomSpec(rng, n)
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(start.Add(time.Duration(float64(n) / s.cfg.Rate * float64(time.Second))))):
		}
		wg.Go(func() { s.submitAndAwait(ctx, n, spec, customer) })
	}
	wg.Wait()
}

func (s *Submitter) randomSpec(rng *rand.Rand, n int) (*egretmuxv1.TaskSpec, Customer) {
	customer := s.cfg.Customers[rng.IntN(len(s.cfg.Customers))]
	runMs := 50 + rng.IntN(runSpreadMs)
	spec := &egretmuxv1.TaskSpec{
		Name: "soak-" + strconv.Itoa(n%7), Kind: egretmuxv1.TaskKind_TASK_KIND_BATCH, Members: 1, Idempotent: true,
		Resources:     &egretmuxv1.Resources{CpuMillis: 500 + rng.Int64N(cpuSpreadMillis), MemoryMib: 512 + rng.Int64N(4096)},
		DeclaredRunMs: int64(runMs), Command: "run " + strconv.Itoa(runMs) + "ms", MaxFailures: 5,
	}
	switch kind := rng.IntN(100); {
	case kind < percentGangTasks:
		spec.Kind = egretmuxv1.TaskKind_TASK_KIND_GANG
		spec.Members = int32(2 + rng.IntN(5))
	case kind < percentGangTasks+percentNonIdempotentTasks:
		spec.Idempotent = false
		spec.MaxFailures = 1
	}
	return spec, customer
}

// submitAndAwait submits a task under one change id until an instance accepts it,
// and waits for its end.
func (s *Submitter) submitAndAwait(ctx context.Context, n int, spec *egretmuxv1.TaskSpec, customer Customer) {
	changeID := "soak-" + strconv.FormatUint(s.cfg.Seed, 10) + "-" + strconv.Itoa(n)
	var id uint64
	accepted := s.retryInstances(ctx, n, customer, func(ctx context.Context, c egretmuxv1connect.TaskServiceClient, h http.Header) bool {
		req := connect.NewRequest(&egretmuxv1.SubmitTaskRequest{ChangeId: changeID, Spec: spec})
		copyHeader(req.Header(), h)
		resp, err := c.SubmitTask(ctx, req)
		if err == nil {
			id = resp.Msg.GetTask()
			return true
		}
		if isPermanent(err) {
			s.cfg.Journal.Write(JournalEntry{What: "task_refused", Who: "submitter", Key: changeID, Detail: err.Error()})
			return true
		}
		return false
	})
	if id == 0 {
		if !accepted {
			s.cfg.Journal.Write(JournalEntry{What: "task_not_accepted", Who: "submitter", Key: changeID})
		}
		return
	}
	detail := "idempotent"
	if !spec.GetIdempotent() {
		detail = "once"
	}
	s.cfg.Journal.Write(JournalEntry{What: "task_accepted", Who: "submitter", Task: id, Key: changeID, Detail: detail})
	s.await(ctx, n, id, customer)
}

func (s *Submitter) await(ctx context.Context, n int, id uint64, customer Customer) {
	ended := s.retryInstances(ctx, n, customer, func(ctx context.Context, c egretmuxv1connect.TaskServiceClient, h http.Header) bool {
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

// isPermanent reports whether a submission that failed with err is not worth
// retrying.
func isPermanent(err error) bool {
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

// retryInstances runs call with one instance after another until it returns true
// or the context ends, and reports whether it did.
func (s *Submitter) retryInstances(ctx context.Context, n int, customer Customer, call func(context.Context, egretmuxv1connect.TaskServiceClient, http.Header) bool) bool {
	h := http.Header{}
	h.Set("Authorization", "Bearer "+customer.Token)
	for i := n; ctx.Err() == nil; i++ {
		callCtx, cancel := context.WithTimeout(ctx, submitTimeout)
		done := call(callCtx, s.clients[i%len(s.clients)], h)
		cancel()
		if done {
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(submitRetryPause):
		}
	}
	return false
}
