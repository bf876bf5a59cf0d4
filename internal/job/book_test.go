package job_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/job"
)

const jobID = "00000000000000aa"

func apply(t require.TestingT, b *job.Book, cmd *egretmuxv1.JobCommand) job.Result {
	data, err := proto.Marshal(cmd)
	require.NoError(t, err)
	result, ok := b.Apply(1, data).(job.Result)
	require.True(t, ok)
	return result
}

func submit(steps ...*egretmuxv1.JobStep) *egretmuxv1.JobCommand {
	return &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: &egretmuxv1.Job{Id: jobID, Steps: steps, Attempts: 2}}}}
}

func ends(e ...*egretmuxv1.RunEnd) *egretmuxv1.JobCommand {
	return &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_NoteEnds{NoteEnds: &egretmuxv1.NoteEnds{Ends: e}}}
}

func end(step, index uint32, run uint64, outcome egretmuxv1.RunOutcome) *egretmuxv1.RunEnd {
	return &egretmuxv1.RunEnd{Job: jobID, Step: step, Index: index, Run: run, Outcome: outcome}
}

func put(version uint64, source string) *egretmuxv1.JobCommand {
	return &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_PutCatalogue{PutCatalogue: &egretmuxv1.PutCatalogue{
		Catalogue: &egretmuxv1.Catalogue{Version: version, Source: []byte(source)},
	}}}
}

func phase(b *job.Book) egretmuxv1.JobPhase {
	out := egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED
	b.View(jobID, func(r *job.Record) {
		if r != nil {
			out = r.Phase
		}
	})
	return out
}

const (
	done   = egretmuxv1.RunOutcome_RUN_OUTCOME_DONE
	failed = egretmuxv1.RunOutcome_RUN_OUTCOME_FAILED
)

func TestSubmittingAgainKeepsTheFirstJob(t *testing.T) {
	b := job.NewBook()
	require.False(t, apply(t, b, submit(&egretmuxv1.JobStep{Count: 1})).Known)
	require.True(t, apply(t, b, submit(&egretmuxv1.JobStep{Count: 5})).Known)
	apply(t, b, ends(end(0, 0, 1, done)))
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_COMPLETED, phase(b))
	require.True(t, apply(t, b, submit(&egretmuxv1.JobStep{Count: 1})).Known)
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_COMPLETED, phase(b))
}

func TestFailuresOfARunAndOfItsCopyBothCount(t *testing.T) {
	b := job.NewBook()
	apply(t, b, submit(&egretmuxv1.JobStep{Count: 1, Speculative: true}))
	apply(t, b, ends(end(0, 0, 2, failed), end(0, 0, 2, failed)))
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED, phase(b))
	apply(t, b, ends(end(0, 0, 1, failed)))
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_FAILED, phase(b))
}

func TestFailureIsCountedOnce(t *testing.T) {
	b := job.NewBook()
	apply(t, b, submit(&egretmuxv1.JobStep{Count: 2}))
	apply(t, b, ends(end(0, 0, 1, failed), end(0, 0, 1, failed)))
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED, phase(b))
	apply(t, b, ends(end(0, 1, 1, failed)))
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED, phase(b), "each task has its own attempts")
	apply(t, b, ends(end(0, 0, 2, failed)))
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_FAILED, phase(b))
}

func TestGangFailsAsAWhole(t *testing.T) {
	b := job.NewBook()
	apply(t, b, submit(&egretmuxv1.JobStep{Count: 3, Gang: true}))
	apply(t, b, ends(end(0, 0, 1, failed), end(0, 2, 1, failed)))
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED, phase(b))
	apply(t, b, ends(end(0, 1, 2, failed)))
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_FAILED, phase(b))
}

func TestLongRunningTaskIsNeverDone(t *testing.T) {
	b := job.NewBook()
	apply(t, b, submit(&egretmuxv1.JobStep{Count: 1, LongRunning: true}))
	apply(t, b, ends(end(0, 0, 1, done), end(0, 0, 2, failed), end(0, 0, 3, failed), end(0, 0, 4, failed)))
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED, phase(b))
}

