// Package jobcell joins instances that are told only a few addresses into one
// cell that runs jobs: it finds the other instances, forms the replicated log
// once, keeps its members, and carries calls to the leader.
package jobcell

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/consensus"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/peer"
	"github.com/egretmux/egretmux/internal/scheduler"
	"github.com/egretmux/egretmux/internal/settings"
	"github.com/egretmux/egretmux/internal/telemetry"
	"github.com/egretmux/egretmux/internal/voter"
)

// Timing of the replicated log between instances.
const (
	tick            = 50 * time.Millisecond
	electionTicks   = 12 // 600 ms without a leader begin an election; a sync on a slow disk takes a tenth of that
	heartbeatTicks  = 3
	snapshotEntries = 20_000
)

// maxMessage bounds a message between instances, in bytes.
const maxMessage = 16 << 20

// StepAdviser asks the advice service from this instance.
type StepAdviser interface {
	Advise(ctx context.Context, step string, workers []string) (map[string]string, error)
}

// Config describes one instance.
type Config struct {
	Name            string
	Zone            string
	Address         string   // of the cell listener
	Control         string   // of the control listener
	Seeds           []string // cell addresses of some instances, in the same order on all at the cell's first start
	Founding        bool     // the cell has never existed
	ToleratedLosses int      // replicas that may be lost at the same time
	DataFolder      string   // empty: the instance keeps no replica
	Scheduler       scheduler.Config
	Adviser         StepAdviser
	Logger          zerolog.Logger
}

// Cell is this instance's part in the cell.
type Cell struct {
	cfg       Config
	dialer    *peer.Dialer
	finder    *peer.LeaderClient
	voter     *voter.Voter // nil without a data folder
	scheduler *scheduler.Scheduler
	members   *directory
	advisers  *advisers
	drivers   *drivers
	relays    *relays
	beats     *beatCache
	failed    chan error
	startNow  chan struct{} // closed when an empty replica may start
	startOnce sync.Once
	seedsMu   sync.Mutex
	seeds     []string
	founding  sync.Mutex // held while the first membership is written
}

// New opens the data folder.
func New(cfg Config) (*Cell, error) {
	dialer, err := peer.NewDialer("", "")
	if err != nil {
		return nil, err
	}
	c := &Cell{cfg: cfg, seeds: cfg.Seeds, dialer: dialer, failed: make(chan error, 1), startNow: make(chan struct{})}
	c.members = newDirectory(cfg.Address)
	c.advisers = newAdvisers(c)
	c.drivers = newDrivers(c, cfg.Scheduler.Workers)
	c.relays = newRelays(c)
	c.beats = newBeatCache()
	cfg.Scheduler.Adviser = c.advisers
	cfg.Scheduler.Workers = c.drivers
	cfg.Scheduler.Logger = cfg.Logger
	c.scheduler = scheduler.New(cfg.Scheduler)
	c.finder = peer.NewLeaderClient(dialer, cfg.Seeds, c.leaderAddress)
	if cfg.DataFolder == "" {
		return c, nil
	}
	c.voter, err = voter.Open(&settings.Settings{
		Instance: cfg.Address, DataFolder: cfg.DataFolder, Cell: settings.Listener{Address: cfg.Address},
		Tick: tick, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, SnapshotEntries: snapshotEntries,
	}, dialer, cfg.Logger)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// Failed receives the error that ends this instance.
func (c *Cell) Failed() <-chan error { return c.failed }

// Handler serves the other instances.
func (c *Cell) Handler() http.Handler {
	limit := connect.WithHandlerOptions(connect.WithReadMaxBytes(maxMessage), connect.WithCompression("gzip", nil, nil))
	mux := http.NewServeMux()
	mux.Handle(egretmuxv1connect.NewJobCellServiceHandler(&service{c}, limit))
	if c.voter != nil {
		mux.Handle(c.voter.Handler())
	}
	return telemetry.CountMessages("cell", mux)
}

// Run takes part in the cell until the context ends.
func (c *Cell) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { c.announceLoop(ctx) })
	if c.cfg.Founding && len(c.cfg.Seeds) > 0 && c.cfg.Seeds[0] == c.cfg.Address {
		loops.Go(func() { c.foundLoop(ctx) })
	}
	if c.voter != nil {
		loops.Go(func() { c.runReplica(ctx) })
	}
	loops.Wait()
}

// runReplica starts the replica: at once when it holds a log, or when the cell
// is known to exist elsewhere or to begin here.
func (c *Cell) runReplica(ctx context.Context) {
	if c.voter.Empty() && c.cfg.Founding {
		select {
		case <-ctx.Done():
			return
		case <-c.startNow:
		}
	}
	book := job.NewBook()
	c.founding.Lock()
	node, err := c.voter.StartReplica(book, c.fail)
	c.founding.Unlock()
	if err != nil {
		c.fail(err)
		return
	}
	c.scheduler.SetReplica(node, book)
	var loops sync.WaitGroup
	loops.Go(func() { c.scheduler.Run(ctx) })
	loops.Go(func() { c.stewardLoop(ctx, node) })
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
	if c.voter == nil {
		return nil
	}
	c.voter.EndStreams()
	return c.voter.Close()
}

// HandOver passes leadership on before this instance stops.
func (c *Cell) HandOver(ctx context.Context) {
	if node := c.scheduler.Node(); node != nil {
		scheduler.HandOver(ctx, node)
	}
}

// self describes this instance to the others.
func (c *Cell) self() *egretmuxv1.Member {
	m := &egretmuxv1.Member{
		Address: c.cfg.Address, Control: c.cfg.Control, Zone: c.cfg.Zone, Founding: c.cfg.Founding, Name: c.cfg.Name,
	}
	if c.voter != nil {
		m.Replica, m.Empty = c.voter.Replica().GetId(), c.voter.Empty()
	}
	return m
}

// formed reports whether this instance knows that the cell exists.
func (c *Cell) formed() bool {
	if c.voter != nil && !c.voter.Empty() {
		return true
	}
	if node := c.scheduler.Node(); node != nil {
		if status, _ := node.Status(); status.Last > 0 {
			return true
		}
	}
	return c.members.isFormed()
}

var _ consensus.StateMachine = (*job.Book)(nil)
