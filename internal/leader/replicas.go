package leader

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/core"
	"github.com/egretmux/egretmux/internal/refusal"
)

// JoinReplica takes the next step of bringing a replica into the group: add it
// as a learner, make it a voter once it holds the whole log, then remove the
// replicas that its instance had before. The instance calls it again until it
// returns nil.
func (l *Leader) JoinReplica(ctx context.Context, req *egretmuxv1.JoinReplicaRequest) error {
	if _, err := l.confirm(ctx); err != nil {
		return err
	}
	err := l.node.Do(ctx, func(c *core.Core) error {
		next, done := nextMembership(c.Status().Membership, req)
		if done {
			return nil
		}
		if err := c.ChangeMembership(next); err != nil {
			return err
		}
		return errJoinUnfinished
	})
	var change core.ChangeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &change) && change == core.ErrChangeNotLeader:
		return noLeader()
	default:
		return refusal.New(refusal.Draining, "the instance repeats the call by itself", "replica %x of %s is not a voter yet: %v", req.GetReplica(), req.GetInstance(), err).Because(err)
	}
}

var errJoinUnfinished = errors.New("a membership change is under way")

// nextMembership returns the membership one step closer to the one wanted.
func nextMembership(current *egretmuxv1.Membership, req *egretmuxv1.JoinReplicaRequest) (next *egretmuxv1.Membership, done bool) {
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
