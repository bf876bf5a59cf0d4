package dispatch_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

// A play of a site with 350 workers, of which recoveryWorkers stand for all: a plan examines as many pairs as there are
// of a worker and a waiting step, and takes as long as it would there.
const (
	recoveryWorkers = 60
	recoveryRack    = 10                      // workers
	recoveryCores   = 16                      // of each worker
	recoveryTasks   = 5                       // that a worker has room for
	recoveryJobs    = 20                      // jobs a second
	recoveryTasksIn = 4.5                     // mean number of tasks of a job
	recoveryWork    = 2500 * time.Millisecond // mean run time of a task
	recoveryValid   = 2500 * time.Millisecond // of a ticket
	siteFactor      = 350.0 / recoveryWorkers

	pairCost = 0.15 * siteFactor * siteFactor * float64(time.Microsecond) // processor time of a plan for each examined pair
	stepCost = 2 * siteFactor * float64(time.Microsecond)                 // the same for each waiting step

	// As in the scheduler, which also bounds the pause after a plan; the core has to recover without that.
	recoveryPlanPause       = 3 * time.Millisecond
	recoveryPlanPauseFactor = 3
	recoveryTickPeriod      = 100 * time.Millisecond

	recoveryPollPeriod = 500 * time.Millisecond // of a worker on which no run ends
	recoveryPollPause  = 5 * time.Millisecond
	recoverySendTime   = 15 * time.Millisecond // from a decision until it is stored and has reached the worker
	recoveryReplyTime  = 5 * time.Millisecond
	recoveryTimeout    = 500 * time.Millisecond // of a call to a worker that is gone
)

var recoverySeeds = flag.Uint64("recovery.seeds", 0, "number of seeds, from 0 on, of each play of TestStartsComeBackInTimeWhateverHappenedBefore; 0: those of each CI run")

// recoveryPlay plays a site in virtual time. While a plan is made, all that the core is told waits.
type recoveryPlay struct {
	*livenessPlay
	callers     int // instances that can call the advice service at the same time
	events      map[time.Duration][]func()
	began       time.Duration // of the tenure
	tenure      int
	leaderless  bool
	planWanted  bool
	busyUntil   time.Duration
	nextPlan    time.Duration
	submitted   int
	refused     []*egretmuxv1.JobStep // while there is no leader; they are submitted once there is one
	failing     *liveWorker
	failingFrom time.Duration
	startedAt   []time.Duration // of tasks on workers that do not fail
	planTimes   []time.Duration
	waiting     int // steps with waiting tasks, in the last plan
	ticketsGone int // starts that were refused for their ticket
}

func newRecoveryPlay(t *testing.T, seed uint64, callers int) *recoveryPlay {
	t.Helper()
	q := queue()
	q.Attempts = 50
	q.Advice = &egretmuxv1.QueueAdvice{DecideMs: 500, PerWorkerMs: 7, ValidityMs: float64(recoveryValid.Milliseconds())}
	p := &recoveryPlay{
		livenessPlay: &livenessPlay{harness: newHarness(t, q), rng: rand.New(rand.NewPCG(seed, 70)), jobs: make(map[string]*liveJob)},
		events:       make(map[time.Duration][]func()), callers: callers,
	}
	p.core.SetAdviceCallers(p.callers)
	for n := range recoveryWorkers {
		l := life(fmt.Sprintf("w%02d", n), recoveryCores)
		l.Labels = []string{fmt.Sprintf("r1-%d", n/recoveryRack)}
		w := &liveWorker{life: l}
		p.workers = append(p.workers, w)
		p.join(w)
		p.after(time.Duration(n)*recoveryPollPeriod/recoveryWorkers, func() { p.pollFromNowOn(w) })
	}
	p.after(0, p.tickFromNowOn)
	p.after(0, p.submitFromNowOn)
	return p
}

// after lets something happen after a time.
func (p *recoveryPlay) after(d time.Duration, f func()) {
	at := p.passed + max(d.Truncate(time.Millisecond), time.Millisecond)
	p.events[at] = append(p.events[at], f)
}

// tell tells the core of something, unless its tenure is over, once it makes no plan.
func (p *recoveryPlay) tell(tenure int, f func()) {
	switch {
	case p.leaderless || tenure != p.tenure:
		return
	case p.passed < p.busyUntil:
		p.after(p.busyUntil-p.passed, func() { p.tell(tenure, f) })
		return
	}
	p.now, p.planWanted = p.passed-p.began, true
	f()
	p.carryOutActions()
}

