// Package dispatch decides which worker runs which task of a job. Core is the
// leader's deterministic part: it has no clock, goroutine or I/O. The scheduler
// feeds it events with the time since its tenure (the leadership of one instance in
// one term) began, and carries out the Actions that it returns.
//
// A start is stored in the log before it is sent, so a new leader knows where
// each task may run. The new leader shows its fencing token to every stored
// worker and reads the runs there. A run on a worker that it cannot reach blocks
// its task until the worker's lease has certainly expired.
//
// Invariants:
//   - a task that is not speculative has at most one run that may be present on
//     a worker whose lease may be valid;
//   - a worker's runs never use more than its capacity, and the resources of a
//     run are released only once its end is listed or the lease has expired;
//   - an end is acknowledged to a worker only after it is stored in the log, or if it never
//     matters; the end of a run whose task was started again as if the run had been lost does;
//   - a step of which the log holds a start or an end is open until it is done, so that every
//     leader knows its runs.
package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	jobs "github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/speed"
)

// Config holds the parameters of a Core.
type Config struct {
	Book        *jobs.Book
	Term        uint64        // term of the leader; Core does not use it
	Lease       time.Duration // length of a worker's lease
	FarFactor   float64       // run time on another rack than the task's data, relative to the same rack
	StopTimeout time.Duration // upper limit for a worker to stop a run
	GangTimeout time.Duration // time for which a member of a gang waits for the others; zero: without limit
	RateWindow  time.Duration // time whose worth of jobs a customer may submit at once; zero: defaultRateWindow
	// UnixMs converts a time since the tenure began to Unix milliseconds.
	UnixMs func(now time.Duration) int64
}

// Core makes the scheduling decisions of one leader's tenure. Its times count from
// the start of the tenure. It is not safe for concurrent use, but for JobStarted and PendingJobs.
type Core struct {
	cfg                Config
	jobs               map[string]*job
	pending            *pendingJobs
	steps              map[StepKey]*step  // steps that are open: all predecessors are done
	unplaced           map[*step]struct{} // open steps that may have tasks without a run
	unsent             []unsentStarts     // in the order in which they were stored
	forming            map[*step]forming  // gangs of which members may still have to begin
	heldTasks          []*task            // tasks of which a run may go on although its worker is not known
	periodic           []*job             // jobs with occurrences that are not due yet
	workers            map[string]*worker
	customers          map[string]*customer
	backlog            *backlog      // nil until admissions need it
	customersVersion   uint64        // version of the catalogue from which customers have their limits
	inheritedLeasesEnd time.Duration // when all leases from earlier leaders have expired
	confirmedAt        time.Duration // when a quorum last confirmed this leader
	actions            Actions
	runTimes           map[[2]string]*runTimes // by queue
	speeds             map[string]*speed.Pool  // by pool
	allowedShare       map[[2]string]float64   // by queue: learned share of the workers in a call that its answer newly allows
	notices            []Notice
	blockedCheckedAt   time.Duration // when it was last searched for what blocks steps
	cost               PlanCost      // since the last TakePlanCost
	urgentUsage        urgentUsage
	rotation           int // round-robin position in the steps that a plan does not always consider
	callers            int // instances that can call the advice service at the same time
	// adviceMs is the summed expected duration of the calls for advice in flight,
	// separately for long calls (true) and short ones.
	adviceMs map[bool]float64

	sharesUpdatedAt time.Duration
	capacity        resources                // of all workers, when sharesUpdatedAt
	fullUntil       map[string]time.Duration // by pool: until when it counts as full
	admitted        map[string]admitted      // by job: submits of customers that are not stored yet
}

