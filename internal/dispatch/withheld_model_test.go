package dispatch_test

import (
	"bytes"
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

const (
	playStep       = 100 * time.Millisecond
	gangTimeout    = 5 * time.Second        // for which a member of a gang waits for the others
	answerLimit    = 700 * time.Millisecond // for which the leader waits for the answer to a call
	silentLimit    = 20 * time.Second       // after which a silent worker is retired, as the scheduler does
	releaseLimit   = 60 * time.Second       // of calm, for the release of a withheld end
	completeLimit  = 90 * time.Second       // of calm, for the end of all jobs
	openLimit      = 30 * time.Second       // for a gang that needs all of each worker
	standInCores   = 4
	maxPause       = 9 * time.Second // between two acts
	maxLastingJobs = 1
	maxGang        = 4 // members, so that it fits beside tasks that last
)

// play drives a core with stand-in workers under faults. Its ledger holds what the workers have really
// done.
type play struct {
	*harness
	rt      *rapid.T
	clock   time.Duration // since the play began; h.now counts from the beginning of the tenure
	workers []*standIn
	late    []lateCall
	jobs    map[string]playedJob
	ledger  ledger
	load    jobStream
	// loseLeader is the moment of the next step at which the leader is replaced.
	loseLeader leaderLoss
	slowLog    time.Duration // ends are not stored before
	calmSince  time.Duration
}

// jobStream is work that goes on.
type jobStream struct {
	open  []string
	width int           // tasks of a job; zero for no load
	gangs int           // one of so many jobs is a gang; zero for none
	takes time.Duration // a run
}

type playedJob struct {
	step  *egretmuxv1.JobStep
	takes time.Duration // a run
}

// fault is one of some calls to a worker for a time.
type fault struct {
	until         time.Duration
	polls, orders bool
}

func (p *play) hitsPolls(f fault) bool  { return f.polls && p.clock < f.until }
func (p *play) hitsOrders(f fault) bool { return f.orders && p.clock < f.until }

// lateCall is a call to a worker that is carried out late.
type lateCall struct {
	due      time.Duration
	carryOut func()
}

type leaderLoss string

const (
	leaderStays   leaderLoss = ""
	beforeListing leaderLoss = "before the listings"
	beforeStoring leaderLoss = "before ends that are listed are stored"
	beforeSending leaderLoss = "before starts that are stored are sent"
)

// standIn is a worker. It keeps its lease on its own steady clock and counts an end once that is
// acknowledged, unless the lease lapsed in between.
type standIn struct {
	dispatch.Target
	pace       float64       // of its clock, relative to that of the play
	age        time.Duration // its clock
	leaseUntil int64         // on its clock, milliseconds
	term       uint64        // highest fencing token that it has seen
	runs       []*standInRun // in the order of their starts
	ends       []*standInEnd // unacknowledged, in the order of their numbers
	refused    map[dispatch.TaskKey]uint64
	over       bool          // whether its life is over
	nextAt     time.Duration // when the next life begins
	silent     fault         // calls do not reach it
	deaf       fault         // its answers are lost
	slow       fault         // calls reach it late
	delay      time.Duration // of such calls
}

type standInRun struct {
	dispatch.StartOrder
	began time.Duration
	whole time.Duration // when all members of its gang were present
}

type standInEnd struct {
	dispatch.ListedEnd
	order  int
	lapsed bool // whether the lease lapsed since
}

// ledger checks begins of runs against ends that count, by task or, for a gang, by step.
type ledger struct {
	order    int
	began    map[dispatch.TaskKey]ledgerEntry
	counting map[dispatch.TaskKey]ledgerEntry
}

type ledgerEntry struct {
	order int
	what  string
}

func (p *play) jobOf(key dispatch.TaskKey) playedJob {
	j, known := p.jobs[key.Job]
	if !known {
		p.rt.Fatalf("a run of %s, which nobody submitted", key)
	}
	return j
}

func (p *play) ledgerKey(key dispatch.TaskKey) dispatch.TaskKey {
	if p.jobOf(key).step.GetGang() {
		key.Index = 0
	}
	return key
}

func (p *play) describe(w *standIn, key dispatch.TaskKey, run uint64) string {
	return fmt.Sprintf("run %d of %s on %s, life %d, at %v", run, key, w.Worker, w.Born, p.clock)
}

// noteBegin checks that a run may begin.
func (p *play) noteBegin(w *standIn, s dispatch.StartOrder) {
	what, key := p.describe(w, s.Task, s.Run), p.ledgerKey(s.Task)
	for _, other := range p.workers {
		for _, r := range other.runs {
			if r.Task == s.Task {
				p.rt.Fatalf("%s begins, while run %d goes on on %s", what, r.Run, other.Worker)
			}
		}
	}
	if counts, known := p.ledger.counting[key]; known {
		p.rt.Fatalf("%s begins after an end that counts: %s", what, counts.what)
	}
	p.ledger.order++
	p.ledger.began[key] = ledgerEntry{p.ledger.order, what}
}

// noteAcknowledged checks that an end that counts from now on is not older than the start of another run.
func (p *play) noteAcknowledged(w *standIn, e *standInEnd) {
	if e.Outcome != done || e.lapsed {
		return
	}
	what, key := p.describe(w, e.Task, e.Run), p.ledgerKey(e.Task)
	if began := p.ledger.began[key]; began.order > e.order {
		p.rt.Fatalf("the end of %s is acknowledged, before which this began: %s", what, began.what)
	}
	if _, known := p.ledger.counting[key]; !known {
		p.ledger.counting[key] = ledgerEntry{e.order, what}
	}
}

func newStandIn(name string, born int64, pace float64) *standIn {
	l := life(name, standInCores)
	l.BornUnixMs = born
	return &standIn{Target: targetOf(l), pace: pace, age: runnerClock, refused: make(map[dispatch.TaskKey]uint64)}
}

// join lets a worker report itself.
func (p *play) join(w *standIn) {
	l := life(w.Worker, standInCores)
	l.BornUnixMs = w.Born
	p.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_RecordLife{RecordLife: &egretmuxv1.RecordLife{Life: l}}})
	p.core.WorkerJoined(l, p.now)
}

