package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/egretmux/egretmux/internal/dispatch"
)

// confirmer gathers those that wait for a confirmation of leadership which
// begins after they asked.
type confirmer struct {
	mu      sync.Mutex
	waiting []chan error
	wake    chan struct{}
}

// confirm returns once a quorum has confirmed, after the call began, that this
// instance leads.
func (t *tenure) confirm(ctx context.Context) error {
	done := make(chan error, 1)
	t.confirms.mu.Lock()
	t.confirms.waiting = append(t.confirms.waiting, done)
	if t.confirms.wake != nil {
		select {
		case t.confirms.wake <- struct{}{}:
		default:
		}
	}
	t.confirms.mu.Unlock()
	select {
	case err := <-done:
		if err != nil {
			return noLeader().Because(err)
		}
		return nil
	case <-ctx.Done():
		return noLeader().Because(ctx.Err())
	case <-t.ctx.Done():
		return noLeader()
	}
}

// recheck has leadership confirmed soon, after a sign that it may be lost.
func (t *tenure) recheck() {
	t.confirms.mu.Lock()
	defer t.confirms.mu.Unlock()
	select {
	case t.confirms.wake <- struct{}{}:
	default:
	}
}

func (t *tenure) confirmLoop(ctx context.Context) {
	wake := make(chan struct{}, 1)
	t.confirms.mu.Lock()
	t.confirms.wake = wake
	if len(t.confirms.waiting) > 0 {
		wake <- struct{}{}
	}
	t.confirms.mu.Unlock()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-timer.C:
		}
		t.confirms.mu.Lock()
		waiting := t.confirms.waiting
		t.confirms.waiting = nil
		t.confirms.mu.Unlock()
		began := t.now()
		err := t.node.ConfirmLeader(ctx)
		if err == nil {
			t.do(func(c *dispatch.Core, _ time.Duration) { c.Confirmed(began) })
		}
		for _, w := range waiting {
			w <- err
		}
		timer.Reset(confirmPeriod)
		time.Sleep(confirmPause)
	}
}
