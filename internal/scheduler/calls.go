package scheduler

import (
	"context"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// noCatalogue returns the refusal of calls before the first configuration. Its kind
// is NoLease: the cell cannot serve yet, and the call has not been executed.
func noCatalogue() *refusal.Error {
	return refusal.New(refusal.NoLease, "retry when the operator has sent a configuration", "there is no configuration yet").WithRetryAfter(time.Second)
}

func (t *tenure) submitJob(ctx context.Context, call *egretmuxv1.JobCall) (*egretmuxv1.JobAnswer, error) {
	a, err := t.authorize(ctx, call)
	if err != nil {
		return nil, err
	}
	q, id := a.queue, a.id
	if q == nil {
		return a.answer(&egretmuxv1.JobAnswer{NoQueue: true}), nil
	}
	j := call.GetJob()
	if !job.ValidID(id) {
		return nil, refusal.New(refusal.Invalid, "end the path with 16 hexadecimal digits", "%.100q is not a job id", id)
	}
	if err := job.Check(j); err != nil {
		return nil, err
	}
	if t.isStored(id) { // a commit may take longer than the caller waits
		if err := t.confirm(ctx); err != nil {
			return nil, err
		}
		if !a.ownsJob(t.book, t.book.Catalogue()) {
			return nil, notOwner(id)
		}
		return a.answer(&egretmuxv1.JobAnswer{Found: true}), nil
	}
	if t.book.IsWithdrawn(a.jobKey()) { // committed, whoever leads
		return nil, jobWithdrawn(id)
	}
	if err := t.checkQuota(ctx, id, j, a.customer); err != nil {
		return nil, err
	}
	if t.overloaded() {
		if refusable, err := t.isRefusable(ctx, id); err != nil {
			return nil, err
		} else if refusable {
			return nil, refusal.New(refusal.Shed, "retry later", "the leader is overloaded").WithRetryAfter(time.Second)
		}
	}
	j.Id, j.Host, j.Prefix = id, q.GetHost(), q.GetPrefix()
	j.Attempts, j.Service, j.Customer = q.GetAttempts(), q.GetService(), a.customer.GetName()
	j.AcceptedUnixMs = time.Now().UnixMilli()
	if err := t.admit(ctx, j); err != nil {
		return nil, err
	}
	steps, overRate := len(j.GetSteps()), j.GetOverRate()
	result, err := t.proposeForCaller(ctx, &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: j}}}, func(result job.Result) {
		if result.Known || result.Withdrawn {
			t.admissionSettled(id)
			return
		}
		t.updateCore(func(c *dispatch.Core, now time.Duration) { c.JobAccepted(id, now) })
		accepted := t.cfg.Logger.Info().Str("event", "job_accepted").Str("job", id).Str("queue", q.GetName()).Int("steps", steps)
		if a.customer != nil {
			accepted = accepted.Str("customer", a.customer.GetName()).Bool("over_rate", overRate)
		}
		accepted.Msg("")
	})
	if err != nil {
		return nil, err
	}
	if result.Withdrawn {
		return nil, jobWithdrawn(id)
	}
	if result.Known && !a.ownsJob(t.book, t.book.Catalogue()) { // another customer's submit was faster
		return nil, notOwner(id)
	}
	return a.answer(&egretmuxv1.JobAnswer{Found: true}), nil
}

// isStored reports whether the job is stored.
func (t *tenure) isStored(id string) bool {
	known := false
	t.book.View(id, func(r *job.Record) { known = r != nil })
	return known
}

// endedPhase returns the phase in which the job has ended, or unspecified if it has not.
func (t *tenure) endedPhase(id string) (phase egretmuxv1.JobPhase) {
	t.book.View(id, func(r *job.Record) {
		if r != nil && r.Ended() {
			phase = r.Phase
		}
	})
	return phase
}

