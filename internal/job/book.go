// Package job holds jobs of steps: what a queue accepts and how far each task
// has come. Book is their replicated state machine.
package job

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Worker is a stored incarnation of a worker.
type Worker struct {
	Life     *egretmuxv1.WorkerLife
	Draining bool
}

// Book is the replicated state: the catalogue in force, the jobs, and the lives
// of workers on which runs may have been started. The log's goroutine is its
// only writer.
type Book struct {
	mu        sync.RWMutex
	catalogue *Catalogue
	jobs      map[string]*Record
	workers   map[string]*Worker
	waves     map[uint64]*egretmuxv1.Wave
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{jobs: make(map[string]*Record), workers: make(map[string]*Worker), waves: make(map[uint64]*egretmuxv1.Wave)}
}

// Result is what applying a command returned.
type Result struct {
	Known    bool // the job of a submit was there before; the job of a cancel is there
	Conflict bool // another catalogue holds the version
	Phase    egretmuxv1.JobPhase
}

// Apply implements consensus.StateMachine.
func (b *Book) Apply(_ uint64, data []byte) any {
	cmd := &egretmuxv1.JobCommand{}
	if err := proto.Unmarshal(data, cmd); err != nil {
		return errors.Wrap(err, "the log holds a command that cannot be read; all instances must run the same release")
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch c := cmd.GetCommand().(type) {
	case *egretmuxv1.JobCommand_Submit:
		return b.submit(c.Submit.GetJob())
	case *egretmuxv1.JobCommand_Cancel:
		return b.cancel(c.Cancel.GetJob())
	case *egretmuxv1.JobCommand_PutCatalogue:
		return b.put(c.PutCatalogue.GetCatalogue())
	case *egretmuxv1.JobCommand_NoteEnds:
		for _, e := range c.NoteEnds.GetEnds() {
			if r := b.jobs[e.GetJob()]; r != nil {
				r.note(e)
			}
		}
	case *egretmuxv1.JobCommand_NoteStarts:
		for _, e := range c.NoteStarts.GetStarts() {
			if r := b.jobs[e.GetJob()]; r != nil {
				r.noteStart(e)
			}
		}
	case *egretmuxv1.JobCommand_RecordLife:
		b.recordLife(c.RecordLife.GetLife())
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
	}
	return Result{}
}

func (b *Book) submit(j *egretmuxv1.Job) Result {
	if r := b.jobs[j.GetId()]; r != nil {
		return Result{Known: true, Phase: r.Phase}
	}
	b.jobs[j.GetId()] = newRecord(j)
	return Result{}
}

func (b *Book) cancel(id string) Result {
	r := b.jobs[id]
	if r == nil {
		return Result{}
	}
	if !r.Ended() {
		r.end(egretmuxv1.JobPhase_JOB_PHASE_CANCELLED)
	}
	return Result{Known: true, Phase: r.Phase}
}

func (b *Book) put(c *egretmuxv1.Catalogue) Result {
	held := b.catalogue
	if held != nil && c.GetVersion() <= held.Version {
		return Result{Known: true, Conflict: c.GetVersion() == held.Version && !held.same(c)}
	}
	b.catalogue = NewCatalogue(c)
	return Result{}
}

func (b *Book) recordLife(life *egretmuxv1.WorkerLife) {
	held := b.workers[life.GetWorker()]
	if held != nil && held.Life.GetBornUnixMs() >= life.GetBornUnixMs() {
		return
	}
	b.workers[life.GetWorker()] = &Worker{Life: life}
}

func (b *Book) endLife(c *egretmuxv1.EndLife) {
	held := b.workers[c.GetWorker()]
	if held == nil || held.Life.GetBornUnixMs() != c.GetBornUnixMs() {
		return
	}
	if c.GetDraining() {
		b.workers[c.GetWorker()] = &Worker{Life: held.Life, Draining: true}
		return
	}
	delete(b.workers, c.GetWorker())
}

// Catalogue returns the catalogue in force, or nil before the first.
func (b *Book) Catalogue() *Catalogue {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.catalogue
}

// View runs f on one job's record, nil when the book does not have it. The
// record must not be kept.
func (b *Book) View(id string, f func(*Record)) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	f(b.jobs[id])
}

// Each runs f on every job's record.
func (b *Book) Each(f func(id string, r *Record)) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for id, r := range b.jobs {
		f(id, r)
	}
}

// Workers returns the stored lives.
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
		snap.Jobs = append(snap.Jobs, r.encode())
	}
	for _, w := range b.workers {
		snap.Workers = append(snap.Workers, &egretmuxv1.WorkerRecord{Life: w.Life, Draining: w.Draining})
	}
	for _, w := range b.waves {
		snap.Waves = append(snap.Waves, w)
	}
	return func(w io.Writer) error {
		data, err := proto.Marshal(snap) // encode copied what later commands change
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
		jobs[r.GetJob().GetId()] = decode(r)
	}
	workers := make(map[string]*Worker, len(snap.GetWorkers()))
	for _, w := range snap.GetWorkers() {
		workers[w.GetLife().GetWorker()] = &Worker{Life: w.GetLife(), Draining: w.GetDraining()}
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
	return nil
}
