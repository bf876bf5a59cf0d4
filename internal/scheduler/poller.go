package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// poller polls one worker.
type poller struct {
	stop       context.CancelFunc
	endsStored chan struct{} // signals that ends listed by this worker are stored

	mu         sync.Mutex
	cancelPoll context.CancelFunc // cancels the poll in flight
}

// restartPoll cancels the poll in flight, so that the next one is sent at once.
func (p *poller) restartPoll() {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancelPoll != nil {
		p.cancelPoll()
	}
}

// startPoll returns the context of a poll, which restartPoll cancels.
func (p *poller) startPoll(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelPoll = cancel
	return ctx, cancel
}

func (p *poller) signalEndsStored() {
	if p == nil {
		return
	}
	select {
	case p.endsStored <- struct{}{}:
	default:
	}
}

// startPoller starts polling a worker unless it is polled already. The caller
// holds mu.
func (t *tenure) startPoller(target dispatch.Target) {
	if t.pollers[target] != nil {
		return
	}
	ctx, stop := context.WithCancel(t.ctx)
	p := &poller{stop: stop, endsStored: make(chan struct{}, 1)}
	t.pollers[target] = p
	t.workerCount.Store(int64(len(t.pollers)))
	go func() {
		defer stop()
		t.pollWorker(ctx, target, p)
		t.mu.Lock()
		if t.pollers[target] == p {
			delete(t.pollers, target)
			t.workerCount.Store(int64(len(t.pollers)))
		}
		t.mu.Unlock()
		t.cfg.WorkerClient.Release(target)
	}()
}

// pollWorker polls a worker until its life is over. Each poll is a long poll: it
// waits for the end of a run, and renews the lease.
func (t *tenure) pollWorker(ctx context.Context, target dispatch.Target, p *poller) {
	wait := time.Duration(0) // the first poll does not wait for an end
	for ctx.Err() == nil {
		t.mu.Lock()
		known := t.core.Knows(target)
		until, cursor := t.core.GrantLease(target)
		withholds := t.core.HasWithheldEnd(target)
		if wait > 0 && t.core.NeedsFrequentPolls(target) {
			wait = frequentPollWait
		}
		t.mu.Unlock()
		if !known {
			return
		}
		asked := t.now()
		pollCtx, cancelPoll := p.startPoll(ctx)
		listing, result := t.sendPoll(pollCtx, Poll{Target: target, Fence: t.term, LeaseUntil: until, Cursor: cursor, Wait: wait})
		cancelled := pollCtx.Err() != nil
		cancelPoll()
		if ctx.Err() != nil {
			return
		}
		if cancelled && result != PollAnswered {
			wait = 0
			continue
		}
		pause := pollPause
		if withholds {
			pause = withheldPause
		}
		switch result {
		case PollAnswered:
			wait = pollWait
			unconfirmed := false
			t.updateCore(func(c *dispatch.Core, now time.Duration) {
				c.HandleListing(target, asked, now, listing)
				unconfirmed = c.NeedsConfirmation(target)
			})
			if unconfirmed {
				t.requestConfirmation()
			}
			if t.hasUnstoredEnds(target) {
				pause = 0
				t.awaitEndsStored(ctx, p)
			}
		case PollAnotherIncarnation:
			t.retireAnotherLife(target)
			pause = pollRetryPause
		default:
			telemetry.CountRetry("worker-silent")
			if result == PollStaleFence {
				t.requestConfirmation()
			}
			wait = 0
			pause = pollRetryPause
			t.updateCore(func(c *dispatch.Core, _ time.Duration) { c.PollUnanswered(target) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// retireAnotherLife ends a life in whose place another one has answered.
func (t *tenure) retireAnotherLife(target dispatch.Target) {
	if err := t.retireCrashed(t.ctx, target, "another-life"); err != nil {
		t.cfg.Logger.Warn().Err(err).Str("event", "worker_not_retired").Str("worker", target.Worker).Msg("the end of the worker's life was not stored")
	}
}

func (t *tenure) sendPoll(ctx context.Context, poll Poll) (dispatch.Listing, PollResult) {
	ctx, cancel := context.WithTimeout(ctx, poll.Wait+t.answerWait())
	defer cancel()
	return t.cfg.WorkerClient.Poll(ctx, poll)
}

// hasUnstoredEnds reports whether listed ends of the worker are being stored.
func (t *tenure) hasUnstoredEnds(target dispatch.Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.StoringEnds(target)
}

// awaitEndsStored waits, up to endsStoreTimeout, until the ends just listed are
// stored, so that the next poll does not list them again.
func (t *tenure) awaitEndsStored(ctx context.Context, p *poller) {
	timeout := time.NewTimer(endsStoreTimeout)
	defer timeout.Stop()
	select {
	case <-p.endsStored:
	case <-timeout.C:
	case <-ctx.Done():
	}
}
