package dispatch

import (
	"math"
	"time"
)

// Room kept for work of the first priority, so that it need not wait for others
// to end. It is kept in large pieces on a few workers: spread evenly, no piece
// would hold a task.
const (
	headroomPart  = 0.15            // of what that work has used lately: its usual swing
	headroomPiece = 0.5             // of one worker's cpu
	headroomMost  = 0.5             // of the workers
	urgentMemory  = 5 * time.Second // time constant of what was used lately; bursts last about as long
	urgentPeriod  = 200 * time.Millisecond
)

// urgentUse is the cpu that work of the first priority uses, averaged over time.
type urgentUse struct {
	cpu float64
	at  time.Duration
}

// measureUrgent brings the average up to date and chooses the workers on which
// room is kept.
func (c *Core) measureUrgent(now time.Duration) {
	passed := now - c.urgent.at
	if passed < urgentPeriod {
		return
	}
	used, waiting := int64(0), int64(0)
	for _, s := range c.steps {
		if c.queue(s.job).GetPriority() == 0 && !s.spec.GetLongRunning() {
			used += int64(s.live()) * s.room.cpu
			waiting += int64(len(s.waiting())) * s.room.cpu
		}
	}
	weight := 1 - math.Exp(-passed.Seconds()/urgentMemory.Seconds())
	c.urgent.cpu += weight * (float64(used) - c.urgent.cpu)
	c.urgent.at = now
	wanted := headroomPart*c.urgent.cpu + float64(waiting)
	most := int(headroomMost * float64(len(c.workers)))
	for i, w := range c.sortedWorkers() {
		w.headroom = 0
		if i < most && wanted > 0 {
			w.headroom = int64(headroomPiece * float64(w.size.cpu))
			wanted -= float64(w.headroom)
		}
	}
}

// leaves returns the cpu of a worker that a step leaves alone. A task too large
// for the rest may have it.
func (s *step) leaves(w *worker) int64 {
	if s.urgent || s.room.cpu+w.headroom > w.size.cpu {
		return 0
	}
	return w.headroom
}
