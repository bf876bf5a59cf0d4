// Package link is the life of one connection to an endpoint: one exchange at
// a time, answers matched to requests by their id, progress limits, and a
// clear account of whether any byte of a request left.
package link

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/egretmux/egretmux/internal/refusal"
)

// RequestIDHeader names an exchange; the endpoint repeats it in its answer.
const RequestIDHeader = "Egretmux-Request-Id"

// NotRunHeader in an endpoint's answer says that it did not run the request.
const NotRunHeader = "Egretmux-Not-Run"

const (
	bufferBytes = 16 << 10
	dialTimeout = 500 * time.Millisecond
)

// Link is one connection.
type Link struct {
	conn     net.Conn
	reader   *bufio.Reader
	counter  *countingConn
	progress time.Duration
	broken   bool
	lastUsed time.Time
}

// countingConn counts the bytes written and moves the deadlines forward with
// each step of progress.
type countingConn struct {
	net.Conn
	written  atomic.Int64
	progress time.Duration
}

func (c *countingConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(c.progress))
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// Dial opens a link. An exchange that makes no progress for the given time fails.
func Dial(ctx context.Context, address string, progress time.Duration) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, refusal.New(refusal.LinkFailed, "check the endpoint's listener and the network", "no connection to endpoint %s", address).Because(err)
	}
	return New(conn, progress), nil
}

// New returns a link over an open connection.
func New(conn net.Conn, progress time.Duration) *Link {
	counter := &countingConn{Conn: conn, progress: progress}
	return &Link{conn: conn, counter: counter, reader: bufio.NewReaderSize(conn, bufferBytes), progress: progress, lastUsed: time.Now()}
}

// Close closes the connection.
func (l *Link) Close() { _ = l.conn.Close() }

// Usable reports whether another exchange can follow.
func (l *Link) Usable() bool { return !l.broken && l.reader.Buffered() == 0 }

// Exchange sends a request and returns the answer's head; its body must be
// read to the end and closed. The error is a refusal whose Ran is No only when
// no byte of the request was written.
func (l *Link) Exchange(ctx context.Context, req *http.Request) (*http.Response, error) {
	before := l.counter.written.Load()
	stop := context.AfterFunc(ctx, func() { _ = l.conn.SetDeadline(time.Now()) })
	err := req.Write(l.counter)
	if err != nil {
		stop()
		l.broken = true
		if l.counter.written.Load() == before {
			return nil, refusal.New(refusal.LinkFailed, "retry", "the connection to the endpoint was gone").Because(err)
		}
		return nil, refusal.NewUnknown(refusal.LinkFailed, "retry if the request may run twice", "the connection broke while the request was sent").Because(err)
	}
	resp, err := l.readHead(req)
	if err != nil {
		stop()
		l.broken = true
		return nil, err
	}
	resp.Body = &body{link: l, inner: resp.Body, stop: stop, chunked: resp.ContentLength < 0}
	return resp, nil
}

func (l *Link) readHead(req *http.Request) (*http.Response, error) {
	for {
		_ = l.conn.SetReadDeadline(time.Now().Add(l.progress))
		resp, err := http.ReadResponse(l.reader, req)
		if err != nil {
			return nil, readRefusal(err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if id := resp.Header.Get(RequestIDHeader); id != req.Header.Get(RequestIDHeader) {
			return nil, refusal.NewUnknown(refusal.AnswerMismatch, "retry if the request may run twice", "the endpoint answered request %q instead of this one", id)
		}
		if resp.Close && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, refusal.NewUnknown(refusal.AnswerCut, "let the endpoint send Content-Length or chunks", "the answer's end cannot be told from a cut")
		}
		if resp.Close {
			l.broken = true
		}
		return resp, nil
	}
}

func readRefusal(err error) *refusal.Error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return refusal.NewUnknown(refusal.LinkSilent, "retry if the request may run twice", "the endpoint's connection went silent").Because(err)
	}
	return refusal.NewUnknown(refusal.LinkFailed, "retry if the request may run twice", "the connection ended before the answer").Because(err)
}

// body reads an answer's body and fails visibly when it is cut.
type body struct {
	link    *Link
	inner   io.ReadCloser
	stop    func() bool
	chunked bool
	ended   bool
}

// Read implements io.Reader. A cut answer ends in a refusal, never in io.EOF.
func (b *body) Read(p []byte) (int, error) {
	_ = b.link.conn.SetReadDeadline(time.Now().Add(b.link.progress))
	n, err := b.inner.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.ended = true
	default:
		b.link.broken = true
		return n, refusal.NewUnknown(refusal.AnswerCut, "retry if the request may run twice", "the answer was cut").Because(err)
	}
	return n, err
}

// Close ends the exchange. A body that was not read to its end breaks the link.
func (b *body) Close() error {
	b.stop()
	if !b.ended {
		b.link.broken = true
	}
	return b.inner.Close()
}
