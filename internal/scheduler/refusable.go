package scheduler

import (
	"context"

	"github.com/egretmux/egretmux/internal/refusal"
)

// isRefusable reports whether a submit may be refused for good. A repeated one may not be
// while the first may have been stored: in this tenure or, as this instance may have been
// replaced as the leader, by another one.
func (t *tenure) isRefusable(ctx context.Context, id string) (bool, error) {
	if t.isKnown(id) {
		return false, nil
	}
	if err := t.confirm(ctx); err != nil {
		return false, err
	}
	return !t.isKnown(id), nil
}

// isKnown reports whether the job is stored or being stored. It looks in the opposite order,
// as a job may be stored in between.
func (t *tenure) isKnown(id string) bool { return t.isBeingStored(id) || t.isStored(id) }

// isBeingStored reports whether a submit of the job was accepted in this tenure and is not
// stored yet. The outcome of a repeated one is that of the first.
func (t *tenure) isBeingStored(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.proposed[id] > 0 || t.core.IsAdmitted(id)
}

// beginStoring records that a submit of the job is being proposed.
func (t *tenure) beginStoring(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.proposed[id]++
}

// endStoring records the outcome of a proposed submit. While that is unknown, the job counts
// as being stored until the tenure ends.
func (t *tenure) endStoring(id string, err error) {
	if err != nil && refusal.Of(err).Ran == refusal.Unknown {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.proposed[id]--; t.proposed[id] == 0 {
		delete(t.proposed, id)
	}
}
