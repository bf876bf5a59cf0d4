// Package link manages the connections to endpoints. A connection carries one
// exchange at a time, with answers matched to requests by their id, progress
// limits and probes. A failed exchange tells whether any byte of the request was
// sent.
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

// Headers exchanged with endpoints.
const (
	// RequestIDHeader identifies an exchange; the endpoint repeats it in its answer.
	RequestIDHeader = "Egretmux-Request-Id"
	// NotRunHeader in an endpoint's answer means that it did not run the request.
	NotRunHeader = "Egretmux-Not-Run"
	// QueryHeader in a probe identifies a request. The endpoint answers with
	// RunningHeader whether it still works on that request.
	QueryHeader = "Egretmux-Query"
	// RunningHeader is the answer to a query: yes or no.
	RunningHeader = "Egretmux-Running"
)

const (
	bufferBytes    = 4 << 10
	maxHeadBytes   = 1 << 20
	maxAnswersRead = 16 // for one request: interim answers (status 100 to 199) and the final one
	dialTimeout    = 500 * time.Millisecond
)

// Link is one connection. It is not safe for concurrent use, except Close.
type Link struct {
	conn       *countingConn
	headLimit  *io.LimitedReader // limits the size of an answer's head
	reader     *bufio.Reader
	writer     *bufio.Writer
	broken     bool
	silent     bool // a read timed out
	fresh      bool // no exchange has succeeded yet
	lastAnswer time.Time
	lastUsed   time.Time // end of the last exchange of a request
}

// countingConn counts the bytes written. Once it is cancelled, new deadlines don't
// revive it.
type countingConn struct {
	net.Conn
	written       int64
	writeDeadline time.Time
	cancelled     atomic.Bool
}

// Write implements io.Writer.
func (c *countingConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(c.writeDeadline)
	if c.cancelled.Load() {
		_ = c.SetWriteDeadline(time.Unix(1, 0))
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// readWithin sets the time limit of the next reads.
func (c *countingConn) readWithin(d time.Duration) {
	_ = c.SetReadDeadline(time.Now().Add(d))
	if c.cancelled.Load() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// cancel makes current and later reads and writes fail.
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
		return nil, refusal.New(refusal.LinkFailed, "check the endpoint's listener and the network", "no connection to endpoint %s", address).WithCause(err).WithRetryAfter(time.Second)
	}
	return New(conn), nil
}

// New returns a link over an open connection.
func New(conn net.Conn) *Link {
	c := &countingConn{Conn: conn}
	head := &io.LimitedReader{R: c, N: maxHeadBytes}
	now := time.Now()
	return &Link{
		conn: c, headLimit: head, reader: bufio.NewReaderSize(head, bufferBytes), writer: bufio.NewWriterSize(c, bufferBytes),
		fresh: true, lastAnswer: now, lastUsed: now,
	}
}

// Close closes the connection.
func (l *Link) Close() { _ = l.conn.Close() }

// Usable reports whether the link can carry another exchange.
func (l *Link) Usable() bool { return !l.broken && l.reader.Buffered() == 0 }

// Fresh reports whether no exchange has succeeded on the link yet.
func (l *Link) Fresh() bool { return l.fresh }

// Silent reports whether the link failed because a read timed out.
func (l *Link) Silent() bool { return l.silent }

// Limits holds the time limits of an exchange.
type Limits struct {
	SendBy   time.Time     // no byte is written later; zero: no limit
	Progress time.Duration // longest wait for the next step of the exchange
	Body     time.Duration // longest wait for the next part of the answer's body
	// OnStall is called when the head of the answer has not begun within
	// Progress. It returns how much longer to wait, or zero to fail. Nil: fail.
	OnStall func() time.Duration
}

// Exchange sends a request and returns the answer's head. The caller must read
// the body to its end and close it. An error is a refusal whose Ran is No only if
// no byte of the request was written.
func (l *Link) Exchange(ctx context.Context, req *http.Request, limits Limits) (*http.Response, error) {
	before := l.conn.written
	stop := context.AfterFunc(ctx, l.conn.cancel)
	if err := l.send(req, limits); err != nil {
		stop()
		l.broken = true
		return nil, l.sendError(ctx, err, l.conn.written == before)
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
	l.conn.writeDeadline = time.Now().Add(limits.Progress)
	if !limits.SendBy.IsZero() && limits.SendBy.Before(l.conn.writeDeadline) {
		l.conn.writeDeadline = limits.SendBy
	}
	if err := req.Write(l.writer); err != nil {
		return err
	}
	return l.writer.Flush()
}

// sendError returns the refusal for a failed send.
func (l *Link) sendError(ctx context.Context, err error, nothingSent bool) error {
	kind, message := refusal.LinkFailed, "the connection broke while the request was sent"
	if ctx.Err() != nil {
		kind, message = contextEnd(ctx)
	}
	if nothingSent {
		return refusal.New(kind, "retry", "nothing of the request was sent: %s", message).WithCause(err).WithRetryAfter(time.Second)
	}
	return refusal.NewUnknown(kind, repeatRemedy, "%s", message).WithCause(err).WithRetryAfter(time.Second)
}

// repeatRemedy is the remedy of refusals after which the request may have run.
const repeatRemedy = "retry if the request may run twice"

// contextEnd returns the kind and message of a refusal for a context that ended.
func contextEnd(ctx context.Context) (refusal.Kind, string) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.DeadlinePassed, "the deadline passed before the answer"
	}
	return refusal.Cancelled, "the caller gave up"
}

