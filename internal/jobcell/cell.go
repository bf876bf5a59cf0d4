// Package jobcell joins instances into one cell that runs jobs. Starting from a
// few seed addresses it discovers the other instances, bootstraps the replicated
// log once, maintains its membership and forwards calls to the leader.
package jobcell

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/balance"
	"github.com/egretmux/egretmux/internal/consensus"
	"github.com/egretmux/egretmux/internal/discovery"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/peer"
	"github.com/egretmux/egretmux/internal/periodic"
	"github.com/egretmux/egretmux/internal/scheduler"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Timing of the replicated log between instances.
const (
	tickInterval  = 50 * time.Millisecond
	electionTicks = 12 // election timeout of 600 ms, ten times an fsync on a slow disk
	// maxElectionTime is the longest time from the last heartbeat of a leader to the first campaign: timeouts are
	// random, up to twice the shortest.
	maxElectionTime = 2 * electionTicks * tickInterval
	heartbeatTicks  = 3
	snapshotEntries = 20_000
)

// maxMessageBytes limits the size of a message between instances.
const maxMessageBytes = 16 << 20

// AdviceService calls the advice service from this instance.
type AdviceService interface {
	Advise(ctx context.Context, step string, workers []string) (map[string]string, error)
}

// Config describes one instance.
type Config struct {
	Name            string
	Zone            string
	Address         string   // address of the cell listener
	Control         string   // address of the control listener
	Seeds           []string // cell addresses of some instances; at the cell's first start in the same order on every instance
	Founding        bool     // set if the cell has never existed before
	ToleratedLosses int      // replicas that may be lost at the same time
	DataFolder      string   // if empty, the instance keeps no replica
	Scheduler       scheduler.Config
	Adviser         AdviceService
	Logger          zerolog.Logger
}

// Cell is this instance's part in the cell, not the cell as a whole: it discovers
// the other instances, runs a replica of the log if there is a data folder, and
// forwards calls to the leader.
type Cell struct {
	cfg                 Config
	dialer              *peer.Dialer
	probeDialer         *peer.Dialer // of the calls to this instance itself
	leader              *peer.LeaderClient
	folder              atomic.Pointer[dataFolder]
	folderOpened        chan error // outcomes of opening the data folder
	scheduler           *scheduler.Scheduler
	directory           *discovery.Directory
	advice              *adviceBalancer
	workers             *workerProxy
	relay               *leaderRelay
	heartbeats          *heartbeatCache
	calls               *callWatch
	order               *callOrder
	catalogues          *catalogueWatch
	failed              chan error
	replicaStartAllowed chan struct{} // closed when an empty replica may start
	startOnce           sync.Once
	bootstrapMu         sync.Mutex // held while the initial membership is written or the replica starts
}

// New returns a Cell that is not running. It begins to open the data folder, if there is one.
func New(cfg Config) (*Cell, error) {
	dialer, err := peer.NewDialer("", "")
	if err != nil {
		return nil, err
	}
	probeDialer, err := peer.NewDialer("", "")
	if err != nil {
		return nil, err
	}
	c := &Cell{cfg: cfg, dialer: dialer, probeDialer: probeDialer, failed: make(chan error, 1), replicaStartAllowed: make(chan struct{}), folderOpened: make(chan error, 1)}
	c.checkGangBounds()
	c.directory = discovery.New(c.self, cfg.Seeds, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), time.Now())
	c.advice = newAdviceBalancer(c)
	c.workers = newWorkerProxy(c, cfg.Scheduler.WorkerClient)
	c.relay = newLeaderRelay(c)
	c.heartbeats = newHeartbeatCache()
	c.calls = newCallWatch()
	c.order = newCallOrder()
	c.catalogues = &catalogueWatch{logger: cfg.Logger}
	cfg.Scheduler.AdviceClient = c.advice
	cfg.Scheduler.WorkerClient = c.workers
	cfg.Scheduler.Logger = cfg.Logger
	c.scheduler = scheduler.New(cfg.Scheduler)
	c.leader = peer.NewLeaderClient(dialer, cfg.Seeds, c.leaderAddress)
	if cfg.DataFolder == "" {
		return c, nil
	}
	c.beginOpening()
	c.waitBriefly()
	return c, nil
}

