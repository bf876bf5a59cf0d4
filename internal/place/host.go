package place

import (
	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/worker"
)

// host is a worker with its live attempts and its free room.
type host struct {
	record   *egretmuxv1.Worker
	capacity worker.Resources
	held     worker.Resources // by live attempts, and by placements of the current round
	claimed  worker.Resources // kept for jobs that wait for preempted attempts to stop
	live     map[uint64]*attempt
	starting int // attempts not yet confirmed by the worker, with placements of the current round

	reserved      *job  // the job that this host is reserved for
	reservedUntil int64 // expected start of that job

	health    health
	indexRank int // rank of its index bucket; -1: not indexed
	bucketPos int // position in that bucket
}

// free returns the room that new attempts may take.
func (h *host) free() worker.Resources { return h.capacity.Minus(h.held).Minus(h.claimed) }

// hasService reports whether a replica of a service runs on the host.
func (h *host) hasService() bool {
	for _, a := range h.live {
		if a.job.isService() {
			return true
		}
	}
	return false
}

// availability returns the reason why the host takes no attempts at all, or Fits.
func (h *host) availability() Reason {
	switch h.record.GetPhase() {
	case egretmuxv1.WorkerPhase_WORKER_PHASE_READY:
	case egretmuxv1.WorkerPhase_WORKER_PHASE_QUARANTINED:
		return Quarantined
	case egretmuxv1.WorkerPhase_WORKER_PHASE_DRAINING:
		return Draining
	default:
		return Lost
	}
	if h.starting >= maxStartingPerWorker {
		return TooManyStarting
	}
	return Accepts
}

// attempt is a live attempt of a task's member.
type attempt struct {
	id          uint64
	job         *job
	member      int32
	host        *host
	held        worker.Resources
	phase       egretmuxv1.AttemptPhase
	placedAt    int64 // Unix milliseconds
	confirmedAt int64 // when the worker confirmed the start; 0: not yet
	savedMs     int64 // run time covered by the checkpoint that it resumed from
	usage       observedUsage
}

// remaining estimates the milliseconds until the attempt ends.
func (a *attempt) remaining(now int64, estimateMs int64) int64 {
	startedAt := a.confirmedAt
	if startedAt == 0 {
		startedAt = now
	}
	ranMs := a.savedMs + now - startedAt
	if ranMs < estimateMs {
		return estimateMs - ranMs
	}
	// It has exceeded the estimate: expect half of its run time so far.
	return ranMs / 2
}
