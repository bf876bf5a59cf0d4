package leader_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/consensus"
	"github.com/egretmux/egretmux/internal/consensus/core"
	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/leader"
	"github.com/egretmux/egretmux/internal/peer"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
	"github.com/egretmux/egretmux/internal/relay"
	"github.com/egretmux/egretmux/internal/route"
	"github.com/egretmux/egretmux/internal/state"
)

const (
	voterCount    = 3
	instanceCount = 5
	slotCount     = 8
)

var timing = leader.Timing{
	EntryLease: 8 * time.Second, WorkerLease: 6 * time.Second, EndpointSilent: 1500 * time.Millisecond,
	RequestLimit: 30 * time.Second, TaskKeep: time.Hour, RequestKeep: time.Hour,
}

// cluster simulates the replicated log and the network between instances. The
// log itself never fails; leaders, links and processes do.
type cluster struct {
	ctx context.Context

	mu             sync.Mutex
	rng            *rand.Rand
	networkFaulty  bool // messages are delayed and dropped
	term           uint64
	leaderIndex    int
	committed      *state.Store // the committed state
	log            [][]byte
	voters         []*voter
	processes      [instanceCount]*process
	allProcesses   []*process
	isolated       [instanceCount]bool
	versionInForce uint64 // greatest version reported to be in force everywhere
	worker         *fakeWorker
}

// voter is a replica of the simulated log. A deposed one still acts as leader
// until notifyDeposed.
type voter struct {
	cluster           *cluster
	id                int
	store             *state.Store
	leader            *leader.Leader
	applied           int
	term              uint64 // term that it believes to lead; 0: none
	statusChanged     chan struct{}
	pauseAfterConfirm time.Duration // length of a pause after the next confirmation
	pauseAfterCommit  time.Duration // length of a pause after the next commit

	delayBeforePhaseChange time.Duration // delay before a change of a worker's phase is committed
}

// process is one process of an instance.
type process struct {
	id     int
	relay  *relay.Relay
	book   *contract.Book
	routes *route.Table
	cancel context.CancelFunc
}

func newCluster(ctx context.Context, seed uint64) *cluster {
	c := &cluster{ctx: ctx, rng: rand.New(rand.NewPCG(seed, 1)), committed: state.New(nil), leaderIndex: -1}
	for i := range voterCount {
		l := leader.New(timing, zerolog.Nop())
		v := &voter{cluster: c, id: i, leader: l, store: state.New(l), statusChanged: make(chan struct{})}
		l.SetReplica(v, v.store)
		c.voters = append(c.voters, v)
	}
	c.elect(0)
	for _, v := range c.voters {
		go v.leader.Run(ctx)
	}
	for i := range instanceCount {
		c.startProcess(i)
	}
	return c
}

