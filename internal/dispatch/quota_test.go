package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/job"
)

// putQuotas stores a version of the catalogue with these customers and their limits of cpu.
func (h *harness) putQuotas(cores map[string]int64) {
	h.t.Helper()
	inForce := h.book.Catalogue()
	next := &egretmuxv1.Catalogue{Version: inForce.Version + 1, Queues: inForce.Message.GetQueues(), Pools: inForce.Message.GetPools()}
	for name, limit := range cores {
		next.Customers = append(next.Customers, &egretmuxv1.Customer{
			Name: name, Weight: 1, CredentialSha256: [][]byte{make([]byte, 32)}, Quota: &egretmuxv1.Resources{CpuMillis: limit * 1000},
		})
	}
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_PutCatalogue{PutCatalogue: &egretmuxv1.PutCatalogue{Catalogue: next}}})
}

func (h *harness) submitFor(customer, prefix, id string, steps ...*egretmuxv1.JobStep) {
	h.t.Helper()
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: &egretmuxv1.Job{
		Id: id, Host: "h", Prefix: prefix, Service: "ledger", Steps: steps, Attempts: 2, AcceptedUnixMs: h.now.Milliseconds(), Customer: customer,
	}}}})
	h.core.JobAccepted(id, h.now)
}

func (h *harness) cancel(id string) {
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Cancel{Cancel: &egretmuxv1.CancelJob{Job: id}}})
	h.core.JobEnded(id, "cancelled")
	h.takeActions()
}

// newStarts plans and returns the starts that this has ordered.
func (h *harness) newStarts() []dispatch.StartOrder {
	h.plan()
	starts := h.starts
	h.starts = nil
	return starts
}

func (h *harness) usage(customer string) *egretmuxv1.CustomerUsage {
	h.t.Helper()
	for _, u := range h.core.CustomerUsage() {
		if u.GetName() == customer {
			return u
		}
	}
	h.t.Fatalf("customer %s is not reported", customer)
	return nil
}

func (h *harness) noticed(event, reason string) int {
	n := 0
	for _, notice := range h.notices {
		if notice.Event == event && notice.Reason == reason {
			n++
		}
	}
	return n
}

// quotaHarness returns a harness with an urgent queue /q/, a queue /batch/ that can wait, and a
// customer "a" that may use 10 cores.
func quotaHarness(t *testing.T) *harness {
	t.Helper()
	batch := queue()
	batch.Name, batch.Prefix, batch.Priority = "batch", "/batch/", 2
	h := newHarness(t, queue(), batch)
	h.putQuotas(map[string]int64{"a": 10})
	return h
}

func gang(count uint32, cores int64) *egretmuxv1.JobStep {
	s := tasks(count, cores)
	s.Gang = true
	return s
}

// Load: a customer at its quota sends more, and its runs end slowly. The step goes in waves.
func TestStepThatIsWiderThanTheQuotaGoesInWaves(t *testing.T) {
	h := quotaHarness(t)
	h.addWorker("w", 100)
	h.submitFor("a", "/batch/", id(1), tasks(7, 3))
	h.plan()
	wave := h.acceptAll()
	require.Len(t, wave, 3)
	require.Empty(t, h.newStarts())
	require.Equal(t, uint64(4), h.usage("a").GetHeldByQuota())
	for ended := 1; ended <= 7; ended++ {
		h.endOne(h.present[0])
		h.acceptAll()
		require.Len(t, h.present, min(3, 7-ended))
	}
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_COMPLETED, h.phase(id(1)))
	require.Zero(t, h.usage("a").GetInUse().GetCpuMillis())
	require.Equal(t, 1, h.noticed("step_held", "quota"), "once for the hold, not for each plan")
	require.Equal(t, 1, h.noticed("step_hold_ended", "runs-ended"))
}

