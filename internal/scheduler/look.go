package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// looker watches one worker.
type looker struct {
	stop  context.CancelFunc
	noted chan struct{} // ends have become durable

	mu   sync.Mutex
	drop context.CancelFunc // gives up the look on its way
}

// again gives up the look on its way, so that the next one is sent at once.
func (l *looker) again() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.drop != nil {
		l.drop()
	}
}

// begin returns the context of a look that again gives up.
func (l *looker) begin(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop = cancel
	return ctx, cancel
}

func (l *looker) wake() {
	if l == nil {
		return
	}
	select {
	case l.noted <- struct{}{}:
	default:
	}
}

// startLooking begins to watch a worker. The caller holds mu.
func (t *tenure) startLooking(target dispatch.Target) {
	if t.look[target] != nil {
		return
	}
	ctx, stop := context.WithCancel(t.ctx)
	l := &looker{stop: stop, noted: make(chan struct{}, 1)}
	t.look[target] = l
	t.watched.Store(int64(len(t.look)))
	go func() {
		defer stop()
		t.watch(ctx, target, l)
		t.mu.Lock()
		if t.look[target] == l {
			delete(t.look, target)
			t.watched.Store(int64(len(t.look)))
		}
		t.mu.Unlock()
		t.cfg.Workers.Release(target)
	}()
}

// watch looks at a worker until its life is over. Each look waits for an end,
// and renews the lease.
func (t *tenure) watch(ctx context.Context, target dispatch.Target, l *looker) {
	wait := time.Duration(0) // the first look only reads
	for ctx.Err() == nil {
		t.mu.Lock()
		known := t.core.Knows(target)
		until, cursor := t.core.GrantLease(target)
		withholds := t.core.HasWithheldEnd(target)
		if wait > 0 && t.core.NeedsFrequentPolls(target) {
			wait = watchWait
		}
		t.mu.Unlock()
		if !known {
			return
		}
		asked := t.now()
		once, end := l.begin(ctx)
		listing, result := t.lookOnce(once, Look{Target: target, Fence: t.term, LeaseUntil: until, Cursor: cursor, Wait: wait})
		dropped := once.Err() != nil
		end()
		if ctx.Err() != nil {
			return
		}
		if dropped && result != LookAnswered {
			wait = 0
			continue
		}
		pause := lookPause
		if withholds {
			pause = withheldPause
		}
		switch result {
		case LookAnswered:
			wait = lookWait
			t.do(func(c *dispatch.Core, now time.Duration) { c.HandleListing(target, asked, now, listing) })
			if t.unnoted(target) {
				pause = 0
				t.awaitNoted(ctx, l)
			}
		case LookAnotherLife:
			if err := t.retire(target, "another-life"); err != nil {
				t.cfg.Logger.Warn().Err(err).Str("event", "worker_not_retired").Str("worker", target.Worker).Msg("")
			}
			pause = lookRetryPause
		default:
			telemetry.CountRetry("worker-silent")
			if result == LookFenced {
				t.recheck()
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

func (t *tenure) lookOnce(ctx context.Context, l Look) (dispatch.Listing, LookResult) {
	ctx, cancel := context.WithTimeout(ctx, l.Wait+t.answerWait())
	defer cancel()
	return t.cfg.Workers.Look(ctx, l)
}

// unnoted reports whether ends of the worker are on their way to the log.
func (t *tenure) unnoted(target dispatch.Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.StoringEnds(target)
}

// awaitNoted waits until the ends just listed are durable, so that the next
// look does not list them again.
func (t *tenure) awaitNoted(ctx context.Context, l *looker) {
	limit := time.NewTimer(notedWait)
	defer limit.Stop()
	select {
	case <-l.noted:
	case <-limit.C:
	case <-ctx.Done():
	}
}