// checkGangBounds warns of settings by which members of a gang wait for the others for less time than it takes to
// find out that the gang is not whole, and to stop them.
func (c *Cell) checkGangBounds() {
	gang, stop := c.cfg.Scheduler.GangTimeout, c.cfg.Scheduler.StopTimeout
	if gang == 0 {
		return
	}
	longest := max(scheduler.Sum(scheduler.GangWaits(gang, stop)), scheduler.Sum(scheduler.AdoptedGangWaits(maxElectionTime, gang, stop)))
	if longest >= gang {
		c.cfg.Logger.Warn().Str("event", "gang_bound_tight").Int64("timeout_ms", gang.Milliseconds()).Int64("needed_ms", longest.Milliseconds()).Msg("members of gangs may give up waiting before they are stopped; let them wait longer")
	}
}

// Failed returns the channel that receives the error that ends this instance.
func (c *Cell) Failed() <-chan error { return c.failed }

// Handler returns the handler for calls from the other instances.
func (c *Cell) Handler() http.Handler {
	limit := connect.WithHandlerOptions(connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompression("gzip", nil, nil))
	mux := http.NewServeMux()
	mux.Handle(egretmuxv1connect.NewJobCellServiceHandler(&service{c}, limit))
	if c.cfg.DataFolder != "" {
		mux.HandleFunc(replicaPath, c.serveReplica)
	}
	return telemetry.CountMessages("cell", mux)
}

// Run participates in the cell until the context ends.
func (c *Cell) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { c.discoveryLoop(ctx) })
	loops.Go(func() { periodic.Run(ctx, callWatchPeriod, c.logStalledCalls) })
	loops.Go(func() { periodic.Run(ctx, balance.StepPeriod, c.stepWeights) })
	loops.Go(func() { periodic.Run(ctx, orderTickPeriod, c.order.tick) })
	if c.cfg.Founding && len(c.cfg.Seeds) > 0 && c.cfg.Seeds[0] == c.cfg.Address {
		loops.Go(func() { c.bootstrapLoop(ctx) })
	}
	if c.cfg.DataFolder != "" {
		loops.Go(func() { c.runDataFolder(ctx) })
	}
	loops.Wait()
}

// runReplica starts the replica at once if its log has entries or the cell is not
// on its first start. Otherwise it first waits until the cell has been bootstrapped,
// here or elsewhere.
func (c *Cell) runReplica(ctx context.Context) {
	if c.voter().Empty() && c.cfg.Founding {
		select {
		case <-ctx.Done():
			return
		case <-c.replicaStartAllowed:
		}
	}
	book := job.NewBook()
	c.bootstrapMu.Lock()
	node, err := c.voter().StartReplica(book, c.fail)
	c.bootstrapMu.Unlock()
	if err != nil {
		c.fail(err)
		return
	}
	c.scheduler.SetReplica(node, book)
	var loops sync.WaitGroup
	loops.Go(func() { c.scheduler.Run(ctx) })
	loops.Go(func() { c.membershipLoop(ctx, node) })
	loops.Go(func() { c.voterWatchLoop(ctx, node) })
	loops.Go(func() { c.leaderProbeLoop(ctx) })
	loops.Wait()
}

func (c *Cell) fail(err error) {
	select {
	case c.failed <- err:
	default:
	}
}

// Close stops the replica.
func (c *Cell) Close() error {
	v := c.voter()
	if v == nil {
		return nil
	}
	v.EndStreams()
	return v.Close()
}

// HandOver transfers leadership to another replica before this instance stops.
func (c *Cell) HandOver(ctx context.Context) error {
	node := c.scheduler.Node()
	if node == nil {
		return nil
	}
	return scheduler.HandOver(ctx, node)
}

// self returns the member entry that this instance announces to the others.
func (c *Cell) self() *egretmuxv1.Member {
	m := &egretmuxv1.Member{
		Address: c.cfg.Address, Control: c.cfg.Control, Zone: c.cfg.Zone, Founding: c.cfg.Founding, Name: c.cfg.Name,
	}
	if v := c.voter(); v != nil {
		m.Replica, m.Empty = v.Replica().GetId(), v.Empty()
	}
	return m
}

// formed reports whether this instance knows that the cell has been bootstrapped.
func (c *Cell) formed() bool { return c.replicaFormed() || c.directory.Formed() }

// replicaFormed reports whether the replica of this instance holds entries of the cell.
func (c *Cell) replicaFormed() bool {
	if v := c.voter(); v != nil && !v.Empty() {
		return true
	}
	if node := c.scheduler.Node(); node != nil {
		if status, _ := node.Status(); status.Last > 0 {
			return true
		}
	}
	return false
}

var _ consensus.StateMachine = (*job.Book)(nil)
