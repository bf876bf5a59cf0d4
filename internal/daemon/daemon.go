// Package daemon wires the parts of one instance together and carries it from
// start to graceful shutdown.
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

// closeTimeout bounds the closing of each listener.
const closeTimeout = 2 * time.Second

// Daemon is one instance.
type Daemon struct {
	settings *settings.Settings
	logger   zerolog.Logger

	dialer *peer.Dialer
	finder *peer.LeaderClient
	book   *contract.Book
	routes *route.Table
	links  *link.Pool
	relay  *relay.Relay
	entry  *entry.Entry
	leader *leader.Leader
	voter  *voter.Voter // nil on instances without a data folder

	listeners []*listener
	failed    chan error
	draining  chan struct{} // closed when readiness is dropped
}

// New builds an instance and opens its listeners and data folder.
func New(s *settings.Settings, logger zerolog.Logger) (*Daemon, error) {
	return NewWithListenFunc(s, logger, net.Listen)
}

// ListenFunc opens a listener as net.Listen does.
type ListenFunc func(network, address string) (net.Listener, error)

// NewWithListenFunc is New with listeners that open returns.
func NewWithListenFunc(s *settings.Settings, logger zerolog.Logger, open ListenFunc) (*Daemon, error) {
	d := &Daemon{settings: s, logger: logger, failed: make(chan error, 4), draining: make(chan struct{})}
	telemetry.Register()
	var err error
	if d.dialer, err = peer.NewDialer(s.CellKey, s.CellCA); err != nil {
		return nil, err
	}
	d.leader = leader.New(leader.Timing{
		EntryLease: s.EntryLease, WorkerLease: s.WorkerLease, EndpointSilent: s.EndpointSilent,
		RequestLimit: s.DrainLimit, TaskKeep: s.TaskKeep, RequestKeep: s.RequestKeep,
	}, logger)
	d.finder = peer.NewLeaderClient(d.dialer, voterAddresses(s), d.leader.Address)
	d.book = contract.NewBook()
	d.links = link.NewPool(link.Dial)
	d.routes = route.NewTable(route.Config{
		Datacentre: s.Datacentre, Limit: s.MaxQueue, Links: d.links, Logger: logger,
		Leased: func() bool { return d.relay.Lease().Valid() }, Wake: func() { d.relay.Wake() },
	})
	if err := d.buildRelay(); err != nil {
		return nil, err
	}
	d.buildEntry()
	if err := d.listen(open); err != nil {
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
	var out []string
	for _, v := range s.Voters {
		out = append(out, v.Address)
	}
	return out
}

func (d *Daemon) buildRelay() error {
	s := d.settings
	commands, err := newCommander(s, d.logger)
	if err != nil {
		return err
	}
	d.relay = relay.New(relay.Config{
		Instance: &egretmuxv1.Instance{
			Id: s.Instance, Datacentre: s.Datacentre, CellAddress: s.Cell.Address, ControlAddress: s.Control.Address, Voter: s.IsVoter(),
		},
		Leader: d.finder, Book: d.book, Endpoints: d.routes,
		Commands: commands, EndpointSilent: s.EndpointSilent, Logger: d.logger,
	})
	return nil
}

func (d *Daemon) buildEntry() {
	s := d.settings
	d.entry = entry.New(entry.Config{
		Instance: s.Instance, Lease: d.relay.Lease(), Book: d.book, Routes: d.routes, Links: d.links,
		Attempts: &attempts{leader: d.finder}, MaxBodyBytes: s.MaxBodyBytes, MaxInFlight: s.MaxInFlight,
		BufferBytes: s.BufferBytes, Logger: d.logger,
	})
}

// Run serves until the context ends or a part fails, then shuts down
// gracefully. Once hurry is closed, it no longer waits for anything.
func (d *Daemon) Run(ctx context.Context, hurry <-chan struct{}) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var loops sync.WaitGroup
	d.serve("cell", d.cellHandler(), true)
	d.serve("control", d.controlHandler(), true)
	d.serve("callers", d.callersHandler(), false)
	if d.voter != nil {
		loops.Go(func() { d.runReplica(background) })
	}
	loops.Go(func() { d.relay.Run(background) })
	loops.Go(func() { d.links.Run(background) })
	d.logger.Info().Str("event", "instance_started").Str("datacentre", d.settings.Datacentre).Bool("voter", d.voter != nil).Msg("")
	var err error
	select {
	case <-ctx.Done():
	case err = <-d.failed:
		d.logger.Error().Err(err).Str("event", "part_failed").Msg("")
	}
	urgent, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-hurry:
			cancel()
		case <-urgent.Done():
		}
	}()
	d.drain(urgent)
	stop()
	loops.Wait()
	d.close(urgent)
	d.logger.Info().Str("event", "instance_stopped").Msg("")
	return err
}

// runReplica starts the replica, which may have to wait for the other voters,
// and acts as leader whenever it leads.
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
	d.leader.SetNode(node, store)
	var loops sync.WaitGroup
	loops.Go(func() { d.leader.Run(ctx) })
	loops.Go(func() { d.voter.Join(ctx, d.finder) })
	loops.Wait()
}

// fail makes Run end. Only the first failure counts.
func (d *Daemon) fail(err error) {
	select {
	case d.failed <- err:
	default:
	}
}
