package scheduler

import (
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// withdrawnFullPause is the time after which a caller returns whose cancellation found no room.
const withdrawnFullPause = 5 * time.Second

// renewalShare is the part of its retention, as a divisor, after which a cancellation renews a withdrawn job.
const renewalShare = 4

// maxForgottenWithdrawn bounds the withdrawn jobs in one command.
const maxForgottenWithdrawn = 4096

// jobKey returns the key of the job that a call addresses.
func (a access) jobKey() job.JobKey {
	return job.JobKey{Host: a.queue.GetHost(), Prefix: a.queue.GetPrefix(), ID: a.id}
}

func cancelCommand(key job.JobKey) *egretmuxv1.JobCommand {
	return &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Cancel{Cancel: &egretmuxv1.CancelJob{Job: key.ID, Host: key.Host, Prefix: key.Prefix}}}
}

func jobWithdrawn(id string) *refusal.Error {
	return refusal.New(refusal.JobWithdrawn, "submit it under another id", "job %.100s was cancelled before it was submitted", id)
}

// withdrawal tells since when a withdrawn job is remembered.
type withdrawal struct {
	index uint64 // of the log entry
	since time.Time
}

// markWithdrawn begins the retention of a job that a cancellation has withdrawn.
func (t *tenure) markWithdrawn(key job.JobKey, result job.Result) {
	if result.WithdrawnAt == 0 {
		return
	}
	telemetry.Count("jobs_withdrawn_total")
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.withdrawn[key].index < result.WithdrawnAt { // outcomes may overtake each other
		t.withdrawn[key] = withdrawal{result.WithdrawnAt, time.Now()}
	}
}

// isRecentlyWithdrawn reports whether a job was withdrawn so recently that another cancellation needs to store nothing.
func (t *tenure) isRecentlyWithdrawn(key job.JobKey) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, withdrawn := t.withdrawn[key]
	return withdrawn && time.Since(w.since) < t.cfg.StatusKeep/renewalShare
}

// takeWithdrawnBefore returns jobs that were withdrawn before a time, which this tenure then forgets. The caller holds mu.
func (t *tenure) takeWithdrawnBefore(limit time.Time) (out []*egretmuxv1.WithdrawnJob) {
	for key, w := range t.withdrawn {
		if len(out) == maxForgottenWithdrawn {
			break
		}
		if w.since.Before(limit) {
			out = append(out, &egretmuxv1.WithdrawnJob{Host: key.Host, Prefix: key.Prefix, Job: key.ID, Index: w.index})
			delete(t.withdrawn, key)
		}
	}
	return out
}
