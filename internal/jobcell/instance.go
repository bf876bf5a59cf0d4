package jobcell

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/egretmux/egretmux/internal/edge"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Limits of an instance's listeners and timing of its shutdown.
const (
	readHeaderTimeout    = 3 * time.Second
	bodyTimeout          = 30 * time.Second // for a client to send a request's body
	idleTimeout          = 15 * time.Second
	balancerNoticeTime   = 2500 * time.Millisecond // balancers need two checks a second apart to see that the instance is not ready
	handOverTimeout      = 500 * time.Millisecond  // for the replica to begin the hand-over
	listenerCloseTimeout = 1500 * time.Millisecond // time left for the last responses
	answerTimeout        = 300 * time.Millisecond  // part of listenerCloseTimeout for the answers to requests that the shutdown ends
	exitReserve          = 700 * time.Millisecond  // margin before the process is killed
	closeTimeout         = time.Second             // for the replica to stop and the data folder to close
	closeReserve         = 200 * time.Millisecond  // part of exitReserve for that, if nothing is left of the time before
	reloadPeriod         = 2 * time.Second
	listenRetryPeriod    = 200 * time.Millisecond
	maxHeaderBytes       = 16 << 10
	maxCellStreams       = 4096
)

// CallersListener is the name of the listener that load balancers send callers to.
const CallersListener = "callers"

// InstanceConfig holds the settings of an Instance.
type InstanceConfig struct {
	ShutdownTime time.Duration            // time between the stop signal and the kill
	BodyMemory   int64                    // bytes of memory for the bodies of requests; zero: no limit
	MaxOpen      map[string]int           // connections that listeners may have open at a time, by name; zero: no limit
	Reload       func() ([]string, error) // re-reads the settings and returns the seeds
	Signals      Signals                  // of this process; the zero value handles none
	Logger       zerolog.Logger
}

// Signals are the signals that an instance handles. They have a channel for each kind, as a channel
// that is full drops signals.
type Signals struct {
	stop   <-chan os.Signal
	reload <-chan os.Signal
}

// HandleSignals takes the signals of this process. From then on they do not end it, so it is called
// before anything else and never undone.
func HandleSignals() Signals {
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // of a log that nobody reads any more; failed writes are counted
	return Signals{stop: stop, reload: reload}
}

// Stop returns the channel of the stop signals, for what comes before an Instance runs.
func (s Signals) Stop() <-chan os.Signal { return s.stop }

// Instance is the server process around a Cell: it serves the listeners, reloads the
// settings and shuts down gracefully.
type Instance struct {
	cell     *Cell
	cfg      InstanceConfig
	bodies   *edge.BodyAccount // of all listeners
	pressure *edge.Pressure
	servers  []*server
	draining chan struct{}
	failed   chan error

	requestsCtx context.Context // of all requests but those of other instances
	endRequests context.CancelFunc
}

type server struct {
	name, address string
	http          *http.Server
	inFlight      *atomic.Int64     // requests
	connections   *edge.Connections // nil: not drained
	open          atomic.Bool       // the listener is open
}

// NewInstance returns an instance without listeners.
func NewInstance(c *Cell, cfg InstanceConfig) *Instance {
	i := &Instance{cell: c, cfg: cfg, draining: make(chan struct{}), failed: make(chan error, 8)}
	i.pressure = edge.NewPressure(func(reason string) {
		cfg.Logger.Warn().Str("event", "clients_turned_away").Str("reason", reason).Msg("clients press beyond the limits of this instance")
	})
	i.bodies = edge.NewBodyAccount(cfg.BodyMemory, i.pressure)
	i.requestsCtx, i.endRequests = context.WithCancel(context.Background())
	return i
}

// Listen adds an HTTP/1.1 listener, or none if the address is empty.
func (i *Instance) Listen(name, address string, h http.Handler) {
	if address == "" {
		return
	}
	inFlight := new(atomic.Int64)
	connections := edge.NewConnections()
	connections.LimitOpen(i.cfg.MaxOpen[name], i.bodies.EvictOldest, i.pressure)
	i.servers = append(i.servers, &server{name: name, address: address, inFlight: inFlight, connections: connections, http: &http.Server{
		Handler: edge.CountInFlight(inFlight, edge.CloseAfter(i.draining, edge.LimitBodyTime(bodyTimeout, i.bodies.Limit(h)))), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return i.requestsCtx }, ConnState: connections.TrackState,
	}})
}