func (t *tenure) cancelJob(ctx context.Context, call *egretmuxv1.JobCall) (*egretmuxv1.JobAnswer, error) {
	a, err := t.authorize(ctx, call)
	if err != nil {
		return nil, err
	}
	if a.queue == nil {
		return a.answer(&egretmuxv1.JobAnswer{NoQueue: true}), nil
	}
	id := a.id
	if !job.ValidID(id) { // there can be no such job
		if err := t.confirm(ctx); err != nil {
			return nil, err
		}
		return a.answer(&egretmuxv1.JobAnswer{}), nil
	}
	if phase := t.endedPhase(id); phase != egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED {
		if err := t.confirm(ctx); err != nil {
			return nil, err
		}
		return a.answer(&egretmuxv1.JobAnswer{Found: true, Phase: phase}), nil
	}
	if t.isRecentlyWithdrawn(a.jobKey()) {
		if err := t.confirm(ctx); err != nil {
			return nil, err
		}
		return a.answer(&egretmuxv1.JobAnswer{}), nil
	}
	cmd := cancelCommand(a.jobKey())
	onCommit := func(result job.Result) {
		if !result.Known {
			t.markWithdrawn(a.jobKey(), result)
			return
		}
		t.updateCore(func(c *dispatch.Core, _ time.Duration) {
			c.JobEnded(id, "cancelled")
			t.markEnded(id)
		})
		t.cfg.Logger.Info().Str("event", "job_cancelled").Str("job", id).Stringer("phase", result.Phase).Msg("")
	}
	result, joined, err := t.proposeOnce(ctx, cmd, onCommit)
	if joined && err == nil && !result.Known { // the job may have been stored since
		result, err = t.proposeForCaller(ctx, cmd, onCommit)
	}
	if err != nil {
		return nil, err
	}
	switch {
	case result.Full:
		return nil, refusal.New(refusal.WithdrawnFull, "cancel it again later", "job %.100s is not known, and %d jobs are withdrawn already", id, job.MaxWithdrawn).WithRetryAfter(withdrawnFullPause)
	case !result.Known:
		return a.answer(&egretmuxv1.JobAnswer{}), nil
	}
	return a.answer(&egretmuxv1.JobAnswer{Found: true, Phase: result.Phase}), nil
}

// showJob returns the phase of a job or, if the path has no id, the number of pending
// jobs of the queue.
func (t *tenure) showJob(ctx context.Context, call *egretmuxv1.JobCall) (*egretmuxv1.JobAnswer, error) {
	if t.book.Catalogue() == nil {
		return nil, noCatalogue()
	}
	if err := t.confirm(ctx); err != nil {
		return nil, err
	}
	a, err := decideAccess(t.book, call)
	if err != nil {
		return nil, err
	}
	q, id := a.queue, a.id
	if q == nil {
		return a.answer(&egretmuxv1.JobAnswer{NoQueue: true}), nil
	}
	if id == "" {
		return a.answer(&egretmuxv1.JobAnswer{Found: true, Counted: true, Pending: uint64(t.core.PendingJobs(q.GetHost(), q.GetPrefix()))}), nil
	}
	answer := a.answer(&egretmuxv1.JobAnswer{})
	t.book.View(id, func(r *job.Record) {
		if r == nil {
			return
		}
		answer.Found, answer.Phase = true, r.Phase
	})
	if answer.Found && answer.GetPhase() == egretmuxv1.JobPhase_JOB_PHASE_UNSPECIFIED {
		answer.Phase = egretmuxv1.JobPhase_JOB_PHASE_QUEUED
		if t.core.JobStarted(id) {
			answer.Phase = egretmuxv1.JobPhase_JOB_PHASE_RUNNING
		}
	}
	return answer, nil
}

// putCatalogue commits a catalogue. A version not above the one in force is
// acknowledged without effect; the same version with other content is refused.
func (t *tenure) putCatalogue(ctx context.Context, c *egretmuxv1.Catalogue) (uint64, error) {
	if err := job.CheckCatalogue(c); err != nil {
		return 0, err
	}
	version := c.GetVersion()
	// A commit may take longer than the caller waits. What a committed catalogue overtakes stays overtaken, whoever leads.
	if result := t.book.CompareCatalogue(c); result.Known {
		return t.answerCatalogue(version, result)
	}
	result, _, err := t.proposeOnce(ctx, &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_PutCatalogue{PutCatalogue: &egretmuxv1.PutCatalogue{Catalogue: c}}}, func(job.Result) {
		t.requestPlan() // with the catalogue in the book
	})
	if err != nil {
		return 0, err
	}
	return t.answerCatalogue(version, result)
}

