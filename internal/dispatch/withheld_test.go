package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

const (
	runnerStep     = 100 * time.Millisecond // between two polls
	runnerClock    = time.Second            // of the harness at its time zero
	maxEndsListed  = 500                    // by the workers' protocol
	shortRun       = 5 * runnerStep
	withheldPeriod = 200 * time.Second
)

// listingWorker is a worker that lists its oldest unacknowledged ends. Its lease lapses only while it has
// runs, and it counts an end as done once that is acknowledged, unless a lapse came in between.
type listingWorker struct {
	h          *harness
	target     dispatch.Target
	ends       []dispatch.ListedEnd // unacknowledged
	running    map[dispatch.TaskKey]dispatch.StartOrder
	began      map[dispatch.TaskKey]time.Duration
	lasts      map[string]bool // jobs whose tasks last
	clock      time.Duration
	leaseUntil int64  // on its clock, in milliseconds
	lapsed     uint64 // number of the last end that lapsed
	lost       int    // runs that lapsed
	most       int    // unacknowledged ends at a time
}

func newListingWorker(h *harness, target dispatch.Target, ends ...dispatch.ListedEnd) *listingWorker {
	return &listingWorker{
		h: h, target: target, ends: ends, clock: runnerClock + h.now, lasts: make(map[string]bool),
		running: make(map[dispatch.TaskKey]dispatch.StartOrder), began: make(map[dispatch.TaskKey]time.Duration),
	}
}

// poll lets time pass, and then the worker answer a poll.
func (w *listingWorker) poll() {
	h := w.h
	h.t.Helper()
	until, cursor := h.core.GrantLease(w.target)
	w.leaseUntil = max(w.leaseUntil, until)
	w.ends = slices.DeleteFunc(w.ends, func(e dispatch.ListedEnd) bool { return e.Number <= cursor })
	h.advance(runnerStep)
	w.clock += runnerStep
	for _, key := range w.keys() {
		s := w.running[key]
		switch {
		case w.clock.Milliseconds() > w.leaseUntil:
			w.end(key, egretmuxv1.RunOutcome_RUN_OUTCOME_LAPSED)
			w.lapsed, w.lost = h.endNumbers[w.target.Worker], w.lost+1
		case w.clock-w.began[key] >= shortRun && !w.lasts[s.Task.Job]:
			w.end(key, done)
		}
	}
	listed := make([]dispatch.ListedRun, 0, len(w.running))
	for _, key := range w.keys() {
		run := listedRun(w.running[key])
		run.ProgressPercent = 100
		listed = append(listed, run)
	}
	w.most = max(w.most, len(w.ends))
	h.core.HandleListing(w.target, h.now, h.now, dispatch.Listing{
		Clock: w.clock.Milliseconds(), Running: listed,
		Ended: w.ends[:min(len(w.ends), maxEndsListed)], Complete: len(w.ends) < maxEndsListed,
	})
	h.takeActions()
	h.storeEnds()
	h.plan()
	w.obey()
}

func (w *listingWorker) keys() []dispatch.TaskKey {
	var keys []dispatch.TaskKey
	for key := range w.running {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b dispatch.TaskKey) int { return int(a.Index) - int(b.Index) })
	return keys
}

func (w *listingWorker) end(key dispatch.TaskKey, outcome egretmuxv1.RunOutcome) {
	w.ends = append(w.ends, w.h.listedEnd(w.running[key], outcome))
	delete(w.running, key)
}

// obey carries out the starts and stops that were ordered.
func (w *listingWorker) obey() {
	for _, s := range w.h.acceptStarts() {
		if s.Worker == w.target.Worker {
			if s.TrialLease > 0 {
				s.LeaseUntil = w.h.core.GrantTrialLease(s, w.h.now)
			}
			w.leaseUntil = max(w.leaseUntil, s.LeaseUntil)
			w.running[s.Task], w.began[s.Task] = s, w.clock
		}
	}
	stops := w.h.stops
	w.h.stops = nil
	for _, s := range stops {
		if run, present := w.running[s.Task]; present && run.Run <= s.Run {
			w.end(s.Task, egretmuxv1.RunOutcome_RUN_OUTCOME_STOPPED)
		}
		w.h.core.StopAnswered(s, true, w.h.now)
	}
}

// Guards against TWICE: a withheld end was acknowledged after all once 450 newer ones waited behind it,
// as the lease of a worker with members of gangs or with tasks that last was not left to lapse.
func TestWithheldEndIsNotAcknowledgedBehindManyNewerOnes(t *testing.T) {
	lasting := tasks(1, 1)
	lasting.LongRunning = true
	spared := tasks(1, 1)
	spared.LongRunning, spared.MayMiss = true, 1
	for name, play := range map[string]struct {
		lasts []*egretmuxv1.JobStep
		next  func(n int) *egretmuxv1.JobStep
	}{
		"small tasks": {next: func(int) *egretmuxv1.JobStep { return tasks(4, 1) }},
		"gangs only":  {next: func(int) *egretmuxv1.JobStep { return gang(4, 1) }},
		"gangs and small tasks": {next: func(n int) *egretmuxv1.JobStep {
			return map[bool]*egretmuxv1.JobStep{true: gang(2, 1), false: tasks(3, 1)}[n%2 == 0]
		}},
		"beside a lasting task":       {lasts: []*egretmuxv1.JobStep{lasting}, next: func(int) *egretmuxv1.JobStep { return tasks(3, 1) }},
		"beside a task that may miss": {lasts: []*egretmuxv1.JobStep{spared}, next: func(int) *egretmuxv1.JobStep { return gang(3, 1) }},
	} {
		for leaders, every := range map[string]time.Duration{"one leader": withheldPeriod, "leaders in turn": 20 * time.Second} {
			t.Run(name+", "+leaders, func(t *testing.T) {
				h := newHarness(t)
				target, end, second := superseded(h, done)
				w := newListingWorker(h, target, end)
				endSecond(h, second)
				h.core.WorkerGone(second.Target, "left", h.now)
				h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{EndLife: &egretmuxv1.EndLife{Worker: second.Worker, BornUnixMs: second.Born, Over: true}}})
				job := 1
				for _, step := range play.lasts {
					job++
					w.lasts[id(job)] = true
					h.submit(id(job), step)
				}
				elapsed := time.Duration(0)
				for ; elapsed < withheldPeriod && slices.ContainsFunc(w.ends, func(e dispatch.ListedEnd) bool { return e.Number == end.Number }); elapsed += runnerStep {
					if elapsed > 0 && elapsed%every == 0 {
						h.beginTenure()
					}
					if len(w.running) <= len(play.lasts) {
						job++
						h.submit(id(job), play.next(job))
					}
					w.poll()
				}
				require.Positive(t, w.lapsed, "acknowledged after %v, with %d ends at most unacknowledged, and no lapse since", elapsed, w.most)
				require.Less(t, elapsed, withheldPeriod, "never acknowledged; %d ends wait", len(w.ends))
				require.LessOrEqual(t, w.most, maxEndsListed, "ends that are not listed")
				t.Logf("acknowledged after %v, %d runs lost, %d ends at most unacknowledged", elapsed, w.lost, w.most)
			})
		}
	}
}
