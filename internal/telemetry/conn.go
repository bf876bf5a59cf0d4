package telemetry

import (
	"context"
	"net"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// CountListener wraps a listener so that it counts the bytes of each accepted
// connection as traffic of the given kind.
func CountListener(l net.Listener, kind string) net.Listener {
	return &countingListener{Listener: l, in: bytesCounter(kind, "in"), out: bytesCounter(kind, "out")}
}

// CountDial wraps a dial function so that it counts the bytes of each
// connection as traffic of the given kind.
func CountDial(dial func(context.Context, string, string) (net.Conn, error), kind string) func(context.Context, string, string) (net.Conn, error) {
	in, out := bytesCounter(kind, "in"), bytesCounter(kind, "out")
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, in: in, out: out}, nil
	}
}

func bytesCounter(kind, direction string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`egretmux_traffic_bytes_total{kind="` + kind + `",direction="` + direction + `"}`)
}

type countingListener struct {
	net.Listener
	in, out *metrics.Counter
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, in: l.in, out: l.out}, nil
}

type countingConn struct {
	net.Conn
	in, out *metrics.Counter
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(n)
	return n, err
}

// CountMessages wraps a handler so that it counts each request as a control
// message of the given kind.
func CountMessages(kind string, next http.Handler) http.Handler {
	name := messagesMetric(kind)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Count(name)
		next.ServeHTTP(w, r)
	})
}

// CountMessage counts a control message of the given kind.
func CountMessage(kind string) { Count(messagesMetric(kind)) }

func messagesMetric(kind string) string { return `messages_total{kind="` + kind + `"}` }
