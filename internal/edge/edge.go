// Package edge provides the HTTP middleware of every listener: limits of
// headers, bodies, messages and calls in flight, and typed refusals.
package edge

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// rpcPrefix starts the path of every RPC.
const rpcPrefix = "/egretmux.v1."

// refusalBody is the JSON form of a refusal.
type refusalBody struct {
	Kind    string `json:"kind"`
	Ran     string `json:"ran"`
	Message string `json:"message"`
	Remedy  string `json:"remedy,omitempty"`
}

// Refuse counts a refusal and answers with it: for an RPC as an error of the
// protocol that the request uses, otherwise as JSON.
func Refuse(w http.ResponseWriter, r *http.Request, refusalErr *refusal.Error) {
	telemetry.CountRefusal(refusalErr)
	if refusalErr.RetryAfter > 0 {
		seconds := (refusalErr.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	if rpc := connect.NewErrorWriter(); strings.HasPrefix(r.URL.Path, rpcPrefix) && rpc.IsSupported(r) {
		_ = rpc.Write(w, r, refusalrpc.Error(refusalErr))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(refusalErr.Kind.HTTPStatus())
	_ = json.NewEncoder(w).Encode(refusalBody{Kind: string(refusalErr.Kind), Ran: string(refusalErr.Ran), Message: refusalErr.Message, Remedy: refusalErr.Remedy})
}

// LimitHeader refuses requests whose header is larger than limit bytes.
func LimitHeader(limit int, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if headerBytes(r) > limit {
			w.Header().Set("Connection", "close")
			Refuse(w, r, refusal.New(refusal.TooLarge, "send a smaller header, or raise [limits] max_header", "the header is larger than %d bytes", limit))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// headerBytes returns the size of a request's header as HTTP/1.1 writes it.
func headerBytes(r *http.Request) int {
	const lineOverhead = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + lineOverhead
		}
	}
	return size
}

// LimitBody refuses requests that declare a body larger than limit bytes,
// before any of it is read.
func LimitBody(limit int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > limit {
			w.Header().Set("Connection", "close")
			Refuse(w, r, refusal.New(refusal.TooLarge, "send less, or raise [limits] max_body", "the body is larger than %d bytes", limit))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// LimitBodyTime bounds the time that a client may take to send a request's body.
// The next handler may set an earlier read deadline. The limit ends once the
// body has been read.
func LimitBodyTime(limit time.Duration, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			controller := http.NewResponseController(w)
			_ = controller.SetReadDeadline(time.Now().Add(limit))
			r.Body = &deadlineBody{ReadCloser: r.Body, controller: controller}
		}
		next.ServeHTTP(w, r)
	})
}

// deadlineBody clears the read deadline at the end of the body.
type deadlineBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

// Read implements io.Reader.
func (b *deadlineBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// LimitMessage refuses RPC messages that are larger than limit bytes.
func LimitMessage(limit int, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > int64(limit) {
			Refuse(w, r, refusal.New(refusal.TooLarge, "send less, or raise [limits] max_message", "the message is larger than %d bytes", limit))
			return
		}
		r.Body = &limitedBody{ReadCloser: http.MaxBytesReader(w, r.Body, int64(limit))}
		next.ServeHTTP(w, r)
	})
}

// limitedBody counts a refusal when the message turns out too large while it is
// read.
type limitedBody struct {
	io.ReadCloser
	counted bool
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) && !b.counted {
		b.counted = true
		telemetry.CountRefusal(refusal.New(refusal.TooLarge, "", ""))
	}
	return n, err
}

// LimitInFlight refuses requests while limit others are in flight.
func LimitInFlight(limit int, next http.Handler) http.Handler {
	var inFlight atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer inFlight.Add(-1)
		if inFlight.Add(1) > int64(limit) {
			Refuse(w, r, refusal.New(refusal.InFlightFull, "retry later or at another instance", "this instance serves %d control calls already", limit).WithRetryAfter(time.Second))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// CountInFlight keeps the number of requests in flight in a counter.
func CountInFlight(inFlight *atomic.Int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		inFlight.Add(1)
		defer inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// CloseAfter adds Connection: close to every answer that begins after draining is
// closed.
func CloseAfter(draining <-chan struct{}, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&closingWriter{ResponseWriter: w, draining: draining}, r)
	})
}

// closingWriter adds the header when it writes the status line.
type closingWriter struct {
	http.ResponseWriter
	draining      <-chan struct{}
	headerWritten bool
}

// Unwrap lets http.ResponseController find the server's writer.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.headerWritten = true
	select {
	case <-w.draining:
		w.Header().Set("Connection", "close")
	default:
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(p []byte) (int, error) {
	if !w.headerWritten {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}
