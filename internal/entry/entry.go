// Package entry serves callers' requests: it admits each one by its
// customer's contract, sends it to an endpoint, and hands back the whole
// answer or a typed refusal.
package entry

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/xid"
	"github.com/rs/zerolog"

	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/link"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/relay"
	"github.com/egretmux/egretmux/internal/route"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Headers of callers' requests.
const (
	DeadlineHeader = "Egretmux-Deadline-Ms" // time left, in milliseconds
	ClassHeader    = "Egretmux-Class"
	KeyHeader      = "Idempotency-Key"
	CustomerHeader = "Egretmux-Customer" // set towards endpoints
)

// maxDeadline is the longest time a request may take.
const maxDeadline = 10 * time.Minute

// Config holds the parts and limits of an Entry.
type Config struct {
	Instance     string
	Lease        *relay.Lease
	Book         *contract.Book
	Routes       *route.Table
	Links        *link.Pool
	Attempts     Attempts
	MaxBodyBytes int64
	MaxInFlight  int
	BufferBytes  int64
	Logger       zerolog.Logger
}

// Entry is the handler of callers' requests.
type Entry struct {
	cfg      Config
	inFlight atomic.Int64
	bodies   atomic.Int64 // bytes of request bodies in memory
	closing  atomic.Bool  // callers are told to close their connections
	draining atomic.Bool
	active   sync.WaitGroup
	settling sync.WaitGroup // slots of requests that were given up
	drainMu  sync.Mutex
	quotas   sync.Map // of *atomic.Int64: requests in flight by customer
}

// New returns an Entry.
func New(cfg Config) *Entry { return &Entry{cfg: cfg} }

// call is one request on its way.
type call struct {
	id         string
	customer   *contract.Contract
	class      *contract.Class
	service    string
	path       string
	deadline   time.Time
	idempotent bool
	key        string
	body       []byte
	staleLink  atomic.Bool // the last attempt failed on a connection that had worked before
	sent       atomic.Bool // a byte of it may have reached an endpoint
}

// ServeHTTP handles /service/{name}/...
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := xid.New().String()
	w.Header().Set(link.RequestIDHeader, id)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) // of the connection's last request
	if e.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	if !e.enter() {
		e.refuse(w, id, refusal.New(refusal.Draining, "send it to another instance", "this instance is shutting down").After(time.Second))
		return
	}
	defer e.leave()
	began := time.Now()
	err := e.serve(w, r, id)
	telemetry.ObserveSeconds("request", time.Since(began))
	var cut *cutError
	switch {
	case errors.As(err, &cut):
		e.count(id, refusal.Of(err))
		panic(http.ErrAbortHandler) // ends the connection, so that the caller sees the cut
	case err != nil:
		e.refuse(w, id, err)
	}
}

// enter counts a request in, unless the instance is draining.
func (e *Entry) enter() bool {
	e.drainMu.Lock()
	defer e.drainMu.Unlock()
	if e.draining.Load() {
		return false
	}
	e.active.Add(1)
	e.inFlight.Add(1)
	return true
}

func (e *Entry) leave() {
	e.inFlight.Add(-1)
	e.active.Done()
}

// InFlight returns the number of requests being served.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }

// DisableKeepAlives tells callers with each answer to close their connections.
func (e *Entry) DisableKeepAlives() { e.closing.Store(true) }

// Drain refuses new requests and returns a channel that is closed when those
// in flight have ended and no endpoint works on one that was given up, so that
// the grants can be handed back.
func (e *Entry) Drain() <-chan struct{} {
	e.drainMu.Lock()
	e.closing.Store(true)
	e.draining.Store(true)
	e.drainMu.Unlock()
	done := make(chan struct{})
	go func() {
		e.active.Wait()
		e.settling.Wait()
		close(done)
	}()
	return done
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request, id string) error {
	if e.inFlight.Load() > int64(e.cfg.MaxInFlight) {
		return refusal.New(refusal.InFlightFull, "retry later or spread the load", "this instance has too many requests in flight").After(time.Second)
	}
	if !e.cfg.Lease.Valid() {
		return refusal.New(refusal.NoLease, "send it to another instance", "this instance does not hear from the leader").After(time.Second)
	}
	c, err := e.admit(r, id)
	if err != nil {
		return err
	}
	done, err := e.useQuota(c)
	if err != nil {
		return err
	}
	defer done()
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(c.deadline)
	_ = control.SetWriteDeadline(c.deadline.Add(writeGrace))
	if err := e.readBody(w, r, c); err != nil {
		return err
	}
	defer e.bodies.Add(-int64(len(c.body)))
	_ = control.SetReadDeadline(time.Time{})
	if !c.idempotent && c.key != "" {
		return e.serveOnce(w, r, c)
	}
	return e.forward(w, r, c)
}

// writeGrace is how long after a request's deadline its answer may be written.
const writeGrace = 5 * time.Second

// useQuota counts a request against its customer's quota of requests in flight.
func (e *Entry) useQuota(c *call) (done func(), err error) {
	v, ok := e.quotas.Load(c.customer.Customer)
	if !ok {
		v, _ = e.quotas.LoadOrStore(c.customer.Customer, new(atomic.Int64))
	}
	used := v.(*atomic.Int64)
	limit := c.customer.Quota.InFlight
	if n := used.Add(1); limit > 0 && n > int64(limit) {
		used.Add(-1)
		return nil, refusal.New(refusal.InFlightFull, "retry later, or raise in_flight in the contract", "customer %s has %d requests in flight here", c.customer.Customer, limit).After(time.Second)
	}
	return func() { used.Add(-1) }, nil
}

// admit checks the request against the customer's contract.
func (e *Entry) admit(r *http.Request, id string) (*call, error) {
	if r.Header.Get("Upgrade") != "" || r.Method == http.MethodConnect {
		return nil, refusal.New(refusal.Invalid, "send plain HTTP requests", "connections cannot be upgraded or tunnelled")
	}
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	customer := e.cfg.Book.ByCredential(token)
	if customer == nil {
		return nil, refusal.New(refusal.Unauthenticated, "send Authorization: Bearer with the credential of the contract", "the credential belongs to no contract")
	}
	c := &call{id: id, customer: customer, service: r.PathValue("name"), path: "/" + r.PathValue("rest"), key: r.Header.Get(KeyHeader)}
	if !customer.MayCall(c.service) {
		return nil, refusal.New(refusal.Forbidden, "add the service to the contract", "contract %s does not include service %s", customer.Customer, c.service)
	}
	c.class = customer.ClassOf(c.path)
	if name := r.Header.Get(ClassHeader); name != "" {
		if c.class = customer.Class(name); c.class == nil {
			return nil, refusal.New(refusal.Invalid, "name a class of the contract", "contract %s has no class %s", customer.Customer, name)
		}
	}
	c.idempotent = !c.class.AtMostOnce && idempotentMethod(r.Method)
	return c, e.setDeadline(r, c)
}

func idempotentMethod(m string) bool {
	switch m {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func (e *Entry) setDeadline(r *http.Request, c *call) error {
	limit := c.class.Deadline
	if h := r.Header.Get(DeadlineHeader); h != "" {
		ms, err := strconv.ParseInt(h, 10, 64)
		if err != nil || ms <= 0 {
			return refusal.New(refusal.Invalid, "send the time left as whole milliseconds", "%s: %q is no time", DeadlineHeader, h)
		}
		limit = time.Duration(ms) * time.Millisecond
	}
	if limit <= 0 || limit > maxDeadline {
		limit = maxDeadline
	}
	c.deadline = time.Now().Add(limit)
	return nil
}
