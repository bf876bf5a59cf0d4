package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/egretmux/egretmux/internal/link"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/route"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// maxAttempts bounds how often one request is tried.
const maxAttempts = 3

// hopHeaders are not passed on, in either direction.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func readBody(w http.ResponseWriter, r *http.Request, c *call, limit int64) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refusal.New(refusal.TooLarge, "send less, or raise [limits] max_body", "the body is larger than %d bytes", limit)
	case err != nil:
		return refusal.New(refusal.Cancelled, "send the whole body", "the request's body ended early").Because(err)
	}
	c.body = body
	return nil
}

// forward sends the request to an endpoint. It tries another one only when the
// request certainly did not run, or may run twice.
func (e *Entry) forward(w http.ResponseWriter, r *http.Request, c *call) error {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	var avoid []string
	for attempt := 1; ; attempt++ {
		slot, err := e.cfg.Routes.Acquire(ctx, route.Request{
			Service: c.service, AtOnce: c.class.Answer == "at-once", Deadline: c.deadline, Avoid: avoid,
		})
		if err != nil {
			return err
		}
		err = e.try(ctx, w, r, c, slot)
		if err == nil {
			return nil
		}
		f := refusal.Of(err)
		repeatable := f.Ran == refusal.No || c.idempotent
		if !repeatable || attempt == maxAttempts || ctx.Err() != nil || f.Kind == refusal.Cancelled || f.Kind == refusal.NoLease {
			return f
		}
		telemetry.CountRetry(f.Kind)
		avoid = append(avoid, slot.Endpoint.ID)
	}
}

// try makes one attempt and gives the slot back. After the first byte of the answer went to the
// caller, a failure cuts the caller's connection instead of returning.
func (e *Entry) try(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, slot *route.Slot) error {
	defer slot.Release()
	l, err := e.cfg.Links.Get(ctx, slot.Endpoint.Address)
	if err != nil {
		return err
	}
	defer func() { e.cfg.Links.Put(slot.Endpoint.Address, l) }()
	if !e.cfg.Lease.Valid() {
		return refusal.New(refusal.NoLease, "send it to another instance", "this instance does not hear from the leader").After(time.Second)
	}
	resp, err := l.Exchange(ctx, outgoing(r, c))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(link.NotRunHeader) != "" {
		_, _ = io.Copy(io.Discard, resp.Body)
		return refusal.New(refusal.EndpointRefused, "retry later", "endpoint %s refused the request", slot.Endpoint.ID).After(time.Second)
	}
	return e.answer(w, r, resp)
}

// outgoing builds the request that goes to the endpoint.
func outgoing(r *http.Request, c *call) *http.Request {
	out := &http.Request{
		Method: r.Method, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:    &url.URL{Scheme: "http", Host: r.Host, Path: c.path, RawQuery: r.URL.RawQuery},
		Host:   r.Host,
		Header: r.Header.Clone(),
		Body:   io.NopCloser(bytes.NewReader(c.body)), ContentLength: int64(len(c.body)),
	}
	if len(c.body) == 0 {
		out.Body = http.NoBody
	}
	removeHopHeaders(out.Header)
	out.Header.Del("Authorization")
	out.Header.Set(link.RequestIDHeader, c.id)
	out.Header.Set(CustomerHeader, c.customer.Customer)
	out.Header.Set(DeadlineHeader, strconv.FormatInt(max(1, time.Until(c.deadline).Milliseconds()), 10))
	return out
}

func removeHopHeaders(h http.Header) {
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		h.Del(strings.TrimSpace(name))
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// answer passes the endpoint's answer on. An answer that fits the buffer is
// read whole first, so that a cut one can still be refused or retried.
func (e *Entry) answer(w http.ResponseWriter, r *http.Request, resp *http.Response) error {
	head, err := io.ReadAll(io.LimitReader(resp.Body, e.cfg.BufferBytes))
	if err != nil {
		return err
	}
	whole := int64(len(head)) < e.cfg.BufferBytes
	copyHeaders(w.Header(), resp.Header)
	if whole && len(resp.Trailer) == 0 && r.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(head)))
	}
	for name := range resp.Trailer {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(resp.StatusCode)
	if _, err := w.Write(head); err != nil {
		panic(http.ErrAbortHandler)
	}
	if !whole {
		if _, err := io.Copy(w, resp.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	for name, values := range resp.Trailer {
		w.Header()[name] = values
	}
	return nil
}

func copyHeaders(to, from http.Header) {
	clean := from.Clone()
	removeHopHeaders(clean)
	for name, values := range clean {
		to[name] = values
	}
}
