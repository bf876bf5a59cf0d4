package dispatch

import "time"

// Fillers are tasks that use the cpu that other tasks leave unused. They slow down
// the serving tasks on the same worker, by an amount that depends on the image and
// changes from second to second. So their pace follows the tail latency of the
// serving tasks, as a part of its target.
const (
	fullPace       = 100                     // percent
	paceStep       = 20                      // percent by which the pace is raised
	paceUpInterval = 1500 * time.Millisecond // a tail latency is measured over half a second and listed at least every second
	tailHigh       = 0.85                    // part of the target above which the pace is halved
	tailLow        = 0.6                     // part of the target below which the pace is raised
)

// paceFillers sets the pace of the fillers on a worker.
func (c *Core) paceFillers(w *worker, now time.Duration) {
	worstTail := 0.0
	var fillers []*run
	for _, r := range w.runs {
		spec := r.task.step.spec
		switch {
		case r.state != running:
		case spec.GetFills():
			fillers = append(fillers, r)
		case spec.GetTargetMs() > 0:
			worstTail = max(worstTail, r.tailMs/float64(spec.GetTargetMs()))
		}
	}
	if len(fillers) == 0 {
		w.fillerPercent = fullPace
		return
	}
	previous := w.fillerPercent
	switch {
	case worstTail > 1:
		w.fillerPercent = 0
	case worstTail > tailHigh:
		w.fillerPercent /= 2
	case worstTail < tailLow && now-w.fillerPercentAt >= paceUpInterval:
		w.fillerPercent = min(fullPace, w.fillerPercent+paceStep)
	}
	if w.fillerPercent != previous {
		w.fillerPercentAt = now
	}
	sortRuns(fillers)
	for _, r := range fillers {
		c.orderPace(r)
	}
}

func (c *Core) orderPace(r *run) {
	w := r.worker
	if r.paceInFlight || r.pacePercent == w.fillerPercent {
		return
	}
	r.paceInFlight = true
	c.actions.Paces = append(c.actions.Paces, PaceOrder{Target: w.Target, Task: r.task.key(), Run: r.number, Percent: w.fillerPercent})
	c.addNotice(Notice{Event: "run_paced", Job: r.task.step.key.Job, Task: r.task.key().String(), Worker: w.Worker, Run: r.number})
}

// PaceAnswered records whether a worker answered a pace order.
func (c *Core) PaceAnswered(p PaceOrder, answered bool) {
	r := c.findRun(p.Target, p.Task, p.Run)
	if r == nil {
		return
	}
	r.paceInFlight = false
	if answered {
		r.pacePercent = p.Percent
	}
}

// NeedsFrequentPolls reports whether a worker has both serving tasks and fillers, so
// that tail latencies have to be read often.
func (c *Core) NeedsFrequentPolls(t Target) bool {
	w := c.workers[t.Worker]
	if w == nil || w.Born != t.Born {
		return false
	}
	serves, fills := false, false
	for _, r := range w.runs {
		serves = serves || r.task.step.spec.GetTargetMs() > 0
		fills = fills || r.task.step.spec.GetFills()
	}
	return serves && fills
}