// ListenCell adds the listener for calls from other instances.
func (i *Instance) ListenCell(address string, h http.Handler) {
	s := &server{name: "cell", address: address, http: &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}}
	s.http.Protocols = new(http.Protocols)
	s.http.Protocols.SetHTTP1(true)
	s.http.Protocols.SetUnencryptedHTTP2(true)
	s.http.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxCellStreams}
	i.servers = append(i.servers, s)
}

// ServeReady answers a load balancer's readiness check.
func (i *Instance) ServeReady(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-i.draining:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	default:
	}
	if !i.cell.Ready() || !i.servesCallers() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// servesCallers reports whether the listeners for callers are open.
func (i *Instance) servesCallers() bool {
	for _, s := range i.servers {
		if s.name == CallersListener && !s.open.Load() {
			return false
		}
	}
	return true
}

// ServeMetrics writes the counters and histograms.
func (i *Instance) ServeMetrics(w http.ResponseWriter, _ *http.Request) { telemetry.WriteMetrics(w) }

// Run serves until a stop signal, the end of the context or a failure.
func (i *Instance) Run(ctx context.Context) error {
	log := i.cfg.Logger
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for _, s := range i.servers {
		if err := i.open(ctx, s); err != nil {
			return err
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		i.cell.Run(ctx)
	}()
	log.Info().Str("event", "instance_started").Str("zone", i.cell.cfg.Zone).Bool("replica", i.cell.voter() != nil).Bool("founding", i.cell.cfg.Founding).Strs("seeds", i.cell.cfg.Seeds).Msg("instance started")
	err := i.waitForStop(ctx)
	deadline := time.Now().Add(max(listenerCloseTimeout, i.cfg.ShutdownTime-exitReserve))
	i.drain(deadline)
	stop()
	closed := make(chan error, 1)
	go func() {
		<-done
		closed <- i.cell.Close()
	}()
	select {
	case closeErr := <-closed:
		if closeErr != nil {
			log.Warn().Err(closeErr).Str("event", "data_folder_not_closed").Msg("could not close the data folder")
		}
	case <-time.After(min(closeTimeout, time.Until(deadline.Add(closeReserve)))):
		log.Warn().Str("event", "data_folder_not_closed").Msg("the replica stands still; ending without it, which is as safe as a crash")
	}
	log.Info().Err(err).Str("event", "instance_stopped").Msg("instance stopped")
	return err
}

// open opens a listener. While the system refuses that, as another process holds its address, it is
// tried again in the background until the context ends: the other listeners serve without it.
func (i *Instance) open(ctx context.Context, s *server) error {
	listener, err := net.Listen("tcp", s.address)
	if err == nil {
		i.serve(ctx, s, listener)
		return nil
	}
	return i.reopen(ctx, s, err)
}

// reopen opens a listener again that failed, or returns the failure if that does not help.
func (i *Instance) reopen(ctx context.Context, s *server, failure error) error {
	failure = errors.Wrapf(failure, "%s listener", s.name)
	if !isSystemError(failure) {
		return failure
	}
	i.cfg.Logger.Error().Err(failure).Str("event", "address_not_available").Str("listener", s.name).Str("address", s.address).Msg("cannot listen; trying again. Find the process that holds the address, or correct the settings")
	go i.openLater(ctx, s, time.Now())
	return nil
}

func (i *Instance) openLater(ctx context.Context, s *server, since time.Time) {
	ticker := time.NewTicker(listenRetryPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-i.draining:
			return
		case <-ticker.C:
		}
		telemetry.CountRetry("address-not-available")
		if listener, err := net.Listen("tcp", s.address); err == nil {
			i.cfg.Logger.Info().Str("event", "address_available").Str("listener", s.name).Str("address", s.address).Int64("age_ms", time.Since(since).Milliseconds()).Msg("listening now")
			i.serve(ctx, s, listener)
			return
		}
	}
}

func (i *Instance) serve(ctx context.Context, s *server, listener net.Listener) {
	if s.connections != nil {
		listener = s.connections.Listen(listener)
	}
	s.open.Store(true)
	go func() {
		err := s.http.Serve(listener)
		if err == nil || errors.Is(err, http.ErrServerClosed) {
			return
		}
		s.open.Store(false)
		if err := i.reopen(ctx, s, err); err != nil {
			i.failed <- err
		}
	}()
}

// isSystemError reports whether the operating system refused something that it may grant later.
func isSystemError(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number)
}