// Notice is a log entry about a decision or a change in the leader's view.
type Notice struct {
	Event  string
	Job    string
	Queue  string // only for a job that begins or ends
	Task   string
	Worker string
	Run    uint64
	Reason string
	// Outcome is how a run ended whose end is not stored.
	Outcome string
	Age     time.Duration // time since the job, order, call, run or last answer that it is about
	Asked   int           // number of workers in a call for advice
	Good    int           // number of these that may run the step
	CPU     int64         // capacity of a worker, thousandths of a core
	Lost    int           // number of runs that a worker which is gone took along
	Runs    int           // number of runs on a worker that has announced its end
	Behind  int           // number of ends that wait behind a withheld one
	KnownBy string        // what tells that the run of a withheld end is superseded
	Born    int64         // of the life that joined or is gone, Unix milliseconds

	Customer string // only for decisions about its rate; no metric label
	Pool     string // only for decisions about a pool
}

// New returns the core of a new tenure, with the state that the book holds.
func New(cfg Config) *Core {
	c := &Core{
		cfg: cfg, jobs: make(map[string]*job), steps: make(map[StepKey]*step), unplaced: make(map[*step]struct{}), forming: make(map[*step]forming), callers: 1, adviceMs: make(map[bool]float64), pending: newPendingJobs(),
		workers: make(map[string]*worker), customers: make(map[string]*customer), fullUntil: make(map[string]time.Duration), admitted: make(map[string]admitted),
		inheritedLeasesEnd: inheritedLeaseWait(cfg.Lease),
		runTimes:           make(map[[2]string]*runTimes), speeds: make(map[string]*speed.Pool), allowedShare: make(map[[2]string]float64),
	}
	for _, w := range cfg.Book.Workers() {
		c.addWorker(w.Life)
		c.workers[w.Life.GetWorker()].draining = w.Draining
		c.workers[w.Life.GetWorker()].reportSequence = w.Sequence
		c.workers[w.Life.GetWorker()].lease.expiresAt = c.inheritedLeasesEnd
	}
	var ids []string
	cfg.Book.Each(func(id string, r *jobs.Record) {
		if !r.Ended() {
			ids = append(ids, id)
		}
	})
	slices.Sort(ids)
	for _, id := range ids {
		c.addJob(id, 0)
	}
	c.countLeftovers()
	return c
}

// TakeActions returns and clears the actions decided since the last call.
func (c *Core) TakeActions() Actions {
	actions := c.actions
	c.actions = Actions{}
	return actions
}

// TakeNotices returns and clears the notices since the last call.
func (c *Core) TakeNotices() []Notice {
	notices := c.notices
	c.notices = nil
	return notices
}

func (c *Core) addNotice(n Notice) { c.notices = append(c.notices, n) }

// LeaderConfirmed records that a quorum confirmed this leader at the given time.
func (c *Core) LeaderConfirmed(at time.Duration) {
	c.confirmedAt = max(c.confirmedAt, at)
	for _, w := range c.workers {
		w.lease.confirm(c.confirmedAt)
	}
}

// JobAccepted adds a job that has been stored in the log.
func (c *Core) JobAccepted(id string, now time.Duration) {
	delete(c.admitted, id)
	c.addJob(id, now)
}

func (c *Core) addJob(id string, now time.Duration) {
	if c.jobs[id] != nil {
		return
	}
	var spec *egretmuxv1.Job
	started := false
	c.cfg.Book.View(id, func(r *jobs.Record) {
		if r != nil && !r.Ended() {
			spec, started = r.Job, r.HasDoneStep()
		}
	})
	if spec == nil {
		return
	}
	age := max(0, c.cfg.UnixMs(now)-spec.GetAcceptedUnixMs())
	j := &job{id: id, spec: spec, steps: make(map[StepKey]*step), acceptedAt: now - time.Duration(age)*time.Millisecond, customer: c.customerOf(spec)}
	c.jobs[id] = j
	c.pending.add(j)
	if started {
		c.pending.start(j)
	}
	if spec.GetRepeats() > 0 {
		c.periodic = append(c.periodic, j)
		c.openBegunOccurrences(j, now)
		c.openDueOccurrences(j, now)
	} else {
		c.openReadySteps(j, 0, j.acceptedAt, now)
	}
	c.addToBacklog(j)
}