func TestHighestCatalogueVersionStaysInForce(t *testing.T) {
	b := job.NewBook()
	require.Equal(t, job.Result{}, apply(t, b, put(5, "five")))
	require.Equal(t, job.Result{Known: true}, apply(t, b, put(5, "five")))
	require.Equal(t, job.Result{Known: true, Conflict: true}, apply(t, b, put(5, "other")))
	require.Equal(t, job.Result{Known: true}, apply(t, b, put(4, "four")))
	require.Equal(t, "five", string(b.Catalogue().Message.GetSource()))
}

func TestLateReportOfAnEarlierLifeIsIgnored(t *testing.T) {
	b := job.NewBook()
	record := func(born int64) {
		apply(t, b, &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_RecordLife{RecordLife: &egretmuxv1.RecordLife{Life: &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: born}}}})
	}
	record(2)
	record(1)
	require.Equal(t, int64(2), b.Workers()[0].Life.GetBornUnixMs())
	apply(t, b, &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{EndLife: &egretmuxv1.EndLife{Worker: "w", BornUnixMs: 1}}})
	require.Len(t, b.Workers(), 1)
}

// A book restored from a snapshot applies later commands exactly as the original.
func TestModelSnapshotHoldsEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := job.NewBook()
		apply(t, b, put(1, "c"))
		apply(t, b, submit(
			&egretmuxv1.JobStep{Count: 3}, &egretmuxv1.JobStep{Count: 2, Gang: true}, &egretmuxv1.JobStep{Count: 1, LongRunning: rapid.Bool().Draw(t, "long")},
		))
		draw := func(label string) *egretmuxv1.RunEnd {
			e := end(rapid.Uint32Range(0, 3).Draw(t, label+" step"), rapid.Uint32Range(0, 3).Draw(t, label+" index"), rapid.Uint64Range(1, 4).Draw(t, label+" run"),
				egretmuxv1.RunOutcome(rapid.IntRange(1, 4).Draw(t, label+" how")))
			e.Checkpoint = rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, label+" checkpoint")
			return e
		}
		for range rapid.IntRange(0, 8).Draw(t, "ends") {
			apply(t, b, ends(draw("before")))
		}
		snapshot := func(b *job.Book) []byte {
			var buf bytes.Buffer
			require.NoError(t, b.Capture()(&buf))
			return buf.Bytes()
		}
		restored := job.NewBook()
		require.NoError(t, restored.Restore(snapshot(b)))
		for range 8 {
			e := draw("after")
			apply(t, b, ends(e))
			apply(t, restored, ends(e))
			require.Equal(t, phase(b), phase(restored))
			for step, count := range []uint32{3, 2, 1} {
				for index := range count {
					var want, got job.TaskState
					b.View(jobID, func(r *job.Record) { want = r.Task(0, uint32(step), index) })
					restored.View(jobID, func(r *job.Record) { got = r.Task(0, uint32(step), index) })
					require.Equal(t, want, got)
				}
			}
		}
	})
}

func TestQueueWithTheLongestPrefixMatches(t *testing.T) {
	c := job.NewCatalogue(&egretmuxv1.Catalogue{Queues: []*egretmuxv1.Queue{{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "H", Prefix: "/a/b/"}}})
	q, rest := c.MatchQueue(&egretmuxv1.QueueAddress{Host: "h:80", Path: "/a/b/1"})
	require.Equal(t, "long", q.GetName())
	require.Equal(t, "1", rest)
	q, _ = c.MatchQueue(&egretmuxv1.QueueAddress{Host: "other", Path: "/a/b/1"})
	require.Nil(t, q)
}

func TestUnusableCataloguesAreRefused(t *testing.T) {
	valid := func() *egretmuxv1.Catalogue {
		return &egretmuxv1.Catalogue{
			Version: 1, Pools: []*egretmuxv1.Pool{{Name: "s"}},
			Queues: []*egretmuxv1.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", TimeoutMs: 1}, {Name: "r", Host: "h", Prefix: "/r/", Service: "s", TimeoutMs: 1}},
		}
	}
	require.NoError(t, job.CheckCatalogue(valid()))
	for name, invalidate := range map[string]func(*egretmuxv1.Catalogue){
		"unknown service":      func(c *egretmuxv1.Catalogue) { c.Queues[0].Service = "other" },
		"same host and prefix": func(c *egretmuxv1.Catalogue) { c.Queues[1].Prefix = "/q/" },
		"no time-out":          func(c *egretmuxv1.Catalogue) { c.Queues[1].TimeoutMs = 0 },
		"no version":           func(c *egretmuxv1.Catalogue) { c.Version = 0 },
	} {
		c := valid()
		invalidate(c)
		require.Error(t, job.CheckCatalogue(c), name)
	}
}

