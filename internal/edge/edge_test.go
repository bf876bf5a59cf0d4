package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const bodyLimit = 50 * time.Millisecond

func dial(t *testing.T, server *httptest.Server, text string) net.Conn {
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn
}

// A client that never sends the rest of its body does not block the handler.
func TestLimitBodyTimeEndsSlowBody(t *testing.T) {
	ended := make(chan error, 1)
	server := httptest.NewServer(LimitBodyTime(bodyLimit, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		ended <- err
	})))
	defer server.Close()
	dial(t, server, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
	require.ErrorIs(t, <-ended, os.ErrDeadlineExceeded)
}

// The body's time limit does not cancel a request whose body has arrived.
func TestLimitBodyTimeDoesNotLimitHandler(t *testing.T) {
	server := httptest.NewServer(LimitBodyTime(bodyLimit, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusTeapot)
		case <-time.After(4 * bodyLimit):
		}
	})))
	defer server.Close()
	conn := dial(t, server, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

func TestLimitInFlight(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	handler := LimitInFlight(1, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-release
	}))
	done := make(chan struct{})
	go func() {
		defer close(done)
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil))
	}()
	<-entered
	second := httptest.NewRecorder()
	handler.ServeHTTP(second, httptest.NewRequest(http.MethodPost, "/", nil))
	require.Equal(t, http.StatusTooManyRequests, second.Code)
	require.Equal(t, "1", second.Header().Get("Retry-After"))
	require.Contains(t, second.Body.String(), `"kind":"in-flight-full","ran":"no"`)
	close(release)
	<-done
}

func TestCountInFlight(t *testing.T) {
	var inFlight atomic.Int64
	during := int64(0)
	CountInFlight(&inFlight, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { during = inFlight.Load() })).
		ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	require.Equal(t, int64(1), during)
	require.Zero(t, inFlight.Load())
}

// An answer that begins during the drain closes its connection, also when its
// request arrived before the drain.
func TestCloseAfter(t *testing.T) {
	done := make(chan struct{})
	before := httptest.NewRecorder()
	CloseAfter(done, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") })).
		ServeHTTP(before, httptest.NewRequest(http.MethodGet, "/", nil))
	require.Empty(t, before.Header().Get("Connection"))
	during := httptest.NewRecorder()
	CloseAfter(done, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(done)
		_, _ = io.WriteString(w, "x")
	})).ServeHTTP(during, httptest.NewRequest(http.MethodGet, "/", nil))
	require.Equal(t, "close", during.Header().Get("Connection"))
}

func TestLimitMessageOfUnknownLength(t *testing.T) {
	var err error
	handler := LimitMessage(4, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, err = io.ReadAll(r.Body) }))
	r := httptest.NewRequest(http.MethodPost, "/", struct{ io.Reader }{strings.NewReader("12345")})
	r.ContentLength = -1
	handler.ServeHTTP(httptest.NewRecorder(), r)
	var tooLarge *http.MaxBytesError
	require.ErrorAs(t, err, &tooLarge)
}
