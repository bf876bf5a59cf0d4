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
	// logReserve is kept for lines of level warn and above, which tell of
	// failures.
	logReserve    = 64 << 10
	logWriteBytes = 4 << 10                // a pipe takes so much whole, or not at all
	logFlushEvery = 100 * time.Millisecond // lines written together cost one system call
)

// LogQueue hands lines to a writer without ever blocking those that log. Lines
// that do not fit are left out and counted.
type LogQueue struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	pending []byte
	dropped int
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
		limit -= logReserve
	}
	q.mu.Lock()
	if q.closed || len(q.pending)+len(line) > limit {
		q.dropped++
		q.mu.Unlock()
		Count("log_lines_dropped_total")
		return len(line), nil
	}
	first := len(q.pending) == 0
	q.pending = append(q.pending, line...)
	q.mu.Unlock()
	if first {
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
		time.Sleep(logFlushEvery)
		if q.flush() {
			return
		}
	}
}

// flush writes what waits, and reports whether the queue was closed.
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
		n := wholeLines(lines, logWriteBytes)
		if _, err := q.out.Write(lines[:n]); err != nil {
			Count("log_write_errors_total")
		}
		lines = lines[n:]
	}
	return closed
}

// wholeLines returns how many bytes of text to write at once: whole lines, at
// most limit bytes of them where possible.
func wholeLines(text []byte, limit int) int {
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

// Close writes what waits. It returns after the given time even when nobody
// reads.
func (q *LogQueue) Close(limit time.Duration) {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	select {
	case <-q.done:
	case <-time.After(limit):
	}
}
