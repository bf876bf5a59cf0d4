package job_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/refusal"
)

func submitFor(customer string, steps ...*egretmuxv1.JobStep) *egretmuxv1.JobCommand {
	cmd := submit(steps...)
	cmd.GetSubmit().GetJob().Customer = customer
	return cmd
}

func start(step, index uint32, run uint64) *egretmuxv1.JobCommand {
	return &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_NoteStarts{NoteStarts: &egretmuxv1.NoteStarts{Starts: []*egretmuxv1.RunStart{
		{Job: jobID, Step: step, Index: index, Run: run, Worker: "w", BornUnixMs: 1},
	}}}}
}

func cancel() *egretmuxv1.JobCommand {
	return &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Cancel{Cancel: &egretmuxv1.CancelJob{Job: jobID}}}
}

// outstanding returns the outstanding runs of the job as pairs of task index and run.
func outstanding(b *job.Book) [][2]uint64 {
	var out [][2]uint64
	b.View(jobID, func(r *job.Record) {
		if r == nil {
			return
		}
		for _, l := range r.OutstandingRuns() {
			out = append(out, [2]uint64{uint64(l.GetIndex()), l.GetRun()})
		}
	})
	return out
}

// Failure: a new leader that does not count the runs of a job that has ended, however it ended.
func TestEndedJobKeepsItsOutstandingRuns(t *testing.T) {
	crash := &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{EndLife: &egretmuxv1.EndLife{Worker: "w", BornUnixMs: 1, Over: true}}}
	for range 3 { // evidence against the task beyond what a job survives
		crash.GetEndLife().CrashedRuns = append(crash.GetEndLife().GetCrashedRuns(), &egretmuxv1.CrashedRun{Job: jobID, Run: 1})
	}
	for name, c := range map[string]struct {
		gang bool
		end  *egretmuxv1.JobCommand
		left [][2]uint64
	}{
		"cancelled":               {false, cancel(), [][2]uint64{{0, 1}, {1, 1}, {2, 1}}},
		"failed":                  {false, ends(end(0, 0, 1, failed), end(0, 0, 2, failed)), [][2]uint64{{1, 1}, {2, 1}}},
		"a gang with a member":    {true, ends(end(0, 1, 1, done)), [][2]uint64{{0, 1}, {2, 1}}},
		"a task that crashes all": {false, crash, [][2]uint64{{1, 1}, {2, 1}}},
	} {
		b := job.NewBook()
		recordLife(t, b, 1)
		apply(t, b, submitFor("a", &egretmuxv1.JobStep{Count: 3, Gang: c.gang, CpuMillis: 7}))
		for index := range uint32(3) {
			apply(t, b, start(0, index, 1))
		}
		apply(t, b, c.end)
		require.NotEqual(t, egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED, phase(b), name)
		require.Equal(t, c.left, outstanding(b), name)
		b = restored(t, b)
		require.Equal(t, c.left, outstanding(b), name)
		b.View(jobID, func(r *job.Record) { require.Equal(t, int64(7), r.OutstandingRuns()[0].GetDemand().GetCpuMillis()) })

		apply(t, b, ends(end(0, 2, 1, egretmuxv1.RunOutcome_RUN_OUTCOME_STOPPED)))
		require.Equal(t, c.left[:len(c.left)-1], outstanding(b), name)
		apply(t, b, &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_ForgetJobs{ForgetJobs: &egretmuxv1.ForgetJobs{Jobs: []string{jobID}}}})
		require.Empty(t, outstanding(b), name)
	}
}

// Guards cells without customers against records that grow.
func TestJobWithoutACustomerKeepsNoRuns(t *testing.T) {
	b := job.NewBook()
	apply(t, b, submit(&egretmuxv1.JobStep{Count: 1, Speculative: true}))
	apply(t, b, start(0, 0, 1))
	apply(t, b, start(0, 0, 2))
	apply(t, b, cancel())
	require.Empty(t, outstanding(b))
}

// Replicas that apply the same log, one of them from a snapshot on, hold the same outstanding
// runs, none of which has ended, and a bounded number for each task.
func TestModelOutstandingRunsSurviveSnapshots(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b, copied := job.NewBook(), job.NewBook()
		steps := []*egretmuxv1.JobStep{{Count: 2, Speculative: true}, {Count: 2, Gang: true}}
		apply(rt, b, submitFor("a", steps...))
		apply(rt, copied, submitFor("a", steps...))
		over := make(map[[2]uint64]bool)
		next := make(map[uint32]uint64)
		for range rapid.IntRange(1, 20).Draw(rt, "commands") {
			index := rapid.Uint32Range(0, 1).Draw(rt, "index")
			var cmd *egretmuxv1.JobCommand
			switch rapid.IntRange(0, 9).Draw(rt, "command") {
			case 0, 1, 2, 3:
				next[index]++
				cmd = start(0, index, next[index])
			case 4, 5, 6:
				run := rapid.Uint64Range(1, max(1, next[index])).Draw(rt, "run")
				cmd = ends(end(0, index, run, egretmuxv1.RunOutcome(rapid.IntRange(1, 4).Draw(rt, "how"))))
				if run <= next[index] {
					over[[2]uint64{uint64(index), run}] = true
				}
			case 7:
				cmd = cancel()
			default:
				copied = restored(t, copied)
				continue
			}
			apply(rt, b, cmd)
			apply(rt, copied, cmd)
			require.Equal(rt, outstanding(b), outstanding(copied))
			require.LessOrEqual(rt, len(outstanding(b)), 2*5)
			for _, run := range outstanding(b) {
				require.False(rt, over[run], "%v has ended", run)
			}
		}
	})
}

