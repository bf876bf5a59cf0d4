package standin

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// Forwarder is a TCP proxy with injected faults. Like a network device that has
// lost its connection table, it can silence open connections: they stay open but
// carry nothing more, while new ones work.
type Forwarder struct {
	target string

	mu     sync.Mutex
	pairs  map[*forwardedPair]bool
	faults LinkFaults
}

// LinkFaults are the faults of all connections of a forwarder. The zero value has
// none.
type LinkFaults struct {
	Delay        time.Duration // added in both directions
	DropInbound  bool          // drops bytes towards the target
	DropOutbound bool          // drops bytes from the target
}

// SetFaults replaces the faults of open and new connections.
func (f *Forwarder) SetFaults(faults LinkFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

func (f *Forwarder) currentFaults() LinkFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

type forwardedPair struct {
	downstream, upstream net.Conn
	mu                   sync.Mutex
	silent               bool
}

// NewForwarder returns a forwarder to the target address.
func NewForwarder(target string) *Forwarder {
	return &Forwarder{target: target, pairs: make(map[*forwardedPair]bool)}
}

// Run accepts connections at address until the context ends.
func (f *Forwarder) Run(ctx context.Context, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		downstream, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		go f.forward(downstream)
	}
}

func (f *Forwarder) forward(downstream net.Conn) {
	upstream, err := net.Dial("tcp", f.target)
	if err != nil {
		_ = downstream.Close()
		return
	}
	p := &forwardedPair{downstream: downstream, upstream: upstream}
	f.mu.Lock()
	f.pairs[p] = true
	f.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() {
		p.copy(upstream, downstream, func() (time.Duration, bool) { faults := f.currentFaults(); return faults.Delay, faults.DropInbound })
	})
	directions.Go(func() {
		p.copy(downstream, upstream, func() (time.Duration, bool) { faults := f.currentFaults(); return faults.Delay, faults.DropOutbound })
	})
	directions.Wait()
	f.mu.Lock()
	delete(f.pairs, p)
	f.mu.Unlock()
}

// copy forwards one direction of a pair until either end closes. It drops what it
// reads while the pair is silent or the current faults say so.
func (p *forwardedPair) copy(to, from net.Conn, currentFaults func() (delay time.Duration, drop bool)) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		discard := p.silent
		p.mu.Unlock()
		delay, drop := currentFaults()
		discard = discard || drop
		time.Sleep(delay)
		if n > 0 && !discard {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		if !discard {
			_ = to.Close()
		}
		if err != io.EOF {
			_ = from.Close()
		}
		return
	}
}

// Silence makes every open connection carry nothing more and returns their
// number.
func (f *Forwarder) Silence() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.pairs {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
	return len(f.pairs)
}

// Cut closes every open connection and returns their number.
func (f *Forwarder) Cut() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.pairs {
		_ = p.downstream.Close()
		_ = p.upstream.Close()
	}
	return len(f.pairs)
}
