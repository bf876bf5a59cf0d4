package job

import (
	"slices"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Bounds of the superseded runs that are remembered.
const (
	maxSupersededLives = 4096 // lives of workers
	maxSupersededRuns  = 500  // of one life, beside those that are forgotten; a listing holds as many ends
)

// supersededRuns remembers, by the life of their worker, the runs whose tasks were started again
// although the runs may have ended unheard. Their ends must never count, and not be acknowledged
// either, whichever instance leads and whatever has become of the job.
type supersededRuns struct {
	byLife map[lifeKey][]RunKey // oldest first
	order  []lifeKey            // oldest first; part of the replicated state
}

// RunKey identifies one run of a task.
type RunKey struct {
	Job                     string
	Occurrence, Step, Index uint32
	Run                     uint64
}

func newSupersededRuns() *supersededRuns {
	return &supersededRuns{byLife: make(map[lifeKey][]RunKey)}
}

// forgotten stands for runs of a life that are no longer remembered one by one: any run may be one of
// them.
var forgotten = RunKey{}

// add remembers a run. Of too many lives the oldest that is not in use is dropped.
func (s *supersededRuns) add(life lifeKey, run RunKey, inUse func(lifeKey) bool) {
	runs, known := s.byLife[life]
	if slices.Contains(runs, run) {
		return
	}
	if !known {
		s.order = append(s.order, life)
		if len(s.order) > maxSupersededLives {
			oldest := max(0, slices.IndexFunc(s.order, func(other lifeKey) bool { return !inUse(other) }))
			delete(s.byLife, s.order[oldest])
			s.order = slices.Delete(s.order, oldest, oldest+1)
		}
	}
	switch {
	case len(runs) > maxSupersededRuns: // the first one is forgotten
		runs[1], runs = forgotten, runs[1:]
	case len(runs) == maxSupersededRuns:
		runs[0] = forgotten
	}
	s.byLife[life] = append(runs, run)
}

// forget removes the runs of a life that is over, which lists nothing any more.
func (s *supersededRuns) forget(life lifeKey) {
	if _, known := s.byLife[life]; !known {
		return
	}
	delete(s.byLife, life)
	s.order = slices.DeleteFunc(s.order, func(other lifeKey) bool { return other == life })
}

func (s *supersededRuns) toProto() []*egretmuxv1.SupersededRecord {
	out := make([]*egretmuxv1.SupersededRecord, 0, len(s.order))
	for _, life := range s.order {
		record := &egretmuxv1.SupersededRecord{Worker: life.worker, BornUnixMs: life.born}
		for _, r := range s.byLife[life] {
			record.Runs = append(record.Runs, &egretmuxv1.TaskRef{Job: r.Job, Occurrence: r.Occurrence, Step: r.Step, Index: r.Index, Run: r.Run})
		}
		out = append(out, record)
	}
	return out
}

func supersededRunsFromProto(in []*egretmuxv1.SupersededRecord) *supersededRuns {
	s := newSupersededRuns()
	for _, record := range in {
		life := lifeKey{record.GetWorker(), record.GetBornUnixMs()}
		s.order = append(s.order, life)
		for _, r := range record.GetRuns() {
			s.byLife[life] = append(s.byLife[life], RunKey{r.GetJob(), r.GetOccurrence(), r.GetStep(), r.GetIndex(), r.GetRun()})
		}
	}
	return s
}

// noteStart stores a start, and the runs that it supersedes. It reports whether the start was new. Starts of a task may be
// stored in another order than they were decided on; the runs that one of them names are superseded in any case.
func (b *Book) noteStart(e *egretmuxv1.RunStart) bool {
	r := b.jobs[e.GetJob()]
	if r == nil || r.Ended() || !r.hasTask(e) {
		return false
	}
	taken := r.applyStart(e)
	for _, superseded := range e.GetSuperseded() {
		life := lifeKey{superseded.GetWorker(), superseded.GetBornUnixMs()}
		if _, over := b.ended.known[life]; !over {
			b.superseded.add(life, RunKey{e.GetJob(), e.GetOccurrence(), e.GetStep(), e.GetIndex(), superseded.GetRun()}, b.inUse)
		}
	}
	return taken
}

// LifeOver reports whether a life of a worker is known to be over.
func (b *Book) LifeOver(worker string, bornUnixMs int64) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	_, over := b.ended.known[lifeKey{worker, bornUnixMs}]
	return over
}

// inUse reports whether a life is that of a worker.
func (b *Book) inUse(life lifeKey) bool {
	w := b.workers[life.worker]
	return w != nil && w.Life.GetBornUnixMs() == life.born
}

// Superseded reports whether a run on a life of a worker was superseded.
func (b *Book) Superseded(worker string, bornUnixMs int64, run RunKey) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return slices.Contains(b.superseded.byLife[lifeKey{worker, bornUnixMs}], run)
}

// ForgotSuperseded reports whether so many runs on a life of a worker were superseded that some are not
// remembered one by one.
func (b *Book) ForgotSuperseded(worker string, bornUnixMs int64) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	runs := b.superseded.byLife[lifeKey{worker, bornUnixMs}]
	return len(runs) > 0 && runs[0] == forgotten
}
