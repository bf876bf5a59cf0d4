// Package link is the life of the connections to endpoints: one exchange at a
// time on each, answers matched to requests by their id, progress limits,
// probes, and a clear account of whether any byte of a request left.
package link

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/egretmux/egretmux/internal/refusal"
)

// Headers of the exchange with endpoints.
const (
	// RequestIDHeader names an exchange; the endpoint repeats it in its answer.
	RequestIDHeader = "Egretmux-Request-Id"
	// NotRunHeader in an endpoint's answer says that it did not run the request.
	NotRunHeader = "Egretmux-Not-Run"
	// QueryHeader in a probe names a request; the endpoint answers with
	// RunningHeader, yes or no, whether it still works on it.
	QueryHeader = "Egretmux-Query"
	// RunningHeader is the answer to a query.
	RunningHeader = "Egretmux-Running"
)

const (
	bufferBytes  = 4 << 10
	maxHeadBytes = 1 << 20
	maxInterim   = 16 // answers with a status from 100 to 199 before the final one
	dialTimeout  = 500 * time.Millisecond
)

// Link is one connection. It is not safe for concurrent use, except Close.
type Link struct {
	conn   *countingConn
	head   *io.LimitedReader // bounds the head of an answer
	reader *bufio.Reader
	writer *bufio.Writer
	broken bool
	silent bool // the connection may have gone silent
	fresh  bool // no exchange has succeeded on it
	lastOK time.Time
	used   time.Time // end of the last exchange with a request
}

// countingConn counts the bytes written and keeps cancelled deadlines in force.
type countingConn struct {
	net.Conn
	written   int64
	writeBy   time.Time
	cancelled atomic.Bool
}

// Write implements io.Writer.
func (c *countingConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(c.writeBy)
	if c.cancelled.Load() {
		_ = c.SetWriteDeadline(time.Unix(1, 0))
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// readWithin bounds the next reads.
func (c *countingConn) readWithin(d time.Duration) {
	_ = c.SetReadDeadline(time.Now().Add(d))
	if c.cancelled.Load() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// cancel makes the reads and writes under way and all later ones fail.
func (c *countingConn) cancel() {
	c.cancelled.Store(true)
	_ = c.SetDeadline(time.Unix(1, 0))
}

// Dial opens a link.
func Dial(ctx context.Context, address string) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, refusal.New(refusal.LinkFailed, "check the endpoint's listener and the network", "no connection to endpoint %s", address).Because(err).After(time.Second)
	}
	return New(conn), nil
}

// New returns a link over an open connection.
func New(conn net.Conn) *Link {
	c := &countingConn{Conn: conn}
	head := &io.LimitedReader{R: c, N: maxHeadBytes}
	now := time.Now()
	return &Link{
		conn: c, head: head, reader: bufio.NewReaderSize(head, bufferBytes), writer: bufio.NewWriterSize(c, bufferBytes),
		fresh: true, lastOK: now, used: now,
	}
}

// Close closes the connection.
func (l *Link) Close() { _ = l.conn.Close() }

// Usable reports whether another exchange can follow.
func (l *Link) Usable() bool { return !l.broken && l.reader.Buffered() == 0 }

// Fresh reports whether no exchange has succeeded on the link yet.
func (l *Link) Fresh() bool { return l.fresh }

// Silent reports whether the link was given up because nothing came.
func (l *Link) Silent() bool { return l.silent }

// Limits bounds an exchange.
type Limits struct {
	SendBy   time.Time     // no byte is written after it; zero: no limit
	Progress time.Duration // between two steps of the exchange
	Body     time.Duration // between two parts of the answer's body
	// OnStall is asked when the head of the answer has not begun within
	// Progress. It returns how long to wait on, zero to give up. Nil: give up.
	OnStall func() time.Duration
}

// Exchange sends a request and returns the answer's head; its body must be
// read to the end and closed. The error is a refusal whose Ran is No only when
// no byte of the request was written.
func (l *Link) Exchange(ctx context.Context, req *http.Request, limits Limits) (*http.Response, error) {
	before := l.conn.written
	stop := context.AfterFunc(ctx, l.conn.cancel)
	if err := l.send(req, limits); err != nil {
		stop()
		l.broken = true
		return nil, l.sendRefusal(ctx, err, l.conn.written == before)
	}
	resp, err := l.readHead(ctx, req, limits)
	if err != nil {
		stop()
		l.broken = true
		return nil, err
	}
	l.fresh = false
	resp.Body = &body{link: l, inner: resp.Body, ctx: ctx, stop: stop, progress: limits.Body}
	return resp, nil
}

func (l *Link) send(req *http.Request, limits Limits) error {
	l.conn.writeBy = time.Now().Add(limits.Progress)
	if !limits.SendBy.IsZero() && limits.SendBy.Before(l.conn.writeBy) {
		l.conn.writeBy = limits.SendBy
	}
	if err := req.Write(l.writer); err != nil {
		return err
	}
	return l.writer.Flush()
}

func (l *Link) sendRefusal(ctx context.Context, err error, none bool) error {
	kind, message := refusal.LinkFailed, "the connection broke while the request was sent"
	if ctx.Err() != nil {
		kind, message = ended(ctx)
	}
	if none {
		return refusal.New(kind, "retry", "nothing of the request was sent: %s", message).Because(err).After(time.Second)
	}
	return refusal.NewUnknown(kind, repeatRemedy, "%s", message).Because(err).After(time.Second)
}

const repeatRemedy = "retry if the request may run twice"

// ended tells why a context ended.
func ended(ctx context.Context) (refusal.Kind, string) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.DeadlinePassed, "the deadline passed before the answer"
	}
	return refusal.Cancelled, "the caller gave up"
}