// maxOpenTasks bounds the tasks of a periodic job whose steps are open: all its occurrences
// may be due at once, which would take more memory than an instance has, and that of each
// leader after it.
const maxOpenTasks = 20_000

// openDueOccurrences opens the occurrences of a periodic job that are due. Beyond
// maxOpenTasks, the next one waits until earlier ones are done.
func (c *Core) openDueOccurrences(j *job, now time.Duration) {
	for j.nextDue < j.spec.GetRepeats() && j.openTasks < maxOpenTasks {
		wait := c.untilDue(j, j.nextDue, now)
		if wait > 0 {
			return
		}
		occurrence := j.nextDue
		j.nextDue++
		c.openReadySteps(j, occurrence, now+wait, now)
	}
}

// openBegunOccurrences opens the occurrences that an earlier leader has begun, whatever this
// leader's time of day and the number of open tasks: the runs of a step that is not open would
// count as foreign, and be stopped or have their ends dropped.
func (c *Core) openBegunOccurrences(j *job, now time.Duration) {
	var begun []uint32
	c.cfg.Book.View(j.id, func(r *jobs.Record) {
		if r != nil {
			begun = r.BegunOccurrences()
		}
	})
	for _, occurrence := range begun {
		c.openReadySteps(j, occurrence, now+c.untilDue(j, occurrence, now), now)
	}
}

// untilDue returns the time until an occurrence of a periodic job is due; negative since then.
func (c *Core) untilDue(j *job, occurrence uint32, now time.Duration) time.Duration {
	// Floating point, as sums of any two times of a job may overflow; exact to the millisecond
	// for thousands of years.
	ms := float64(j.spec.GetFirstDueUnixMs()) + float64(occurrence)*float64(j.spec.GetIntervalMs()) - float64(c.cfg.UnixMs(now))
	return milliseconds(math.Trunc(ms))
}

// openReadySteps opens the steps of an occurrence whose predecessors are done.
func (c *Core) openReadySteps(j *job, occurrence uint32, due, now time.Duration) {
	for _, s := range c.readySteps(j, occurrence) {
		c.openStep(j, s, due, now)
	}
}

// readyStep is a step that is ready to be opened, with the stored progress of its tasks.
type readyStep struct {
	key        StepKey
	tasks      []jobs.TaskState
	superseded []*egretmuxv1.LeftoverRun // of all tasks
}

// readySteps returns the steps of an occurrence that are not open yet and whose
// predecessors are done.
func (c *Core) readySteps(j *job, occurrence uint32) []readyStep {
	var ready []readyStep
	c.cfg.Book.View(j.id, func(r *jobs.Record) {
		if r == nil || r.Ended() {
			return
		}
		for i, spec := range j.spec.GetSteps() {
			key := StepKey{j.id, occurrence, uint32(i)}
			if j.steps[key] != nil || r.StepDone(occurrence, uint32(i)) {
				continue
			}
			if !slices.ContainsFunc(spec.GetAfter(), func(predecessor uint32) bool { return !r.StepDone(occurrence, predecessor) }) {
				open := readyStep{key: key, tasks: r.Tasks(occurrence, uint32(i))}
				if spec.GetSpeculative() {
					open.superseded = r.SupersededRuns(occurrence, uint32(i))
				}
				ready = append(ready, open)
			}
		}
	})
	return ready
}

