package scheduler

import (
	"context"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Times of orders to workers.
const (
	orderTimeout   = 700 * time.Millisecond // for the last answer that is waited for
	minAnswerWait  = 200 * time.Millisecond // for an answer to a call that can be made again; it takes some ten milliseconds
	answerWaits    = 8                      // times what starts take of late
	startGain      = 1.0 / 16               // weight of one start in what they take of late
	stopRetryPause = 200 * time.Millisecond
)

// storeStarts makes starts durable and then sends them.
func (t *tenure) storeStarts(starts []dispatch.Start) {
	stored := &egretmuxv1.NoteStarts{}
	for _, s := range starts {
		stored.Starts = append(stored.Starts, &egretmuxv1.RunStart{
			Job: s.Task.Job, Occurrence: s.Task.Occurrence, Step: s.Task.Step, Index: s.Task.Index,
			Run: s.Run, Worker: s.Worker, BornUnixMs: s.Born,
		})
	}
	if _, err := t.propose(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_NoteStarts{NoteStarts: stored}}); err != nil {
		t.cfg.Logger.Warn().Err(err).Str("event", "starts_not_stored").Int("starts", len(starts)).Msg("")
		return
	}
	for _, s := range starts {
		if !t.wanted(s) {
			t.do(func(c *dispatch.Core, now time.Duration) { c.StartAnswered(s, dispatch.NotSent, now, now) })
			continue
		}
		go t.sendStart(s)
	}
}

func (t *tenure) sendStart(s dispatch.Start) {
	sent := t.now()
	answer, clock := t.tryStart(s, t.answerWait())
	if answer == dispatch.Unanswered && t.wanted(s) {
		answer, clock = t.repeatStart(s)
	}
	if clock != 0 && clock < s.Clock {
		// The clock began anew: another life of the worker took the order.
		t.undoStart(s)
		answer = dispatch.AnotherLife
	}
	took := t.now() - sent
	telemetry.ObserveSeconds("worker_start", took)
	t.startTook.Store(t.startTook.Load() + int64(float64(int64(took)-t.startTook.Load())*startGain))
	t.do(func(c *dispatch.Core, now time.Duration) {
		c.StartAnswered(s, answer, sent, now)
		if answer == dispatch.AnotherLife {
			c.WorkerGone(s.Target, "another-life")
		}
	})
	if answer == dispatch.StaleFence {
		t.recheck()
	}
}

func (t *tenure) wanted(s dispatch.Start) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ctx.Err() == nil && t.core.StartWanted(s)
}

func (t *tenure) tryStart(s dispatch.Start, limit time.Duration) (dispatch.StartResult, int64) {
	ctx, cancel := context.WithTimeout(t.ctx, limit)
	defer cancel()
	return t.cfg.Workers.Start(ctx, s, t.term)
}

// answerWait is how long a worker's answer is waited for, where the call can be
// made again.
func (t *tenure) answerWait() time.Duration {
	return min(orderTimeout, max(minAnswerWait, answerWaits*time.Duration(t.startTook.Load())))
}

// repeatStart sends a start again that got no answer: the worker takes a run only
// once. A refusal does not tell what becomes of the first try.
func (t *tenure) repeatStart(s dispatch.Start) (dispatch.StartResult, int64) {
	telemetry.CountRetry("start-unanswered")
	answer, clock := t.tryStart(s, orderTimeout)
	switch answer {
	case dispatch.Accepted, dispatch.AnotherLife, dispatch.Unanswered:
		return answer, clock
	}
	return dispatch.Unanswered, clock
}

// undoStart stops a run that another life of the worker may have begun. It
// returns once that life has answered, or no lease of it can hold.
func (t *tenure) undoStart(s dispatch.Start) {
	limit := t.now() + t.cfg.Lease
	for t.ctx.Err() == nil && t.now() < limit {
		ctx, cancel := context.WithTimeout(t.ctx, orderTimeout)
		answered := t.cfg.Workers.Stop(ctx, dispatch.Stop{Target: s.Target, Task: s.Task, Run: s.Run}, t.term)
		cancel()
		if answered {
			return
		}
		time.Sleep(stopRetryPause)
	}
}

func (t *tenure) sendStop(s dispatch.Stop) {
	ctx, cancel := context.WithTimeout(t.ctx, t.answerWait())
	defer cancel()
	answered := t.cfg.Workers.Stop(ctx, s, t.term)
	if !answered {
		time.Sleep(stopRetryPause)
	}
	if t.ctx.Err() != nil {
		return
	}
	t.do(func(c *dispatch.Core, now time.Duration) {
		if c.StopAnswered(s, answered, now) {
			t.look[s.Target].again()
		}
	})
}

func (t *tenure) sendPace(p dispatch.Pace) {
	ctx, cancel := context.WithTimeout(t.ctx, orderTimeout)
	defer cancel()
	answered := t.cfg.Workers.Pace(ctx, p, t.term)
	t.do(func(c *dispatch.Core, _ time.Duration) { c.PaceAnswered(p, answered) })
}
