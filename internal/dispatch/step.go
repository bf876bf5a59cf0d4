package dispatch

import (
	"slices"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// job is the state of a job that has not ended.
type job struct {
	id         string
	spec       *egretmuxv1.Job
	customer   *customer         // nil if it came without a credential
	acceptedAt time.Duration     // negative if before this tenure
	steps      map[StepKey]*step // open ones
	openTasks  int               // tasks of open steps
	nextDue    uint32            // lowest occurrence that is not due yet
	promoted   bool              // whether it counts as within its customer's rate although it was submitted beyond
}

// task is one task of an open step.
type task struct {
	step       *step
	index      uint32
	done       bool
	runs       []*run
	highestRun uint64 // highest run number that is stored, ordered or listed

	crashes        uint32 // workers that crashed under a run of it
	startupCrashes uint32 // those of them that crashed during its startup
	stuckMoves     int    // how often a run of it was moved as it made no progress
	// unheard are the runs that were given up as their worker's lease had expired, or taken for absent,
	// until their end is listed after all or the task is started again.
	unheard   []*egretmuxv1.SupersededRun
	heldUntil time.Duration // while it is set, an unheard run may go on under its lease
	kept      *worker       // worker that is kept for it until no other run is starting there
}

func (t *task) key() TaskKey { return TaskKey{t.step.key, t.index} }

func (t *task) removeRun(r *run) {
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			return
		}
	}
}

// step is an open step: all its predecessors are done.
type step struct {
	key       StepKey
	job       *job
	spec      *egretmuxv1.JobStep
	demand    resources
	usage     resources // of one task, counted towards the customer's quota
	tasks     []*task
	tasksLeft int           // number of tasks that are not done
	dueAt     time.Duration // when the job was accepted or the occurrence was due
	openedAt  time.Duration // when its predecessors were done
	idle      bool          // whether tasks wait that last, or nothing of it runs in a mostly free pool
	idleSince time.Duration
	starved   bool // whether it takes room that is kept for others
	mayShare  bool // whether it may use workers that are kept for suspects
	mayProbe  bool // whether it may probe workers that rest
	mayRetry  bool // whether also those on which it has failed
	// isolationDelayed is set while suspects of it wait although workers with room may run them.
	isolationDelayed      bool
	isolationDelayedSince time.Duration
	blockedBy             refusal       // why it still waits although it is starved, as of blockedAt
	blockedAt             time.Duration // zero until that is known
	starvedAt             time.Duration // when it became starved
	latestStart           time.Duration // latest start that still meets the objective
	estimatedAt           time.Duration // when latestStart was computed
	lateness              int           // onTime, late or expired
	expectedRun           time.Duration // run time of one task on an average worker, as of estimatedAt
	// slownessLimit is the slowness of a worker up to which a start in the present plan meets
	// the objective.
	slownessLimit float64
	// objective is the latency objective of the job, counted from dueAt. A job that ends
	// later is worth less, and after expiryFactor times the objective nothing.
	objective       time.Duration
	advice          advice
	held            map[*worker]int // number of tasks for which resources are held while tickets are requested
	runsOn          map[*worker]int // number of runs by worker
	failedOn        workerSet       // workers on which a run has failed or made no progress
	succeeded       bool            // whether a run was done
	failsEverywhere bool            // whether its failures tell nothing about workers
	deferred        bool            // whether it has left room to gangs
	urgent          bool            // whether its queue has priority 0, the highest, and it is within its customer's rate
	overRate        bool            // whether it comes after the steps within rate
	// beyondShare is set if it can wait, its pool is full and its customer holds more than its part.
	beyondShare bool
	placement   placement
	reserving   roomTurn   // while it is a gang for which room is claimed or reserved
	holding     roomTurn   // while it is a gang for which room is held until its tickets have come
	claim       int        // tasks for which it claims its customer's quota in a plan
	quotaHold   *quotaHold // set while its customer's quota holds tasks back
	siblings    siblings
}

func (t *task) waits() bool { return !t.done && len(t.runs) == 0 && t.heldUntil == 0 }

// waitingTasks returns the tasks without a run.
func (s *step) waitingTasks() []*task {
	var out []*task
	for _, t := range s.tasks {
		if t.waits() {
			out = append(out, t)
		}
	}
	return out
}

// waitingCount returns the number of tasks without a run.
func (s *step) waitingCount() int {
	n := 0
	for _, t := range s.tasks {
		if t.waits() {
			n++
		}
	}
	return n
}

// waits reports whether there is a task without a run.
func (s *step) waits() bool { return slices.ContainsFunc(s.tasks, (*task).waits) }

// runCount returns how many runs of the step are ordered, on a worker, or ended without
// their end being stored yet.
func (s *step) runCount() int {
	n := 0
	for _, t := range s.tasks {
		n += len(t.runs)
		if t.heldUntil > 0 {
			n++
		}
	}
	return n
}
