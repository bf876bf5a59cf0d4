package leader

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/periodic"
)

const (
	memberPeriod   = time.Second
	instanceForget = 10 * time.Minute // silence after which an instance without a log is no longer listed
)

// runMembers keeps the list of instances: it notes when earlier processes can
// hold no lease any more and removes instances that do not come back.
func (t *tenure) runMembers(ctx context.Context) {
	periodic.Run(ctx, memberPeriod, func(time.Time) {
		for _, in := range t.store.Instances() {
			t.keepMember(ctx, in)
		}
	})
}

func (t *tenure) keepMember(ctx context.Context, in *egretmuxv1.Instance) {
	now := time.Now()
	t.mu.Lock()
	settled := in.GetPredecessor() && !t.predecessorMayHold(in, now)
	forgotten := !in.GetVoter() && !in.GetPredecessor() && t.sessions[in.GetId()] == nil && now.Sub(t.closedAt(in.GetId())) > instanceForget
	if forgotten {
		t.removing[in.GetId()] = true // no lease is given until the removal is decided
	}
	t.mu.Unlock()
	if settled {
		next := proto.Clone(in).(*egretmuxv1.Instance)
		_ = t.commitMember(ctx, "instance_settled", in, &egretmuxv1.Command{Body: &egretmuxv1.Command_JoinInstance{
			JoinInstance: &egretmuxv1.JoinInstance{Instance: next, Settled: true},
		}})
	}
	if forgotten {
		t.forget(ctx, in)
	}
}

// forget removes an instance. When the outcome is unknown, this tenure is over
// and must not give the instance another lease.
func (t *tenure) forget(ctx context.Context, in *egretmuxv1.Instance) {
	err := t.commitMember(ctx, "instance_forgotten", in, &egretmuxv1.Command{Body: &egretmuxv1.Command_LeaveInstance{
		LeaveInstance: &egretmuxv1.LeaveInstance{Id: in.GetId(), Incarnation: in.GetIncarnation()},
	}})
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.removing, in.GetId())
	delete(t.closed, in.GetId())
}

// closedAt returns when the instance was last known to have a session.
func (t *tenure) closedAt(id string) time.Time {
	if at, ok := t.closed[id]; ok {
		return at
	}
	return t.started
}

// commitMember proposes a change of the list. It fails only when the tenure ends.
func (t *tenure) commitMember(ctx context.Context, event string, in *egretmuxv1.Instance, cmd *egretmuxv1.Command) error {
	_, err := t.leader.propose(ctx, cmd)
	t.leader.logger.Info().AnErr("error", err).Str("event", event).Str("instance_id", in.GetId()).Msg("")
	return err
}