func (l *Link) readHead(ctx context.Context, req *http.Request, limits Limits) (*http.Response, error) {
	for range maxAnswersRead {
		if err := l.awaitHead(ctx, limits); err != nil {
			return nil, err
		}
		l.headLimit.N = maxHeadBytes
		l.conn.readWithin(limits.Progress)
		resp, err := http.ReadResponse(l.reader, req)
		if err != nil {
			return nil, l.readError(ctx, err)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, answerMismatch("the endpoint switched protocols without being asked")
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		l.headLimit.N = math.MaxInt64
		return resp, l.checkAnswer(req, resp)
	}
	return nil, answerMismatch("the endpoint sent only interim answers")
}

// awaitHead waits for the first byte of an answer.
func (l *Link) awaitHead(ctx context.Context, limits Limits) error {
	wait := limits.Progress
	for {
		l.headLimit.N = maxHeadBytes
		l.conn.readWithin(wait)
		_, err := l.reader.Peek(1)
		if err == nil {
			return nil
		}
		if !timedOut(err) || ctx.Err() != nil || limits.OnStall == nil {
			return l.readError(ctx, err)
		}
		if wait = limits.OnStall(); wait == 0 {
			return l.readError(ctx, err)
		}
	}
}

func answerMismatch(format string, args ...any) error {
	return refusal.NewUnknown(refusal.AnswerMismatch, repeatRemedy, format, args...).WithRetryAfter(time.Second)
}

// checkAnswer refuses an answer that belongs to another request, or that has
// neither a length nor chunks, so that a cut would look like its end.
func (l *Link) checkAnswer(req *http.Request, resp *http.Response) error {
	want, got := req.Header.Get(RequestIDHeader), resp.Header.Values(RequestIDHeader)
	if len(got) != 1 || got[0] != want {
		return answerMismatch("the endpoint answered request %q instead of this one", got)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && req.Method != http.MethodHead {
		return refusal.NewUnknown(refusal.AnswerCut, "let the endpoint send Content-Length or chunks", "the end of the answer cannot be distinguished from a cut")
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

// readError returns the refusal for a failed read.
func (l *Link) readError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		kind, message := contextEnd(ctx)
		return refusal.NewUnknown(kind, repeatRemedy, "%s", message).WithCause(err).WithRetryAfter(time.Second)
	}
	if timedOut(err) {
		l.silent = true
		return refusal.NewUnknown(refusal.LinkSilent, repeatRemedy, "the endpoint's connection went silent").WithCause(err).WithRetryAfter(time.Second)
	}
	return refusal.NewUnknown(refusal.LinkFailed, repeatRemedy, "the connection ended before the answer").WithCause(err).WithRetryAfter(time.Second)
}

// body reads an answer's body and returns an error if it is cut.
type body struct {
	link     *Link
	inner    io.ReadCloser
	ctx      context.Context // context of the exchange
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
		return n, refusal.NewUnknown(refusal.AnswerCut, repeatRemedy, "the answer was cut").WithCause(err).WithRetryAfter(time.Second)
	}
	return n, err
}

// Close ends the exchange. The link cannot be used again if the body was not read
// to its end.
func (b *body) Close() error {
	if !b.stop() || !b.ended {
		b.link.broken = true
		return nil
	}
	b.link.lastAnswer = time.Now()
	b.link.lastUsed = b.link.lastAnswer
	return b.inner.Close()
}
