package daemon

import (
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/egretmux/egretmux/internal/relay"
	"github.com/egretmux/egretmux/internal/settings"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// idleWorkerConnection is how long a connection to a worker is kept without a
// command.
const idleWorkerConnection = time.Minute

// newCommander returns the client of workers: it shows them the instances'
// secret, and uses TLS if the settings name certificates to check them against.
func newCommander(s *settings.Settings, logger zerolog.Logger) (*relay.Commander, error) {
	config, err := workerTLS(s)
	if err != nil {
		return nil, err
	}
	scheme := "http"
	if config != nil {
		scheme = "https"
	}
	transport := &http.Transport{
		DialContext:         telemetry.CountDial((&net.Dialer{}).DialContext, "commands"),
		MaxIdleConnsPerHost: 2, IdleConnTimeout: idleWorkerConnection, TLSClientConfig: config,
	}
	client := &http.Client{Transport: &bearer{token: s.WorkerKey, next: transport}}
	return relay.NewCommander(client, scheme, logger), nil
}

// bearer adds a credential to each request.
type bearer struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (b *bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	if b.token != "" {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", "Bearer "+b.token)
	}
	return b.next.RoundTrip(r)
}

// serverLog passes the HTTP server's own messages on to the log.
func serverLog(logger zerolog.Logger, name string) *log.Logger {
	return log.New(&serverWriter{logger: logger, name: name}, "", 0)
}

type serverWriter struct {
	logger zerolog.Logger
	name   string
}

// Write implements io.Writer.
func (w *serverWriter) Write(line []byte) (int, error) {
	w.logger.Debug().Str("event", "connection_failed").Str("listener", w.name).Msg(strings.TrimSpace(string(line)))
	return len(line), nil
}
