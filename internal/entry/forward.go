package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/link"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/route"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// maxAttempts bounds how often one request is tried.
const maxAttempts = 3

// forward sends the request to an endpoint. It tries another one only when the
// request certainly did not run, or may run twice, and the retry budget allows.
func (e *Entry) forward(w http.ResponseWriter, r *http.Request, c *call) error {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	request := route.Request{
		Service: c.service, Customer: c.customer.Customer, Weight: c.customer.Share,
		Class: c.class.Name, ClassQueue: c.class.Queue, AtOnce: c.class.Answer == contract.AtOnce,
		Repeatable: c.idempotent, Deadline: c.deadline,
	}
	for attempt := 1; ; attempt++ {
		slot, err := e.cfg.Routes.Acquire(ctx, request)
		if err != nil {
			return c.honest(err)
		}
		err = e.hedged(ctx, w, r, c, slot, request)
		if err == nil || !e.again(ctx, c, err, attempt) {
			return c.honest(err)
		}
		request.Avoid = append(request.Avoid, slot.Endpoint.ID)
	}
}

// again reports whether a failed request is tried once more.
func (e *Entry) again(ctx context.Context, c *call, err error, attempt int) bool {
	f := refusal.Of(err)
	var cut *cutError
	if errors.As(err, &cut) || c.sent.Load() && !c.idempotent || attempt == maxAttempts || ctx.Err() != nil {
		return false
	}
	if f.Kind == refusal.Cancelled || f.Kind == refusal.NoLease {
		return false
	}
	if c.staleLink.Swap(false) && attempt == 1 {
		telemetry.CountRetry(f.Kind) // each connection fails once, so these retries are few
		return true
	}
	if !e.cfg.Routes.SpendRetry(c.service) {
		telemetry.Count("retries_over_budget_total")
		return false
	}
	telemetry.CountRetry(f.Kind)
	return true
}

// honest makes a refusal say "unknown" when an earlier attempt may have run.
func (c *call) honest(err error) error {
	var cut *cutError
	if err == nil || !c.sent.Load() || errors.As(err, &cut) {
		return err
	}
	f := *refusal.Of(err)
	f.Ran = refusal.Unknown
	return &f
}

// try makes one attempt. It gives the slot back when the endpoint does not
// work on the request any more.
func (e *Entry) try(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, slot *route.Slot) error {
	address := slot.Endpoint.Address
	l, err := e.cfg.Links.Get(ctx, address, !c.idempotent)
	if err != nil {
		slot.Release(unreached(ctx, err))
		return err
	}
	fresh := l.Fresh()
	err = e.exchange(ctx, w, r, c, slot, l)
	e.cfg.Links.Put(address, l)
	if err == nil || slot.Released() {
		return err
	}
	f := refusal.Of(err)
	c.staleLink.Store(!fresh && (f.Kind == refusal.LinkSilent || f.Kind == refusal.LinkFailed))
	slot.RecordResult(blame(f, fresh))
	if f.Ran == refusal.No {
		slot.Release(route.Neutral)
		return err
	}
	c.sent.Store(true)
	e.settling.Go(func() { e.settle(slot, c.id, c.deadline) })
	return err
}

// unreached is the result of an attempt that got no connection.
func unreached(ctx context.Context, err error) route.Result {
	if ctx.Err() != nil || refusal.Of(err).Kind != refusal.LinkFailed {
		return route.Neutral
	}
	return route.Unreached
}

// blame tells what a failure says of the endpoint. A connection that worked
// before and went silent says nothing of it.
func blame(f *refusal.Error, fresh bool) route.Result {
	switch f.Kind {
	case refusal.LinkSilent:
		if fresh {
			return route.Unreached
		}
	case refusal.LinkFailed, refusal.AnswerCut, refusal.AnswerMismatch, refusal.DeadlinePassed:
		if f.Ran == refusal.Unknown {
			return route.Failed
		}
	}
	return route.Neutral
}

func (e *Entry) exchange(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, slot *route.Slot, l *link.Link) error {
	lease := e.cfg.Lease.Remaining()
	if lease <= 0 {
		return refusal.New(refusal.NoLease, "send it to another instance", "this instance does not hear from the leader").After(time.Second)
	}
	resp, err := l.Exchange(ctx, outgoing(r, c), e.limits(ctx, c, slot, time.Now().Add(lease)))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(link.NotRunHeader) != "" {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, refusedBytes))
		return refusal.New(refusal.EndpointRefused, "retry later", "endpoint %s refused the request", slot.Endpoint.ID).After(time.Second)
	}
	return e.answer(w, r, resp, slot)
}

// refusedBytes is how much of an endpoint's refusal is read before its connection is given up.
const refusedBytes = 64 << 10

// resultOf tells what an answer's status says of the endpoint.
func resultOf(status int) route.Result {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return route.Failed
	}
	return route.Succeeded
}

// answer passes the endpoint's answer on. An answer that fits the buffer is
// read whole first, so that a cut one can still be refused or retried. The
// slot is given back once the answer has been read to its end.
func (e *Entry) answer(w http.ResponseWriter, r *http.Request, resp *http.Response, slot *route.Slot) error {
	head, err := io.ReadAll(io.LimitReader(resp.Body, e.cfg.BufferBytes+1))
	if err != nil {
		return err
	}
	whole := int64(len(head)) <= e.cfg.BufferBytes
	if whole {
		slot.Release(resultOf(resp.StatusCode))
	}
	copyHeaders(w.Header(), resp.Header)
	if whole && len(resp.Trailer) == 0 && r.Method != http.MethodHead && bodyAllowed(resp.StatusCode) {
		w.Header().Set("Content-Length", strconv.Itoa(len(head)))
	}
	for name := range resp.Trailer {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(resp.StatusCode)
	if _, err := w.Write(head); err != nil && bodyAllowed(resp.StatusCode) && r.Method != http.MethodHead {
		return lostRace(err)
	}
	if !whole {
		if err := stream(w, resp.Body); err != nil {
			return err
		}
		slot.Release(resultOf(resp.StatusCode))
	}
	for name, values := range resp.Trailer {
		w.Header()[name] = values
	}
	return nil
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// streamBytes is the size of the parts that a long answer is passed on in.
const streamBytes = 32 << 10

// stream passes a long answer on part by part.
func stream(w http.ResponseWriter, from io.Reader) error {
	control := http.NewResponseController(w)
	part := make([]byte, streamBytes)
	for {
		n, err := from.Read(part)
		if n > 0 {
			if _, err := w.Write(part[:n]); err != nil {
				return callerGone(err)
			}
			_ = control.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &cutError{cause: refusal.Of(err)}
		}
	}
}

func callerGone(err error) error {
	return &cutError{cause: refusal.NewUnknown(refusal.Cancelled, "", "the caller's connection broke").Because(err)}
}