// end ends a run. The other members of a gang end as broken, wherever they are.
func (p *play) end(w *standIn, r *standInRun, outcome egretmuxv1.RunOutcome) {
	i := slices.Index(w.runs, r)
	if i < 0 {
		return
	}
	w.runs = slices.Delete(w.runs, i, i+1)
	w.refused[r.Task] = max(w.refused[r.Task], r.Run)
	p.ledger.order++
	w.ends = append(w.ends, &standInEnd{ListedEnd: p.listedEnd(r.StartOrder, outcome), order: p.ledger.order})
	if len(w.ends) > maxEndsListed {
		p.rt.Fatalf("%s has %d unacknowledged ends, and lists %d", w.Worker, len(w.ends), maxEndsListed)
	}
	if outcome != done {
		p.breakGang(r)
	}
}

func (p *play) breakGang(r *standInRun) {
	if !p.jobOf(r.Task).step.GetGang() {
		return
	}
	for _, m := range p.members(r) {
		p.end(m.w, m.r, egretmuxv1.RunOutcome_RUN_OUTCOME_BROKEN)
	}
}

type member struct {
	w *standIn
	r *standInRun
}

// members returns the members of a gang that are present.
func (p *play) members(r *standInRun) []member {
	var out []member
	for _, w := range p.workers {
		for _, other := range w.runs {
			if other.Task.StepKey == r.Task.StepKey && other.Run == r.Run {
				out = append(out, member{w, other})
			}
		}
	}
	return out
}

