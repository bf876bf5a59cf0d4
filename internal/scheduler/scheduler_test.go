package scheduler_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/peer"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/scheduler"
	"github.com/egretmux/egretmux/internal/settings"
	"github.com/egretmux/egretmux/internal/voter"
)

// fakeWorkers implements scheduler.WorkerClient in memory. Each run ends as done at the
// next poll, unless it is held.
type fakeWorkers struct {
	mu             sync.Mutex
	running        []dispatch.StartOrder
	stored         func(dispatch.StartOrder) bool // reports whether the book holds the start
	unstoredStarts []dispatch.StartOrder          // sent before the book held them
	ended          []dispatch.ListedEnd
	cursor         uint64
	starts         int
	stopped        []uint64 // runs, by the stops for them
	// refuse, if set, answers a start unless it returns Accepted.
	refuse func(ctx context.Context, earlierStarts int) dispatch.StartResult
	held   func(dispatch.StartOrder) bool // reports whether a run goes on; nil if none does
}

func (f *fakeWorkers) Start(ctx context.Context, s dispatch.StartOrder, _ uint64) (dispatch.StartResult, int64) {
	f.mu.Lock()
	earlierStarts := f.starts
	f.starts++
	f.mu.Unlock()
	if f.refuse != nil {
		if answer := f.refuse(ctx, earlierStarts); answer != dispatch.Accepted {
			return answer, 0
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.stored(s) {
		f.unstoredStarts = append(f.unstoredStarts, s)
	}
	f.running = append(f.running, s)
	return dispatch.Accepted, 0
}

func (f *fakeWorkers) Stop(_ context.Context, s dispatch.StopOrder, _ uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = append(f.stopped, s.Run)
	return true
}
func (f *fakeWorkers) Pace(context.Context, dispatch.PaceOrder, uint64) bool { return true }
func (f *fakeWorkers) Release(dispatch.Target)                               {}

func (f *fakeWorkers) Poll(_ context.Context, poll scheduler.Poll) (dispatch.Listing, scheduler.PollResult) {
	time.Sleep(5 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cursor = max(f.cursor, poll.Cursor)
	listing := dispatch.Listing{Clock: time.Now().UnixMilli(), Complete: true}
	var running []dispatch.StartOrder
	for _, s := range f.running {
		if f.held != nil && f.held(s) {
			running = append(running, s)
			listing.Running = append(listing.Running, dispatch.ListedRun{Task: s.Task, Run: s.Run})
			continue
		}
		f.ended = append(f.ended, dispatch.ListedEnd{Number: uint64(len(f.ended) + 1), Task: s.Task, Run: s.Run, Outcome: egretmuxv1.RunOutcome_RUN_OUTCOME_DONE, TaskParsed: true})
	}
	f.running = running
	listing.Ended = f.ended[min(uint64(len(f.ended)), poll.Cursor):]
	return listing, scheduler.PollAnswered
}

// noAdvice implements scheduler.AdviceClient. No step here needs advice.
type noAdvice struct{}

func (noAdvice) Advise(context.Context, dispatch.Ask) (map[string]string, error) { return nil, nil }
func (noAdvice) Instances() int                                                  { return 1 }

// startLeader starts a cell with a single replica and returns its scheduler once it
// leads.
func startLeader(t *testing.T, f *fakeWorkers, options ...func(*scheduler.Config)) *scheduler.Scheduler {
	t.Helper()
	book := job.NewBook()
	f.stored = func(s dispatch.StartOrder) bool {
		stored := false
		book.View(s.Task.Job, func(r *job.Record) {
			stored = r != nil && r.Task(s.Task.Occurrence, s.Task.Step, s.Task.Index).LastStartedRun >= s.Run
		})
		return stored
	}
	return startLeaderOn(t, book, book, f, options...)
}

// startLeaderOn is like startLeader, with a state machine that applies commands to the book.
func startLeaderOn(t *testing.T, book *job.Book, applied consensus.StateMachine, workers scheduler.WorkerClient, options ...func(*scheduler.Config)) *scheduler.Scheduler {
	t.Helper()
	dialer, err := peer.NewDialer("", "")
	require.NoError(t, err)
	v, err := voter.Open(&settings.Settings{
		Instance: "a", DataFolder: t.TempDir(), Cell: settings.Listener{Address: "a"},
		Tick: 5 * time.Millisecond, ElectionTicks: 6, HeartbeatTicks: 2, SnapshotEntries: 1000,
	}, dialer, zerolog.Nop())
	require.NoError(t, err)
	require.NoError(t, v.Bootstrap(&egretmuxv1.Membership{Replicas: []*egretmuxv1.Replica{v.Replica()}}))
	node, err := v.StartReplica(applied, func(err error) { t.Error(err) })
	require.NoError(t, err)
	cfg := scheduler.Config{WorkerClient: workers, AdviceClient: noAdvice{}, Lease: 6 * time.Second, FarFactor: 1, StatusKeep: time.Minute, Logger: zerolog.Nop()}
	for _, set := range options {
		set(&cfg)
	}
	s := scheduler.New(cfg)
	s.SetReplica(node, book)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		require.NoError(t, v.Close())
	})
	require.Eventually(t, s.Leads, 10*time.Second, 5*time.Millisecond)
	return s
}

func catalogue(version uint64, source string) *egretmuxv1.Catalogue {
	return &egretmuxv1.Catalogue{
		Version: version, Source: []byte(source), Pools: []*egretmuxv1.Pool{{Name: "p"}},
		Queues: []*egretmuxv1.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "p", TimeoutMs: 1000, Attempts: 2, SlackFactor: 2}},
	}
}

