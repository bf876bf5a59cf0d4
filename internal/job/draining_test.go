package job_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/job"
)

// Guards against DRAIN: a worker that drains was retired as silent, and a late heartbeat from before its
// drain opened it again.
func TestLateHeartbeatOfAWorkerThatWasRetiredWhileDrainingDoesNotOpenIt(t *testing.T) {
	b := job.NewBook()
	life := &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: 1, Address: "w:1", Pool: "p"}
	apply(t, b, &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_RecordLife{RecordLife: &egretmuxv1.RecordLife{Life: life, Sequence: 8}}})
	for _, draining := range []bool{true, false} {
		apply(t, b, &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{EndLife: &egretmuxv1.EndLife{Worker: "w", BornUnixMs: 1, Draining: draining}}})
	}
	apply(t, b, &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_RecordLife{RecordLife: &egretmuxv1.RecordLife{Life: life, Sequence: 7}}})
	for _, w := range b.Workers() {
		require.True(t, w.Draining)
	}
}