// Failure: the leader is lost between a start and its answer, with a customer at its quota. The
// order may arrive late, until the worker has seen the new leader.
func TestNewLeaderCountsStartsWithoutAnswer(t *testing.T) {
	h := quotaHarness(t)
	w := h.addWorker("w", 100)
	other := h.addWorker("other", 1)
	h.submitFor("a", "/batch/", id(1), tasks(2, 5))
	h.plan()
	require.Len(t, h.starts, 2)
	h.beginTenure()
	h.submitFor("a", "/batch/", id(2), tasks(1, 1))
	h.handleListing(other, nil, nil)
	require.Empty(t, h.newStarts(), "the starts of the earlier leader may still arrive")
	h.handleListing(w, nil, nil)
	require.Len(t, h.newStarts(), 2, "the worker refuses orders of the earlier leader from now on")
}

// Load: many cancels; the leader is lost while the runs are being stopped.
func TestRunsOfCancelledJobsCountForTheNextLeader(t *testing.T) {
	h := quotaHarness(t)
	w := h.addWorker("w", 100)
	other := h.addWorker("other", 100)
	h.submitFor("a", "/batch/", id(1), func() *egretmuxv1.JobStep { s := tasks(2, 5); s.MaxPerWorker = 2; return s }())
	h.plan()
	runs := h.acceptAll()
	require.Equal(t, runs[0].Worker, runs[1].Worker)
	if runs[0].Worker != "w" {
		w, other = other, w
	}
	h.cancel(id(1))
	h.submitFor("a", "/batch/", id(2), tasks(2, 5))
	require.Empty(t, h.newStarts(), "runs that are being stopped are present")

	h.beginTenure()
	h.handleListing(other, nil, nil)
	require.Empty(t, h.newStarts())
	h.handleListing(w, []dispatch.ListedRun{listedRun(runs[0]), listedRun(runs[1])}, nil)
	require.Empty(t, h.newStarts(), "the worker lists them")
	require.Len(t, h.stops, 2)
	h.handleListing(w, []dispatch.ListedRun{listedRun(runs[1])}, []dispatch.ListedEnd{h.listedEnd(runs[0], egretmuxv1.RunOutcome_RUN_OUTCOME_STOPPED)})
	require.Len(t, h.newStarts(), 1)
	h.handleListing(w, nil, nil)
	require.Len(t, h.newStarts(), 1)
	require.Equal(t, int64(10_000), h.usage("a").GetInUse().GetCpuMillis())
}

// Load: many cancels. A cancel that is stored just before a start keeps the start out of the log,
// so that the next leader would not count the run.
func TestStartThatTheLogDoesNotHoldIsNotSent(t *testing.T) {
	h := quotaHarness(t)
	h.addWorker("w", 100)
	h.submitFor("a", "/batch/", id(1), tasks(1, 5))
	h.core.Plan(h.now)
	start := h.core.TakeActions().Starts[0]
	require.True(t, h.core.StartWanted(start))
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Cancel{Cancel: &egretmuxv1.CancelJob{Job: id(1)}}})
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_NoteStarts{NoteStarts: &egretmuxv1.NoteStarts{Starts: []*egretmuxv1.RunStart{{
		Job: id(1), Run: 1, Worker: "w", BornUnixMs: 1,
	}}}}})
	require.False(t, h.core.StartWanted(start), "the core has not been told of the cancel yet")
}

// Failure: the leader is lost after a gang's job has completed with its first member.
func TestMembersOfACompletedGangCountForTheNextLeader(t *testing.T) {
	for _, later := range []*egretmuxv1.JobStep{nil, {Count: 1, CpuMillis: 1000, EstimateMs: 1000, After: []uint32{0}}} {
		h := quotaHarness(t)
		w := h.addWorker("w", 100)
		h.addWorker("w2", 100)
		steps := []*egretmuxv1.JobStep{gang(2, 5)}
		if later != nil { // the job goes on, and the step of the gang is done
			steps = append(steps, later)
		}
		h.submitFor("a", "/batch/", id(1), steps...)
		h.plan()
		members := h.acceptStarts()
		h.handleListing(w, []dispatch.ListedRun{listedRun(members[1])}, []dispatch.ListedEnd{h.listedEnd(members[0], done)})
		h.storeEnds()
		h.beginTenure()
		require.Equal(t, int64(5000), h.usage("a").GetInUse().GetCpuMillis())
		h.handleListing(w, []dispatch.ListedRun{listedRun(members[1])}, nil)
		require.Equal(t, int64(5000), h.usage("a").GetInUse().GetCpuMillis())
		h.handleListing(w, nil, []dispatch.ListedEnd{h.listedEnd(members[1], done)})
		require.Zero(t, h.usage("a").GetInUse().GetCpuMillis())
	}
}

