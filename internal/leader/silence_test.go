package leader_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/route"
)

// silenceLimit is the time within which a silent endpoint gets no new work.
const silenceLimit = 2 * time.Second

// sends reports whether the instance would send a request to an endpoint now.
func (p *process) sends(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	slot, err := p.routes.Acquire(ctx, route.Request{Service: "lease", Deadline: time.Now().Add(time.Millisecond)})
	if err != nil {
		return false
	}
	slot.Release(route.Neutral)
	return true
}

// runSilence starts a cluster with one endpoint attached to a2, has it fall
// silent in the given way, and checks every instance but the excepted one.
func runSilence(t *testing.T, except int, silence func(c *cluster, stop context.CancelFunc)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, 1)
		announcing, stop := context.WithCancel(ctx)
		go c.announceEndpoint(announcing, "e1", 1)
		time.Sleep(5 * time.Second)
		for _, p := range c.entries {
			require.True(t, p.sends(ctx), instanceName(p.id))
		}
		silence(c, stop)
		time.Sleep(silenceLimit)
		for _, p := range c.entries {
			if p.id != except {
				require.False(t, p.sends(ctx), instanceName(p.id))
			}
		}
		stop()
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestSilentEndpointGetsNoWork stops the announcements of an endpoint.
func TestSilentEndpointGetsNoWork(t *testing.T) {
	runSilence(t, -1, func(_ *cluster, stop context.CancelFunc) { stop() })
}

// TestEndpointOfIsolatedInstanceGetsNoWork isolates the instance that an
// endpoint announces itself through. The isolated one stops with its lease.
func TestEndpointOfIsolatedInstanceGetsNoWork(t *testing.T) {
	runSilence(t, 1, func(c *cluster, _ context.CancelFunc) { c.do(step{kind: "isolate", target: 1}, 0) })
}

// TestEndpointOfEndedProcessGetsNoWork ends the process that an endpoint
// announces itself through, while the endpoint falls silent.
func TestEndpointOfEndedProcessGetsNoWork(t *testing.T) {
	runSilence(t, 1, func(c *cluster, stop context.CancelFunc) {
		stop()
		c.start(1)
	})
}

// TestSilenceWhileReportsAreLost has an endpoint fall silent while the reports
// of the instance that hears it are lost: the next complete one tells it.
func TestSilenceWhileReportsAreLost(t *testing.T) {
	runSilence(t, -1, func(c *cluster, stop context.CancelFunc) {
		stop()
		time.Sleep(time.Second)
		c.do(step{kind: "isolate", target: 1}, 0)
		time.Sleep(time.Second)
		c.do(step{kind: "heal"}, 0)
		time.Sleep(4 * time.Second)
	})
}

// TestEndpointHeardByEndedProcess has an endpoint move away from a process that
// ends before it has noticed: what it heard must not count when the endpoint
// falls silent.
func TestEndpointHeardByEndedProcess(t *testing.T) {
	runSilence(t, -1, func(c *cluster, stop context.CancelFunc) {
		moved, stopMoved := context.WithCancel(c.ctx)
		go c.announceEndpoint(moved, "e1", 3)
		stop()
		time.Sleep(200 * time.Millisecond)
		c.start(1)
		time.Sleep(5 * time.Second)
		stopMoved()
	})
}

// TestEndpointLostWithItsInstance loses an endpoint, the instance that hears it
// and the leader together. The next leader never hears of the endpoint.
func TestEndpointLostWithItsInstance(t *testing.T) {
	runSilence(t, 1, func(c *cluster, stop context.CancelFunc) {
		stop()
		c.entries[1].cancel()
		c.do(step{kind: "isolate", target: 1}, 0)
		c.elect(2)
		c.depose()
		time.Sleep(2 * time.Second)
	})
}

// TestEndpointMovesToAnotherInstance has an endpoint announce itself through
// another instance; the silence that the first one reports must not count.
func TestEndpointMovesToAnotherInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, 1)
		first, stop := context.WithCancel(ctx)
		go c.announceEndpoint(first, "e1", 1)
		time.Sleep(5 * time.Second)
		stop()
		go c.announceEndpoint(ctx, "e1", 3)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			for _, p := range c.entries {
				require.True(t, p.sends(ctx), instanceName(p.id))
			}
		}
		cancel()
		time.Sleep(time.Minute)
	})
}
