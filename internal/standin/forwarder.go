package standin

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// Forwarder is a TCP path between two ends that can lose track of the
// connections that are open: they then stay open and carry nothing more, while
// new ones work.
type Forwarder struct {
	to string

	mu    sync.Mutex
	pairs map[*forwardedPair]bool
	path  LinkFaults
}

// LinkFaults is how a forwarder carries bytes.
type LinkFaults struct {
	Delay        time.Duration // of what passes either way
	DropInbound  bool          // what comes in is swallowed
	DropOutbound bool          // what goes back is swallowed
}

// SetFaults changes how open and new connections are carried.
func (f *Forwarder) SetFaults(p LinkFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.path = p
}

func (f *Forwarder) currentPath() LinkFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.path
}

type forwardedPair struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

// NewForwarder returns a forwarder to the given address.
func NewForwarder(to string) *Forwarder {
	return &Forwarder{to: to, pairs: make(map[*forwardedPair]bool)}
}

// Run accepts connections until the context ends.
func (f *Forwarder) Run(ctx context.Context, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		near, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		go f.forward(near)
	}
}

func (f *Forwarder) forward(near net.Conn) {
	far, err := net.Dial("tcp", f.to)
	if err != nil {
		_ = near.Close()
		return
	}
	p := &forwardedPair{near: near, far: far}
	f.mu.Lock()
	f.pairs[p] = true
	f.mu.Unlock()
	var ends sync.WaitGroup
	ends.Go(func() {
		p.copy(far, near, func() (time.Duration, bool) { path := f.currentPath(); return path.Delay, path.DropInbound })
	})
	ends.Go(func() {
		p.copy(near, far, func() (time.Duration, bool) { path := f.currentPath(); return path.Delay, path.DropOutbound })
	})
	ends.Wait()
	f.mu.Lock()
	delete(f.pairs, p)
	f.mu.Unlock()
}

// copy carries one direction. On a silent pair it swallows what comes.
func (p *forwardedPair) copy(to, from net.Conn, path func() (delay time.Duration, swallow bool)) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		silent := p.silent
		p.mu.Unlock()
		delay, swallow := path()
		silent = silent || swallow
		time.Sleep(delay)
		if n > 0 && !silent {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		if !silent {
			_ = to.Close()
		}
		if err != io.EOF {
			_ = from.Close()
		}
		return
	}
}

// Silence makes every open connection silent for good. It returns their number.
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

// Cut closes every open connection. It returns their number.
func (f *Forwarder) Cut() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.pairs {
		_ = p.near.Close()
		_ = p.far.Close()
	}
	return len(f.pairs)
}
