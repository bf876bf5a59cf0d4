package dispatch

import "time"

// Cordon prepares the workers of a machine for maintenance: they get no new runs, and
// their checkpointing and long-running runs are moved; when it is repeated, those that have
// begun since as well. A machine may have more than one:
// its former lives are known until they are retired. idle reports whether none of them
// has runs. allowed is false, and no worker is cordoned, if more tasks of a long-running
// step would be unavailable than the step allows.
func (c *Core) Cordon(machine string, now time.Duration) (idle, allowed bool) {
	var lives []*worker
	for _, w := range c.sortedWorkers() {
		if w.life.GetMachine() == machine {
			lives = append(lives, w)
		}
	}
	if !canSpareTasks(lives) {
		return false, false
	}
	idle = true
	for _, w := range lives {
		idle = idle && len(w.runs) == 0
		first := !w.cordoned
		if first {
			w.cordoned = true
			c.addNotice(Notice{Event: "worker_cordoned", Worker: w.Worker, Reason: "upkeep"})
		}
		for _, r := range w.sortedRuns() {
			s := r.task.step
			if r.state != running || !s.spec.GetCheckpoints() && !s.spec.GetLongRunning() {
				continue
			}
			if !first && s.limitsMissing() && s.unavailableTasks() >= int(s.spec.GetMayMiss()) {
				continue // it began after the cordon, which did not count it
			}
			c.moveRun(r, "upkeep", now)
		}
	}
	return idle, true
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

// canSpareTasks reports whether every long-running step with a limit on unavailable
// tasks stays within it without its tasks on the workers.
func canSpareTasks(workers []*worker) bool {
	removed := make(map[*step]int)
	for _, w := range workers {
		for _, r := range w.runs {
			if r.task.step.limitsMissing() && !w.cordoned {
				removed[r.task.step]++
			}
		}
	}
	for s, n := range removed {
		if s.unavailableTasks()+n > int(s.spec.GetMayMiss()) {
			return false
		}
	}
	return true
}

// limitsMissing reports whether only so many tasks of a long-running step may be missing at a time.
func (s *step) limitsMissing() bool { return s.spec.GetLongRunning() && s.spec.GetMayMiss() > 0 }

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
