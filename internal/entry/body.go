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
	maxBodies     = 512 << 20 // bytes of request bodies in memory at a time
	maxReadBuffer = 64 << 10  // first buffer of a body
)

// readBody reads the request's body whole, so that it can be sent again. The
// bodies of all requests share a bounded amount of memory.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, c *call) error {
	limit := e.cfg.MaxBodyBytes
	if r.ContentLength > limit {
		return tooLarge(limit)
	}
	buffer := bytes.NewBuffer(make([]byte, 0, min(max(r.ContentLength, 0)+bytes.MinRead, maxReadBuffer)))
	n, err := io.Copy(&counted{to: buffer, total: &e.bodies}, http.MaxBytesReader(w, r.Body, limit))
	var over *http.MaxBytesError
	switch {
	case err == nil:
		c.body = buffer.Bytes()
		return nil
	case errors.As(err, &over):
		err = tooLarge(limit)
	case errors.Is(err, errNoMemory):
		err = refusal.New(refusal.InFlightFull, "retry later or spread the load", "this instance holds too many request bodies").After(time.Second)
	default:
		err = refusal.New(refusal.Cancelled, "send the whole body in time", "the request's body ended early").Because(err)
	}
	e.bodies.Add(-n)
	return err
}

func tooLarge(limit int64) error {
	return refusal.New(refusal.TooLarge, "send less, or raise [limits] max_body", "the body is larger than %d bytes", limit)
}

var errNoMemory = errors.New("too many request bodies in memory")

// counted writes into a buffer and adds what it wrote to a shared total.
type counted struct {
	to    *bytes.Buffer
	total interface{ Add(int64) int64 }
}

// Write implements io.Writer.
func (c *counted) Write(p []byte) (int, error) {
	if c.total.Add(int64(len(p))) > maxBodies {
		c.total.Add(-int64(len(p)))
		return 0, errNoMemory
	}
	return c.to.Write(p)
}
