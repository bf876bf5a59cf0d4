package jobcell

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/scheduler"
)

func newTestCell(t *testing.T, address string) *Cell {
	t.Helper()
	c, err := New(Config{Address: address, Zone: "z0", Seeds: []string{address}, Founding: true, ToleratedLosses: 1, Scheduler: scheduler.Config{}, Logger: zerolog.Nop()})
	require.NoError(t, err)
	return c
}

func newMember(address, zone string, replica uint64) *egretmuxv1.Member {
	return &egretmuxv1.Member{Address: address, Zone: zone, Replica: replica, Empty: true, Founding: true}
}

func addresses(m *egretmuxv1.Membership) []string {
	var out []string
	for _, r := range m.GetReplicas() {
		out = append(out, r.GetAddress())
	}
	return out
}

// newMembership builds a membership from pairs of an address and a replica id.
func newMembership(pairs ...any) *egretmuxv1.Membership {
	m := &egretmuxv1.Membership{}
	for i := 0; i < len(pairs); i += 2 {
		m.Replicas = append(m.Replicas, &egretmuxv1.Replica{Instance: pairs[i].(string), Address: pairs[i].(string), Id: uint64(pairs[i+1].(int))})
	}
	return m
}

func TestFirstReplicasAreSpreadOverZones(t *testing.T) {
	c := newTestCell(t, "seed")
	now := time.Now()
	for _, m := range []*egretmuxv1.Member{newMember("a1", "a", 1), newMember("a2", "a", 2), newMember("b1", "b", 3), newMember("c1", "c", 4), newMember("x", "d", 0)} {
		meet(c, m, now)
	}
	require.ElementsMatch(t, []string{"a1", "b1", "c1"}, addresses(c.chooseInitialMembership()))
}

func TestNoReplicaIsChosenThatHoldsALogOrRestarted(t *testing.T) {
	c := newTestCell(t, "seed")
	now := time.Now()
	withLog, restarted := newMember("a", "a", 1), newMember("b", "b", 2)
	withLog.Empty, restarted.Founding = false, false
	meet(c, withLog, now)
	meet(c, restarted, now)
	require.Nil(t, c.chooseInitialMembership())
}

func TestReplicaWithAnEmptyDiskTakesItsOldPlace(t *testing.T) {
	c := newTestCell(t, "lead")
	now := time.Now()
	current := newMembership("lead", 1, "b", 2, "c", 3)
	for _, m := range []*egretmuxv1.Member{newMember("b", "b", 22), newMember("c", "c", 3)} {
		meet(c, m, now)
	}
	next, reason := c.nextMembership(current, now, now)
	require.Equal(t, "replica-returned", reason)
	require.Len(t, next.GetReplicas(), 4)
	require.True(t, next.GetReplicas()[3].GetLearner())
	next.Replicas[3].Learner = false
	next, _ = c.nextMembership(next, now, now)
	require.Len(t, next.GetReplicas(), 3, "the former replica is removed")
}

func TestSpareReplacesAReplicaOnlyAfterALongSilence(t *testing.T) {
	c := newTestCell(t, "lead")
	began := time.Now()
	current := newMembership("lead", 1, "b", 2, "c", 3)
	nextAt := func(now time.Time) (*egretmuxv1.Membership, string) {
		meet(c, newMember("b", "b", 2), now)
		meet(c, newMember("spare", "d", 9), now)
		return c.nextMembership(current, now, began)
	}
	next, _ := nextAt(began.Add(replicaLostAfter - time.Second))
	require.Nil(t, next)
	next, reason := nextAt(began.Add(replicaLostAfter + time.Second))
	require.Equal(t, "replica-missing", reason)
	require.Equal(t, "spare", next.GetReplicas()[3].GetAddress())
	next.Replicas[3].Learner = false
	current = next
	next, reason = nextAt(began.Add(replicaLostAfter + time.Second))
	require.Equal(t, "replica-lost", reason)
	require.Equal(t, []string{"lead", "b", "spare"}, addresses(next))
}