// pass lets time pass on the workers.
func (p *play) pass() {
	p.clock += playStep
	for _, w := range p.workers {
		w.age += time.Duration(float64(playStep) * w.pace)
		if len(w.runs) > 0 && w.age.Milliseconds() >= w.leaseUntil {
			for _, e := range w.ends {
				e.lapsed = true
			}
			for len(w.runs) > 0 {
				p.end(w, w.runs[0], egretmuxv1.RunOutcome_RUN_OUTCOME_LAPSED)
			}
		}
	}
	for _, w := range p.workers {
		for _, r := range slices.Clone(w.runs) {
			p.work(w, r)
		}
	}
	for i, w := range p.workers {
		if w.over && p.clock >= w.nextAt {
			p.workers[i] = newStandIn(w.Worker, w.Born+1, w.pace)
			delete(p.endNumbers, w.Worker)
		}
	}
}

// work ends a run whose work is done.
func (p *play) work(w *standIn, r *standInRun) {
	j := p.jobOf(r.Task)
	switch {
	case j.step.GetLongRunning():
	case !j.step.GetGang():
		if p.clock-r.began >= j.takes {
			p.end(w, r, done)
		}
	default:
		members := p.members(r)
		switch {
		case r.whole == 0 && len(members) == int(j.step.GetCount()):
			for _, m := range members {
				m.r.whole = p.clock
			}
		case r.whole > 0 && p.clock-r.whole >= j.takes:
			for _, m := range members {
				p.end(m.w, m.r, done)
			}
		case r.whole == 0 && p.clock-r.began >= gangTimeout:
			p.end(w, r, egretmuxv1.RunOutcome_RUN_OUTCOME_ALONE)
		}
	}
}

// hold lets a worker carry out a poll.
func (p *play) hold(w *standIn, until int64, cursor, term uint64) {
	if w.over || term < w.term {
		return
	}
	w.term, w.leaseUntil = term, max(w.leaseUntil, until)
	for len(w.ends) > 0 && w.ends[0].Number <= cursor {
		p.noteAcknowledged(w, w.ends[0])
		w.ends = w.ends[1:]
	}
}

// sendPoll sends a poll and reports whether the worker carries it out in time.
func (p *play) sendPoll(w *standIn) bool {
	until, cursor := p.core.GrantLease(w.Target)
	if w.over || p.hitsPolls(w.silent) {
		return false
	}
	if term := p.term; p.hitsPolls(w.slow) && w.delay > answerLimit {
		p.carryOutLate(w, func() { p.hold(w, until, cursor, term) })
		return false
	}
	p.hold(w, until, cursor, p.term)
	return true
}

func (p *play) carryOutLate(w *standIn, call func()) {
	p.late = append(p.late, lateCall{p.clock + w.delay, call})
}

// deliverLate carries out the calls that are due.
func (p *play) deliverLate() {
	calls := p.late
	p.late = nil
	for _, c := range calls {
		if c.due > p.clock {
			p.late = append(p.late, c)
		} else {
			c.carryOut()
		}
	}
}

func (p *play) listing(w *standIn) dispatch.Listing {
	l := dispatch.Listing{Clock: w.age.Milliseconds(), Complete: len(w.ends) < maxEndsListed}
	for _, r := range w.runs {
		listed, j := listedRun(r.StartOrder), p.jobOf(r.Task)
		switch {
		case j.step.GetLongRunning():
			listed.ProgressPercent = 100
		case !j.step.GetGang():
			listed.ProgressPercent = 100 * float64(p.clock-r.began) / float64(j.takes)
		case r.whole > 0:
			listed.ProgressPercent = 100 * float64(p.clock-r.whole) / float64(j.takes)
		}
		l.Running = append(l.Running, listed)
	}
	for _, e := range w.ends[:min(len(w.ends), maxEndsListed)] {
		l.Ended = append(l.Ended, e.ListedEnd)
	}
	return l
}