func (p *recoveryPlay) tickFromNowOn() {
	p.after(recoveryTickPeriod, p.tickFromNowOn)
	p.tell(p.tenure, func() { p.advance(0) })
}

func (p *recoveryPlay) pollFromNowOn(w *liveWorker) {
	p.after(recoveryPollPeriod, func() { p.pollFromNowOn(w) })
	p.poll(w)
}

func (p *recoveryPlay) poll(w *liveWorker) {
	p.tell(p.tenure, func() {
		if !w.up {
			p.core.PollUnanswered(targetOf(w.life))
			return
		}
		running := make([]dispatch.ListedRun, 0, len(w.runs))
		for _, r := range w.runs {
			listed := listedRun(r.start)
			listed.ProgressPercent = p.passed.Seconds()
			running = append(running, listed)
		}
		ended := w.finished
		w.finished = nil
		p.core.GrantLease(targetOf(w.life))
		p.core.HandleListing(targetOf(w.life), p.now, p.now, dispatch.Listing{Clock: 1000 + p.passed.Milliseconds(), Running: running, Ended: ended, Complete: true})
		p.takeActions()
		p.storeEnds()
	})
}

func (p *recoveryPlay) submitFromNowOn() {
	p.after(time.Second/recoveryJobs, p.submitFromNowOn)
	p.submitNext()
}

// submitNext submits a job. Any eight in a row have the same work.
func (p *recoveryPlay) submitNext() {
	p.submitted++
	s := tasks(1+uint32(p.submitted*3%8), 3)
	s.EstimateMs = recoveryWork.Milliseconds()
	p.refused = append(p.refused, s)
	if !p.leaderless {
		p.submitRefused()
	}
}

func (p *recoveryPlay) submitRefused() {
	for _, s := range p.refused {
		name := id(100 + len(p.jobs))
		p.jobs[name] = &liveJob{step: s}
		p.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: &egretmuxv1.Job{
			Id: name, Host: "h", Prefix: "/q/", Service: "ledger", Steps: []*egretmuxv1.JobStep{s}, Attempts: 50, AcceptedUnixMs: p.passed.Milliseconds(),
		}}}})
		p.tell(p.tenure, func() { p.core.JobAccepted(name, p.now) })
	}
	p.refused = nil
}

// carryOutActions carries out what the core has decided.
func (p *recoveryPlay) carryOutActions() {
	p.takeActions()
	starts, stops, asks, tenure := p.starts, p.stops, p.asks, p.tenure
	p.starts, p.stops, p.asks = nil, nil, nil
	for _, s := range starts {
		p.after(recoverySendTime, func() { p.start(s, tenure) })
	}
	for _, s := range stops {
		p.after(recoverySendTime, func() { p.stop(s) })
	}
	asked := p.now
	for _, a := range asks {
		took := time.Duration((0.8 + 0.2*p.rng.Float64()) * a.ExpectedMs * float64(time.Millisecond))
		p.after(took, func() {
			tickets := make(map[string]string)
			for _, w := range a.Workers {
				if p.allows(a.Step, w) {
					tickets[w] = strconv.FormatInt((p.passed + recoveryValid).Milliseconds(), 10)
				}
			}
			p.tell(tenure, func() { p.core.AdviceAnswered(a, tickets, false, asked, p.now) })
		})
	}
}

// allows reports whether the advice service allows a worker for a step.
func (p *recoveryPlay) allows(s dispatch.StepKey, worker string) bool {
	number, err := strconv.ParseUint(s.Job, 16, 64)
	require.NoError(p.t, err)
	w, err := strconv.ParseUint(worker[1:], 10, 64)
	require.NoError(p.t, err)
	return rand.New(rand.NewPCG(number, w)).IntN(10) < 6
}

