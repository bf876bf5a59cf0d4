package scheduler

import (
	"context"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/refusal"
)

func noCatalogue() *refusal.Error {
	return refusal.New(refusal.NoLease, "retry when the operator has sent a configuration", "there is no configuration yet").After(time.Second)
}

// find resolves the queue of a call. An answer that there is none is given only
// after leadership was confirmed.
func (t *tenure) find(ctx context.Context, a *egretmuxv1.QueueAddress) (q *egretmuxv1.Queue, rest string, err error) {
	catalogue := t.book.Catalogue()
	if catalogue == nil {
		return nil, "", noCatalogue()
	}
	if q, rest = catalogue.MatchQueue(a); q != nil {
		return q, rest, nil
	}
	if err := t.confirm(ctx); err != nil {
		return nil, "", err
	}
	q, rest = t.book.Catalogue().MatchQueue(a)
	return q, rest, nil
}

func (t *tenure) submit(ctx context.Context, call *egretmuxv1.JobCall) (*egretmuxv1.JobAnswer, error) {
	q, id, err := t.find(ctx, call.GetAddress())
	if err != nil {
		return nil, err
	}
	if q == nil {
		return &egretmuxv1.JobAnswer{NoQueue: true}, nil
	}
	j := call.GetJob()
	if !job.ValidID(id) {
		return nil, refusal.New(refusal.Invalid, "end the path with 16 hexadecimal digits", "%.100q names no job", id)
	}
	if err := job.Check(j); err != nil {
		return nil, err
	}
	if t.overloaded() && !t.knows(id) {
		return nil, refusal.New(refusal.Shed, "retry later", "the leader is overloaded").After(time.Second)
	}
	j.Id, j.Host, j.Prefix = id, q.GetHost(), q.GetPrefix()
	j.Attempts, j.Service = q.GetAttempts(), q.GetService()
	j.AcceptedUnixMs = time.Now().UnixMilli()
	result, err := t.propose(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: j}}})
	if err != nil {
		return nil, err
	}
	if !result.Known {
		t.do(func(c *dispatch.Core, now time.Duration) { c.JobAccepted(id, now) })
		t.cfg.Logger.Info().Str("event", "job_accepted").Str("job", id).Str("queue", q.GetName()).Int("steps", len(j.GetSteps())).Msg("")
	}
	return &egretmuxv1.JobAnswer{Found: true}, nil
}

// knows reports whether a job is stored. One that may have been sent before is
// not refused for load: the client was told nothing definite about it.
func (t *tenure) knows(id string) bool {
	known := false
	t.book.View(id, func(r *job.Record) { known = r != nil })
	return known
}

func (t *tenure) cancelJob(ctx context.Context, call *egretmuxv1.JobCall) (*egretmuxv1.JobAnswer, error) {
	q, id, err := t.find(ctx, call.GetAddress())
	if err != nil {
		return nil, err
	}
	if q == nil {
		return &egretmuxv1.JobAnswer{NoQueue: true}, nil
	}
	result, err := t.propose(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Cancel{Cancel: &egretmuxv1.CancelJob{Job: id}}})
	if err != nil {
		return nil, err
	}
	if !result.Known {
		return &egretmuxv1.JobAnswer{}, nil
	}
	t.do(func(c *dispatch.Core, _ time.Duration) {
		c.JobEnded(id, "cancelled")
		t.markOver(id)
	})
	t.cfg.Logger.Info().Str("event", "job_cancelled").Str("job", id).Stringer("phase", result.Phase).Msg("")
	return &egretmuxv1.JobAnswer{Found: true, Phase: result.Phase}, nil
}

