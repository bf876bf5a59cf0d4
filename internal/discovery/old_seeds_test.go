package discovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	recoveryBound   = 12 * time.Second // from the start of the instances to contact with the leader
	oldSeedsOf      = 20               // one in so many instances has only seeds that are gone
	replacedSeedsOf = "10.200.0.%d:7720"
)

// replacedSeeds are addresses at which no instance runs any more.
func replacedSeeds() []string {
	return []string{fmt.Sprintf(replacedSeedsOf, 1), fmt.Sprintf(replacedSeedsOf, 2), fmt.Sprintf(replacedSeedsOf, 3)}
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
