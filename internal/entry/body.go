package entry

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/egretmux/egretmux/internal/refusal"
)

const (
	maxBodyMemory    = 512 << 20 // bytes of request bodies in memory at a time
	maxInitialBuffer = 64 << 10  // initial buffer of one body
)

// readBody reads the whole body into memory, so that a retry can send it again.
// maxBodyMemory bounds the bodies of all requests together.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, c *call) error {
	limit := e.cfg.MaxBodyBytes
	if r.ContentLength > limit {
		return tooLargeRefusal(limit)
	}
	buffer := bytes.NewBuffer(make([]byte, 0, min(max(r.ContentLength, 0)+bytes.MinRead, maxInitialBuffer)))
	written, err := io.Copy(&boundedBuffer{buffer: buffer, total: &e.bodyBytes}, http.MaxBytesReader(w, r.Body, limit))
	var tooLargeErr *http.MaxBytesError
	switch {
	case err == nil:
		c.body = buffer.Bytes()
		return nil
	case errors.As(err, &tooLargeErr):
		err = tooLargeRefusal(limit)
	case errors.Is(err, errBodyMemory):
		err = refusal.New(refusal.InFlightFull, "retry later or spread the load", "this instance holds too many request bodies").WithRetryAfter(time.Second)
	default:
		err = refusal.New(refusal.Cancelled, "send the whole body in time", "the request's body ended early").WithCause(err)
	}
	e.bodyBytes.Add(-written)
	return err
}

func tooLargeRefusal(limit int64) error {
	return refusal.New(refusal.TooLarge, "send less, or raise [limits] max_body", "the body is larger than %d bytes", limit)
}

var errBodyMemory = errors.New("too many request bodies in memory")

// boundedBuffer counts the bytes written to it in a total shared by all
// requests, and fails when the total would exceed maxBodyMemory.
type boundedBuffer struct {
	buffer *bytes.Buffer
	total  interface{ Add(int64) int64 }
}

// Write implements io.Writer.
func (b *boundedBuffer) Write(p []byte) (int, error) {
	if b.total.Add(int64(len(p))) > maxBodyMemory {
		b.total.Add(-int64(len(p)))
		return 0, errBodyMemory
	}
	return b.buffer.Write(p)
}