// carryOutStart lets a worker handle a start.
func (p *play) carryOutStart(s dispatch.StartOrder, term uint64) dispatch.StartResult {
	w := p.workers[slices.IndexFunc(p.workers, func(w *standIn) bool { return w.Worker == s.Worker })]
	switch {
	case w.over:
		return dispatch.Unanswered
	case w.Born != s.Born:
		return dispatch.AnotherIncarnation
	case term < w.term:
		return dispatch.StaleFence
	}
	w.term = term
	free := int64(standInCores * 1000)
	for _, r := range w.runs {
		if r.Task == s.Task && r.Run == s.Run {
			return dispatch.Accepted
		}
		free -= p.jobOf(r.Task).step.GetCpuMillis()
	}
	switch {
	case s.LeaseUntil <= w.age.Milliseconds():
		return dispatch.LeaseTooOld
	case s.Run <= w.refused[s.Task]:
		w.leaseUntil = max(w.leaseUntil, s.LeaseUntil)
		return dispatch.OldRun
	case p.jobOf(s.Task).step.GetCpuMillis() > free:
		w.leaseUntil = max(w.leaseUntil, s.LeaseUntil)
		return dispatch.NoRoom
	}
	w.leaseUntil = max(w.leaseUntil, s.LeaseUntil)
	p.noteBegin(w, s)
	w.runs = append(w.runs, &standInRun{StartOrder: s, began: p.clock})
	return dispatch.Accepted
}

// carryOutStop lets a worker handle a stop.
func (p *play) carryOutStop(w *standIn, s dispatch.StopOrder, term uint64) {
	if w.over || term < w.term {
		return
	}
	w.term, w.refused[s.Task] = term, max(w.refused[s.Task], s.Run)
	if i := slices.IndexFunc(w.runs, func(r *standInRun) bool { return r.Task == s.Task && r.Run <= s.Run }); i >= 0 {
		p.end(w, w.runs[i], egretmuxv1.RunOutcome_RUN_OUTCOME_STOPPED)
	}
}

// sendStop sends a stop and reports whether it is answered.
func (p *play) sendStop(s dispatch.StopOrder) bool {
	w := p.present(s.Target)
	if w == nil || w.over || p.hitsOrders(w.silent) {
		return false
	}
	if term := p.term; p.hitsOrders(w.slow) {
		p.carryOutLate(w, func() { p.carryOutStop(w, s, term) })
		return false
	}
	p.carryOutStop(w, s, p.term)
	return !p.hitsOrders(w.deaf)
}

// sendStart sends a start, and reports the result to the leader if it is still the same then.
func (p *play) sendStart(s dispatch.StartOrder) {
	sent, term := p.now, p.term
	w := p.present(s.Target)
	switch {
	case w != nil && (w.over || p.hitsOrders(w.silent)):
		p.core.StartAnswered(s, dispatch.Unanswered, sent, p.now)
		return
	case w != nil && p.hitsOrders(w.slow) && w.delay > answerLimit:
		p.core.StartAnswered(s, dispatch.Unanswered, sent, p.now)
		p.carryOutLate(w, func() { p.carryOutStart(s, term) })
		return
	}
	call := func() {
		result := p.carryOutStart(s, term)
		if w != nil && (w.over || p.hitsOrders(w.silent) || p.hitsOrders(w.deaf)) {
			result = dispatch.Unanswered
		}
		if p.term == term {
			p.core.StartAnswered(s, result, sent, p.now)
		}
	}
	if w != nil && p.hitsOrders(w.slow) {
		p.carryOutLate(w, call)
		return
	}
	call()
}

// send sends the orders of the leader.
func (p *play) send() {
	starts, stops := p.starts, p.stops
	p.starts, p.stops = nil, nil
	for _, s := range stops {
		p.core.StopAnswered(s, p.sendStop(s), p.now)
	}
	for _, s := range starts {
		if p.core.StartWanted(s) {
			if s.TrialLease > 0 {
				s.LeaseUntil = p.core.GrantTrialLease(s, p.now)
			}
			p.sendStart(s)
		} else {
			p.core.StartAnswered(s, dispatch.NotSent, p.now, p.now)
		}
	}
	p.takeActions()
}

// present returns the worker of a target, or nil if another life has taken its place.
func (p *play) present(t dispatch.Target) *standIn {
	for _, w := range p.workers {
		if w.Target == t {
			return w
		}
	}
	return nil
}

