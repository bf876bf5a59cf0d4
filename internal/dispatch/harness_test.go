package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/job"
)

const testLease = 6 * time.Second

// harness drives a core against a book and collects the actions that it returned.
type harness struct {
	t          *testing.T
	book       *job.Book
	core       *dispatch.Core
	now        time.Duration
	term       uint64
	endNumbers map[string]uint64 // by worker: number of the last end
	starts     []dispatch.StartOrder
	stops      []dispatch.StopOrder
	asks       []dispatch.Ask
	endBatches []dispatch.EndBatch
	notices    []dispatch.Notice
	present    []dispatch.StartOrder // runs that acceptAll accepted and endOne has not ended
	behind     time.Duration         // by which the next leader's time of day is behind

	gangTimeout, stopTimeout time.Duration // of the next tenure
}

func newHarness(t *testing.T, queues ...*egretmuxv1.Queue) *harness {
	t.Helper()
	h := &harness{t: t, book: job.NewBook(), term: 2, endNumbers: make(map[string]uint64)}
	if len(queues) == 0 {
		queues = []*egretmuxv1.Queue{queue()}
	}
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_PutCatalogue{PutCatalogue: &egretmuxv1.PutCatalogue{Catalogue: &egretmuxv1.Catalogue{
		Version: 1, Queues: queues, Pools: []*egretmuxv1.Pool{{Name: "ledger"}},
	}}}})
	h.beginTenure()
	return h
}

func queue() *egretmuxv1.Queue {
	return &egretmuxv1.Queue{Name: "q", Host: "h", Prefix: "/q/", Service: "ledger", TimeoutMs: 3000, Attempts: 2, SlackFactor: 2, TargetLatencyMs: 500}
}

func (h *harness) apply(cmd *egretmuxv1.JobCommand) job.Result {
	h.t.Helper()
	data, err := proto.Marshal(cmd)
	require.NoError(h.t, err)
	result, ok := h.book.Apply(1, data).(job.Result)
	require.True(h.t, ok)
	return result
}

// beginTenure replaces the core by that of a new leader, which reads the book.
func (h *harness) beginTenure() {
	began, behind := h.now, h.behind
	if h.core != nil {
		h.term++
	}
	h.core = dispatch.New(dispatch.Config{
		Book: h.book, Term: h.term, Lease: testLease, FarFactor: 2, GangTimeout: h.gangTimeout, StopTimeout: h.stopTimeout,
		UnixMs: func(now time.Duration) int64 { return (began + now - behind).Milliseconds() },
	})
	h.now = 0
	h.starts, h.stops, h.asks, h.endBatches = nil, nil, nil, nil
}

// takeActions collects the actions of the core and stores its starts.
func (h *harness) takeActions() {
	actions := h.core.TakeActions()
	for _, s := range actions.Starts {
		h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_NoteStarts{NoteStarts: &egretmuxv1.NoteStarts{Starts: []*egretmuxv1.RunStart{{
			Job: s.Task.Job, Occurrence: s.Task.Occurrence, Step: s.Task.Step, Index: s.Task.Index, Run: s.Run, Worker: s.Worker, BornUnixMs: s.Born,
			Superseded: s.Superseded,
		}}}}})
		h.core.StartStored(s)
	}
	h.starts = append(h.starts, actions.Starts...)
	h.stops = append(h.stops, actions.Stops...)
	h.asks = append(h.asks, actions.Asks...)
	h.endBatches = append(h.endBatches, actions.EndBatches...)
	h.notices = append(h.notices, h.core.TakeNotices()...)
}

func (h *harness) plan() {
	h.core.Plan(h.now)
	h.takeActions()
}

func (h *harness) advance(d time.Duration) {
	h.now += d
	h.core.LeaderConfirmed(h.now)
	h.core.Tick(h.now)
	h.takeActions()
}

func life(name string, cores int64) *egretmuxv1.WorkerLife {
	return &egretmuxv1.WorkerLife{Worker: name, BornUnixMs: 1, Address: name + ":1", Pool: "ledger", CpuMillis: cores * 1000, MemoryMib: 64 << 10, Labels: []string{"a", "r1-1"}}
}

func targetOf(l *egretmuxv1.WorkerLife) dispatch.Target {
	return dispatch.Target{Worker: l.GetWorker(), Born: l.GetBornUnixMs(), Address: l.GetAddress()}
}

