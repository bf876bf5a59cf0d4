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

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

// forward sends the request to an endpoint. It retries on another one only when
// the request certainly did not run or is idempotent, and the retry budget
// allows it.
func (e *Entry) forward(w http.ResponseWriter, r *http.Request, c *call) error {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	request := route.Request{
		Service: c.service, Customer: c.customer.Customer, Weight: c.customer.Share,
		Class: c.class.Name, ClassQueue: c.class.Queue, AtOnce: c.class.Answer == contract.AtOnce,
		Idempotent: c.idempotent, Deadline: c.deadline,
	}
	for attempt := 1; ; attempt++ {
		slot, err := e.cfg.Routes.Acquire(ctx, request)
		if err != nil {
			return c.markMayHaveRun(err)
		}
		err = e.tryHedged(ctx, w, r, c, slot, request)
		if err == nil || !e.shouldRetry(ctx, c, err, attempt) {
			return c.markMayHaveRun(err)
		}
		request.Avoid = append(request.Avoid, slot.Endpoint.ID)
	}
}

// shouldRetry reports whether a failed request gets another attempt.
func (e *Entry) shouldRetry(ctx context.Context, c *call, err error, attempt int) bool {
	refusalErr := refusal.Of(err)
	var cut *cutError
	if errors.As(err, &cut) || c.mayHaveRun.Load() && !c.idempotent || attempt == maxAttempts || ctx.Err() != nil {
		return false
	}
	if refusalErr.Kind == refusal.Cancelled || refusalErr.Kind == refusal.NoLease {
		return false
	}
	if c.failedOnReusedLink.Swap(false) && attempt == 1 {
		telemetry.CountRetry(refusalErr.Kind) // outside the retry budget: each connection fails this way only once
		return true
	}
	if !e.cfg.Routes.SpendRetry(c.service) {
		telemetry.Count("retries_over_budget_total")
		return false
	}
	telemetry.CountRetry(refusalErr.Kind)
	return true
}

// markMayHaveRun sets Ran to Unknown in a refusal when an earlier attempt may
// have run.
func (c *call) markMayHaveRun(err error) error {
	var cut *cutError
	if err == nil || !c.mayHaveRun.Load() || errors.As(err, &cut) {
		return err
	}
	refusalErr := *refusal.Of(err)
	refusalErr.Ran = refusal.Unknown
	return &refusalErr
}

// try makes one attempt. The slot is released once the endpoint no longer works
// on the request.
func (e *Entry) try(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, slot *route.Slot) error {
	address := slot.Endpoint.Address
	l, err := e.cfg.Links.Get(ctx, address, !c.idempotent)
	if err != nil {
		slot.Release(dialResult(ctx, err))
		return err
	}
	fresh := l.Fresh()
	err = e.exchange(ctx, w, r, c, slot, l)
	e.cfg.Links.Put(address, l)
	if err == nil || slot.Released() {
		return err
	}
	refusalErr := refusal.Of(err)
	c.failedOnReusedLink.Store(!fresh && (refusalErr.Kind == refusal.LinkSilent || refusalErr.Kind == refusal.LinkFailed))
	slot.RecordResult(failureResult(refusalErr, fresh))
	if refusalErr.Ran == refusal.No {
		slot.Release(route.Neutral)
		return err
	}
	c.mayHaveRun.Store(true)
	e.abandonedSlots.Go(func() { e.releaseWhenIdle(slot, c.id, c.deadline) })
	return err
}

// dialResult returns what the failure to get a connection says about the
// endpoint's health.
func dialResult(ctx context.Context, err error) route.Result {
	if ctx.Err() != nil || refusal.Of(err).Kind != refusal.LinkFailed {
		return route.Neutral
	}
	return route.Unreached
}

// failureResult returns what a failed exchange says about the endpoint's health.
// Silence on a reused connection says nothing: the connection may be at fault.
func failureResult(refusalErr *refusal.Error, fresh bool) route.Result {
	switch refusalErr.Kind {
	case refusal.LinkSilent:
		if fresh {
			return route.Unreached
		}
	case refusal.LinkFailed, refusal.AnswerCut, refusal.AnswerMismatch, refusal.DeadlinePassed:
		if refusalErr.Ran == refusal.Unknown {
			return route.Failed
		}
	}
	return route.Neutral
}

func (e *Entry) exchange(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, slot *route.Slot, l *link.Link) error {
	leaseLeft := e.cfg.Lease.Remaining()
	if leaseLeft <= 0 {
		return refusal.New(refusal.NoLease, "send it to another instance", "this instance does not hear from the leader").WithRetryAfter(time.Second)
	}
	resp, err := l.Exchange(ctx, endpointRequest(r, c), e.exchangeLimits(ctx, c, slot, time.Now().Add(leaseLeft)))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(link.NotRunHeader) != "" {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxRefusalBytes))
		return refusal.New(refusal.EndpointRefused, "retry later", "endpoint %s refused the request", slot.Endpoint.ID).WithRetryAfter(time.Second)
	}
	return e.forwardAnswer(w, r, resp, slot)
}

// maxRefusalBytes bounds how much of an endpoint's refusal is read to keep its
// connection usable.
const maxRefusalBytes = 64 << 10

// statusResult returns what an answer's status says about the endpoint's health.
func statusResult(status int) route.Result {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return route.Failed
	}
	return route.Succeeded
}

// forwardAnswer writes the endpoint's answer to the caller. An answer that fits
// the buffer is read completely first, so that a truncated one can still be
// refused or retried. The slot is released once the answer has been read to its
// end.
func (e *Entry) forwardAnswer(w http.ResponseWriter, r *http.Request, resp *http.Response, slot *route.Slot) error {
	prefix, err := io.ReadAll(io.LimitReader(resp.Body, e.cfg.BufferBytes+1))
	if err != nil {
		return err
	}
	complete := int64(len(prefix)) <= e.cfg.BufferBytes
	if complete {
		slot.Release(statusResult(resp.StatusCode))
	}
	copyHeaders(w.Header(), resp.Header)
	if complete && len(resp.Trailer) == 0 && r.Method != http.MethodHead && statusAllowsBody(resp.StatusCode) {
		w.Header().Set("Content-Length", strconv.Itoa(len(prefix)))
	}
	for name := range resp.Trailer {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(resp.StatusCode)
	if _, err := w.Write(prefix); err != nil && statusAllowsBody(resp.StatusCode) && r.Method != http.MethodHead {
		return answerWriteError(err)
	}
	if !complete {
		if err := streamAnswer(w, resp.Body); err != nil {
			return err
		}
		slot.Release(statusResult(resp.StatusCode))
	}
	for name, values := range resp.Trailer {
		w.Header()[name] = values
	}
	return nil
}

func statusAllowsBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// streamBufferBytes is the size of the buffer that a long answer is copied through.
const streamBufferBytes = 32 << 10

// streamAnswer copies the rest of a long answer to the caller and flushes after
// each read.
func streamAnswer(w http.ResponseWriter, from io.Reader) error {
	controller := http.NewResponseController(w)
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return callerDisconnected(err)
			}
			_ = controller.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &cutError{cause: refusal.Of(err)}
		}
	}
}

func callerDisconnected(err error) error {
	return &cutError{cause: refusal.NewUnknown(refusal.Cancelled, "", "the caller's connection broke").WithCause(err)}
}
