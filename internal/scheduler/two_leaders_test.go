package scheduler_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/scheduler"
)

const (
	sharedRunTime   = 2 * time.Second        // over several leaders
	sharedLateDelay = 400 * time.Millisecond // of a start without an answer
)

// sharedWorkers are workers that all leaders call. They keep to the workers' protocol, and record starts
// that break its rules.
type sharedWorkers struct {
	mu      sync.Mutex
	workers map[string]*sharedWorker
	present map[dispatch.TaskKey]int  // runs
	noted   map[dispatch.TaskKey]bool // tasks whose end is acknowledged
	starts  int
	faults  []string
}

type sharedWorker struct {
	fence   uint64
	running map[dispatch.TaskKey]sharedRun
	highest map[dispatch.TaskKey]uint64 // runs that were stopped or have ended
	ended   []dispatch.ListedEnd
}

type sharedRun struct {
	number uint64
	began  time.Time
}

func newSharedWorkers(names ...string) *sharedWorkers {
	s := &sharedWorkers{workers: make(map[string]*sharedWorker), present: make(map[dispatch.TaskKey]int), noted: make(map[dispatch.TaskKey]bool)}
	for _, name := range names {
		s.workers[name] = &sharedWorker{running: make(map[dispatch.TaskKey]sharedRun), highest: make(map[dispatch.TaskKey]uint64)}
	}
	return s
}

// admit ends the runs of a worker whose time is over and returns the worker, or nil if it has seen a newer
// leader. The caller holds mu.
func (s *sharedWorkers) admit(t dispatch.Target, fence uint64) *sharedWorker {
	w := s.workers[t.Worker]
	for key, run := range w.running {
		if time.Since(run.began) > sharedRunTime {
			s.end(w, key, egretmuxv1.RunOutcome_RUN_OUTCOME_DONE)
		}
	}
	if fence < w.fence {
		return nil
	}
	w.fence = fence
	return w
}

func (s *sharedWorkers) end(w *sharedWorker, key dispatch.TaskKey, outcome egretmuxv1.RunOutcome) {
	run := w.running[key]
	delete(w.running, key)
	s.present[key]--
	w.highest[key] = max(w.highest[key], run.number)
	w.ended = append(w.ended, dispatch.ListedEnd{Number: uint64(len(w.ended) + 1), Task: key, Run: run.number, Outcome: outcome, TaskParsed: true})
}

func (s *sharedWorkers) Start(ctx context.Context, o dispatch.StartOrder, fence uint64) (dispatch.StartResult, int64) {
	switch rand.IntN(10) {
	case 0: // carried out late, without an answer
		time.AfterFunc(sharedLateDelay, func() { s.start(o, fence) })
		<-ctx.Done()
		return dispatch.Unanswered, 0
	case 1: // the answer is lost
		s.start(o, fence)
		<-ctx.Done()
		return dispatch.Unanswered, 0
	}
	return s.start(o, fence), 0
}

func (s *sharedWorkers) start(o dispatch.StartOrder, fence uint64) dispatch.StartResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.admit(o.Target, fence)
	if w == nil {
		return dispatch.StaleFence
	}
	if run, there := w.running[o.Task]; there || o.Run <= w.highest[o.Task] {
		if there && run.number == o.Run {
			return dispatch.Accepted
		}
		return dispatch.OldRun
	}
	s.starts++
	if s.present[o.Task] > 0 {
		s.faults = append(s.faults, fmt.Sprintf("%s run %d starts on %s in term %d beside another run", o.Task, o.Run, o.Worker, fence))
	}
	if s.noted[o.Task] {
		s.faults = append(s.faults, fmt.Sprintf("%s run %d starts on %s in term %d after it was done", o.Task, o.Run, o.Worker, fence))
	}
	w.running[o.Task] = sharedRun{o.Run, time.Now()}
	s.present[o.Task]++
	return dispatch.Accepted
}