func (c *Core) openStep(j *job, ready readyStep, due, now time.Duration) {
	key := ready.key
	spec := j.spec.GetSteps()[key.Step]
	s := &step{
		key: key, job: j, spec: spec, demand: demandOf(spec), usage: usageOf(spec), dueAt: due, openedAt: now, runsOn: make(map[*worker]int),
		advice: newAdvice(),
	}
	for i, state := range ready.tasks {
		t := &task{step: s, index: uint32(i), done: state.Done, highestRun: max(state.LastEndedRun, state.LastStartedRun), crashes: state.Crashes, startupCrashes: state.StartupCrashes}
		if state.LastEndedRun > 0 {
			c.pending.start(j)
		}
		s.succeeded = s.succeeded || t.done
		if !t.done {
			s.tasksLeft++
		}
		s.tasks = append(s.tasks, t)
		if state.Outstanding() {
			c.adoptStoredRun(t, state.LastStartedRun, Target{Worker: state.Worker, Born: state.Born}, now)
		}
	}
	for _, l := range ready.superseded {
		if t := s.tasks[l.GetIndex()]; !t.done {
			c.adoptStoredRun(t, l.GetRun(), Target{Worker: l.GetWorker(), Born: l.GetBornUnixMs()}, now)
		}
	}
	j.steps[key] = s
	j.openTasks += len(s.tasks)
	c.steps[key] = s
	c.unplaced[s] = struct{}{}
	c.setLatestStart(s, now)
	c.adoptGang(s, now)
}

// adoptStoredRun adds a run whose start an earlier leader stored. Any listing of its
// worker that lacks it proves its absence, as a worker that has answered this leader
// refuses the orders of earlier ones.
func (c *Core) adoptStoredRun(t *task, number uint64, on Target, now time.Duration) {
	w := c.workers[on.Worker]
	if w == nil || w.Born != on.Born {
		c.giveUpUnheard(t, on, number, c.inheritedLeasesEnd, now)
		return
	}
	r := c.addRun(t, w, number, uncertain, now)
	r.inherited, r.absenceProvable, r.absenceProvableAfter = true, true, -1
}

// setLatestStart computes the latest start of a step that still meets the objective
// of its job.
func (c *Core) setLatestStart(s *step, now time.Duration) {
	s.estimatedAt = now
	q := c.queue(s.job)
	paths := c.criticalPathsMs(s.job.spec, q.GetAdvice())
	slack := max(1, q.GetSlackFactor())
	jobMs := slices.Max(paths)
	s.expectedRun = milliseconds(c.estimateMs(s.job.spec, s.spec))
	s.objective = time.Duration(q.GetTargetLatencyMs())*time.Millisecond + milliseconds(slack*jobMs)
	s.latestStart = s.dueAt + s.objective - milliseconds(paths[s.key.Step])
}

// maxEstimate bounds times that are computed from what submitters say.
const maxEstimate = 10 * 365 * 24 * time.Hour

func milliseconds(ms float64) time.Duration {
	const limit = float64(maxEstimate / time.Millisecond)
	return time.Duration(max(-limit, min(limit, ms)) * float64(time.Millisecond))
}

// queue returns the queue of a job from the current catalogue.
func (c *Core) queue(j *job) *egretmuxv1.Queue {
	if q := c.cfg.Book.Catalogue().Queue(j.spec.GetHost(), j.spec.GetPrefix()); q != nil {
		return q
	}
	// The queue was removed; its jobs still run on the pool they were accepted for.
	return &egretmuxv1.Queue{Service: j.spec.GetService(), Attempts: j.spec.GetAttempts(), SlackFactor: 1}
}

// endJob removes a job that the book has as ended.
func (c *Core) endJob(j *job, phase egretmuxv1.JobPhase, now time.Duration) {
	c.addNotice(Notice{Event: "job_ended", Job: j.id, Queue: c.queue(j).GetName(), Reason: phaseName(phase), Age: now - j.acceptedAt})
	c.JobEnded(j.id, "job-ended")
}

// JobEnded removes a job that was cancelled or has ended, and stops its runs.
func (c *Core) JobEnded(id string, reason string) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if t.done && s.spec.GetGang() {
				continue // the end of one member ends all of them
			}
			for _, r := range t.runs {
				c.stopRun(r, reason)
			}
		}
		delete(c.steps, s.key)
	}
	delete(c.jobs, id)
	c.pending.remove(j)
	c.periodic = slices.DeleteFunc(c.periodic, func(o *job) bool { return o == j })
}

