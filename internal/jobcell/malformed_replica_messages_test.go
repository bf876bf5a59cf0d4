package jobcell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/consensus/core"
)

// requireReplicaRuns requires that the replica has taken all messages and goes on.
func requireReplicaRuns(t *testing.T, c *Cell) {
	t.Helper()
	ctx := contextWithTimeout(t, 5*time.Second)
	select {
	case err := <-c.Failed():
		require.NoError(t, err, "the instance ends")
	default:
	}
	require.NoError(t, c.scheduler.Node().Do(ctx, func(*core.Core) error { return nil }))
}

// Guards against messages for a replica that take it down: unknown kinds and senders, extreme numbers,
// missing and damaged parts.
func TestMalformedMessagesOfReplicasTakeNoProcessDown(t *testing.T) {
	c := newLoneLeader(t)
	recorder, server, client := serveRecorded(t, c)
	status, _ := c.scheduler.Node().Status()
	f := newFiller(3)
	for n := range 1500 {
		request := &egretmuxv1.StepRequest{}
		f.fill(request.ProtoReflect(), 4)
		for _, m := range request.GetMessages() {
			m.To, m.From = pick(f, status.ID, status.ID, m.GetTo()), pick(f, m.GetFrom(), status.ID, 0)
			m.Term = pick(f, 0, status.Term, status.Term+1, status.Term+uint64(n))
			if m.GetKind() == egretmuxv1.MessageKind_MESSAGE_KIND_HEARTBEAT {
				m.Index = 0
			}
		}
		body, err := proto.Marshal(request)
		require.NoError(t, err)
		postRaw(t, client, server.URL+egretmuxv1connect.ConsensusServiceStepProcedure, "application/proto", body)
		require.Empty(t, recorder.recorded(), "message %d: %v", n, request)
		requireReplicaRuns(t, c)
	}
}
