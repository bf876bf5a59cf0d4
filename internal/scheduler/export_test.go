package scheduler

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/clock"
	"github.com/egretmux/egretmux/internal/consensus"
	"github.com/egretmux/egretmux/internal/job"
)

// SetConfirmLatency sets how long the latest confirmation took, until the next one.
func (s *Scheduler) SetConfirmLatency(d time.Duration) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	s.tenure.confirmLatency.Store(int64(d))
}

// StoreLife stores the life of a worker as the tenure of a term does.
func StoreLife(ctx context.Context, node *consensus.Node, book *job.Book, term uint64, life *egretmuxv1.WorkerLife) error {
	t := newTenure(ctx, Config{Clock: clock.New(), Logger: zerolog.Nop()}, node, book, term)
	_, err := t.propose(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_RecordLife{RecordLife: &egretmuxv1.RecordLife{Life: life}}})
	return err
}

// BeginUnknownCancel begins a cancellation that was applied before its job was stored. The calls that join it get its
// outcome once the returned function is called.
func (s *Scheduler) BeginUnknownCancel(key job.JobKey) (end func(), err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t := s.tenure
	data, err := proto.Marshal(cancelCommand(key))
	p, _ := t.beginProposal(data, true)
	return func() { t.endProposal(p, data, job.Result{}, nil) }, err
}

// HoldPlanner holds the planner, as a plan that takes long does, until the returned function is called.
func (s *Scheduler) HoldPlanner() (release func()) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t := s.tenure
	t.mu.Lock()
	return t.mu.Unlock
}

// PauseAfterPlan returns the pause after a plan of the given length.
func PauseAfterPlan(took time.Duration) time.Duration { return pauseAfterPlan(took) }