// Failure: a worker cannot be reached after a change of leader, with a customer at its quota.
func TestRunsOnAWorkerOutOfReachCountUntilItsLeaseHasExpired(t *testing.T) {
	h := quotaHarness(t)
	h.addWorker("lost", 10)
	h.addWorker("lost too", 5)
	h.submitFor("a", "/batch/", id(1), tasks(1, 5))
	h.submitFor("a", "/batch/", id(2), tasks(1, 5))
	h.plan()
	require.Len(t, h.acceptStarts(), 2)
	h.cancel(id(2)) // the only run of its worker
	h.beginTenure()
	h.addWorker("w", 100)
	h.submitFor("a", "/batch/", id(3), tasks(1, 1))
	h.advance(testLease)
	require.Empty(t, h.newStarts(), "the lease may not have expired on the worker's clock")
	h.advance(testLease / 10)
	require.Len(t, h.newStarts(), 2)
	require.Equal(t, int64(6000), h.usage("a").GetInUse().GetCpuMillis())
}

// Failure: a worker crashes, or another life answers in its place.
func TestRunsOfALifeThatIsOverDoNotCount(t *testing.T) {
	h := quotaHarness(t)
	h.addWorker("w", 100)
	h.submitFor("a", "/batch/", id(1), tasks(2, 5))
	h.plan()
	h.acceptStarts()
	h.cancel(id(1))
	h.beginTenure()
	require.Equal(t, int64(10_000), h.usage("a").GetInUse().GetCpuMillis())
	next := life("w", 100)
	next.BornUnixMs++
	h.core.WorkerJoined(next, h.now)
	require.Zero(t, h.usage("a").GetInUse().GetCpuMillis())
}

// Load: three customers send six times their usual when the operator lowers their quotas.
func TestLoweredQuotaStopsNothingAndStartsNothingUntilItFits(t *testing.T) {
	h := quotaHarness(t)
	h.putQuotas(map[string]int64{"a": 12, "b": 12, "c": 12})
	h.addWorker("w", 100)
	for n := range 18 {
		h.submitFor(string(rune('a'+n%3)), "/batch/", id(n), tasks(4, 2))
	}
	h.plan()
	require.Len(t, h.acceptAll(), 18)
	h.putQuotas(map[string]int64{"a": 5, "b": 12, "c": 24})
	h.plan()
	require.Len(t, h.acceptAll(), 6, "those of c, whose quota was raised")
	require.Empty(t, h.stops)
	for range 30 {
		h.endOne(h.present[0])
		for _, s := range h.acceptAll() {
			if customer := h.usage("a"); customer.GetInUse().GetCpuMillis() > 5000 {
				h.book.View(s.Task.Job, func(r *job.Record) { require.NotEqual(t, "a", r.Job.GetCustomer()) })
			}
		}
	}
	require.Equal(t, int64(4000), h.usage("a").GetInUse().GetCpuMillis())
	require.Empty(t, h.stops)
	require.Equal(t, 2, h.noticed("step_hold_ended", "quota-changed"), "two steps of c")
}

// Load: a hot customer fills the plans with steps that its quota holds back, among them a gang.
// The others use the room at once.
func TestRoomThatAQuotaHoldsBackGoesToOthers(t *testing.T) {
	h := quotaHarness(t)
	h.putQuotas(map[string]int64{"a": 10, "b": 0})
	h.addWorker("w", 100)
	h.submitFor("a", "/batch/", id(1), tasks(9, 1))
	h.plan()
	require.Len(t, h.acceptStarts(), 9)
	for n := range 600 {
		h.submitFor("a", "/batch/", id(1000+n), gang(2, 1))
	}
	late := tasks(91, 1)
	late.EstimateMs = 100
	h.submitFor("b", "/batch/", id(2), late)
	require.Len(t, h.newStarts(), 91)
	require.Equal(t, uint64(1200), h.usage("a").GetHeldByQuota())
	require.Zero(t, h.usage("b").GetHeldByQuota())
}

