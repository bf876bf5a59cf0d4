package dispatch

import (
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// room is an amount of a worker's resources.
type room struct{ cpu, memory, accelerators int64 }

func roomOf(s *egretmuxv1.JobStep) room {
	r := room{s.GetCpuMillis(), s.GetMemoryMib(), s.GetAccelerators()}
	if s.GetFills() {
		r.cpu = 0
	}
	return r
}

func (r room) holds(o room) bool {
	return r.cpu >= o.cpu && r.memory >= o.memory && r.accelerators >= o.accelerators
}

func (r room) minus(o room) room {
	return room{r.cpu - o.cpu, r.memory - o.memory, r.accelerators - o.accelerators}
}

func (r room) plus(o room) room {
	return room{r.cpu + o.cpu, r.memory + o.memory, r.accelerators + o.accelerators}
}

// times returns how many of o fit into r, at most limit.
func (r room) times(o room, limit int) int {
	n := limit
	for _, pair := range [][2]int64{{r.cpu, o.cpu}, {r.memory, o.memory}, {r.accelerators, o.accelerators}} {
		if pair[1] > 0 {
			n = min(n, int(max(0, pair[0])/pair[1]))
		}
	}
	return n
}

// worker is one life of a worker as this leader knows it.
type worker struct {
	Target
	life     *egretmuxv1.WorkerLife
	size     room
	free     room
	reserved room  // of free, for gangs that wait for the rest of their room
	headroom int64 // of cpu, for urgent work
	rack     string

	fenced    bool // it has seen this leader's token, and its runs are known
	draining  bool
	cordoned  bool          // upkeep is about to begin: no new work, and what can be moved is
	leavesAt  time.Duration // when a draining worker may be gone
	answered  time.Duration // when it last answered a look
	missed    int           // looks in a row without an answer
	restUntil time.Duration // no starts before
	scored    float64       // for the step being placed; lower is better
	pace      float64       // its run times against the mean; 1 is average
	failures  float64       // recent failed runs, decaying with each success

	lease  lease
	cursor uint64 // ends up to here are durable
	noting uint64 // ends up to here are on their way to the log
	// withheld is the first end that must not be acknowledged; zero: none.
	withheld uint64
	runs     map[runKey]*run
	// foreign are listed runs of jobs that are not there any more, by when their
	// stop was last sent.
	foreign map[runKey]time.Duration

	fillPace   int           // percent at which tasks that fill may work
	fillPaceAt time.Duration // when it was last changed
}

type runKey struct {
	task   TaskKey
	number uint64
}

// Limits after which a worker gets no new work.
const (
	missedLimit = 0               // looks in a row that it did not answer
	unwellRest  = time.Second     // pause after it said that it is unhealthy
	failRest    = 4 * time.Second // pause after it has failed failLimit times
	failLimit   = 3.0             // failed runs in a row, weighted
)

// takes reports whether the worker may get new runs.
func (w *worker) takes(now time.Duration) bool {
	return w.fenced && !w.draining && !w.cordoned && len(w.foreign) == 0 && w.missed <= missedLimit && now >= w.restUntil
}

// onTrial reports whether the worker has to end a run well before it gets
// another: it failed what it got lately.
func (w *worker) onTrial() bool { return w.failures >= failLimit && len(w.runs) > 0 }

// usable is the room that is neither taken nor reserved.
func (w *worker) usable() room {
	if w.onTrial() {
		return room{}
	}
	return w.free.minus(w.reserved)
}

func (w *worker) hasLabel(label string) bool {
	for _, l := range w.life.GetLabels() {
		if l == label {
			return true
		}
	}
	return false
}

// runState is what is known of a run.
type runState int

const (
	ordered  runState = iota // the start is on its way
	running                  // the worker has it
	unsure                   // the start was not answered
	stopping                 // a stop is on its way
	ended                    // its end is listed and on its way to the log
)

// run is one run of a task on one worker.
type run struct {
	task   *task
	worker *worker
	number uint64
	state  runState
	room   room
	since  time.Duration // when it was started or adopted
	// provenAt is when the worker answered an order about the run. A listing
	// asked for later that lacks the run proves that it is not there.
	provenAt   time.Duration
	proven     bool
	listed     bool // a listing has held it
	stopSent   bool
	percent    float64
	movedAt    time.Duration // when percent last changed
	checkpoint string
	load       float64 // of a serving task: its tail in milliseconds
	paced      int     // percent last ordered
	pacing     bool    // an order is on its way
}
