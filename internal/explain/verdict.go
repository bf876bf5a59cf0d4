package explain

import (
	"fmt"
	"time"
)

// longWait is the time without a start after which the wait itself is told.
const longWait = time.Second

// verdict names what decided the end of a job or request.
func verdict(lines []Line) string {
	if len(lines) == 0 {
		return "the logs hold nothing of this id; give the logs of all instances, and look for log_lines_dropped"
	}
	var accepted, firstStart, ended *Line
	var refused, failed, lost []Line
	for i := range lines {
		l := &lines[i]
		switch l.Event {
		case "job_accepted":
			accepted = l
		case "run_starting":
			if firstStart == nil {
				firstStart = l
			}
		case "call_refused":
			refused = append(refused, *l)
		case "run_ended":
			if l.Reason == "failed" {
				failed = append(failed, *l)
			}
		case "run_lost", "run_stopping":
			if l.Reason != "job-ended" && l.Reason != "task-done" {
				lost = append(lost, *l)
			}
		case "job_ended", "job_cancelled":
			if ended == nil {
				ended = l
			}
		}
		if ended != nil {
			break // later lines are of leaders that were replaced
		}
	}
	switch {
	case accepted == nil && len(refused) > 0:
		last := refused[len(refused)-1]
		return fmt.Sprintf("never accepted: refused %d times, last at %s for %q", len(refused), last.Instance, last.Reason)
	case accepted == nil:
		return "not accepted within these logs"
	case ended != nil && ended.Event == "job_cancelled":
		return "cancelled by its client"
	case ended != nil && ended.Reason == "failed":
		return "failed: " + failures(failed)
	case ended == nil:
		return unfinished(firstStart, lost)
	}
	return completed(*accepted, *ended, firstStart, lost)
}

func failures(failed []Line) string {
	if len(failed) == 0 {
		return "the last failed run is not in these logs"
	}
	last := failed[len(failed)-1]
	workers := make(map[string]bool)
	for _, f := range failed {
		workers[f.Worker] = true
	}
	return fmt.Sprintf("runs of it ended as failed %d times on %d workers, last task %s on %s; on several workers it is the task's own fault",
		len(failed), len(workers), last.Task, last.Worker)
}

func unfinished(firstStart *Line, lost []Line) string {
	switch {
	case firstStart == nil:
		return "accepted and never started: no worker had room, a ticket and the label that it asks for"
	case len(lost) > 0:
		last := lost[len(lost)-1]
		return fmt.Sprintf("not ended; its last run was given up: %s on %s", last.Reason, last.Worker)
	}
	return "not ended within these logs; it runs"
}

func completed(accepted, ended Line, firstStart *Line, lost []Line) string {
	out := fmt.Sprintf("completed %d ms after it was accepted", ended.Time.Sub(accepted.Time).Milliseconds())
	if firstStart != nil && firstStart.Time.Sub(accepted.Time) > longWait {
		out += fmt.Sprintf("; it waited %d ms for its first start", firstStart.Time.Sub(accepted.Time).Milliseconds())
	}
	if len(lost) > 0 {
		out += fmt.Sprintf("; %d runs of it were given up, first for %q on %s", len(lost), lost[0].Reason, lost[0].Worker)
	}
	if accepted.Instance != ended.Instance {
		out += fmt.Sprintf("; the leader changed from %s to %s", accepted.Instance, ended.Instance)
	}
	return out
}