func address(path string) *egretmuxv1.QueueAddress {
	return &egretmuxv1.QueueAddress{Host: "h", Path: path}
}

const jobPath = "/q/00000000000000aa"

func TestJobRunsFromItsSubmissionToItsEnd(t *testing.T) {
	f := &fakeWorkers{}
	s := startLeader(t, f)
	ctx := t.Context()
	_, err := s.PutCatalogue(ctx, catalogue(1, "one"))
	require.NoError(t, err)
	require.NoError(t, s.HandleHeartbeat(ctx, &egretmuxv1.WorkerBeat{Life: &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: 1, Address: "w:1", Pool: "p", CpuMillis: 4000, MemoryMib: 1000}}))
	submit := &egretmuxv1.JobCall{Address: address(jobPath), Verb: egretmuxv1.JobVerb_JOB_VERB_SUBMIT, Job: &egretmuxv1.Job{Steps: []*egretmuxv1.JobStep{
		{Count: 3, CpuMillis: 1000, MemoryMib: 10, EstimateMs: 10}, {Count: 1, CpuMillis: 1000, MemoryMib: 10, EstimateMs: 10, After: []uint32{0}},
	}}}
	answer, err := s.CallJob(ctx, submit)
	require.NoError(t, err)
	require.True(t, answer.GetFound())
	show := &egretmuxv1.JobCall{Address: address(jobPath), Verb: egretmuxv1.JobVerb_JOB_VERB_SHOW}
	require.Eventually(t, func() bool {
		answer, err := s.CallJob(ctx, show)
		return err == nil && answer.GetPhase() == egretmuxv1.JobPhase_JOB_PHASE_COMPLETED
	}, 10*time.Second, 10*time.Millisecond)
	f.mu.Lock()
	require.Empty(t, f.unstoredStarts, "a start is stored before it is sent")
	f.mu.Unlock()
	require.Eventually(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.cursor == 4
	}, 10*time.Second, 10*time.Millisecond, "all ends are acknowledged")

	submit.Job.Id = ""
	again, err := s.CallJob(ctx, submit)
	require.NoError(t, err)
	require.True(t, again.GetFound(), "the same id is acknowledged again")
	answer, err = s.CallJob(ctx, &egretmuxv1.JobCall{Address: address("/q/00000000000000bb"), Verb: egretmuxv1.JobVerb_JOB_VERB_SHOW})
	require.NoError(t, err)
	require.False(t, answer.GetFound())
	answer, err = s.CallJob(ctx, &egretmuxv1.JobCall{Address: address("/other/"), Verb: egretmuxv1.JobVerb_JOB_VERB_SHOW})
	require.NoError(t, err)
	require.True(t, answer.GetNoQueue())
}

