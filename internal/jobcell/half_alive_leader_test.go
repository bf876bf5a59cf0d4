package jobcell

import (
	"context"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/core"
)

// configurationBound is contact_ms of the smaller deployments, after which a read must be answered.
const configurationBound = 3 * time.Second

// heldCalls holds calls of clients and operators to an instance. What its log and the discovery of the leader need
// goes on.
type heldCalls struct {
	http.Handler
	held atomic.Bool
}

func (h *heldCalls) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, method, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if h.held.Load() && method != "AnnounceMember" && method != "AnnounceLeader" && method != "StepStream" && method != "Step" && method != "Drive" {
		<-r.Context().Done()
		return
	}
	h.Handler.ServeHTTP(w, r)
}

// startHeldCell starts a cell of three replicas and one instance without, whose calls can be held.
func startHeldCell(t *testing.T) (instances []*liveInstance, calls map[*liveInstance]*heldCalls) {
	t.Helper()
	calls = make(map[*liveInstance]*heldCalls)
	var seeds []string
	listeners := make([]net.Listener, 4)
	for n := range listeners {
		var err error
		listeners[n], err = net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		i := &liveInstance{t: t, address: listeners[n].Addr().String()}
		if n < 3 {
			i.folder = filepath.Join(t.TempDir(), "data")
		}
		held := &heldCalls{}
		i.wrap = func(h http.Handler) http.Handler { held.Handler = h; return held }
		instances, seeds, calls[i] = append(instances, i), append(seeds, i.address), held
	}
	for n, i := range instances {
		i.seeds = seeds
		i.start(listeners[n], true)
		t.Cleanup(i.kill)
	}
	require.Eventually(t, func() bool { return liveVoters(instances) == 3 }, formationBound, checkPeriod, "the cell was not formed in time")
	require.NoError(t, instances[3].cell.PutCatalogue(t.Context(), &egretmuxv1.Catalogue{Version: 1, Source: []byte("configuration")}))
	return instances, calls
}

func requireReadable(t *testing.T, instances []*liveInstance, deadline time.Time) {
	t.Helper()
	for _, i := range instances {
		require.Eventually(t, func() bool {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			read, err := i.cell.Catalogue(ctx)
			return err == nil && string(read) == "configuration"
		}, time.Until(deadline), checkPeriod, "instance %s", i.address)
	}
}

// Guards against CONFIG and GANG: replicas heard the leader, so that none was elected, and nobody got an answer from it.
func TestLeaderThatAnswersNoCallIsReplaced(t *testing.T) {
	instances, calls := startHeldCell(t)
	leader := leaderOf(instances)
	require.NotNil(t, leader)
	calls[leader].held.Store(true)
	deadline := time.Now().Add(configurationBound)
	require.Eventually(t, func() bool {
		now := leaderOf(instances)
		return now != nil && now != leader
	}, configurationBound, checkPeriod, "nobody else leads")
	requireReadable(t, instances, deadline)
	require.NoError(t, instances[3].cell.PutCatalogue(contextWithTimeout(t, time.Until(deadline)), &egretmuxv1.Catalogue{Version: 2, Source: []byte("next")}))
}

// Guards against the same where the leader's planner stands still, whose lock starts and stops of gangs wait for.
func TestLeaderWhosePlannerStandsStillIsReplaced(t *testing.T) {
	instances, _ := startHeldCell(t)
	leader := leaderOf(instances)
	require.NotNil(t, leader)
	leader.cell.advice.mu.Lock() // the planner asks for the number of callers under its own lock
	defer leader.cell.advice.mu.Unlock()
	require.Eventually(t, func() bool {
		now := leaderOf(instances)
		return now != nil && now != leader
	}, configurationBound, checkPeriod, "nobody else leads")
}

// Guards against CONFIG: reads of the configuration waited for the planner, which they don't need.
func TestConfigurationCanBeReadWhileThePlannerStandsStill(t *testing.T) {
	instances, _ := startHeldCell(t)
	leader := leaderOf(instances)
	require.NotNil(t, leader)
	leader.cell.advice.mu.Lock()
	defer leader.cell.advice.mu.Unlock()
	time.Sleep(2 * tickInterval) // until the planner waits
	for range 5 {
		_, err := leader.cell.Catalogue(contextWithTimeout(t, 300*time.Millisecond))
		require.NoError(t, err)
	}
}

// Guards against leadership that goes round as all instances are short of processor time.
func TestLeaderIsNotReplacedAgainSoonAfterAHandOver(t *testing.T) {
	probe, now := &leaderProbe{}, time.Now()
	failed := context.DeadlineExceeded
	hands := func(at time.Duration, err error) bool { return probe.update(err, now.Add(at), now.Add(at)) }
	require.False(t, hands(0, failed))
	require.False(t, hands(time.Second, failed))
	require.False(t, hands(2*time.Second, nil), "one answer suffices")
	require.False(t, hands(3*time.Second, failed))
	require.False(t, hands(3500*time.Millisecond, failed))
	require.False(t, hands(4*time.Second, failed))
	require.True(t, hands(5*time.Second, failed))
	for at := 6 * time.Second; at < 5*time.Second+handOverPause; at += time.Second {
		require.False(t, hands(at, failed))
	}
	require.True(t, hands(5*time.Second+handOverPause, failed))
}

// Guards against a hand-over because the other replicas are slow (soak 58301: it went to one behind a thin link, nobody led
// for 2.6 s, and a gang that was being stopped was not).
func TestLeaderThatCannotBeConfirmedAnswersProbes(t *testing.T) {
	c := newLoneLeader(t)
	require.NoError(t, c.probeLeader(t.Context()))
	stalled, released := make(chan struct{}), make(chan struct{})
	go func() {
		_ = c.scheduler.Node().Do(context.Background(), func(*core.Core) error {
			close(stalled)
			<-released
			return nil
		})
	}()
	<-stalled
	release := sync.OnceFunc(func() { close(released) })
	defer release()
	require.Eventually(t, func() bool { return !c.scheduler.Leads() }, configurationBound, checkPeriod, "its confirmation does not expire")
	require.NoError(t, c.probeLeader(t.Context()), "it answers that it cannot lead now")
	release()
	require.Error(t, newTestCell(t, unreachable).probeLeader(t.Context()), "nobody answers")
}
