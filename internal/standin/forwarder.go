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
	// OnFault, unless nil, is called when a fault begins (active) or ends. Faults without a duration end as
	// they begin. It is set before Run.
	OnFault func(active bool)

	target string

	mu     sync.Mutex
	pairs  map[*forwardedPair]bool
	faults LinkFaults
	freeAt [2]time.Time // by direction: when a link of limited rate has carried what it was given
}

// Directions of a link.
const (
	inbound = iota
	outbound
)

// LinkFaults are the faults of all connections of a forwarder. The zero value has
// none.
type LinkFaults struct {
	Delay        time.Duration // added in both directions
	DropInbound  bool          // drops bytes towards the target
	DropOutbound bool          // drops bytes from the target
	// BytesPerSecond is what all connections together carry in each direction; zero: without limit.
	BytesPerSecond int
}

// SetFaults replaces the faults of open and new connections.
func (f *Forwarder) SetFaults(faults LinkFaults) {
	f.noteFault(faults != LinkFaults{})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

func (f *Forwarder) noteFault(active bool) {
	if f.OnFault != nil {
		f.OnFault(active)
	}
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
		p.copy(upstream, downstream, func(n int) (time.Duration, bool) { return f.delay(inbound, n), f.currentFaults().DropInbound })
	})
	directions.Go(func() {
		p.copy(downstream, upstream, func(n int) (time.Duration, bool) { return f.delay(outbound, n), f.currentFaults().DropOutbound })
	})
	directions.Wait()
	f.mu.Lock()
	delete(f.pairs, p)
	f.mu.Unlock()
}

// delay returns how long bytes take in one direction, behind those that were given to the link before.
func (f *Forwarder) delay(direction, bytes int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.BytesPerSecond == 0 {
		return f.faults.Delay
	}
	now := time.Now()
	if f.freeAt[direction].Before(now) {
		f.freeAt[direction] = now
	}
	f.freeAt[direction] = f.freeAt[direction].Add(time.Duration(bytes) * time.Second / time.Duration(f.faults.BytesPerSecond))
	return f.faults.Delay + f.freeAt[direction].Sub(now)
}

// copy forwards one direction of a pair until either end closes. It drops what it
// reads while the pair is silent or the current faults say so.
func (p *forwardedPair) copy(to, from net.Conn, currentFaults func(bytes int) (delay time.Duration, drop bool)) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		discard := p.silent
		p.mu.Unlock()
		delay, drop := currentFaults(n)
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
	f.noteFault(f.currentFaults() != LinkFaults{})
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
	f.noteFault(f.currentFaults() != LinkFaults{})
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.pairs {
		_ = p.downstream.Close()
		_ = p.upstream.Close()
	}
	return len(f.pairs)
}
