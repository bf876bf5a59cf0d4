// Package leader is the work of the one instance that leads the cell: it
// plans placements, keeps the leases of workers and entries, shares out the
// endpoints, and is the only writer of the replicated state.
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

// Timing holds the leases and limits that the leader keeps.
type Timing struct {
	EntryLease     time.Duration
	WorkerLease    time.Duration
	EndpointSilent time.Duration
	RequestLimit   time.Duration // longest a request can be in flight after its entry's lease ended
	TaskKeep       time.Duration
	RequestKeep    time.Duration
}

// Replica is the local replica of the log.
type Replica interface {
	// Status returns the newest status and a channel that is closed when role,
	// term or leader change.
	Status() (core.Status, <-chan struct{})
	// ProposeIn commits a command and returns what applying it returned. It is
	// refused in any term but the given one.
	ProposeIn(ctx context.Context, term uint64, data []byte) (any, error)
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

	mu     sync.RWMutex
	tenure *tenure
	waits  waitHub
}

// New returns a Leader. SetNode must be called before Run.
func New(timing Timing, logger zerolog.Logger) *Leader {
	l := &Leader{timing: timing, logger: logger}
	l.waits.init()
	return l
}

// SetNode joins the leader with its replica and state.
func (l *Leader) SetNode(node Replica, store *state.Store) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node = node
	l.store = store
}

// Node returns the replica, or nil before SetNode.
func (l *Leader) Node() Replica {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.node
}

// Run begins and ends tenures until the context ends.
func (l *Leader) Run(ctx context.Context) {
	for {
		status, changed := l.node.Status()
		if status.Role == core.Leader {
			l.serveTerm(ctx, status.Term, changed)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// serveTerm runs one tenure until leadership changes.
func (l *Leader) serveTerm(ctx context.Context, term uint64, changed <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changed:
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
	l.logger.Info().Str("event", "tenure_began").Uint64("term", term).Msg("")
	t.run(ctx)
	l.mu.Lock()
	l.tenure = nil
	l.mu.Unlock()
	t.wakeAll()
	l.logger.Info().Str("event", "tenure_ended").Uint64("term", term).Msg("")
}

// current returns the running tenure or a refusal that names the leader.
func (l *Leader) current() (*tenure, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.tenure == nil {
		return nil, noLeader()
	}
	return l.tenure, nil
}

func noLeader() *refusal.Error {
	return refusal.New(refusal.NoLeader, "retry; another instance leads or an election is running", "this instance does not lead")
}

// Address returns the cell address of the leader as the local replica knows
// it, or "".
func (l *Leader) Address() string {
	node := l.Node()
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

// propose commits a command of the running tenure and returns its result. A
// tenure that has ended without noticing commits nothing: what it knows of
// leases is out of date, even if its replica leads again.
func (l *Leader) propose(ctx context.Context, cmd *egretmuxv1.Command) (*state.Result, error) {
	t, err := l.current()
	if err != nil {
		return nil, err
	}
	cmd.NowUnixMs = time.Now().UnixMilli()
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, refusal.New(refusal.Internal, "report it", "command cannot be encoded").Because(err)
	}
	value, err := l.node.ProposeIn(ctx, t.term, data)
	switch {
	case err == nil:
	case errors.Is(err, consensus.ErrNotLeader), errors.Is(err, consensus.ErrStopped):
		return nil, noLeader()
	default:
		return nil, refusal.NewUnknown(refusal.OutcomeUnknown, "resend with the same change id", "the change may or may not have been committed").Because(err)
	}
	result := value.(*state.Result)
	if result.Err != nil {
		return result, result.Err
	}
	return result, nil
}

// confirm returns the tenure once a quorum has confirmed that it still leads.
// A replica that was deposed and leads again may confirm a later term.
func (l *Leader) confirm(ctx context.Context) (*tenure, error) {
	t, err := l.current()
	if err != nil {
		return nil, err
	}
	if err := l.node.ConfirmLeader(ctx); err != nil {
		return nil, noLeader().Because(err)
	}
	if status, _ := l.node.Status(); status.Role != core.Leader || status.Term != t.term {
		return nil, noLeader()
	}
	return t, nil
}

// TaskChanged implements state.Listener.
func (l *Leader) TaskChanged(t *egretmuxv1.Task) {
	l.waits.wake(t.GetId())
	if ten, err := l.current(); err == nil {
		ten.taskChanged(t)
	}
}

// WorkerChanged implements state.Listener.
func (l *Leader) WorkerChanged(w *egretmuxv1.Worker) {
	if ten, err := l.current(); err == nil {
		ten.planner.setWorker(w)
		ten.wakePlanner()
	}
}

// ContractChanged implements state.Listener.
func (l *Leader) ContractChanged(c *egretmuxv1.ContractVersion) {
	if ten, err := l.current(); err == nil {
		ten.planner.setContract(l.store, c.GetCustomer())
		ten.wakePlanner()
		ten.wakeAll()
	}
}

// Restored implements state.Listener.
func (l *Leader) Restored() {}

// waitHub wakes those who wait for a task to change.
type waitHub struct {
	mu    sync.Mutex
	chans map[uint64]chan struct{}
}

func (h *waitHub) init() { h.chans = make(map[uint64]chan struct{}) }

// wait returns a channel that is closed at the task's next change.
func (h *waitHub) wait(task uint64) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.chans[task]
	if c == nil {
		c = make(chan struct{})
		h.chans[task] = c
	}
	return c
}

func (h *waitHub) wake(task uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := h.chans[task]; c != nil {
		close(c)
		delete(h.chans, task)
	}
}
