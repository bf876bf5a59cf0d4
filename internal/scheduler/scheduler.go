// Package scheduler runs jobs: whenever its replica leads, a tenure feeds the
// dispatch core, calls the workers and answers for the replicated book.
package scheduler

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rs/zerolog"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus"
	"github.com/egretmux/egretmux/internal/consensus/core"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/refusal"
)

// Look asks a worker what runs there, and holds its lease.
type Look struct {
	dispatch.Target
	Fence      uint64
	LeaseUntil int64 // on the worker's clock; zero grants nothing
	Cursor     uint64
	Wait       time.Duration // for an end
}

// LookResult tells what came of a look.
type LookResult int

// Results of a look.
const (
	LookAnswered LookResult = iota
	LookSilent              // no answer that could be read
	LookFenced              // the worker has seen a newer leader
	LookAnotherLife
)

// Workers carries orders to workers.
type Workers interface {
	// Start returns the worker's answer and its clock, zero when it told none.
	Start(ctx context.Context, s dispatch.Start, fence uint64) (answer dispatch.StartResult, clock int64)
	// Stop returns whether the worker answered.
	Stop(ctx context.Context, s dispatch.Stop, fence uint64) bool
	// Pace returns whether the worker answered.
	Pace(ctx context.Context, p dispatch.Pace, fence uint64) bool
	Look(ctx context.Context, l Look) (dispatch.Listing, LookResult)
	// Release closes what was kept for a worker that is gone.
	Release(t dispatch.Target)
}

// Adviser asks which workers may run a step, and returns their tickets.
type Adviser interface {
	Advise(ctx context.Context, a dispatch.Ask) (map[string]string, error)
	// Instances returns how many calls can be answered at the same time.
	Instances() int
}

// Config holds the parts and the timing of a Scheduler.
type Config struct {
	Workers     Workers
	Adviser     Adviser
	Machines    Machines      // nil: no waves of upkeep
	Lease       time.Duration // of a worker's runs
	FarFactor   float64
	StopTimeout time.Duration
	StatusKeep  time.Duration // for which ended jobs are remembered
	Logger      zerolog.Logger
}

// Scheduler acts for one replica.
type Scheduler struct {
	cfg Config

	mu     sync.RWMutex
	node   *consensus.Node
	book   *job.Book
	tenure *tenure
}

// New returns a scheduler without a replica.
func New(cfg Config) *Scheduler { return &Scheduler{cfg: cfg} }

// SetReplica hands over the replica and its state.
func (s *Scheduler) SetReplica(n *consensus.Node, b *job.Book) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node, s.book = n, b
}

// Run acts as leader in each term that the replica leads, until the context ends.
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

// leadingGC is the collector's growth of the heap in percent while this
// instance leads: a leader of 350 workers lives in some 25 MiB, so that its heap
// stays below 100 MiB.
const leadingGC = 300

// lead runs one tenure until leadership is lost.
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
	// A leader has memory to spare and little processor time.
	defer debug.SetGCPercent(debug.SetGCPercent(leadingGC))
	t.begin()
	s.mu.Lock()
	s.tenure = t
	s.mu.Unlock()
	t.run()
	s.mu.Lock()
	s.tenure = nil
	s.mu.Unlock()
}

// current returns the tenure in office, or a refusal.
func (s *Scheduler) current() (*tenure, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.tenure == nil || !s.tenure.fresh() {
		return nil, noLeader()
	}
	return s.tenure, nil
}

func noLeader() *refusal.Error {
	return refusal.New(refusal.NoLeader, "retry shortly", "this instance does not lead").After(time.Second)
}

// LeaderAddress returns the cell address of the leader as the replica knows it.
// A replica whose disk hangs still takes itself for the leader; it says nothing.
func (s *Scheduler) LeaderAddress() string {
	s.mu.RLock()
	node := s.node
	s.mu.RUnlock()
	if node == nil {
		return ""
	}
	status, _ := node.Status()
	if status.Leader == status.ID && !s.Leads() {
		return ""
	}
	for _, r := range status.Membership.GetReplicas() {
		if r.GetId() == status.Leader {
			return r.GetAddress()
		}
	}
	return ""
}

// Voters returns the cell addresses of the replicas.
func (s *Scheduler) Voters() []string {
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
		return t.submit(ctx, call)
	case egretmuxv1.JobVerb_JOB_VERB_CANCEL:
		return t.cancelJob(ctx, call)
	case egretmuxv1.JobVerb_JOB_VERB_SHOW:
		return t.show(ctx, call)
	}
	return nil, refusal.New(refusal.Invalid, "submit, show or cancel", "the call has no verb")
}

// PutCatalogue puts a configuration in force.
func (s *Scheduler) PutCatalogue(ctx context.Context, c *egretmuxv1.Catalogue) (uint64, error) {
	t, err := s.current()
	if err != nil {
		return 0, err
	}
	return t.put(ctx, c)
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

// Beat takes up a worker's report of itself.
func (s *Scheduler) Beat(ctx context.Context, b *egretmuxv1.WorkerBeat) error {
	t, err := s.current()
	if err != nil {
		return err
	}
	return t.beat(ctx, b)
}

// Leads reports whether this instance answers for the cell.
func (s *Scheduler) Leads() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.tenure != nil && s.tenure.fresh()
}

// StartWave stores planned upkeep.
func (s *Scheduler) StartWave(_ context.Context, w *egretmuxv1.Wave) error {
	t, err := s.current()
	if err != nil {
		return err
	}
	return t.startWave(w)
}

// ShowWave tells how far a wave is.
func (s *Scheduler) ShowWave(ctx context.Context, id uint64) (*egretmuxv1.ShowWaveResponse, error) {
	t, err := s.current()
	if err != nil {
		return nil, err
	}
	return t.showWave(ctx, id)
}

// WorkerCount returns how many workers the tenure in office watches.
func (s *Scheduler) WorkerCount() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.tenure == nil {
		return 0
	}
	return int(s.tenure.watched.Load())
}
