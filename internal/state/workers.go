package state

import (
	"sort"
	"sync"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// workerTable holds the workers and what is committed on each.
type workerTable struct {
	mu   sync.RWMutex
	byID map[string]*workerEntry
}

type workerEntry struct {
	record    *egretmuxv1.Worker // nil: not registered, but attempts name it
	committed worker.Resources
	attempts  map[uint64]uint64 // live attempt -> task
}

func (t *workerTable) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byID = make(map[string]*workerEntry)
}

func (t *workerTable) entry(id string) *workerEntry {
	e := t.byID[id]
	if e == nil {
		e = &workerEntry{attempts: make(map[uint64]uint64)}
		t.byID[id] = e
	}
	return e
}

func (t *workerTable) put(w *egretmuxv1.Worker) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry(w.GetId()).record = w
}

func (t *workerTable) get(id string) *egretmuxv1.Worker {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if e := t.byID[id]; e != nil {
		return e.record
	}
	return nil
}

func (t *workerTable) len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.byID)
}

func (t *workerTable) all() []*egretmuxv1.Worker {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]*egretmuxv1.Worker, 0, len(t.byID))
	for _, e := range t.byID {
		if e.record != nil {
			out = append(out, e.record)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetId() < out[j].GetId() })
	return out
}

// accepts reports whether the worker takes that many new attempts which
// together hold the given room.
func (t *workerTable) accepts(id string, epoch uint64, need worker.Resources, attempts int) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.byID[id]
	if e == nil || e.record == nil || e.record.GetEpoch() != epoch {
		return false
	}
	switch e.record.GetPhase() {
	case egretmuxv1.WorkerPhase_WORKER_PHASE_READY:
	case egretmuxv1.WorkerPhase_WORKER_PHASE_QUARANTINED:
		if len(e.attempts)+attempts > 1 {
			return false
		}
	default:
		return false
	}
	return e.committed.Plus(need).Fits(worker.ResourcesFromProto(e.record.GetCapacity()))
}

// account moves the room of a task's live attempts from the old record to the new.
func (t *workerTable) account(old, next *egretmuxv1.Task) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range old.GetAttempts() {
		if task.Live(a.GetPhase()) {
			e := t.entry(a.GetWorker())
			e.committed = e.committed.Minus(task.HeldResources(old, a))
			delete(e.attempts, a.GetId())
		}
	}
	for _, a := range next.GetAttempts() {
		if task.Live(a.GetPhase()) {
			e := t.entry(a.GetWorker())
			e.committed = e.committed.Plus(task.HeldResources(next, a))
			e.attempts[a.GetId()] = next.GetId()
		}
	}
}

// attemptsOf returns the live attempts of a worker in ascending order.
func (t *workerTable) attemptsOf(id string) []liveAttempt {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.byID[id]
	if e == nil {
		return nil
	}
	out := make([]liveAttempt, 0, len(e.attempts))
	for a, tk := range e.attempts {
		out = append(out, liveAttempt{attempt: a, task: tk})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].attempt < out[j].attempt })
	return out
}

type liveAttempt struct{ attempt, task uint64 }

// registerWorker gives the worker a new epoch. Attempts that it no longer runs
// are lost; the others go on.
func (s *Store) registerWorker(c *egretmuxv1.RegisterWorker) *Result {
	running := make(map[uint64]bool)
	for _, id := range c.GetRunning() {
		running[id] = true
	}
	s.loseAttempts(c.GetWorker().GetId(), "the worker registered anew without it", func(a uint64) bool { return !running[a] })
	s.mu.Lock()
	s.last.workerEpoch++
	epoch := s.last.workerEpoch
	s.mu.Unlock()
	w := clone(c.GetWorker())
	w.Epoch = epoch
	w.RegisteredUnixMs = s.now
	w.Phase = egretmuxv1.WorkerPhase_WORKER_PHASE_READY
	if phase := lastingPhase(s.workers.get(w.GetId())); phase != egretmuxv1.WorkerPhase_WORKER_PHASE_UNSPECIFIED {
		w.Phase = phase
		w.Reason = s.workers.get(w.GetId()).GetReason()
	}
	s.storeWorker(w)
	return &Result{Worker: w}
}

