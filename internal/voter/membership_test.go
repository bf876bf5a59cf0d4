package voter

import (
	"testing"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/core"
)

// Guards against a replica that joins for ever, since the only voter of the cell was to be
// removed before its successor became one, which the core refuses.
func TestOnlyVoterIsReplacedAfterItsSuccessorIsAVoter(t *testing.T) {
	status := core.Status{Membership: &egretmuxv1.Membership{Replicas: []*egretmuxv1.Replica{{Id: 1, Instance: "a", Address: "old"}}}, MembershipIndex: 1}
	req := &egretmuxv1.JoinReplicaRequest{Instance: "a", Address: "new", Replica: 11}
	var steps [][]uint64 // the voters after each step
	for next, done := NextMembership(status, req); !done; next, done = NextMembership(status, req) {
		var voters []uint64
		for _, r := range next.GetReplicas() {
			if !r.GetLearner() {
				voters = append(voters, r.GetId())
			}
		}
		require.NotEmpty(t, voters, "after %v", steps)
		steps = append(steps, voters)
		status.Membership = next
		status.MembershipIndex++
		status.Match = map[uint64]uint64{1: status.MembershipIndex, 11: status.MembershipIndex}
	}
	require.Equal(t, [][]uint64{{1}, {1, 11}, {11}}, steps)
}
