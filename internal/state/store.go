// Package state is the replicated state of the cell: contracts, instances,
// workers, tasks with their attempts, and non-idempotent requests.
//
// One goroutine applies committed commands in log order; any number of
// goroutines may read. Stored records are immutable: an update stores a
// modified copy. Readers may therefore keep records, and Capture only copies
// pointers. Apply depends on the state and the command alone, so that all
// replicas reach the same state.
package state

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
)

// Listener is notified of stored changes of tasks, workers and contracts, and of
// a restored snapshot, which replaces the whole state. Its methods are called in
// the goroutine that applies commands; they must return quickly and must not
// call Apply.
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
	Run      bool // BeginRequest: the proposer may send the request
	Applied  int  // number of parts of the command that took effect
}

// Store holds the state.
type Store struct {
	applyMu  sync.Mutex // held by the applying goroutine
	listener Listener
	now      int64 // monotonic time of the command being applied, Unix milliseconds

	mu        sync.RWMutex // guards applied and lastIDs
	applied   uint64
	lastIDs   lastIDs
	changes   changeTable
	contracts contractTable
	tasks     taskTable
	workers   workerTable
	totals    customerTotals
	requests  requestTable
	instances instanceTable
}

// lastIDs holds the last number assigned to a task, an attempt and a worker
// epoch.
type lastIDs struct {
	task, attempt, workerEpoch uint64
}

// New returns an empty store. The listener may be nil.
func New(listener Listener) *Store {
	s := &Store{listener: listener}
	s.clear()
	s.contracts.replace(0, nil)
	return s
}

func (s *Store) clear() {
	s.changes.clear()
	s.tasks.clear()
	s.workers.clear()
	s.totals.clear()
	s.requests.clear()
	s.instances.clear()
}

// Apply applies one command. It implements consensus.StateMachine.
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
	switch body := cmd.GetBody().(type) {
	case *egretmuxv1.Command_ApplyContract:
		return s.applyContract(body.ApplyContract)
	case *egretmuxv1.Command_SubmitTask:
		return s.submitTask(body.SubmitTask)
	case *egretmuxv1.Command_CancelTask:
		return s.cancelTask(body.CancelTask)
	case *egretmuxv1.Command_CommitPlan:
		return s.commitPlan(body.CommitPlan)
	case *egretmuxv1.Command_ReportAttempts:
		return s.reportAttempts(body.ReportAttempts)
	case *egretmuxv1.Command_RegisterWorker:
		return s.registerWorker(body.RegisterWorker)
	case *egretmuxv1.Command_SetWorkerPhase:
		return s.setWorkerPhase(body.SetWorkerPhase)
	case *egretmuxv1.Command_JoinInstance:
		return s.joinInstance(body.JoinInstance)
	case *egretmuxv1.Command_LeaveInstance:
		return &Result{Applied: s.instances.leave(body.LeaveInstance)}
	case *egretmuxv1.Command_BeginRequest:
		return s.beginRequest(body.BeginRequest)
	case *egretmuxv1.Command_EndRequest:
		return s.endRequest(body.EndRequest)
	case *egretmuxv1.Command_CollectGarbage:
		return s.collectGarbage(body.CollectGarbage)
	}
	return &Result{Err: refusal.New(refusal.Internal, "upgrade this instance", "command kind is not known")}
}

// Applied returns the index of the last command applied.
func (s *Store) Applied() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.applied
}

func changeIDHash(customer, id string) uint64 { return xxhash.Sum64String(customer + "\x00" + id) }

// Counts holds the numbers of records for status reports.
type Counts struct {
	Tasks, Requests, Workers int
	CellVersion              uint64
}

// Counts returns the current numbers of records.
func (s *Store) Counts() Counts {
	return Counts{Tasks: s.tasks.len(), Requests: s.requests.len(), Workers: s.workers.len(), CellVersion: s.contracts.loadCellVersion()}
}

func clone[M proto.Message](m M) M { return proto.Clone(m).(M) }