// startProcess starts a new process of an instance. The earlier one stops
// reporting but keeps its state, as a paused process does.
func (c *cluster) startProcess(id int) {
	if old := c.processes[id]; old != nil {
		old.cancel()
	}
	p := &process{id: id, book: contract.NewBook()}
	p.routes = route.NewTable(route.Config{
		MaxQueued: 1, Links: noLinks{}, LeaseValid: func() bool { return p.relay.Lease().Valid() }, RequestReport: func() { p.relay.RequestReport() }, Logger: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(c.ctx)
	p.cancel = cancel
	began := time.Now()
	simulatedTime := func() time.Duration { return time.Since(began) }
	p.relay = relay.New(relay.Config{
		Instance: &egretmuxv1.Instance{Id: instanceName(id), CellAddress: instanceName(id), Voter: id < voterCount},
		Leader:   &caller{cluster: c, from: id}, Contracts: p.book, Endpoints: p.routes,
		Commands: relay.NewCommander(nil, "http", zerolog.Nop()), EndpointSilenceTimeout: timing.EndpointSilent, Logger: zerolog.Nop(),
		Clock: simulatedTime,
	})
	c.mu.Lock()
	c.processes[id] = p
	c.allProcesses = append(c.allProcesses, p)
	c.mu.Unlock()
	go p.relay.Run(ctx)
}

func instanceName(id int) string { return fmt.Sprintf("a%d", id+1) }

// elect makes a voter the leader of a new term. The previous leader does not
// notice.
func (c *cluster) elect(id int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.voters[id]
	c.term++
	c.leaderIndex = id
	v.catchUp()
	v.setTerm(c.term)
}

// notifyDeposed lets every deposed voter notice that it no longer leads.
func (c *cluster) notifyDeposed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range c.voters {
		if v.id != c.leaderIndex && v.term != 0 {
			v.setTerm(0)
		}
	}
}

func (v *voter) setTerm(term uint64) {
	v.term = term
	close(v.statusChanged)
	v.statusChanged = make(chan struct{})
}

// catchUp applies the whole log. The caller holds the lock.
func (v *voter) catchUp() {
	for ; v.applied < len(v.cluster.log); v.applied++ {
		v.store.Apply(uint64(v.applied+1), v.cluster.log[v.applied])
	}
}

// Status implements leader.Replica.
func (v *voter) Status() (core.Status, <-chan struct{}) {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	s := core.Status{ID: uint64(v.id + 1), Term: v.term, Role: core.Follower}
	if v.term != 0 {
		s.Role = core.Leader
	}
	return s, v.statusChanged
}

// lockWhenLeading returns with the lock held once the voter leads and can reach a
// quorum.
func (v *voter) lockWhenLeading(ctx context.Context) error {
	c := v.cluster
	for {
		c.mu.Lock()
		statusChanged := v.statusChanged
		switch {
		case v.term == 0:
			c.mu.Unlock()
			return consensus.ErrNotLeader
		case c.leaderIndex == v.id && !c.isolated[v.id]:
			return nil
		}
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-statusChanged:
			return consensus.ErrOutcomeUnknown
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// ProposeInTerm implements leader.Replica.
func (v *voter) ProposeInTerm(ctx context.Context, term uint64, data []byte) (any, error) {
	delay, _ := v.cluster.transmit(v.id, v.id) // the time that a commit takes
	time.Sleep(min(delay, time.Second))
	cmd := &egretmuxv1.Command{}
	if err := proto.Unmarshal(data, cmd); err == nil && cmd.GetSetWorkerPhase() != nil {
		time.Sleep(v.delayBeforePhaseChange)
	}
	if err := v.lockWhenLeading(ctx); err != nil {
		return nil, err
	}
	c := v.cluster
	if v.term != term {
		c.mu.Unlock()
		return nil, consensus.ErrNotLeader
	}
	v.catchUp()
	c.log = append(c.log, data)
	c.committed.Apply(uint64(len(c.log)), data)
	v.applied++
	value := v.store.Apply(uint64(len(c.log)), data)
	pause := v.pauseAfterCommit
	v.pauseAfterCommit = 0
	c.mu.Unlock()
	time.Sleep(pause)
	return value, nil
}

// ConfirmLeader implements leader.Replica. It may pause before it returns, as
// ProposeInTerm may.
func (v *voter) ConfirmLeader(ctx context.Context) error {
	if err := v.lockWhenLeading(ctx); err != nil {
		return err
	}
	v.catchUp()
	pause := v.pauseAfterConfirm
	v.pauseAfterConfirm = 0
	v.cluster.mu.Unlock()
	time.Sleep(pause)
	return nil
}

// Do implements leader.Replica.
func (v *voter) Do(context.Context, func(*core.Core) error) error { return consensus.ErrNotLeader }

// transmit returns the delay of one message and whether it arrives.
func (c *cluster) transmit(from, to int) (delay time.Duration, arrives bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delay = time.Duration(1+c.rng.IntN(3)) * time.Millisecond // never 0, so that violation compares states of one instant
	if from != to && (c.isolated[from] || c.isolated[to]) {
		return delay, false
	}
	if !c.networkFaulty {
		return delay, true
	}
	if c.rng.IntN(10) == 0 {
		delay = time.Duration(c.rng.IntN(9000)) * time.Millisecond
	}
	return delay, c.rng.IntN(20) != 0
}

// caller implements relay.Caller over the simulated network.
type caller struct {
	cluster   *cluster
	from      int
	nextVoter int
	mu        sync.Mutex
}

func (l *caller) Call(ctx context.Context, f func(context.Context, *peer.Clients) error) error {
	for {
		l.mu.Lock()
		to := l.nextVoter % voterCount
		l.mu.Unlock()
		err := f(ctx, &peer.Clients{Cell: &cellClient{cluster: l.cluster, from: l.from, to: to}})
		if err == nil {
			return nil
		}
		r, _ := refusalrpc.From(err)
		if r.Kind != refusal.NoLeader && r.Kind != refusal.OutcomeUnknown {
			return r
		}
		l.mu.Lock()
		l.nextVoter = to + 1
		l.mu.Unlock()
		select {
		case <-ctx.Done():
			return r
		case <-time.After(50 * time.Millisecond):
		}
	}
}

type cellClient struct {
	egretmuxv1connect.CellServiceClient
	cluster  *cluster
	from, to int
}

// pingTimeout is the time after which a connection that answers no ping is closed.
const pingTimeout = 2 * time.Second

var errConnectionClosed = errors.New("connection closed")

// roundTrip delivers a request and returns its answer. The receiver continues
// after the sender has given up.
func roundTrip[A any](ctx context.Context, c *cellClient, serve func(context.Context, *leader.Leader) (*A, error)) (*connect.Response[A], error) {
	type answer struct {
		msg *A
		err error
	}
	done := make(chan answer, 1)
	go func() {
		delay, arrives := c.cluster.transmit(c.from, c.to)
		time.Sleep(delay)
		if !arrives {
			time.Sleep(pingTimeout)
			done <- answer{err: errConnectionClosed}
			return
		}
		serveCtx, cancel := context.WithTimeout(c.cluster.ctx, 20*time.Second)
		defer cancel()
		msg, err := serve(serveCtx, c.cluster.voters[c.to].leader)
		delay, arrives = c.cluster.transmit(c.to, c.from)
		time.Sleep(delay)
		if !arrives {
			time.Sleep(pingTimeout)
			msg, err = nil, errConnectionClosed
		}
		done <- answer{msg, err}
	}()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case a := <-done:
		if errors.Is(a.err, errConnectionClosed) {
			return nil, a.err
		}
		if a.err != nil {
			return nil, refusalrpc.Error(a.err)
		}
		return connect.NewResponse(a.msg), nil
	}
}

// withSlowClock returns the length of a lease as measured by a clock that runs 5%
// slow.
func withSlowClock(ms int64) int64 { return ms + ms/20 }

func (c *cellClient) Report(ctx context.Context, req *connect.Request[egretmuxv1.ReportRequest]) (*connect.Response[egretmuxv1.ReportResponse], error) {
	resp, err := roundTrip(ctx, c, func(ctx context.Context, l *leader.Leader) (*egretmuxv1.ReportResponse, error) {
		return l.Report(ctx, cloneOf(req.Msg))
	})
	if err == nil {
		resp.Msg.EntryLeaseMs = withSlowClock(resp.Msg.GetEntryLeaseMs())
		resp.Msg.WorkerLeaseMs = withSlowClock(resp.Msg.GetWorkerLeaseMs())
	}
	return resp, err
}

func (c *cellClient) Watch(ctx context.Context, req *connect.Request[egretmuxv1.WatchRequest]) (*connect.Response[egretmuxv1.WatchResponse], error) {
	msg := cloneOf(req.Msg)
	return roundTrip(ctx, c, func(ctx context.Context, l *leader.Leader) (*egretmuxv1.WatchResponse, error) {
		return l.Watch(ctx, msg)
	})
}

func (c *cellClient) Leave(ctx context.Context, req *connect.Request[egretmuxv1.LeaveRequest]) (*connect.Response[egretmuxv1.LeaveResponse], error) {
	return roundTrip(ctx, c, func(ctx context.Context, l *leader.Leader) (*egretmuxv1.LeaveResponse, error) {
		return &egretmuxv1.LeaveResponse{}, l.Leave(ctx, req.Msg)
	})
}

// noLinks is a pool without connections.
type noLinks struct{}

func (noLinks) SetLimit(string, int32) {}

func (noLinks) OpenCount(string) int32 { return 0 }

// fakeWorker keeps a lease through any instance that answers.
type fakeWorker struct {
	mu       sync.Mutex
	epoch    uint64
	leaseEnd time.Time
}

func (w *fakeWorker) run(c *cluster) {
	record := &egretmuxv1.Worker{Id: "w1", Address: "w1", Capacity: &egretmuxv1.Resources{CpuMillis: 1000, MemoryMib: 1000}}
	for attempt := 0; c.ctx.Err() == nil; attempt++ {
		w.mu.Lock()
		report := &egretmuxv1.WorkerReport{Worker: "w1", Epoch: w.epoch}
		if w.epoch == 0 || time.Now().After(w.leaseEnd) {
			w.epoch = 0
			report.Epoch, report.Register, report.Full = 0, record, true
		}
		w.mu.Unlock()
		for w.announce(c, attempt%instanceCount, report) {
			time.Sleep(500 * time.Millisecond)
			w.mu.Lock()
			report = &egretmuxv1.WorkerReport{Worker: "w1", Epoch: w.epoch}
			w.mu.Unlock()
		}
	}
}

func (w *fakeWorker) announce(c *cluster, through int, report *egretmuxv1.WorkerReport) bool {
	c.mu.Lock()
	p := c.processes[through]
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(c.ctx, 2*time.Second)
	defer cancel()
	sent := time.Now()
	resp, err := p.relay.AnnounceWorker(ctx, connect.NewRequest(&egretmuxv1.AnnounceWorkerRequest{Report: report}))
	if err != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if resp.Msg.GetRegister() {
		w.epoch = 0
		return false
	}
	w.epoch = resp.Msg.GetEpoch()
	w.leaseEnd = sent.Add(time.Duration(resp.Msg.GetLeaseMs()) * time.Millisecond)
	return true
}

// announceEndpoint announces an endpoint through one instance until the context ends.
func (c *cluster) announceEndpoint(ctx context.Context, id string, through int) {
	for ctx.Err() == nil {
		c.mu.Lock()
		p := c.processes[through]
		c.mu.Unlock()
		_, _ = p.relay.AnnounceEndpoint(ctx, connect.NewRequest(&egretmuxv1.AnnounceEndpointRequest{Report: &egretmuxv1.EndpointReport{
			Id: id, Service: "lease", Address: id, Slots: slotCount, Links: 60, Epoch: 1,
		}}))
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}
