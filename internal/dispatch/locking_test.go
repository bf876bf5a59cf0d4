package dispatch_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/job"
)

// Guards against a leader that stands still for ever: the core read the book inside a
// read of the book, and waited for the log, which waited for the first read to end.
func TestJobsAreAddedWhileTheLogIsApplied(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(4)) // both sides must run at the same time
	const jobs, limit = 20_000, 20 * time.Second
	book := job.NewBook()
	apply := func(cmd *egretmuxv1.JobCommand) {
		data, err := proto.Marshal(cmd)
		require.NoError(t, err)
		book.Apply(0, data)
	}
	apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_PutCatalogue{PutCatalogue: &egretmuxv1.PutCatalogue{Catalogue: &egretmuxv1.Catalogue{Version: 1}}}})
	core := dispatch.New(dispatch.Config{Book: book, UnixMs: time.Duration.Milliseconds})
	id := func(n int) string { return fmt.Sprintf("%016x", n) }
	for n := range jobs {
		steps := []*egretmuxv1.JobStep{{Count: 2}}
		apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: &egretmuxv1.Job{Id: id(n), Steps: steps}}}})
	}

	added := make(chan struct{})
	go func() {
		defer close(added)
		for n := range jobs {
			core.JobAccepted(id(n), 0)
		}
	}()
	timeout := time.After(limit)
	for {
		applied := make(chan struct{})
		go func() {
			defer close(applied)
			apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_ForgetJobs{ForgetJobs: &egretmuxv1.ForgetJobs{}}})
		}()
		select {
		case <-applied:
		case <-timeout:
			require.FailNow(t, "the log and the core wait for each other")
		}
		select {
		case <-added:
			return
		default:
		}
	}
}
