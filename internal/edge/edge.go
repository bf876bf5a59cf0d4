// Package edge holds what every HTTP listener does before its handlers: it
// limits headers, bodies, messages and calls in flight, and writes typed
// refusals.
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

// rpcPrefix begins the path of every RPC.
const rpcPrefix = "/egretmux.v1."

// refusalBody is the JSON form of a refusal.
type refusalBody struct {
	Kind    string `json:"kind"`
	Ran     string `json:"ran"`
	Message string `json:"message"`
	Remedy  string `json:"remedy,omitempty"`
}

// Refuse counts a refusal and answers with it: as the error of the RPC
// protocol that the request uses, or else as JSON.
func Refuse(w http.ResponseWriter, r *http.Request, f *refusal.Error) {
	telemetry.CountRefusal(f)
	if f.RetryAfter > 0 {
		seconds := (f.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	if rpc := connect.NewErrorWriter(); strings.HasPrefix(r.URL.Path, rpcPrefix) && rpc.IsSupported(r) {
		_ = rpc.Write(w, r, refusalrpc.Error(f))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.Kind.HTTPStatus())
	_ = json.NewEncoder(w).Encode(refusalBody{Kind: string(f.Kind), Ran: string(f.Ran), Message: f.Message, Remedy: f.Remedy})
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

// LimitBodyTime bounds the time that a client takes to send its request's body; the
// next handler may set a nearer read deadline. It leaves requests alone whose
// body has arrived.
func LimitBodyTime(limit time.Duration, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			control := http.NewResponseController(w)
			_ = control.SetReadDeadline(time.Now().Add(limit))
			r.Body = &timedBody{ReadCloser: r.Body, control: control}
		}
		next.ServeHTTP(w, r)
	})
}

// timedBody takes the read deadline back at its end.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.control.SetReadDeadline(time.Time{})
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
		r.Body = &countedBody{ReadCloser: http.MaxBytesReader(w, r.Body, int64(limit))}
		next.ServeHTTP(w, r)
	})
}

// countedBody counts a message that turned out too large while it was read.
type countedBody struct {
	io.ReadCloser
	counted bool
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) && !b.counted {
		b.counted = true
		telemetry.CountRefusal(refusal.New(refusal.TooLarge, "", ""))
	}
	return n, err
}

// LimitInFlight refuses requests beyond limit at a time.
func LimitInFlight(limit int, next http.Handler) http.Handler {
	var inFlight atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer inFlight.Add(-1)
		if inFlight.Add(1) > int64(limit) {
			Refuse(w, r, refusal.New(refusal.InFlightFull, "retry later or at another instance", "this instance serves %d control calls already", limit).After(time.Second))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// CloseAfter tells clients, in every answer that begins once done is closed, to
// use the connection for no other request.
func CloseAfter(done <-chan struct{}, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&closingWriter{ResponseWriter: w, done: done}, r)
	})
}

// closingWriter adds the header when the answer begins.
type closingWriter struct {
	http.ResponseWriter
	done  <-chan struct{}
	began bool
}

// Unwrap lets http.ResponseController find the server's writer.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.began = true
	select {
	case <-w.done:
		w.Header().Set("Connection", "close")
	default:
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(p []byte) (int, error) {
	if !w.began {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}
