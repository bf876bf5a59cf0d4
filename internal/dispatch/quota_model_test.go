package dispatch_test

import (
	"bytes"
	"cmp"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/job"
)

// Runs are reproducible; -rapid.seed sets another seed.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// fleet is what workers really do with the orders of a core and of those before it.
type fleet struct {
	*harness
	rt      *rapid.T
	clock   time.Duration // since the first tenure began
	workers []*fleetWorker
	starts  []sentStart
	stops   []sentStop
	demand  map[dispatch.StepKey]int64
	owner   map[string]string  // customer by job
	quotas  map[string][]int64 // all that were in force
}

type fleetWorker struct {
	dispatch.Target
	term       uint64 // highest that it has seen
	running    map[dispatch.TaskKey]dispatch.StartOrder
	refusedRun map[dispatch.TaskKey]uint64 // it refuses runs up to this one
	ended      []dispatch.ListedEnd        // not acknowledged
	leaseUntil int64
}

type sentStart struct {
	dispatch.StartOrder
	term       uint64
	unanswered bool // the leader has given up waiting, or was replaced
	since      int  // index into quotas when it was ordered
}

type sentStop struct {
	dispatch.StopOrder
	term uint64
}

func (f *fleet) clockMs() int64 { return 1000 + f.clock.Milliseconds() }

// collect puts the orders of the core on their way.
func (f *fleet) collect() {
	for _, s := range f.harness.starts {
		f.starts = append(f.starts, sentStart{s, f.harness.term, false, len(f.quotas["a"]) - 1})
	}
	for _, s := range f.harness.stops {
		f.stops = append(f.stops, sentStop{s, f.harness.term})
	}
	f.harness.starts, f.harness.stops = nil, nil
}

func (f *fleet) pass(d time.Duration) {
	f.clock += d
	f.advance(d)
	for _, w := range f.workers {
		if f.clockMs() >= w.leaseUntil {
			for _, s := range w.running {
				w.end(f, s, egretmuxv1.RunOutcome_RUN_OUTCOME_STOPPED)
			}
		}
	}
}

func (w *fleetWorker) end(f *fleet, s dispatch.StartOrder, outcome egretmuxv1.RunOutcome) {
	delete(w.running, s.Task)
	w.ended = append(w.ended, f.listedEnd(s, outcome))
}

// worker returns the worker of a target, or nil if that life is over.
func (f *fleet) worker(t dispatch.Target) *fleetWorker {
	for _, w := range f.workers {
		if w.Target == t {
			return w
		}
	}
	return nil
}

// present returns the cores that a customer's runs really use.
func (f *fleet) present(customer string) (cores int64) {
	for _, w := range f.workers {
		for task := range w.running {
			if f.owner[task.Job] == customer {
				cores += f.demand[task.StepKey]
			}
		}
	}
	return cores
}

// carryOut lets a worker handle a start, and checks the quota if the run begins.
func (f *fleet) carryOut(s sentStart) dispatch.StartResult {
	w := f.worker(s.Target)
	switch {
	case w == nil:
		return dispatch.AnotherIncarnation
	case s.term < w.term:
		return dispatch.StaleFence
	case s.Run <= w.refusedRun[s.Task]:
		return dispatch.OldRun
	case s.LeaseUntil <= f.clockMs():
		return dispatch.LeaseTooOld
	}
	w.term, w.refusedRun[s.Task], w.leaseUntil = s.term, s.Run, max(w.leaseUntil, s.LeaseUntil)
	w.running[s.Task] = s.StartOrder
	customer, highest := f.owner[s.Task.Job], int64(0)
	for _, quota := range f.quotas[customer][s.since:] {
		if quota == 0 {
			return dispatch.Accepted
		}
		highest = max(highest, quota)
	}
	require.LessOrEqual(f.rt, f.present(customer), highest, "run %s of %s", s.Task, customer)
	return dispatch.Accepted
}

func (f *fleet) deliverStart(i int, answered bool) {
	s := f.starts[i]
	f.starts = append(f.starts[:i:i], f.starts[i+1:]...)
	result := f.carryOut(s)
	if !answered {
		result = dispatch.Unanswered
	}
	if !s.unanswered && s.term == f.term {
		f.core.StartAnswered(s.StartOrder, result, f.now, f.now)
	}
}

