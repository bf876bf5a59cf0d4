package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

// newCellWithASlowWorker returns a cell that has known its workers for some seconds, in which
// one worker has just turned slow, after it got a share of a speculative step.
func newCellWithASlowWorker(t *testing.T, speculative bool) (c *unevenCell, slow *unevenWorker, job string) {
	batch := batchQueue()
	c = newUnevenCell(t, 1, batch)
	c.add("a", 20, 1)
	c.play(4*time.Second, c.every(100*time.Millisecond, func() { c.send(batch, 6, 3, time.Second, 0.2) }))
	c.play(6*time.Second, nil)
	job = id(900)
	step := tasks(30, 2)
	step.EstimateMs, step.Speculative = 2000, speculative
	for range step.GetCount() {
		c.work[dispatch.StepKey{Job: job}] = append(c.work[dispatch.StepKey{Job: job}], 2*time.Second)
	}
	c.submitTo("/batch/", job, step)
	c.play(100*time.Millisecond, nil)
	for _, w := range c.workers {
		if len(w.runs) > 0 {
			slow = w
		}
	}
	slow.slowFrom, slow.slowUntil = c.now, c.now+20*time.Second
	return c, slow, job
}

// Load: a worker turns slow under some runs of a speculative step, and there is room.
func TestRunsOfASlowWorkerAreCopied(t *testing.T) {
	c, slow, job := newCellWithASlowWorker(t, true)
	runs := len(slow.runs)
	c.play(4500*time.Millisecond, nil)
	require.Equal(t, runs, countNotices(c.harness, "run_copied", job))
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_COMPLETED, c.phase(job), "before the slow runs would have ended")
	for _, s := range c.stops {
		require.Equal(t, slow.Worker, s.Worker, "the run that loses is stopped")
	}
	require.Len(t, c.stops, runs)
}

func TestOnlySpeculativeStepsAreCopied(t *testing.T) {
	c, _, job := newCellWithASlowWorker(t, false)
	c.play(4*time.Second, nil)
	require.Zero(t, countNotices(c.harness, "run_copied", job))
}

// Load: the pool is full and others wait for its room.
func TestCopiesTakeNoRoomThatAStepWaitsFor(t *testing.T) {
	c, _, job := newCellWithASlowWorker(t, true)
	c.send(batchQueue(), 200, 3, 10*time.Second, 0)
	c.play(4*time.Second, nil)
	require.Zero(t, countNotices(c.harness, "run_copied", job))
}

// Load: all tasks of a step take four times as long as estimated, on all workers.
func TestWrongEstimateIsNotTakenForAStraggler(t *testing.T) {
	batch := batchQueue()
	c := newUnevenCell(t, 1, batch)
	c.add("a", 20, 1)
	c.play(4*time.Second, c.every(100*time.Millisecond, func() { c.send(batch, 6, 3, time.Second, 0.2) }))
	job := id(900)
	step := tasks(30, 2)
	step.EstimateMs, step.Speculative = 500, true
	for range step.GetCount() {
		c.work[dispatch.StepKey{Job: job}] = append(c.work[dispatch.StepKey{Job: job}], 4*time.Second)
	}
	c.submitTo("/batch/", job, step)
	c.play(8*time.Second, nil)
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_COMPLETED, c.phase(job))
	require.Zero(t, countNotices(c.harness, "run_copied", job))
	require.Zero(t, countNotices(c.harness, "worker_slow", ""))
}

// A leader is lost while a task has two runs. The next one knows the copy from the book, and
// learns of the other run from its worker, which has ended it as done by then.
func TestNewLeaderTakesTheEndOfARunOrOfItsCopy(t *testing.T) {
	c, slow, job := newCellWithASlowWorker(t, true)
	for countNotices(c.harness, "run_copied", job) < len(slow.runs) && c.now < 20*time.Second {
		c.play(unevenTick, nil)
	}
	require.Equal(t, len(slow.runs), countNotices(c.harness, "run_copied", job))
	c.beginTenure()
	for _, w := range c.workers {
		w.listedAt = 0
	}
	slow.slowFrom, slow.slowUntil = 0, 0
	for _, r := range slow.runs {
		r.done = r.work
	}
	for _, w := range c.workers {
		for _, r := range w.runs {
			if r.Run > 1 {
				r.done = 0 // the copies end last
			}
		}
	}
	c.play(1500*time.Millisecond, nil)
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_COMPLETED, c.phase(job))
}
