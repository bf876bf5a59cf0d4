// Package job defines jobs of steps, the rules for accepting them and the stored
// progress of each task. Book is the replicated state machine.
package job

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Worker is the stored life of a worker: one incarnation of its process.
type Worker struct {
	Life     *egretmuxv1.WorkerLife
	Draining bool
	Sequence uint64 // of the heartbeat that Life is from
}

// Book is the replicated state: the catalogue in force, the jobs, the upkeep waves,
// and the lives of workers on which runs may have been started. Only the goroutine
// of the log writes to it.
type Book struct {
	mu        sync.RWMutex
	catalogue *Catalogue
	jobs      map[string]*Record
	workers   map[string]*Worker
	ended     *endedLives

	superseded *supersededRuns
	withdrawn  withdrawnJobs
	waves      map[uint64]*egretmuxv1.Wave
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{jobs: make(map[string]*Record), workers: make(map[string]*Worker), ended: newEndedLives(), superseded: newSupersededRuns(), withdrawn: make(withdrawnJobs), waves: make(map[uint64]*egretmuxv1.Wave)}
}

// Result is the outcome of an applied command.
type Result struct {
	Known       bool                // submit, cancel: the job exists; wave: it exists; catalogue: this or a higher version is in force
	Conflict    bool                // the catalogue in force has the same version but other content
	Outdated    bool                // life: it is over
	Withdrawn   bool                // submit: the job was cancelled before, and is not accepted
	Full        bool                // cancel: the job is not known, and could not be withdrawn
	WithdrawnAt uint64              // cancel: index of the log entry that withdrew the job, as it is not known
	NotTaken    int                 // starts: how many changed nothing, as their job has ended or a later run was stored before
	Phase       egretmuxv1.JobPhase // submit, cancel: of the known job; unspecified until it has ended
}

// Apply implements consensus.StateMachine.
func (b *Book) Apply(index uint64, data []byte) any {
	cmd := &egretmuxv1.JobCommand{}
	if err := proto.Unmarshal(data, cmd); err != nil {
		return errors.Wrap(err, "the log holds a command that cannot be read; all instances must run the same release")
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch c := cmd.GetCommand().(type) {
	case *egretmuxv1.JobCommand_Submit:
		return b.submitJob(c.Submit.GetJob())
	case *egretmuxv1.JobCommand_Cancel:
		return b.cancelJob(index, c.Cancel)
	case *egretmuxv1.JobCommand_PutCatalogue:
		return b.putCatalogue(c.PutCatalogue.GetCatalogue())
	case *egretmuxv1.JobCommand_NoteEnds:
		for _, e := range c.NoteEnds.GetEnds() {
			if r := b.jobs[e.GetJob()]; r != nil {
				r.applyEnd(e)
			}
		}
	case *egretmuxv1.JobCommand_NoteStarts:
		notTaken := 0
		for _, e := range c.NoteStarts.GetStarts() {
			if !b.noteStart(e) {
				notTaken++
			}
		}
		return Result{NotTaken: notTaken}
	case *egretmuxv1.JobCommand_RecordLife:
		return b.recordLife(c.RecordLife)
	case *egretmuxv1.JobCommand_EndLife:
		b.endLife(c.EndLife)
	case *egretmuxv1.JobCommand_PutWave:
		return b.putWave(c.PutWave.GetWave())
	case *egretmuxv1.JobCommand_MarkWave:
		b.markWave(c.MarkWave)
	case *egretmuxv1.JobCommand_ForgetJobs:
		for _, id := range c.ForgetJobs.GetJobs() {
			if r := b.jobs[id]; r != nil && r.Ended() {
				delete(b.jobs, id)
			}
		}
		for _, w := range c.ForgetJobs.GetWithdrawn() {
			b.forgetWithdrawn(w)
		}
	}
	return Result{}
}

func (b *Book) submitJob(j *egretmuxv1.Job) Result {
	if r := b.jobs[j.GetId()]; r != nil {
		return Result{Known: true, Phase: r.Phase}
	}
	if _, withdrawn := b.withdrawn[JobKey{j.GetHost(), j.GetPrefix(), j.GetId()}]; withdrawn {
		return Result{Withdrawn: true}
	}
	b.jobs[j.GetId()] = newRecord(j)
	return Result{}
}

func (b *Book) cancelJob(index uint64, c *egretmuxv1.CancelJob) Result {
	r := b.jobs[c.GetJob()]
	if r == nil {
		if !b.withdraw(index, c) {
			return Result{Full: true}
		}
		return Result{WithdrawnAt: index}
	}
	if !r.Ended() {
		r.finish(egretmuxv1.JobPhase_JOB_PHASE_CANCELLED)
	}
	return Result{Known: true, Phase: r.Phase}
}

// CompareCatalogue returns what putting a catalogue would result in if it changes nothing, and an
// empty result if it would be put in force.
func (b *Book) CompareCatalogue(c *egretmuxv1.Catalogue) Result {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.compareCatalogue(c)
}

func (b *Book) compareCatalogue(c *egretmuxv1.Catalogue) Result {
	if b.catalogue == nil || c.GetVersion() > b.catalogue.Version {
		return Result{}
	}
	return Result{Known: true, Conflict: c.GetVersion() == b.catalogue.Version && !b.catalogue.sameSource(c)}
}

func (b *Book) putCatalogue(c *egretmuxv1.Catalogue) Result {
	if result := b.compareCatalogue(c); result.Known {
		return result
	}
	b.keepRemovedCustomers(c)
	b.catalogue = NewCatalogue(c)
	return Result{}
}

// recordLife stores a new life of a worker, or what a later heartbeat of the stored life
// says, such as another capacity. A late heartbeat of a life that is over changes nothing.
func (b *Book) recordLife(c *egretmuxv1.RecordLife) Result {
	life := c.GetLife()
	if b.ended.has(life) {
		return Result{Outdated: true}
	}
	stored := b.workers[life.GetWorker()]
	switch {
	case stored == nil || stored.Life.GetBornUnixMs() < life.GetBornUnixMs():
		if stored != nil {
			b.superseded.forget(lifeKey{life.GetWorker(), stored.Life.GetBornUnixMs()})
		}
		b.workers[life.GetWorker()] = &Worker{Life: life, Sequence: c.GetSequence()}
	case stored.Life.GetBornUnixMs() == life.GetBornUnixMs() && stored.Sequence < c.GetSequence():
		b.workers[life.GetWorker()] = &Worker{Life: life, Draining: stored.Draining, Sequence: c.GetSequence()}
	}
	return Result{}
}

// endLife removes a worker's life, with the runs that were lost if it crashed, or, if the
// command says so, marks it as draining. A command about another life of the worker
// changes nothing, so that a crash is counted once.
func (b *Book) endLife(c *egretmuxv1.EndLife) {
	stored := b.workers[c.GetWorker()]
	if stored == nil || stored.Life.GetBornUnixMs() != c.GetBornUnixMs() {
		return
	}
	if c.GetDraining() {
		b.workers[c.GetWorker()] = &Worker{Life: stored.Life, Draining: true, Sequence: stored.Sequence}
		return
	}
	delete(b.workers, c.GetWorker())
	if c.GetOver() || stored.Draining {
		b.ended.add(lifeKey{c.GetWorker(), c.GetBornUnixMs()})
		b.superseded.forget(lifeKey{c.GetWorker(), c.GetBornUnixMs()})
	}
	for _, e := range c.GetCrashedRuns() {
		if r := b.jobs[e.GetJob()]; r != nil {
			r.applyCrash(e)
		}
	}
}

// Catalogue returns the catalogue in force, or nil before the first.
func (b *Book) Catalogue() *Catalogue {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.catalogue
}

// View runs f on a job's record, which is nil if the book does not have the job. f
// must not retain the record, nor call the book: a second read lock would wait for a
// writer that waits for the first.
func (b *Book) View(id string, f func(*Record)) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	f(b.jobs[id])
}

