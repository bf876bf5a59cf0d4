// Package dispatch decides which worker runs which task of a job. Core is the
// leader's deterministic part: it has no clock, goroutine or I/O. Its driver
// feeds it events with the time since the tenure began, and carries out the
// Actions that it hands back.
//
// A start is stored before its worker is told, so a new leader knows where each
// task may run. It raises its token on every stored worker and reads what runs
// there; a run on a worker that it cannot read holds its task until the lease
// has certainly ended.
//
// Invariants:
//   - a task that is not speculative has at most one run that may be present on
//     a worker whose lease may hold;
//   - a worker's runs never take more than its room, and a run's room is free
//     only once its end is listed or its lease has ended;
//   - an end is acknowledged to a worker only after it is in the log.
package dispatch

import (
	"cmp"
	"slices"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	jobs "github.com/egretmux/egretmux/internal/job"
)

// Config holds what a Core needs to know of its tenure.
type Config struct {
	Book        *jobs.Book
	Term        uint64        // the fencing token shown to workers
	Lease       time.Duration // of a worker's runs
	FarFactor   float64       // run time away from the data against that beside it
	StopTimeout time.Duration // that a stop may take
	UnixMs      func(now time.Duration) int64
}

// Core is the deciding part of one tenure. It is not safe for concurrent use.
type Core struct {
	cfg       Config
	jobs      map[string]*job
	steps     map[StepKey]*step  // those whose turn has come
	ready     map[*step]struct{} // may have waiting tasks
	timed     []*job             // with occurrences that are not due
	workers   map[string]*worker
	readLimit time.Duration // when leases of earlier leaders have ended
	confirmed time.Duration // when a quorum last confirmed this leader
	out       Actions
	ratios    map[[2]string]*ratio // by queue
	goodShare map[[2]string]float64
	notices   []Notice
	urgent    urgentUse
	turn      int // of the steps that a plan looks at in turn
	advisers  int // instances that can ask for advice at the same time
	// asked is the expected time in milliseconds of the calls for advice on their
	// way, apart for long and short ones.
	asked map[bool]float64
}

// Notice is a decision or a change of what the leader believes, for the log.
type Notice struct {
	Event  string
	Job    string
	Queue  string // of a job that begins or ends
	Task   string
	Worker string
	Run    uint64
	Reason string
	Age    time.Duration // of what decided it
	Asked  int           // workers that advice was asked about
	Good   int           // of these, those that may run the step
}

