package link

import (
	"context"
	"sync"
	"time"

	"github.com/egretmux/egretmux/internal/periodic"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Times of idle links.
const (
	maxIdle     = 20 * time.Second       // an unused link is closed
	probeIdle   = 2 * time.Second        // without an answer: the link is probed
	probeEvery  = 500 * time.Millisecond // between two rounds of probes
	verifyAfter = 250 * time.Millisecond // a link without an answer for longer is probed before a request that must not run twice
	lingerTime  = 5 * time.Second        // the far end may keep a link that went silent
	probesAtOne = 16                     // probes at a time
)

// Dialer opens a link to an address.
type Dialer func(ctx context.Context, address string) (*Link, error)

// Pool holds the links to endpoints by address, each address under its own
// lock and limit.
type Pool struct {
	dial Dialer

	mu        sync.RWMutex
	addresses map[string]*address
}

// address is the set of links to one endpoint.
type address struct {
	name string

	mu        sync.Mutex
	limit     int32
	open      int32 // idle, in use and being dialled
	inUse     int32 // requests that have or get a link
	idle      []*Link
	linger    []time.Time // until when links given up still count
	forgotten bool
	suspect   time.Time // links without an answer since then are probed before use
}

// NewPool returns an empty pool.
func NewPool(dial Dialer) *Pool {
	return &Pool{dial: dial, addresses: make(map[string]*address)}
}

func (p *Pool) at(name string) *address {
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

// locked returns the address with its lock held.
func (p *Pool) locked(name string) *address {
	for {
		a := p.at(name)
		a.mu.Lock()
		if !a.forgotten {
			return a
		}
		a.mu.Unlock()
	}
}

// Limit implements route.Links.
func (p *Pool) Limit(name string, limit int32) {
	a := p.locked(name)
	defer a.mu.Unlock()
	a.limit = limit
	for a.open > limit && len(a.idle) > 0 {
		a.drop(0)
	}
}

// OpenCount implements route.Links.
func (p *Pool) OpenCount(name string) int32 {
	a := p.locked(name)
	defer a.mu.Unlock()
	return a.count(time.Now())
}

// count returns the links that are or may still be open.
func (a *address) count(now time.Time) int32 {
	for len(a.linger) > 0 && now.After(a.linger[0]) {
		a.linger = a.linger[1:]
	}
	return a.open + int32(len(a.linger))
}

// drop closes an idle link.
func (a *address) drop(i int) {
	a.idle[i].Close()
	a.idle = append(a.idle[:i], a.idle[i+1:]...)
	a.open--
}

// Get returns a link for one exchange. The caller must hold a slot of the
// endpoint and give the link back by Put. A verified link has answered lately.
func (p *Pool) Get(ctx context.Context, name string, verified bool) (*Link, error) {
	a := p.locked(name)
	a.inUse++
	a.mu.Unlock()
	l, err := p.take(ctx, a, verified)
	if err != nil {
		a.release()
	}
	return l, err
}

func (p *Pool) take(ctx context.Context, a *address, verified bool) (*Link, error) {
	for {
		l, dial, err := a.next()
		if err != nil {
			return nil, err
		}
		if dial {
			return p.open(ctx, a)
		}
		if a.answers(ctx, l, verified) {
			return l, nil
		}
		a.giveUp(l, "probe")
	}
}

// next returns an idle link, or tells to dial. Links under suspicion are used
// only when no other may be opened.
func (a *address) next() (l *Link, dial bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	room := a.count(now) < max(a.limit, a.inUse)
	for i := len(a.idle) - 1; i >= 0; i-- {
		l := a.idle[i]
		if room && l.lastOK.Before(a.suspect) {
			continue
		}
		a.idle = append(a.idle[:i], a.idle[i+1:]...)
		return l, false, nil
	}
	if room {
		a.open++
		return nil, true, nil
	}
	return nil, false, refusal.New(refusal.LinkSilent, "retry later", "all connections allowed to endpoint %s are taken by ones that went silent", a.name).After(time.Second)
}

// answers reports whether an idle link can be trusted with a request.
func (a *address) answers(ctx context.Context, l *Link, verified bool) bool {
	if !l.Usable() || closedByPeer(l.conn.Conn) {
		return false
	}
	a.mu.Lock()
	suspect := l.lastOK.Before(a.suspect)
	a.mu.Unlock()
	if !suspect && !(verified && time.Since(l.lastOK) > verifyAfter) {
		return true
	}
	_, err := l.Probe(ctx, a.name, "")
	return err == nil && l.Usable()
}

func (p *Pool) open(ctx context.Context, a *address) (*Link, error) {
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

// Put gives a link back after an exchange.
func (p *Pool) Put(name string, l *Link) {
	a := p.at(name)
	a.release()
	a.back(l)
}

// back returns a link to the idle ones if it can be used again and its place
// is still granted.
func (a *address) back(l *Link) {
	if !l.Usable() {
		a.giveUp(l, "exchange")
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

// giveUp closes a link. One that went silent counts for a while longer,
// because the far end may not hear of it, and puts the others under suspicion.
func (a *address) giveUp(l *Link, during string) {
	l.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open--
	if !l.silent {
		return
	}
	telemetry.Count(`links_silent_total{during="` + during + `"}`)
	now := time.Now()
	a.linger = append(a.linger, now.Add(lingerTime))
	a.suspect = now
}

// Run probes idle links until the context ends.
func (p *Pool) Run(ctx context.Context) {
	periodic.Run(ctx, probeEvery, func(time.Time) { p.probeAll(ctx) })
}

// probeAll probes the idle links that are due and closes those unused for long.
func (p *Pool) probeAll(ctx context.Context) {
	p.mu.RLock()
	all := make([]*address, 0, len(p.addresses))
	for _, a := range p.addresses {
		all = append(all, a)
	}
	p.mu.RUnlock()
	var probes sync.WaitGroup
	slots := make(chan struct{}, probesAtOne)
	for _, a := range all {
		for _, l := range a.due(time.Now()) {
			slots <- struct{}{}
			probes.Go(func() {
				defer func() { <-slots }()
				a.probe(ctx, l)
			})
		}
	}
	probes.Wait()
	p.forget()
}

// forget drops addresses without any links that have no limit left.
func (p *Pool) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for name, a := range p.addresses {
		a.mu.Lock()
		if a.limit == 0 && a.inUse == 0 && a.count(now) == 0 {
			a.forgotten = true
			delete(p.addresses, name)
		}
		a.mu.Unlock()
	}
}

// due takes the links to probe out of the idle ones.
func (a *address) due(now time.Time) []*Link {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*Link
	kept := a.idle[:0]
	for _, l := range a.idle {
		switch {
		case now.Sub(l.used) > maxIdle || closedByPeer(l.conn.Conn):
			l.Close()
			a.open--
		case now.Sub(l.lastOK) > probeIdle || l.lastOK.Before(a.suspect):
			out = append(out, l)
		default:
			kept = append(kept, l)
		}
	}
	a.idle = kept
	return out
}

func (a *address) probe(ctx context.Context, l *Link) {
	telemetry.Count("link_probes_total")
	if _, err := l.Probe(ctx, a.name, ""); err != nil {
		a.giveUp(l, "probe")
		return
	}
	a.back(l)
}

// Query asks an endpoint on another link whether it still works on a request.
// The caller must hold a slot of the endpoint.
func (p *Pool) Query(ctx context.Context, name, request string) (Running, error) {
	a := p.at(name)
	l, err := p.take(ctx, a, false)
	if err != nil {
		return RunningUnknown, err
	}
	state, err := l.Probe(ctx, name, request)
	a.back(l)
	return state, err
}

// Close closes all idle links.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.addresses {
		a.mu.Lock()
		for len(a.idle) > 0 {
			a.drop(0)
		}
		a.mu.Unlock()
	}
}
