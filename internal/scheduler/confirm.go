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

// confirmQueue holds the callers that wait for the next confirmation of leadership,
// which must begin after their request.
type confirmQueue struct {
	mu      sync.Mutex
	waiting []chan error
	wake    chan struct{} // requests a confirmation; nil until confirmLoop runs
}

// confirm blocks until a quorum has confirmed this instance's leadership in a round
// that began after the call.
func (t *tenure) confirm(ctx context.Context) error {
	done := make(chan error, 1)
	t.confirmations.mu.Lock()
	t.confirmations.waiting = append(t.confirmations.waiting, done)
	if t.confirmations.wake != nil {
		select {
		case t.confirmations.wake <- struct{}{}:
		default:
		}
	}
	t.confirmations.mu.Unlock()
	select {
	case err := <-done:
		if err != nil {
			return noLeader().WithCause(err)
		}
		return nil
	case <-ctx.Done():
		return noLeader().WithCause(ctx.Err())
	case <-t.ctx.Done():
		return noLeader()
	}
}

// confirmedRecently reports whether the last confirmation of leadership is still
// valid. If it is not, the instance must not answer as the leader: its replica may
// hang, as on a blocked disk, while another instance already leads.
func (t *tenure) confirmedRecently() bool {
	return t.cfg.Clock()-time.Duration(t.lastConfirmed.Load()) < confirmValidity
}

// overloaded reports whether this instance falls behind, which shows in slow
// confirmations that wait for the processor. New jobs are refused then, so that
// accepted ones are served.
func (t *tenure) overloaded() bool {
	return time.Duration(t.confirmLatency.Load()+t.planLatency.Load()) > overloadConfirmThreshold
}

// HandOver begins to transfer leadership to the replica with the most complete log, if
// this one leads. It fails if the replica does not react before ctx is done.
func HandOver(ctx context.Context, node *consensus.Node) error {
	return node.Do(ctx, func(c *core.Core) error { // a replica that does not lead has nothing to hand over
		if to := c.Successor(); to != 0 {
			c.TransferLeadership(to)
		}
		return nil
	})
}

// requestConfirmation triggers a confirmation, after a sign that leadership may be
// lost.
func (t *tenure) requestConfirmation() {
	t.confirmations.mu.Lock()
	defer t.confirmations.mu.Unlock()
	select {
	case t.confirmations.wake <- struct{}{}:
	default:
	}
}

// noteConfirmed passes a confirmation on to the core without waiting for it: while the planner is slow, leadership
// goes on being confirmed, and calls that need no planner are answered. Only confirmLoop calls it.
func (t *tenure) noteConfirmed(began time.Duration) {
	select {
	case <-t.confirmed: // the core needs only the latest
	default:
	}
	t.unknownSince.CompareAndSwap(0, int64(t.now()))
	t.confirmed <- began
}

// awaitCore gives the core a moment to learn of the confirmation, so that confirmations are not more frequent than
// it can take them.
func (t *tenure) awaitCore() {
	wait := time.NewTimer(maxCoreWait)
	defer wait.Stop()
	select {
	case <-t.coreKnows:
	case <-wait.C:
	case <-t.ctx.Done():
	}
}

// plannerStalled returns for how long the core has not learned of a confirmation; zero if it knows the latest.
func (t *tenure) plannerStalled() time.Duration {
	if since := t.unknownSince.Load(); since != 0 {
		return t.now() - time.Duration(since)
	}
	return 0
}

// extendLeasesLoop tells the core of confirmations, from which leases run.
func (t *tenure) extendLeasesLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case began := <-t.confirmed:
			waited := t.now()
			t.updateCore(func(c *dispatch.Core, _ time.Duration) { c.LeaderConfirmed(began) })
			t.unknownSince.Store(0)
			select {
			case t.coreKnows <- struct{}{}:
			default:
			}
			took := t.now() - waited
			telemetry.ObserveSeconds("planner_wait", took)
			t.planLatency.Store(int64(took))
			if took > plannerSlowThreshold {
				t.cfg.Logger.Warn().Str("event", "planner_slow").Uint64("term", t.term).Int64("age_ms", took.Milliseconds()).Msg("decisions waited for the planner")
			}
		}
	}
}

// confirmLoop confirms leadership periodically and on request.
func (t *tenure) confirmLoop(ctx context.Context) {
	wake := make(chan struct{}, 1)
	t.confirmations.mu.Lock()
	t.confirmations.wake = wake
	if len(t.confirmations.waiting) > 0 {
		wake <- struct{}{}
	}
	t.confirmations.mu.Unlock()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-timer.C:
		}
		t.confirmations.mu.Lock()
		waiting := t.confirmations.waiting
		t.confirmations.waiting = nil
		t.confirmations.mu.Unlock()
		began, clockBegan := t.now(), t.cfg.Clock()
		err := t.node.ConfirmLeader(ctx)
		if err == nil {
			t.lastConfirmed.Store(int64(clockBegan))
			t.noteConfirmed(began)
		}
		for _, w := range waiting {
			w <- err
		}
		took := t.now() - began
		telemetry.ObserveSeconds("confirm", took)
		t.confirmLatency.Store(int64(took))
		t.awaitCore()
		timer.Reset(confirmPeriod)
		time.Sleep(confirmPause)
	}
}
