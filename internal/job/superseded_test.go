package job_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/job"
)

func supersedingStart(run, superseded uint64) *egretmuxv1.JobCommand {
	return &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_NoteStarts{NoteStarts: &egretmuxv1.NoteStarts{Starts: []*egretmuxv1.RunStart{{
		Job: testJob, Run: run, Worker: "b", BornUnixMs: 1, Superseded: []*egretmuxv1.SupersededRun{{Worker: "a", BornUnixMs: 1, Run: superseded}},
	}}}}}
}

func endOfLife(worker string, over bool) *egretmuxv1.JobCommand {
	return &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{EndLife: &egretmuxv1.EndLife{Worker: worker, BornUnixMs: 1, Over: over}}}
}

func lifeOf(worker string, born int64) *egretmuxv1.JobCommand {
	return &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_RecordLife{RecordLife: &egretmuxv1.RecordLife{
		Life: &egretmuxv1.WorkerLife{Worker: worker, BornUnixMs: born, Address: worker + ":1"},
	}}}
}

const testJob = "000000000000000a"

// newBookWithLapsedRun returns a book that knows workers a and b and a job of which run 1 was started on a.
func newBookWithLapsedRun(t *testing.T) *job.Book {
	t.Helper()
	b := job.NewBook()
	apply(t, b, lifeOf("a", 1))
	apply(t, b, lifeOf("b", 1))
	apply(t, b, &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: &egretmuxv1.Job{
		Id: testJob, Host: "h", Prefix: "/q/", Attempts: 2, Steps: []*egretmuxv1.JobStep{{Count: 1}},
	}}}})
	apply(t, b, &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_NoteStarts{NoteStarts: &egretmuxv1.NoteStarts{Starts: []*egretmuxv1.RunStart{{
		Job: testJob, Run: 1, Worker: "a", BornUnixMs: 1,
	}}}}})
	return b
}

// Guards against TWICE: a superseded run has to be known as long as its worker may list its end, also
// after its job is forgotten and after a snapshot.
func TestSupersededRunIsKnownUntilTheLifeOfItsWorkerIsOver(t *testing.T) {
	first := job.RunKey{Job: testJob, Run: 1}
	b := newBookWithLapsedRun(t)
	apply(t, b, supersedingStart(2, 1))
	require.True(t, b.Superseded("a", 1, first))
	require.False(t, b.Superseded("a", 2, first), "another life")
	require.False(t, b.Superseded("b", 1, first), "another worker")
	apply(t, b, &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Cancel{Cancel: &egretmuxv1.CancelJob{Job: testJob}}})
	apply(t, b, &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_ForgetJobs{ForgetJobs: &egretmuxv1.ForgetJobs{Jobs: []string{testJob}}}})
	apply(t, b, endOfLife("a", false)) // silent; it may come back
	restored := restored(t, b)
	require.True(t, restored.Superseded("a", 1, first))
	apply(t, restored, lifeOf("a", 1))
	require.True(t, restored.Superseded("a", 1, first))
	apply(t, restored, endOfLife("a", true))
	require.False(t, restored.Superseded("a", 1, first))
}

func TestSupersededRunIsForgottenWithTheNextLifeOfItsWorker(t *testing.T) {
	b := newBookWithLapsedRun(t)
	apply(t, b, supersedingStart(2, 1))
	apply(t, b, lifeOf("a", 2))
	require.False(t, b.Superseded("a", 1, job.RunKey{Job: testJob, Run: 1}))
}

// A start that the log does not hold, as its job ended before it, is never sent and supersedes nothing.
func TestStartOfAnEndedJobSupersedesNothing(t *testing.T) {
	b := newBookWithLapsedRun(t)
	apply(t, b, &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Cancel{Cancel: &egretmuxv1.CancelJob{Job: testJob}}})
	apply(t, b, supersedingStart(2, 1))
	require.False(t, b.Superseded("a", 1, job.RunKey{Job: testJob, Run: 1}))
}

func TestSupersededRunsOfOneLifeAreBounded(t *testing.T) {
	b := newBookWithLapsedRun(t)
	const listed = 500 // ends in a listing
	for run := uint64(1); run <= listed+10; run++ {
		apply(t, b, supersedingStart(run+1, run))
	}
	require.False(t, b.Superseded("a", 1, job.RunKey{Job: testJob, Run: 10}))
	require.True(t, b.Superseded("a", 1, job.RunKey{Job: testJob, Run: 11}))
	require.True(t, b.Superseded("a", 1, job.RunKey{Job: testJob, Run: listed + 10}))
}

// Guards against TWICE: starts are proposed independently. One that was stored after a later one of its task was dropped
// with the superseded run that it names, whose end the next leader acknowledged.
func TestStartThatIsStoredAfterALaterOneNamesItsSupersededRun(t *testing.T) {
	first := job.RunKey{Job: testJob, Run: 1}
	b := newBookWithLapsedRun(t)
	result := apply(t, b, &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_NoteStarts{NoteStarts: &egretmuxv1.NoteStarts{Starts: []*egretmuxv1.RunStart{{
		Job: testJob, Run: 3, Worker: "b", BornUnixMs: 1,
	}}}}})
	require.Zero(t, result.NotTaken)
	result = apply(t, b, supersedingStart(2, 1))
	require.Equal(t, 1, result.NotTaken, "it is not sent")
	require.True(t, b.Superseded("a", 1, first))
	b.View(testJob, func(r *job.Record) { require.Equal(t, uint64(3), r.Task(0, 0, 0).LastStartedRun) })
}

// Guards against TWICE: a job that is forgotten before it has ended is accepted, and run, again.
func TestOnlyJobsThatHaveEndedAreForgotten(t *testing.T) {
	b := newBookWithLapsedRun(t)
	forget := &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_ForgetJobs{ForgetJobs: &egretmuxv1.ForgetJobs{Jobs: []string{testJob}}}}
	apply(t, b, forget)
	b.View(testJob, func(r *job.Record) { require.NotNil(t, r) })
	apply(t, b, &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Cancel{Cancel: &egretmuxv1.CancelJob{Job: testJob}}})
	apply(t, b, forget)
	b.View(testJob, func(r *job.Record) { require.Nil(t, r) })
}
