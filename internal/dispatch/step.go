package dispatch

import (
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// job is a job that has not ended.
type job struct {
	id       string
	spec     *egretmuxv1.Job
	accepted time.Duration // may be negative: before this tenure
	started  bool
	steps    map[StepKey]*step
	nextDue  uint32 // lowest occurrence that is not due yet
}

// task is one task of a step that is due.
type task struct {
	step    *step
	index   uint32
	done    bool
	runs    []*run
	lastRun uint64 // highest run that was started or found
}

func (t *task) key() TaskKey { return TaskKey{t.step.key, t.index} }

func (t *task) remove(r *run) {
	for i, o := range t.runs {
		if o == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			return
		}
	}
}

// step is a step whose turn has come.
type step struct {
	key     StepKey
	job     *job
	spec    *egretmuxv1.JobStep
	room    room
	tasks   []*task
	left    int           // tasks that are not done
	due     time.Duration // when the job was accepted or the occurrence was due
	ready   time.Duration // when its turn came
	urgency time.Duration // latest start that still meets the objective
	late    int           // standing against the objective
	// objective is the time from due to done that earns in full.
	objective time.Duration
	advice    advice
	onNode    map[*worker]int // runs by worker
	urgent    bool            // of the first priority
}

// waiting returns the tasks without a run.
func (s *step) waiting() []*task {
	var out []*task
	for _, t := range s.tasks {
		if !t.done && len(t.runs) == 0 {
			out = append(out, t)
		}
	}
	return out
}

// live returns how many runs of the step have not ended.
func (s *step) live() int {
	n := 0
	for _, t := range s.tasks {
		n += len(t.runs)
	}
	return n
}

// estimate is the expected run time of one task in milliseconds.
func (c *Core) estimate(j *egretmuxv1.Job, s *egretmuxv1.JobStep) float64 {
	return max(1, float64(s.GetEstimateMs())) * c.learned(j.GetHost(), j.GetPrefix())
}

// chains returns for each step the longest chain of work from its start to the
// end of the job, in milliseconds.
func (c *Core) chains(j *egretmuxv1.Job) []float64 {
	steps := j.GetSteps()
	out := make([]float64, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		out[i] += c.estimate(j, steps[i])
		for _, before := range steps[i].GetAfter() {
			out[before] = max(out[before], out[i])
		}
	}
	return out
}
