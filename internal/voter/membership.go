package voter

import (
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// NextMembership returns the membership after the next single change towards one
// in which the requesting replica is a voter at its address and the only replica
// of its instance. It returns done if no change is left.
func NextMembership(current *egretmuxv1.Membership, req *egretmuxv1.JoinReplicaRequest) (next *egretmuxv1.Membership, done bool) {
	next = proto.Clone(current).(*egretmuxv1.Membership)
	var own *egretmuxv1.Replica
	stale := -1
	for i, r := range next.GetReplicas() {
		switch {
		case r.GetId() == req.GetReplica():
			own = r
		case r.GetInstance() == req.GetInstance():
			stale = i
		}
	}
	switch {
	case own == nil:
		next.Replicas = append(next.Replicas, &egretmuxv1.Replica{
			Id: req.GetReplica(), Instance: req.GetInstance(), Address: req.GetAddress(), Learner: true,
		})
	case own.GetLearner():
		own.Learner = false
	case stale >= 0:
		next.Replicas = append(next.Replicas[:stale], next.Replicas[stale+1:]...)
	case own.GetAddress() != req.GetAddress():
		own.Address = req.GetAddress()
	default:
		return nil, true
	}
	return next, false
}