// Load: gangs beside single tasks of a customer near its quota.
func TestGangWithinAQuotaStartsWholeOrNotAtAll(t *testing.T) {
	h := quotaHarness(t)
	h.addWorker("w", 100)
	h.submitFor("a", "/batch/", id(1), tasks(3, 1))
	h.plan()
	h.acceptAll()
	h.submitFor("a", "/batch/", id(2), gang(4, 2))
	require.Empty(t, h.newStarts())
	h.endOne(h.present[0])
	require.Len(t, h.acceptAll(), 4)
	require.Equal(t, int64(10_000), h.usage("a").GetInUse().GetCpuMillis())
}

// Failure: the operator lowers a quota below an accepted gang. It waits, and the log says why.
func TestGangThatNoLongerFitsItsQuotaWaitsWithANotice(t *testing.T) {
	h := quotaHarness(t)
	h.submitFor("a", "/batch/", id(1), gang(4, 2))
	h.putQuotas(map[string]int64{"a": 7})
	h.addWorker("w", 100)
	require.Empty(t, h.newStarts())
	require.Empty(t, h.newStarts())
	require.Equal(t, 1, h.noticed("step_held", "quota-too-small"))
	h.putQuotas(map[string]int64{"a": 8})
	require.Len(t, h.newStarts(), 4)
	require.Equal(t, 1, h.noticed("step_hold_ended", "quota-changed"))
}

// Load: a customer at its quota has urgent and batch steps waiting. Batch steps have less slack.
func TestRestOfAQuotaGoesToUrgentSteps(t *testing.T) {
	h := quotaHarness(t)
	h.addWorker("w", 100)
	h.submitFor("a", "/batch/", id(1), tasks(10, 1))
	h.plan()
	h.acceptAll()
	h.submitFor("a", "/batch/", id(2), func() *egretmuxv1.JobStep { s := tasks(10, 1); s.EstimateMs = 10; return s }())
	h.submitFor("a", "/q/", id(3), tasks(2, 2))
	h.endOne(h.present[0])
	require.Empty(t, h.starts, "one core is left to the urgent step")
	h.endOne(h.present[0])
	require.Equal(t, id(3), h.acceptAll()[0].Task.Job)
	for range 3 {
		h.endOne(h.present[0])
	}
	started := h.acceptAll()
	require.Equal(t, []string{id(3), id(2)}, []string{started[0].Task.Job, started[1].Task.Job})
}

// Load: urgent steps that no worker can run. They do not hold up a customer that uses little.
func TestUrgentStepsThatWaitForAWorkerDoNotHoldUpTheOthers(t *testing.T) {
	h := quotaHarness(t)
	h.addWorker("w", 100)
	nowhere := tasks(10, 1)
	nowhere.RequiredLabel = "none"
	h.submitFor("a", "/q/", id(1), nowhere)
	h.submitFor("a", "/batch/", id(2), tasks(10, 1))
	for range 5 {
		h.plan()
	}
	require.Equal(t, int64(5000), h.usage("a").GetInUse().GetCpuMillis())
}

// Load: as before, with urgent steps that have started, are worth nothing any more or are too
// large. What they do not need goes to batch steps at once.
func TestBatchStepsGetWhatUrgentStepsDoNotNeed(t *testing.T) {
	for name, c := range map[string]struct {
		urgent  *egretmuxv1.JobStep
		age     time.Duration
		started int
	}{
		"started":   {tasks(1, 2), 0, 3},
		"expired":   {func() *egretmuxv1.JobStep { s := tasks(1, 2); s.RequiredLabel = "none"; return s }(), 2 * time.Second, 4},
		"too large": {tasks(1, 20), 0, 4},
	} {
		h := quotaHarness(t)
		h.addWorker("w", 100)
		h.submitFor("a", "/batch/", id(1), tasks(6, 1))
		h.plan()
		h.acceptStarts()
		c.urgent.EstimateMs = 1
		h.submitFor("a", "/q/", id(2), c.urgent)
		h.advance(c.age)
		h.submitFor("a", "/batch/", id(3), tasks(5, 1))
		require.Len(t, h.newStarts(), c.started, name)
	}
}

