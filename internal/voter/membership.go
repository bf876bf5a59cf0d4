package voter

import (
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/core"
)

// NextMembership returns the membership after the next single change towards one
// in which the requesting replica is a voter at its address and the only replica
// of its instance. It returns done if no change is left.
//
// An earlier replica of the instance is removed before the new one becomes a voter, but
// not before the new one holds the log up to this membership. The earlier one has lost its
// disk: if both were voters, a second loss would leave the others without a majority. Only
// a single voter is succeeded first, as one must remain.
func NextMembership(leader core.Status, req *egretmuxv1.JoinReplicaRequest) (next *egretmuxv1.Membership, done bool) {
	next = proto.Clone(leader.Membership).(*egretmuxv1.Membership)
	var own *egretmuxv1.Replica
	stale := -1
	otherVoters := 0
	for i, r := range next.GetReplicas() {
		switch {
		case r.GetId() == req.GetReplica():
			own = r
		case r.GetInstance() == req.GetInstance():
			stale = i
		case !r.GetLearner():
			otherVoters++
		}
	}
	switch {
	case own == nil:
		next.Replicas = append(next.Replicas, &egretmuxv1.Replica{
			Id: req.GetReplica(), Instance: req.GetInstance(), Address: req.GetAddress(), Learner: true,
		})
	case stale >= 0 && (!own.GetLearner() || otherVoters > 0 && leader.Match[own.GetId()] >= leader.MembershipIndex):
		next.Replicas = append(next.Replicas[:stale], next.Replicas[stale+1:]...)
	case own.GetLearner():
		own.Learner = false
	case own.GetAddress() != req.GetAddress():
		own.Address = req.GetAddress()
	default:
		return nil, true
	}
	return next, false
}
