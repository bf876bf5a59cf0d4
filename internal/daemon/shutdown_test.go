package daemon

import (
	"bufio"
	"context"
	"encoding/pem"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus"
	"github.com/egretmux/egretmux/internal/consensus/core"
	"github.com/egretmux/egretmux/internal/settings"
)

// startIncompleteRequest sends a request without the end of its body and returns
// the connection once the request is in flight.
func (c *testCell) startIncompleteRequest(r *testInstance, name string) net.Conn {
	<-r.relay.Ready()
	c.writeFile("dixie.ini", contractText(1))
	c.mustCLI("contract", "apply", c.path("dixie.ini"))
	conn, err := net.Dial("tcp", c.addresses[name+" callers"])
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "POST /service/lease/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+customerToken+"\r\nContent-Length: 4\r\n\r\nhe")
	require.NoError(c.t, err)
	require.Eventually(c.t, func() bool { return r.entry.InFlight() == 1 }, time.Minute, time.Millisecond)
	return conn
}

// TestFailureDrainsRequests checks that an instance with a failed component, such
// as a disk, answers the requests in flight before it ends.
func TestFailureDrainsRequests(t *testing.T) {
	c := newCell(t, "a1")
	r := c.start("a1", "")
	conn := c.startIncompleteRequest(r, "a1")
	r.fail(errors.New("disk failed"))
	<-r.draining
	_, err := io.WriteString(conn, "ld")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, resp.StatusCode, "%s", body)
	require.True(t, resp.Close, "the connection is not used again")
	require.ErrorContains(t, r.wait(), "disk failed")
	require.NotContains(t, r.log.String(), "requests_cut")
	require.Contains(t, r.log.String(), `"event":"part_failed"`)
}

// Guards against a request that was read and dropped as the listener of the callers closed.
func TestRequestThatArrivesAsTheListenerClosesIsAnswered(t *testing.T) {
	c := newCell(t, "a1")
	r := c.start("a1", "")
	<-r.relay.Ready()
	conn, err := net.Dial("tcp", c.addresses["a1 callers"])
	require.NoError(t, err)
	defer func() { require.NoError(t, conn.Close()) }()
	send := func(text string) {
		_, err := io.WriteString(conn, text)
		require.NoError(t, err)
	}
	const begun, rest = "GET /service/lease/x HTTP/1.1\r\n", "Host: x\r\n\r\n"
	received := bufio.NewReader(conn)
	receive := func() *http.Response {
		resp, err := http.ReadResponse(received, nil)
		require.NoError(t, err, "the connection ended without an answer")
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp
	}
	send(begun + rest)
	require.False(t, receive().Close)
	send(begun)
	r.stop()
	require.Eventually(t, func() bool {
		other, err := net.Dial("tcp", c.addresses["a1 callers"])
		if err != nil {
			return true
		}
		_ = other.Close()
		return false
	}, time.Minute, time.Millisecond)
	send(rest)
	resp := receive()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.True(t, resp.Close)
	require.NoError(t, r.wait())
}

// TestSecondSignalCutsRequests checks that the second signal ends the instance at
// once and that the log has the number of requests cut.
func TestSecondSignalCutsRequests(t *testing.T) {
	c := newCell(t, "a1")
	r := c.start("a1", "")
	conn := c.startIncompleteRequest(r, "a1")
	r.stop()
	r.stopNow()
	require.NoError(t, r.wait())
	_, err := io.ReadAll(conn)
	require.NoError(t, err, "the connection is closed")
	require.Contains(t, r.log.String(), `"event":"requests_cut","in_flight":1,"cause":"second signal"`)
}

// TestShutdownEndsWhileTheReplicaStandsStill guards against an instance that waited for
// its replica without a bound, also after the second signal, when a write to its disk
// hung.
func TestShutdownEndsWhileTheReplicaStandsStill(t *testing.T) {
	c := newCell(t, "a1")
	r := c.start("a1", "")
	<-r.relay.Ready()
	stalled, released := make(chan struct{}), make(chan struct{})
	go func() {
		_ = r.leader.Replica().Do(context.Background(), func(*core.Core) error {
			close(stalled)
			<-released
			return nil
		})
	}()
	<-stalled
	t.Cleanup(func() {
		close(released)
		require.Eventually(t, func() bool { // nothing writes to the data folder any more
			return errors.Is(r.leader.Replica().Do(context.Background(), func(*core.Core) error { return nil }), consensus.ErrStopped)
		}, time.Minute, time.Millisecond)
	})
	r.stop()
	r.stopNow()
	select {
	case err, open := <-r.runError:
		require.True(t, open)
		require.NoError(t, err)
		close(r.runError)
	case <-time.After(2 * shutdownStepTimeout):
		require.FailNow(t, "the instance waits for its replica after the second signal")
	}
}

// TestCommandsOverTLS checks that workers get commands with the secret over TLS, and
// that a worker whose certificate is not trusted gets neither.
func TestCommandsOverTLS(t *testing.T) {
	c := newCell(t)
	authorizations := make(chan string, 1)
	worker := httptest.NewTLSServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { authorizations <- r.Header.Get("Authorization") }))
	defer worker.Close()
	c.writeFile("ca.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: worker.Certificate().Raw})))
	commands := []*egretmuxv1.WorkerCommand{{Worker: "w1", Address: strings.TrimPrefix(worker.URL, "https://")}}

	trusting, err := newCommander(&settings.Settings{WorkerCA: c.path("ca.pem"), WorkerToken: workerToken}, zerolog.Nop())
	require.NoError(t, err)
	trusting.Enqueue(commands)
	require.Equal(t, "Bearer "+workerToken, <-authorizations)

	c.writeCertificate(1)
	log := &safeBuffer{}
	distrusting, err := newCommander(&settings.Settings{WorkerCA: c.path("cert.pem"), WorkerToken: workerToken}, zerolog.New(log))
	require.NoError(t, err)
	distrusting.Enqueue(commands)
	require.Eventually(t, func() bool { return strings.Contains(log.String(), "command_not_delivered") }, time.Minute, time.Millisecond)
	require.Empty(t, authorizations)
}
