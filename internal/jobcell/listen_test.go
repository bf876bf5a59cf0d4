package jobcell

import (
	"net"
	"net/http"
	"net/http/httptest"
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