// lastingPhase returns the worker's phase if it outlives loss and registration.
func lastingPhase(w *egretmuxv1.Worker) egretmuxv1.WorkerPhase {
	phase := w.GetPhase()
	if phase == egretmuxv1.WorkerPhase_WORKER_PHASE_LOST {
		phase = w.GetPhaseBeforeLost()
	}
	switch phase {
	case egretmuxv1.WorkerPhase_WORKER_PHASE_DRAINING, egretmuxv1.WorkerPhase_WORKER_PHASE_QUARANTINED:
		return phase
	}
	return egretmuxv1.WorkerPhase_WORKER_PHASE_UNSPECIFIED
}

func (s *Store) storeWorker(w *egretmuxv1.Worker) {
	s.workers.put(w)
	if s.listener != nil {
		s.listener.WorkerChanged(w)
	}
}

func (s *Store) setWorkerPhase(c *egretmuxv1.SetWorkerPhase) *Result {
	w := s.workers.get(c.GetWorker())
	if w == nil {
		return &Result{Err: refusal.New(refusal.NotFound, "list workers with 'egretmux worker list'", "no worker %s", c.GetWorker())}
	}
	if c.GetEpoch() != 0 && c.GetEpoch() != w.GetEpoch() {
		return &Result{Worker: w}
	}
	if w.GetPhase() == egretmuxv1.WorkerPhase_WORKER_PHASE_LOST && c.GetPhase() != egretmuxv1.WorkerPhase_WORKER_PHASE_LOST {
		return &Result{Worker: w, Err: refusal.New(refusal.Invalid, "it is ready again once it registers", "worker %s is lost", c.GetWorker())}
	}
	next := clone(w)
	next.Phase = c.GetPhase()
	next.Reason = c.GetReason()
	next.PhaseBeforeLost = egretmuxv1.WorkerPhase_WORKER_PHASE_UNSPECIFIED
	if c.GetPhase() == egretmuxv1.WorkerPhase_WORKER_PHASE_LOST {
		next.PhaseBeforeLost = lastingPhase(w)
	}
	s.storeWorker(next)
	if c.GetPhase() == egretmuxv1.WorkerPhase_WORKER_PHASE_LOST {
		s.loseAttempts(w.GetId(), c.GetReason(), func(uint64) bool { return true })
	}
	return &Result{Worker: next, Applied: 1}
}

// loseAttempts ends the live attempts of a worker that match.
func (s *Store) loseAttempts(id, reason string, match func(attempt uint64) bool) {
	for _, l := range s.workers.attemptsOf(id) {
		if !match(l.attempt) {
			continue
		}
		next := clone(s.tasks.get(l.task))
		s.changeAttempt(next, task.FindAttempt(next, l.attempt), &egretmuxv1.AttemptChange{
			Task: l.task, Attempt: l.attempt, Phase: egretmuxv1.AttemptPhase_ATTEMPT_PHASE_LOST, Detail: reason,
		})
		s.changeTask(next)
	}
}

// Worker returns a worker or nil. The record must not be changed.
func (s *Store) Worker(id string) *egretmuxv1.Worker { return s.workers.get(id) }

// Workers returns all registered workers by name.
func (s *Store) Workers() []*egretmuxv1.Worker { return s.workers.all() }

// Committed returns the room and number of the live attempts on a worker.
func (s *Store) Committed(id string) (worker.Resources, int) {
	s.workers.mu.RLock()
	defer s.workers.mu.RUnlock()
	if e := s.workers.byID[id]; e != nil {
		return e.committed, len(e.attempts)
	}
	return worker.Resources{}, 0
}

// TaskOfAttempt returns the task whose live attempt runs on the worker, zero
// when the cell knows of no such live attempt.
func (s *Store) TaskOfAttempt(workerID string, attempt uint64) uint64 {
	s.workers.mu.RLock()
	defer s.workers.mu.RUnlock()
	if e := s.workers.byID[workerID]; e != nil {
		return e.attempts[attempt]
	}
	return 0
}
