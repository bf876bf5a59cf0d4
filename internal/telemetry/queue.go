package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	logQueueBytes = 256 << 10 // about a thousand lines: two seconds of a busy leader's log
	// logReserveBytes of the queue are reserved for lines of level warn and above,
	// which report failures.
	logReserveBytes = 64 << 10
	logWriteBytes   = 4 << 10                // PIPE_BUF on Linux: writes to a pipe up to this size are atomic
	logFlushDelay   = 100 * time.Millisecond // wait before each flush, so that one system call writes many lines
)

// LogQueue passes log lines to a writer in the background, so that a slow writer
// never blocks those that log. Lines that do not fit are dropped and counted.
type LogQueue struct {
	out  io.Writer
	wake chan struct{} // signals that pending is no longer empty or that the queue was closed
	done chan struct{} // closed after the last flush

	mu      sync.Mutex
	pending []byte // lines that are not written yet
	dropped int    // lines dropped since the last flush
	closed  bool
}

// NewLogQueue returns a queue that writes to out until Close.
func NewLogQueue(out io.Writer) *LogQueue {
	q := &LogQueue{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run()
	return q
}

// Write implements io.Writer.
func (q *LogQueue) Write(line []byte) (int, error) { return q.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel implements zerolog.LevelWriter.
func (q *LogQueue) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	limit := logQueueBytes
	if level < zerolog.WarnLevel {
		limit -= logReserveBytes
	}
	q.mu.Lock()
	if q.closed || len(q.pending)+len(line) > limit {
		q.dropped++
		q.mu.Unlock()
		Count("log_lines_dropped_total")
		return len(line), nil
	}
	wasEmpty := len(q.pending) == 0
	q.pending = append(q.pending, line...)
	q.mu.Unlock()
	if wasEmpty {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

func (q *LogQueue) run() {
	defer close(q.done)
	for range q.wake {
		time.Sleep(logFlushDelay)
		if q.flush() {
			return
		}
	}
}

// flush writes the pending lines and a line with the number of dropped ones. It
// reports whether the queue was closed.
func (q *LogQueue) flush() (closed bool) {
	q.mu.Lock()
	lines, dropped := q.pending, q.dropped
	q.pending, q.dropped, closed = nil, 0, q.closed
	q.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, `{"level":"warn","event":"log_lines_dropped","lines":%d,"time":%q}`+"\n", dropped, time.Now().Format(time.RFC3339Nano))
	}
	if len(lines) == 0 {
		return closed
	}
	for len(lines) > 0 {
		n := wholeLinesLen(lines, logWriteBytes)
		if _, err := q.out.Write(lines[:n]); err != nil {
			Count("log_write_errors_total")
		}
		lines = lines[n:]
	}
	return closed
}

// wholeLinesLen returns the length of the leading whole lines of text that fit
// into limit bytes, or of the first line if that alone is longer.
func wholeLinesLen(text []byte, limit int) int {
	if len(text) <= limit {
		return len(text)
	}
	if end := bytes.LastIndexByte(text[:limit], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(text, '\n'); end >= 0 {
		return end + 1
	}
	return len(text)
}

// Close flushes the pending lines. It gives up waiting after the timeout, as a
// pipe that nobody reads blocks the flush.
func (q *LogQueue) Close(timeout time.Duration) {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	select {
	case <-q.done:
	case <-time.After(timeout):
	}
}
