// Package daemon builds an instance from its components and runs it until its
// graceful shutdown.
package daemon

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/entry"
	"github.com/egretmux/egretmux/internal/leader"
	"github.com/egretmux/egretmux/internal/link"
	"github.com/egretmux/egretmux/internal/peer"
	"github.com/egretmux/egretmux/internal/relay"
	"github.com/egretmux/egretmux/internal/route"
	"github.com/egretmux/egretmux/internal/settings"
	"github.com/egretmux/egretmux/internal/state"
	"github.com/egretmux/egretmux/internal/telemetry"
	"github.com/egretmux/egretmux/internal/voter"
)

// shutdownStepTimeout bounds each of these steps of a shutdown: the leadership
// transfer, the notice to the leader, and the closing of the listeners and of the data
// folder.
const shutdownStepTimeout = 2 * time.Second

// Daemon is one instance.
type Daemon struct {
	settings *settings.Settings
	logger   zerolog.Logger

	dialer       *peer.Dialer
	leaderClient *peer.LeaderClient
	contracts    *contract.Book
	routes       *route.Table
	links        *link.Pool
	relay        *relay.Relay
	entry        *entry.Entry
	leader       *leader.Leader
	voter        *voter.Voter // nil on instances without a data folder

	listeners []*listener
	failures  chan error    // the first one ends Run
	draining  chan struct{} // closed when the readiness check begins to fail
}

// New builds an instance and opens its listeners and data folder.
func New(s *settings.Settings, logger zerolog.Logger) (*Daemon, error) {
	return NewWithListenFunc(s, logger, net.Listen)
}

// ListenFunc opens a listener as net.Listen does.
type ListenFunc func(network, address string) (net.Listener, error)

// NewWithListenFunc is New with listeners opened by listen.
func NewWithListenFunc(s *settings.Settings, logger zerolog.Logger, listen ListenFunc) (*Daemon, error) {
	d := &Daemon{settings: s, logger: logger, failures: make(chan error, 4), draining: make(chan struct{})}
	telemetry.Register()
	var err error
	if d.dialer, err = peer.NewDialer(s.CellKey, s.CellCA); err != nil {
		return nil, err
	}
	d.leader = leader.New(leader.Timing{
		EntryLease: s.EntryLease, WorkerLease: s.WorkerLease, EndpointSilent: s.EndpointSilent,
		RequestLimit: s.DrainLimit, TaskKeep: s.TaskKeep, RequestKeep: s.RequestKeep,
	}, logger)
	d.leaderClient = peer.NewLeaderClient(d.dialer, voterAddresses(s), d.leader.Address)
	d.contracts = contract.NewBook()
	d.links = link.NewPool(link.Dial)
	d.routes = route.NewTable(route.Config{
		Datacentre: s.Datacentre, MaxQueued: s.MaxQueue, Links: d.links, Logger: logger,
		LeaseValid: func() bool { return d.relay.Lease().Valid() }, RequestReport: func() { d.relay.RequestReport() },
	})
	if err := d.buildRelay(); err != nil {
		return nil, err
	}
	d.buildEntry()
	if err := d.openListeners(listen); err != nil {
		d.closeListeners()
		return nil, err
	}
	if s.IsVoter() {
		if d.voter, err = voter.Open(s, d.dialer, logger); err != nil {
			d.closeListeners()
			return nil, err
		}
	}
	return d, nil
}

func voterAddresses(s *settings.Settings) []string {
	var addresses []string
	for _, v := range s.Voters {
		addresses = append(addresses, v.Address)
	}
	return addresses
}

func (d *Daemon) buildRelay() error {
	s := d.settings
	commander, err := newCommander(s, d.logger)
	if err != nil {
		return err
	}
	d.relay = relay.New(relay.Config{
		Instance: &egretmuxv1.Instance{
			Id: s.Instance, Datacentre: s.Datacentre, CellAddress: s.Cell.Address, ControlAddress: s.Control.Address, Voter: s.IsVoter(),
		},
		Leader: d.leaderClient, Contracts: d.contracts, Endpoints: d.routes,
		Commands: commander, EndpointSilenceTimeout: s.EndpointSilent, Logger: d.logger,
	})
	return nil
}

func (d *Daemon) buildEntry() {
	s := d.settings
	d.entry = entry.New(entry.Config{
		Instance: s.Instance, Lease: d.relay.Lease(), Book: d.contracts, Routes: d.routes, Links: d.links,
		Attempts: &attempts{leader: d.leaderClient}, MaxBodyBytes: s.MaxBodyBytes, MaxInFlight: s.MaxInFlight,
		BufferBytes: s.BufferBytes, Logger: d.logger,
	})
}

// Run serves until the context ends or a component fails, then shuts down
// gracefully. Once stopNow is closed, the shutdown waits for nothing any more.
func (d *Daemon) Run(ctx context.Context, stopNow <-chan struct{}) error {
	loopCtx, stopLoops := context.WithCancel(context.Background())
	defer stopLoops()
	var loops sync.WaitGroup
	d.startServer("cell", d.cellHandler(), true)
	d.startServer("control", d.controlHandler(), true)
	d.startServer("callers", d.callersHandler(), false)
	if d.voter != nil {
		loops.Go(func() { d.runReplica(loopCtx) })
	}
	loops.Go(func() { d.relay.Run(loopCtx) })
	loops.Go(func() { d.links.Run(loopCtx) })
	d.logger.Info().Str("event", "instance_started").Str("datacentre", d.settings.Datacentre).Bool("voter", d.voter != nil).Msg("instance started")
	var err error
	select {
	case <-ctx.Done():
	case err = <-d.failures:
		d.logger.Error().Err(err).Str("event", "part_failed").Msg("a component failed; the instance shuts down")
	}
	graceCtx, endGrace := context.WithCancel(context.Background())
	defer endGrace()
	go func() {
		select {
		case <-stopNow:
			endGrace()
		case <-graceCtx.Done():
		}
	}()
	d.drain(graceCtx)
	stopLoops()
	loops.Wait()
	d.close(graceCtx)
	d.logger.Info().Str("event", "instance_stopped").Msg("instance stopped")
	return err
}

// runReplica starts the replica, which may have to wait for the other voters,
// and runs the leader's duties whenever the replica leads.
func (d *Daemon) runReplica(ctx context.Context) {
	store := state.New(d.leader)
	node, err := d.voter.Start(ctx, store, d.fail)
	switch {
	case ctx.Err() != nil:
		return
	case err != nil:
		d.fail(errors.Wrap(err, "the replica cannot start"))
		return
	}
	d.leader.SetReplica(node, store)
	var loops sync.WaitGroup
	loops.Go(func() { d.leader.Run(ctx) })
	loops.Go(func() { d.voter.Join(ctx, d.leaderClient) })
	loops.Wait()
}

// fail ends Run with the error. Later failures have no effect.
func (d *Daemon) fail(err error) {
	select {
	case d.failures <- err:
	default:
	}
}