// Each runs f on every job's record. f must not retain the record, nor call the book.
func (b *Book) Each(f func(id string, r *Record)) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for id, r := range b.jobs {
		f(id, r)
	}
}

// Workers returns the stored lives of workers.
func (b *Book) Workers() []Worker {
	b.mu.RLock()
	defer b.mu.RUnlock()
	out := make([]Worker, 0, len(b.workers))
	for _, w := range b.workers {
		out = append(out, *w)
	}
	return out
}

// Capture implements consensus.StateMachine.
func (b *Book) Capture() func(io.Writer) error {
	b.mu.RLock()
	defer b.mu.RUnlock()
	snap := &egretmuxv1.BookSnapshot{}
	if b.catalogue != nil {
		snap.Catalogue = b.catalogue.Message
	}
	for _, r := range b.jobs {
		snap.Jobs = append(snap.Jobs, r.toProto())
	}
	for _, w := range b.workers {
		snap.Workers = append(snap.Workers, &egretmuxv1.WorkerRecord{Life: w.Life, Draining: w.Draining, Sequence: w.Sequence})
	}
	snap.EndedLives = b.ended.toProto()
	snap.Superseded = b.superseded.toProto()
	snap.Withdrawn = b.withdrawn.toProto()
	for _, w := range b.waves {
		snap.Waves = append(snap.Waves, w)
	}
	return func(w io.Writer) error {
		data, err := proto.Marshal(snap) // toProto copied all state that later commands change
		if err != nil {
			return err
		}
		_, err = w.Write(data)
		return err
	}
}

// Restore implements consensus.StateMachine.
func (b *Book) Restore(data []byte) error {
	snap := &egretmuxv1.BookSnapshot{}
	if err := proto.Unmarshal(data, snap); err != nil {
		return errors.Wrap(err, "the snapshot of jobs cannot be read")
	}
	jobs := make(map[string]*Record, len(snap.GetJobs()))
	for _, r := range snap.GetJobs() {
		jobs[r.GetJob().GetId()] = recordFromProto(r)
	}
	workers := make(map[string]*Worker, len(snap.GetWorkers()))
	for _, w := range snap.GetWorkers() {
		workers[w.GetLife().GetWorker()] = &Worker{Life: w.GetLife(), Draining: w.GetDraining(), Sequence: w.GetSequence()}
	}
	waves := make(map[uint64]*egretmuxv1.Wave, len(snap.GetWaves()))
	for _, w := range snap.GetWaves() {
		waves[w.GetId()] = w
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.catalogue = nil
	if snap.GetCatalogue() != nil {
		b.catalogue = NewCatalogue(snap.GetCatalogue())
	}
	b.jobs, b.workers, b.waves = jobs, workers, waves
	b.ended = endedLivesFromProto(snap.GetEndedLives())
	b.superseded = supersededRunsFromProto(snap.GetSuperseded())
	b.withdrawn = withdrawnJobsFromProto(snap.GetWithdrawn())
	return nil
}
