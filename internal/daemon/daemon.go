// Package daemon wires the parts of one instance together and carries it from
// start to graceful shutdown.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/core"
	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/entry"
	"github.com/egretmux/egretmux/internal/leader"
	"github.com/egretmux/egretmux/internal/link"
	"github.com/egretmux/egretmux/internal/peer"
	"github.com/egretmux/egretmux/internal/relay"
	"github.com/egretmux/egretmux/internal/route"
	"github.com/egretmux/egretmux/internal/settings"
	"github.com/egretmux/egretmux/internal/state"
	"github.com/egretmux/egretmux/internal/voter"
)

// closeTimeout bounds the closing of each listener.
const closeTimeout = 2 * time.Second

// Daemon is one instance.
type Daemon struct {
	settings *settings.Settings
	logger   zerolog.Logger

	dialer *peer.Dialer
	finder *peer.Leader
	book   *contract.Book
	routes *route.Table
	links  *link.Pool
	relay  *relay.Relay
	entry  *entry.Entry
	leader *leader.Leader
	voter  *voter.Voter // nil on instances without a data folder
	store  *state.Store

	listeners map[string]net.Listener
	servers   map[string]*http.Server
	failed    chan error
	draining  chan struct{} // closed when readiness is dropped
}

// New builds an instance and opens its listeners and data folder.
func New(s *settings.Settings, logger zerolog.Logger) (*Daemon, error) {
	d := &Daemon{settings: s, logger: logger, failed: make(chan error, 4), draining: make(chan struct{})}
	var err error
	if d.dialer, err = peer.NewDialer(s.CellKey, s.CellCA); err != nil {
		return nil, err
	}
	d.leader = leader.New(leader.Timing{
		EntryLease: s.EntryLease, WorkerLease: s.WorkerLease, EndpointSilent: s.EndpointSilent,
		RequestLimit: s.DrainLimit, TaskKeep: s.TaskKeep, RequestKeep: s.RequestKeep,
	}, logger)
	d.finder = peer.NewLeader(d.dialer, voterAddresses(s), d.leader.Address)
	d.book = contract.NewBook()
	d.links = link.NewPool(link.Dial)
	d.routes = route.NewTable(route.Config{
		Datacentre: s.Datacentre, Limit: s.MaxQueue, Links: d.links, Logger: logger,
		Leased: func() bool { return d.relay.Lease().Valid() }, Wake: func() { d.relay.Wake() },
	})
	d.buildRelay()
	d.buildEntry()
	if err := d.listen(); err != nil {
		return nil, err
	}
	if s.IsVoter() {
		if d.voter, err = voter.Open(s, d.dialer, logger); err != nil {
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

func (d *Daemon) buildRelay() {
	s := d.settings
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}}
	d.relay = relay.New(relay.Config{
		Instance: &egretmuxv1.Instance{
			Id: s.Instance, Datacentre: s.Datacentre, CellAddress: s.Cell.Address, ControlAddress: s.Control.Address, Voter: s.IsVoter(),
		},
		Leader: d.finder, Book: d.book, Endpoints: d.routes,
		Commands: relay.NewCommander(client, "http", d.logger), Logger: d.logger,
	})
}

func (d *Daemon) buildEntry() {
	s := d.settings
	d.entry = entry.New(entry.Config{
		Instance: s.Instance, Lease: d.relay.Lease(), Book: d.book, Routes: d.routes, Links: d.links,
		Attempts: &attempts{leader: d.finder}, MaxBodyBytes: s.MaxBodyBytes, MaxInFlight: s.MaxInFlight,
		BufferBytes: s.BufferBytes, Logger: d.logger,
	})
}

// listen opens all listeners before anything is served.
func (d *Daemon) listen() error {
	d.listeners = make(map[string]net.Listener)
	d.servers = make(map[string]*http.Server)
	for name, l := range map[string]settings.Listener{"callers": d.settings.Callers, "control": d.settings.Control, "cell": d.settings.Cell} {
		opened, err := net.Listen("tcp", l.Address)
		if err != nil {
			return errors.Wrapf(err, "[listen] %s: %s cannot be opened; stop the other process or choose another port", name, l.Address)
		}
		if opened, err = withTLS(opened, l); err != nil {
			return errors.Wrapf(err, "[tls] %s", name)
		}
		d.listeners[name] = opened
	}
	return nil
}

// Run serves until the context ends, then shuts down gracefully. Once hurry is
// closed, it no longer waits for requests in flight.
func (d *Daemon) Run(ctx context.Context, hurry <-chan struct{}) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var loops sync.WaitGroup
	d.serve("cell", d.cellHandler(), true)
	if d.voter != nil {
		if err := d.startReplica(ctx, background, &loops); err != nil {
			return err
		}
	}
	loops.Go(func() { d.relay.Run(background) })
	loops.Go(func() { d.links.Run(background) })
	d.serve("control", d.controlHandler(), true)
	d.serve("callers", d.callersHandler(), false)
	d.logger.Info().Str("event", "instance_started").Str("datacentre", d.settings.Datacentre).Bool("voter", d.voter != nil).Msg("")
	var err error
	select {
	case <-ctx.Done():
	case err = <-d.failed:
	}
	if err == nil {
		d.drain(hurry)
	}
	stop()
	loops.Wait()
	d.close()
	d.logger.Info().Str("event", "instance_stopped").Msg("")
	return err
}

