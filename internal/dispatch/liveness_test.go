package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

// liveWorker is a worker as it is, whatever the core knows of it.
type liveWorker struct {
	life     *egretmuxv1.WorkerLife
	up       bool
	backAt   time.Duration
	runs     []liveRun
	finished []dispatch.ListedEnd // not listed yet
}

type liveRun struct {
	start  dispatch.StartOrder
	endsAt time.Duration
	fails  bool
}

// liveJob is what the play knows of a job.
type liveJob struct {
	step    *egretmuxv1.JobStep
	advised bool
	work    time.Duration
	fails   float64       // share of its runs that fail
	idle    time.Duration // for which it could have run
}

// label returns a label that the job's workers have.
func (j *liveJob) label() string {
	if j.step.GetRequiredLabel() != "" {
		return j.step.GetRequiredLabel()
	}
	return "any"
}

// livenessPlay plays jobs and crashes of workers against a core in virtual time.
type livenessPlay struct {
	*harness
	rng     *rand.Rand
	passed  time.Duration // over all tenures
	workers []*liveWorker
	jobs    map[string]*liveJob
	asked   []dispatch.Ask
	forbids map[string]bool // by worker: what the advice answers
	ends    uint64
}

const livenessTick = 100 * time.Millisecond

func newLivenessPlay(t *testing.T, seed uint64) *livenessPlay {
	t.Helper()
	advised, plain := adviceQueue(), queue()
	plain.Prefix, plain.Priority = "/plain/", 1
	advised.Priority, advised.Attempts, plain.Attempts = 1, 50, 50
	p := &livenessPlay{harness: newHarness(t, advised, plain), rng: rand.New(rand.NewPCG(seed, 67)), jobs: make(map[string]*liveJob), forbids: make(map[string]bool)}
	for n := range 4 + p.rng.IntN(9) {
		l := life(fmt.Sprintf("w%02d", n), []int64{4, 8, 16}[p.rng.IntN(3)])
		l.Labels = []string{"any", []string{"a", "b"}[p.rng.IntN(2)], fmt.Sprintf("r1-%d", n/4)}
		w := &liveWorker{life: l}
		p.workers = append(p.workers, w)
		p.forbids[l.GetWorker()] = p.rng.IntN(3) == 0
		p.join(w)
	}
	return p
}

// join lets a new life of a worker begin.
func (p *livenessPlay) join(w *liveWorker) {
	w.up, w.runs, w.finished = true, nil, nil
	old := p.core.Life(w.life.GetWorker())
	if old != nil {
		w.life = proto.CloneOf(w.life)
		w.life.BornUnixMs++
		crashed := targetOf(old)
		lost := p.core.CrashedRuns(crashed)
		p.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{EndLife: &egretmuxv1.EndLife{Worker: crashed.Worker, BornUnixMs: crashed.Born, CrashedRuns: lost}}})
		p.core.WorkerGone(crashed, "replaced", p.now)
		p.core.CrashesStored(crashed, lost, p.now)
	}
	p.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_RecordLife{RecordLife: &egretmuxv1.RecordLife{Life: w.life}}})
	p.core.WorkerJoined(w.life, p.now)
	p.takeActions()
}

// crash crashes some workers, one or all of a rack, for a while.
func (p *livenessPlay) crash() {
	first, down := p.rng.IntN(len(p.workers)), time.Duration(5+p.rng.IntN(25))*livenessTick
	for n, w := range p.workers {
		if w.up && (n == first || n/4 == first/4 && p.rng.IntN(2) == 0) {
			w.up, w.backAt, w.runs, w.finished = false, p.passed+down, nil, nil
		}
	}
}

// submitDrawn submits a job of any kind.
func (p *livenessPlay) submitDrawn() {
	s := tasks(1+uint32(p.rng.IntN(4)), 1+int64(p.rng.IntN(4)))
	j := &liveJob{step: s, work: time.Duration(300+p.rng.IntN(2000)) * time.Millisecond}
	if p.rng.IntN(3) == 0 {
		j.work = 60 * time.Second
	}
	s.EstimateMs = j.work.Milliseconds()
	switch p.rng.IntN(6) {
	case 0, 1:
		s.Gang = true
	case 2:
		s.LongRunning, j.work = true, time.Hour
	case 3:
		s.RequiredLabel = "b"
	case 4:
		j.fails = 0.5
	}
	name := id(100 + len(p.jobs))
	p.jobs[name] = j
	prefix := "/plain/"
	if j.advised = p.rng.IntN(2) == 0; j.advised {
		prefix = "/q/"
	}
	p.submitTo(prefix, name, s)
}

// worker returns the live worker that an order is for, or nil if it does not answer it.
func (p *livenessPlay) worker(t dispatch.Target) *liveWorker {
	i := slices.IndexFunc(p.workers, func(w *liveWorker) bool { return w.life.GetWorker() == t.Worker })
	if w := p.workers[i]; w.up && w.life.GetBornUnixMs() == t.Born {
		return w
	}
	return nil
}

func (p *livenessPlay) end(w *liveWorker, r liveRun, outcome egretmuxv1.RunOutcome) {
	p.ends++
	w.finished = append(w.finished, dispatch.ListedEnd{Number: p.ends, Task: r.start.Task, Run: r.start.Run, Outcome: outcome, TaskParsed: true})
}

// endRunsDue ends the runs that are over. The end of one member of a gang stands for all.
func (p *livenessPlay) endRunsDue() {
	for _, w := range p.workers {
		w.runs = slices.DeleteFunc(w.runs, func(r liveRun) bool {
			if p.passed < r.endsAt {
				return false
			}
			outcome := done
			if r.fails {
				outcome = failed
			}
			p.end(w, r, outcome)
			return true
		})
	}
}

