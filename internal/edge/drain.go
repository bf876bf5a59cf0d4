package edge

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// acceptTime is how long a closing listener accepts the connections that are established already.
	acceptTime = 10 * time.Millisecond
	// firstRequestTime is how long a new connection may take until its first request, once its listener closes.
	firstRequestTime = time.Second
	// maxEnding is the number of connections beyond the limit that are open while others end.
	maxEnding = 16
	// lastReadTime bounds the last attempt to read from a connection or a listener that ends.
	lastReadTime = time.Millisecond
)

// Connections are the connections of one listener of an HTTP/1.1 server. Unlike http.Server.Shutdown,
// Drain answers every request that the server has begun to read: Shutdown closes connections whose
// request is being read, and drops the first request of a new connection. The server must end the
// connection of each answer that begins after Drain; CloseAfter does that.
type Connections struct {
	mu        sync.Mutex
	listener  net.Listener
	open      map[*connection]struct{}
	accepting bool
	closing   bool
	drained   chan struct{} // closed when nothing is open any more after Drain
	limit     int           // connections that are open at a time; zero: no limit
	makeRoom  func() bool
	pressure  *Pressure
}

// LimitOpen bounds the connections that are open at a time. Beyond the limit the one is closed that has been without
// a request for longest; if there is none, makeRoom is called, which ends a request that is being read and reports whether
// there was one. Otherwise the new connection is closed. It must be called before Listen.
func (c *Connections) LimitOpen(limit int, makeRoom func() bool, pressure *Pressure) {
	c.limit, c.makeRoom, c.pressure = limit, makeRoom, pressure
}

// NewConnections returns connections without a listener.
func NewConnections() *Connections {
	return &Connections{open: make(map[*connection]struct{}), drained: make(chan struct{})}
}

// Listen returns a listener whose connections are tracked. A server must use TrackState besides.
func (c *Connections) Listen(l net.Listener) net.Listener {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener, c.accepting = l, true
	return &trackedListener{Listener: l, connections: c}
}

// TrackState is the server's hook ConnState.
func (c *Connections) TrackState(conn net.Conn, state http.ConnState) {
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	tracked, ok := conn.(*connection)
	switch {
	case !ok:
	case state == http.StateActive: // the request may have arrived together with the one before
		tracked.noteRead()
	case state == http.StateIdle:
		tracked.becomeIdle()
	}
}

// Drain closes the listener and the connections without a request, and waits until the others have
// ended too. If the context ends before, it returns its error.
func (c *Connections) Drain(ctx context.Context) error {
	c.mu.Lock()
	if !c.closing {
		c.closing = true
		if c.accepting {
			setAcceptDeadline(c.listener, acceptTime)
		}
		for conn := range c.open {
			conn.end()
		}
		c.closeIfDrainedLocked()
	}
	c.mu.Unlock()
	select {
	case <-c.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// setAcceptDeadline lets a listener accept connections for some more time.
func setAcceptDeadline(l net.Listener, d time.Duration) {
	if limited, ok := l.(interface{ SetDeadline(time.Time) error }); ok && limited.SetDeadline(time.Now().Add(d)) == nil {
		return
	}
	_ = l.Close() // Accept returns its error
}

func (c *Connections) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// roomForOneMore reports whether one more connection may be open, and lets another one end if need be.
func (c *Connections) roomForOneMore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit == 0 || len(c.open) < c.limit {
		return true
	}
	if len(c.open) >= c.limit+maxEnding { // those that were told to end have not been closed yet
		c.pressure.note(pressedConnections)
		return false
	}
	var longest *connection
	since := time.Now()
	for conn := range c.open {
		if at, idle := conn.idleSince(); idle && at.Before(since) {
			longest, since = conn, at
		}
	}
	switch {
	case longest != nil:
		longest.endNow()
		c.pressure.note(pressedIdle)
	case c.makeRoom():
	default:
		c.pressure.note(pressedConnections)
		return false
	}
	return true
}

func (c *Connections) add(conn net.Conn) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	tracked := &connection{Conn: conn, connections: c, since: time.Now()}
	c.open[tracked] = struct{}{}
	if c.closing {
		tracked.end()
	}
	return tracked
}

