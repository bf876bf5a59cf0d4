package explain

import (
	"fmt"
	"strings"
	"time"

	"github.com/egretmux/egretmux/internal/refusal"
)

// longWait is how long a job must wait for its first start before the verdict
// mentions the wait.
const longWait = time.Second

// verdict states the cause of a job's or request's outcome.
func verdict(lines []Line) string {
	if len(lines) == 0 {
		return "the logs hold nothing of this id; give the logs of all instances, and look for log_lines_dropped"
	}
	if text := configurationVerdict(lines); text != "" {
		return text
	}
	var accepted, deferred, firstStart, givenUp, ended *Line
	var refusals, unknownOutcomes, failedRuns, abandonedRuns []Line
	for i := range lines {
		line := &lines[i]
		switch line.Event {
		case "job_accepted":
			accepted = line
		case "step_deferred", "step_held":
			if deferred == nil {
				deferred = line
			}
		case "run_starting":
			if firstStart == nil {
				firstStart = line
			}
		case "call_refused":
			if line.Other["ran"] == string(refusal.Unknown) {
				unknownOutcomes = append(unknownOutcomes, *line)
			} else {
				refusals = append(refusals, *line)
			}
		case "run_ended":
			if line.Reason == "failed" {
				failedRuns = append(failedRuns, *line)
			}
		case "task_given_up":
			givenUp = line
		case "run_lost", "run_stopping":
			if line.Reason != "job-ended" && line.Reason != "step-done" && line.Reason != "task-done" {
				abandonedRuns = append(abandonedRuns, *line)
			}
		case "job_ended", "job_cancelled":
			if ended == nil {
				ended = line
			}
		}
		if ended != nil {
			break // later lines come from leaders that were replaced
		}
	}
	switch {
	case accepted == nil:
		return notAcceptedVerdict(refusals, unknownOutcomes)
	case ended != nil && ended.Event == "job_cancelled":
		return "cancelled by its client"
	case ended != nil && ended.Reason == "failed":
		if givenUp != nil {
			return "failed: " + crashVerdict(*givenUp, abandonedRuns)
		}
		return "failed: " + failureVerdict(failedRuns)
	case ended == nil:
		return unfinishedVerdict(deferred, firstStart, abandonedRuns)
	}
	return completedVerdict(*accepted, *ended, deferred, firstStart, abandonedRuns)
}

// configurationVerdict names the instance that acknowledged a configuration, and what its operator was told by others. It
// returns an empty string if the events are of no configuration.
func configurationVerdict(lines []Line) string {
	var stored, refused, redirected []Line
	for _, l := range lines {
		switch l.Event {
		case "catalogue_put":
			stored = append(stored, l)
		case "catalogue_refused":
			refused = append(refused, l)
		case "catalogue_redirected":
			redirected = append(redirected, l)
		}
	}
	var parts []string
	switch n := len(stored); {
	case n > 0:
		parts = append(parts, "acknowledged first by "+stored[0].Instance)
	case len(refused)+len(redirected) == 0:
		return ""
	default:
		parts = append(parts, "not acknowledged within these logs")
	}
	if n := len(refused); n > 0 {
		parts = append(parts, fmt.Sprintf("refused %d times, last at %s for %q", n, refused[n-1].Instance, refused[n-1].Reason))
	}
	if n := len(redirected); n > 0 {
		parts = append(parts, fmt.Sprintf("sent on to the leader %d times, last by %s", n, redirected[n-1].Instance))
	}
	return strings.Join(parts, "; ")
}

// notAcceptedVerdict tells refused calls from those whose outcome was not known: a job
// that was only refused does not run, one with an unknown outcome may be stored.
func notAcceptedVerdict(refusals, unknownOutcomes []Line) string {
	unknown := ""
	if n := len(unknownOutcomes); n > 0 {
		last := unknownOutcomes[n-1]
		unknown = fmt.Sprintf("; the outcome of %d calls was not known, last at %s for %q", n, last.Instance, last.Reason)
	}
	if len(refusals) == 0 {
		return "not accepted within these logs" + unknown
	}
	last := refusals[len(refusals)-1]
	return fmt.Sprintf("never accepted: refused %d times, last at %s for %q", len(refusals), last.Instance, last.Reason) + unknown
}

// stalledCallsVerdict names the calls about the job that instances held beyond their
// deadline, or returns an empty string. Their callers got no answer.
func stalledCallsVerdict(lines []Line) string {
	var stalled []Line
	for _, l := range lines {
		if l.Event == "call_stalled" {
			stalled = append(stalled, l)
		}
	}
	if len(stalled) == 0 {
		return ""
	}
	return fmt.Sprintf("; %d calls about it were held without an answer, first at %s", len(stalled), stalled[0].Instance)
}

// crashVerdict names the workers that crashed under a task that was given up for it.
func crashVerdict(givenUp Line, abandonedRuns []Line) string {
	workers := []string{}
	for _, r := range abandonedRuns {
		if r.Event == "run_lost" && r.Task == givenUp.Task {
			workers = append(workers, r.Worker)
		}
	}
	return fmt.Sprintf("task %s was given up, as workers crashed under it: %s", givenUp.Task, strings.Join(workers, ", "))
}

func failureVerdict(failedRuns []Line) string {
	if len(failedRuns) == 0 {
		return "the last failed run is not in these logs"
	}
	last := failedRuns[len(failedRuns)-1]
	workers := make(map[string]bool)
	for _, f := range failedRuns {
		workers[f.Worker] = true
	}
	return fmt.Sprintf("runs of it ended as failed %d times on %d workers, last task %s on %s; on several workers it is the task's own fault",
		len(failedRuns), len(workers), last.Task, last.Worker)
}

func unfinishedVerdict(deferred, firstStart *Line, abandonedRuns []Line) string {
	switch {
	case firstStart == nil && deferred != nil:
		return "accepted and never started: " + waitVerdict(*deferred)
	case firstStart == nil:
		return "accepted and never started: no worker had room, a ticket and the label that it asks for"
	case len(abandonedRuns) > 0:
		last := abandonedRuns[len(abandonedRuns)-1]
		return fmt.Sprintf("not ended; its last run was given up: %s on %s", last.Reason, last.Worker)
	}
	return "not ended within these logs; it runs"
}

// waitVerdict says why a step did not start although there was room.
func waitVerdict(waited Line) string {
	if waited.Event == "step_held" {
		return fmt.Sprintf("its customer's quota held it back (%q)", waited.Reason)
	}
	return fmt.Sprintf("it left room to gangs (%q)", waited.Reason)
}

func completedVerdict(accepted, ended Line, deferred, firstStart *Line, abandonedRuns []Line) string {
	text := fmt.Sprintf("completed %d ms after it was accepted", ended.Time.Sub(accepted.Time).Milliseconds())
	if firstStart != nil && firstStart.Time.Sub(accepted.Time) > longWait {
		text += fmt.Sprintf("; it waited %d ms for its first start", firstStart.Time.Sub(accepted.Time).Milliseconds())
	}
	if deferred != nil {
		text += "; " + waitVerdict(*deferred)
	}
	if len(abandonedRuns) > 0 {
		text += fmt.Sprintf("; %d runs of it were given up, first for %q on %s", len(abandonedRuns), abandonedRuns[0].Reason, abandonedRuns[0].Worker)
	}
	if accepted.Instance != ended.Instance {
		text += fmt.Sprintf("; the leader changed from %s to %s", accepted.Instance, ended.Instance)
	}
	return text
}
