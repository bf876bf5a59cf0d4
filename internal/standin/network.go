package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Network joins callers of Dial with listeners in memory. Its connections can
// be cut after a number of bytes or go silent for good while new ones work.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	conns     map[*FaultyConn]bool
	peak      map[string]int
	next      []Faults
}

// Faults of one connection. Zero values do nothing.
type Faults struct {
	CutReadAfter  int // bytes, counted from 1; the connection breaks when this many were read
	CutWriteAfter int
	CutAtOnce     bool // the connection breaks before the first byte written
	StallAfter    int  // bytes read after which nothing more comes
}

// NewNetwork returns an empty network.
func NewNetwork() *Network {
	return &Network{listeners: make(map[string]*memoryListener), conns: make(map[*FaultyConn]bool), peak: make(map[string]int)}
}

// Listen returns a listener for an address.
func (n *Network) Listen(address string) net.Listener {
	l := &memoryListener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// Fail gives the next connections these faults, one each.
func (n *Network) Fail(faults ...Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.next = append(n.next, faults...)
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
	near, far := net.Pipe()
	select {
	case l.accepted <- far:
	case <-l.closed:
		return nil, errNoListener
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	quiet, other := net.Pipe()
	c := &FaultyConn{Conn: near, quiet: quiet, other: other, network: n, address: address}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.next) > 0 {
		c.faults, n.next = n.next[0], n.next[1:]
	}
	n.conns[c] = true
	n.peak[address] = max(n.peak[address], n.open(address))
	return c, nil
}

func (n *Network) open(address string) int {
	count := 0
	for c := range n.conns {
		if c.address == address {
			count++
		}
	}
	return count
}

// Peak returns the most connections that were open to an address at a time.
func (n *Network) Peak(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peak[address]
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

// FaultyConn is the dialling end of a connection.
type FaultyConn struct {
	net.Conn
	quiet, other net.Conn // nothing ever comes from quiet
	network      *Network
	address      string
	faults       Faults

	mu            sync.Mutex
	silent        bool
	read, written int
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
	return c.silent || c.faults.StallAfter > 0 && c.read >= c.faults.StallAfter
}

// Read implements net.Conn.
func (c *FaultyConn) Read(p []byte) (int, error) {
	if c.isSilent() {
		return c.quiet.Read(p)
	}
	for _, limit := range []int{c.faults.CutReadAfter, c.faults.StallAfter} {
		if limit > 0 {
			p = p[:min(len(p), limit-c.read)]
		}
	}
	if len(p) == 0 {
		_ = c.Close()
		return 0, errCut
	}
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		return c.quiet.Read(p)
	}
	c.mu.Lock()
	c.read += n
	c.mu.Unlock()
	return n, err
}

// Write implements net.Conn.
func (c *FaultyConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	whole := len(p)
	if limit := c.faults.CutWriteAfter; limit > 0 {
		p = p[:min(len(p), limit-c.written)]
	}
	if c.faults.CutAtOnce {
		p = nil
	}
	n := 0
	var err error
	if len(p) > 0 {
		n, err = c.Conn.Write(p)
	}
	c.written += n
	if err == nil && n < whole {
		_ = c.Close()
		err = errCut
	}
	return n, err
}

// SetDeadline implements net.Conn.
func (c *FaultyConn) SetDeadline(t time.Time) error {
	_ = c.quiet.SetDeadline(t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *FaultyConn) SetReadDeadline(t time.Time) error {
	_ = c.quiet.SetReadDeadline(t)
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn. The far end of a silent connection does not hear of it.
func (c *FaultyConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	_ = c.quiet.Close()
	_ = c.other.Close()
	return c.Conn.Close()
}

// memoryListener implements net.Listener.
type memoryListener struct {
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
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
