package leader

import (
	"context"

	"github.com/cockroachdb/errors"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/core"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/voter"
)

// JoinReplica takes the next step of adding a replica to the group: add it as a
// learner, make it a voter once it holds the whole log, then remove the earlier
// replicas of its instance. The instance calls it again until it returns nil.
func (l *Leader) JoinReplica(ctx context.Context, req *egretmuxv1.JoinReplicaRequest) error {
	if _, err := l.confirmTenure(ctx); err != nil {
		return err
	}
	err := l.replica.Do(ctx, func(c *core.Core) error {
		next, done := voter.NextMembership(c.Status(), req)
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
		return notLeaderError()
	default:
		return refusal.New(refusal.Draining, "the instance repeats the call by itself", "replica %x of %s is not a voter yet: %v", req.GetReplica(), req.GetInstance(), err).WithCause(err)
	}
}

var errJoinUnfinished = errors.New("a membership change is in progress")
