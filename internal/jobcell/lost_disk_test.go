package jobcell

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/scheduler"
)

const (
	formationBound = 10 * time.Second
	// redundancyBound is the time from which a majority is up to three live voters: that
	// after which a silent replica counts as lost.
	redundancyBound = replicaLostAfter
	// noLeaderTime outlasts the four announcements for which an instance counts as live, so
	// that only one that announces itself all the time is live after it.
	noLeaderTime = 4500 * time.Millisecond
	checkPeriod  = 10 * time.Millisecond
)

// liveInstance is a whole cell instance with a listener on loopback.
type liveInstance struct {
	t       *testing.T
	address string
	folder  string // empty without a replica
	seeds   []string
	cell    *Cell
	server  *http.Server
	cancel  context.CancelFunc
	done    chan struct{}
	killed  bool

	configure func(*Cell)                     // called before the cell runs; may be nil
	wrap      func(http.Handler) http.Handler // around the handler of calls from other instances; may be nil
}

// startCell starts instances of which the first `disks` have a data folder, and waits
// until each of these is a voter.
func startCell(t *testing.T, instances, disks int) []*liveInstance {
	t.Helper()
	var all []*liveInstance
	var seeds []string
	listeners := make([]net.Listener, instances)
	for n := range instances {
		var err error
		listeners[n], err = net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		i := &liveInstance{t: t, address: listeners[n].Addr().String()}
		if n < disks {
			i.folder = filepath.Join(t.TempDir(), "data")
		}
		all, seeds = append(all, i), append(seeds, i.address)
	}
	for n, i := range all {
		i.seeds = seeds
		i.start(listeners[n], true)
		t.Cleanup(i.kill)
	}
	require.Eventually(t, func() bool { return liveVoters(all) == disks }, formationBound, checkPeriod, "the cell was not formed in time")
	return all
}

func (i *liveInstance) start(listener net.Listener, founding bool) {
	var err error
	i.killed = false
	if i.folder != "" {
		require.NoError(i.t, os.MkdirAll(i.folder, 0o700))
	}
	i.cell, err = New(Config{
		Name: i.address, Zone: i.address, Address: i.address, Seeds: i.seeds, Founding: founding, ToleratedLosses: 1, DataFolder: i.folder,
		Scheduler: scheduler.Config{WorkerClient: newFakeWorkers(), Lease: time.Second, FarFactor: 1, StopTimeout: time.Second, StatusKeep: time.Minute},
		Logger:    zerolog.New(zerolog.NewTestWriter(i.t)).With().Str("instance", i.address).Logger(),
	})
	require.NoError(i.t, err)
	if i.configure != nil {
		i.configure(i.cell)
	}
	handler := i.cell.Handler()
	if i.wrap != nil {
		handler = i.wrap(handler)
	}
	i.server = &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, Protocols: new(http.Protocols)}
	i.server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = i.server.Serve(listener) }() // ends with kill
	var ctx context.Context
	ctx, i.cancel = context.WithCancel(context.Background())
	i.done = make(chan struct{})
	go func() {
		defer close(i.done)
		i.cell.Run(ctx)
	}()
}

// kill stops the instance without a hand-over of its leadership.
func (i *liveInstance) kill() {
	if i.killed {
		return
	}
	i.killed = true
	_ = i.server.Close()
	i.cancel()
	<-i.done
	require.NoError(i.t, i.cell.Close())
}

// restart starts the instance again at the same address.
func (i *liveInstance) restart() {
	listener, err := net.Listen("tcp", i.address)
	require.NoError(i.t, err)
	i.start(listener, false)
}

// loseDisk kills the instance and starts it again at once with an empty data folder.
func (i *liveInstance) loseDisk() {
	i.kill()
	require.NoError(i.t, os.RemoveAll(i.folder))
	i.restart()
}

// leaderOf returns the instance that leads, or nil.
func leaderOf(instances []*liveInstance) *liveInstance {
	for _, i := range instances {
		if i.cell.scheduler.Leads() {
			return i
		}
	}
	return nil
}

