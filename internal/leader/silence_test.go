package leader_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/route"
)

// silenceLimit is the time after which a silent endpoint gets no new work.
const silenceLimit = 2 * time.Second

// wouldSend reports whether the instance would send a request to an endpoint now.
func (p *process) wouldSend(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	slot, err := p.routes.Acquire(ctx, route.Request{Service: "lease", Deadline: time.Now().Add(time.Millisecond)})
	if err != nil {
		return false
	}
	slot.Release(route.Neutral)
	return true
}

// runSilence starts a cluster with one endpoint that announces itself through a2,
// has it fall silent in the given way, and checks that no instance but the exempt
// one sends it work.
func runSilence(t *testing.T, exempt int, silence func(c *cluster, stop context.CancelFunc)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, 1)
		announcing, stop := context.WithCancel(ctx)
		go c.announceEndpoint(announcing, "e1", 1)
		time.Sleep(5 * time.Second)
		for _, p := range c.processes {
			require.True(t, p.wouldSend(ctx), instanceName(p.id))
		}
		silence(c, stop)
		time.Sleep(silenceLimit)
		for _, p := range c.processes {
			if p.id != exempt {
				require.False(t, p.wouldSend(ctx), instanceName(p.id))
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

// TestEndpointOfIsolatedInstanceGetsNoWork isolates the instance that an endpoint
// announces itself through. The isolated instance itself is exempt: it serves
// until its lease ends.
func TestEndpointOfIsolatedInstanceGetsNoWork(t *testing.T) {
	runSilence(t, 1, func(c *cluster, _ context.CancelFunc) { c.execute(step{kind: "isolate", target: 1}, 0) })
}

// TestEndpointOfEndedProcessGetsNoWork ends the process that an endpoint
// announces itself through, while the endpoint falls silent.
func TestEndpointOfEndedProcessGetsNoWork(t *testing.T) {
	runSilence(t, 1, func(c *cluster, stop context.CancelFunc) {
		stop()
		c.startProcess(1)
	})
}

// TestSilentEndpointGetsNoWorkAfterLostReports has an endpoint fall silent while
// the reports of the instance that hears it are lost: the instance's next full
// report must show the silence.
func TestSilentEndpointGetsNoWorkAfterLostReports(t *testing.T) {
	runSilence(t, -1, func(c *cluster, stop context.CancelFunc) {
		stop()
		time.Sleep(time.Second)
		c.execute(step{kind: "isolate", target: 1}, 0)
		time.Sleep(time.Second)
		c.execute(step{kind: "heal"}, 0)
		time.Sleep(4 * time.Second)
	})
}

// TestEndpointOfEndedProcessMovesAndFallsSilent has an endpoint move away from a
// process that ends before it has noticed: the announcements that the ended process
// heard must not count when the endpoint falls silent.
func TestEndpointOfEndedProcessMovesAndFallsSilent(t *testing.T) {
	runSilence(t, -1, func(c *cluster, stop context.CancelFunc) {
		moved, stopMoved := context.WithCancel(c.ctx)
		go c.announceEndpoint(moved, "e1", 3)
		stop()
		time.Sleep(200 * time.Millisecond)
		c.startProcess(1)
		time.Sleep(5 * time.Second)
		stopMoved()
	})
}

// TestEndpointLostWithInstanceAndLeaderGetsNoWork loses an endpoint, the instance
// that hears it and the leader together. The next leader never receives a report
// of the endpoint.
func TestEndpointLostWithInstanceAndLeaderGetsNoWork(t *testing.T) {
	runSilence(t, 1, func(c *cluster, stop context.CancelFunc) {
		stop()
		c.processes[1].cancel()
		c.execute(step{kind: "isolate", target: 1}, 0)
		c.elect(2)
		c.notifyDeposed()
		time.Sleep(2 * time.Second)
	})
}

// TestEndpointKeepsWorkWhenMovingToAnotherInstance has an endpoint announce itself
// through another instance: the silence reported by the first instance must not
// count.
func TestEndpointKeepsWorkWhenMovingToAnotherInstance(t *testing.T) {
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
			for _, p := range c.processes {
				require.True(t, p.wouldSend(ctx), instanceName(p.id))
			}
		}
		cancel()
		time.Sleep(time.Minute)
	})
}
