package job

import (
	"maps"
	"slices"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Leftover runs are those that may still be present on their workers although the progress of
// their task does not show it: the job has ended, or a copy of the task was started after them.
// A new leader counts them towards the quota of the customer, and adopts those of open tasks.
// Jobs without a customer have only the latter.

// maxSuperseded bounds the runs of one task that are kept beside its latest one.
const maxSuperseded = 4

// runRef identifies a run; ends and crashed runs implement it.
type runRef interface {
	taskRef
	GetRun() uint64
}

// OutstandingRuns returns the runs of a customer's job that may have been started and whose
// end is not stored, also those of tasks that are done. The caller must not modify them.
func (r *Record) OutstandingRuns() []*egretmuxv1.LeftoverRun {
	if r.Job.GetCustomer() == "" {
		return nil
	}
	out := slices.Clone(r.leftovers)
	for _, k := range slices.Sorted(maps.Keys(r.occurrences)) { // all replicas store the same order
		for step := range r.occurrences[k].steps {
			for index, t := range r.occurrences[k].steps[step].tasks {
				if t.LastStartedRun > t.LastEndedRun {
					out = append(out, r.leftover(k, uint32(step), uint32(index), t))
				}
			}
		}
	}
	return out
}

// leftover describes the latest run of a task.
func (r *Record) leftover(occurrence, step, index uint32, t TaskState) *egretmuxv1.LeftoverRun {
	spec := r.Job.GetSteps()[step]
	return &egretmuxv1.LeftoverRun{
		Occurrence: occurrence, Step: step, Index: index, Run: t.LastStartedRun, Worker: t.Worker, BornUnixMs: t.Born,
		Demand: &egretmuxv1.Resources{CpuMillis: spec.GetCpuMillis(), MemoryMib: spec.GetMemoryMib(), Accelerators: spec.GetAccelerators()},
	}
}

// keepSuperseded keeps the latest run of a task beside the next one, which is a copy. In steps
// that are not speculative the run before a start is certainly over.
func (r *Record) keepSuperseded(next taskRef, t TaskState) {
	if t.LastStartedRun <= t.LastEndedRun || !r.Job.GetSteps()[next.GetStep()].GetSpeculative() {
		return
	}
	kept, oldest := 0, -1
	for i, l := range r.leftovers {
		if sameTask(l, next) {
			if kept++; oldest < 0 {
				oldest = i
			}
		}
	}
	if kept >= maxSuperseded {
		r.leftovers = slices.Delete(r.leftovers, oldest, oldest+1)
	}
	r.leftovers = append(r.leftovers, r.leftover(next.GetOccurrence(), next.GetStep(), next.GetIndex(), t))
}

// SupersededRuns returns the runs of the tasks of a step that may have been started before the
// latest one of their task and whose end is not stored. The caller must not modify them.
func (r *Record) SupersededRuns(occurrence, step uint32) []*egretmuxv1.LeftoverRun {
	var out []*egretmuxv1.LeftoverRun
	for _, l := range r.leftovers {
		if l.GetOccurrence() == occurrence && l.GetStep() == step {
			out = append(out, l)
		}
	}
	return out
}

// dropLeftover removes a run that has ended.
func (r *Record) dropLeftover(ended runRef) {
	r.leftovers = slices.DeleteFunc(r.leftovers, func(l *egretmuxv1.LeftoverRun) bool {
		return l.GetRun() == ended.GetRun() && sameTask(l, ended)
	})
}

func sameTask(a, b taskRef) bool {
	return a.GetOccurrence() == b.GetOccurrence() && a.GetStep() == b.GetStep() && a.GetIndex() == b.GetIndex()
}