// New returns the core of a tenure that has just begun.
func New(cfg Config) *Core {
	c := &Core{
		cfg: cfg, jobs: make(map[string]*job), steps: make(map[StepKey]*step), ready: make(map[*step]struct{}), advisers: 1, asked: make(map[bool]float64),
		workers:   make(map[string]*worker),
		readLimit: waitOut(cfg.Lease),
		ratios:    make(map[[2]string]*ratio), goodShare: make(map[[2]string]float64),
	}
	for _, w := range cfg.Book.Workers() {
		c.addWorker(w.Life)
		c.workers[w.Life.GetWorker()].draining = w.Draining
		c.workers[w.Life.GetWorker()].lease.lapsesAt = c.readLimit
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
	return c
}

// TakeActions returns the actions decided since the last call.
func (c *Core) TakeActions() Actions {
	out := c.out
	c.out = Actions{}
	return out
}

// TakeNotices returns what was decided since the last call.
func (c *Core) TakeNotices() []Notice {
	out := c.notices
	c.notices = nil
	return out
}

func (c *Core) notice(n Notice) { c.notices = append(c.notices, n) }

// LeaderConfirmed tells that a quorum confirmed this leader at the given time.
func (c *Core) LeaderConfirmed(at time.Duration) { c.confirmed = max(c.confirmed, at) }

// JobAccepted takes up a job that the log has just stored.
func (c *Core) JobAccepted(id string, now time.Duration) { c.addJob(id, now) }

func (c *Core) addJob(id string, now time.Duration) {
	if c.jobs[id] != nil {
		return
	}
	var spec *egretmuxv1.Job
	c.cfg.Book.View(id, func(r *jobs.Record) {
		if r != nil && !r.Ended() {
			spec = r.Job
		}
	})
	if spec == nil {
		return
	}
	age := max(0, c.cfg.UnixMs(now)-spec.GetAcceptedUnixMs())
	j := &job{id: id, spec: spec, steps: make(map[StepKey]*step), accepted: now - time.Duration(age)*time.Millisecond}
	c.jobs[id] = j
	if spec.GetRepeats() > 0 {
		c.timed = append(c.timed, j)
		c.fallDue(j, now)
		return
	}
	c.openOccurrence(j, 0, j.accepted, now)
}

// fallDue opens the occurrences of a job whose time has come.
func (c *Core) fallDue(j *job, now time.Duration) {
	unix := c.cfg.UnixMs(now)
	for j.nextDue < j.spec.GetRepeats() {
		at := j.spec.GetFirstDueUnixMs() + int64(j.nextDue)*j.spec.GetIntervalMs()
		if unix < at {
			return
		}
		k := j.nextDue
		j.nextDue++
		c.openOccurrence(j, k, now-time.Duration(unix-at)*time.Millisecond, now)
	}
}

// openOccurrence makes the steps due whose predecessors are done.
func (c *Core) openOccurrence(j *job, k uint32, due, now time.Duration) {
	c.cfg.Book.View(j.id, func(r *jobs.Record) {
		if r == nil || r.Ended() {
			return
		}
		for i, spec := range j.spec.GetSteps() {
			key := StepKey{j.id, k, uint32(i)}
			if j.steps[key] != nil || r.StepDone(k, uint32(i)) {
				continue
			}
			if !slices.ContainsFunc(spec.GetAfter(), func(before uint32) bool { return !r.StepDone(k, before) }) {
				c.openStep(j, key, r, due, now)
			}
		}
	})
}

func (c *Core) openStep(j *job, key StepKey, r *jobs.Record, due, now time.Duration) {
	spec := j.spec.GetSteps()[key.Step]
	s := &step{
		key: key, job: j, spec: spec, room: roomOf(spec), due: due, ready: now, onNode: make(map[*worker]int),
		advice: newAdvice(),
	}
	for i := range spec.GetCount() {
		state := r.Task(key.Occurrence, key.Step, i)
		t := &task{step: s, index: i, done: state.Done, lastRun: max(state.LastRun, state.Started)}
		j.started = j.started || state.LastRun > 0
		if !t.done {
			s.left++
		}
		s.tasks = append(s.tasks, t)
		c.inherit(t, state, now)
	}
	j.steps[key] = s
	c.steps[key] = s
	c.ready[s] = struct{}{}
	c.setUrgency(s)
}

// inherit takes up a run that an earlier leader stored. If its worker's first
// listing lacks it, it is not there: later orders of that leader are refused.
func (c *Core) inherit(t *task, state jobs.TaskState, now time.Duration) {
	w := c.workers[state.Worker]
	if !state.Outstanding() || w == nil || w.Born != state.Born {
		return
	}
	r := c.record(t, w, state.Started, unsure, now)
	r.proven, r.provenAt = true, -1
}

// setUrgency works out the latest start that meets the objective.
func (c *Core) setUrgency(s *step) {
	chains := c.chains(s.job.spec)
	q := c.queue(s.job)
	slack := max(1, q.GetSlackFactor())
	whole := slices.Max(chains)
	s.objective = time.Duration(q.GetTargetLatencyMs())*time.Millisecond + milliseconds(slack*whole)
	s.urgency = s.due + s.objective - milliseconds(chains[s.key.Step])
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// queue returns the queue of a job as the catalogue in force has it.
func (c *Core) queue(j *job) *egretmuxv1.Queue {
	if q := c.cfg.Book.Catalogue().Queue(j.spec.GetHost(), j.spec.GetPrefix()); q != nil {
		return q
	}
	// The queue was dropped; its jobs still run where they were accepted for.
	return &egretmuxv1.Queue{Service: j.spec.GetService(), Attempts: j.spec.GetAttempts(), SlackFactor: 1}
}

// JobEnded stops what still runs of a job that was cancelled or has ended.
func (c *Core) JobEnded(id string, reason string) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if t.done && s.spec.GetGang() {
				continue // its members end together
			}
			for _, r := range t.runs {
				c.stop(r, reason)
			}
		}
		delete(c.steps, s.key)
	}
	delete(c.jobs, id)
	c.timed = slices.DeleteFunc(c.timed, func(o *job) bool { return o == j })
}

