// Package scheduler runs jobs. While its replica leads, a tenure drives the dispatch
// core, sends orders to the workers and serves calls from the replicated book.
package scheduler

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rs/zerolog"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/clock"
	"github.com/egretmux/egretmux/internal/consensus"
	"github.com/egretmux/egretmux/internal/consensus/core"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/refusal"
)

// Poll is a long poll that lists a worker's runs and renews its lease.
type Poll struct {
	dispatch.Target
	Fence      uint64
	LeaseUntil int64         // end of the lease on the worker's clock; zero grants no lease
	Cursor     uint64        // number of the last stored end, which the poll acknowledges
	Wait       time.Duration // limit of the wait for the end of a run
}

// PollResult is the outcome of a poll.
type PollResult int

// Results of a poll.
const (
	PollAnswered           PollResult = iota
	PollUnanswered                    // no answer, or an unreadable one
	PollStaleFence                    // rejected: the worker has seen a newer leader's fencing token
	PollAnotherIncarnation            // answered by another life (incarnation) of the worker
)

// Known reports whether the value is one of the results.
func (r PollResult) Known() bool { return r >= PollAnswered && r <= PollAnotherIncarnation }

// WorkerClient sends orders and polls to workers.
type WorkerClient interface {
	// Start returns the worker's answer and its clock, which is zero if unknown.
	Start(ctx context.Context, s dispatch.StartOrder, fence uint64) (answer dispatch.StartResult, clock int64)
	// Stop returns whether the worker answered.
	Stop(ctx context.Context, s dispatch.StopOrder, fence uint64) bool
	// Pace returns whether the worker answered.
	Pace(ctx context.Context, p dispatch.PaceOrder, fence uint64) bool
	Poll(ctx context.Context, l Poll) (dispatch.Listing, PollResult)
	// Release frees the resources kept for a worker that is gone.
	Release(t dispatch.Target)
}

// AdviceClient calls the advice service, which decides which workers may run a step
// and issues a ticket for each.
type AdviceClient interface {
	Advise(ctx context.Context, a dispatch.Ask) (map[string]string, error)
	// Instances returns how many instances can call the service at the same time.
	Instances() int
}

// Config holds the dependencies and the timing of a Scheduler.
type Config struct {
	WorkerClient WorkerClient
	AdviceClient AdviceClient
	Machines     MachineAPI    // nil disables upkeep waves
	Lease        time.Duration // length of a worker's lease
	FarFactor    float64       // run time on another rack than the task's data, relative to that on the same rack
	StopTimeout  time.Duration
	GangTimeout  time.Duration // time for which a member of a gang waits for the others; zero: without limit
	RateWindow   time.Duration // time whose worth of jobs a customer may submit at once; zero: one second
	StatusKeep   time.Duration // retention of ended jobs
	Clock        clock.Clock   // by which confirmations of leadership expire; nil: clock.New
	Logger       zerolog.Logger
}

// Scheduler runs the jobs of a cell while its replica leads.
type Scheduler struct {
	cfg Config

	mu     sync.RWMutex
	node   *consensus.Node
	book   *job.Book
	tenure *tenure
}

// New returns a scheduler without a replica.
func New(cfg Config) *Scheduler {
	if cfg.Clock == nil {
		cfg.Clock = clock.New()
	}
	return &Scheduler{cfg: cfg}
}

// SetReplica sets the replica and its state. It must be called before Run.
func (s *Scheduler) SetReplica(n *consensus.Node, b *job.Book) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node, s.book = n, b
}

