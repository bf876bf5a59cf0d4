package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/egretmux/egretmux/internal/certs"
	"github.com/egretmux/egretmux/internal/settings"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// listener is one open listening address with its server.
type listener struct {
	name   string
	socket net.Listener
	pair   *certs.Pair // nil without TLS
	server *http.Server
}

// listen opens all listeners before anything is served.
func (d *Daemon) listen(open ListenFunc) error {
	all := []struct {
		name string
		settings.Listener
	}{{"callers", d.settings.Callers}, {"control", d.settings.Control}, {"cell", d.settings.Cell}}
	for _, l := range all {
		opened := &listener{name: l.name}
		var err error
		if l.CertFile != "" {
			if opened.pair, err = certs.Load(l.CertFile, l.KeyFile, d.certificateRead(l.name)); err != nil {
				return errors.Wrapf(err, "[tls] %s_cert", l.name)
			}
		}
		if opened.socket, err = open("tcp", l.Address); err != nil {
			return errors.Wrapf(err, "[listen] %s: %s cannot be opened; stop the other process or choose another port", l.name, l.Address)
		}
		if l.name != "callers" {
			opened.socket = telemetry.CountListener(opened.socket, l.name)
		}
		d.listeners = append(d.listeners, opened)
	}
	return nil
}

func (d *Daemon) certificateRead(name string) func(error) {
	return func(err error) {
		if err != nil {
			d.logger.Warn().Err(err).Str("event", "certificate_not_read").Str("listener", name).Msg("the old one stays in use")
			return
		}
		d.logger.Info().Str("event", "certificate_read").Str("listener", name).Msg("")
	}
}

// ReadCertificates reads changed certificate files at once.
func (d *Daemon) ReadCertificates() {
	for _, l := range d.listeners {
		if l.pair != nil {
			l.pair.Reload()
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

// headerSlack is what the server reads of a header beyond the limit, so that
// the handler can refuse it by kind.
const headerSlack = 2

// maxStreams bounds the calls at a time on one HTTP/2 connection.
const maxStreams = 4096

func (d *Daemon) serve(name string, handler http.Handler, http2 bool) {
	l := d.listener(name)
	s := d.settings
	l.server = &http.Server{
		Handler: handler, MaxHeaderBytes: headerSlack * s.MaxHeaderBytes,
		ReadHeaderTimeout: s.HeaderTimeout, IdleTimeout: s.IdleTimeout, ErrorLog: serverLog(d.logger, name),
	}
	l.server.Protocols = new(http.Protocols)
	l.server.Protocols.SetHTTP1(true)
	if http2 {
		l.server.Protocols.SetUnencryptedHTTP2(true)
		l.server.Protocols.SetHTTP2(true)
		l.server.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxStreams}
	}
	go func() {
		if err := l.run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
			d.fail(errors.Wrapf(err, "listener %s failed", name))
		}
	}()
}

func (l *listener) run() error {
	if l.pair == nil {
		return l.server.Serve(l.socket)
	}
	l.server.TLSConfig = l.pair.Config()
	return l.server.ServeTLS(l.socket, "", "")
}

// closeListeners closes the sockets of an instance that never served.
func (d *Daemon) closeListeners() {
	for _, l := range d.listeners {
		_ = l.socket.Close()
	}
}

func (d *Daemon) closeServers(ctx context.Context) {
	for _, l := range d.listeners {
		if err := l.server.Shutdown(ctx); err != nil {
			d.logger.Debug().Err(err).Str("event", "listener_closed_hard").Str("listener", l.name).Msg("")
			_ = l.server.Close()
		}
	}
}

// workerTLS returns the TLS configuration towards workers, or nil without TLS.
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