// stopRun orders a worker to stop a run. Its resources stay in use until the end
// is listed.
func (c *Core) stopRun(r *run, reason string) {
	if r.stopSent || r.state == ended {
		return
	}
	r.stopSent = true
	r.state = stopping
	r.absenceProvable = false
	c.actions.Stops = append(c.actions.Stops, StopOrder{Target: r.worker.Target, Task: r.task.key(), Run: r.number})
	c.addNotice(Notice{Event: "run_stopping", Job: r.task.step.key.Job, Task: r.task.key().String(), Worker: r.worker.Worker, Run: r.number, Reason: reason})
}

// removeRun removes a run that is no longer on its worker.
func (c *Core) removeRun(r *run) {
	if r.state != ended {
		r.vacate()
	}
	delete(r.worker.runs, runKey{r.task.key(), r.number})
	r.task.removeRun(r)
	r.task.unheard = append(r.task.unheard, r.superseding...) // the next start names them as well
	s := r.task.step
	c.unplaced[s] = struct{}{}
	if s.runsOn[r.worker]--; s.runsOn[r.worker] <= 0 {
		delete(s.runsOn, r.worker)
	}
}

// loseRun removes a run that is gone without a listed end, and stops the rest of
// its gang.
func (c *Core) loseRun(r *run, reason string, now time.Duration) {
	c.removeRun(r)
	c.addNotice(Notice{Event: "run_lost", Job: r.task.step.key.Job, Task: r.task.key().String(), Worker: r.worker.Worker, Run: r.number, Reason: reason, Age: now - r.startedAt})
	c.stopGang(r, "gang-member-lost")
}

// stopGang stops the other members of a run's gang.
func (c *Core) stopGang(r *run, reason string) {
	s := r.task.step
	if !s.spec.GetGang() {
		return
	}
	for _, t := range s.tasks {
		for _, member := range t.runs {
			if member.number == r.number {
				c.stopRun(member, reason)
			}
		}
	}
}

// markJobStarted records that a worker has started a task of the job.
func (c *Core) markJobStarted(j *job, now time.Duration) {
	if !c.pending.start(j) {
		return
	}
	c.addNotice(Notice{Event: "job_begun", Job: j.id, Queue: c.queue(j).GetName(), Age: now - j.acceptedAt})
}

// RunCount returns the number of runs that may be present on workers.
func (c *Core) RunCount() int {
	n := 0
	for _, w := range c.workers {
		n += len(w.runs)
	}
	return n
}

// Tick opens due occurrences, removes the runs of workers whose lease has expired,
// moves runs that are stuck or would outlast their draining worker, and copies those on
// slow workers.
func (c *Core) Tick(now time.Duration) {
	for _, j := range slices.Clone(c.periodic) {
		c.openDueOccurrences(j, now)
		if j.nextDue >= j.spec.GetRepeats() {
			c.periodic = slices.DeleteFunc(c.periodic, func(o *job) bool { return o == j })
		}
	}
	c.releaseHeld(now)
	c.sendUnsent(now)
	c.stopUnformedGangs(now)
	var expiredWorkers []*worker
	for _, w := range c.workers {
		if w.hasExpiredRuns(now) {
			expiredWorkers = append(expiredWorkers, w)
		}
	}
	sortWorkers(expiredWorkers)
	for _, w := range expiredWorkers {
		c.endLease(w, now)
	}
	c.updateSlowness(now)
	c.updateLapses(now)
	c.moveRunsAtRisk(now)
	c.copyStragglers(now)
}

// sortedWorkers returns the workers sorted by name, so that decisions are
// deterministic.
func (c *Core) sortedWorkers() []*worker {
	out := make([]*worker, 0, len(c.workers))
	for _, w := range c.workers {
		out = append(out, w)
	}
	sortWorkers(out)
	return out
}

func sortWorkers(workers []*worker) {
	slices.SortFunc(workers, func(a, b *worker) int { return cmp.Compare(a.Worker, b.Worker) })
}
