package scheduler

import (
	"context"
	"sync"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

// notePause is the least time between two commands that note ends; it is below
// the time of a commit, so that ends of many workers share one.
const notePause = 4 * time.Millisecond

// notedWait is how long a look waits for the ends just listed to become durable;
// a commit takes some tens of milliseconds.
const notedWait = time.Second

// notes are the ends that wait to be made durable.
type notes struct {
	mu      sync.Mutex
	waiting []dispatch.EndBatch
	wake    chan struct{}
}

func newNotes() *notes { return &notes{wake: make(chan struct{}, 1)} }

func (n *notes) add(more []dispatch.EndBatch) {
	if len(more) == 0 {
		return
	}
	n.mu.Lock()
	n.waiting = append(n.waiting, more...)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *notes) take() []dispatch.EndBatch {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := n.waiting
	n.waiting = nil
	return out
}

func (t *tenure) noteLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.notes.wake:
		}
		if batch := t.notes.take(); len(batch) > 0 {
			go t.note(batch)
		}
		time.Sleep(notePause)
	}
}

// note makes ends durable. Within the term a proposal is answered; afterwards
// the next leader reads the ends again.
func (t *tenure) note(batch []dispatch.EndBatch) {
	all := &egretmuxv1.NoteEnds{}
	for _, n := range batch {
		all.Ends = append(all.Ends, n.Ends...)
	}
	if len(all.GetEnds()) > 0 {
		if _, err := t.propose(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_NoteEnds{NoteEnds: all}}); err != nil {
			t.cfg.Logger.Warn().Err(err).Str("event", "ends_not_noted").Int("workers", len(batch)).Int("ends", len(all.GetEnds())).Msg("")
			return
		}
	}
	lookers := make([]*looker, 0, len(batch))
	t.do(func(c *dispatch.Core, now time.Duration) {
		for _, n := range batch {
			c.EndsStored(n.Target, n.Cursor, n.Ends, now)
			for _, e := range n.Ends {
				t.markOver(e.GetJob())
			}
			lookers = append(lookers, t.look[n.Target])
		}
	})
	for _, l := range lookers {
		l.wake()
	}
}
