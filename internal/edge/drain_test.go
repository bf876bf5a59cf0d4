package edge

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const drainTimeout = 10 * time.Second // for a drain on a busy machine

// drained is a server whose connections are drained.
type drained struct {
	t *testing.T
	*Connections
	address string
}

func serveDrained(t *testing.T, handler http.HandlerFunc) *drained {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &drained{t: t, Connections: NewConnections(), address: l.Addr().String()}
	server := &http.Server{Handler: handler, ConnState: d.TrackState, ReadHeaderTimeout: drainTimeout, IdleTimeout: time.Hour}
	ended := make(chan struct{})
	tracked := d.Listen(l)
	go func() {
		defer close(ended)
		assert.ErrorIs(t, server.Serve(tracked), http.ErrServerClosed)
	}()
	t.Cleanup(func() {
		require.NoError(t, server.Close())
		<-ended
	})
	return d
}

func (d *drained) dial() net.Conn {
	d.t.Helper()
	conn, err := net.Dial("tcp", d.address)
	require.NoError(d.t, err)
	d.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func (d *drained) send(conn net.Conn, text string) {
	d.t.Helper()
	_, err := io.WriteString(conn, text)
	require.NoError(d.t, err)
}

func (d *drained) receive(conn net.Conn) {
	d.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(d.t, err)
	require.NoError(d.t, resp.Body.Close())
}

func (d *drained) drainWithin(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(d.t.Context(), limit)
	defer cancel()
	return d.Drain(ctx)
}

const wholeRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against a shutdown that waits for connections without a request until their idle timeout.
func TestConnectionsWithoutARequestDoNotDelayADrain(t *testing.T) {
	d := serveDrained(t, func(http.ResponseWriter, *http.Request) {})
	idle, unused := d.dial(), d.dial()
	d.send(idle, wholeRequest)
	d.receive(idle)
	require.NoError(t, d.drainWithin(drainTimeout))
	for _, conn := range []net.Conn{idle, unused} {
		_, err := conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	}
	_, err := net.Dial("tcp", d.address)
	require.Error(t, err)
}

// A request in flight is waited for; its connection ends although the answer does not say so.
func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	arrived, answer := make(chan struct{}), make(chan struct{})
	d := serveDrained(t, func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-answer
	})
	conn := d.dial()
	d.send(conn, wholeRequest)
	<-arrived
	require.ErrorIs(t, d.drainWithin(10*time.Millisecond), context.DeadlineExceeded)
	close(answer)
	d.receive(conn)
	require.NoError(t, d.drainWithin(drainTimeout))
}

// Guards against an answer that was dropped since the deadline that ends idle connections was still set
// while the body of the request arrived.
func TestRequestThatArrivesInPartsDuringADrainIsAnswered(t *testing.T) {
	d := serveDrained(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		body, err := io.ReadAll(r.Body)
		assert.NoError(t, err)
		assert.Equal(t, "body", string(body))
	})
	conn := d.dial()
	require.ErrorIs(t, d.drainWithin(2*acceptTime), context.DeadlineExceeded, "a new connection has some time")
	for _, part := range []string{"PO", "ST / HTTP/1.1\r\n", "Host: h\r\nContent-Length: 4\r\n\r\n", "bo", "dy"} {
		d.send(conn, part)
		time.Sleep(firstRequestTime / 2)
	}
	d.receive(conn)
	require.NoError(t, d.drainWithin(drainTimeout))
}

// Guards against a request whose context ended as the listener closed, since it had arrived together with
// the one before it and its connection counted as idle.
func TestRequestThatArrivedWithTheOneBeforeIsNotEndedByADrain(t *testing.T) {
	arrived, answer := make(chan struct{}, 2), make(chan struct{}, 2)
	d := serveDrained(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-answer
		if r.Context().Err() != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	conn := d.dial()
	d.send(conn, wholeRequest+wholeRequest)
	answers := bufio.NewReader(conn)
	receive := func() int {
		resp, err := http.ReadResponse(answers, nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	<-arrived
	answer <- struct{}{}
	require.Equal(t, http.StatusOK, receive())
	<-arrived
	require.ErrorIs(t, d.drainWithin(100*time.Millisecond), context.DeadlineExceeded)
	answer <- struct{}{}
	require.Equal(t, http.StatusOK, receive())
	require.NoError(t, d.drainWithin(drainTimeout))
}
