package jobcell

import (
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a cell that was formed with fewer replicas than it needs, as some instances started
// late, and keeps fewer once they are there: the loss of one disk would lose what is stored.
func TestCellFormedWithFewerReplicasHasEnoughOnceOthersAreThere(t *testing.T) {
	const caughtUp = 4 * time.Second // from the start of an instance until another disk may be lost
	for _, early := range []int{1} {
		var all []*liveInstance
		var seeds []string
		var listeners []net.Listener
		for range 4 {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			i := &liveInstance{t: t, address: listener.Addr().String(), folder: filepath.Join(t.TempDir(), "data"), killed: true}
			all, seeds, listeners = append(all, i), append(seeds, i.address), append(listeners, listener)
			t.Cleanup(i.kill)
		}
		for _, i := range all {
			i.seeds = seeds[:3]
		}
		for n := range early {
			all[n].start(listeners[n], true)
		}
		require.Eventually(t, func() bool { return leaderOf(all[:early]) != nil }, formationBound, checkPeriod)
		for n := early; n < 4; n++ {
			all[n].start(listeners[n], true)
		}
		time.Sleep(caughtUp)
		leader := leaderOf(all)
		require.NotNil(t, leader)
		require.GreaterOrEqual(t, liveVoters(all), 3, "%d started early", early)
		for _, i := range all {
			i.kill()
		}
		require.NoError(t, os.RemoveAll(leader.folder))
		for _, i := range all {
			i.restart()
		}
		require.Eventually(t, func() bool { return liveVoters(all) >= 3 }, oldSeedsBound, checkPeriod)
	}
}
