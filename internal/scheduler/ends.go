package scheduler

import (
	"context"
	"sync"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

// endsBatchPause is the minimum time between two commands that store ends. It is
// shorter than a commit, and lets the ends of many workers share one command.
const endsBatchPause = 4 * time.Millisecond

// endsStoreTimeout bounds the wait for listed ends to be stored before the next poll;
// a commit takes some tens of milliseconds.
const endsStoreTimeout = time.Second

// endsQueue holds listed ends of runs until they are stored in the log.
type endsQueue struct {
	mu      sync.Mutex
	waiting []dispatch.EndBatch
	wake    chan struct{} // signals that ends wait
}

func newEndsQueue() *endsQueue { return &endsQueue{wake: make(chan struct{}, 1)} }

func (q *endsQueue) add(more []dispatch.EndBatch) {
	if len(more) == 0 {
		return
	}
	q.mu.Lock()
	q.waiting = append(q.waiting, more...)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// drain removes and returns all waiting ends.
func (q *endsQueue) drain() []dispatch.EndBatch {
	q.mu.Lock()
	defer q.mu.Unlock()
	drained := q.waiting
	q.waiting = nil
	return drained
}

func (t *tenure) storeEndsLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.endsQueue.wake:
		}
		if batch := t.endsQueue.drain(); len(batch) > 0 {
			go t.storeEnds(batch)
		}
		time.Sleep(endsBatchPause)
	}
}

// storeEnds commits ends and then reports them to the core. A failed proposal is not
// repeated: it means that the term is over, and the workers list the ends again to
// the next leader.
func (t *tenure) storeEnds(batch []dispatch.EndBatch) {
	stored := &egretmuxv1.NoteEnds{}
	for _, b := range batch {
		stored.Ends = append(stored.Ends, b.Ends...)
	}
	if len(stored.GetEnds()) > 0 {
		if _, err := t.propose(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_NoteEnds{NoteEnds: stored}}); err != nil {
			t.cfg.Logger.Warn().Err(err).Str("event", "ends_not_noted").Int("workers", len(batch)).Int("ends", len(stored.GetEnds())).Msg("")
			return
		}
	}
	batchPollers := make([]*poller, 0, len(batch))
	t.updateCore(func(c *dispatch.Core, now time.Duration) {
		for _, b := range batch {
			c.EndsStored(b.Target, b.Cursor, b.Ends, now)
			for _, e := range b.Ends {
				t.markEnded(e.GetJob())
			}
			batchPollers = append(batchPollers, t.pollers[b.Target])
		}
	})
	for _, p := range batchPollers {
		p.signalEndsStored()
	}
}
