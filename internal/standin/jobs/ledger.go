// Package jobs plays what surrounds an instance on the users' platform: runners
// that are called, the advice service, the operator and the clients of queues.
// Its Ledger sees all of them and reports every broken promise.
package jobs

import (
	"fmt"
	"sync"
	"time"
)

// Task names one task of one job.
type Task struct {
	Job   string
	Step  int
	Index int
}

// run is one run as its runner saw it.
type run struct {
	runner string
	number uint64
	began  time.Time
	ended  bool
}

// Ledger records what clients asked for and what runners did. A broken promise
// is kept as one line of text.
type Ledger struct {
	mu        sync.Mutex
	began     time.Time
	submitted map[string]*Job
	runs      map[Task][]*run
	noted     map[Task]bool // a done end that its runner was told to forget
	failures  map[Task]int  // failed ends that the runner was told to forget
	broken    []string
	starts    int
}

// Job is what a client handed in.
type Job struct {
	ID       string
	Spec     string
	Steps    []Step
	Attempts int
	Accepted bool
	Refused  bool // every answer said that it never runs
	Cancel   time.Time
}

// Step is a set of like tasks.
type Step struct {
	Count int   `json:"count"`
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	Ms    int64 `json:"estimated_ms"`
	After []int `json:"depends_on,omitempty"`
	Gang  bool  `json:"gang,omitempty"`
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		began: time.Now(), submitted: make(map[string]*Job), runs: make(map[Task][]*run),
		noted: make(map[Task]bool), failures: make(map[Task]int),
	}
}

func (l *Ledger) breaks(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(l.began).Seconds()) + fmt.Sprintf(format, args...)
	l.broken = append(l.broken, line)
}

// Violations returns the broken promises so far.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.broken...)
}

// AddViolation records a promise broken towards a client or the operator.
func (l *Ledger) AddViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaks(format, args...)
}

// RecordSubmission records a job before its first send.
func (l *Ledger) RecordSubmission(j *Job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.submitted[j.ID] = j
}

// RecordAnswer records whether a job was accepted, or certainly never runs.
func (l *Ledger) RecordAnswer(id string, accepted, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.submitted[id]
	j.Accepted = j.Accepted || accepted
	j.Refused = refused && !j.Accepted
	if j.Refused && l.ran(id) {
		l.breaks("REFUSED %s has run, and its client was told that it never runs", id)
	}
}

func (l *Ledger) ran(id string) bool {
	for t := range l.runs {
		if t.Job == id {
			return true
		}
	}
	return false
}

// job returns what is known of a job.
func (l *Ledger) job(id string) *Job {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.submitted[id]
}

// started checks a run that a runner begins.
func (l *Ledger) started(t Task, number uint64, runner, spec string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	j := l.submitted[t.Job]
	switch {
	case j == nil:
		l.breaks("UNASKED %v on %s: nobody sent the job", t, runner)
	case j.Spec != spec:
		l.breaks("UNASKED %v on %s: another text than the client's", t, runner)
	case j.Refused:
		l.breaks("REFUSED %v on %s: every answer said that the job never runs", t, runner)
	case l.noted[t]:
		l.breaks("TWICE %v run %d on %s: its end was taken note of before", t, number, runner)
	case j.Attempts > 0 && l.failures[t] >= j.Attempts:
		l.breaks("BUDGET %v run %d on %s: it has failed %d times", t, number, runner, l.failures[t])
	}
	for _, o := range l.runs[t] {
		if !o.ended {
			l.breaks("TWICE %v run %d on %s while run %d is on %s", t, number, runner, o.number, o.runner)
		}
	}
	if j != nil {
		for _, before := range j.Steps[t.Step].After {
			for i := range j.Steps[before].Count {
				if !l.done(Task{t.Job, before, i}) {
					l.breaks("ORDER %v: step %d is not done", t, before)
				}
			}
		}
	}
	l.runs[t] = append(l.runs[t], &run{runner: runner, number: number, began: time.Now()})
}

func (l *Ledger) done(t Task) bool {
	for _, r := range l.runs[t] {
		if r.ended {
			return true
		}
	}
	return false
}

// ended records that a run is over.
func (l *Ledger) ended(t Task, number uint64, runner string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs[t] {
		if r.number == number && r.runner == runner {
			r.ended = true
		}
	}
}

// forgotten records an end that a runner was told to forget.
func (l *Ledger) forgotten(t Task, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch how {
	case "done":
		l.noted[t] = true
	case "failed":
		l.failures[t]++
	}
}

// Starts returns how many runs have begun.
func (l *Ledger) Starts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts
}