func (t *tenure) answerCatalogue(version uint64, result job.Result) (uint64, error) {
	if result.Conflict {
		return 0, refusal.New(refusal.VersionConflict, "send the change under a higher version", "version %d was stored with other content", version)
	}
	t.cfg.Logger.Info().Str("event", "catalogue_put").Uint64("version", version).Bool("changed", !result.Known).Msg("configuration acknowledged")
	return version, nil
}

// handleHeartbeat processes a worker's heartbeat. It returns nil once the resulting
// changes are stored.
func (t *tenure) handleHeartbeat(ctx context.Context, b *egretmuxv1.WorkerBeat) error {
	received := t.now()
	life := b.GetLife()
	if err := CheckBeat(b, time.Now()); err != nil {
		return err
	}
	target := targetOf(life)
	if b.GetLeaving() {
		return t.handleLeave(ctx, target)
	}
	if err := t.checkKnownLife(life); err != nil {
		return err
	}
	t.mu.Lock()
	known := t.core.Knows(target)
	draining := known && t.core.Draining(target)
	resized := known && t.core.CapacityChanged(life, b.GetSequence())
	t.mu.Unlock()
	if !known {
		if stored, err := t.recordLife(ctx, life, b.GetSequence()); err != nil || !stored {
			return err
		}
	}
	if resized {
		if err := t.resizeWorker(ctx, life, b.GetSequence()); err != nil {
			return err
		}
	}
	if !b.GetDraining() {
		return nil
	}
	leavesAt := received + time.Duration(b.GetRemainingMs())*time.Millisecond
	drain := func(job.Result) {
		t.updateCore(func(c *dispatch.Core, now time.Duration) { c.WorkerDraining(target, max(0, leavesAt-now), now) })
	}
	if draining {
		drain(job.Result{})
		return nil
	}
	// With Draining set, EndLife does not end the life: it marks it as draining.
	_, err := t.proposeForCaller(ctx, &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{
		EndLife: &egretmuxv1.EndLife{Worker: life.GetWorker(), BornUnixMs: life.GetBornUnixMs(), Draining: true},
	}}, drain)
	return err
}

// recordLife stores a life of a worker before anything is started on it, after the end of
// the lives that it replaces. It returns false if a newer life of the worker is known, or
// this one is over.
func (t *tenure) recordLife(ctx context.Context, life *egretmuxv1.WorkerLife, sequence uint64) (bool, error) {
	target := targetOf(life)
	t.mu.Lock()
	replaced := t.core.ReplacedBy(life)
	t.mu.Unlock()
	if len(replaced) > 0 {
		if over, err := t.isOver(ctx, life, sequence); over || err != nil {
			return false, err
		}
	}
	for _, old := range replaced {
		if err := t.retireCrashed(ctx, old, "replaced"); err != nil {
			return false, err
		}
	}
	_, err := t.proposeForCaller(ctx, &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_RecordLife{RecordLife: &egretmuxv1.RecordLife{Life: life, Sequence: sequence}}}, func(result job.Result) {
		if result.Outdated {
			t.logOutdated(life, sequence, overByLog)
			return
		}
		t.updateCore(func(c *dispatch.Core, now time.Duration) {
			c.WorkerJoined(life, now)
			if known := c.Life(life.GetWorker()); known == nil || targetOf(known) != target {
				return // another heartbeat of this name and birth was stored first, from another address
			}
			c.WorkerResized(life, sequence) // if it is known since another heartbeat
			t.startPoller(target)
		})
	})
	if err != nil {
		return false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Knows(target), nil
}