// Guards against an invalid catalogue that was taken: two queues at the same address were refused only
// if the first one had a name.
func TestQueuesWithoutANameAtTheSameAddressAreRefused(t *testing.T) {
	for _, host := range []string{"h", "H"} {
		err := job.CheckCatalogue(&egretmuxv1.Catalogue{Version: 1, Pools: []*egretmuxv1.Pool{{Name: "s"}}, Queues: []*egretmuxv1.Queue{
			{Host: "h", Prefix: "/q/", Service: "s", TimeoutMs: 1},
			{Host: host, Prefix: "/q/", Service: "s", TimeoutMs: 1},
		}})
		require.ErrorContains(t, err, "same host and prefix", host)
	}
}

func recordLife(t require.TestingT, b *job.Book, born int64) job.Result {
	return apply(t, b, &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_RecordLife{RecordLife: &egretmuxv1.RecordLife{
		Life: &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: born},
	}}})
}

// restored returns a copy of the book, as another replica reads it from a snapshot.
func restored(t *testing.T, b *job.Book) *job.Book {
	t.Helper()
	var snapshot bytes.Buffer
	require.NoError(t, b.Capture()(&snapshot))
	out := job.NewBook()
	require.NoError(t, out.Restore(snapshot.Bytes()))
	return out
}

// Guards against a worker that has left and is in use again, after a heartbeat that was
// delayed, or after a replica's restart. One that was only silent may come back.
func TestLateHeartbeatDoesNotBringBackALifeThatIsOver(t *testing.T) {
	b := job.NewBook()
	end := func(born int64, over bool) {
		apply(t, b, &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{EndLife: &egretmuxv1.EndLife{Worker: "w", BornUnixMs: born, Over: over}}})
	}
	require.False(t, recordLife(t, b, 5).Outdated)
	end(5, true)
	for _, replica := range []*job.Book{b, restored(t, b)} {
		require.True(t, recordLife(t, replica, 5).Outdated)
		require.Empty(t, replica.Workers())
	}
	// The clock of the worker went back between two lives.
	require.False(t, recordLife(t, b, 4).Outdated)
	end(4, true)
	require.True(t, recordLife(t, b, 4).Outdated)
	require.True(t, recordLife(t, b, 5).Outdated)
	require.False(t, recordLife(t, b, 6).Outdated)
	require.Len(t, b.Workers(), 1)
	end(6, false)
	require.Empty(t, b.Workers())
	require.False(t, recordLife(t, b, 6).Outdated)
	require.Len(t, b.Workers(), 1)
}

// Guards against crashes that are counted again, or lost with a snapshot.
func TestCrashIsCountedOnceAndKeptInSnapshots(t *testing.T) {
	b := job.NewBook()
	apply(t, b, submit(&egretmuxv1.JobStep{Count: 1}))
	crash := &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{EndLife: &egretmuxv1.EndLife{
		Worker: "w", BornUnixMs: 1, Over: true,
		CrashedRuns: []*egretmuxv1.CrashedRun{{Job: jobID, Run: 1, Evidence: egretmuxv1.CrashEvidence_CRASH_EVIDENCE_SOLE_STARTUP}},
	}}}
	recordLife(t, b, 1)
	apply(t, b, crash)
	apply(t, b, crash)
	b = restored(t, b)
	b.View(jobID, func(r *job.Record) {
		require.Equal(t, uint32(1), r.Task(0, 0, 0).Crashes)
		require.Equal(t, uint32(1), r.Task(0, 0, 0).StartupCrashes)
		require.Equal(t, uint64(1), r.Task(0, 0, 0).LastEndedRun)
	})
	crash.GetEndLife().BornUnixMs = 2
	crash.GetEndLife().GetCrashedRuns()[0].Run = 2
	recordLife(t, b, 2)
	apply(t, b, crash)
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_FAILED, phase(b))
}
