package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/egretmux/egretmux/internal/consensus"
	"github.com/egretmux/egretmux/internal/consensus/core"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/telemetry"
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

// fresh reports whether leadership was confirmed lately. Without that the
// instance answers nothing: its replica may hang, and another one lead.
func (t *tenure) fresh() bool {
	return t.now()-time.Duration(t.lastConfirmed.Load()) < confirmFresh
}

// overloaded reports whether this instance falls behind: its own confirmation
// waits for its processor. New jobs are refused then, so that those accepted
// are served.
func (t *tenure) overloaded() bool {
	return time.Duration(t.confirmTook.Load()) > overloadConfirm
}

// HandOver gives leadership to the replica that has most of the log, if this
// one leads.
func HandOver(ctx context.Context, node *consensus.Node) {
	_ = node.Do(ctx, func(c *core.Core) error { // nothing to hand over when it does not lead
		if to := c.Successor(); to != 0 {
			c.TransferLeadership(to)
		}
		return nil
	})
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
	slow := 0
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
			t.lastConfirmed.Store(int64(began))
			t.do(func(c *dispatch.Core, _ time.Duration) { c.LeaderConfirmed(began) })
		}
		for _, w := range waiting {
			w <- err
		}
		took := t.now() - began
		telemetry.ObserveSeconds("confirm", took)
		t.confirmTook.Store(int64(took))
		// Leadership does not help against load, which moves with it.
		if slow += int(took / slowConfirm); took < slowConfirm || t.node.AppendTime() < slowAppend {
			slow = 0
		}
		if slow >= slowLimit {
			t.cfg.Logger.Warn().Str("event", "leader_slow").Uint64("term", t.term).Int64("age_ms", took.Milliseconds()).Msg("leadership is handed over")
			HandOver(ctx, t.node)
			slow = 0
		}
		timer.Reset(confirmPeriod)
		time.Sleep(confirmPause)
	}
}