func TestCataloguesAreAcknowledgedAgainAndNeverReplacedByOlderOnes(t *testing.T) {
	s := startLeader(t, &fakeWorkers{})
	ctx := t.Context()
	_, err := s.Catalogue(ctx)
	require.Error(t, err, "no configuration yet")
	for _, c := range []*egretmuxv1.Catalogue{catalogue(5, "five"), catalogue(5, "five"), catalogue(4, "four")} {
		_, err := s.PutCatalogue(ctx, c)
		require.NoError(t, err)
	}
	_, err = s.PutCatalogue(ctx, catalogue(5, "other"))
	require.Equal(t, refusal.VersionConflict, refusal.Of(err).Kind)
	_, err = s.PutCatalogue(ctx, &egretmuxv1.Catalogue{Version: 9, Queues: []*egretmuxv1.Queue{{Name: "q", Service: "nowhere"}}})
	require.Equal(t, refusal.Invalid, refusal.Of(err).Kind)
	inForce, err := s.Catalogue(ctx)
	require.NoError(t, err)
	require.Equal(t, "five", string(inForce.GetSource()))
}

func TestCancelledJobIsShownAsCancelled(t *testing.T) {
	s := startLeader(t, &fakeWorkers{})
	ctx := t.Context()
	_, err := s.PutCatalogue(ctx, catalogue(1, "one"))
	require.NoError(t, err)
	phaseAfter := func(verb egretmuxv1.JobVerb) egretmuxv1.JobPhase {
		require.NoError(t, untilNotShed(func() error {
			_, err := s.CallJob(ctx, &egretmuxv1.JobCall{Address: address(jobPath), Verb: verb, Job: &egretmuxv1.Job{Steps: []*egretmuxv1.JobStep{{Count: 1}}}})
			return err
		}))
		answer, err := s.CallJob(ctx, &egretmuxv1.JobCall{Address: address(jobPath), Verb: egretmuxv1.JobVerb_JOB_VERB_SHOW})
		require.NoError(t, err)
		return answer.GetPhase()
	}
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_QUEUED, phaseAfter(egretmuxv1.JobVerb_JOB_VERB_SUBMIT))
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_CANCELLED, phaseAfter(egretmuxv1.JobVerb_JOB_VERB_CANCEL))
}

// Load: clients cancel paths that can name no job. Each would cost the cell a write to its log.
func TestCancelOfWhatIsNoJobIDIsNotCommitted(t *testing.T) {
	s := startLeaderWith(t, catalogue(1, "one"))
	committed := func() uint64 { // the status is published at the end of the pass that commits, before the next pass confirms
		require.NoError(t, s.Node().ConfirmLeader(t.Context()))
		status, _ := s.Node().Status()
		return status.Commit
	}
	before := committed()
	for _, path := range []string{"/q/", "/q/short", "/q/00000000000000zz", "/q/00000000000000aa/x"} {
		require.Equal(t, "unknown job", outcome(t.Context(), s, keyCall(cancelVerb, path, "")), path)
	}
	require.Equal(t, before, committed())
	stallReplica(t, s)
	ctx, cancel := context.WithTimeout(t.Context(), callerPatience)
	defer cancel()
	require.Equal(t, string(refusal.NoLeader), outcome(ctx, s, keyCall(cancelVerb, "/q/short", "")))
}

// untilNotShed repeats a call that the leader sheds, as clients do: on a busy machine its
// confirmations may take long enough for that. It gives up after ten seconds.
func untilNotShed(call func() error) error {
	err := call()
	for tries := 0; tries < 100 && err != nil && refusal.Of(err).Kind == refusal.Shed; tries++ {
		time.Sleep(100 * time.Millisecond)
		err = call()
	}
	return err
}

