package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Guards against the retirement of a worker that has just joined: its silence counted from the
// beginning of the tenure.
func TestWorkerThatHasJustJoinedDoesNotCountAsSilent(t *testing.T) {
	const limit = 20 * time.Second
	h := newHarness(t)
	h.advance(limit + time.Second)
	l := life("a", 4)
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_RecordLife{RecordLife: &egretmuxv1.RecordLife{Life: l}}})
	h.core.WorkerJoined(l, h.now)
	require.Empty(t, h.core.WorkersSilentFor(limit, h.now))
}
