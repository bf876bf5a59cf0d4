package peer_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/peer"
	"github.com/egretmux/egretmux/internal/standin"
)

// Guards against calls that go on over an open connection that has fallen silent: no read of the configuration was
// answered for as long as the connection stayed open.
func TestCallsGoOverANewConnectionOnceTheOpenOneIsSilent(t *testing.T) {
	const calm = 4 * time.Second // from a fault until calls must be answered again
	dialer, forwarder, address := dialForwarded(t)
	answers := func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), calm/8)
		defer cancel()
		return answered(ctx, dialer.Clients(address)) == nil
	}
	require.Eventually(t, answers, calm, 10*time.Millisecond)
	require.Positive(t, forwarder.Silence())
	require.Eventually(t, answers, calm, 10*time.Millisecond)
}

// Guards against CONFIG: calls to the leader were repeated over a silent connection until pings had found it to be so,
// 2 s later.
func TestRepeatedCallGoesOverANewConnection(t *testing.T) {
	const tryTimeout = 500 * time.Millisecond
	dialer, forwarder, address := dialForwarded(t)
	client := peer.NewLeaderClient(dialer, []string{address}, func() string { return address })
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 3*tryTimeout)
		defer cancel()
		return client.Call(ctx, func(ctx context.Context, c *peer.Clients) error {
			ctx, cancel := context.WithTimeout(ctx, tryTimeout)
			defer cancel()
			return answered(ctx, c)
		})
	}
	require.NoError(t, call())
	require.Positive(t, forwarder.Silence())
	require.NoError(t, call())
}

// answered returns nil if an instance answers a call.
func answered(ctx context.Context, c *peer.Clients) error {
	_, err := c.Jobs.ShowWave(ctx, connect.NewRequest(&egretmuxv1.ShowWaveRequest{}))
	if connect.CodeOf(err) == connect.CodeUnimplemented {
		return nil
	}
	return err
}

// dialForwarded returns a dialer, and the address of an instance behind a link with faults.
func dialForwarded(t *testing.T) (*peer.Dialer, *standin.Forwarder, string) {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mux := http.NewServeMux()
	mux.Handle(egretmuxv1connect.NewJobCellServiceHandler(egretmuxv1connect.UnimplementedJobCellServiceHandler{}))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, Protocols: new(http.Protocols)}
	server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = server.Serve(target) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	public, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := public.Addr().String()
	require.NoError(t, public.Close())
	forwarder := standin.NewForwarder(target.Addr().String())
	go func() { _ = forwarder.Run(t.Context(), address) }() // ends with the test

	dialer, err := peer.NewDialer("key", "")
	require.NoError(t, err)
	return dialer, forwarder, address
}

// Guards against calls that wait for an instance that does not answer, since the replica of this instance still takes it
// for the leader, while another one leads.
func TestInstanceThatDoesNotAnswerIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const silent, leading = "127.0.0.1:1", "127.0.0.1:2"
		dialer, err := peer.NewDialer("key", "")
		require.NoError(t, err)
		client := peer.NewLeaderClient(dialer, []string{silent, leading}, func() string { return silent })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var tried []string
		require.NoError(t, client.Call(ctx, func(_ context.Context, c *peer.Clients) error {
			tried = append(tried, c.Address)
			if c.Address == silent {
				return context.DeadlineExceeded
			}
			return nil
		}), "tried %v", tried)
		require.Equal(t, []string{silent, leading}, tried)
	})
}
