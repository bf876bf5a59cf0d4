package job

import (
	"maps"
	"slices"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Record is the stored state of one job.
type Record struct {
	Job             *egretmuxv1.Job
	Phase           egretmuxv1.JobPhase // unspecified until the job has ended
	occurrences     map[uint32]*occurrence
	openOccurrences uint32 // occurrences with open steps
	leftovers       []*egretmuxv1.LeftoverRun
}

// occurrence is the progress of one repetition of a job's steps.
type occurrence struct {
	steps     []stepState
	openSteps int // steps with open tasks
}

// stepState is the progress of one step. tasks is nil until the first start or end.
type stepState struct {
	tasks             []TaskState
	openTasks         uint32 // tasks that are not done
	gangFailures      uint32 // failed runs, gangs only
	gangLastFailedRun uint64 // highest failed run, gangs only
}

// TaskState is the stored progress of one task.
type TaskState struct {
	Done           bool
	Failures       uint32
	LastEndedRun   uint64 // highest run whose end is stored
	Checkpoint     string
	LastStartedRun uint64 // highest run that may have been started
	Worker         string // worker to which LastStartedRun was assigned
	Born           int64  // birth time of that worker, in Unix milliseconds; identifies its life
	Crashes        uint32 // workers that crashed under a run of the task
	StartupCrashes uint32 // those of them that crashed during its startup
}

// Outstanding reports whether a run may have been started whose end is not stored.
func (t TaskState) Outstanding() bool { return t.LastStartedRun > t.LastEndedRun && !t.Done }

func newRecord(j *egretmuxv1.Job) *Record {
	return &Record{Job: j, occurrences: make(map[uint32]*occurrence), openOccurrences: Occurrences(j)}
}

// Occurrences returns how many times a job's steps run.
func Occurrences(j *egretmuxv1.Job) uint32 { return max(1, j.GetRepeats()) }

// Ended reports whether the job is completed, failed or cancelled.
func (r *Record) Ended() bool { return r.Phase != egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED }

// Task returns the progress of one task.
func (r *Record) Task(occurrence, step, index uint32) TaskState {
	occ := r.occurrences[occurrence]
	if occ == nil || int(step) >= len(occ.steps) || int(index) >= len(occ.steps[step].tasks) {
		return TaskState{}
	}
	return occ.steps[step].tasks[index]
}

// Tasks returns a copy of the progress of all tasks of a step.
func (r *Record) Tasks(occurrence, step uint32) []TaskState {
	out := make([]TaskState, r.Job.GetSteps()[step].GetCount())
	if occ := r.occurrences[occurrence]; occ != nil {
		copy(out, occ.steps[step].tasks)
	}
	return out
}

// BegunOccurrences returns the occurrences of which a start or an end is stored, in order.
func (r *Record) BegunOccurrences() []uint32 { return slices.Sorted(maps.Keys(r.occurrences)) }

// StepDone reports whether all tasks of a step are done.
func (r *Record) StepDone(occurrence, step uint32) bool {
	occ := r.occurrences[occurrence]
	return occ != nil && int(step) < len(occ.steps) && occ.steps[step].openTasks == 0
}

// HasDoneStep reports whether all tasks of any step are done.
func (r *Record) HasDoneStep() bool {
	for _, occ := range r.occurrences {
		if slices.ContainsFunc(occ.steps, func(s stepState) bool { return s.openTasks == 0 }) {
			return true
		}
	}
	return false
}

// GangFailures returns the number of failed runs of a gang.
func (r *Record) GangFailures(occurrence, step uint32) uint32 {
	occ := r.occurrences[occurrence]
	if occ == nil || int(step) >= len(occ.steps) {
		return 0
	}
	return occ.steps[step].gangFailures
}

// ensureOccurrence returns the occurrence and creates it if need be.
func (r *Record) ensureOccurrence(k uint32) *occurrence {
	occ := r.occurrences[k]
	if occ == nil {
		occ = &occurrence{steps: make([]stepState, len(r.Job.GetSteps())), openSteps: len(r.Job.GetSteps())}
		for i, s := range r.Job.GetSteps() {
			occ.steps[i].openTasks = s.GetCount()
		}
		r.occurrences[k] = occ
	}
	return occ
}

// taskRef identifies a task; starts and ends of runs implement it.
type taskRef interface {
	GetOccurrence() uint32
	GetStep() uint32
	GetIndex() uint32
}

// ensureStep returns the state of the task's step and creates its tasks if need be.
func (r *Record) ensureStep(ref taskRef) *stepState {
	s := &r.ensureOccurrence(ref.GetOccurrence()).steps[ref.GetStep()]
	if s.tasks == nil {
		s.tasks = make([]TaskState, r.Job.GetSteps()[ref.GetStep()].GetCount())
	}
	return s
}

// applyStart stores a start before it is sent to the worker, and reports whether it did.
func (r *Record) applyStart(e *egretmuxv1.RunStart) bool {
	if r.Ended() || !r.hasTask(e) {
		return false
	}
	t := &r.ensureStep(e).tasks[e.GetIndex()]
	if e.GetRun() <= t.LastStartedRun {
		return false
	}
	r.keepSuperseded(e, *t)
	t.LastStartedRun, t.Worker, t.Born = e.GetRun(), e.GetWorker(), e.GetBornUnixMs()
	return true
}

// HasTask reports whether a task exists in the job.
func (r *Record) HasTask(occurrence, step, index uint32) bool {
	return occurrence < Occurrences(r.Job) && int(step) < len(r.Job.GetSteps()) && index < r.Job.GetSteps()[step].GetCount()
}

func (r *Record) hasTask(ref taskRef) bool {
	return r.HasTask(ref.GetOccurrence(), ref.GetStep(), ref.GetIndex())
}

// applyEnd stores the end of a run. A failed run is counted once, also if its end is
// reported again.
func (r *Record) applyEnd(e *egretmuxv1.RunEnd) {
	defer r.dropLeftover(e)
	if r.Ended() || !r.hasTask(e) {
		return
	}
	spec := r.Job.GetSteps()[e.GetStep()]
	s := r.ensureStep(e)
	t := &s.tasks[e.GetIndex()]
	if e.GetCheckpoint() != "" && !t.Done {
		saveCheckpoint(s, spec, e)
	}
	switch e.GetOutcome() {
	case egretmuxv1.RunOutcome_RUN_OUTCOME_DONE:
		r.applyDone(s, spec, e)
	case egretmuxv1.RunOutcome_RUN_OUTCOME_FAILED:
		r.applyFailure(s, spec, e)
	}
	t.LastEndedRun = max(t.LastEndedRun, e.GetRun())
}

// saveCheckpoint stores a checkpoint; the checkpoint of one member is that of its gang.
func saveCheckpoint(s *stepState, spec *egretmuxv1.JobStep, e *egretmuxv1.RunEnd) {
	if !spec.GetGang() {
		s.tasks[e.GetIndex()].Checkpoint = e.GetCheckpoint()
		return
	}
	for i := range s.tasks {
		s.tasks[i].Checkpoint = e.GetCheckpoint()
	}
}

func (r *Record) applyDone(s *stepState, spec *egretmuxv1.JobStep, e *egretmuxv1.RunEnd) {
	if spec.GetLongRunning() || s.openTasks == 0 {
		return
	}
	first, last := e.GetIndex(), e.GetIndex()
	if spec.GetGang() { // a gang is done as soon as one member is
		first, last = 0, spec.GetCount()-1
	}
	for i := first; i <= last; i++ {
		if !s.tasks[i].Done {
			s.tasks[i].Done = true
			s.openTasks--
		}
	}
	if s.openTasks > 0 {
		return
	}
	occ := r.occurrences[e.GetOccurrence()]
	occ.openSteps--
	if occ.openSteps > 0 {
		return
	}
	r.openOccurrences--
	if r.openOccurrences == 0 {
		r.finish(egretmuxv1.JobPhase_JOB_PHASE_COMPLETED)
	}
}

func (r *Record) applyFailure(s *stepState, spec *egretmuxv1.JobStep, e *egretmuxv1.RunEnd) {
	t := &s.tasks[e.GetIndex()]
	failures := &t.Failures
	switch {
	case t.Done:
		return
	case spec.GetGang():
		if e.GetRun() <= s.gangLastFailedRun {
			return
		}
		s.gangLastFailedRun = e.GetRun()
		failures = &s.gangFailures
	case spec.GetSpeculative() && e.GetRun() < t.LastEndedRun: // its copy has ended before it
	case e.GetRun() <= t.LastEndedRun:
		return
	}
	*failures++
	if !spec.GetLongRunning() && *failures >= max(1, r.Job.GetAttempts()) {
		r.finish(egretmuxv1.JobPhase_JOB_PHASE_FAILED)
	}
}

// finish sets the final phase and drops the state that only an active job needs.
func (r *Record) finish(phase egretmuxv1.JobPhase) {
	r.leftovers = r.OutstandingRuns()
	r.Phase = phase
	r.Job = &egretmuxv1.Job{
		Id: r.Job.GetId(), Host: r.Job.GetHost(), Prefix: r.Job.GetPrefix(), Service: r.Job.GetService(), Customer: r.Job.GetCustomer(),
	}
	r.occurrences = nil
}

func (r *Record) toProto() *egretmuxv1.JobRecord {
	out := &egretmuxv1.JobRecord{Job: r.Job, Phase: r.Phase, LeftoverRuns: slices.Clone(r.leftovers)}
	for k, occ := range r.occurrences {
		for i := range occ.steps {
			if s := &occ.steps[i]; s.tasks != nil {
				out.Steps = append(out.Steps, s.toProto(k, uint32(i)))
			}
		}
	}
	return out
}

func (s *stepState) toProto(occurrence, step uint32) *egretmuxv1.StepRecord {
	out := &egretmuxv1.StepRecord{Occurrence: occurrence, Step: step, Failures: s.gangFailures, LastRun: s.gangLastFailedRun}
	for i, t := range s.tasks {
		if t != (TaskState{}) {
			out.Tasks = append(out.Tasks, &egretmuxv1.TaskRecord{
				Index: uint32(i), Done: t.Done, Failures: t.Failures, LastRun: t.LastEndedRun, Checkpoint: t.Checkpoint,
				Started: t.LastStartedRun, Worker: t.Worker, BornUnixMs: t.Born,
				Crashes: t.Crashes, StartupCrashes: t.StartupCrashes,
			})
		}
	}
	return out
}

func recordFromProto(in *egretmuxv1.JobRecord) *Record {
	r := newRecord(in.GetJob())
	r.leftovers = in.GetLeftoverRuns()
	if in.GetPhase() != egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED {
		r.finish(in.GetPhase())
		return r
	}
	for _, stepRecord := range in.GetSteps() {
		occ := r.ensureOccurrence(stepRecord.GetOccurrence())
		s := &occ.steps[stepRecord.GetStep()]
		s.gangFailures, s.gangLastFailedRun = stepRecord.GetFailures(), stepRecord.GetLastRun()
		s.tasks = make([]TaskState, r.Job.GetSteps()[stepRecord.GetStep()].GetCount())
		for _, t := range stepRecord.GetTasks() {
			s.tasks[t.GetIndex()] = TaskState{
				Done: t.GetDone(), Failures: t.GetFailures(), LastEndedRun: t.GetLastRun(), Checkpoint: t.GetCheckpoint(),
				LastStartedRun: t.GetStarted(), Worker: t.GetWorker(), Born: t.GetBornUnixMs(),
				Crashes: t.GetCrashes(), StartupCrashes: t.GetStartupCrashes(),
			}
			if t.GetDone() {
				s.openTasks--
			}
		}
		if s.openTasks == 0 {
			occ.openSteps--
		}
	}
	for _, occ := range r.occurrences {
		if occ.openSteps == 0 {
			r.openOccurrences--
		}
	}
	return r
}
