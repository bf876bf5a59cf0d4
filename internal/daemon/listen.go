package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/egretmux/egretmux/internal/certs"
	"github.com/egretmux/egretmux/internal/edge"
	"github.com/egretmux/egretmux/internal/settings"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// listener is one open listening address with its server.
type listener struct {
	name        string
	socket      net.Listener
	certificate *certs.Pair // nil without TLS
	server      *http.Server
	connections *edge.Connections // nil on listeners with HTTP/2, which tells its clients that it ends
}

// openListeners opens all listeners before anything is served.
func (d *Daemon) openListeners(listen ListenFunc) error {
	configured := []struct {
		name string
		settings.Listener
	}{{"callers", d.settings.Callers}, {"control", d.settings.Control}, {"cell", d.settings.Cell}}
	for _, l := range configured {
		opened := &listener{name: l.name}
		var err error
		if l.CertFile != "" {
			if opened.certificate, err = certs.Load(l.CertFile, l.KeyFile, d.certificateReloadLogger(l.name)); err != nil {
				return errors.Wrapf(err, "[tls] %s_cert", l.name)
			}
		}
		if opened.socket, err = listen("tcp", l.Address); err != nil {
			return errors.Wrapf(err, "[listen] %s: %s cannot be opened; stop the other process or choose another port", l.name, l.Address)
		}
		if l.name != "callers" {
			opened.socket = telemetry.CountListener(opened.socket, l.name)
		}
		d.listeners = append(d.listeners, opened)
	}
	return nil
}

// certificateReloadLogger returns the callback that logs each reload of a
// listener's certificate.
func (d *Daemon) certificateReloadLogger(name string) func(error) {
	return func(err error) {
		if err != nil {
			d.logger.Warn().Err(err).Str("event", "certificate_not_read").Str("listener", name).Msg("could not read the certificate; the previous one stays in use")
			return
		}
		d.logger.Info().Str("event", "certificate_read").Str("listener", name).Msg("read a changed certificate")
	}
}

// ReloadCertificates loads the certificates whose files have changed.
func (d *Daemon) ReloadCertificates() {
	for _, l := range d.listeners {
		if l.certificate != nil {
			l.certificate.Reload()
		}
	}
}

func (d *Daemon) listener(name string) *listener {
	for _, l := range d.listeners {
		if l.name == name {
			return l
		}
	}
	return nil
}

// headerReadFactor times the header limit bounds what the HTTP server reads, so that
// the handler can refuse an oversized header with a refusal kind.
const headerReadFactor = 2

// maxStreams bounds the concurrent calls on one HTTP/2 connection.
const maxStreams = 4096

func (d *Daemon) startServer(name string, handler http.Handler, http2 bool) {
	l := d.listener(name)
	s := d.settings
	l.server = &http.Server{
		Handler: handler, MaxHeaderBytes: headerReadFactor * s.MaxHeaderBytes,
		ReadHeaderTimeout: s.HeaderTimeout, IdleTimeout: s.IdleTimeout, ErrorLog: newServerLog(d.logger, name),
	}
	l.server.Protocols = new(http.Protocols)
	l.server.Protocols.SetHTTP1(true)
	if http2 {
		l.server.Protocols.SetUnencryptedHTTP2(true)
		l.server.Protocols.SetHTTP2(true)
		l.server.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxStreams}
	} else {
		l.connections = edge.NewConnections()
		l.server.ConnState = l.connections.TrackState
		l.socket = l.connections.Listen(l.socket)
	}
	go func() {
		if err := l.serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
			d.fail(errors.Wrapf(err, "listener %s failed", name))
		}
	}()
}

func (l *listener) serve() error {
	if l.certificate == nil {
		return l.server.Serve(l.socket)
	}
	l.server.TLSConfig = l.certificate.Config()
	return l.server.ServeTLS(l.socket, "", "")
}

// closeListeners closes the sockets of an instance that could not be built.
func (d *Daemon) closeListeners() {
	for _, l := range d.listeners {
		_ = l.socket.Close()
	}
}

func (d *Daemon) closeServers(ctx context.Context) {
	for _, l := range d.listeners {
		if l.connections != nil {
			_ = l.connections.Drain(ctx) // Shutdown fails too if the time is over
		}
		if err := l.server.Shutdown(ctx); err != nil {
			d.logger.Debug().Err(err).Str("event", "listener_closed_hard").Str("listener", l.name).Msg("graceful close of the listener failed; closing its connections")
			_ = l.server.Close()
		}
	}
}

// workerTLS returns the TLS configuration of calls to workers, or nil without TLS.
func workerTLS(s *settings.Settings) (*tls.Config, error) {
	if s.WorkerCA == "" {
		return nil, nil
	}
	pool, err := certs.Pool(s.WorkerCA)
	if err != nil {
		return nil, errors.Wrap(err, "[tls] worker_ca")
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}, nil
}
