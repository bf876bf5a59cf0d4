package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Headroom is cpu kept free for urgent steps (those of queues with priority 0), so that
// these need not wait for other runs to end. It is kept in large pieces on a few
// workers: spread evenly, no piece would hold a task.
const (
	headroomShare        = 0.20            // headroom as a fraction of the average urgent usage, which usually varies by that much
	headroomPerWorker    = 0.5             // headroom of a worker as a fraction of its cpu
	maxHeadroomShare     = 0.5             // largest fraction of the workers that keep headroom
	urgentTimeConstant   = 5 * time.Second // time constant of the average urgent usage; bursts last about as long
	urgentSampleInterval = 200 * time.Millisecond
)

// urgentUsage is the exponential moving average of the cpu that urgent steps use,
// long-running ones left out.
type urgentUsage struct {
	cpu       float64
	updatedAt time.Duration
}

// updateHeadroom updates the average urgent usage and chooses the workers that keep
// headroom, fast ones first.
func (c *Core) updateHeadroom(now time.Duration) {
	elapsed := now - c.urgentUsage.updatedAt
	if elapsed < urgentSampleInterval {
		return
	}
	used, waiting := int64(0), int64(0)
	for _, s := range c.steps {
		q := c.queue(s.job)
		if q.GetPriority() != 0 || s.spec.GetLongRunning() || s.job.overRate() {
			continue
		}
		used += int64(s.runCount()) * s.demand.cpu
		if n := s.unheldCount(); n > 0 && c.isPlaceable(s, q.GetService(), now) {
			waiting += int64(n) * s.demand.cpu
		}
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/urgentTimeConstant.Seconds())
	c.urgentUsage.cpu += weight * (float64(used) - c.urgentUsage.cpu)
	c.urgentUsage.updatedAt = now
	wanted := headroomShare*c.urgentUsage.cpu + float64(waiting)
	maxWorkers := int(maxHeadroomShare * float64(len(c.workers)))
	workers := c.sortedWorkers()
	slices.SortStableFunc(workers, func(a, b *worker) int { return cmp.Compare(a.speedClass, b.speedClass) })
	for i, w := range workers {
		w.headroom = 0
		if i < maxWorkers && wanted >= 1 { // the average never falls to zero
			w.headroom = int64(headroomPerWorker * float64(w.capacity.cpu))
			wanted -= float64(w.headroom)
		}
	}
}

// requiredHeadroom returns the cpu of a worker that a step must leave free. It is
// zero for urgent and starved steps, and for tasks that would not fit beside the headroom even
// on an idle worker.
func (s *step) requiredHeadroom(w *worker) int64 {
	if s.urgent || s.starved || s.demand.cpu+w.headroom > w.capacity.cpu {
		return 0
	}
	return w.headroom
}
