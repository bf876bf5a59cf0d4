package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a life that is ended, although it runs tasks, by a late heartbeat of the former life: that one was retired as
// silent, so that the log does not have it as over, had the later birth, and the present life leaves the probe unanswered.
func TestLateHeartbeatOfALifeRetiredAsSilentDoesNotEndTheNextOne(t *testing.T) {
	p := newCell(t, 1, 1)
	former := p.slots[0]
	p.run(2 * time.Second)
	former.silent = cellFault{p.clock + time.Hour, anyCall}
	p.run(silentLimit + 2*cellCleanupPeriod) // it is retired
	require.False(t, p.leader.core.Knows(former.Target))
	late := former.sequence + 1
	former.over = true
	next := p.newLife(former.Worker, former.Born-5000, 1)
	p.slots[0] = next
	next.slowness = 1
	p.run(3 * time.Second)
	require.True(t, p.leader.core.Knows(next.Target))
	p.submit(4*testLease, oneStep(tasks(4, 1)))
	p.run(2 * time.Second)
	require.Len(t, next.runs, 4)
	p.slots = append(p.slots, p.newLife("w1", 1_000_000, 1)) // has room
	p.run(2 * time.Second)
	former.sequence = late
	next.deaf = cellFault{p.clock + time.Second, anyCall}
	former.sendBeat(100 * time.Millisecond)
	p.run(2 * time.Second)
	p.run(4 * testLease) // the ledger fails if a task runs twice
	require.True(t, p.leader.core.Knows(next.Target), "the life that runs")
}
