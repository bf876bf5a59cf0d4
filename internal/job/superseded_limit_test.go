package job_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/job"
)

// supersede stores a start that supersedes a run on a life of a worker, as the given run of the test's job.
func supersede(t *testing.T, b *job.Book, run uint64, worker string) {
	t.Helper()
	cmd := supersedingStart(run, run-1)
	cmd.GetNoteStarts().GetStarts()[0].Superseded = []*egretmuxv1.SupersededRun{{Worker: worker, BornUnixMs: 1, Run: run - 1}}
	apply(t, b, cmd)
}

// Guards against TWICE: beyond 500 superseded runs of one life the oldest was forgotten, so that its end would
// have been acknowledged.
func TestLifeWithTooManySupersededRunsIsKnownToHaveForgottenSome(t *testing.T) {
	const most = 500
	b := newBookWithLapsedRun(t)
	for n := range uint64(most) {
		supersede(t, b, n+2, "a")
	}
	require.True(t, b.Superseded("a", 1, job.RunKey{Job: testJob, Run: 1}))

	require.False(t, b.ForgotSuperseded("a", 1))
	for n := range uint64(3) {
		supersede(t, b, most+n+2, "a")
	}
	restored := restored(t, b)
	for _, book := range []*job.Book{b, restored} {
		require.True(t, book.ForgotSuperseded("a", 1))
		require.False(t, book.ForgotSuperseded("b", 1))
		require.True(t, book.Superseded("a", 1, job.RunKey{Job: testJob, Run: most + 3}))
	}
}

// Guards against TWICE: of too many lives, that of a worker in use was forgotten as it was the oldest.
func TestSupersededRunsOfALifeInUseAreNotForgottenForThoseOfOthers(t *testing.T) {
	const most = 4096
	b := newBookWithLapsedRun(t)
	supersede(t, b, 2, "a")
	for n := range uint64(most + 10) {
		supersede(t, b, n+3, fmt.Sprintf("gone-%d", n))
	}
	require.True(t, b.Superseded("a", 1, job.RunKey{Job: testJob, Run: 1}))
	require.False(t, b.Superseded("gone-0", 1, job.RunKey{Job: testJob, Run: 2}))
	require.True(t, b.Superseded(fmt.Sprintf("gone-%d", most+9), 1, job.RunKey{Job: testJob, Run: most + 11}))
}
