// Package entry serves callers' requests: it admits each one under its
// customer's contract, forwards it to an endpoint, and returns the endpoint's
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
	DeadlineHeader = "Egretmux-Deadline-Ms" // remaining time in milliseconds
	ClassHeader    = "Egretmux-Class"
	KeyHeader      = "Idempotency-Key"
	CustomerHeader = "Egretmux-Customer" // only on requests to endpoints
)

// maxDeadline caps the time that a request may take.
const maxDeadline = 10 * time.Minute

// Config holds the dependencies and limits of an Entry.
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

// Entry is the HTTP handler of callers' requests.
type Entry struct {
	cfg                Config
	inFlight           atomic.Int64
	bodyBytes          atomic.Int64 // bytes of request bodies in memory
	keepAlivesDisabled atomic.Bool  // answers carry Connection: close
	draining           atomic.Bool
	active             sync.WaitGroup
	abandonedSlots     sync.WaitGroup // slots held until the endpoint stops work on an abandoned request
	drainMu            sync.Mutex
	inFlightByCustomer sync.Map // customer name to *atomic.Int64
}

// New returns an Entry.
func New(cfg Config) *Entry { return &Entry{cfg: cfg} }

// call is one request being served.
type call struct {
	id                 string
	customer           *contract.Contract
	class              *contract.Class
	service            string
	path               string
	deadline           time.Time
	idempotent         bool
	key                string
	body               []byte
	failedOnReusedLink atomic.Bool // the last attempt failed on a connection that had worked before
	mayHaveRun         atomic.Bool // an earlier attempt may have reached an endpoint
}

// ServeHTTP handles /service/{name}/...
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := xid.New().String()
	w.Header().Set(link.RequestIDHeader, id)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) // clears the deadline of the connection's previous request
	if e.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	if !e.startRequest() {
		e.refuse(w, id, refusal.New(refusal.Draining, "send it to another instance", "this instance is shutting down").WithRetryAfter(time.Second))
		return
	}
	defer e.finishRequest()
	start := time.Now()
	err := e.serve(w, r, id)
	telemetry.ObserveSeconds("request", time.Since(start))
	var cut *cutError
	switch {
	case errors.As(err, &cut):
		e.recordRefusal(id, refusal.Of(err))
		panic(http.ErrAbortHandler) // ends the connection, so that the caller sees the cut
	case err != nil:
		e.refuse(w, id, err)
	}
}

// startRequest counts a request as in flight. It reports false when the
// instance is draining.
func (e *Entry) startRequest() bool {
	e.drainMu.Lock()
	defer e.drainMu.Unlock()
	if e.draining.Load() {
		return false
	}
	e.active.Add(1)
	e.inFlight.Add(1)
	return true
}

func (e *Entry) finishRequest() {
	e.inFlight.Add(-1)
	e.active.Done()
}

// InFlight returns the number of requests being served.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }

// DisableKeepAlives makes each answer tell its caller to close the connection.
func (e *Entry) DisableKeepAlives() { e.keepAlivesDisabled.Store(true) }

// Drain refuses new requests. The returned channel is closed when no request is
// in flight and no endpoint works on an abandoned one, so that the grants can
// be returned to the leader.
func (e *Entry) Drain() <-chan struct{} {
	e.drainMu.Lock()
	e.keepAlivesDisabled.Store(true)
	e.draining.Store(true)
	e.drainMu.Unlock()
	done := make(chan struct{})
	go func() {
		e.active.Wait()
		e.abandonedSlots.Wait()
		close(done)
	}()
	return done
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request, id string) error {
	if e.inFlight.Load() > int64(e.cfg.MaxInFlight) {
		return refusal.New(refusal.InFlightFull, "retry later or spread the load", "this instance has too many requests in flight").WithRetryAfter(time.Second)
	}
	if !e.cfg.Lease.Valid() {
		return refusal.New(refusal.NoLease, "send it to another instance", "this instance does not hear from the leader").WithRetryAfter(time.Second)
	}
	c, err := e.admit(r, id)
	if err != nil {
		return err
	}
	releaseQuota, err := e.acquireQuota(c)
	if err != nil {
		return err
	}
	defer releaseQuota()
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(c.deadline)
	_ = controller.SetWriteDeadline(c.deadline.Add(writeGrace))
	if err := e.readBody(w, r, c); err != nil {
		return err
	}
	defer e.bodyBytes.Add(-int64(len(c.body)))
	_ = controller.SetReadDeadline(time.Time{})
	if !c.idempotent && c.key != "" {
		return e.serveAtMostOnce(w, r, c)
	}
	return e.forward(w, r, c)
}

// writeGrace is the time after a request's deadline in which its answer may
// still be written.
const writeGrace = 5 * time.Second

// acquireQuota counts a request against its customer's in-flight quota until
// release is called.
func (e *Entry) acquireQuota(c *call) (release func(), err error) {
	counter, ok := e.inFlightByCustomer.Load(c.customer.Customer)
	if !ok {
		counter, _ = e.inFlightByCustomer.LoadOrStore(c.customer.Customer, new(atomic.Int64))
	}
	inFlight := counter.(*atomic.Int64)
	limit := c.customer.Quota.InFlight
	if count := inFlight.Add(1); limit > 0 && count > int64(limit) {
		inFlight.Add(-1)
		return nil, refusal.New(refusal.InFlightFull, "retry later, or raise in_flight in the contract", "customer %s has %d requests in flight here", c.customer.Customer, limit).WithRetryAfter(time.Second)
	}
	return func() { inFlight.Add(-1) }, nil
}

// admit authenticates the request and checks it against the customer's contract.
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
	c.idempotent = !c.class.AtMostOnce && isIdempotentMethod(r.Method)
	return c, e.setDeadline(r, c)
}

func isIdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func (e *Entry) setDeadline(r *http.Request, c *call) error {
	limit := c.class.Deadline
	if header := r.Header.Get(DeadlineHeader); header != "" {
		ms, err := strconv.ParseInt(header, 10, 64)
		if err != nil || ms <= 0 {
			return refusal.New(refusal.Invalid, "send the time left as whole milliseconds", "%s: %q is not a positive whole number", DeadlineHeader, header)
		}
		limit = time.Duration(ms) * time.Millisecond
	}
	if limit <= 0 || limit > maxDeadline {
		limit = maxDeadline
	}
	c.deadline = time.Now().Add(limit)
	return nil
}
