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

// workerIdleTimeout bounds how long an unused connection to a worker stays open.
const workerIdleTimeout = time.Minute

// newCommander returns the client that sends commands to workers. It authenticates
// with the instances' secret, and uses TLS if the settings name a CA file.
func newCommander(s *settings.Settings, logger zerolog.Logger) (*relay.Commander, error) {
	tlsConfig, err := workerTLS(s)
	if err != nil {
		return nil, err
	}
	scheme := "http"
	if tlsConfig != nil {
		scheme = "https"
	}
	transport := &http.Transport{
		DialContext:         telemetry.CountDial((&net.Dialer{}).DialContext, "commands"),
		MaxIdleConnsPerHost: 2, IdleConnTimeout: workerIdleTimeout, TLSClientConfig: tlsConfig,
	}
	client := &http.Client{Transport: &bearerTransport{token: s.WorkerToken, next: transport}}
	return relay.NewCommander(client, scheme, logger), nil
}

// bearerTransport adds a bearer token to each request.
type bearerTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (b *bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if b.token != "" {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", "Bearer "+b.token)
	}
	return b.next.RoundTrip(r)
}

// newServerLog returns a logger that writes the HTTP server's own messages to the
// instance's log.
func newServerLog(logger zerolog.Logger, name string) *log.Logger {
	return log.New(&serverLogWriter{logger: logger, name: name}, "", 0)
}

type serverLogWriter struct {
	logger zerolog.Logger
	name   string
}

// Write implements io.Writer.
func (w *serverLogWriter) Write(line []byte) (int, error) {
	w.logger.Debug().Str("event", "connection_failed").Str("listener", w.name).Msg(strings.TrimSpace(string(line)))
	return len(line), nil
}