// tick lets time pass for the leader.
func (p *play) tick(d time.Duration) {
	p.notices = nil
	p.advance(d)
	for _, n := range p.notices {
		if n.Event == "run_lost" && n.Reason == "lease-ended" {
			p.requireExpired(n.Worker)
		}
	}
}

// requireExpired checks the lease of a worker that the leader takes for expired.
func (p *play) requireExpired(name string) {
	for _, w := range p.workers {
		if w.Worker == name && p.core.Knows(w.Target) && !w.over && w.age.Milliseconds() < w.leaseUntil {
			p.rt.Fatalf("at %v the lease of %s is taken for expired, and lasts until %d on its clock, which is at %d", p.clock, name, w.leaseUntil, w.age.Milliseconds())
		}
	}
}

// step lets the leader poll all workers once, plan and send its orders.
func (p *play) step() {
	asked, reached := p.now, make(map[*standIn]bool)
	for _, w := range p.workers {
		if !w.over && !p.hitsPolls(w.silent) && !p.core.Knows(w.Target) {
			p.register(w)
		}
		if p.core.Knows(w.Target) {
			reached[w] = p.sendPoll(w)
		}
	}
	p.pass()
	p.tick(playStep)
	p.deliverLate()
	if p.replaceLeader(beforeListing) {
		return
	}
	for _, w := range p.workers {
		switch {
		case !p.core.Knows(w.Target):
		case reached[w] && !w.over && !p.hitsPolls(w.silent) && !p.hitsPolls(w.deaf):
			p.core.HandleListing(w.Target, asked, p.now, p.listing(w))
		default:
			p.core.PollUnanswered(w.Target)
		}
	}
	p.takeActions()
	if p.replaceLeader(beforeStoring) {
		return
	}
	if p.clock >= p.slowLog {
		p.storeEnds()
	}
	p.retireSilent()
	p.plan()
	if p.replaceLeader(beforeSending) {
		return
	}
	p.send()
}

// register stores the life of a worker that is new, or was retired as silent.
func (p *play) register(w *standIn) {
	if old := p.core.Life(w.Worker); old != nil && old.GetBornUnixMs() < w.Born {
		p.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{EndLife: &egretmuxv1.EndLife{Worker: w.Worker, BornUnixMs: old.GetBornUnixMs(), Over: true}}})
	}
	p.join(w)
}

func (p *play) retireSilent() {
	for _, t := range p.core.WorkersSilentFor(silentLimit, p.now) {
		if p.core.RetireSilent(t, silentLimit, p.now) {
			p.requireExpired(t.Worker)
			p.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{EndLife: &egretmuxv1.EndLife{Worker: t.Worker, BornUnixMs: t.Born}}})
			p.core.WorkerGone(t, dispatch.GoneSilent, p.now)
		}
	}
	p.takeActions()
}

// replaceLeader replaces the leader, if it is to be lost at this moment. The next one reads a snapshot.
func (p *play) replaceLeader(at leaderLoss) bool {
	if p.loseLeader != at {
		return false
	}
	p.loseLeader = leaderStays
	var snapshot bytes.Buffer
	require.NoError(p.rt, p.book.Capture()(&snapshot))
	p.book = job.NewBook()
	require.NoError(p.rt, p.book.Restore(snapshot.Bytes()))
	p.beginTenure()
	return true
}

// submitJob submits a job of one step and returns its name.
func (p *play) submitJob(step *egretmuxv1.JobStep, takes time.Duration) string {
	name := id(len(p.jobs) + 1)
	step.EstimateMs = takes.Milliseconds()
	p.jobs[name] = playedJob{step, takes}
	p.submit(name, step)
	p.takeActions()
	return name
}

// openJobs returns those of the jobs that have not ended.
func (p *play) openJobs(names []string) []string {
	return slices.DeleteFunc(names, func(name string) bool { return p.phase(name) == egretmuxv1.JobPhase_JOB_PHASE_COMPLETED })
}