// Load: fillers beside serving tasks. They reserve no cpu, but count towards the quota.
func TestFillersCountWithTheirCPU(t *testing.T) {
	h := quotaHarness(t)
	h.addWorker("w", 100)
	filler := tasks(20, 2)
	filler.Fills = true
	h.submitFor("a", "/batch/", id(1), filler)
	require.Len(t, h.newStarts(), 5)
}

// Load: a customer near its quota on a queue with advice. Calls for tasks that cannot start are
// spared.
func TestHeldTasksAskForNoAdvice(t *testing.T) {
	q := queue()
	q.Advice = &egretmuxv1.QueueAdvice{DecideMs: 10, PerWorkerMs: 0.1, ValidityMs: 2000}
	h := newHarness(t, q)
	h.putQuotas(map[string]int64{"a": 1})
	for n := range 30 {
		h.addWorker(fmt.Sprintf("w%02d", n), 1)
	}
	h.submitFor("a", "/q/", id(1), tasks(20, 1))
	h.plan()
	require.Len(t, h.asks, 1)
	require.Len(t, h.asks[0].Workers, 4, "as many as one task needs")
	h.submitFor("a", "/q/", id(2), gang(2, 1))
	h.plan()
	require.Len(t, h.asks, 1)
}

// crash ends the life of a worker under its runs, and begins another one.
func (h *harness) crash(w dispatch.Target) {
	crashed := h.core.CrashedRuns(w)
	next := life(w.Worker, 10)
	next.BornUnixMs = w.Born + 1
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{EndLife: &egretmuxv1.EndLife{Worker: w.Worker, BornUnixMs: w.Born, Over: true, CrashedRuns: crashed}}})
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_RecordLife{RecordLife: &egretmuxv1.RecordLife{Life: next}}})
	h.core.WorkerJoined(next, h.now)
	h.core.CrashesStored(w, crashed, h.now)
	h.handleListing(targetOf(next), nil, nil)
}

// Load: suspects of a customer wait for workers of their own when its quota is lowered.
func TestHeldSuspectsKeepNoWorker(t *testing.T) {
	for quota, open := range map[int64]int{0: 6, 5: 7, 4: 8} {
		h := quotaHarness(t)
		h.putQuotas(map[string]int64{"a": 10, "b": 0})
		for n := range 8 {
			h.addWorker(fmt.Sprintf("w%d", n), 10)
		}
		poison := tasks(2, 5)
		poison.MaxPerWorker = 1
		h.submitFor("a", "/batch/", id(1), poison)
		h.plan()
		for _, s := range h.acceptStarts() {
			h.crash(s.Target)
		}
		everywhere := tasks(8, 1)
		everywhere.MaxPerWorker, everywhere.EstimateMs = 1, 1
		h.submitFor("b", "/q/", id(2), everywhere)
		h.plan()
		require.Len(t, h.acceptStarts(), 8, "two workers are kept until these have started")
		h.putQuotas(map[string]int64{"a": quota, "b": 0})
		h.submitFor("b", "/q/", id(3), everywhere)
		h.plan()
		require.Len(t, h.newStarts(), open)
	}
}

// advisedGang returns a harness with a gang of 4 cores of customer "a", whose ticket for the only
// worker has expired: the next plan holds the worker and asks again.
func advisedGang(t *testing.T, cores int64) *harness {
	t.Helper()
	h := quotaHarness(t)
	q := queue()
	q.Name, q.Prefix, q.Priority, q.Advice = "advised", "/advised/", 1, &egretmuxv1.QueueAdvice{DecideMs: 10, PerWorkerMs: 0.1, ValidityMs: 100}
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_PutCatalogue{PutCatalogue: &egretmuxv1.PutCatalogue{Catalogue: &egretmuxv1.Catalogue{
		Version: 9, Queues: append(h.book.Catalogue().Message.GetQueues(), q), Pools: h.book.Catalogue().Message.GetPools(),
	}}}})
	h.putQuotas(map[string]int64{"a": 10, "b": 0})
	h.addWorker("w", cores)
	h.submitFor("a", "/advised/", id(1), gang(2, 2))
	h.plan()
	h.core.AdviceAnswered(h.asks[0], map[string]string{"w": "t"}, false, h.now, h.now)
	h.advance(200 * time.Millisecond)
	return h
}