func (s *sharedWorkers) Stop(_ context.Context, o dispatch.StopOrder, fence uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.admit(o.Target, fence)
	if w == nil {
		return false
	}
	if run, there := w.running[o.Task]; there && run.number <= o.Run {
		s.end(w, o.Task, egretmuxv1.RunOutcome_RUN_OUTCOME_STOPPED)
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	return true
}

func (s *sharedWorkers) Pace(context.Context, dispatch.PaceOrder, uint64) bool { return true }
func (s *sharedWorkers) Release(dispatch.Target)                               {}

func (s *sharedWorkers) Poll(_ context.Context, p scheduler.Poll) (dispatch.Listing, scheduler.PollResult) {
	time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.admit(p.Target, p.Fence)
	if w == nil {
		return dispatch.Listing{}, scheduler.PollStaleFence
	}
	l := dispatch.Listing{Clock: time.Now().UnixMilli(), Complete: true}
	for key, run := range w.running {
		l.Running = append(l.Running, dispatch.ListedRun{Task: key, Run: run.number})
	}
	for _, e := range w.ended {
		if e.Number > p.Cursor {
			l.Ended = append(l.Ended, e)
		} else if e.Outcome == egretmuxv1.RunOutcome_RUN_OUTCOME_DONE {
			s.noted[e.Task] = true
		}
	}
	return l, scheduler.PollAnswered
}

// Guards against two leaders that both act at a hand-over, or while one that stood still goes on: no task
// may have two runs at a time, or one after its end was taken note of, and all must end.
func TestLeadersThatFollowEachOtherStartNoTaskTwice(t *testing.T) {
	nodes, books, _ := startReplicas(t, 3)
	shared := newSharedWorkers("a", "b", "c")
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	var schedulers []*scheduler.Scheduler
	for i, node := range nodes {
		s := scheduler.New(scheduler.Config{WorkerClient: shared, AdviceClient: noAdvice{}, Lease: 2 * time.Second, FarFactor: 1, StopTimeout: time.Second, StatusKeep: time.Minute, Logger: zerolog.Nop()})
		s.SetReplica(node, books[i])
		running.Go(func() { s.Run(ctx) })
		schedulers = append(schedulers, s)
	}
	leader := awaitLeader(t, schedulers, nil)
	_, err := leader.PutCatalogue(ctx, catalogue(1, "one"))
	require.NoError(t, err)
	for name := range shared.workers {
		require.NoError(t, leader.HandleHeartbeat(ctx, &egretmuxv1.WorkerBeat{Life: &egretmuxv1.WorkerLife{Worker: name, BornUnixMs: 1, Address: name + ":1", Pool: "p", CpuMillis: 100_000, MemoryMib: 10_000}}))
	}
	const terms, jobsEach, tasksPerJob = 5, 4, 5 // there is room for two runs of each
	submit := func(n int) {
		require.Eventually(t, func() bool { // at any instance, until one accepts it
			_, err := schedulers[rand.IntN(len(schedulers))].CallJob(ctx, &egretmuxv1.JobCall{Address: address(fmt.Sprintf("/q/%016x", n)), Verb: submitVerb, Job: &egretmuxv1.Job{
				Steps: []*egretmuxv1.JobStep{{Count: tasksPerJob, CpuMillis: 1000, MemoryMib: 10, EstimateMs: sharedRunTime.Milliseconds()}},
			}})
			return err == nil
		}, 10*time.Second, time.Millisecond)
	}
	for n := range terms {
		for i := range jobsEach {
			submit(n*jobsEach + i)
		}
		time.Sleep(100 * time.Millisecond)
		old := awaitLeader(t, schedulers, nil)
		if n%2 == 1 {
			release := stallReplica(t, old)
			awaitLeader(t, schedulers, old)
			release()
			continue
		}
		require.NoError(t, scheduler.HandOver(ctx, old.Node()))
		awaitLeader(t, schedulers, old)
	}
	require.Eventually(t, func() bool {
		for n := range terms * jobsEach {
			done := false
			books[0].View(fmt.Sprintf("%016x", n), func(r *job.Record) { done = r != nil && r.Phase == egretmuxv1.JobPhase_JOB_PHASE_COMPLETED })
			if !done {
				return false
			}
		}
		return true
	}, 25*time.Second, 10*time.Millisecond, "not all jobs are done")
	time.Sleep(sharedLateDelay)
	shared.mu.Lock()
	defer shared.mu.Unlock()
	require.Empty(t, shared.faults)
	t.Logf("%d starts of %d tasks", shared.starts, terms*jobsEach*tasksPerJob)
}
