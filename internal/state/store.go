// Package state is the replicated state of the cell: contracts, instances,
// workers, tasks with their attempts, and non-idempotent requests.
//
// One goroutine applies committed commands in log order; any number read.
// Records are never changed once stored: an update stores a changed copy. A
// reader may therefore keep what it got, and Capture costs a copy of pointers.
// Every rule is a function of the state and the command alone, so that all
// replicas agree.
package state

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
)

// Listener is told of changes after each command, by the applying goroutine.
// It must return quickly and must not call back into the store's Apply.
type Listener interface {
	TaskChanged(t *egretmuxv1.Task)
	WorkerChanged(w *egretmuxv1.Worker)
	ContractChanged(c *egretmuxv1.ContractVersion)
	Restored()
}

// Result is what Apply returns to the proposer of a command.
type Result struct {
	Err      *refusal.Error
	Task     *egretmuxv1.Task
	Contract *egretmuxv1.ContractVersion
	Worker   *egretmuxv1.Worker
	Request  *egretmuxv1.RequestRecord
	Run      bool // BeginRequest: the proposer runs the attempt
	Applied  int  // CommitPlan and CollectGarbage: how many parts took effect
}

// Store holds the state.
type Store struct {
	applyMu  sync.Mutex // held by the applying goroutine
	listener Listener
	now      int64 // time of the command being applied, Unix milliseconds; never goes back

	mu       sync.RWMutex // guards the counters below
	applied  uint64
	last     counters
	changes  changeTable
	contract contractTable
	tasks    taskTable
	workers  workerTable
	ledger   ledger
	requests requestTable
	members  instanceTable
}

type counters struct {
	task, attempt, workerEpoch uint64
}

// New returns an empty store. The listener may be nil.
func New(listener Listener) *Store {
	s := &Store{listener: listener}
	s.clear()
	s.contract.replace(0, nil)
	return s
}

func (s *Store) clear() {
	s.changes.clear()
	s.tasks.clear()
	s.workers.clear()
	s.ledger.clear()
	s.requests.clear()
	s.members.clear()
}

// Apply carries out one command. It implements consensus.StateMachine.
func (s *Store) Apply(index uint64, data []byte) any {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	cmd := &egretmuxv1.Command{}
	if err := proto.Unmarshal(data, cmd); err != nil {
		return &Result{Err: refusal.New(refusal.Internal, "report it", "command %d cannot be decoded: %v", index, err)}
	}
	s.now = max(s.now, cmd.GetNowUnixMs()) // leaders' clocks differ
	result := s.applyCommand(cmd)
	s.mu.Lock()
	s.applied = index
	s.mu.Unlock()
	return result
}

func (s *Store) applyCommand(cmd *egretmuxv1.Command) *Result {
	switch b := cmd.GetBody().(type) {
	case *egretmuxv1.Command_ApplyContract:
		return s.applyContract(b.ApplyContract)
	case *egretmuxv1.Command_SubmitTask:
		return s.submitTask(b.SubmitTask)
	case *egretmuxv1.Command_CancelTask:
		return s.cancelTask(b.CancelTask)
	case *egretmuxv1.Command_CommitPlan:
		return s.commitPlan(b.CommitPlan)
	case *egretmuxv1.Command_ReportAttempts:
		return s.reportAttempts(b.ReportAttempts)
	case *egretmuxv1.Command_RegisterWorker:
		return s.registerWorker(b.RegisterWorker)
	case *egretmuxv1.Command_SetWorkerPhase:
		return s.setWorkerPhase(b.SetWorkerPhase)
	case *egretmuxv1.Command_JoinInstance:
		return s.joinInstance(b.JoinInstance)
	case *egretmuxv1.Command_LeaveInstance:
		return &Result{Applied: s.members.leave(b.LeaveInstance)}
	case *egretmuxv1.Command_BeginRequest:
		return s.beginRequest(b.BeginRequest)
	case *egretmuxv1.Command_EndRequest:
		return s.endRequest(b.EndRequest)
	case *egretmuxv1.Command_CollectGarbage:
		return s.collectGarbage(b.CollectGarbage)
	}
	return &Result{Err: refusal.New(refusal.Internal, "upgrade this instance", "command kind is not known")}
}

// Applied returns the index of the last command applied.
func (s *Store) Applied() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.applied
}

func hashChange(customer, id string) uint64 { return xxhash.Sum64String(customer + "\x00" + id) }

// Counts is a summary for status reports.
type Counts struct {
	Tasks, Requests, Workers int
	CellVersion              uint64
}

// Counts returns the summary.
func (s *Store) Counts() Counts {
	return Counts{Tasks: s.tasks.len(), Requests: s.requests.len(), Workers: s.workers.len(), CellVersion: s.contract.version()}
}

func clone[M proto.Message](m M) M { return proto.Clone(m).(M) }
