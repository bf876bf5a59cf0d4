package link

import (
	"context"
	"sync"
	"time"
)

// maxIdle is how long an unused link is kept.
const maxIdle = 20 * time.Second

// Pool holds the idle links to endpoints by address.
type Pool struct {
	progress time.Duration

	mu   sync.Mutex
	idle map[string][]*Link
}

// NewPool returns an empty pool whose links fail after the given time without progress.
func NewPool(progress time.Duration) *Pool {
	return &Pool{progress: progress, idle: make(map[string][]*Link)}
}

// Get returns an idle link or opens one.
func (p *Pool) Get(ctx context.Context, address string) (*Link, error) {
	for {
		l := p.pop(address)
		if l == nil {
			return Dial(ctx, address, p.progress)
		}
		if time.Since(l.lastUsed) < maxIdle && l.Usable() {
			return l, nil
		}
		l.Close()
	}
}

func (p *Pool) pop(address string) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	l := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return l
}

// Put gives a link back after an exchange.
func (p *Pool) Put(address string, l *Link) {
	if !l.Usable() {
		l.Close()
		return
	}
	l.lastUsed = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], l)
}

// Close closes all idle links.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, l := range list {
			l.Close()
		}
	}
	p.idle = make(map[string][]*Link)
}
