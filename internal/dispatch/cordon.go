package dispatch

import "time"

// Cordon prepares the worker of a machine for maintenance: the worker gets no new
// runs, and its checkpointing and long-running runs are moved. present is false if
// the machine has no worker. allowed is false, and the worker is not cordoned, if
// more tasks of a long-running step would be unavailable than the step allows.
func (c *Core) Cordon(machine string, now time.Duration) (t Target, present, allowed bool) {
	for _, w := range c.sortedWorkers() {
		if w.life.GetMachine() != machine {
			continue
		}
		if !c.canSpareTasks(w) {
			return w.Target, true, false
		}
		if !w.cordoned {
			w.cordoned = true
			c.addNotice(Notice{Event: "worker_cordoned", Worker: w.Worker, Reason: "upkeep"})
			for _, r := range w.sortedRuns() {
				spec := r.task.step.spec
				if r.state == running && (spec.GetCheckpoints() || spec.GetLongRunning()) {
					c.moveRun(r, "upkeep", now)
				}
			}
		}
		return w.Target, true, true
	}
	return Target{}, false, true
}

// Uncordon lets the workers of a machine get new runs again.
func (c *Core) Uncordon(machine, reason string) {
	for _, w := range c.sortedWorkers() {
		if w.life.GetMachine() == machine && w.cordoned {
			w.cordoned = false
			c.addNotice(Notice{Event: "worker_uncordoned", Worker: w.Worker, Reason: reason})
		}
	}
}

// Idle reports whether a worker has no runs, or is not known any more.
func (c *Core) Idle(t Target) bool {
	w := c.workers[t.Worker]
	return w == nil || w.Born != t.Born || len(w.runs) == 0
}

// canSpareTasks reports whether every long-running step with a limit on unavailable
// tasks stays within it without its tasks on the worker.
func (c *Core) canSpareTasks(w *worker) bool {
	removed := make(map[*step]int)
	for _, r := range w.runs {
		if spec := r.task.step.spec; spec.GetLongRunning() && spec.GetMayMiss() > 0 && !w.cordoned {
			removed[r.task.step]++
		}
	}
	for s, n := range removed {
		if s.unavailableTasks()+n > int(s.spec.GetMayMiss()) {
			return false
		}
	}
	return true
}

// unavailableTasks counts the tasks of a long-running step that are not available. A
// task is available while one of its runs is running and lists 100 percent progress.
func (s *step) unavailableTasks() int {
	n := 0
	for _, t := range s.tasks {
		available := false
		for _, r := range t.runs {
			available = available || (r.state == running && r.progressPercent >= fullPace)
		}
		if !available {
			n++
		}
	}
	return n
}