// runSingleTask submits a job with one task, waits until it has completed and returns
// the numbers of the runs that the worker began.
func runSingleTask(t *testing.T, f *fakeWorkers) []uint64 {
	t.Helper()
	s := startLeader(t, f)
	ctx := t.Context()
	_, err := s.PutCatalogue(ctx, catalogue(1, "one"))
	require.NoError(t, err)
	require.NoError(t, s.HandleHeartbeat(ctx, &egretmuxv1.WorkerBeat{Life: &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: 1, Address: "w:1", Pool: "p", CpuMillis: 4000, MemoryMib: 1000}}))
	require.NoError(t, untilNotShed(func() error { return submitOneTask(ctx, s) }))
	require.Eventually(t, func() bool {
		answer, err := s.CallJob(ctx, &egretmuxv1.JobCall{Address: address(jobPath), Verb: egretmuxv1.JobVerb_JOB_VERB_SHOW})
		return err == nil && answer.GetPhase() == egretmuxv1.JobPhase_JOB_PHASE_COMPLETED
	}, 10*time.Second, 10*time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	var runs []uint64
	for _, e := range f.ended {
		runs = append(runs, e.Run)
	}
	return runs
}

func TestStartWithoutAnswerIsSentAgainAsTheSameRun(t *testing.T) {
	runs := runSingleTask(t, &fakeWorkers{refuse: func(ctx context.Context, earlierStarts int) dispatch.StartResult {
		if earlierStarts > 0 {
			return dispatch.Accepted
		}
		<-ctx.Done()
		return dispatch.Unanswered
	}})
	require.Equal(t, []uint64{1}, runs)
}

// The unanswered first try may still be carried out, so that the run must be stopped
// and the task started as a new run.
func TestRefusalOfARepeatedStartDoesNotProveThatNothingRuns(t *testing.T) {
	f := &fakeWorkers{}
	f.refuse = func(ctx context.Context, earlierStarts int) dispatch.StartResult {
		switch earlierStarts {
		case 0:
			<-ctx.Done()
			return dispatch.Unanswered
		case 1:
			return dispatch.NoRoom
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if !slices.Contains(f.stopped, 1) {
			t.Error("started again before a stop of the first run")
		}
		return dispatch.Accepted
	}
	require.Equal(t, []uint64{2}, runSingleTask(t, f))
}

// Guards against heartbeats of a known worker whose capacity is not looked at (LIMIT).
func TestHeartbeatWithASmallerCapacityLimitsTheStarts(t *testing.T) {
	f := &fakeWorkers{held: func(dispatch.StartOrder) bool { return true }}
	s := startLeader(t, f)
	ctx := t.Context()
	_, err := s.PutCatalogue(ctx, catalogue(1, "one"))
	require.NoError(t, err)
	beat := &egretmuxv1.WorkerBeat{Life: &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: 1, Address: "w:1", Pool: "p", CpuMillis: 4000, MemoryMib: 1000}, Sequence: 1}
	require.NoError(t, s.HandleHeartbeat(ctx, beat))
	beat = &egretmuxv1.WorkerBeat{Life: &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: 1, Address: "w:1", Pool: "p", CpuMillis: 1000, MemoryMib: 1000}, Sequence: 2}
	require.NoError(t, s.HandleHeartbeat(ctx, beat))
	require.NoError(t, untilNotShed(func() error {
		_, err := s.CallJob(ctx, &egretmuxv1.JobCall{Address: address(jobPath), Verb: egretmuxv1.JobVerb_JOB_VERB_SUBMIT, Job: &egretmuxv1.Job{Steps: []*egretmuxv1.JobStep{
			{Count: 3, CpuMillis: 1000, MemoryMib: 10, EstimateMs: 10},
		}}})
		return err
	}))
	require.Eventually(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.running) == 1
	}, 10*time.Second, 5*time.Millisecond)
	require.Never(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.starts > 1
	}, 500*time.Millisecond, 20*time.Millisecond)
}