// addWorker stores an incarnation of a worker and hands over its first listing.
func (h *harness) addWorker(name string, cores int64) dispatch.Target {
	h.t.Helper()
	l := life(name, cores)
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_RecordLife{RecordLife: &egretmuxv1.RecordLife{Life: l}}})
	h.core.WorkerJoined(l, h.now)
	h.handleListing(targetOf(l), nil, nil)
	return targetOf(l)
}

// handleListing hands over a complete listing that was requested and answered now.
func (h *harness) handleListing(t dispatch.Target, running []dispatch.ListedRun, ended []dispatch.ListedEnd) {
	h.core.HandleListing(t, h.now, h.now, dispatch.Listing{Clock: 1000 + h.now.Milliseconds(), Running: running, Ended: ended, Complete: true})
	h.takeActions()
}

func (h *harness) submit(id string, steps ...*egretmuxv1.JobStep) {
	h.t.Helper()
	h.submitTo("/q/", id, steps...)
}

func (h *harness) submitTo(prefix, id string, steps ...*egretmuxv1.JobStep) {
	h.t.Helper()
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: &egretmuxv1.Job{
		Id: id, Host: "h", Prefix: prefix, Service: "ledger", Steps: steps, Attempts: 2, AcceptedUnixMs: h.now.Milliseconds(),
	}}}})
	h.core.JobAccepted(id, h.now)
}

// acceptStarts answers all collected starts with Accepted and returns them.
func (h *harness) acceptStarts() []dispatch.StartOrder {
	accepted := h.starts
	h.starts = nil
	for _, s := range accepted {
		h.core.StartAnswered(s, dispatch.Accepted, h.now, h.now)
	}
	h.takeActions()
	return accepted
}

// acceptAll answers all collected starts with Accepted and keeps them as present.
func (h *harness) acceptAll() []dispatch.StartOrder {
	accepted := h.acceptStarts()
	h.present = append(h.present, accepted...)
	return accepted
}

// handlePresent hands over a listing of all runs that are present, with progress.
func (h *harness) handlePresent() {
	running := make(map[dispatch.Target][]dispatch.ListedRun)
	for _, s := range h.present {
		listed := listedRun(s)
		listed.ProgressPercent = h.now.Seconds()
		running[s.Target] = append(running[s.Target], listed)
	}
	for target, runs := range running {
		h.core.GrantLease(target)
		h.handleListing(target, runs, nil)
	}
}

// endOne hands over the end of a run that acceptAll accepted, beside the other runs that
// are present on its worker, stores it and plans.
func (h *harness) endOne(ended dispatch.StartOrder) {
	h.t.Helper()
	h.present = slices.DeleteFunc(h.present, func(s dispatch.StartOrder) bool { return s.Task == ended.Task && s.Run == ended.Run })
	var running []dispatch.ListedRun
	for _, s := range h.present {
		if s.Worker == ended.Worker {
			running = append(running, listedRun(s))
		}
	}
	h.handleListing(ended.Target, running, []dispatch.ListedEnd{h.listedEnd(ended, done)})
	h.storeEnds()
	h.plan()
}

func (h *harness) listedEnd(s dispatch.StartOrder, outcome egretmuxv1.RunOutcome) dispatch.ListedEnd {
	h.endNumbers[s.Worker]++
	return dispatch.ListedEnd{Number: h.endNumbers[s.Worker], Task: s.Task, Run: s.Run, Outcome: outcome, TaskParsed: true}
}

// storeEnds stores the collected batches of ends.
func (h *harness) storeEnds() {
	h.t.Helper()
	batches := h.endBatches
	h.endBatches = nil
	for _, batch := range batches {
		h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_NoteEnds{NoteEnds: &egretmuxv1.NoteEnds{Ends: batch.Ends}}})
		h.core.EndsStored(batch.Target, batch.Cursor, batch.Ends, h.now)
	}
	h.takeActions()
}

func (h *harness) phase(id string) egretmuxv1.JobPhase {
	phase := egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED
	h.book.View(id, func(r *job.Record) {
		require.NotNil(h.t, r)
		phase = r.Phase
	})
	return phase
}

func tasks(count uint32, cores int64) *egretmuxv1.JobStep {
	return &egretmuxv1.JobStep{Count: count, CpuMillis: cores * 1000, MemoryMib: 100, EstimateMs: 1000}
}

func id(n int) string { return fmt.Sprintf("%016x", n) }

const (
	done   = egretmuxv1.RunOutcome_RUN_OUTCOME_DONE
	failed = egretmuxv1.RunOutcome_RUN_OUTCOME_FAILED
)
