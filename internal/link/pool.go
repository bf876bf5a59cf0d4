package link

import (
	"context"
	"sync"
	"time"

	"github.com/egretmux/egretmux/internal/periodic"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Limits of idle links.
const (
	maxIdle             = 20 * time.Second       // a link unused for longer is closed
	probeIdle           = 2 * time.Second        // a link without an answer for longer is probed
	probeInterval       = 500 * time.Millisecond // interval between rounds of probes
	verifyIdle          = 250 * time.Millisecond // a link without an answer for longer is probed before a request that must not run twice
	silentLinger        = 5 * time.Second        // the peer may keep a silent link open for this long
	maxConcurrentProbes = 16
)

// Dialer opens a link to an address.
type Dialer func(ctx context.Context, address string) (*Link, error)

// Pool holds the links to endpoints by address. Each address has its own lock
// and limit.
type Pool struct {
	dial Dialer

	mu        sync.RWMutex
	addresses map[string]*address
}

// address is the set of links to one endpoint.
type address struct {
	name string

	mu            sync.Mutex
	limit         int32
	open          int32 // links idle, in use and being dialled
	inUse         int32 // requests that have a link or wait for one
	idle          []*Link
	lingerUntil   []time.Time // when discarded silent links stop counting as open
	removed       bool        // no longer in the pool
	suspectBefore time.Time   // links whose last answer is older are probed before use
}

// NewPool returns an empty pool.
func NewPool(dial Dialer) *Pool {
	return &Pool{dial: dial, addresses: make(map[string]*address)}
}

// addressFor returns the address, which it adds if necessary.
func (p *Pool) addressFor(name string) *address {
	p.mu.RLock()
	a := p.addresses[name]
	p.mu.RUnlock()
	if a != nil {
		return a
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if a = p.addresses[name]; a == nil {
		a = &address{name: name}
		p.addresses[name] = a
	}
	return a
}

// lockAddress returns the address with its lock held. It retries if the address
// was removed meanwhile.
func (p *Pool) lockAddress(name string) *address {
	for {
		a := p.addressFor(name)
		a.mu.Lock()
		if !a.removed {
			return a
		}
		a.mu.Unlock()
	}
}

// SetLimit implements route.Links.
func (p *Pool) SetLimit(name string, limit int32) {
	a := p.lockAddress(name)
	defer a.mu.Unlock()
	a.limit = limit
	for a.open > limit && len(a.idle) > 0 {
		a.closeIdle(0)
	}
}

// OpenCount implements route.Links.
func (p *Pool) OpenCount(name string) int32 {
	a := p.lockAddress(name)
	defer a.mu.Unlock()
	return a.countOpen(time.Now())
}

// countOpen returns the number of links that are or may still be open.
func (a *address) countOpen(now time.Time) int32 {
	for len(a.lingerUntil) > 0 && now.After(a.lingerUntil[0]) {
		a.lingerUntil = a.lingerUntil[1:]
	}
	return a.open + int32(len(a.lingerUntil))
}

// closeIdle closes the idle link at index i.
func (a *address) closeIdle(i int) {
	a.idle[i].Close()
	a.idle = append(a.idle[:i], a.idle[i+1:]...)
	a.open--
}

// Get returns a link for one exchange. The caller must hold a slot of the
// endpoint and return the link by Put. With mustBeRecent, the link has answered
// within verifyIdle or was just dialled.
func (p *Pool) Get(ctx context.Context, name string, mustBeRecent bool) (*Link, error) {
	a := p.lockAddress(name)
	a.inUse++
	a.mu.Unlock()
	l, err := p.acquire(ctx, a, mustBeRecent)
	if err != nil {
		a.release()
	}
	return l, err
}

// acquire returns an idle link that is still alive, or opens one.
func (p *Pool) acquire(ctx context.Context, a *address, mustBeRecent bool) (*Link, error) {
	for {
		l, dial, err := a.nextIdle()
		if err != nil {
			return nil, err
		}
		if dial {
			return p.openLink(ctx, a)
		}
		if a.verify(ctx, l, mustBeRecent) {
			return l, nil
		}
		a.discard(l, "probe")
	}
}

// nextIdle removes and returns an idle link, or returns dial to let the caller
// open one. Suspect links are used only when no other may be opened.
func (a *address) nextIdle() (l *Link, dial bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	mayOpen := a.countOpen(now) < max(a.limit, a.inUse)
	for i := len(a.idle) - 1; i >= 0; i-- {
		l := a.idle[i]
		if mayOpen && l.lastAnswer.Before(a.suspectBefore) {
			continue
		}
		a.idle = append(a.idle[:i], a.idle[i+1:]...)
		return l, false, nil
	}
	if mayOpen {
		a.open++
		return nil, true, nil
	}
	return nil, false, refusal.New(refusal.LinkSilent, "retry later", "all connections allowed to endpoint %s are taken by ones that went silent", a.name).WithRetryAfter(time.Second)
}

// verify reports whether an idle link can be used for a request. It probes the
// link if that is suspect or must have answered recently.
func (a *address) verify(ctx context.Context, l *Link, mustBeRecent bool) bool {
	if !l.Usable() || closedByPeer(l.conn.Conn) {
		return false
	}
	a.mu.Lock()
	suspect := l.lastAnswer.Before(a.suspectBefore)
	a.mu.Unlock()
	if !suspect && !(mustBeRecent && time.Since(l.lastAnswer) > verifyIdle) {
		return true
	}
	_, err := l.Probe(ctx, a.name, "")
	return err == nil && l.Usable()
}

func (p *Pool) openLink(ctx context.Context, a *address) (*Link, error) {
	l, err := p.dial(ctx, a.name)
	if err != nil {
		a.mu.Lock()
		a.open--
		a.mu.Unlock()
		telemetry.Count("link_dials_failed_total")
		return nil, err
	}
	telemetry.Count("links_opened_total")
	return l, nil
}

func (a *address) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inUse--
}

// Put returns a link to the pool after an exchange.
func (p *Pool) Put(name string, l *Link) {
	a := p.addressFor(name)
	a.release()
	a.returnIdle(l)
}

// returnIdle adds a link to the idle ones if it can be used again and the limit
// still allows it. Otherwise it closes the link.
func (a *address) returnIdle(l *Link) {
	if !l.Usable() {
		a.discard(l, "exchange")
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open > max(a.limit, a.inUse) {
		l.Close()
		a.open--
		return
	}
	a.idle = append(a.idle, l)
}

// discard closes a link. A silent link counts as open for silentLinger, because
// the peer may not notice the close, and makes the other links suspect.
func (a *address) discard(l *Link, during string) {
	l.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open--
	if !l.silent {
		return
	}
	telemetry.Count(`links_silent_total{during="` + during + `"}`)
	now := time.Now()
	a.lingerUntil = append(a.lingerUntil, now.Add(silentLinger))
	a.suspectBefore = now
}

// Run probes idle links until the context ends.
func (p *Pool) Run(ctx context.Context) {
	periodic.Run(ctx, probeInterval, func(time.Time) { p.probeAll(ctx) })
}

// probeAll probes the idle links that are due, closes those unused for maxIdle and
// removes unused addresses.
func (p *Pool) probeAll(ctx context.Context) {
	p.mu.RLock()
	addresses := make([]*address, 0, len(p.addresses))
	for _, a := range p.addresses {
		addresses = append(addresses, a)
	}
	p.mu.RUnlock()
	var probes sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentProbes)
	for _, a := range addresses {
		for _, l := range a.takeDueForProbe(time.Now()) {
			slots <- struct{}{}
			probes.Go(func() {
				defer func() { <-slots }()
				a.probe(ctx, l)
			})
		}
	}
	probes.Wait()
	p.removeUnused()
}

// removeUnused removes addresses that have no links and a limit of zero.
func (p *Pool) removeUnused() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for name, a := range p.addresses {
		a.mu.Lock()
		if a.limit == 0 && a.inUse == 0 && a.countOpen(now) == 0 {
			a.removed = true
			delete(p.addresses, name)
		}
		a.mu.Unlock()
	}
}

