package dispatch

import (
	"cmp"
	"slices"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	jobs "github.com/egretmux/egretmux/internal/job"
)

// Crashes of workers. A task may crash each worker that starts it. Such a crash lists no
// end, and takes along all other runs of the worker. So the runs that were lost are stored
// with the end of the worker's life, and a task under which a worker crashed during its
// startup is a suspect: its next run starts on a worker on which no other run is starting,
// and which gets no other runs until the startup is over. If that worker crashes as well,
// the task is the cause.

// startupPeriod is the time after which a run that its worker lists did not crash it by
// being started.
const startupPeriod = 500 * time.Millisecond

// startingPenalty is the score, for a suspect, of each run that is starting on a worker:
// the suspect would have to wait for it.
const startingPenalty = 1e6

// maxIsolatedShare is the largest fraction of a pool's workers that are kept for suspects, members of
// gangs included, so that many suspects at once, as after the failure of a rack, leave room for other
// work. Isolation is a preference: a starved step waits for it no longer than maxIsolationDelay, and
// shares the worker of another suspect if no other one has room.
const maxIsolatedShare = 0.25

// maxKeptPeriod is how long a worker is kept for a suspect that does not start there.
const maxKeptPeriod = 2 * startupPeriod

// maxIsolationDelay is how long the suspects of a starved step wait for workers of their own while
// there are some that may run them. With starvedAfter, which runs at the same time, a call for advice and
// the start it has to stay below three seconds.
const maxIsolationDelay = 2 * startupPeriod

// maxUnisolatedCrashes is the number of crashes under a task beyond which its runs are
// isolated for as long as they take, whatever the time of the crashes.
const maxUnisolatedCrashes = 1

// suspect reports whether a task may have crashed a worker.
func (t *task) suspect() bool { return t.startupCrashes > 0 || t.crashes > maxUnisolatedCrashes }

// splitSuspects separates the suspects from the other tasks.
func splitSuspects(tasks []*task) (suspects, others []*task) {
	if !slices.ContainsFunc(tasks, (*task).suspect) {
		return nil, tasks
	}
	for _, t := range tasks {
		if t.suspect() {
			suspects = append(suspects, t)
		} else {
			others = append(others, t)
		}
	}
	return suspects, others
}

// placeSuspects starts each suspect on a worker of its own. A worker on which runs are
// starting is kept for the suspect until they have started. It returns how many suspects it
// started, and how many have no worker that may run them.
func (c *Core) placeSuspects(s *step, suspects []*task, now time.Duration) (started, without int) {
	if len(suspects) == 0 {
		s.isolationDelayed = false
		return 0, 0
	}
	for _, t := range suspects {
		if t.kept != nil && t.kept.keptFor == t {
			t.kept.keptFor = nil
		}
	}
	q := c.queue(s.job)
	candidates, _ := s.withRoom(c.startableWorkers(s, q, now), 1)
	s.sortByRisk(candidates, now)
	if delayed := len(c.workersWithRoom(s, q.GetService(), now)) > 0; delayed != s.isolationDelayed {
		s.isolationDelayed, s.isolationDelayedSince = delayed, now
	}
	overdue := s.starved && s.isolationDelayed && now-s.isolationDelayedSince >= maxIsolationDelay
	allowed := c.isolationsLeft(q.GetService())
	for _, t := range suspects {
		if len(candidates) == 0 {
			t.kept = nil
			without++
			continue
		}
		if allowed <= 0 && !overdue {
			t.kept = nil
			continue
		}
		i := max(0, slices.Index(candidates, t.kept))
		w := candidates[i]
		candidates = slices.Delete(candidates, i, i+1)
		allowed--
		if w.startingRuns(now) == 0 || overdue {
			t.kept = nil
			c.startTask(t, w, t.highestRun+1, now)
			started++
			continue
		}
		if t.kept != w {
			t.kept, w.keptSince = w, now
		}
		w.keptFor = t
	}
	return started, without
}

// isolationsLeft returns how many more workers of a pool may be kept for suspects. Silent
// ones, which a suspect may have crashed, get no runs in any case.
func (c *Core) isolationsLeft(pool string) int {
	total, isolated := 0, 0
	for _, w := range c.workers {
		if w.life.GetPool() != pool {
			continue
		}
		total++
		if w.keptForSuspect() && w.missedPolls == 0 {
			isolated++
		}
	}
	return max(1, int(maxIsolatedShare*float64(total))) - isolated
}

// sortByRisk puts the workers first whose crash would tell most and cost least.
func (s *step) sortByRisk(workers []*worker, now time.Duration) {
	for _, w := range workers {
		w.stepScore = s.score(w)
		for _, r := range w.runs {
			w.stepScore += float64(r.demand.cpu) * (now - r.startedAt).Seconds()
		}
		w.stepScore += startingPenalty * float64(w.startingRuns(now))
	}
	slices.SortFunc(workers, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.stepScore, b.stepScore), cmp.Compare(a.Worker, b.Worker))
	})
}

// starting reports whether the startup of a run may not have been over at the given time.
func (r *run) starting(at time.Duration) bool {
	return r.state != ended && at-r.startedAt < startupPeriod
}

