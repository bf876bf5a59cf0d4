// Package leader implements the duties of the one instance that leads the cell:
// it plans placements, keeps the leases of workers and entries, divides the slots
// of endpoints among the entries, and is the only writer of the replicated state.
//
// A Leader exists on every voter; it acts only during a tenure, which begins
// when the local replica has committed an entry of its own term and ends when
// it stops leading.
package leader

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus"
	"github.com/egretmux/egretmux/internal/consensus/core"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/state"
)

// Timing holds the lengths of leases and the limits that the leader enforces.
type Timing struct {
	EntryLease     time.Duration
	WorkerLease    time.Duration
	EndpointSilent time.Duration // an endpoint silent for longer gets no new work
	RequestLimit   time.Duration // maximum time a request stays in flight after its entry's lease has ended
	TaskKeep       time.Duration // retention of final tasks
	RequestKeep    time.Duration // retention of ended requests
}

// Replica is the local replica of the log.
type Replica interface {
	// Status returns the newest status and a channel that is closed when role,
	// term or leader change.
	Status() (core.Status, <-chan struct{})
	// ProposeInTerm commits a command and returns the result of applying it. It fails
	// in any other term than the given one.
	ProposeInTerm(ctx context.Context, term uint64, data []byte) (any, error)
	// ConfirmLeader returns once a quorum has confirmed that this replica led
	// after the call began.
	ConfirmLeader(ctx context.Context) error
	// Do runs f between two events of the replica.
	Do(ctx context.Context, f func(*core.Core) error) error
}

// Leader plans and keeps leases while the local replica leads.
type Leader struct {
	node   Replica
	store  *state.Store
	timing Timing
	logger zerolog.Logger

	mu           sync.RWMutex
	tenure       *tenure
	taskNotifier taskNotifier
}

// New returns a Leader. SetNode must be called before Run.
func New(timing Timing, logger zerolog.Logger) *Leader {
	l := &Leader{timing: timing, logger: logger}
	l.taskNotifier.init()
	return l
}

// SetReplica sets the local replica and its state.
func (l *Leader) SetReplica(node Replica, store *state.Store) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node = node
	l.store = store
}

// Replica returns the replica, or nil before SetNode.
func (l *Leader) Replica() Replica {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.node
}

// Run runs a tenure whenever the local replica leads, until the context ends.
func (l *Leader) Run(ctx context.Context) {
	for {
		status, statusChanged := l.node.Status()
		if status.Role == core.Leader {
			l.serveTerm(ctx, status.Term, statusChanged)
		}
		select {
		case <-ctx.Done():
			return
		case <-statusChanged:
		}
	}
}

// serveTerm runs one tenure until leadership changes.
func (l *Leader) serveTerm(ctx context.Context, term uint64, statusChanged <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-statusChanged:
			cancel()
		case <-ctx.Done():
		}
	}()
	if err := l.node.ConfirmLeader(ctx); err != nil {
		return
	}
	if status, _ := l.node.Status(); status.Role != core.Leader || status.Term != term {
		return
	}
	t := newTenure(l, term)
	l.mu.Lock()
	l.tenure = t
	l.mu.Unlock()
	l.logger.Info().Str("event", "tenure_began").Uint64("term", term).Msg("leading the cell")
	t.run(ctx)
	l.mu.Lock()
	l.tenure = nil
	l.mu.Unlock()
	t.notifySessions()
	l.logger.Info().Str("event", "tenure_ended").Uint64("term", term).Msg("no longer leading the cell")
}

// currentTenure returns the running tenure, or an error if this instance does not lead.
func (l *Leader) currentTenure() (*tenure, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.tenure == nil {
		return nil, notLeaderError()
	}
	return l.tenure, nil
}

func notLeaderError() *refusal.Error {
	return refusal.New(refusal.NoLeader, "retry; another instance leads or an election is running", "this instance does not lead")
}

// Address returns the cell address of the leader as the local replica knows
// it, or "".
func (l *Leader) Address() string {
	node := l.Replica()
	if node == nil {
		return ""
	}
	status, _ := node.Status()
	for _, r := range status.Membership.GetReplicas() {
		if r.GetId() == status.Leader {
			return r.GetAddress()
		}
	}
	return ""
}

// propose commits a command of the running tenure and returns its result. It
// fails if the tenure's term has ended, even if the replica leads again in a
// later term, because the tenure's knowledge of leases is then out of date.
func (l *Leader) propose(ctx context.Context, cmd *egretmuxv1.Command) (*state.Result, error) {
	t, err := l.currentTenure()
	if err != nil {
		return nil, err
	}
	cmd.NowUnixMs = time.Now().UnixMilli()
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, refusal.New(refusal.Internal, "report it", "command cannot be encoded").WithCause(err)
	}
	value, err := l.node.ProposeInTerm(ctx, t.term, data)
	switch {
	case err == nil:
	case errors.Is(err, consensus.ErrNotLeader), errors.Is(err, consensus.ErrStopped):
		return nil, notLeaderError()
	default:
		return nil, refusal.NewUnknown(refusal.OutcomeUnknown, "resend with the same change id", "the change may or may not have been committed").WithCause(err)
	}
	result := value.(*state.Result)
	if result.Err != nil {
		return result, result.Err
	}
	return result, nil
}

// confirmTenure returns the tenure once a quorum has confirmed that it still
// leads. It compares the term as well, because a replica that was deposed and
// leads again confirms a later term.
func (l *Leader) confirmTenure(ctx context.Context) (*tenure, error) {
	t, err := l.currentTenure()
	if err != nil {
		return nil, err
	}
	if err := l.node.ConfirmLeader(ctx); err != nil {
		return nil, notLeaderError().WithCause(err)
	}
	if status, _ := l.node.Status(); status.Role != core.Leader || status.Term != t.term {
		return nil, notLeaderError()
	}
	return t, nil
}

// TaskChanged implements state.Listener.
func (l *Leader) TaskChanged(t *egretmuxv1.Task) {
	l.taskNotifier.notify(t.GetId())
	if current, err := l.currentTenure(); err == nil {
		current.taskChanged(t)
	}
}

// WorkerChanged implements state.Listener.
func (l *Leader) WorkerChanged(w *egretmuxv1.Worker) {
	if current, err := l.currentTenure(); err == nil {
		current.planner.setWorker(w)
		current.requestPlan()
	}
}

// ContractChanged implements state.Listener.
func (l *Leader) ContractChanged(c *egretmuxv1.ContractVersion) {
	if current, err := l.currentTenure(); err == nil {
		current.planner.setContract(l.store, c.GetCustomer())
		current.requestPlan()
		current.notifySessions()
	}
}

// Restored implements state.Listener.
func (l *Leader) Restored() {}

// taskNotifier signals changes of tasks to the calls that wait for them.
type taskNotifier struct {
	mu      sync.Mutex
	changed map[uint64]chan struct{} // by task; closed at its next change
}

func (n *taskNotifier) init() { n.changed = make(map[uint64]chan struct{}) }

// nextChange returns a channel that is closed at the task's next change.
func (n *taskNotifier) nextChange(task uint64) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.changed[task]
	if c == nil {
		c = make(chan struct{})
		n.changed[task] = c
	}
	return c
}

func (n *taskNotifier) notify(task uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.changed[task]; c != nil {
		close(c)
		delete(n.changed, task)
	}
}
