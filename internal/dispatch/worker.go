package dispatch

import (
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/speed"
)

// resources is an amount of cpu, memory and accelerators.
type resources struct{ cpu, memory, accelerators int64 }

// demandOf returns what one task of a step reserves. A filler reserves no cpu: it
// uses what the other tasks leave.
func demandOf(s *egretmuxv1.JobStep) resources {
	r := resources{s.GetCpuMillis(), s.GetMemoryMib(), s.GetAccelerators()}
	if s.GetFills() {
		r.cpu = 0
	}
	return r
}

func (r resources) covers(other resources) bool {
	return r.cpu >= other.cpu && r.memory >= other.memory && r.accelerators >= other.accelerators
}

func (r resources) minus(other resources) resources {
	return resources{r.cpu - other.cpu, r.memory - other.memory, r.accelerators - other.accelerators}
}

func (r resources) plus(other resources) resources {
	return resources{r.cpu + other.cpu, r.memory + other.memory, r.accelerators + other.accelerators}
}

func (r resources) times(n int) resources {
	return resources{r.cpu * int64(n), r.memory * int64(n), r.accelerators * int64(n)}
}

// fitCount returns how many times demand fits into r, at most limit.
func (r resources) fitCount(demand resources, limit int) int {
	count := limit
	for _, pair := range [][2]int64{{r.cpu, demand.cpu}, {r.memory, demand.memory}, {r.accelerators, demand.accelerators}} {
		if pair[1] > 0 {
			count = min(count, int(max(0, pair[0])/pair[1]))
		}
	}
	return count
}

// worker is the state of one incarnation of a worker as this leader knows it.
type worker struct {
	Target
	life     *egretmuxv1.WorkerLife
	capacity resources
	free     resources
	lasting  resources // in use by runs that last until their job is cancelled
	reserved resources // held back for waiting gangs; may be more than free, as other runs may still use it
	headroom int64     // cpu that is kept free for urgent steps
	rack     string

	synced         bool // whether it has seen this leader's fencing token and listed its runs
	draining       bool
	cordoned       bool          // its machine is about to be maintained: it gets no new runs
	drainDeadline  time.Duration // earliest time at which a draining worker may be gone
	reportSequence uint64        // of its newest heartbeat that reached this leader
	answeredAt     time.Duration // when it last answered a poll
	heardAt        time.Duration // when it last answered a poll or accepted a start
	missedPolls    int           // consecutive polls without an answer
	givenUpAt      time.Duration // when its runs were last given up, as its lease had expired
	backoffUntil   time.Duration // it gets no starts before
	restUntil      time.Duration // the same, as its runs have failed
	stepScore      float64       // score for the step being placed; lower is better
	stepRank       int           // rank for the step being placed, as its callers sort by it
	speed          *speed.Worker // what its runs have taught about its speed
	slowness       float64       // of speed, as of the last tick, listing or end; 1 is average
	speedClass     int           // of slowness; higher is slower
	failures       []failures    // since the last successful run, by step
	probation      probation     // of a failing worker

	retiring      bool // the end of its life is being stored
	left          bool // it has announced its end
	over          bool // that was certainly this life
	lease         lease
	storedCursor  uint64 // ends up to this number are stored in the log
	storingCursor uint64 // ends up to this number are stored or being stored
	endBatches    []endBatchState
	withheld      []uint64 // numbers of listed ends that must not be acknowledged, lowest first
	lapse         lapse    // while there are any
	runs          map[runKey]*run
	isolated      *run          // run of a suspect; while it is set, only starved steps get other runs here
	keptFor       *task         // suspect that starts here next; while it is set, the same
	keptSince     time.Duration // when keptFor was last changed
	// lapsedRuns are the runs that were given up when the lease expired. They were lost in a
	// crash if the worker never answers again.
	lapsedRuns []*egretmuxv1.CrashedRun
	// orphans are listed runs whose step is not open any more, with the time at
	// which their stop was last sent.
	orphans   map[runKey]time.Duration
	leftovers map[runKey]leftover // runs without an open task that count for their customer

	fillerPace          int           // percent of full speed at which fillers may work
	fillerPaceChangedAt time.Duration // when fillerPace last changed
}