// Load: a gang that waits for tickets on a full worker when its customer's quota is lowered.
func TestHeldGangHoldsNoRoomForTickets(t *testing.T) {
	h := advisedGang(t, 4)
	require.Empty(t, h.newStarts())
	h.submitFor("b", "/batch/", id(2), tasks(4, 1))
	require.Empty(t, h.newStarts(), "the room is held")
	h.putQuotas(map[string]int64{"a": 3, "b": 0})
	require.Len(t, h.newStarts(), 4)
}

// Load: a customer sends more single tasks than its quota holds while its gang waits for tickets.
func TestGangKeepsItsPartOfTheQuotaUntilItsTicketsCome(t *testing.T) {
	h := advisedGang(t, 100)
	later, earlier := tasks(5, 1), tasks(5, 1)
	later.EstimateMs, earlier.EstimateMs = 5000, 1
	h.submitFor("a", "/batch/", id(2), later)
	h.submitFor("a", "/batch/", id(3), later)
	started := h.newStarts()
	require.Len(t, started, 6, "in the plan that holds the worker")
	h.cancel(id(3))
	h.core.StartAnswered(started[5], dispatch.NotSent, h.now, h.now)
	h.submitFor("a", "/batch/", id(4), earlier)
	require.Len(t, h.newStarts(), 1, "before the gang in a later plan")
	h.core.AdviceAnswered(h.asks[1], map[string]string{"w": "t"}, false, h.now, h.now)
	require.Len(t, h.newStarts(), 2)
	require.Equal(t, int64(10_000), h.usage("a").GetInUse().GetCpuMillis())
}

// Failure: a worker lists a run whose task was done elsewhere, after the leader had given it up.
func TestListedRunOfAClosedStepCounts(t *testing.T) {
	h := quotaHarness(t)
	w := h.addWorker("w", 10)
	last := tasks(1, 1)
	last.After = []uint32{0}
	h.submitFor("a", "/batch/", id(1), tasks(1, 5), last)
	h.plan()
	first := h.acceptStarts()[0]
	h.core.PollUnanswered(w)
	h.advance(2 * testLease)
	h.addWorker("w2", 10)
	h.plan()
	second := h.acceptStarts()[0]
	h.handleListing(second.Target, nil, []dispatch.ListedEnd{h.listedEnd(second, done)})
	h.storeEnds()
	require.Zero(t, h.usage("a").GetInUse().GetCpuMillis())
	h.handleListing(w, []dispatch.ListedRun{listedRun(first)}, nil)
	require.Equal(t, int64(5000), h.usage("a").GetInUse().GetCpuMillis())
	h.handleListing(w, nil, nil)
	require.Zero(t, h.usage("a").GetInUse().GetCpuMillis())
}

// Failure: the operator removes a customer whose jobs go on, and the leader is lost after that.
func TestRemovedCustomerKeepsItsLastQuota(t *testing.T) {
	h := quotaHarness(t)
	h.addWorker("w", 100)
	h.submitFor("a", "/batch/", id(1), tasks(20, 1))
	h.putQuotas(nil)
	h.putQuotas(map[string]int64{"b": 5})
	require.Empty(t, h.book.Catalogue().Customer("a").GetCredentialSha256())
	require.Len(t, h.newStarts(), 10)
	h.beginTenure()
	require.Empty(t, h.newStarts())
	require.Equal(t, int64(10_000), h.usage("a").GetInUse().GetCpuMillis())
	h.cancel(id(1))
	h.putQuotas(nil)
	require.Nil(t, h.book.Catalogue().Customer("a"))
}