// takeDueForProbe removes and returns the idle links that are due for a probe. It
// closes those unused for maxIdle and those that the peer closed.
func (a *address) takeDueForProbe(now time.Time) []*Link {
	a.mu.Lock()
	defer a.mu.Unlock()
	var due []*Link
	kept := a.idle[:0]
	for _, l := range a.idle {
		switch {
		case now.Sub(l.lastUsed) > maxIdle || closedByPeer(l.conn.Conn):
			l.Close()
			a.open--
		case now.Sub(l.lastAnswer) > probeIdle || l.lastAnswer.Before(a.suspectBefore):
			due = append(due, l)
		default:
			kept = append(kept, l)
		}
	}
	a.idle = kept
	return due
}

// probe probes a link taken from the idle ones and returns or discards it.
func (a *address) probe(ctx context.Context, l *Link) {
	telemetry.Count("link_probes_total")
	if _, err := l.Probe(ctx, a.name, ""); err != nil {
		a.discard(l, "probe")
		return
	}
	a.returnIdle(l)
}

// Query asks an endpoint, on a link of its own, whether it still works on a
// request. The caller must hold a slot of the endpoint.
func (p *Pool) Query(ctx context.Context, name, request string) (Running, error) {
	a := p.addressFor(name)
	l, err := p.acquire(ctx, a, false)
	if err != nil {
		return RunningUnknown, err
	}
	state, err := l.Probe(ctx, name, request)
	a.returnIdle(l)
	return state, err
}

// Close closes all idle links.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.addresses {
		a.mu.Lock()
		for len(a.idle) > 0 {
			a.closeIdle(0)
		}
		a.mu.Unlock()
	}
}