// endBatchState is the state of a batch of ends that was to be stored, or whose
// predecessor is not stored yet.
type endBatchState struct {
	cursor uint64 // number of the last end
	stored bool
}

// markEndsStored records that a batch of ends is stored. Batches are stored
// independently, but a number acknowledges all ends up to it: storedCursor stays before
// the first batch that is not stored.
func (w *worker) markEndsStored(cursor uint64) {
	for i := range w.endBatches {
		if w.endBatches[i].cursor == cursor {
			w.endBatches[i].stored = true
		}
	}
	for len(w.endBatches) > 0 && w.endBatches[0].stored {
		w.storedCursor = w.endBatches[0].cursor
		w.endBatches = w.endBatches[1:]
	}
}

type runKey struct {
	task   TaskKey
	number uint64
}

// Limits beyond which a worker gets no new runs, and for how long.
const (
	maxMissedPolls   = 0               // consecutive polls without an answer that are tolerated
	unhealthyBackoff = time.Second     // backoff after a start that did not reach it, got no answer or was refused as unhealthy
	failureBackoff   = 4 * time.Second // backoff after maxFailures failed runs or a run without progress
	maxFailures      = 3               // failed runs without a successful one in between
)

// acceptsRuns reports whether the worker may get new runs of any step.
func (w *worker) acceptsRuns(now time.Duration) bool {
	return w.acceptsOrders(now) && !w.keptForSuspect() && now >= w.restUntil
}

// acceptsOrders reports whether the worker may get new runs if it neither rests nor is kept for a suspect.
func (w *worker) acceptsOrders(now time.Duration) bool {
	return w.usable() && len(w.orphans) == 0 && now >= w.backoffUntil
}

// usable reports whether the worker can be reached and is to be used.
func (w *worker) usable() bool {
	return w.synced && w.lease.anchor.known && !w.retiring && !w.draining && !w.cordoned && w.missedPolls <= maxMissedPolls
}

// closed reports whether a worker gets no further runs for now, whatever it has free, but of starved steps.
func (w *worker) closed() bool { return w.outOfProbes() || w.keptForSuspect() }

// outOfProbes reports whether a failing worker gets no further runs for now.
func (w *worker) outOfProbes() bool { return w.failing() && w.probation.left <= 0 }

// available returns the resources that are neither in use nor reserved.
func (w *worker) available() resources {
	if w.closed() {
		return resources{}
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

// runState is what the leader knows about a run.
type runState int

const (
	ordered   runState = iota // the start is being stored or sent
	running                   // the worker has accepted or listed it
	uncertain                 // the start was not answered, or an earlier leader stored it
	stopping                  // a stop is being sent or waits for the end to be listed
	ended                     // its end is listed and being stored in the log
)

// run is one run of a task on one worker.
type run struct {
	task      *task
	worker    *worker
	number    uint64
	state     runState
	demand    resources
	startedAt time.Duration // when it was ordered, accepted or adopted
	inherited bool          // whether an earlier leader started it, so that startedAt is when this one learned of it
	timed     bool          // whether it does all its work after startedAt: this leader started it, without a checkpoint
	// absenceProvable is set when the worker answers an order about the run or lists it,
	// and for runs adopted from the log; it is cleared when a stop is ordered. While it
	// is set, a complete listing that lacks the run proves that it is not on the worker,
	// if it was requested after absenceProvableAfter (-1: any listing).
	absenceProvableAfter time.Duration
	absenceProvable      bool
	everListed           bool // whether a listing has held it
	stopSent             bool
	unsure               bool          // whether its start got no answer, and a listing has to show whether it has begun
	unsureSince          time.Duration // since when
	progressPercent      float64       // last listed progress; 100 for a long-running task that is available
	progressAt           time.Duration // when progressPercent last changed
	checkpoint           string
	tailLatencyMs        float64 // last listed tail latency of a serving task
	confirmedPace        int     // percent of full speed that the worker last confirmed
	paceInFlight         bool    // a pace order is being sent
	overRate             bool    // whether its step came after those within rate when it was added
	probe                bool    // whether it was started to probe a failing worker
	// superseding are the runs that its start names as superseded, until the start is stored.
	superseding []*egretmuxv1.SupersededRun
	progress    progress
}