// jobNames returns the names of all jobs whose tasks last, or of all others.
func (p *play) jobNames(lasting bool) []string {
	var names []string
	for n := range len(p.jobs) {
		if name := id(n + 1); p.jobs[name].step.GetLongRunning() == lasting {
			names = append(names, name)
		}
	}
	return names
}

// addLoad submits a job of the load if less than two of them are open.
func (p *play) addLoad() {
	l := &p.load
	if l.open = p.openJobs(l.open); l.width == 0 || len(l.open) >= 2 {
		return
	}
	step := tasks(uint32(l.width), 1)
	if l.gangs > 0 && len(p.jobs)%l.gangs == 0 {
		step = gang(uint32(min(l.width, maxGang)), 1)
	}
	l.open = append(l.open, p.submitJob(step, l.takes))
}

// drawTime draws a time of a few, as rapid prefers small numbers.
func (p *play) drawTime(name string, least, most time.Duration) time.Duration {
	const parts = 6
	i := rapid.SampledFrom([]time.Duration{3, 1, 5, 0, 2, 4, parts}).Draw(p.rt, name)
	return (least + (most-least)*i/parts).Truncate(playStep)
}

func (p *play) drawFault(least, most time.Duration) fault {
	calls := rapid.SampledFrom([]string{"orders", "all", "polls"}).Draw(p.rt, "calls")
	return fault{p.clock + p.drawTime("for", least, most), calls != "orders", calls != "polls"}
}

// act lets one thing happen.
func (p *play) act() {
	w := p.workers[rapid.IntRange(0, len(p.workers)-1).Draw(p.rt, "worker")]
	count := rapid.Uint32Range(1, 4).Draw(p.rt, "count")
	act := rapid.SampledFrom([]string{
		"silent", "late", "leader", "stall", "burst", "silent", "deaf", "late", "gang", "lasting", "moment", "life", "log", "long", "small", "leader", "silent",
	}).Draw(p.rt, "act")
	switch act {
	case "small":
		p.submitJob(tasks(4*count, 1), p.drawTime("run", 200*time.Millisecond, 2*time.Second))
	case "gang":
		p.submitJob(gang(min(1+count, maxGang), 1), p.drawTime("run", 200*time.Millisecond, 4*time.Second))
	case "long":
		p.submitJob(tasks(count, 1), p.drawTime("run", 4*time.Second, 12*time.Second))
	case "lasting":
		if len(p.jobNames(true)) < maxLastingJobs {
			step := tasks(1+count%2, 1)
			step.LongRunning, step.MayMiss = true, rapid.Uint32Range(0, 1).Draw(p.rt, "may miss")
			p.submitJob(step, time.Second)
		}
	case "burst":
		p.submitJob(tasks(100*count, 1), p.drawTime("run", 100*time.Millisecond, 400*time.Millisecond))
	case "silent":
		w.silent = fault{p.clock + p.drawTime("for", testLease, 4*testLease), true, true}
	case "moment":
		w.silent = p.drawFault(playStep, testLease)
	case "deaf":
		w.deaf = p.drawFault(playStep, 2*testLease)
	case "late":
		w.slow = p.drawFault(playStep, 4*testLease)
		w.delay = p.drawTime("delay", 2*playStep, rapid.SampledFrom([]time.Duration{answerLimit, 8 * time.Second}).Draw(p.rt, "longest delay"))
	case "stall":
		p.stall(p.drawTime("for", playStep, 2*testLease), rapid.Bool().Draw(p.rt, "clock goes on"))
	case "leader":
		p.loseLeader = rapid.SampledFrom([]leaderLoss{beforeListing, beforeStoring, beforeSending}).Draw(p.rt, "lost")
	case "log":
		p.slowLog = p.clock + p.drawTime("for", playStep, testLease)
	case "life":
		p.endLife(w, p.drawTime("down", playStep, 2*testLease))
	}
	for range int(p.drawTime("then", 0, maxPause) / playStep) {
		p.addLoad()
		p.step()
	}
}

