package place

import (
	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/worker"
)

// host is a worker with what runs on it.
type host struct {
	record   *egretmuxv1.Worker
	capacity worker.Resources
	held     worker.Resources // by live attempts and by starts of the round in hand
	claimed  worker.Resources // kept for tasks that wait for a preempted attempt to stop
	live     map[uint64]*running
	starting int // attempts that the worker has not confirmed, those of the round in hand included

	reserved      *job  // the job that this worker is kept free for
	reservedUntil int64 // when that job is expected to start

	health health
	cell   int // place in the index; -1: not indexed
	pos    int
}

// free returns the room that new attempts may take.
func (h *host) free() worker.Resources { return h.capacity.Minus(h.held).Minus(h.claimed) }

// hasService reports whether a replica of a service runs on the host.
func (h *host) hasService() bool {
	for _, x := range h.live {
		if x.job.service() {
			return true
		}
	}
	return false
}

// takes returns why the host takes no attempts at all, or Fits.
func (h *host) takes() Reason {
	switch h.record.GetPhase() {
	case egretmuxv1.WorkerPhase_WORKER_PHASE_READY:
	case egretmuxv1.WorkerPhase_WORKER_PHASE_QUARANTINED:
		return Quarantined
	case egretmuxv1.WorkerPhase_WORKER_PHASE_DRAINING:
		return Draining
	default:
		return Lost
	}
	if h.starting >= maxStarting {
		return TooManyStarting
	}
	return Fits
}

// running is a live attempt.
type running struct {
	id       uint64
	job      *job
	member   int32
	host     *host
	held     worker.Resources
	phase    egretmuxv1.AttemptPhase
	placed   int64 // Unix milliseconds
	began    int64 // when the worker confirmed it; 0: not yet
	saved    int64 // run time in milliseconds saved before it began
	observed observed
}

// left estimates the run time in milliseconds until the attempt ends.
func (r *running) left(now int64, estimate int64) int64 {
	began := r.began
	if began == 0 {
		began = now
	}
	ran := r.saved + now - began
	if ran < estimate {
		return estimate - ran
	}
	// It has outrun the estimate: expect as much again as half of what it ran.
	return ran / 2
}
