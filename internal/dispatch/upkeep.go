package dispatch

import "time"

// Cordon keeps new work from the worker of a machine and moves away what can go
// on elsewhere, so that the machine can be taken for upkeep. It returns whether
// the machine may be taken: nothing runs on it whose end would leave too many
// tasks of its step away.
func (c *Core) Cordon(machine string, now time.Duration) (t Target, present, allowed bool) {
	for _, w := range c.sortedWorkers() {
		if w.life.GetMachine() != machine {
			continue
		}
		if !c.mayTake(w) {
			return w.Target, true, false
		}
		if !w.cordoned {
			w.cordoned = true
			c.notice(Notice{Event: "worker_cordoned", Worker: w.Worker, Reason: "upkeep"})
			for _, r := range w.sortedRuns() {
				spec := r.task.step.spec
				if r.state == running && (spec.GetCheckpoints() || spec.GetLongRunning()) {
					c.move(r, "upkeep", now)
				}
			}
		}
		return w.Target, true, true
	}
	return Target{}, false, true
}

// Uncordon gives a worker new work again.
func (c *Core) Uncordon(t Target) {
	if w := c.workers[t.Worker]; w != nil && w.Born == t.Born {
		w.cordoned = false
	}
}

// Idle reports whether nothing is present on a worker.
func (c *Core) Idle(t Target) bool {
	w := c.workers[t.Worker]
	return w == nil || w.Born != t.Born || len(w.runs) == 0
}

// mayTake reports whether every serving step with a limit can spare its tasks
// on the worker.
func (c *Core) mayTake(w *worker) bool {
	taken := make(map[*step]int)
	for _, r := range w.runs {
		if spec := r.task.step.spec; spec.GetLongRunning() && spec.GetMayMiss() > 0 && !w.cordoned {
			taken[r.task.step]++
		}
	}
	for s, n := range taken {
		if s.away()+n > int(s.spec.GetMayMiss()) {
			return false
		}
	}
	return true
}

// away counts the tasks of a serving step that are not fully at work.
func (s *step) away() int {
	n := 0
	for _, t := range s.tasks {
		atWork := false
		for _, r := range t.runs {
			atWork = atWork || (r.state == running && r.percent >= fullPace)
		}
		if !atWork {
			n++
		}
	}
	return n
}