func (f *fleet) deliverStop(i int, answered bool) {
	s := f.stops[i]
	f.stops = append(f.stops[:i:i], f.stops[i+1:]...)
	if w := f.worker(s.Target); answered && w != nil && s.term >= w.term {
		w.term, w.refusedRun[s.Task] = s.term, max(w.refusedRun[s.Task], s.Run)
	}
	if s.term == f.term {
		f.core.StopAnswered(s.StopOrder, answered, f.now)
	}
}

// poll hands over a listing with at most limit ends.
func (f *fleet) poll(w *fleetWorker, limit int) {
	until, cursor := f.core.GrantLease(w.Target)
	w.term, w.leaseUntil = f.term, max(w.leaseUntil, until)
	for len(w.ended) > 0 && w.ended[0].Number <= cursor {
		w.ended = w.ended[1:]
	}
	l := dispatch.Listing{Clock: f.clockMs(), Ended: w.ended[:min(limit, len(w.ended))], Complete: len(w.ended) <= limit}
	for _, s := range w.running {
		l.Running = append(l.Running, listedRun(s))
	}
	f.core.HandleListing(w.Target, f.now, f.now, l)
}

func (f *fleet) crashWorker(w *fleetWorker) {
	f.crash(w.Target)
	delete(f.endNumbers, w.Worker)
	w.Born++
	*w = fleetWorker{Target: w.Target, term: f.term, running: make(map[dispatch.TaskKey]dispatch.StartOrder), refusedRun: make(map[dispatch.TaskKey]uint64)}
}

// restoreBook lets the next leader read the book from a snapshot.
func (f *fleet) restoreBook() {
	var snapshot bytes.Buffer
	require.NoError(f.rt, f.book.Capture()(&snapshot))
	f.book = job.NewBook()
	require.NoError(f.rt, f.book.Restore(snapshot.Bytes()))
}

func (f *fleet) setQuotas(a, b int64) {
	f.putQuotas(map[string]int64{"a": a, "b": b})
	f.quotas["a"], f.quotas["b"] = append(f.quotas["a"], a), append(f.quotas["b"], b)
}

func (f *fleet) submitDrawn(n int) {
	steps := make([]*egretmuxv1.JobStep, rapid.IntRange(1, 2).Draw(f.rt, "steps"))
	jobID := id(n)
	for i := range steps {
		steps[i] = tasks(rapid.Uint32Range(1, 4).Draw(f.rt, "tasks"), rapid.Int64Range(1, 3).Draw(f.rt, "cores"))
		steps[i].Gang, steps[i].Fills = rapid.Bool().Draw(f.rt, "gang"), rapid.Bool().Draw(f.rt, "fills")
		if i > 0 {
			steps[i].After = []uint32{0}
		}
		f.demand[dispatch.StepKey{Job: jobID, Step: uint32(i)}] = steps[i].GetCpuMillis() / 1000
	}
	f.owner[jobID] = rapid.SampledFrom([]string{"a", "b"}).Draw(f.rt, "customer")
	f.submitFor(f.owner[jobID], rapid.SampledFrom([]string{"/q/", "/batch/"}).Draw(f.rt, "queue"), jobID, steps...)
}

