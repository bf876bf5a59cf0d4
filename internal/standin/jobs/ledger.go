// Package jobs holds stand-ins for what surrounds an instance on the users'
// platform: runners, the advice service, the operator and the clients of queues.
// Its Ledger records what all of them saw and reports violated guarantees.
package jobs

import (
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Task identifies one task of an occurrence of a job.
type Task struct {
	Job        string
	Step       int
	Index      int
	Occurrence int
}

// run is one run of a task, as its runner saw it.
type run struct {
	runner string
	number uint64
	began  time.Time
	ended  bool
	done   bool      // it has ended with outcome done
	lapsed bool      // its lease has expired
	over   time.Time // when it ended
	lease  *leaseEnd // of its runner
	late   bool      // its order got no answer and was carried out late
	stopAt time.Time // when its runner was first told to stop it; zero: never
	taken  bool      // an order ended it, or a lapse that counts as one
}

// goesOn reports whether a run goes on at a moment. Its end by an expired lease may not be recorded yet.
func (r *run) goesOn(now time.Time) bool { return !r.ended && r.lease.after(now) }

// Ledger records what clients asked for and what runners did. It keeps a line of
// text for each violated guarantee.
type Ledger struct {
	mu                   sync.Mutex
	began                time.Time
	submitted            map[string]*Job
	runs                 map[Task][]*run
	doneAcknowledged     map[Task]time.Time          // when the leader has first acknowledged an end with outcome done
	completed            map[string]time.Time        // when a job was first shown as completed
	checkpoints          map[savedWork]time.Duration // work up to a checkpoint
	disturbances         int                         // of instances, in progress
	calmSince            time.Time
	statusTime           time.Duration // see SetStatusTime
	counts               Counts
	failuresAcknowledged map[Task]int // ends with outcome failed that the leader has acknowledged
	crashes              map[Task]int // runners that crashed under a run of the task
	gangs                map[gangKey]*gang
	gangTimeout          time.Duration
	gangsBesideFaults    bool // see JudgeGangsBesideFaults
	gangCounts           GangCounts
	instanceFaults       faults
	runnerFaults         faults
	linkFaults           faults               // of the links of runners
	linkHarmed           map[any]time.Time    // when a disruption of a link began or ended last, by runner
	steady               []stretch            // see closeStretch
	awaited              [ackKinds][]*awaited // acknowledgements
	stopTimeout          time.Duration
	quotas               map[string]*quota // of tenants that have one
	lateOrders           int               // orders without an answer that are still to be carried out
	startsAfterCrashes   map[Task]int      // starts since the crash number maxCrashes
	violations           []string
	starts               int
	record               zerolog.Logger // see RecordTo
}

// Numbers of crashed runners under one task: those after which it may be given up, and those
// after which it may be started only fewer than maxStartsAfterCrashes times more.
const (
	crashesToGiveUp       = 2
	maxCrashes            = 3
	maxStartsAfterCrashes = 3
)

// Job is a job that a client submits.
type Job struct {
	ID        string
	Queue     string // path prefix, where it matters
	Tenant    string // where it has a limit
	Spec      string
	Steps     []Step
	Attempts  int
	Accepted  bool
	Refused   bool // every answer said that the job will not run
	Cancelled bool // its client has sent a cancellation

	// Occurrences of a periodic job; one without times if Repeats is zero.
	Repeats            int
	FirstDue           time.Time
	Interval           time.Duration
	Advised            bool      // its queue has advice, so that its starts need a ticket
	AcceptedAt         time.Time // when its client was told that it is accepted
	CancelAcknowledged time.Time // when its client was told that it is cancelled
	Ended              bool      // it was shown in a final state
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count int   `json:"count"`
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	Ms    int64 `json:"estimated_ms"`
	After []int `json:"depends_on,omitempty"`
	Gang  bool  `json:"gang,omitempty"`

	LongRunning  bool `json:"long_running,omitempty"`
	MayMiss      int  `json:"may_miss,omitempty"`
	MaxPerRunner int  `json:"anti_affinity,omitempty"`

	Speculative   bool   `json:"speculative,omitempty"`
	RequiredLabel string `json:"required_label,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		began: time.Now(), submitted: make(map[string]*Job), runs: make(map[Task][]*run),
		doneAcknowledged: make(map[Task]time.Time), completed: make(map[string]time.Time), checkpoints: make(map[savedWork]time.Duration), failuresAcknowledged: make(map[Task]int),
		crashes: make(map[Task]int), startsAfterCrashes: make(map[Task]int),
		gangs: make(map[gangKey]*gang), gangTimeout: defaultGangTimeout, stopTimeout: defaultStopTimeout, quotas: make(map[string]*quota), record: zerolog.Nop(),
		linkHarmed: make(map[any]time.Time),
	}
}

// addViolationLocked records a violation. The caller holds l.mu.
func (l *Ledger) addViolationLocked(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(l.began).Seconds()) + fmt.Sprintf(format, args...)
	l.violations = append(l.violations, line)
}

// Violations returns the violations recorded so far.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// AddViolation records a violated guarantee.
func (l *Ledger) AddViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolationLocked(format, args...)
}

// RecordSubmission records a job. It is called before the job is first sent.
func (l *Ledger) RecordSubmission(j *Job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.submitted[j.ID] = j
	l.recordJobLocked("client_submits", j.ID, "")
}

// RecordAnswer records whether a job was accepted, or refused in a way that
// guarantees that it never runs.
func (l *Ledger) RecordAnswer(id string, accepted, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.submitted[id]
	if accepted && !j.Accepted {
		j.Accepted, j.AcceptedAt = true, time.Now()
		l.recordJobLocked("client_answered", id, "accepted")
	}
	j.Refused = refused && !j.Accepted
	if j.Refused {
		l.recordJobLocked("client_answered", id, "refused")
	}
	if j.Refused && l.hasRun(id) {
		l.addViolationLocked("REFUSED %s has run, and its client was told that it never runs", id)
	}
}

// RecordCancellation records a cancellation. It is called before the first is sent.
func (l *Ledger) RecordCancellation(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.submitted[id]; j != nil {
		j.Cancelled = true
		l.recordJobLocked("client_cancels", id, "")
	}
}

// RecordCancelled records that a client was told that its job is cancelled or gone.
func (l *Ledger) RecordCancelled(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.submitted[id]; j != nil && j.CancelAcknowledged.IsZero() {
		j.CancelAcknowledged = time.Now()
		l.recordJobLocked("client_answered", id, "cancelled")
	}
}

// accepted reports whether a client was told that its job is accepted.
func (l *Ledger) accepted(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.submitted[id]
	return j != nil && j.Accepted
}

// AcceptedJobs returns the jobs whose acceptance their clients know of.
func (l *Ledger) AcceptedJobs() []*Job {
	l.mu.Lock()
	defer l.mu.Unlock()
	var accepted []*Job
	for _, j := range l.submitted {
		if j.Accepted {
			accepted = append(accepted, j)
		}
	}
	return accepted
}

func (l *Ledger) hasRun(id string) bool {
	for t := range l.runs {
		if t.Job == id {
			return true
		}
	}
	return false
}

// job returns a submitted job, or nil.
func (l *Ledger) job(id string) *Job {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.submitted[id]
}

// recordStart records that a runner starts a run, and checks that it may.
func (l *Ledger) recordStart(t Task, number uint64, runner, spec string, lease *leaseEnd, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	l.recordRunLocked("runner_began", t, number, runner).Bool("late", late).Send()
	j, now := l.submitted[t.Job], time.Now()
	switch {
	case j == nil:
		l.addViolationLocked("UNASKED %v on %s: nobody sent the job", t, runner)
	case j.Spec != spec:
		l.addViolationLocked("UNASKED %v on %s: another text than the client's", t, runner)
	case j.Refused:
		l.addViolationLocked("REFUSED %v on %s: every answer said that the job never runs", t, runner)
	case !l.doneAcknowledged[t].IsZero() && !j.speculative(t.Step):
		l.addViolationLocked("TWICE %v run %d on %s: its end was acknowledged before", t, number, runner)
	case j.Attempts > 0 && l.failuresAcknowledged[t] >= j.Attempts:
		l.addViolationLocked("BUDGET %v run %d on %s: it has failed %d times", t, number, runner, l.failuresAcknowledged[t])
	}
	if l.crashes[t] >= maxCrashes && !j.lasts(t.Step) {
		if l.startsAfterCrashes[t]++; l.startsAfterCrashes[t] >= maxStartsAfterCrashes {
			l.addViolationLocked("BUDGET %v run %d on %s: %d runners have crashed under it", t, number, runner, l.crashes[t])
		}
	}
	l.checkStaleStart(t, number, runner, late, now)
	l.countAfterLapse(t, now)
	for _, other := range l.runs[t] {
		switch {
		case !other.goesOn(now):
		case j.speculative(t.Step):
			l.counts.Copies++
		default:
			l.addViolationLocked("TWICE %v run %d on %s while run %d is on %s", t, number, runner, other.number, other.runner)
		}
	}
	if j != nil {
		for _, dependency := range j.Steps[t.Step].After {
			for i := range j.Steps[dependency].Count {
				if !l.hasEnded(Task{t.Job, dependency, i, t.Occurrence}) {
					l.addViolationLocked("ORDER %v: step %d is not done", t, dependency)
				}
			}
		}
	}
	r := &run{runner: runner, number: number, began: now, lease: lease, late: late}
	l.runs[t] = append(l.runs[t], r)
	l.checkQuota(t, r)
}

// lasts reports whether a step's tasks last until the job is cancelled. They have to be started
// again however they end, so that nothing bounds their starts.
func (j *Job) lasts(step int) bool { return j != nil && j.Steps[step].LongRunning }

func (j *Job) speculative(step int) bool { return j != nil && j.Steps[step].Speculative }

func (l *Ledger) hasEnded(t Task) bool {
	for _, r := range l.runs[t] {
		if r.ended {
			return true
		}
	}
	return false
}

// recordEnd records that a run has ended.
func (l *Ledger) recordEnd(t Task, number uint64, runner, outcome string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordRunLocked("runner_ended", t, number, runner).Str("reason", outcome).Send()
	if outcome == "lapsed" {
		l.counts.Lapsed++
	}
	for _, r := range l.runs[t] {
		if r.number == number && r.runner == runner {
			if outcome == "lapsed" && l.isSteady(at) {
				l.judgeOrderedEnd(t, r, at.Add(-time.Nanosecond), false) // its lease still goes on then
			}
			r.ended, r.done, r.lapsed, r.over = true, outcome == "done", outcome == "lapsed", at
			if outcome == "alone" {
				l.judgeAloneLocked(t, r)
			}
		}
	}
}

// recordAcknowledgement records that the leader has acknowledged the end of a run, and checks
// that no other run of the task has begun after an end that counts.
func (l *Ledger) recordAcknowledgement(t Task, number uint64, runner, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordRunLocked("runner_end_acknowledged", t, number, runner).Str("reason", outcome).Send()
	switch outcome {
	case "done":
		for _, member := range l.representedBy(t) {
			if l.doneAcknowledged[member].IsZero() {
				l.doneAcknowledged[member] = time.Now()
			}
		}
		for _, r := range l.runs[t] {
			if r.number == number && r.runner == runner && r.done {
				l.checkNoLaterStart(t, r)
			}
		}
	case "failed":
		l.failuresAcknowledged[t]++
	}
}

// representedBy returns the tasks for which an end of a task as done counts: all of its gang, as these
// end together. The caller holds l.mu.
func (l *Ledger) representedBy(t Task) []Task {
	j := l.submitted[t.Job]
	if j == nil || !j.Steps[t.Step].Gang {
		return []Task{t}
	}
	members := make([]Task, j.Steps[t.Step].Count)
	for i := range members {
		members[i] = Task{t.Job, t.Step, i, t.Occurrence}
	}
	return members
}

// checkNoLaterStart checks that no run began after one that was done, and whose end is acknowledged.
// The caller holds l.mu.
func (l *Ledger) checkNoLaterStart(t Task, r *run) {
	if l.submitted[t.Job].speculative(t.Step) {
		return
	}
	for _, member := range l.representedBy(t) {
		for _, later := range l.runs[member] {
			if later.began.After(r.over) {
				l.addViolationLocked("TWICE %v run %d on %s began after run %d of %v on %s was done, whose end is acknowledged", member, later.number, later.runner, r.number, t, r.runner)
			}
		}
	}
}

// recordCrash records that a runner crashed under a run of a task.
func (l *Ledger) recordCrash(t Task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes[t]++
}

// mayBeGivenUp reports whether so many runners have crashed under a task of a job that the
// job may be shown as failed.
func (l *Ledger) mayBeGivenUp(job string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mayBeGivenUpLocked(job)
}

func (l *Ledger) mayBeGivenUpLocked(job string) bool {
	for t, n := range l.crashes {
		if t.Job == job && n >= crashesToGiveUp {
			return true
		}
	}
	return false
}

// RanBefore reports whether a run of a job had begun at a time.
func (l *Ledger) RanBefore(id string, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for t, runs := range l.runs {
		for _, r := range runs {
			if t.Job == id && r.began.Before(at) {
				return true
			}
		}
	}
	return false
}

// Starts returns the number of runs that were started.
func (l *Ledger) Starts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts
}