// start lets a start reach its worker.
func (p *recoveryPlay) start(s dispatch.StartOrder, tenure int) {
	if tenure != p.tenure {
		return
	}
	sent := p.passed - recoverySendTime - p.began
	answer := func(after time.Duration, result dispatch.StartResult) {
		p.after(after, func() { p.tell(tenure, func() { p.core.StartAnswered(s, result, sent, p.now) }) })
	}
	w := p.worker(s.Target)
	validUntil, err := strconv.ParseInt(s.Ticket, 10, 64)
	require.NoError(p.t, err)
	switch {
	case w == nil:
		answer(recoveryTimeout, dispatch.Unanswered)
		return
	case p.passed.Milliseconds() > validUntil:
		p.ticketsGone++
		answer(recoveryReplyTime, dispatch.TicketRefused)
		return
	}
	work, outcome := recoveryWork+time.Duration(p.rng.IntN(1000)-500)*time.Millisecond, done
	if w == p.failing && p.passed >= p.failingFrom {
		work, outcome = 50*time.Millisecond, failed
	} else {
		p.startedAt = append(p.startedAt, p.passed)
	}
	w.runs = append(w.runs, liveRun{start: s, endsAt: p.passed + work})
	answer(recoveryReplyTime, dispatch.Accepted)
	p.after(work, func() { p.endRun(w, s.Task, s.Run, s.Born, outcome) })
}

func (p *recoveryPlay) stop(s dispatch.StopOrder) {
	w := p.worker(s.Target)
	if w != nil {
		p.endRun(w, s.Task, s.Run, s.Born, egretmuxv1.RunOutcome_RUN_OUTCOME_STOPPED)
	}
	p.tell(p.tenure, func() { p.core.StopAnswered(s, w != nil, p.now) })
}

// endRun ends a run if it is still present.
func (p *recoveryPlay) endRun(w *liveWorker, task dispatch.TaskKey, run uint64, born int64, outcome egretmuxv1.RunOutcome) {
	i := slices.IndexFunc(w.runs, func(r liveRun) bool { return r.start.Task == task && r.start.Run == run })
	if i < 0 || w.life.GetBornUnixMs() != born {
		return
	}
	p.end(w, w.runs[i], outcome)
	w.runs = slices.Delete(w.runs, i, i+1)
	p.after(recoveryPollPause, func() { p.poll(w) })
}

// planIfDue makes a plan, which takes time in proportion to what it examines.
func (p *recoveryPlay) planIfDue() {
	if p.leaderless || !p.planWanted || p.passed < p.nextPlan {
		return
	}
	p.planWanted, p.now = false, p.passed-p.began
	p.core.Plan(p.now)
	cost := p.core.TakePlanCost()
	pairs := 0
	for _, n := range cost.Pairs {
		pairs += n
	}
	took := time.Duration(pairCost*float64(pairs) + stepCost*float64(cost.Waiting))
	p.planTimes = append(p.planTimes, took)
	p.waiting = cost.Waiting
	p.busyUntil = p.passed + took.Truncate(time.Millisecond)
	p.nextPlan = p.busyUntil + max(recoveryPlanPause, recoveryPlanPauseFactor*took)
	tenure := p.tenure
	if p.passed < p.busyUntil {
		p.events[p.busyUntil] = append([]func(){func() {
			if tenure == p.tenure && !p.leaderless {
				p.now = p.passed - p.began
				p.carryOutActions()
			}
		}}, p.events[p.busyUntil]...)
		return
	}
	p.carryOutActions()
}

// play lets time pass.
func (p *recoveryPlay) play(until time.Duration) {
	for p.passed < until {
		p.passed += time.Millisecond
		for len(p.events[p.passed]) > 0 {
			f := p.events[p.passed][0]
			p.events[p.passed] = p.events[p.passed][1:]
			f()
		}
		delete(p.events, p.passed)
		p.planIfDue()
	}
}

// changeLeader lets the leader be gone, and another one begin after a time. All tickets go with it.
func (p *recoveryPlay) changeLeader(gap time.Duration) {
	p.leaderless = true
	p.after(gap, func() {
		p.leaderless, p.planWanted, p.busyUntil, p.nextPlan, p.began = false, true, 0, 0, p.passed
		p.tenure++
		p.now = 0
		p.behind = -p.passed
		p.beginTenure()
		p.core.SetAdviceCallers(p.callers)
		p.submitRefused()
		for n, w := range p.workers {
			p.after(time.Duration(n)*time.Millisecond, func() { p.poll(w) })
		}
	})
}

// loseRack lets the workers of a rack crash, with all runs there, and come back.
func (p *recoveryPlay) loseRack(rack int, down time.Duration) {
	for _, w := range p.workers[rack*recoveryRack : (rack+1)*recoveryRack] {
		w.up, w.runs, w.finished = false, nil, nil
		p.after(down, func() { p.rejoin(w) })
	}
}

