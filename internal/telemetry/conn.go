package telemetry

import (
	"context"
	"net"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// CountListener counts the bytes of each connection that it accepts as traffic
// of the given listener.
func CountListener(l net.Listener, name string) net.Listener {
	return &countedListener{Listener: l, in: bytesCounter(name, "in"), out: bytesCounter(name, "out")}
}

// CountDial wraps a dial function so that it counts the bytes of each
// connection as traffic of the given kind.
func CountDial(dial func(context.Context, string, string) (net.Conn, error), name string) func(context.Context, string, string) (net.Conn, error) {
	in, out := bytesCounter(name, "in"), bytesCounter(name, "out")
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, in: in, out: out}, nil
	}
}

func bytesCounter(name, direction string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`egretmux_traffic_bytes_total{kind="` + name + `",direction="` + direction + `"}`)
}

type countedListener struct {
	net.Listener
	in, out *metrics.Counter
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, in: l.in, out: l.out}, nil
}

type countedConn struct {
	net.Conn
	in, out *metrics.Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(n)
	return n, err
}

// CountMessages counts each request that a handler gets as a control message
// of the given kind.
func CountMessages(kind string, next http.Handler) http.Handler {
	name := messagesName(kind)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Count(name)
		next.ServeHTTP(w, r)
	})
}

// CountMessage counts a control message of the given kind.
func CountMessage(kind string) { Count(messagesName(kind)) }

func messagesName(kind string) string { return `messages_total{kind="` + kind + `"}` }
