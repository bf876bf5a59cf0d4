package jobs

import (
	"fmt"
	"time"
)

const checkpointPeriod = time.Second // of work between two checkpoints

// savedWork identifies a checkpoint of a task.
type savedWork struct {
	task  Task
	value string
}

// checkpoint produces the checkpoint that a run has reached, or the one of its stop. The caller holds r.mu.
func (r *Runner) checkpoint(t Task, taskRun *runningTask, now time.Time, stopped bool) {
	if !taskRun.saves {
		return
	}
	work := min(now.Sub(taskRun.began), taskRun.length)
	if !stopped {
		work = work.Truncate(checkpointPeriod)
	}
	if work <= 0 {
		return
	}
	taskRun.saved = fmt.Sprintf("%s/%d/%d", taskName(t), taskRun.number, (taskRun.before + work).Milliseconds())
	r.cfg.Ledger.recordCheckpoint(t, taskRun.saved, taskRun.before+work)
}

func (l *Ledger) recordCheckpoint(t Task, value string, work time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkpoints[savedWork{t, value}] = work
}

// resume returns the work up to a checkpoint that a start carries, and checks that it is the task's.
func (l *Ledger) resume(t Task, value, runner string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	work, saved := l.checkpoints[savedWork{t, value}]
	if !saved {
		l.addViolationLocked("UNASKED %v on %s: the checkpoint %q is not the task's", t, runner, value)
	}
	l.counts.Resumed++
	return work
}