// Failure: the leader is lost while a task has a copy; the log holds only its latest run.
func TestBothRunsOfACopiedTaskCountForTheNextLeader(t *testing.T) {
	h := quotaHarness(t)
	w, second := h.addWorker("w", 10), h.addWorker("w2", 10)
	step := tasks(1, 4)
	step.Speculative = true
	h.submitFor("a", "/batch/", id(1), step)
	h.plan()
	original := h.acceptStarts()[0]
	copied := original
	copied.Run, copied.Target = 2, second
	if original.Worker == second.Worker {
		copied.Target = w
	}
	h.core.HandleListing(copied.Target, h.now, h.now, dispatch.Listing{Running: []dispatch.ListedRun{listedRun(copied)}, Complete: true})
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_NoteStarts{NoteStarts: &egretmuxv1.NoteStarts{Starts: []*egretmuxv1.RunStart{
		{Job: id(1), Run: 2, Worker: copied.Worker, BornUnixMs: copied.Born},
	}}}})
	require.Equal(t, int64(8000), h.usage("a").GetInUse().GetCpuMillis())
	h.beginTenure()
	require.Equal(t, int64(8000), h.usage("a").GetInUse().GetCpuMillis())
	h.handleListing(original.Target, []dispatch.ListedRun{listedRun(original)}, nil)
	require.Equal(t, int64(8000), h.usage("a").GetInUse().GetCpuMillis(), "it is not counted twice")
	h.advance(time.Millisecond)
	h.handleListing(original.Target, nil, nil)
	h.handleListing(copied.Target, nil, nil)
	require.Zero(t, h.usage("a").GetInUse().GetCpuMillis())
}

// Load: a customer sends gangs into its steady backlog of small batch steps, which are as urgent.
// Runs end one at a time.
func TestGangStartsBesideSmallStepsOfItsCustomer(t *testing.T) {
	for _, members := range []uint32{2, 4, 6} {
		h := quotaHarness(t)
		h.addWorker("w", 100)
		for n := range 200 {
			h.submitFor("a", "/batch/", id(100+n), tasks(1, 1))
		}
		h.plan()
		require.Len(t, h.acceptAll(), 10)
		first := gang(members, 1)
		first.EstimateMs = 1 // its latest start is the earliest
		h.submitFor("a", "/batch/", id(1), first)
		started, ended := false, 0
		for ; !started && ended < 20; ended++ {
			h.endOne(h.present[0])
			for _, s := range h.acceptAll() {
				started = started || s.Task.Job == id(1)
			}
			require.GreaterOrEqual(t, len(h.present), int(10-members), "the rest goes to the small steps")
		}
		require.True(t, started, "a gang of %d", members)
	}
}

// Load: as before, with a gang that no worker can run. Its customer goes on with small steps.
func TestGangThatWaitsForAWorkerDoesNotHoldUpItsCustomer(t *testing.T) {
	h := quotaHarness(t)
	h.addWorker("w", 100)
	nowhere := gang(10, 1)
	nowhere.RequiredLabel, nowhere.EstimateMs = "none", 1
	h.submitFor("a", "/batch/", id(1), nowhere)
	for n := range 50 {
		h.submitFor("a", "/batch/", id(100+n), tasks(1, 1))
	}
	for range 20 {
		h.plan()
		h.acceptAll()
		if len(h.present) > 0 {
			h.endOne(h.present[0])
		}
		h.acceptAll()
		require.GreaterOrEqual(t, len(h.present), 4, "it uses almost half of its quota")
	}
}

// Load: several gangs of one customer wait beside its small steps.
func TestWaitingGangsOfACustomerStartOneAfterTheOther(t *testing.T) {
	h := quotaHarness(t)
	h.addWorker("w", 100)
	h.submitFor("a", "/batch/", id(2), tasks(7, 1))
	h.plan()
	h.acceptAll()
	h.submitFor("a", "/batch/", id(3), gang(4, 1))
	h.submitFor("a", "/batch/", id(4), gang(4, 1))
	for n := range 20 {
		h.submitFor("a", "/batch/", id(100+n), tasks(1, 1))
	}
	h.plan()
	h.acceptAll()
	h.endOne(h.present[0])
	require.Len(t, h.acceptAll(), 4, "the first gang")
	for range 3 {
		h.endOne(h.present[0])
		require.Empty(t, h.starts, "the claim of the second gang")
	}
	h.endOne(h.present[0])
	require.Len(t, h.acceptAll(), 4, "the second gang")
}

