package leader

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/periodic"
)

const (
	instanceUpkeepPeriod = time.Second
	instanceRetention    = 10 * time.Minute // an instance that is not a voter is removed after this time without a session
)

// runInstanceUpkeep maintains the list of instances: it records when the earlier
// processes of an instance can no longer hold a lease, and removes instances that
// do not come back.
func (t *tenure) runInstanceUpkeep(ctx context.Context) {
	periodic.Run(ctx, instanceUpkeepPeriod, func(time.Time) {
		for _, in := range t.store.Instances() {
			t.updateInstance(ctx, in)
		}
	})
}

func (t *tenure) updateInstance(ctx context.Context, in *egretmuxv1.Instance) {
	now := time.Now()
	t.mu.Lock()
	settled := in.GetPredecessor() && !t.predecessorMayHoldLease(in, now)
	expired := !in.GetVoter() && !in.GetPredecessor() && t.sessions[in.GetId()] == nil && now.Sub(t.lastSessionEnd(in.GetId())) > instanceRetention
	if expired {
		t.removing[in.GetId()] = true // it gets no lease until the removal is decided
	}
	t.mu.Unlock()
	if settled {
		next := proto.Clone(in).(*egretmuxv1.Instance)
		_ = t.commitInstanceChange(ctx, "instance_settled", in, &egretmuxv1.Command{Body: &egretmuxv1.Command_JoinInstance{
			JoinInstance: &egretmuxv1.JoinInstance{Instance: next, Settled: true},
		}})
	}
	if expired {
		t.removeInstance(ctx, in)
	}
}

// removeInstance commits the removal of an instance. If the outcome is unknown,
// this tenure is over and must not give the instance another lease.
func (t *tenure) removeInstance(ctx context.Context, in *egretmuxv1.Instance) {
	err := t.commitInstanceChange(ctx, "instance_forgotten", in, &egretmuxv1.Command{Body: &egretmuxv1.Command_LeaveInstance{
		LeaveInstance: &egretmuxv1.LeaveInstance{Id: in.GetId(), Incarnation: in.GetIncarnation()},
	}})
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.removing, in.GetId())
	delete(t.sessionEnds, in.GetId())
}

// lastSessionEnd returns the end of the instance's last session, or the start of
// the tenure if it had none.
func (t *tenure) lastSessionEnd(id string) time.Time {
	if at, ok := t.sessionEnds[id]; ok {
		return at
	}
	return t.started
}

// commitInstanceChange commits a change of the list of instances. It fails only
// when the tenure ends.
func (t *tenure) commitInstanceChange(ctx context.Context, event string, in *egretmuxv1.Instance, cmd *egretmuxv1.Command) error {
	_, err := t.leader.propose(ctx, cmd)
	t.leader.logger.Info().AnErr("error", err).Str("event", event).Str("instance_id", in.GetId()).Msg("proposed a change of the list of instances")
	return err
}