func (t *tenure) show(ctx context.Context, call *egretmuxv1.JobCall) (*egretmuxv1.JobAnswer, error) {
	if t.book.Catalogue() == nil {
		return nil, noCatalogue()
	}
	if err := t.confirm(ctx); err != nil {
		return nil, err
	}
	q, id := t.book.Catalogue().MatchQueue(call.GetAddress())
	if q == nil {
		return &egretmuxv1.JobAnswer{NoQueue: true}, nil
	}
	if id == "" {
		t.mu.Lock()
		defer t.mu.Unlock()
		return &egretmuxv1.JobAnswer{Found: true, Counted: true, Pending: uint64(t.core.PendingJobs(q.GetHost(), q.GetPrefix()))}, nil
	}
	answer := &egretmuxv1.JobAnswer{}
	t.book.View(id, func(r *job.Record) {
		if r == nil {
			return
		}
		answer.Found, answer.Phase = true, r.Phase
	})
	if answer.Found && answer.GetPhase() == egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED {
		answer.Phase = egretmuxv1.JobPhase_JOB_PHASE_QUEUED
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.core.JobStarted(id) {
			answer.Phase = egretmuxv1.JobPhase_JOB_PHASE_RUNNING
		}
	}
	return answer, nil
}

// put commits a catalogue. A version that is not above the one in force is
// acknowledged and changes nothing, unless it holds other content.
func (t *tenure) put(_ context.Context, c *egretmuxv1.Catalogue) (uint64, error) {
	if err := job.CheckCatalogue(c); err != nil {
		return 0, err
	}
	result, err := t.propose(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_PutCatalogue{PutCatalogue: &egretmuxv1.PutCatalogue{Catalogue: c}}})
	if err != nil {
		return 0, err
	}
	if result.Conflict {
		return 0, refusal.New(refusal.VersionConflict, "send the change under a higher version", "version %d holds other content", c.GetVersion())
	}
	t.do(func(*dispatch.Core, time.Duration) {})
	t.cfg.Logger.Info().Str("event", "catalogue_put").Uint64("version", c.GetVersion()).Bool("changed", !result.Known).Msg("")
	return c.GetVersion(), nil
}

// beat takes up a worker's report. It returns once what the report changes is
// durable.
func (t *tenure) beat(_ context.Context, b *egretmuxv1.WorkerBeat) error {
	life := b.GetLife()
	target := targetOf(life)
	if b.GetLeaving() {
		return t.leave(target)
	}
	t.mu.Lock()
	known := t.core.Knows(target)
	draining := known && t.core.Draining(target)
	t.mu.Unlock()
	if !known {
		if stored, err := t.recordLife(life); err != nil || !stored {
			return err
		}
	}
	if b.GetDraining() && !draining {
		if _, err := t.propose(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{
			EndLife: &egretmuxv1.EndLife{Worker: life.GetWorker(), BornUnixMs: life.GetBornUnixMs(), Draining: true},
		}}); err != nil {
			return err
		}
	}
	if b.GetDraining() {
		t.do(func(c *dispatch.Core, now time.Duration) {
			c.WorkerDraining(target, time.Duration(b.GetRemainingMs())*time.Millisecond, now)
		})
	}
	return nil
}

// recordLife stores a life before anything is started on it. It returns false
// for one that is older than the life known.
func (t *tenure) recordLife(life *egretmuxv1.WorkerLife) (bool, error) {
	if _, err := t.propose(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_RecordLife{RecordLife: &egretmuxv1.RecordLife{Life: life}}}); err != nil {
		return false, err
	}
	target := targetOf(life)
	stored := false
	t.do(func(c *dispatch.Core, now time.Duration) {
		c.WorkerJoined(life, now)
		if stored = c.Knows(target); stored {
			t.startLooking(target)
		}
	})
	return stored, nil
}

// leave ends the life of a worker that says that it is gone. A report that was
// overtaken by a newer life changes nothing.
func (t *tenure) leave(target dispatch.Target) error {
	for _, w := range t.book.Workers() {
		if w.Life.GetWorker() == target.Worker && (target.Born == 0 || w.Life.GetBornUnixMs() == target.Born) {
			return t.retire(targetOf(w.Life), "left")
		}
	}
	return nil
}
