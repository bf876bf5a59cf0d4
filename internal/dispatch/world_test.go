package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/job"
)

const testLease = 6 * time.Second

// world is a book, a core, and the orders that the core gave.
type world struct {
	t       *testing.T
	book    *job.Book
	core    *dispatch.Core
	now     time.Duration
	term    uint64
	ends    map[string]uint64 // number of the last end, by worker
	starts  []dispatch.Start
	stops   []dispatch.Stop
	asks    []dispatch.Ask
	notes   []dispatch.EndBatch
	notices []dispatch.Notice
}

func newWorld(t *testing.T, queues ...*egretmuxv1.Queue) *world {
	t.Helper()
	w := &world{t: t, book: job.NewBook(), term: 2, ends: make(map[string]uint64)}
	if len(queues) == 0 {
		queues = []*egretmuxv1.Queue{queue()}
	}
	w.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_PutCatalogue{PutCatalogue: &egretmuxv1.PutCatalogue{Catalogue: &egretmuxv1.Catalogue{
		Version: 1, Queues: queues, Pools: []*egretmuxv1.Pool{{Name: "ledger"}},
	}}}})
	w.elect()
	return w
}

func queue() *egretmuxv1.Queue {
	return &egretmuxv1.Queue{Name: "q", Host: "h", Prefix: "/q/", Service: "ledger", TimeoutMs: 3000, Attempts: 2, SlackFactor: 2, TargetLatencyMs: 500}
}

func (w *world) apply(cmd *egretmuxv1.JobCommand) job.Result {
	w.t.Helper()
	data, err := proto.Marshal(cmd)
	require.NoError(w.t, err)
	result, ok := w.book.Apply(1, data).(job.Result)
	require.True(w.t, ok)
	return result
}

// elect begins the next tenure with what the book holds.
func (w *world) elect() {
	began := w.now
	if w.core != nil {
		w.term++
	}
	w.core = dispatch.New(dispatch.Config{
		Book: w.book, Term: w.term, Lease: testLease, FarFactor: 2,
		UnixMs: func(now time.Duration) int64 { return (began + now).Milliseconds() },
	})
	w.now = 0
	w.starts, w.stops, w.asks, w.notes = nil, nil, nil, nil
}

func (w *world) take() {
	acts := w.core.TakeActions()
	for _, s := range acts.Starts {
		w.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_NoteStarts{NoteStarts: &egretmuxv1.NoteStarts{Starts: []*egretmuxv1.RunStart{{
			Job: s.Task.Job, Occurrence: s.Task.Occurrence, Step: s.Task.Step, Index: s.Task.Index, Run: s.Run, Worker: s.Worker, BornUnixMs: s.Born,
		}}}}})
	}
	w.starts = append(w.starts, acts.Starts...)
	w.stops = append(w.stops, acts.Stops...)
	w.asks = append(w.asks, acts.Asks...)
	w.notes = append(w.notes, acts.EndBatches...)
	w.notices = append(w.notices, w.core.TakeNotices()...)
}

func (w *world) plan() {
	w.core.Plan(w.now)
	w.take()
}

func (w *world) pass(d time.Duration) {
	w.now += d
	w.core.LeaderConfirmed(w.now)
	w.core.Tick(w.now)
	w.take()
}

func life(name string, cores int64) *egretmuxv1.WorkerLife {
	return &egretmuxv1.WorkerLife{Worker: name, BornUnixMs: 1, Address: name + ":1", Pool: "ledger", CpuMillis: cores * 1000, MemoryMib: 64 << 10, Labels: []string{"a", "r1-1"}}
}

func targetOf(l *egretmuxv1.WorkerLife) dispatch.Target {
	return dispatch.Target{Worker: l.GetWorker(), Born: l.GetBornUnixMs(), Address: l.GetAddress()}
}

// worker stores a life and has it read once.
func (w *world) worker(name string, cores int64) dispatch.Target {
	w.t.Helper()
	l := life(name, cores)
	w.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_RecordLife{RecordLife: &egretmuxv1.RecordLife{Life: l}}})
	w.core.WorkerJoined(l, w.now)
	w.list(targetOf(l), nil, nil)
	return targetOf(l)
}

// list hands over a listing that was asked for and answered now.
func (w *world) list(t dispatch.Target, running []dispatch.ListedRun, ended []dispatch.ListedEnd) {
	w.core.HandleListing(t, w.now, w.now, dispatch.Listing{Clock: 1000 + w.now.Milliseconds(), Running: running, Ended: ended, Whole: true})
	w.take()
}

func (w *world) submit(id string, steps ...*egretmuxv1.JobStep) {
	w.t.Helper()
	w.submitTo("/q/", id, steps...)
}

func (w *world) submitTo(prefix, id string, steps ...*egretmuxv1.JobStep) {
	w.t.Helper()
	w.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: &egretmuxv1.Job{
		Id: id, Host: "h", Prefix: prefix, Service: "ledger", Steps: steps, Attempts: 2, AcceptedUnixMs: w.now.Milliseconds(),
	}}}})
	w.core.JobAccepted(id, w.now)
}

// accept answers all starts given so far.
func (w *world) accept() []dispatch.Start {
	given := w.starts
	w.starts = nil
	for _, s := range given {
		w.core.StartAnswered(s, dispatch.Accepted, w.now, w.now)
	}
	w.take()
	return given
}

func (w *world) end(s dispatch.Start, how egretmuxv1.RunOutcome) dispatch.ListedEnd {
	w.ends[s.Worker]++
	return dispatch.ListedEnd{Number: w.ends[s.Worker], Task: s.Task, Run: s.Run, Outcome: how, TaskParsed: true}
}

// note stores the ends that wait for the log.
func (w *world) note() {
	w.t.Helper()
	notes := w.notes
	w.notes = nil
	for _, n := range notes {
		w.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_NoteEnds{NoteEnds: &egretmuxv1.NoteEnds{Ends: n.Ends}}})
		w.core.EndsStored(n.Target, n.Cursor, n.Ends, w.now)
	}
	w.take()
}

func (w *world) phase(id string) egretmuxv1.JobPhase {
	phase := egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED
	w.book.View(id, func(r *job.Record) {
		require.NotNil(w.t, r)
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
