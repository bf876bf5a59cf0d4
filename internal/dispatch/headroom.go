package dispatch

import (
	"math"
	"time"
)

// Room kept for work of the first priority, so that it need not wait for
// others to end.
const (
	headroomPart  = 0.5             // of what that work has used lately
	headroomLimit = 0.1             // of a worker's cpu
	urgentMemory  = 5 * time.Second // time constant of what was used lately; bursts last about as long
)

// urgentUse is the cpu that work of the first priority uses, averaged over time.
type urgentUse struct {
	cpu float64
	at  time.Duration
	// perWorker is the room kept on each worker.
	perWorker int64
}

// measureUrgent brings the average up to date.
func (c *Core) measureUrgent(now time.Duration) {
	passed := now - c.urgent.at
	if passed < tickOfUse {
		return
	}
	used := int64(0)
	for _, s := range c.steps {
		if c.queue(s.job).GetPriority() == 0 && !s.spec.GetLongRunning() {
			used += int64(s.live()) * s.room.cpu
		}
	}
	weight := 1 - math.Exp(-passed.Seconds()/urgentMemory.Seconds())
	c.urgent.cpu += weight * (float64(used) - c.urgent.cpu)
	c.urgent.at = now
	total := int64(0)
	for _, w := range c.workers {
		total += w.size.cpu
	}
	if n := float64(len(c.workers)); n > 0 {
		c.urgent.perWorker = int64(min(headroomPart*c.urgent.cpu/n, headroomLimit*float64(total)/n))
	}
}

// tickOfUse is the least time between two measurements.
const tickOfUse = 200 * time.Millisecond

// headroom returns the cpu of each worker that a step leaves alone.
func (c *Core) headroom(s *step) int64 {
	if c.queue(s.job).GetPriority() == 0 {
		return 0
	}
	return c.urgent.perWorker
}