// stop orders the end of a run. Its room stays taken until the end is listed.
func (c *Core) stop(r *run, reason string) {
	if r.stopSent || r.state == ended {
		return
	}
	r.stopSent = true
	r.state = stopping
	r.proven = false
	c.out.Stops = append(c.out.Stops, Stop{Target: r.worker.Target, Task: r.task.key(), Run: r.number})
	c.notice(Notice{Event: "run_stopping", Job: r.task.step.key.Job, Task: r.task.key().String(), Worker: r.worker.Worker, Run: r.number, Reason: reason})
}

// forget removes a run that is no longer on its worker.
func (c *Core) forget(r *run) {
	if r.state != ended {
		r.worker.free = r.worker.free.plus(r.room)
	}
	delete(r.worker.runs, runKey{r.task.key(), r.number})
	r.task.remove(r)
	s := r.task.step
	c.ready[s] = struct{}{}
	if s.onNode[r.worker]--; s.onNode[r.worker] <= 0 {
		delete(s.onNode, r.worker)
	}
}

// lose gives up a run that ended without an end that can be read, and takes
// the rest of a gang down.
func (c *Core) lose(r *run, reason string) {
	c.forget(r)
	c.notice(Notice{Event: "run_lost", Job: r.task.step.key.Job, Task: r.task.key().String(), Worker: r.worker.Worker, Run: r.number, Reason: reason})
	c.breakGang(r, "gang-member-lost")
}

// breakGang stops the other members of a run's gang.
func (c *Core) breakGang(r *run, reason string) {
	s := r.task.step
	if !s.spec.GetGang() {
		return
	}
	for _, t := range s.tasks {
		for _, o := range t.runs {
			if o.number == r.number {
				c.stop(o, reason)
			}
		}
	}
}

// begun records that a worker has begun a task of the job.
func (c *Core) begun(j *job, now time.Duration) {
	if j.started {
		return
	}
	j.started = true
	c.notice(Notice{Event: "job_begun", Job: j.id, Queue: c.queue(j).GetName(), Age: now - j.accepted})
}

// PendingJobs returns how many accepted jobs of a queue have no started task.
func (c *Core) PendingJobs(host, prefix string) int {
	n := 0
	for _, j := range c.jobs {
		if !j.started && j.spec.GetRepeats() == 0 && j.spec.GetHost() == host && j.spec.GetPrefix() == prefix {
			n++
		}
	}
	return n
}

// JobStarted reports whether a job has had a run.
func (c *Core) JobStarted(id string) bool {
	j := c.jobs[id]
	return j != nil && j.started
}

// Tick lets time pass: leases end, occurrences fall due, worker rests end.
func (c *Core) Tick(now time.Duration) {
	for _, j := range slices.Clone(c.timed) {
		c.fallDue(j, now)
		if j.nextDue >= j.spec.GetRepeats() {
			c.timed = slices.DeleteFunc(c.timed, func(o *job) bool { return o == j })
		}
	}
	var lapsed []*worker
	for _, w := range c.workers {
		if now >= w.lease.lapsesAt && len(w.runs) > 0 {
			lapsed = append(lapsed, w)
		}
	}
	sortWorkers(lapsed)
	for _, w := range lapsed {
		c.endLease(w)
	}
	c.watchRuns(now)
}

// sortedWorkers returns the workers by name, so that decisions repeat.
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