// What shows that a life of a worker is over.
const (
	overByLog  = "log"
	overByPoll = "poll" // another life has answered in its place
)

// lifeProbeTimeout limits the poll of a life that would end others. Its heartbeat is to be stored within the time of a
// call to the leader.
const lifeProbeTimeout = 400 * time.Millisecond

// isOver reports whether a life is over whose heartbeat would end others, as births tell which life is the later one only
// while the time of day does not go back. A life that is over does not answer, so nothing is ended before it has.
func (t *tenure) isOver(ctx context.Context, life *egretmuxv1.WorkerLife, sequence uint64) (bool, error) {
	if t.book.LifeOver(life.GetWorker(), life.GetBornUnixMs()) {
		t.logOutdated(life, sequence, overByLog)
		return true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, lifeProbeTimeout)
	defer cancel()
	switch _, result := t.cfg.WorkerClient.Poll(ctx, Poll{Target: targetOf(life), Fence: t.term}); result {
	case PollAnswered:
		return false, nil
	case PollAnotherIncarnation:
		t.logOutdated(life, sequence, overByPoll)
		return true, nil
	}
	telemetry.Count(`heartbeats_refused_total{reason="unconfirmed"}`)
	return false, refusal.New(refusal.Shed, "send the next heartbeat", "worker %q, started at %d ms, does not answer polls, and other lives would end with its heartbeat", life.GetWorker(), life.GetBornUnixMs()).WithRetryAfter(time.Second)
}

func (t *tenure) logOutdated(life *egretmuxv1.WorkerLife, sequence uint64, evidence string) {
	telemetry.Count(`heartbeats_refused_total{reason="outdated"}`)
	t.cfg.Logger.Info().Str("event", "heartbeat_outdated").Str("worker", life.GetWorker()).Int64("born", life.GetBornUnixMs()).Uint64("sequence", sequence).
		Str("reason", evidence).Msg("this life of the worker is over")
}

// resizeWorker stores a heartbeat with another capacity, so that the next leader does not
// start from the one before, and then uses it.
func (t *tenure) resizeWorker(ctx context.Context, life *egretmuxv1.WorkerLife, sequence uint64) error {
	_, err := t.proposeForCaller(ctx, &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_RecordLife{RecordLife: &egretmuxv1.RecordLife{Life: life, Sequence: sequence}}}, func(job.Result) {
		t.updateCore(func(c *dispatch.Core, _ time.Duration) { c.WorkerResized(life, sequence) })
	})
	return err
}

// handleLeave handles the report of a worker that announces its end. A report
// about a superseded life changes nothing; one without a birth time ends the current
// life.
func (t *tenure) handleLeave(ctx context.Context, target dispatch.Target) error {
	for _, w := range t.book.Workers() {
		if w.Life.GetWorker() == target.Worker && (target.Born == 0 || w.Life.GetBornUnixMs() == target.Born) {
			// A report without a birth time may be late, and then be from an earlier life.
			over := target.Born != 0
			return t.workerLeft(ctx, targetOf(w.Life), over)
		}
	}
	return t.confirm(ctx) // a later leader may know the worker
}

// workerLeft ends the life of a worker that has announced its end, at once if no runs are there. Otherwise
// it gets no new ones, and its life ends when they have.
func (t *tenure) workerLeft(ctx context.Context, w dispatch.Target, over bool) error {
	mayRun := false
	t.updateCore(func(c *dispatch.Core, now time.Duration) {
		c.WorkerDraining(w, 0, now) // from now on it gets no starts
		mayRun = c.MayRun(w)
		c.RetireLeft(w) // if it has no runs, none may be taken in while the end of its life is being stored
	})
	if !mayRun {
		return t.retireLeft(ctx, w, over)
	}
	_, err := t.proposeForCaller(ctx, &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{
		EndLife: &egretmuxv1.EndLife{Worker: w.Worker, BornUnixMs: w.Born, Draining: true},
	}}, func(job.Result) {
		t.updateCore(func(c *dispatch.Core, now time.Duration) { c.WorkerLeft(w, over, now) })
	})
	return err
}