// carryOut answers the collected orders.
func (p *livenessPlay) carryOut() {
	starts, stops, asks := p.starts, p.stops, p.asked
	p.starts, p.stops, p.asked, p.asks = nil, nil, p.asks, nil
	for _, s := range starts {
		w := p.worker(s.Target)
		if w == nil {
			p.core.StartAnswered(s, dispatch.Unanswered, p.now, p.now)
			continue
		}
		j := p.jobs[s.Task.Job]
		w.runs = append(w.runs, liveRun{start: s, endsAt: p.passed + j.work, fails: p.rng.Float64() < j.fails})
		p.core.StartAnswered(s, dispatch.Accepted, p.now, p.now)
	}
	for _, s := range stops {
		w := p.worker(s.Target)
		if w != nil {
			w.runs = slices.DeleteFunc(w.runs, func(r liveRun) bool {
				stopped := r.start.Task == s.Task && r.start.Run == s.Run
				if stopped {
					p.end(w, r, egretmuxv1.RunOutcome_RUN_OUTCOME_STOPPED)
				}
				return stopped
			})
		}
		p.core.StopAnswered(s, w != nil, p.now)
	}
	for _, a := range asks { // of the tick before
		tickets := make(map[string]string)
		for _, w := range a.Workers {
			if !p.forbids[w] {
				tickets[w] = "ticket"
			}
		}
		p.core.AdviceAnswered(a, tickets, false, p.now, p.now)
	}
	p.takeActions()
}

// list lets all workers answer a poll.
func (p *livenessPlay) list() {
	for _, w := range p.workers {
		if !w.up {
			p.core.PollUnanswered(targetOf(w.life))
			continue
		}
		var running []dispatch.ListedRun
		for _, r := range w.runs {
			lr := listedRun(r.start)
			lr.ProgressPercent = p.passed.Seconds()
			running = append(running, lr)
		}
		p.core.GrantLease(targetOf(w.life))
		ended := w.finished
		w.finished = nil
		p.core.HandleListing(targetOf(w.life), p.now, p.now, dispatch.Listing{Clock: 1000 + p.passed.Milliseconds(), Running: running, Ended: ended, Complete: true})
		p.takeActions()
	}
	p.storeEnds()
}

// tick passes time.
func (p *livenessPlay) tick() {
	p.plan()
	p.carryOut()
	p.passed += livenessTick
	p.advance(livenessTick)
	for _, w := range p.workers {
		if !w.up && p.passed >= w.backAt {
			p.join(w)
		}
	}
	p.endRunsDue()
	p.list()
}

// room returns the free cores of a worker as it is.
func (w *liveWorker) room(jobs map[string]*liveJob) int64 {
	free := w.life.GetCpuMillis()
	for _, r := range w.runs {
		free -= jobs[r.start.Task.Job].step.GetCpuMillis()
	}
	return free
}

// startable reports whether a job should have something to run: a task of it waits, there is room for it
// twice over and, unless it lasts, nothing of it runs and under half of the cpu is in use.
func (p *livenessPlay) startable(name string, j *liveJob) bool {
	if p.phase(name) != egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED {
		return false
	}
	var total, free, fits, runs int64
	for _, w := range p.workers {
		total += w.life.GetCpuMillis()
		free += w.room(p.jobs)
		for _, r := range w.runs {
			if r.start.Task.Job == name {
				runs++
			}
		}
		if !w.up || !slices.Contains(w.life.GetLabels(), j.label()) || j.advised && p.forbids[w.life.GetWorker()] {
			continue
		}
		fits += w.room(p.jobs) / j.step.GetCpuMillis()
	}
	needed := int64(1)
	if j.step.GetGang() {
		needed = int64(j.step.GetCount())
	}
	if j.step.GetLongRunning() {
		return runs < int64(j.step.GetCount()) && fits >= 2
	}
	return runs == 0 && fits >= 2*needed && 2*(total-free) < total
}

// Guards against jobs that wait beside free room for something that need not come: whatever was crashed,
// suspected, isolated, rested or led before, a task that fits twice over starts in time.
func TestFittingTasksStartInTimeWhateverHappenedBefore(t *testing.T) {
	const (
		seeds   = 200
		contact = 4 * time.Second
	)
	for seed := range uint64(seeds) {
		p := newLivenessPlay(t, seed)
		until := time.Duration(5+p.rng.IntN(20)) * time.Second
		for p.passed < until {
			switch p.rng.IntN(30) {
			case 0, 1:
				p.crash()
			case 2, 3, 4, 5:
				p.submitDrawn()
			case 6:
				if p.rng.IntN(4) == 0 {
					p.beginTenure()
					p.asked = nil
					p.list()
				}
			}
			p.tick()
		}
		for _, w := range p.workers {
			w.backAt = min(w.backAt, p.passed)
		}
		for calm := time.Duration(0); calm < 4*contact; calm += livenessTick {
			p.tick()
			for name, j := range p.jobs {
				if calm < contact || !p.startable(name, j) {
					j.idle = 0
					continue
				}
				j.idle += livenessTick
				if j.idle >= maxIdleTime {
					require.Failf(t, "a job waits beside free room", "seed %d: job %s, %v, %s after the last crash; blocked: %v", seed, name, j.step, calm, p.blockedJob(name))
				}
			}
		}
	}
}

// blockedJob returns the last reason that was logged for the wait of a job.
func (p *livenessPlay) blockedJob(name string) string {
	reason := ""
	for _, n := range p.notices {
		if n.Job == name {
			reason = n.Event + " " + n.Reason
		}
	}
	return reason
}
