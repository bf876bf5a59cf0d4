package job

import (
	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Limits on the workers that may crash under one task before its job fails. A crash lists
// no end, so it does not count as an attempt.
const (
	// maxStartupCrashes applies when the last crash has no other possible cause than
	// this task.
	maxStartupCrashes = 2
	maxCrashes        = 3
)

// applyCrash counts a crash of a worker under a run of a task. The caller makes sure that
// each crash is applied once.
func (r *Record) applyCrash(e *egretmuxv1.CrashedRun) {
	defer r.dropLeftover(e)
	if r.Ended() || !r.hasTask(e) {
		return
	}
	t := &r.ensureStep(e).tasks[e.GetIndex()]
	t.LastEndedRun = max(t.LastEndedRun, e.GetRun())
	if t.Done {
		return
	}
	starting := e.GetEvidence() != egretmuxv1.CrashEvidence_CRASH_EVIDENCE_UNSPECIFIED
	if !starting && r.Job.GetSteps()[e.GetStep()].GetLongRunning() {
		// It meets any number of crashes in its time, and this run has shown that it works.
		t.Crashes, t.StartupCrashes = 0, 0
		return
	}
	t.Crashes++
	if starting {
		t.StartupCrashes++
	}
	sole := e.GetEvidence() == egretmuxv1.CrashEvidence_CRASH_EVIDENCE_SOLE_STARTUP
	if t.Crashes >= maxCrashes || (sole && t.StartupCrashes >= maxStartupCrashes) {
		r.finish(egretmuxv1.JobPhase_JOB_PHASE_FAILED)
	}
}
