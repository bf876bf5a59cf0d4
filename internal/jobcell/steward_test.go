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

func member(address, zone string, replica uint64) *egretmuxv1.Member {
	return &egretmuxv1.Member{Address: address, Zone: zone, Replica: replica, Empty: true, Founding: true}
}

func addresses(m *egretmuxv1.Membership) []string {
	var out []string
	for _, r := range m.GetReplicas() {
		out = append(out, r.GetAddress())
	}
	return out
}

func replicas(pairs ...any) *egretmuxv1.Membership {
	m := &egretmuxv1.Membership{}
	for i := 0; i < len(pairs); i += 2 {
		m.Replicas = append(m.Replicas, &egretmuxv1.Replica{Instance: pairs[i].(string), Address: pairs[i].(string), Id: uint64(pairs[i+1].(int))})
	}
	return m
}

func TestFirstReplicasAreSpreadOverZones(t *testing.T) {
	c := newTestCell(t, "seed")
	now := time.Now()
	for _, m := range []*egretmuxv1.Member{member("a1", "a", 1), member("a2", "a", 2), member("b1", "b", 3), member("c1", "c", 4), member("x", "d", 0)} {
		c.members.heard(m, now)
	}
	require.ElementsMatch(t, []string{"a1", "b1", "c1"}, addresses(c.firstMembers(now)))
}

func TestNoReplicaIsChosenThatHoldsALogOrRestarted(t *testing.T) {
	c := newTestCell(t, "seed")
	now := time.Now()
	old, again := member("a", "a", 1), member("b", "b", 2)
	old.Empty, again.Founding = false, false
	c.members.heard(old, now)
	c.members.heard(again, now)
	require.Nil(t, c.firstMembers(now))
}

func TestReplicaWithAnEmptyDiskTakesItsOldPlace(t *testing.T) {
	c := newTestCell(t, "lead")
	now := time.Now()
	current := replicas("lead", 1, "b", 2, "c", 3)
	for _, m := range []*egretmuxv1.Member{member("b", "b", 22), member("c", "c", 3)} {
		c.members.heard(m, now)
	}
	next, reason := c.nextMembership(current, now, now)
	require.Equal(t, "replica-returned", reason)
	require.Len(t, next.GetReplicas(), 4)
	require.True(t, next.GetReplicas()[3].GetLearner())
	next.Replicas[3].Learner = false
	next, _ = c.nextMembership(next, now, now)
	require.Len(t, next.GetReplicas(), 3, "then the old identity goes")
}

func TestSpareReplacesAReplicaOnlyAfterALongSilence(t *testing.T) {
	c := newTestCell(t, "lead")
	began := time.Now()
	current := replicas("lead", 1, "b", 2, "c", 3)
	at := func(now time.Time) (*egretmuxv1.Membership, string) {
		c.members.heard(member("b", "b", 2), now)
		c.members.heard(member("spare", "d", 9), now)
		return c.nextMembership(current, now, began)
	}
	next, _ := at(began.Add(replicaLost - time.Second))
	require.Nil(t, next)
	next, reason := at(began.Add(replicaLost + time.Second))
	require.Equal(t, "replica-missing", reason)
	require.Equal(t, "spare", next.GetReplicas()[3].GetAddress())
	next.Replicas[3].Learner = false
	current = next
	next, reason = at(began.Add(replicaLost + time.Second))
	require.Equal(t, "replica-lost", reason)
	require.Equal(t, []string{"lead", "b", "spare"}, addresses(next))
}
