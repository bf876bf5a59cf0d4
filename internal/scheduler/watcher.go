package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// watcher polls one worker.
type watcher struct {
	stop        context.CancelFunc
	endsDurable chan struct{} // signals that ends listed by this worker are durable

	mu         sync.Mutex
	cancelLook context.CancelFunc // cancels the look in flight
}

// restartLook cancels the look in flight, so that the next one is sent at once.
func (w *watcher) restartLook() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancelLook != nil {
		w.cancelLook()
	}
}

// startLook returns the context of a look, which restartLook cancels.
func (w *watcher) startLook(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelLook = cancel
	return ctx, cancel
}

func (w *watcher) signalEndsDurable() {
	if w == nil {
		return
	}
	select {
	case w.endsDurable <- struct{}{}:
	default:
	}
}

// startWatcher starts polling a worker unless it is polled already. The caller
// holds mu.
func (t *tenure) startWatcher(target dispatch.Target) {
	if t.watchers[target] != nil {
		return
	}
	ctx, stop := context.WithCancel(t.ctx)
	w := &watcher{stop: stop, endsDurable: make(chan struct{}, 1)}
	t.watchers[target] = w
	t.workerCount.Store(int64(len(t.watchers)))
	go func() {
		defer stop()
		t.watchWorker(ctx, target, w)
		t.mu.Lock()
		if t.watchers[target] == w {
			delete(t.watchers, target)
			t.workerCount.Store(int64(len(t.watchers)))
		}
		t.mu.Unlock()
		t.cfg.WorkerClient.Release(target)
	}()
}

// watchWorker polls a worker until its life is over. Each look is a long poll that
// waits for the end of a run and renews the lease.
func (t *tenure) watchWorker(ctx context.Context, target dispatch.Target, w *watcher) {
	wait := time.Duration(0) // the first look does not wait for an end
	for ctx.Err() == nil {
		t.mu.Lock()
		known := t.core.Knows(target)
		until, cursor := t.core.GrantLease(target)
		withholds := t.core.HasWithheldEnd(target)
		if wait > 0 && t.core.NeedsFrequentPolls(target) {
			wait = watchedLookWait
		}
		t.mu.Unlock()
		if !known {
			return
		}
		asked := t.now()
		lookCtx, cancelLook := w.startLook(ctx)
		listing, result := t.sendLook(lookCtx, Poll{Target: target, Fence: t.term, LeaseUntil: until, Cursor: cursor, Wait: wait})
		cancelled := lookCtx.Err() != nil
		cancelLook()
		if ctx.Err() != nil {
			return
		}
		if cancelled && result != PollAnswered {
			wait = 0
			continue
		}
		pause := lookPause
		if withholds {
			pause = withheldPause
		}
		switch result {
		case PollAnswered:
			wait = lookWait
			t.do(func(c *dispatch.Core, now time.Duration) { c.HandleListing(target, asked, now, listing) })
			if t.hasPendingEnds(target) {
				pause = 0
				t.awaitEndsDurable(ctx, w)
			}
		case PollAnotherLife:
			if err := t.retireWorker(target, "another-life"); err != nil {
				t.cfg.Logger.Warn().Err(err).Str("event", "worker_not_retired").Str("worker", target.Worker).Msg("the end of the worker's life was not stored")
			}
			pause = lookRetryPause
		default:
			telemetry.CountRetry("worker-silent")
			if result == PollStaleFence {
				t.requestConfirmation()
			}
			wait = 0
			pause = lookRetryPause
			t.do(func(c *dispatch.Core, _ time.Duration) { c.PollUnanswered(target) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (t *tenure) sendLook(ctx context.Context, l Poll) (dispatch.Listing, PollResult) {
	ctx, cancel := context.WithTimeout(ctx, l.Wait+t.answerWait())
	defer cancel()
	return t.cfg.WorkerClient.Poll(ctx, l)
}

// hasPendingEnds reports whether listed ends of the worker are being made durable.
func (t *tenure) hasPendingEnds(target dispatch.Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.StoringEnds(target)
}

// awaitEndsDurable waits until the ends just listed are durable, so that the next
// look does not list them again, or until a time-out.
func (t *tenure) awaitEndsDurable(ctx context.Context, w *watcher) {
	timeout := time.NewTimer(endsDurableTimeout)
	defer timeout.Stop()
	select {
	case <-w.endsDurable:
	case <-timeout.C:
	case <-ctx.Done():
	}
}