// liveVoters returns the number of voters in the committed membership of the leader, or
// zero if one of them is not the replica of a running instance that holds the leader's
// committed log.
func liveVoters(instances []*liveInstance) int {
	leader := leaderOf(instances)
	if leader == nil {
		return 0
	}
	status, _ := leader.cell.scheduler.Node().Status()
	if !status.MembershipCommitted {
		return 0
	}
	running := make(map[uint64]bool)
	for _, i := range instances {
		if i.folder != "" {
			running[i.cell.voter().Replica().GetId()] = true
		}
	}
	voters := 0
	for _, r := range status.Membership.GetReplicas() {
		if r.GetLearner() || !running[r.GetId()] || status.Match[r.GetId()] < status.MembershipIndex {
			return 0
		}
		voters++
	}
	return voters
}

// Guards against the incident of 2026-12-04: a leader that lost its disk and started
// again while no other could be elected was told that it still led, and was never added as
// a new replica. The next lost disk left the cell without a majority for ever.
func TestCellRegainsItsVotersAfterEachLeaderInTurnLosesItsDisk(t *testing.T) {
	const disks = 3
	instances := startCell(t, disks+1, disks)
	withoutDisk := instances[disks]
	for round := range 3 {
		source := fmt.Sprintf("configuration %d", round)
		require.NoError(t, withoutDisk.cell.PutCatalogue(t.Context(), &egretmuxv1.Catalogue{Version: uint64(round + 1), Source: []byte(source)}), "round %d", round)
		leader := leaderOf(instances)
		require.NotNil(t, leader, "round %d", round)
		require.Eventually(t, func() bool { return withoutDisk.cell.leaderAddress() == leader.address }, redundancyBound, checkPeriod, "round %d", round)

		down := instances[0]
		if down == leader {
			down = instances[1]
		}
		down.kill()
		leader.loseDisk()
		t.Logf("round %d: the instance without a disk names %q when the leader %q is back", round, withoutDisk.cell.leaderAddress(), leader.address)
		time.Sleep(noLeaderTime)
		require.Nil(t, leaderOf(instances), "round %d: a leader was elected without a majority", round)

		electable := time.Now()
		down.restart()
		require.Eventually(t, func() bool { return liveVoters(instances) == disks }, redundancyBound, checkPeriod,
			"round %d: the membership did not regain %d live voters", round, disks)
		t.Logf("round %d: %d live voters %v after a leader could be elected", round, disks, time.Since(electable))
		read, err := withoutDisk.cell.Catalogue(t.Context())
		require.NoError(t, err, "round %d", round)
		require.Equal(t, source, string(read), "round %d", round)
	}
}

// Guards against a cell that is lost for good: a machine was replaced by one at another address,
// and the next was lost once the successor had had its time to catch up.
func TestCellHasLiveVotersOnlyOnceTheSuccessorOfAMachineHasCaughtUp(t *testing.T) {
	const (
		disks       = 3
		catchUpTime = 4 * time.Second // time from the start of a successor after which another machine may be lost
		startDelay  = time.Second     // between the loss of a machine and the start of its successor
	)
	replacements := map[string]func(t *testing.T, instances []*liveInstance, lost int){
		"another address": func(t *testing.T, instances []*liveInstance, lost int) {
			instances[lost].kill()
			time.Sleep(startDelay)
			instances[lost] = startSuccessor(t, instances)
		},
		"the same address": func(_ *testing.T, instances []*liveInstance, lost int) { instances[lost].loseDisk() },
	}
	for _, role := range []string{"follower", "leader"} {
		for name, replace := range replacements {
			t.Run(role+" at "+name, func(t *testing.T) {
				instances := startCell(t, disks, disks)
				for round := range 3 {
					leader := leaderOf(instances)
					require.NotNil(t, leader, "round %d", round)
					replace(t, instances, slices.IndexFunc(instances, func(i *liveInstance) bool { return (i == leader) == (role == "leader") }))
					started := time.Now()
					require.Eventually(t, func() bool { return liveVoters(instances) == disks }, catchUpTime, checkPeriod,
						"round %d: a voter that is gone still counts", round)
					t.Logf("round %d: %d live voters %v after the start of the successor", round, disks, time.Since(started))
				}
			})
		}
	}
}

// startSuccessor starts an instance with an empty disk at a new address. Its seeds are the
// running ones of the given instances.
func startSuccessor(t *testing.T, others []*liveInstance) *liveInstance {
	t.Helper()
	var seeds []string
	for _, other := range others {
		if !other.killed {
			seeds = append(seeds, other.address)
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	i := &liveInstance{t: t, address: listener.Addr().String(), folder: filepath.Join(t.TempDir(), "data"), seeds: seeds}
	i.start(listener, false)
	t.Cleanup(i.kill)
	return i
}