// Load: urgent tasks that their customer's quota holds back, beside batch work of another one.
func TestHeldTasksKeepNoHeadroom(t *testing.T) {
	h := quotaHarness(t)
	h.putQuotas(map[string]int64{"a": 10, "b": 0})
	for n := range 10 {
		h.addWorker(fmt.Sprintf("w%d", n), 10)
	}
	h.submitFor("a", "/q/", id(1), tasks(60, 1))
	h.plan()
	require.Len(t, h.acceptStarts(), 10)
	h.advance(300 * time.Millisecond)
	h.submitFor("b", "/batch/", id(2), tasks(90, 1))
	require.GreaterOrEqual(t, len(h.newStarts()), 85, "one worker keeps headroom for what urgent steps use")
}

// Load: a worker turns slow under a speculative step while a quota holds tasks of a customer back.
func TestHeldTasksPreventNoCopies(t *testing.T) {
	c, slow, job := newCellWithASlowWorker(t, true)
	runs := len(slow.runs)
	c.putQuotas(map[string]int64{"a": 1})
	for range 5 {
		c.work[dispatch.StepKey{Job: id(901)}] = append(c.work[dispatch.StepKey{Job: id(901)}], 20*time.Second)
	}
	c.submitFor("a", "/batch/", id(901), tasks(5, 1))
	c.play(4500*time.Millisecond, nil)
	require.Equal(t, runs, countNotices(c.harness, "run_copied", job))
}

// Load: two gangs of a customer. The second fits the quota until the same plan starts the first.
func TestHeldGangFillsNoPool(t *testing.T) {
	h := quotaHarness(t)
	h.addWorker("w", 10)
	h.submitFor("a", "/batch/", id(1), gang(6, 1))
	h.submitFor("a", "/batch/", id(2), gang(6, 1))
	require.Len(t, h.newStarts(), 6)
	require.Equal(t, 1, h.noticed("step_held", "quota"))
	require.Zero(t, h.noticed("pool_full", ""))
}

// Load: as many suspects as before, of which a lowered quota lets some start, until it is lowered
// further while another run of their customer uses a part of it.
func TestSuspectsOfALongerHoldKeepNoWorker(t *testing.T) {
	h := quotaHarness(t)
	h.putQuotas(map[string]int64{"a": 29, "b": 0})
	for n := range 8 {
		h.addWorker(fmt.Sprintf("w%d", n), 10)
	}
	h.submitFor("a", "/batch/", id(1), tasks(3, 9))
	h.plan()
	for _, s := range h.acceptStarts() {
		h.crash(s.Target)
	}
	h.submitFor("a", "/q/", id(2), tasks(1, 2))
	everywhere := tasks(8, 1)
	everywhere.MaxPerWorker, everywhere.EstimateMs = 1, 1
	h.submitFor("b", "/q/", id(3), everywhere)
	h.plan()
	require.Len(t, h.acceptStarts(), 9, "two workers are kept until these have started")
	h.putQuotas(map[string]int64{"a": 20, "b": 0})
	h.submitFor("b", "/q/", id(4), everywhere)
	h.plan()
	require.Len(t, h.acceptStarts(), 6, "two of the suspects may start")
	require.Equal(t, 1, h.noticed("step_held", "quota"))
	h.putQuotas(map[string]int64{"a": 10, "b": 0})
	h.submitFor("b", "/q/", id(5), everywhere)
	h.plan()
	started := make(map[string]bool)
	for _, s := range h.acceptStarts() {
		started[s.Worker] = true
	}
	require.Len(t, started, 8)
	require.Equal(t, 1, h.noticed("step_held", "quota"), "it is the same hold")
}
