package jobcell

import (
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func readiness(i *Instance) int {
	w := httptest.NewRecorder()
	i.ServeReady(w, httptest.NewRequest(http.MethodGet, "/ready", nil))
	return w.Code
}

// Guards against a load balancer that sends clients to an instance whose listener for them is not open yet.
func TestInstanceWhoseAddressForCallersIsInUseIsNotReady(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer held.Close()
	i := startInstanceWith(t, func(i *Instance) { i.Listen(CallersListener, held.Addr().String(), http.NotFoundHandler()) }, http.NotFoundHandler(), nil)
	require.True(t, i.cell.Ready())
	require.Equal(t, http.StatusServiceUnavailable, readiness(i.Instance))
	require.NoError(t, held.Close())
	require.Eventually(t, func() bool { return readiness(i.Instance) == http.StatusOK }, 2*time.Second, 10*time.Millisecond)
}

// Guards against an instance that runs without a listener although its address can never be used.
func TestInstanceWithAnAddressThatIsNoneEnds(t *testing.T) {
	c, err := New(Config{Address: freeAddress(t)})
	require.NoError(t, err)
	i := NewInstance(c, InstanceConfig{})
	i.Listen("control", "127.0.0.1:none", http.NotFoundHandler())
	require.ErrorContains(t, i.Run(t.Context()), "control listener")
}

// failingListener is a listener that the system refuses further connections at, as without memory for them.
type failingListener struct{ net.Listener }

func (l failingListener) Accept() (net.Conn, error) {
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.ENOBUFS}
}

// Guards against an instance that ended since the system could not accept connections at one listener for a moment.
func TestListenerThatFailsForAMomentDoesNotEndAnInstance(t *testing.T) {
	address := freeAddress(t)
	i := startInstanceWith(t, func(*Instance) {}, http.NotFoundHandler(), nil)
	s := &server{name: "control", address: address, http: &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: readHeaderTimeout}}
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	i.serve(t.Context(), s, failingListener{listener})
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + address)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return true
	}, 2*time.Second, 10*time.Millisecond)
	select {
	case <-i.ended:
		require.FailNow(t, "the instance has ended")
	default:
	}
}
