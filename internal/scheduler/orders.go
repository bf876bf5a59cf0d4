package scheduler

import (
	"context"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Timing of orders to workers.
const (
	orderTimeout       = 700 * time.Millisecond // upper limit of answerWait, and timeout of calls without a shorter one
	minAnswerWait      = 200 * time.Millisecond // lower limit of answerWait; an answer takes some ten milliseconds
	answerWaitFactor   = 8                      // answerWait in multiples of the average start latency
	startLatencyWeight = 1.0 / 16               // weight of one start in the moving average
	stopWait           = 500 * time.Millisecond // timeout of a stop, on all paths together
	stopRetryPause     = 200 * time.Millisecond // shortest time between two tries of a stop
	// gangTryShare is the part of the time in which a member of a gang must have begun after which an
	// unanswered start takes another path.
	gangTryShare = 0.25
)

// storeStarts commits starts. The core then has those sent that are still wanted.
func (t *tenure) storeStarts(starts []dispatch.StartOrder) {
	stored := &egretmuxv1.NoteStarts{}
	for _, s := range starts {
		stored.Starts = append(stored.Starts, &egretmuxv1.RunStart{
			Job: s.Task.Job, Occurrence: s.Task.Occurrence, Step: s.Task.Step, Index: s.Task.Index,
			Run: s.Run, Worker: s.Worker, BornUnixMs: s.Born, Superseded: s.Superseded,
		})
	}
	result, err := t.propose(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_NoteStarts{NoteStarts: stored}})
	if err != nil {
		t.cfg.Logger.Warn().Err(err).Str("event", "starts_not_stored").Int("starts", len(starts)).Msg("")
		return
	}
	if result.NotTaken > 0 {
		t.cfg.Logger.Info().Str("event", "starts_not_taken").Int("starts", result.NotTaken).Msg("their jobs have ended, or later runs of their tasks were stored before")
	}
	t.updateCore(func(c *dispatch.Core, now time.Duration) {
		if t.ctx.Err() == nil {
			c.StartsStored(starts, now)
			return
		}
		for _, s := range starts {
			c.StartStored(s)
			c.StartAnswered(s, dispatch.NotSent, now, now)
		}
	})
}

// sendStart sends a start, repeats it once if it gets no answer, and reports the
// outcome to the core.
func (t *tenure) sendStart(s dispatch.StartOrder) {
	if s.TrialLease > 0 {
		t.mu.Lock()
		s.LeaseUntil = t.core.GrantTrialLease(s, t.now())
		t.mu.Unlock()
		if s.LeaseUntil == 0 {
			t.updateCore(func(c *dispatch.Core, now time.Duration) { c.StartAnswered(s, dispatch.NotSent, now, now) })
			return
		}
	}
	sent := t.now()
	wait := t.answerWait()
	if s.AnswerBy > 0 {
		wait = min(wait, time.Duration(gangTryShare*float64(s.AnswerBy)))
	}
	answer, clock := t.tryStart(s, wait)
	repeated := answer == dispatch.Unanswered && t.stillWanted(s)
	if repeated {
		wait = orderTimeout
		if s.AnswerBy > 0 {
			wait = min(wait, max(minAnswerWait, s.AnswerBy-(t.now()-sent)))
		}
		answer, clock = t.repeatStart(s, wait)
	}
	anotherLife := answer == dispatch.AnotherIncarnation
	if clock != 0 && clock < s.Clock {
		// The clock went back: another life of the worker accepted the order.
		t.undoStart(s)
		answer, anotherLife = dispatch.AnotherIncarnation, true
	}
	if anotherLife && repeated {
		answer = dispatch.Unanswered // the first try may have crashed the life that is gone
	}
	took := t.now() - sent
	telemetry.ObserveSeconds("worker_start", took)
	t.startLatency.Store(t.startLatency.Load() + int64(float64(int64(took)-t.startLatency.Load())*startLatencyWeight))
	t.updateCore(func(c *dispatch.Core, now time.Duration) { c.StartAnswered(s, answer, sent, now) })
	if anotherLife {
		t.retireAnotherLife(s.Target)
	}
	if answer == dispatch.StaleFence {
		t.requestConfirmation()
	}
}

// stillWanted reports whether the core still wants the start in this tenure.
func (t *tenure) stillWanted(s dispatch.StartOrder) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ctx.Err() == nil && t.core.StartWanted(s)
}

func (t *tenure) tryStart(s dispatch.StartOrder, timeout time.Duration) (dispatch.StartResult, int64) {
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	defer cancel()
	return t.cfg.WorkerClient.Start(ctx, s, t.term)
}

// answerWait returns the time-out of a call to a worker that can be repeated.
func (t *tenure) answerWait() time.Duration {
	return min(orderTimeout, max(minAnswerWait, answerWaitFactor*time.Duration(t.startLatency.Load())))
}

// repeatStart sends an unanswered start again; a worker accepts each run only once.
// A refusal counts as no answer, as the first try may still be carried out.
func (t *tenure) repeatStart(s dispatch.StartOrder, wait time.Duration) (dispatch.StartResult, int64) {
	telemetry.CountRetry("start-unanswered")
	s.Repeated = true
	answer, clock := t.tryStart(s, wait)
	switch answer {
	case dispatch.Accepted, dispatch.AnotherIncarnation, dispatch.Unanswered:
		return answer, clock
	}
	return dispatch.Unanswered, clock
}

// undoStart stops a run that another life of the worker may have begun. It returns
// once that life has answered or its lease must have expired.
func (t *tenure) undoStart(s dispatch.StartOrder) {
	deadline := t.now() + t.cfg.Lease
	for t.ctx.Err() == nil && t.now() < deadline {
		ctx, cancel := context.WithTimeout(t.ctx, stopWait)
		answered := t.cfg.WorkerClient.Stop(ctx, dispatch.StopOrder{Target: s.Target, Task: s.Task, Run: s.Run}, t.term)
		cancel()
		if answered {
			return
		}
		time.Sleep(stopRetryPause)
	}
}

func (t *tenure) sendStop(s dispatch.StopOrder) {
	ctx, cancel := context.WithTimeout(t.ctx, stopWait)
	defer cancel()
	sent := t.now()
	answered := t.cfg.WorkerClient.Stop(ctx, s, t.term)
	if !answered { // delays the report, upon which the core repeats the stop at once
		time.Sleep(stopRetryPause - (t.now() - sent))
	}
	if t.ctx.Err() != nil {
		return
	}
	t.updateCore(func(c *dispatch.Core, now time.Duration) {
		if c.StopAnswered(s, answered, now) {
			t.pollers[s.Target].restartPoll()
		}
	})
}

func (t *tenure) sendPace(p dispatch.PaceOrder) {
	ctx, cancel := context.WithTimeout(t.ctx, orderTimeout)
	defer cancel()
	answered := t.cfg.WorkerClient.Pace(ctx, p, t.term)
	t.updateCore(func(c *dispatch.Core, _ time.Duration) { c.PaceAnswered(p, answered) })
}
