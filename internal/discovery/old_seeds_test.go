package discovery

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

const (
	recoveryBound      = 12 * time.Second // from the start of the instances to contact with the leader
	oldSeedsOf         = 20               // one in so many instances has only seeds that are gone
	notYetExpired      = memberRetention - 10*time.Second
	expiredForSure     = memberRetention + 15*time.Second
	replacedSeedFormat = "10.200.0.%d:7720"
)

// replacedSeeds are addresses at which no instance runs any more.
func replacedSeeds() []string {
	return []string{fmt.Sprintf(replacedSeedFormat, 1), fmt.Sprintf(replacedSeedFormat, 2), fmt.Sprintf(replacedSeedFormat, 3)}
}

// giveOldSeeds gives the spare and some instances without a disk seeds that are all gone, and all
// others seeds that are in use.
func (s *simulation) giveOldSeeds() []*simNode {
	var old []*simNode
	for i, node := range s.nodes {
		if node == s.spare() || i%oldSeedsOf == 7 {
			node.seeds = replacedSeeds()
			old = append(old, node)
		} else {
			node.seeds = []string{s.members[0], s.members[1], s.nodes[len(s.nodes)/2+1].address()}
		}
		node.directory.SetSeeds(node.seeds)
	}
	return old
}

// spare returns the instance that has a disk but no replica in the membership.
func (s *simulation) spare() *simNode {
	for _, node := range s.nodes {
		if node.member.GetReplica() != 0 && !slices.Contains(s.members, node.address()) {
			return node
		}
	}
	return nil
}

// losePower stops all instances and starts them again within a second, in any order, one of them with
// an empty disk. stopped is called for each of them while it is down.
func (s *simulation) losePower(lost *simNode, stopped ...func(*simNode)) {
	for _, node := range s.running() {
		node.stop()
		if node == lost {
			node.loseDisk()
		}
		for _, f := range stopped {
			f(node)
		}
		s.after(time.Duration(s.random.Int64N(int64(time.Second))), node.restart)
	}
	s.term++
	s.runUntil(s.now.Sub(s.start) + time.Second)
}

// Guards against an instance that never finds the cell after all have lost power, since its
// settings are older than the replacement of all the seeds that they name.
func TestInstanceWithOldSeedsFindsTheLeaderAfterAllLostPower(t *testing.T) {
	for _, n := range []int{11, 100, 300, 1000} {
		lostDisks := []string{"leader", "replica", "spare"}
		if n > 100 {
			lostDisks = lostDisks[:1]
		}
		for _, lostDisk := range lostDisks {
			s := formedSimulation(t, n, uint64(n))
			s.runUntil(s.now.Sub(s.start) + 10*time.Second)
			s.giveOldSeeds()
			lost := map[string]*simNode{"leader": s.leader, "replica": s.byName[s.members[3]], "spare": s.spare()}[lostDisk]
			s.losePower(lost)
			s.elect(s.members[2])
			took := s.runFor(20*time.Second, s.allInContact)
			t.Logf("%d instances, disk of the %s lost: all in contact %v after the election", n, lostDisk, took)
			require.Less(t, took, recoveryBound-time.Second, "%d instances, disk of the %s lost", n, lostDisk)
		}
	}
}

// Guards against an instance that never finds the leader after its restart, since its settings are
// older than the replacement of all the seeds that they name, while all others run on.
func TestInstanceWithOldSeedsFindsTheLeaderAfterItsRestart(t *testing.T) {
	for _, n := range []int{11, 100, 1000} {
		s := formedSimulation(t, n, uint64(n))
		s.runUntil(s.now.Sub(s.start) + 5*time.Second)
		for _, node := range s.giveOldSeeds() {
			node.stop()
			s.after(time.Second, node.restart)
		}
		s.runUntil(s.now.Sub(s.start) + time.Second)
		took := s.runFor(20*time.Second, s.allInContact)
		t.Logf("%d instances: all in contact %v after the restart", n, took)
		require.Less(t, took, recoveryBound, "%d instances", n)
	}
}

// Guards against a member that the leader does not remember, as it was written to disk only by
// another replica by the time of the loss.
func TestMemberThatOnlyAFollowerRemembersFindsTheLeader(t *testing.T) {
	s := formedSimulation(t, 11, 3)
	s.runUntil(s.now.Sub(s.start) + 5*time.Second)
	old := s.giveOldSeeds()
	s.losePower(nil, func(node *simNode) {
		if node.address() != s.members[0] {
			node.saved = nil
		}
	})
	s.elect(s.members[2])
	require.Less(t, s.runFor(20*time.Second, s.allInContact), recoveryBound-time.Second, "instances with old seeds: %d", len(old))
}