func (d *Daemon) startReplica(ctx, background context.Context, loops *sync.WaitGroup) error {
	d.store = state.New(d.leader)
	node, err := d.voter.Start(ctx, d.store, func(err error) { d.failed <- err })
	if err != nil {
		return err
	}
	d.leader.SetNode(node, d.store)
	loops.Go(func() { d.leader.Run(background) })
	loops.Go(func() { d.voter.Join(background, d.finder) })
	return nil
}

func (d *Daemon) serve(name string, handler http.Handler, http2 bool) {
	const headerTimeout = 10 * time.Second
	server := &http.Server{Handler: handler, MaxHeaderBytes: d.settings.MaxHeaderBytes, ReadHeaderTimeout: headerTimeout}
	server.Protocols = new(http.Protocols)
	server.Protocols.SetHTTP1(true)
	if http2 {
		server.Protocols.SetUnencryptedHTTP2(true)
		server.Protocols.SetHTTP2(true)
		server.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: 4096}
	}
	d.servers[name] = server
	go func() {
		if err := server.Serve(d.listeners[name]); err != nil && !errors.Is(err, http.ErrServerClosed) {
			d.failed <- errors.Wrapf(err, "listener %s failed", name)
		}
	}()
}

// drain drops readiness, waits for the balancer to notice, refuses new
// requests, and waits for those in flight.
func (d *Daemon) drain(hurry <-chan struct{}) {
	close(d.draining)
	d.entry.Close()
	d.logger.Info().Str("event", "readiness_dropped").Msg("")
	if d.voter != nil {
		d.handOver()
	}
	select {
	case <-time.After(d.settings.ReadinessWait):
	case <-hurry:
	}
	finished := d.entry.Drain()
	select {
	case <-finished:
	case <-time.After(d.settings.DrainLimit):
		d.logger.Warn().Str("event", "requests_cut").Int64("in_flight", d.entry.InFlight()).Str("cause", "drain limit").Msg("")
	case <-hurry:
		d.logger.Warn().Str("event", "requests_cut").Int64("in_flight", d.entry.InFlight()).Str("cause", "second signal").Msg("")
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := d.relay.Leave(ctx); err != nil {
		d.logger.Warn().Err(err).Str("event", "leave_not_told").Msg("")
	}
}

// handOver passes leadership to the voter that has the most of the log.
func (d *Daemon) handOver() {
	node := d.leader.Node()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = node.Do(ctx, func(c *core.Core) error {
		status := c.Status()
		var best, match uint64
		for _, r := range status.Membership.GetReplicas() {
			if r.GetId() != status.ID && !r.GetLearner() && (best == 0 || status.Match[r.GetId()] > match) {
				best, match = r.GetId(), status.Match[r.GetId()]
			}
		}
		if best != 0 && c.TransferLeadership(best) {
			d.logger.Info().Str("event", "leadership_handed_over").Uint64("to", best).Msg("")
		}
		return nil
	})
}

func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for name, server := range d.servers {
		if err := server.Shutdown(ctx); err != nil {
			d.logger.Debug().Err(err).Str("event", "listener_closed_hard").Str("listener", name).Msg("")
			_ = server.Close()
		}
	}
	d.links.Close()
	if d.voter != nil {
		if err := d.voter.Close(); err != nil {
			d.logger.Warn().Err(err).Str("event", "data_folder_not_closed").Msg("")
		}
	}
}

// attempts implements entry.Attempts by calls to the leader.
type attempts struct{ leader *peer.Leader }

// Begin implements entry.Attempts.
func (a *attempts) Begin(ctx context.Context, r *egretmuxv1.RequestRecord) (record *egretmuxv1.RequestRecord, run, conflict bool, err error) {
	err = a.leader.Call(ctx, func(ctx context.Context, c *peer.Clients) error {
		resp, err := c.Cell.BeginRequest(ctx, connect.NewRequest(&egretmuxv1.BeginRequestRequest{Request: r}))
		if err == nil {
			record, run, conflict = resp.Msg.GetRecord(), resp.Msg.GetRun(), resp.Msg.GetConflict()
		}
		return err
	})
	return record, run, conflict, err
}

// End implements entry.Attempts.
func (a *attempts) End(ctx context.Context, r *egretmuxv1.RequestRecord) error {
	return a.leader.Call(ctx, func(ctx context.Context, c *peer.Clients) error {
		_, err := c.Cell.EndRequest(ctx, connect.NewRequest(&egretmuxv1.EndRequestRequest{Request: r}))
		return err
	})
}
