package dispatch

import "time"

// Tasks that fill use what others leave, and slow down the serving tasks beside
// them. How much differs by image and from second to second, so they are paced
// by what the serving tasks' tails say.
const (
	fullPace    = 100
	paceStep    = 20                      // percent, back up
	paceUpPause = 1500 * time.Millisecond // a tail is measured over half a second, and listed at least every second
	tailHigh    = 0.85                    // of the target: tasks that fill work half as fast
	tailLow     = 0.6                     // of the target: they may work faster
)

// pace sets the speed of the tasks that fill on one worker.
func (c *Core) pace(w *worker, now time.Duration) {
	worst := 0.0
	var fillers []*run
	for _, r := range w.runs {
		spec := r.task.step.spec
		switch {
		case r.state != running:
		case spec.GetFills():
			fillers = append(fillers, r)
		case spec.GetTargetMs() > 0:
			worst = max(worst, r.load/float64(spec.GetTargetMs()))
		}
	}
	if len(fillers) == 0 {
		w.fillPace = fullPace
		return
	}
	before := w.fillPace
	switch {
	case worst > 1:
		w.fillPace = 0
	case worst > tailHigh:
		w.fillPace /= 2
	case worst < tailLow && now-w.fillPaceAt >= paceUpPause:
		w.fillPace = min(fullPace, w.fillPace+paceStep)
	}
	if w.fillPace != before {
		w.fillPaceAt = now
	}
	sortRuns(fillers)
	for _, r := range fillers {
		c.orderPace(r)
	}
}

func (c *Core) orderPace(r *run) {
	w := r.worker
	if r.pacing || r.paced == w.fillPace {
		return
	}
	r.pacing = true
	c.out.Paces = append(c.out.Paces, Pace{Target: w.Target, Task: r.task.key(), Run: r.number, Percent: w.fillPace})
	c.notice(Notice{Event: "run_paced", Job: r.task.step.key.Job, Task: r.task.key().String(), Worker: w.Worker, Run: r.number})
}

// PaceAnswered takes up whether a worker answered an order about speed.
func (c *Core) PaceAnswered(p Pace, answered bool) {
	r := c.find(p.Target, p.Task, p.Run)
	if r == nil {
		return
	}
	r.pacing = false
	if answered {
		r.paced = p.Percent
	}
}

// NeedsFrequentPolls reports whether a worker has serving tasks beside others that fill,
// so that it has to be looked at often.
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