// Guards against a server that had left before all lost power, and counts as a member again since
// the replicas remember its address.
func TestServerThatHadLeftIsNotInUseAfterTheRestartOfAll(t *testing.T) {
	const left = "10.0.9.9:7720"
	s := formedSimulation(t, 11, 4)
	s.runUntil(s.now.Sub(s.start) + 5*time.Second)
	s.losePower(nil, func(node *simNode) {
		if node.member.GetReplica() != 0 {
			node.saved = append(node.saved, left)
		}
	})
	s.elect(s.members[2])
	restarted := s.now
	for s.now.Sub(restarted) < expiredForSure {
		s.runUntil(s.now.Sub(s.start) + time.Second)
		remembered := 0
		for _, node := range s.running() {
			d := node.directory
			for _, members := range [][]*egretmuxv1.Member{d.Members(), d.Live(s.now), d.Responsive(s.now)} {
				require.False(t, slices.ContainsFunc(members, func(m *egretmuxv1.Member) bool { return m.GetAddress() == left }))
			}
			answer := d.HandleAnnouncement(&egretmuxv1.AnnounceMemberRequest{
				Member: node.member, List: &egretmuxv1.ListPosition{}, ListLimit: maxListMembers,
			}, s.now)
			require.False(t, slices.ContainsFunc(answer.GetKnown(), func(m *egretmuxv1.Member) bool { return m.GetAddress() == left }))
			require.NotContains(t, d.Asked(), left)
			if addresses, _ := d.Addresses(0); slices.Contains(addresses, left) {
				remembered++
			}
		}
		if s.now.Sub(restarted) < notYetExpired {
			require.Equal(t, 6, remembered, "it may still come back")
		}
		if s.now.Sub(restarted) >= expiredForSure {
			require.Zero(t, remembered, "it is called for ever")
		}
	}
}

// Guards against an address that is forgotten by the time of a second loss of power, while no leader
// could call it.
func TestMembersAreRememberedWhileNobodyLeads(t *testing.T) {
	s := formedSimulation(t, 11, 5)
	s.runUntil(s.now.Sub(s.start) + 5*time.Second)
	s.giveOldSeeds()
	for range 2 {
		s.losePower(nil)
		s.runUntil(s.now.Sub(s.start) + 2*memberRetention)
	}
	s.elect(s.members[2])
	require.Less(t, s.runFor(20*time.Second, s.allInContact), recoveryBound)
}

func TestAddressesAreReturnedOncePerVersion(t *testing.T) {
	s := formedSimulation(t, 11, 6)
	s.runUntil(s.now.Sub(s.start) + 5*time.Second)
	d := s.nodes[1].directory
	addresses, version := d.Addresses(0)
	require.Len(t, addresses, 10)
	require.True(t, slices.IsSorted(addresses))
	require.NotContains(t, addresses, s.nodes[1].address())
	same, again := d.Addresses(version)
	require.Nil(t, same)
	require.Equal(t, version, again)
	d.Remember([]string{s.nodes[1].address(), s.nodes[2].address(), "10.0.9.9:7720"})
	addresses, _ = d.Addresses(version)
	require.Len(t, addresses, 11)
}

// Guards against a link that is busy after all have lost power, as all replicas remember the same members
// and call them in the same order.
func TestReplicasCallTheMembersThatTheyRememberInDifferentOrders(t *testing.T) {
	var all []string
	for n := range 20 {
		all = append(all, fmt.Sprintf("10.0.0.%02d:7720", n))
	}
	called := make(map[string]int)
	for _, address := range all {
		d := New(func() *egretmuxv1.Member { return &egretmuxv1.Member{Address: address} }, nil, rand.New(rand.NewPCG(1, 2)), time.Now())
		d.Remember(all)
		called[d.remembered.next()[0]]++
	}
	require.Len(t, called, len(all))
}

// Guards against an instance that never finds the leader after its restart, since it was down for so long
// that it is no member any more, and its settings name only seeds that have been replaced.
func TestInstanceWithOldSeedsFindsTheLeaderAfterALongStop(t *testing.T) {
	s := formedSimulation(t, 11, 7)
	s.runUntil(s.now.Sub(s.start) + 5*time.Second)
	old := s.giveOldSeeds()
	for _, node := range old {
		node.stop()
	}
	s.runUntil(s.now.Sub(s.start) + expiredForSure)
	for _, node := range old {
		node.restart()
	}
	require.Less(t, s.runFor(20*time.Second, s.allInContact), recoveryBound)
}
