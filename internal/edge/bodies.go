package edge

import (
	"container/list"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/egretmux/egretmux/internal/telemetry"
)

const (
	// bodyMemoryFactor is the memory that a byte of a body takes while it is read and decoded: the buffers
	// that it grows through and what is decoded from it.
	bodyMemoryFactor = 3
	// Bodies that take more than freeReads reads share readsPerSecond, beyond the first freeBodies of them, so that many
	// small pieces leave processor time to other requests.
	freeReads      = 16
	freeBodies     = 8
	readsPerSecond = 2000
	maxReadPause   = time.Second
)

// ErrBodyMemory is returned by the reads of a body for which there is no memory.
var ErrBodyMemory = errors.New("the memory for request bodies is used up")

// BodyAccount bounds the memory of the request bodies of all listeners that use it. Bytes are taken as they arrive, and
// given back once the request is answered. If there is no room, the bodies that began to arrive first and are not
// complete make room: a body that is sent without a pause is complete before it is among them.
type BodyAccount struct {
	limit    int64 // in bytes of memory; zero: no limit
	pressure *Pressure

	mu      sync.Mutex
	used    int64
	reading *list.List // of *accountedBody that are not complete, oldest first
	long    int        // those of them that have taken more than freeReads
}

// NewBodyAccount returns an account of bytes of memory; zero is without a limit.
func NewBodyAccount(limit int64, pressure *Pressure) *BodyAccount {
	return &BodyAccount{limit: limit, pressure: pressure, reading: list.New()}
}

// Limit takes the bodies of requests into the account.
func (a *BodyAccount) Limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		b := &accountedBody{ReadCloser: r.Body, account: a, controller: http.NewResponseController(w)}
		a.begin(b)
		defer a.release(b)
		r.Body = b
		next.ServeHTTP(w, r)
	})
}

func (a *BodyAccount) begin(b *accountedBody) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b.place = a.reading.PushBack(b)
}

// endReading notes that a body is complete or will not be.
func (a *BodyAccount) endReading(b *accountedBody) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endReadingLocked(b)
}

func (a *BodyAccount) endReadingLocked(b *accountedBody) {
	if b.place == nil {
		return
	}
	a.reading.Remove(b.place)
	b.place = nil
	if b.reads > freeReads {
		a.long--
	}
}

// release gives back what a body holds.
func (a *BodyAccount) release(b *accountedBody) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endReadingLocked(b)
	a.used -= b.held
	b.held = 0
}

// take takes memory for bytes that have arrived, and reports whether the body may go on.
func (a *BodyAccount) take(b *accountedBody, n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	n *= bodyMemoryFactor
	for a.limit > 0 && !b.evicted && a.used+n > a.limit {
		oldest := a.reading.Front()
		if oldest == nil || oldest.Value == b {
			a.pressure.note(pressedMemory)
			return false
		}
		a.evictLocked(oldest.Value.(*accountedBody))
	}
	if b.evicted {
		return false
	}
	a.used += n
	b.held += n
	return true
}

// evictLocked ends the reading of a body. The caller holds mu.
func (a *BodyAccount) evictLocked(b *accountedBody) {
	a.pressure.note(pressedEvicted)
	b.evicted = true
	a.endReadingLocked(b)
	a.used -= b.held
	b.held = 0
	_ = b.controller.SetReadDeadline(time.Now()) // fails only if the connection is closed
}

// EvictOldest ends the reading of the body that began to arrive first, and reports whether there was one.
func (a *BodyAccount) EvictOldest() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	oldest := a.reading.Front()
	if oldest == nil {
		return false
	}
	a.evictLocked(oldest.Value.(*accountedBody))
	return true
}

// pauseBefore counts a read of a body and returns for how long it is held up.
func (a *BodyAccount) pauseBefore(b *accountedBody) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b.place == nil {
		return 0
	}
	if b.reads++; b.reads <= freeReads {
		return 0
	}
	if b.reads == freeReads+1 {
		a.long++
	}
	return min(maxReadPause, time.Duration(max(0, a.long-freeBodies))*(time.Second/readsPerSecond))
}

// accountedBody is the body of one request.
type accountedBody struct {
	io.ReadCloser
	account    *BodyAccount
	controller *http.ResponseController

	// Guarded by the account's mutex.
	place   *list.Element // among the bodies that are being read; nil if it is not
	held    int64         // bytes of memory
	reads   int
	evicted bool
}

// Read implements io.Reader.
func (b *accountedBody) Read(p []byte) (int, error) {
	if pause := b.account.pauseBefore(b); pause > 0 {
		telemetry.Count("body_reads_paused_total")
		time.Sleep(pause)
	}
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.account.take(b, int64(n)) {
		b.account.endReading(b)
		return 0, ErrBodyMemory
	}
	if err != nil {
		b.account.endReading(b)
		if errors.Is(err, os.ErrDeadlineExceeded) && b.isEvicted() {
			err = ErrBodyMemory
		}
	}
	return n, err
}

func (b *accountedBody) isEvicted() bool {
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	return b.evicted
}
