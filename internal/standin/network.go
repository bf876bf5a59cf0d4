package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Network connects Dial with listeners in memory. Its connections can be cut
// after a number of bytes, or go silent for good while new ones work.
type Network struct {
	mu         sync.Mutex
	listeners  map[string]*memoryListener
	conns      map[*FaultyConn]bool
	peakConns  map[string]int
	nextFaults []Faults
}

// Faults are the faults of one connection. The zero value has none.
type Faults struct {
	CutReadAfter  int  // bytes read after which the connection breaks
	CutWriteAfter int  // bytes written after which the connection breaks
	CutAtOnce     bool // the connection breaks before its first byte is written
	StallAfter    int  // bytes read after which the connection goes silent
}

// NewNetwork returns an empty network.
func NewNetwork() *Network {
	return &Network{listeners: make(map[string]*memoryListener), conns: make(map[*FaultyConn]bool), peakConns: make(map[string]int)}
}

// Listen returns a listener for an address.
func (n *Network) Listen(address string) net.Listener {
	l := &memoryListener{address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// Fail injects one of the faults into each of the next connections, in order.
func (n *Network) Fail(faults ...Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nextFaults = append(n.nextFaults, faults...)
}

var errNoListener = errors.New("connection refused")

// Dial opens a connection to a listener.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errNoListener
	}
	dialled, accepted := net.Pipe()
	select {
	case l.incoming <- accepted:
	case <-l.closed:
		return nil, errNoListener
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	idle, idlePeer := net.Pipe()
	c := &FaultyConn{Conn: dialled, idle: idle, idlePeer: idlePeer, network: n, address: address}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.nextFaults) > 0 {
		c.faults, n.nextFaults = n.nextFaults[0], n.nextFaults[1:]
	}
	n.conns[c] = true
	n.peakConns[address] = max(n.peakConns[address], n.countOpen(address))
	return c, nil
}

func (n *Network) countOpen(address string) int {
	count := 0
	for c := range n.conns {
		if c.address == address {
			count++
		}
	}
	return count
}

// Peak returns the largest number of concurrent connections to an address so far.
func (n *Network) Peak(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peakConns[address]
}

// Silence makes the open connections to an address go silent for good.
func (n *Network) Silence(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.address == address {
			c.silence()
		}
	}
}

// FaultyConn is the dialling end of a connection, with injected faults.
type FaultyConn struct {
	net.Conn
	idle, idlePeer net.Conn // a pipe that carries nothing: reads of a silent connection block on idle
	network        *Network
	address        string
	faults         Faults

	mu                      sync.Mutex
	silent                  bool
	bytesRead, bytesWritten int
}

var errCut = errors.New("connection reset by peer")

func (c *FaultyConn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *FaultyConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent || c.faults.StallAfter > 0 && c.bytesRead >= c.faults.StallAfter
}

// Read implements net.Conn.
func (c *FaultyConn) Read(p []byte) (int, error) {
	if c.isSilent() {
		return c.idle.Read(p)
	}
	for _, limit := range []int{c.faults.CutReadAfter, c.faults.StallAfter} {
		if limit > 0 {
			p = p[:min(len(p), limit-c.bytesRead)]
		}
	}
	if len(p) == 0 {
		_ = c.Close()
		return 0, errCut
	}
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		return c.idle.Read(p)
	}
	c.mu.Lock()
	c.bytesRead += n
	c.mu.Unlock()
	return n, err
}

// Write implements net.Conn.
func (c *FaultyConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	requested := len(p)
	if limit := c.faults.CutWriteAfter; limit > 0 {
		p = p[:min(len(p), limit-c.bytesWritten)]
	}
	if c.faults.CutAtOnce {
		p = nil
	}
	n := 0
	var err error
	if len(p) > 0 {
		n, err = c.Conn.Write(p)
	}
	c.bytesWritten += n
	if err == nil && n < requested {
		_ = c.Close()
		err = errCut
	}
	return n, err
}

// SetDeadline implements net.Conn.
func (c *FaultyConn) SetDeadline(t time.Time) error {
	_ = c.idle.SetDeadline(t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *FaultyConn) SetReadDeadline(t time.Time) error {
	_ = c.idle.SetReadDeadline(t)
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *FaultyConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	_ = c.idle.Close()
	_ = c.idlePeer.Close()
	return c.Conn.Close()
}

// memoryListener implements net.Listener.
type memoryListener struct {
	address  string
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.address) }

type memoryAddr string

// Network implements net.Addr.
func (memoryAddr) Network() string { return "memory" }

// String implements net.Addr.
func (a memoryAddr) String() string { return string(a) }