// Run acts as leader in each term in which the replica leads, until ctx is done.
func (s *Scheduler) Run(ctx context.Context) {
	for ctx.Err() == nil {
		status, changed := s.node.Status()
		if status.Role == core.Leader {
			s.lead(ctx, status.Term, changed)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// leaderGCPercent is the GC percentage while this instance leads. A leader of 350
// workers has some 25 MiB of live heap, so that the heap stays below 100 MiB.
const leaderGCPercent = 300

// lead runs a tenure until leadership of the term is lost.
func (s *Scheduler) lead(ctx context.Context, term uint64, changed <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := newTenure(ctx, s.cfg, s.node, s.book, term)
	go func() {
		defer cancel()
		for {
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
			var status core.Status
			status, changed = s.node.Status()
			if status.Role != core.Leader || status.Term != term {
				return
			}
		}
	}()
	if err := s.node.ConfirmLeader(ctx); err != nil {
		return
	}
	// A leader is short of processor time, not of memory.
	defer debug.SetGCPercent(debug.SetGCPercent(leaderGCPercent))
	t.createCore()
	s.mu.Lock()
	s.tenure = t
	s.mu.Unlock()
	t.run()
	s.mu.Lock()
	s.tenure = nil
	s.mu.Unlock()
}

// current returns the tenure if leadership was confirmed recently, or a refusal.
func (s *Scheduler) current() (*tenure, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.tenure == nil || !s.tenure.confirmedRecently() {
		return nil, noLeader()
	}
	return s.tenure, nil
}

func noLeader() *refusal.Error {
	return refusal.New(refusal.NoLeader, "retry shortly", "this instance does not lead").WithRetryAfter(time.Second)
}

// LeaderAddress returns the cell address of the leader known to the replica, or "".
func (s *Scheduler) LeaderAddress() string {
	address, _ := s.Leader()
	return address
}

// Leader returns the cell address of the leader known to the replica and its term, or
// zero values. A replica whose disk hangs may wrongly regard itself as the leader: it
// names itself only if its leadership was confirmed recently.
func (s *Scheduler) Leader() (address string, term uint64) {
	s.mu.RLock()
	node := s.node
	s.mu.RUnlock()
	if node == nil {
		return "", 0
	}
	status, _ := node.Status()
	if status.Leader == status.ID && !s.Leads() {
		return "", 0
	}
	for _, r := range status.Membership.GetReplicas() {
		if r.GetId() == status.Leader {
			return r.GetAddress(), status.Term
		}
	}
	return "", 0
}

// ReplicaAddresses returns the cell addresses of the replicas, learners included.
func (s *Scheduler) ReplicaAddresses() []string {
	s.mu.RLock()
	node := s.node
	s.mu.RUnlock()
	if node == nil {
		return nil
	}
	status, _ := node.Status()
	var out []string
	for _, r := range status.Membership.GetReplicas() {
		out = append(out, r.GetAddress())
	}
	return out
}

// Node returns the replica, or nil.
func (s *Scheduler) Node() *consensus.Node {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.node
}

// CallJob submits, shows or cancels a job.
func (s *Scheduler) CallJob(ctx context.Context, call *egretmuxv1.JobCall) (*egretmuxv1.JobAnswer, error) {
	t, err := s.current()
	if err != nil {
		return nil, err
	}
	switch call.GetVerb() {
	case egretmuxv1.JobVerb_JOB_VERB_SUBMIT:
		return t.submitJob(ctx, call)
	case egretmuxv1.JobVerb_JOB_VERB_CANCEL:
		return t.cancelJob(ctx, call)
	case egretmuxv1.JobVerb_JOB_VERB_SHOW:
		return t.showJob(ctx, call)
	}
	return nil, refusal.New(refusal.Invalid, "submit, show or cancel", "the call has no verb")
}

// PutCatalogue puts a configuration in force.
func (s *Scheduler) PutCatalogue(ctx context.Context, c *egretmuxv1.Catalogue) (uint64, error) {
	t, err := s.current()
	if err != nil {
		return 0, err
	}
	return t.putCatalogue(ctx, c)
}

// Catalogue returns the configuration in force.
func (s *Scheduler) Catalogue(ctx context.Context) (*egretmuxv1.Catalogue, error) {
	t, err := s.current()
	if err != nil {
		return nil, err
	}
	if err := t.confirm(ctx); err != nil {
		return nil, err
	}
	if c := s.book.Catalogue(); c != nil {
		return c.Message, nil
	}
	return nil, noCatalogue()
}

// ShowCustomers returns what the customers of the catalogue in force use and are held by.
func (s *Scheduler) ShowCustomers() (*egretmuxv1.ShowCustomersResponse, error) {
	t, err := s.current()
	if err != nil {
		return nil, err
	}
	return t.showCustomers(), nil
}

// HandleHeartbeat processes a heartbeat. It returns once the resulting changes are
// stored.
func (s *Scheduler) HandleHeartbeat(ctx context.Context, b *egretmuxv1.WorkerBeat) error {
	t, err := s.current()
	if err != nil {
		return err
	}
	return t.handleHeartbeat(ctx, b)
}

// Leads reports whether this instance leads by a recent confirmation.
func (s *Scheduler) Leads() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.tenure != nil && s.tenure.confirmedRecently()
}

// PlannerStalled returns for how long the planner of this leader has stood still; zero if it works or this
// instance does not lead.
func (s *Scheduler) PlannerStalled() time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.tenure == nil {
		return 0
	}
	return s.tenure.plannerStalled()
}

// StartWave stores a wave of planned machine upkeep.
func (s *Scheduler) StartWave(ctx context.Context, w *egretmuxv1.Wave) error {
	t, err := s.current()
	if err != nil {
		return err
	}
	return t.startWave(ctx, w)
}

// ShowWave reports whether a wave exists and is completed.
func (s *Scheduler) ShowWave(ctx context.Context, id uint64) (*egretmuxv1.ShowWaveResponse, error) {
	t, err := s.current()
	if err != nil {
		return nil, err
	}
	return t.showWave(ctx, id)
}

// WorkerCount returns how many workers the current tenure polls.
func (s *Scheduler) WorkerCount() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.tenure == nil {
		return 0
	}
	return int(s.tenure.workerCount.Load())
}
