package jobcell

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/egretmux/egretmux/internal/edge"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Times of an instance's listeners and of its shutdown.
const (
	headerTime   = 3 * time.Second // for a request's header to arrive
	idleTime     = 15 * time.Second
	noticeTime   = 2500 * time.Millisecond // for balancers to see that the instance is not ready: two checks a second apart
	closeTime    = 1500 * time.Millisecond // for the last answers
	exitReserve  = 700 * time.Millisecond  // kept free before the process is killed
	reloadPeriod = 2 * time.Second
	maxHeader    = 16 << 10
	maxStreams   = 4096
)

// InstanceConfig describes how an instance is run.
type InstanceConfig struct {
	ShutdownTime time.Duration            // between the signal to stop and the kill
	Reload       func() ([]string, error) // reads the settings again and returns the seeds
	Logger       zerolog.Logger
}

// Instance serves a Cell's listeners from start to graceful shutdown.
type Instance struct {
	cell     *Cell
	cfg      InstanceConfig
	servers  []*server
	draining chan struct{}
	failed   chan error
}

type server struct {
	name, address string
	http          *http.Server
}

// NewInstance returns an instance without listeners.
func NewInstance(c *Cell, cfg InstanceConfig) *Instance {
	return &Instance{cell: c, cfg: cfg, draining: make(chan struct{}), failed: make(chan error, 8)}
}

// Listen adds a listener for HTTP/1.1; one without an address is left out.
func (i *Instance) Listen(name, address string, h http.Handler) {
	if address == "" {
		return
	}
	i.servers = append(i.servers, &server{name: name, address: address, http: &http.Server{
		Handler: edge.CloseAfter(i.draining, h), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeader,
	}})
}

// ListenCell adds the listener for other instances.
func (i *Instance) ListenCell(address string, h http.Handler) {
	s := &server{name: "cell", address: address, http: &http.Server{Handler: h, ReadHeaderTimeout: headerTime}}
	s.http.Protocols = new(http.Protocols)
	s.http.Protocols.SetHTTP1(true)
	s.http.Protocols.SetUnencryptedHTTP2(true)
	s.http.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxStreams}
	i.servers = append(i.servers, s)
}

// ServeReady tells a balancer whether to send connections here.
func (i *Instance) ServeReady(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-i.draining:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	default:
	}
	if !i.cell.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ServeMetrics writes counters and histograms.
func (i *Instance) ServeMetrics(w http.ResponseWriter, _ *http.Request) { telemetry.WriteMetrics(w) }

// Run serves until a signal to stop, the end of the context or a failure.
func (i *Instance) Run(ctx context.Context) error {
	log := i.cfg.Logger
	for _, s := range i.servers {
		socket, err := net.Listen("tcp", s.address)
		if err != nil {
			return errors.Wrapf(err, "%s listener", s.name)
		}
		go func() {
			if err := s.http.Serve(socket); err != nil && !errors.Is(err, http.ErrServerClosed) {
				i.failed <- errors.Wrapf(err, "%s listener", s.name)
			}
		}()
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		i.cell.Run(ctx)
	}()
	log.Info().Str("event", "instance_started").Str("zone", i.cell.cfg.Zone).Bool("replica", i.cell.voter != nil).Bool("founding", i.cell.cfg.Founding).Strs("seeds", i.cell.cfg.Seeds).Msg("")
	err := i.await(ctx)
	i.drain()
	stop()
	<-done
	if cerr := i.cell.Close(); cerr != nil {
		log.Warn().Err(cerr).Str("event", "data_folder_not_closed").Msg("")
	}
	log.Info().Err(err).Str("event", "instance_stopped").Msg("")
	return err
}

// await returns at the first reason to stop. The settings are read again at
// SIGHUP, and now and then.
func (i *Instance) await(ctx context.Context) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	reload := time.NewTicker(reloadPeriod)
	defer reload.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-i.failed:
			return err
		case err := <-i.cell.Failed():
			return err
		case <-reload.C:
			i.reload("period")
		case s := <-signals:
			i.cfg.Logger.Info().Str("event", "signal_received").Stringer("signal", s).Msg("")
			if s != syscall.SIGHUP {
				return nil
			}
			i.reload("signal")
		}
	}
}

func (i *Instance) reload(cause string) {
	if i.cfg.Reload == nil {
		return
	}
	seeds, err := i.cfg.Reload()
	if err != nil {
		i.cfg.Logger.Warn().Err(err).Str("event", "settings_not_read").Str("reason", cause).Msg("the settings in use stay")
		return
	}
	if i.cell.setSeeds(seeds) || cause == "signal" {
		i.cfg.Logger.Info().Str("event", "settings_read").Str("reason", cause).Strs("seeds", seeds).Msg("")
	}
}

// drain drops readiness, hands leadership over, lets balancers notice, and then
// lets every request that was read have its answer.
func (i *Instance) drain() {
	close(i.draining)
	i.cfg.Logger.Info().Str("event", "readiness_dropped").Msg("")
	ctx, cancel := context.WithTimeout(context.Background(), max(closeTime, i.cfg.ShutdownTime-exitReserve))
	defer cancel()
	i.cell.HandOver(ctx)
	time.Sleep(min(noticeTime, max(0, i.cfg.ShutdownTime-exitReserve-closeTime)))
	for _, s := range i.servers {
		if s.name == "cell" {
			continue // carries the last calls to the leader
		}
		if err := s.http.Shutdown(ctx); err != nil {
			i.cfg.Logger.Warn().Err(err).Str("event", "listener_closed_hard").Str("listener", s.name).Msg("")
		}
	}
}
