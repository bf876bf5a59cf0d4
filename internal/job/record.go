package job

import (
	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Record is the stored state of one job.
type Record struct {
	Job         *egretmuxv1.Job
	Phase       egretmuxv1.JobPhase // unspecified until the job has ended
	occurrences map[uint32]*occurrence
	open        uint32 // occurrences that are not done
}

// occurrence is one round of a job's steps.
type occurrence struct {
	steps []stepState
	open  int // steps that are not done
}

// stepState is the progress of one step. Its tasks exist from the first end on.
type stepState struct {
	tasks    []TaskState
	left     uint32 // tasks that are not done
	failures uint32 // of the gang
	lastRun  uint64 // highest failed run of the gang
}

// TaskState is the stored progress of one task.
type TaskState struct {
	Done       bool
	Failures   uint32
	LastRun    uint64 // highest run whose end was noted
	Checkpoint string
	Started    uint64 // highest run that may have been started
	Worker     string // that was to run it
	Born       int64  // of that worker's life
}

// Outstanding reports whether a run may be present whose end was not noted.
func (t TaskState) Outstanding() bool { return t.Started > t.LastRun && !t.Done }

func newRecord(j *egretmuxv1.Job) *Record {
	return &Record{Job: j, occurrences: make(map[uint32]*occurrence), open: Occurrences(j)}
}

// Occurrences returns how many times a job's steps run.
func Occurrences(j *egretmuxv1.Job) uint32 { return max(1, j.GetRepeats()) }

// Ended reports whether nothing of the job will run any more.
func (r *Record) Ended() bool { return r.Phase != egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED }

// Task returns the progress of one task.
func (r *Record) Task(occurrence, step, index uint32) TaskState {
	o := r.occurrences[occurrence]
	if o == nil || int(step) >= len(o.steps) || int(index) >= len(o.steps[step].tasks) {
		return TaskState{}
	}
	return o.steps[step].tasks[index]
}

// StepDone reports whether all tasks of a step are done.
func (r *Record) StepDone(occurrence, step uint32) bool {
	o := r.occurrences[occurrence]
	return o != nil && int(step) < len(o.steps) && o.steps[step].left == 0
}

// GangFailures returns the failed runs of a gang.
func (r *Record) GangFailures(occurrence, step uint32) uint32 {
	o := r.occurrences[occurrence]
	if o == nil || int(step) >= len(o.steps) {
		return 0
	}
	return o.steps[step].failures
}

func (r *Record) occurrence(k uint32) *occurrence {
	o := r.occurrences[k]
	if o == nil {
		o = &occurrence{steps: make([]stepState, len(r.Job.GetSteps())), open: len(r.Job.GetSteps())}
		for i, s := range r.Job.GetSteps() {
			o.steps[i].left = s.GetCount()
		}
		r.occurrences[k] = o
	}
	return o
}

// taskName is what a start and an end have in common.
type taskName interface {
	GetOccurrence() uint32
	GetStep() uint32
	GetIndex() uint32
}

func (r *Record) step(e taskName) *stepState {
	s := &r.occurrence(e.GetOccurrence()).steps[e.GetStep()]
	if s.tasks == nil {
		s.tasks = make([]TaskState, r.Job.GetSteps()[e.GetStep()].GetCount())
	}
	return s
}

// noteStart takes a start that is about to be ordered into the record.
func (r *Record) noteStart(e *egretmuxv1.RunStart) {
	if r.Ended() || !r.names(e) {
		return
	}
	t := &r.step(e).tasks[e.GetIndex()]
	if e.GetRun() > t.Started {
		t.Started, t.Worker, t.Born = e.GetRun(), e.GetWorker(), e.GetBornUnixMs()
	}
}

// names reports whether the job has the task.
func (r *Record) names(e taskName) bool {
	return e.GetOccurrence() < Occurrences(r.Job) && int(e.GetStep()) < len(r.Job.GetSteps()) &&
		e.GetIndex() < r.Job.GetSteps()[e.GetStep()].GetCount()
}

// note takes one end into the record.
func (r *Record) note(e *egretmuxv1.RunEnd) {
	if r.Ended() || !r.names(e) {
		return
	}
	spec := r.Job.GetSteps()[e.GetStep()]
	s := r.step(e)
	t := &s.tasks[e.GetIndex()]
	if e.GetCheckpoint() != "" && !t.Done {
		saveCheckpoint(s, spec, e)
	}
	switch e.GetOutcome() {
	case egretmuxv1.RunOutcome_RUN_OUTCOME_DONE:
		r.noteDone(s, spec, e)
	case egretmuxv1.RunOutcome_RUN_OUTCOME_FAILED:
		r.noteFailure(s, spec, e)
	}
	t.LastRun = max(t.LastRun, e.GetRun())
}

// saveCheckpoint stores saved progress; that of one member is the gang's.
func saveCheckpoint(s *stepState, spec *egretmuxv1.JobStep, e *egretmuxv1.RunEnd) {
	if !spec.GetGang() {
		s.tasks[e.GetIndex()].Checkpoint = e.GetCheckpoint()
		return
	}
	for i := range s.tasks {
		s.tasks[i].Checkpoint = e.GetCheckpoint()
	}
}

func (r *Record) noteDone(s *stepState, spec *egretmuxv1.JobStep, e *egretmuxv1.RunEnd) {
	if spec.GetLongRunning() || s.left == 0 {
		return
	}
	first, last := e.GetIndex(), e.GetIndex()
	if spec.GetGang() { // the end of one member stands for all
		first, last = 0, spec.GetCount()-1
	}
	for i := first; i <= last; i++ {
		if !s.tasks[i].Done {
			s.tasks[i].Done = true
			s.left--
		}
	}
	if s.left > 0 {
		return
	}
	o := r.occurrences[e.GetOccurrence()]
	o.open--
	if o.open > 0 {
		return
	}
	r.open--
	if r.open == 0 {
		r.end(egretmuxv1.JobPhase_JOB_PHASE_COMPLETED)
	}
}

func (r *Record) noteFailure(s *stepState, spec *egretmuxv1.JobStep, e *egretmuxv1.RunEnd) {
	t := &s.tasks[e.GetIndex()]
	failures := &t.Failures
	switch {
	case t.Done:
		return
	case spec.GetGang():
		if e.GetRun() <= s.lastRun {
			return
		}
		s.lastRun = e.GetRun()
		failures = &s.failures
	case e.GetRun() <= t.LastRun:
		return
	}
	*failures++
	if !spec.GetLongRunning() && *failures >= max(1, r.Job.GetAttempts()) {
		r.end(egretmuxv1.JobPhase_JOB_PHASE_FAILED)
	}
}

// end drops what only a job that still runs needs.
func (r *Record) end(phase egretmuxv1.JobPhase) {
	r.Phase = phase
	r.Job = &egretmuxv1.Job{Id: r.Job.GetId(), Host: r.Job.GetHost(), Prefix: r.Job.GetPrefix(), Service: r.Job.GetService()}
	r.occurrences = nil
}

func (r *Record) encode() *egretmuxv1.JobRecord {
	out := &egretmuxv1.JobRecord{Job: r.Job, Phase: r.Phase}
	for k, o := range r.occurrences {
		for i := range o.steps {
			if s := &o.steps[i]; s.tasks != nil {
				out.Steps = append(out.Steps, s.encode(k, uint32(i)))
			}
		}
	}
	return out
}

func (s *stepState) encode(occurrence, step uint32) *egretmuxv1.StepRecord {
	out := &egretmuxv1.StepRecord{Occurrence: occurrence, Step: step, Failures: s.failures, LastRun: s.lastRun}
	for i, t := range s.tasks {
		if t != (TaskState{}) {
			out.Tasks = append(out.Tasks, &egretmuxv1.TaskRecord{
				Index: uint32(i), Done: t.Done, Failures: t.Failures, LastRun: t.LastRun, Checkpoint: t.Checkpoint,
				Started: t.Started, Worker: t.Worker, BornUnixMs: t.Born,
			})
		}
	}
	return out
}

func decode(in *egretmuxv1.JobRecord) *Record {
	r := newRecord(in.GetJob())
	if in.GetPhase() != egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED {
		r.end(in.GetPhase())
		return r
	}
	for _, sr := range in.GetSteps() {
		o := r.occurrence(sr.GetOccurrence())
		s := &o.steps[sr.GetStep()]
		s.failures, s.lastRun = sr.GetFailures(), sr.GetLastRun()
		s.tasks = make([]TaskState, r.Job.GetSteps()[sr.GetStep()].GetCount())
		for _, t := range sr.GetTasks() {
			s.tasks[t.GetIndex()] = TaskState{
				Done: t.GetDone(), Failures: t.GetFailures(), LastRun: t.GetLastRun(), Checkpoint: t.GetCheckpoint(),
				Started: t.GetStarted(), Worker: t.GetWorker(), Born: t.GetBornUnixMs(),
			}
			if t.GetDone() {
				s.left--
			}
		}
		if s.left == 0 {
			o.open--
		}
	}
	for _, o := range r.occurrences {
		if o.open == 0 {
			r.open--
		}
	}
	return r
}