// waitForStop blocks until the instance has a reason to stop. Meanwhile the settings are
// re-read every reloadPeriod and at SIGHUP.
func (i *Instance) waitForStop(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	requests := make(chan struct{}, 1)
	go i.reloadLoop(ctx, requests)
	stopped := make(chan struct{})
	go i.signalLoop(requests, sync.OnceFunc(func() { close(stopped) }))
	select {
	case <-ctx.Done():
		return nil
	case err := <-i.failed:
		return err
	case err := <-i.cell.Failed():
		return err
	case <-stopped:
		return nil
	}
}

// signalLoop handles signals until the process ends. The first stop signal begins the shutdown;
// later signals change nothing in it, as requests are still in flight.
func (i *Instance) signalLoop(reloads chan<- struct{}, stop func()) {
	for {
		var received os.Signal
		select {
		case received = <-i.cfg.Signals.stop:
			stop()
		case received = <-i.cfg.Signals.reload:
			select {
			case reloads <- struct{}{}:
			default: // the reading that is about to begin sees the change
			}
		}
		i.cfg.Logger.Info().Str("event", "signal_received").Stringer("signal", received).Msg("received a signal")
	}
}

// reloadLoop re-reads the settings periodically and on request. It has a goroutine of its
// own, as a file that hangs must not delay a stop.
func (i *Instance) reloadLoop(ctx context.Context, requests <-chan struct{}) {
	ticker := time.NewTicker(reloadPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			i.reload("period")
		case <-requests:
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
		i.cfg.Logger.Warn().Err(err).Str("event", "settings_not_read").Str("reason", cause).Msg("could not read the settings; the previous ones stay in effect")
		return
	}
	if i.cell.directory.SetSeeds(seeds) || cause == "signal" {
		i.cfg.Logger.Info().Str("event", "settings_read").Str("reason", cause).Strs("seeds", seeds).Msg("settings read again")
	}
}

// drain fails the readiness check, transfers leadership, waits for load balancers
// to notice, and then closes the listeners once in-flight requests are answered, by the
// deadline at the latest. Requests that still wait shortly before it end without a
// result, so that they are answered too.
func (i *Instance) drain(deadline time.Time) {
	close(i.draining)
	i.cfg.Logger.Info().Str("event", "readiness_dropped").Msg("shutting down; readiness checks fail from now on")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer time.AfterFunc(time.Until(deadline.Add(-answerTimeout)), func() {
		i.endWaitingRequests()
		time.AfterFunc(answerTimeout, cancel) // from now on, as this process may have got no processor time
	}).Stop()
	noticed := time.After(min(balancerNoticeTime, max(0, i.cfg.ShutdownTime-exitReserve-listenerCloseTimeout)))
	i.handOver(ctx)
	<-noticed
	var closing sync.WaitGroup
	for _, s := range i.servers {
		if s.connections != nil { // the cell listener still carries the last calls to the leader
			closing.Go(func() { i.drainServer(ctx, s) })
		}
	}
	closing.Wait()
}

// drainServer closes a listener and waits until its requests are answered.
func (i *Instance) drainServer(ctx context.Context, s *server) {
	if err := s.connections.Drain(ctx); err != nil {
		cut := s.inFlight.Load()
		telemetry.Add(`requests_cut_total{listener="`+s.name+`"}`, int(cut))
		i.cfg.Logger.Warn().Err(err).Str("event", "listener_closed_hard").Str("listener", s.name).Int64("requests", cut).Msg("closed the listener with requests still in flight")
	}
}

// endWaitingRequests ends the contexts of the requests in flight.
func (i *Instance) endWaitingRequests() {
	for _, s := range i.servers {
		if s.connections == nil {
			continue
		}
		if waiting := s.inFlight.Load(); waiting > 0 {
			telemetry.Add(`requests_ended_total{listener="`+s.name+`"}`, int(waiting))
			i.cfg.Logger.Warn().Str("event", "requests_ended").Str("listener", s.name).Int64("requests", waiting).Msg("no time is left to wait for the results of requests")
		}
	}
	i.endRequests()
}

// handOver hands leadership over. A replica that stands still, as on a hanging disk, must
// not take the time that requests in flight need: the others elect a leader without it.
func (i *Instance) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := i.cell.HandOver(ctx); err != nil {
		i.cfg.Logger.Warn().Err(err).Str("event", "leadership_not_handed_over").Msg("the replica does not react; the others elect a leader when they miss it")
	}
}