// startingRuns returns how many runs are starting on a worker.
func (w *worker) startingRuns(now time.Duration) int {
	n := 0
	for _, r := range w.runs {
		if r.starting(now) {
			n++
		}
	}
	return n
}

// keptForSuspect reports whether a worker gets no runs but those of one suspect and of starved steps.
func (w *worker) keptForSuspect() bool { return w.isolated != nil || w.keptFor != nil }

// isolate keeps a worker for the run of a suspect, if one more may be kept.
func (c *Core) isolate(w *worker, r *run) {
	if w.keptFor == r.task || w.isolated == nil && c.isolationsLeft(w.life.GetPool()) > 0 {
		w.isolated = r
	}
}

// endIsolation opens a worker to other runs once its suspect needs it no more.
func (w *worker) endIsolation(now time.Duration) {
	if t := w.keptFor; t != nil && (!t.waits() || t.kept != w || now-w.keptSince > maxKeptPeriod) {
		w.keptFor = nil
	}
	r := w.isolated
	if r == nil {
		return
	}
	present := r.state != ended && w.runs[runKey{r.task.key(), r.number}] == r
	whole := r.task.crashes > maxUnisolatedCrashes && !r.task.step.spec.GetLongRunning()
	if !present || !(whole || r.starting(now)) {
		w.isolated = nil
	}
}

// CrashedRuns returns the runs that are lost if a worker has crashed. There are none if it
// was to leave or to be maintained.
func (c *Core) CrashedRuns(t Target) []*egretmuxv1.CrashedRun {
	w := c.workers[t.Worker]
	if w == nil || w.Born != t.Born || w.draining || w.cordoned {
		return nil
	}
	crashed := append(slices.Clone(w.lapsedRuns), w.crashedRuns()...)
	// The most likely cause first, as the job that it ends is logged with it.
	slices.SortStableFunc(crashed, func(a, b *egretmuxv1.CrashedRun) int { return cmp.Compare(b.GetEvidence(), a.GetEvidence()) })
	return crashed
}

// crashedRuns returns the runs that may have begun on a worker, with the evidence that each
// of them crashed it.
func (w *worker) crashedRuns() []*egretmuxv1.CrashedRun {
	var out []*egretmuxv1.CrashedRun
	for _, r := range w.sortedRuns() {
		if r.state == ordered || r.state == ended {
			continue
		}
		key := r.task.key()
		out = append(out, &egretmuxv1.CrashedRun{
			Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Index: key.Index, Run: r.number, Evidence: w.evidenceOf(r),
		})
	}
	return out
}

// evidenceOf returns the evidence that a run crashed its worker, from when the worker was
// last heard of.
func (w *worker) evidenceOf(r *run) egretmuxv1.CrashEvidence {
	if !r.starting(w.heardAt) {
		return egretmuxv1.CrashEvidence_CRASH_EVIDENCE_UNSPECIFIED
	}
	if r.inherited && !r.task.step.spec.GetLongRunning() {
		return egretmuxv1.CrashEvidence_CRASH_EVIDENCE_UNSPECIFIED // it may have begun long before this leader's term
	}
	if r.inherited { // without evidence its run would count as one that worked
		return egretmuxv1.CrashEvidence_CRASH_EVIDENCE_STARTUP
	}
	for _, other := range w.runs {
		if other.task.step.job != r.task.step.job && other.starting(w.heardAt) {
			return egretmuxv1.CrashEvidence_CRASH_EVIDENCE_STARTUP
		}
	}
	return egretmuxv1.CrashEvidence_CRASH_EVIDENCE_SOLE_STARTUP
}

// CrashesStored takes over what the book has counted for the runs that a crashed worker took
// along, and removes the jobs that it has given up.
func (c *Core) CrashesStored(t Target, crashed []*egretmuxv1.CrashedRun, now time.Duration) {
	for _, r := range crashed {
		j := c.jobs[r.GetJob()]
		if j == nil {
			continue
		}
		key := TaskKey{StepKey{r.GetJob(), r.GetOccurrence(), r.GetStep()}, r.GetIndex()}
		phase, state := egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED, jobs.TaskState{}
		c.cfg.Book.View(key.Job, func(rec *jobs.Record) {
			if rec == nil || rec.Ended() {
				phase = phaseOf(rec)
				return
			}
			state = rec.Task(key.Occurrence, key.Step, key.Index)
		})
		if phase == egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED {
			if s := c.steps[key.StepKey]; s != nil {
				s.tasks[key.Index].crashes, s.tasks[key.Index].startupCrashes = state.Crashes, state.StartupCrashes
			}
			continue
		}
		if phase == egretmuxv1.JobPhase_JOB_PHASE_FAILED {
			c.addNotice(Notice{Event: "task_given_up", Job: key.Job, Task: key.String(), Worker: t.Worker, Run: r.GetRun(), Reason: "workers-crashed"})
		}
		c.endJob(j, phase, now)
	}
}

// phaseOf returns the phase of a record that has ended. A record that is gone counts as
// cancelled.
func phaseOf(rec *jobs.Record) egretmuxv1.JobPhase {
	if rec == nil {
		return egretmuxv1.JobPhase_JOB_PHASE_CANCELLED
	}
	return rec.Phase
}
