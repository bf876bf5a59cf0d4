package edge

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func noPressure() *Pressure { return NewPressure(func(string) {}) }

// serveBodies serves requests whose bodies are read whole, with an account of so many bytes of bodies.
func serveBodies(t *testing.T, bytes int64) (a *BodyAccount, address string) {
	t.Helper()
	a = NewBodyAccount(bytes*bodyMemoryFactor, noPressure())
	server := httptest.NewServer(LimitBodyTime(time.Minute, a.Limit(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		switch {
		case errors.Is(err, ErrBodyMemory):
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusGatewayTimeout)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		default:
			_, _ = fmt.Fprint(w, len(body))
		}
	}))))
	t.Cleanup(server.Close)
	return a, server.Listener.Addr().String()
}

// sendPart sends a part of a body.
func sendPart(t *testing.T, address string, declared, sent int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", declared, strings.Repeat("x", sent))
	require.NoError(t, err)
	return conn
}

func answerOf(t *testing.T, conn net.Conn) int {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

func (a *BodyAccount) holds() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

func awaitHeld(t *testing.T, a *BodyAccount, bytes int64) {
	t.Helper()
	require.Eventually(t, func() bool { return a.holds() == bytes*bodyMemoryFactor }, 10*time.Second, time.Millisecond, "held: %d", a.holds())
}

// Guards against a crowd of bodies that stop short of their end and keep all others out.
func TestOldestIncompleteBodyMakesRoom(t *testing.T) {
	a, address := serveBodies(t, 1000)
	first := sendPart(t, address, 600, 500)
	awaitHeld(t, a, 500)
	second := sendPart(t, address, 600, 400)
	awaitHeld(t, a, 900)
	require.Equal(t, http.StatusOK, answerOf(t, sendPart(t, address, 300, 300)))
	require.Equal(t, http.StatusGatewayTimeout, answerOf(t, first))
	_, err := second.Write([]byte(strings.Repeat("x", 200)))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answerOf(t, second), "it was not needed")
	awaitHeld(t, a, 0)
}

// Guards against memory that is given back on some ways out only: a body that is cut, too large for the account, or
// whose client leaves.
func TestBodyGivesItsMemoryBackOnEachWayOut(t *testing.T) {
	a, address := serveBodies(t, 1000)
	require.Equal(t, http.StatusOK, answerOf(t, sendPart(t, address, 1000, 1000)))
	awaitHeld(t, a, 0)
	require.Equal(t, http.StatusGatewayTimeout, answerOf(t, sendPart(t, address, 2000, 2000)))
	awaitHeld(t, a, 0)
	conn := sendPart(t, address, 1000, 10)
	awaitHeld(t, a, 10)
	require.NoError(t, conn.Close())
	awaitHeld(t, a, 0)
	require.Zero(t, a.reading.Len())
}

// Guards against bodies in many small pieces that take the processor from all others, and against a single one, inside the
// limits, that is held up in calm.
func TestOnlyManyBodiesOfSmallPiecesAreHeldUp(t *testing.T) {
	a := NewBodyAccount(0, noPressure())
	pauseAfter := func(bodies int) (pause time.Duration) {
		for range bodies {
			b := &accountedBody{account: a}
			a.begin(b)
			for range freeReads + 1 {
				pause = a.pauseBefore(b)
			}
		}
		return pause
	}
	require.Zero(t, pauseAfter(freeBodies))
	require.Equal(t, 100*time.Second/readsPerSecond, pauseAfter(100))
	short := &accountedBody{account: a}
	a.begin(short)
	require.Zero(t, a.pauseBefore(short), "an ordinary body")
}

// Guards against connections without a request that leave no descriptors to others.
func TestConnectionThatIsIdleForLongestMakesRoom(t *testing.T) {
	connections := NewConnections()
	connections.LimitOpen(2, func() bool { return false }, noPressure())
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	held, release := make(chan struct{}), make(chan struct{})
	server := &http.Server{ConnState: connections.TrackState, IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			close(held)
			<-release
		}
	})}
	go func() { _ = server.Serve(connections.Listen(socket)) }()
	t.Cleanup(func() { _ = server.Close() })
	dial := func(path string) net.Conn {
		conn, err := net.Dial("tcp", socket.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		if path != "" {
			_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
			require.NoError(t, err)
		}
		return conn
	}
	busy := dial("/held")
	<-held
	idle := dial("")
	require.Eventually(t, func() bool {
		connections.mu.Lock()
		defer connections.mu.Unlock()
		return len(connections.open) == 2
	}, 10*time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, answerOf(t, dial("/")))
	require.NoError(t, idle.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	close(release)
	require.Equal(t, http.StatusOK, answerOf(t, busy), "a request in progress is not cut")
}
