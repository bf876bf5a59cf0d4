package job

import (
	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// MaxWithdrawn is the number of withdrawn jobs that are remembered at a time. The cancellation of
// another job that is not known is then not acknowledged.
const MaxWithdrawn = 1 << 16

// JobKey identifies a job that may not be known, by the queue through which it is submitted.
type JobKey struct{ Host, Prefix, ID string }

// withdrawnJobs are the jobs that were cancelled while they were not known. A submit of one may
// still be on its way, through an instance that stands still, and would be carried out after its
// cancellation was acknowledged. Each has the index of the log entry that withdrew it last, so that
// one that is withdrawn again while it is being forgotten stays.
type withdrawnJobs map[JobKey]uint64

// withdraw remembers a job that is not known. It reports whether there was room for it.
func (b *Book) withdraw(index uint64, c *egretmuxv1.CancelJob) bool {
	key := JobKey{c.GetHost(), c.GetPrefix(), c.GetJob()}
	if key.Prefix == "" { // of an earlier release
		return true
	}
	if _, known := b.withdrawn[key]; !known && len(b.withdrawn) >= MaxWithdrawn {
		return false
	}
	b.withdrawn[key] = index
	return true
}

// forgetWithdrawn forgets a job unless it was withdrawn again since.
func (b *Book) forgetWithdrawn(w *egretmuxv1.WithdrawnJob) {
	key := JobKey{w.GetHost(), w.GetPrefix(), w.GetJob()}
	if b.withdrawn[key] == w.GetIndex() {
		delete(b.withdrawn, key)
	}
}

// IsWithdrawn reports whether a job was cancelled while it was not known.
func (b *Book) IsWithdrawn(key JobKey) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	_, withdrawn := b.withdrawn[key]
	return withdrawn
}

// Withdrawn returns the jobs that were cancelled while they were not known, in no order.
func (b *Book) Withdrawn() []*egretmuxv1.WithdrawnJob {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.withdrawn.toProto()
}

func (w withdrawnJobs) toProto() []*egretmuxv1.WithdrawnJob {
	out := make([]*egretmuxv1.WithdrawnJob, 0, len(w))
	for key, index := range w {
		out = append(out, &egretmuxv1.WithdrawnJob{Host: key.Host, Prefix: key.Prefix, Job: key.ID, Index: index})
	}
	return out
}

func withdrawnJobsFromProto(in []*egretmuxv1.WithdrawnJob) withdrawnJobs {
	out := make(withdrawnJobs, len(in))
	for _, w := range in {
		out[JobKey{w.GetHost(), w.GetPrefix(), w.GetJob()}] = w.GetIndex()
	}
	return out
}