// act lets one thing happen.
func (f *fleet) act() {
	w := f.workers[rapid.IntRange(0, len(f.workers)-1).Draw(f.rt, "worker")]
	answered := rapid.Bool().Draw(f.rt, "answered")
	switch rapid.SampledFrom([]string{"plan", "plan", "start", "start", "start", "late", "stop", "end", "end", "poll", "poll", "silent", "store", "submit", "cancel", "quota", "leader", "crash", "time"}).Draw(f.rt, "act") {
	case "plan":
		f.plan()
	case "start":
		if len(f.starts) > 0 {
			f.deliverStart(rapid.IntRange(0, len(f.starts)-1).Draw(f.rt, "start"), answered)
		}
	case "late":
		if len(f.starts) > 0 {
			s := &f.starts[rapid.IntRange(0, len(f.starts)-1).Draw(f.rt, "start")]
			if !s.unanswered && s.term == f.term {
				f.core.StartAnswered(s.StartOrder, dispatch.Unanswered, f.now, f.now)
			}
			s.unanswered = true
		}
	case "stop":
		if len(f.stops) > 0 {
			f.deliverStop(rapid.IntRange(0, len(f.stops)-1).Draw(f.rt, "stop"), answered)
		}
	case "end":
		for _, s := range sortedStarts(w.running) {
			if rapid.Bool().Draw(f.rt, "ends") {
				w.end(f, s, rapid.SampledFrom([]egretmuxv1.RunOutcome{done, failed, egretmuxv1.RunOutcome_RUN_OUTCOME_STOPPED}).Draw(f.rt, "how"))
			}
		}
	case "poll":
		f.poll(w, rapid.IntRange(0, 3).Draw(f.rt, "ends listed"))
	case "silent":
		f.core.PollUnanswered(w.Target)
	case "store":
		f.storeEnds()
	case "submit":
		f.submitDrawn(len(f.owner))
	case "cancel":
		if len(f.owner) > 0 {
			f.cancel(id(rapid.IntRange(0, len(f.owner)-1).Draw(f.rt, "job")))
		}
	case "quota":
		f.setQuotas(rapid.Int64Range(0, 12).Draw(f.rt, "a"), rapid.Int64Range(0, 12).Draw(f.rt, "b"))
	case "leader":
		f.restoreBook()
		f.beginTenure()
	case "crash":
		f.crashWorker(w)
	case "time":
		f.pass(time.Duration(rapid.IntRange(1, 7).Draw(f.rt, "s")) * time.Second)
	}
	f.takeActions()
	f.collect()
	f.pass(time.Millisecond)
}

// settle lets everything end, with workers that answer.
func (f *fleet) settle() {
	f.setQuotas(12, 12)
	for range 60 {
		f.plan()
		f.collect()
		for len(f.starts) > 0 {
			f.deliverStart(0, true)
		}
		for len(f.stops) > 0 {
			f.deliverStop(0, true)
		}
		f.takeActions()
		f.pass(300 * time.Millisecond)
		for _, w := range f.workers {
			for _, s := range sortedStarts(w.running) {
				w.end(f, s, done)
			}
			f.poll(w, 1000)
		}
		f.takeActions()
		f.storeEnds()
	}
}

func sortedStarts(running map[dispatch.TaskKey]dispatch.StartOrder) []dispatch.StartOrder {
	keys := make([]dispatch.TaskKey, 0, len(running))
	for key := range running {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b dispatch.TaskKey) int { return cmp.Compare(a.String(), b.String()) })
	out := make([]dispatch.StartOrder, 0, len(keys))
	for _, key := range keys {
		out = append(out, running[key])
	}
	return out
}

// Failures: starts, stops and answers that are lost or late, ends that are listed late, workers
// that crash or are out of reach, leaders that are lost, cancels and quotas that change. What
// workers really run never exceeds a quota by a start. In the end nothing counts any more.
func TestModelRunsStayWithinQuotas(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := &fleet{
			harness: quotaHarness(t), rt: rt, demand: make(map[dispatch.StepKey]int64), owner: make(map[string]string), quotas: make(map[string][]int64),
		}
		f.setQuotas(6, 6)
		for n := range 3 {
			target := f.addWorker(fmt.Sprintf("w%d", n), 10)
			f.workers = append(f.workers, &fleetWorker{Target: target, term: f.term, running: make(map[dispatch.TaskKey]dispatch.StartOrder), refusedRun: make(map[dispatch.TaskKey]uint64)})
		}
		for range rapid.IntRange(10, 80).Draw(rt, "acts") {
			f.act()
		}
		f.settle()
		for _, customer := range []string{"a", "b"} {
			require.Zero(rt, f.usage(customer).GetOpenJobs(), "jobs go on")
			require.Zero(rt, f.usage(customer).GetInUse().GetCpuMillis(), "runs that are gone count")
		}
	})
}