// Guards against a worker that has left and gets starts again because a heartbeat of it was
// delayed.
func TestLateHeartbeatOfAWorkerThatLeftIsNotUsed(t *testing.T) {
	s := startLeader(t, &fakeWorkers{})
	ctx := t.Context()
	_, err := s.PutCatalogue(ctx, catalogue(1, "one"))
	require.NoError(t, err)
	life := &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: 1, Address: "w:1", Pool: "p", CpuMillis: 4000, MemoryMib: 1000}
	require.NoError(t, s.HandleHeartbeat(ctx, &egretmuxv1.WorkerBeat{Life: life, Sequence: 1}))
	require.Eventually(t, func() bool { return s.WorkerCount() == 1 }, 5*time.Second, 5*time.Millisecond)
	require.NoError(t, s.HandleHeartbeat(ctx, &egretmuxv1.WorkerBeat{Life: &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: 1}, Leaving: true}))
	require.Eventually(t, func() bool { return s.WorkerCount() == 0 }, 5*time.Second, 5*time.Millisecond)
	require.NoError(t, s.HandleHeartbeat(ctx, &egretmuxv1.WorkerBeat{Life: life, Sequence: 2}))
	require.Never(t, func() bool { return s.WorkerCount() > 0 }, 200*time.Millisecond, 5*time.Millisecond)
}

// Guards against a task that runs twice, as the life of its worker ended with the announcement of its
// end: a worker that does not get the acknowledgement runs on for some seconds.
func TestLifeOfAWorkerThatLeavesLastsUntilItsRunsHaveEnded(t *testing.T) {
	f := &fakeWorkers{}
	goesOn := true
	f.held = func(dispatch.StartOrder) bool { return goesOn }
	s := startLeader(t, f)
	ctx := t.Context()
	_, err := s.PutCatalogue(ctx, catalogue(1, "one"))
	require.NoError(t, err)
	life := &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: 1, Address: "w:1", Pool: "p", CpuMillis: 4000, MemoryMib: 1000}
	require.NoError(t, s.HandleHeartbeat(ctx, &egretmuxv1.WorkerBeat{Life: life, Sequence: 1}))
	require.NoError(t, untilNotShed(func() error {
		_, err := s.CallJob(ctx, &egretmuxv1.JobCall{Address: address(jobPath), Verb: egretmuxv1.JobVerb_JOB_VERB_SUBMIT, Job: &egretmuxv1.Job{Steps: []*egretmuxv1.JobStep{
			{Count: 1, CpuMillis: 1000, MemoryMib: 10, EstimateMs: 10},
		}}})
		return err
	}))
	require.Eventually(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.running) == 1
	}, 10*time.Second, 5*time.Millisecond)
	leave := &egretmuxv1.WorkerBeat{Life: &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: 1}, Leaving: true}
	for range 2 { // the answer to the first may be lost
		require.Eventually(t, func() bool { return s.HandleHeartbeat(ctx, leave) == nil }, 10*time.Second, 100*time.Millisecond, "repeated until it is acknowledged")
		require.Never(t, func() bool { return s.WorkerCount() == 0 }, 300*time.Millisecond, 5*time.Millisecond)
	}
	f.mu.Lock()
	goesOn = false
	f.mu.Unlock()
	require.Eventually(t, func() bool { return s.WorkerCount() == 0 }, 15*time.Second, 10*time.Millisecond)
}

// Guards against a message that arrives empty, or cut short, and is stored as a worker.
func TestHeartbeatWithoutNameAddressOrPoolIsRefused(t *testing.T) {
	s := startLeader(t, &fakeWorkers{})
	for name, beat := range map[string]*egretmuxv1.WorkerBeat{
		"empty":                {},
		"no name":              {Life: &egretmuxv1.WorkerLife{BornUnixMs: 1, Address: "w:1", Pool: "p"}},
		"no address":           {Life: &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: 1, Pool: "p"}},
		"no pool":              {Life: &egretmuxv1.WorkerLife{Worker: "w", BornUnixMs: 1, Address: "w:1"}},
		"leaving without name": {Life: &egretmuxv1.WorkerLife{BornUnixMs: 1}, Leaving: true},
	} {
		err := s.HandleHeartbeat(t.Context(), beat)
		require.Error(t, err, name)
		require.Equal(t, refusal.Invalid, refusal.Of(err).Kind, name)
	}
	require.Zero(t, s.WorkerCount())
	require.NoError(t, s.HandleHeartbeat(t.Context(), &egretmuxv1.WorkerBeat{Life: &egretmuxv1.WorkerLife{Worker: "w"}, Leaving: true}))
}