// stall lets the leader stand still, with or without its clock.
func (p *play) stall(d time.Duration, clockGoesOn bool) {
	for range int(d / playStep) {
		p.pass()
		p.deliverLate()
	}
	if clockGoesOn {
		p.tick(d)
	}
}

// endLife ends the life of a worker. What it took along is not stored as crashed, so that no job is given up.
func (p *play) endLife(w *standIn, down time.Duration) {
	if w.over {
		return
	}
	runs := w.runs
	w.over, w.nextAt, w.runs, w.ends = true, p.clock+down, nil, nil
	for _, r := range runs {
		p.breakGang(r)
	}
}

// calm ends the faults.
func (p *play) calm() {
	for _, w := range p.workers {
		w.silent, w.deaf, w.slow, w.nextAt = fault{}, fault{}, fault{}, 0
	}
	p.loseLeader, p.slowLog, p.calmSince = leaderStays, 0, p.clock
	for range 2 * int(testLease/playStep) {
		p.addLoad()
		p.step()
	}
}

// release checks that withheld ends are released while there is work.
func (p *play) release() {
	p.load = jobStream{width: standInCores * len(p.workers), takes: 300 * time.Millisecond}
	withholds := func(w *standIn) bool { return p.core.HasWithheldEnd(w.Target) }
	for ; slices.ContainsFunc(p.workers, withholds); p.step() {
		if calm := p.clock - p.calmSince; calm > releaseLimit {
			w := p.workers[slices.IndexFunc(p.workers, withholds)]
			p.rt.Fatalf("%s still has a withheld end after %v of calm, and %d ends wait", w.Worker, calm, len(w.ends))
		}
		p.addLoad()
	}
}

// complete checks that all jobs end, but those whose tasks last.
func (p *play) complete() {
	open := p.openJobs(p.jobNames(false))
	for ; len(open) > 0; open = p.openJobs(open) {
		if calm := p.clock - p.calmSince; calm > completeLimit {
			p.rt.Fatalf("%d jobs have not ended after %v of calm: %v", len(open), calm, open)
		}
		p.step()
	}
}

// useAll checks that no worker stays closed: a gang that needs all of each worker can start.
func (p *play) useAll() {
	for _, name := range p.jobNames(true) {
		p.cancel(name)
	}
	last := []string{p.submitJob(gang(uint32(len(p.workers)), standInCores), time.Second)}
	for began := p.clock; len(p.openJobs(last)) > 0; p.step() {
		if p.clock-began > openLimit {
			p.rt.Fatalf("a gang that needs all of each worker has not ended after %v", p.clock-began)
		}
	}
}

// Failures: workers that are silent for a moment or for longer than their lease, answers that are lost, starts
// and other calls that are carried out late, leaders that stand still or are replaced with actions in flight, a slow log, workers
// that are replaced. No task runs twice at a time, none begins again after an end that counts, no lease is taken for
// expired too early, all ends can be listed, and in calm withheld ends are released and all jobs end.
func TestModelOfWithheldEnds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := &play{harness: newHarness(t), rt: rt, jobs: make(map[string]playedJob), ledger: ledger{
			began: make(map[dispatch.TaskKey]ledgerEntry), counting: make(map[dispatch.TaskKey]ledgerEntry),
		}}
		for n := range rapid.IntRange(2, 6).Draw(rt, "workers") {
			pace := float64(rapid.IntRange(980, 1000).Draw(rt, "pace")) / 1000
			p.workers = append(p.workers, newStandIn(fmt.Sprintf("w%d", n), 1, pace))
		}
		p.load.width, p.load.gangs = rapid.SampledFrom([]int{12, 4, 24, 0}).Draw(rt, "width of the load"), rapid.IntRange(0, 3).Draw(rt, "gangs of the load")
		p.load.takes = p.drawTime("run", 200*time.Millisecond, 1400*time.Millisecond)
		for range rapid.IntRange(5, 25).Draw(rt, "acts") {
			p.act()
		}
		p.calm()
		if rapid.Bool().Draw(rt, "more work") {
			p.release()
		}
		p.complete()
		p.useAll()
	})
}