func (l *Link) readHead(ctx context.Context, req *http.Request, limits Limits) (*http.Response, error) {
	for range maxInterim {
		if err := l.awaitHead(ctx, limits); err != nil {
			return nil, err
		}
		l.head.N = maxHeadBytes
		l.conn.readWithin(limits.Progress)
		resp, err := http.ReadResponse(l.reader, req)
		if err != nil {
			return nil, l.readRefusal(ctx, err)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, mismatch("the endpoint changed the protocol unasked")
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		l.head.N = math.MaxInt64
		return resp, l.check(req, resp)
	}
	return nil, mismatch("the endpoint sent only interim answers")
}

// awaitHead waits for the first byte of an answer.
func (l *Link) awaitHead(ctx context.Context, limits Limits) error {
	wait := limits.Progress
	for {
		l.head.N = maxHeadBytes
		l.conn.readWithin(wait)
		_, err := l.reader.Peek(1)
		if err == nil {
			return nil
		}
		if !timedOut(err) || ctx.Err() != nil || limits.OnStall == nil {
			return l.readRefusal(ctx, err)
		}
		if wait = limits.OnStall(); wait == 0 {
			return l.readRefusal(ctx, err)
		}
	}
}

func mismatch(format string, args ...any) error {
	return refusal.NewUnknown(refusal.AnswerMismatch, repeatRemedy, format, args...).After(time.Second)
}

// check refuses an answer that is not the request's own, or whose end could
// not be told from a cut.
func (l *Link) check(req *http.Request, resp *http.Response) error {
	want, got := req.Header.Get(RequestIDHeader), resp.Header.Values(RequestIDHeader)
	if len(got) != 1 || got[0] != want {
		return mismatch("the endpoint answered request %q instead of this one", got)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && req.Method != http.MethodHead {
		return refusal.NewUnknown(refusal.AnswerCut, "let the endpoint send Content-Length or chunks", "the answer's end cannot be told from a cut")
	}
	if resp.Close {
		l.broken = true
	}
	return nil
}

func timedOut(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (l *Link) readRefusal(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		kind, message := ended(ctx)
		return refusal.NewUnknown(kind, repeatRemedy, "%s", message).Because(err).After(time.Second)
	}
	if timedOut(err) {
		l.silent = true
		return refusal.NewUnknown(refusal.LinkSilent, repeatRemedy, "the endpoint's connection went silent").Because(err).After(time.Second)
	}
	return refusal.NewUnknown(refusal.LinkFailed, repeatRemedy, "the connection ended before the answer").Because(err).After(time.Second)
}

// body reads an answer's body and fails visibly when it is cut.
type body struct {
	link     *Link
	inner    io.ReadCloser
	ctx      context.Context // of the exchange
	stop     func() bool
	progress time.Duration
	ended    bool
}

// Read implements io.Reader. A cut answer ends in a refusal, never in io.EOF.
func (b *body) Read(p []byte) (int, error) {
	b.link.conn.readWithin(b.progress)
	n, err := b.inner.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.ended = true
	default:
		b.link.broken = true
		b.link.silent = timedOut(err) && b.ctx.Err() == nil
		return n, refusal.NewUnknown(refusal.AnswerCut, repeatRemedy, "the answer was cut").Because(err).After(time.Second)
	}
	return n, err
}

// Close ends the exchange. A body that was not read to its end breaks the link.
func (b *body) Close() error {
	if !b.stop() || !b.ended {
		b.link.broken = true
		return nil
	}
	b.link.lastOK = time.Now()
	b.link.used = b.link.lastOK
	return b.inner.Close()
}