func (c *Connections) remove(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
	c.closeIfDrainedLocked()
}

func (c *Connections) stopAccepting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepting = false
	c.closeIfDrainedLocked()
}

// closeIfDrainedLocked closes drained if nothing is open any more. The caller holds c.mu.
func (c *Connections) closeIfDrainedLocked() {
	if !c.closing || c.accepting || len(c.open) > 0 {
		return
	}
	select {
	case <-c.drained:
	default:
		close(c.drained)
	}
}

// trackedListener tracks the connections that it accepts.
type trackedListener struct {
	net.Listener
	connections *Connections
	ending      bool // the last attempt to accept has begun; used by Accept only
}

// Accept implements net.Listener. After Drain it returns http.ErrServerClosed, upon which the server
// closes the listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil && !l.connections.roomForOneMore() {
			_ = conn.Close()
			continue
		}
		if err == nil {
			return l.connections.add(conn), nil
		}
		if !l.connections.isClosing() {
			return nil, err
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && !l.ending {
			l.ending = true
			setAcceptDeadline(l.Listener, lastReadTime)
			continue
		}
		return nil, http.ErrServerClosed
	}
}

// Close implements net.Listener.
func (l *trackedListener) Close() error {
	defer l.connections.stopAccepting()
	return l.Listener.Close()
}

// connection is a connection that ends once no request is being read or answered. It is ended by its read
// deadline, so that only the goroutine that reads from it closes it: what was read is never dropped.
type connection struct {
	net.Conn
	connections *Connections

	mu       sync.Mutex
	reading  bool      // a byte of the request to come was read, or it is being answered
	answered bool      // at least one request was answered
	ending   bool      // it ends once it is not reading
	since    time.Time // when it became idle
	deadline time.Time // that the server has set for reads
}

// end ends the connection now if no request is being read or answered, or else once that is over.
func (c *connection) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	c.endIfIdleLocked()
}

// becomeIdle notes that a request was answered.
func (c *connection) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.answered, c.since = false, true, time.Now()
	c.endIfIdleLocked()
}

// idleSince returns since when the connection has had no request, and whether it has none and does not end yet.
func (c *connection) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, !c.reading && !c.ending
}

// endNow ends the connection unless a request has begun to arrive.
func (c *connection) endNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	if !c.reading {
		_ = c.Conn.SetReadDeadline(time.Now()) // fails only if the connection is closed
	}
}

// endIfIdleLocked lets the next read fail if no request arrives in time. The caller holds c.mu.
func (c *connection) endIfIdleLocked() {
	if !c.ending || c.reading {
		return
	}
	wait := firstRequestTime
	if c.answered {
		wait = 0
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(wait)) // fails only if the connection is closed
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.endsNow() {
		// The deadline may have passed while this goroutine got no processor time to read what had arrived.
		_ = c.Conn.SetReadDeadline(time.Now().Add(lastReadTime))
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.noteRead()
	}
	return n, err
}

// endsNow reports whether the connection ends as no request arrives.
func (c *connection) endsNow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending && !c.reading
}

// noteRead notes that a request is being read, which the server's own deadline limits.
func (c *connection) noteRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading {
		return
	}
	c.reading = true
	if c.ending {
		_ = c.Conn.SetReadDeadline(c.deadline) // fails only if the connection is closed
	}
}

// SetReadDeadline implements net.Conn. It has no effect while the connection ends.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	if c.ending && !c.reading {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// CloseWrite lets the server end a connection whose request it has not read to the end.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *connection) Close() error {
	defer c.connections.remove(c)
	return c.Conn.Close()
}