// rejoin lets the next life of a worker begin, once there is a leader.
func (p *recoveryPlay) rejoin(w *liveWorker) {
	if p.leaderless || p.passed < p.busyUntil {
		p.after(max(recoveryTickPeriod, p.busyUntil-p.passed), func() { p.rejoin(w) })
		return
	}
	p.tell(p.tenure, func() { p.join(w) })
	p.poll(w)
}

// startsASecond returns the mean number of starts in a second of a span.
func (p *recoveryPlay) startsASecond(from, to time.Duration) float64 {
	n := 0
	for _, at := range p.startedAt {
		if at >= from && at < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

// Times of a play.
const (
	calmUntil      = 10 * time.Second                // no disturbance
	disturbedUntil = calmUntil + 8*time.Second       // the last one is over
	recoveredAt    = disturbedUntil + 10*time.Second // starts have come back
	countedFor     = 8 * time.Second                 // from then on
	countedBefore  = 5 * time.Second                 // until calmUntil
)

// disturb draws what happens to a play, and when: two changes of the leader, lost racks, a worker that fails all its
// runs from then on, and a burst of jobs.
func (p *recoveryPlay) disturb() {
	drawn := func(least, most time.Duration) time.Duration {
		return least + time.Duration(p.rng.Int64N(int64(most-least)))
	}
	first := drawn(calmUntil, calmUntil+time.Second)
	for _, at := range []time.Duration{first, first + drawn(3*time.Second, 5*time.Second)} {
		gap := drawn(500*time.Millisecond, 1500*time.Millisecond)
		p.after(at, func() { p.changeLeader(gap) })
	}
	for range 1 + p.rng.IntN(2) {
		rack, down := p.rng.IntN(recoveryWorkers/recoveryRack), drawn(500*time.Millisecond, 2*time.Second)
		p.after(drawn(calmUntil, disturbedUntil-3*time.Second), func() { p.loseRack(rack, down) })
	}
	p.failing, p.failingFrom = p.workers[p.rng.IntN(recoveryWorkers)], drawn(calmUntil, disturbedUntil)
	burst := 200 + p.rng.IntN(300)
	p.after(drawn(calmUntil, disturbedUntil), func() {
		for range burst {
			p.submitNext()
		}
	})
}

// Guards against a collapse that feeds itself and outlives its cause: slow plans let tickets run out, so that more
// steps wait, which makes plans slower. Starts come back to nine tenths of what they were or, while more steps wait
// than before, of what the room lets start.
func TestStartsComeBackInTimeWhateverHappenedBefore(t *testing.T) {
	const (
		recoveredPart = 0.9
		submitted     = recoveryJobs * recoveryTasksIn                                                         // tasks a second
		roomLetsStart = (recoveryWorkers - 1) * recoveryTasks / (float64(recoveryWork) / float64(time.Second)) // tasks a second, on workers that do not fail
	)
	for _, play := range []struct {
		callers            int // instances that can call the advice service at the same time
		firstSeed, endSeed uint64
	}{{40, 2, 3}, {60, 1, 3}} {
		if *recoverySeeds > 0 {
			play.firstSeed, play.endSeed = 0, *recoverySeeds
		}
		t.Run(fmt.Sprintf("callers=%d", play.callers), func(t *testing.T) {
			for seed := play.firstSeed; seed < play.endSeed; seed++ {
				p := newRecoveryPlay(t, seed, play.callers)
				p.disturb()
				p.play(calmUntil)
				before, waitedBefore, slowestBefore := p.startsASecond(calmUntil-countedBefore, calmUntil), p.waiting, slices.Max(p.planTimes)
				require.GreaterOrEqual(t, before, recoveredPart*submitted, "seed %d: before", seed)
				p.play(recoveredAt)
				require.Greater(t, p.waiting, 4*waitedBefore, "seed %d: nothing was disturbed", seed)
				p.play(recoveredAt + countedFor)
				after, wanted := p.startsASecond(recoveredAt, recoveredAt+countedFor), before
				if p.waiting > 2*waitedBefore {
					wanted = roomLetsStart
				}
				t.Logf("seed %d: %.1f starts a second, %.1f before; %d steps wait, %d before; the slowest plan took %v, %v before, the last one %v; %d tickets came too late",
					seed, after, before, p.waiting, waitedBefore, slices.Max(p.planTimes), slowestBefore, p.planTimes[len(p.planTimes)-1], p.ticketsGone)
				assert.GreaterOrEqual(t, after, recoveredPart*wanted, "seed %d", seed)
			}
		})
	}
}