// Load: jobs that can never run within their customer's quota. A retry does not help.
func TestJobLargerThanItsQuotaIsRefused(t *testing.T) {
	customer := &egretmuxv1.Customer{Name: "a", Quota: &egretmuxv1.Resources{CpuMillis: 10_000, MemoryMib: 100}}
	check := func(s *egretmuxv1.JobStep) error {
		return job.CheckQuota(&egretmuxv1.Job{Steps: []*egretmuxv1.JobStep{{Count: 1}, s}}, customer)
	}
	require.NoError(t, check(&egretmuxv1.JobStep{Count: 1000, CpuMillis: 10_000, Accelerators: 8}), "it goes in waves")
	require.NoError(t, check(&egretmuxv1.JobStep{Count: 5, CpuMillis: 2000, Gang: true}))
	for _, s := range []*egretmuxv1.JobStep{
		{Count: 1, CpuMillis: 10_001},
		{Count: 1, MemoryMib: 101},
		{Count: 6, CpuMillis: 2000, Gang: true},
		{Count: 20_000, CpuMillis: 1 << 62, Gang: true},
	} {
		var refused *refusal.Error
		require.ErrorAs(t, check(s), &refused)
		require.Equal(t, refusal.NeverRunnable, refused.Kind)
		require.Equal(t, refusal.No, refused.Ran)
		require.NotEmpty(t, refused.Remedy)
	}
	require.NoError(t, job.CheckQuota(&egretmuxv1.Job{Steps: []*egretmuxv1.JobStep{{Count: 1, CpuMillis: 1 << 62}}}, nil))
}

// Failure: a removed customer's limits are lost while its jobs go on.
func TestRemovedCustomerStaysWithoutCredentialsWhileItsJobsAreOpen(t *testing.T) {
	catalogue := func(version uint64, customers ...*egretmuxv1.Customer) *egretmuxv1.JobCommand {
		cmd := put(version, "text")
		cmd.GetPutCatalogue().GetCatalogue().Customers = customers
		return cmd
	}
	hash := job.HashCredential("key")
	b := job.NewBook()
	apply(t, b, catalogue(1, &egretmuxv1.Customer{Name: "a", CredentialSha256: [][]byte{hash}, Quota: &egretmuxv1.Resources{CpuMillis: 10}}))
	apply(t, b, submitFor("a", &egretmuxv1.JobStep{Count: 1}))
	for version := uint64(2); version < 5; version++ {
		apply(t, b, catalogue(version))
		b = restored(t, b)
		require.Equal(t, int64(10), b.Catalogue().Customer("a").GetQuota().GetCpuMillis())
		require.Nil(t, b.Catalogue().CustomerOf(hash))
	}
	require.True(t, apply(t, b, put(4, "text")).Known)
	require.False(t, apply(t, b, put(4, "text")).Conflict)
	apply(t, b, cancel())
	apply(t, b, catalogue(5))
	require.Nil(t, b.Catalogue().Customer("a"))
}

// Failure: the leader is lost while a task of a job without a customer has a copy.
func TestSupersededRunsAreKeptWithoutACustomer(t *testing.T) {
	b := job.NewBook()
	apply(t, b, submit(&egretmuxv1.JobStep{Count: 1}, &egretmuxv1.JobStep{Count: 2, Speculative: true}))
	superseded := func(step uint32) (runs []uint64) {
		b.View(jobID, func(r *job.Record) {
			for _, l := range r.SupersededRuns(0, step) {
				runs = append(runs, l.GetRun())
			}
		})
		return runs
	}
	for run := range uint64(7) {
		apply(t, b, start(0, 0, run+1))
		apply(t, b, start(1, 1, run+1))
	}
	b = restored(t, b)
	require.Empty(t, superseded(0), "the run before a start is over")
	require.Equal(t, []uint64{3, 4, 5, 6}, superseded(1))
	apply(t, b, ends(end(1, 1, 5, egretmuxv1.RunOutcome_RUN_OUTCOME_FAILED)))
	require.Equal(t, []uint64{3, 4, 6}, superseded(1))
}

// Failure: sums of sizes overflow, and a quota lets everything start. Refused before they are stored.
func TestSizesThatSumsCouldNotHoldAreRefused(t *testing.T) {
	const largest = 1 << 32
	check := func(s *egretmuxv1.JobStep) error {
		s.Count = 20_000
		return job.Check(&egretmuxv1.Job{Steps: []*egretmuxv1.JobStep{s}})
	}
	require.NoError(t, check(&egretmuxv1.JobStep{CpuMillis: largest, MemoryMib: largest, Accelerators: largest}))
	for _, s := range []*egretmuxv1.JobStep{
		{CpuMillis: largest + 1}, {MemoryMib: largest + 1}, {Accelerators: largest + 1}, {CpuMillis: math.MaxInt64},
	} {
		var refused *refusal.Error
		require.ErrorAs(t, check(s), &refused)
		require.Equal(t, refusal.Invalid, refused.Kind)
		require.Contains(t, refused.Remedy, "4294967296")
	}
}
