package state

import (
	"sort"
	"sync"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

// workerTable holds the workers with their live attempts and the resources that
// these hold.
type workerTable struct {
	mu   sync.RWMutex
	byID map[string]*workerEntry
}

type workerEntry struct {
	record   *egretmuxv1.Worker // nil if attempts name a worker that isn't registered
	held     worker.Resources
	attempts map[uint64]uint64 // live attempt -> its task
}

func (t *workerTable) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byID = make(map[string]*workerEntry)
}

// entry returns a worker's entry and creates it if there is none. The caller
// holds the lock.
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

// accepts reports whether the worker can start that many more attempts, which
// together need the given resources.
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
	return e.held.Plus(need).Fits(worker.ResourcesFromProto(e.record.GetCapacity()))
}

// replaceTask subtracts the live attempts of a task's old record, which may be
// nil, from their workers and adds those of the new one.
func (t *workerTable) replaceTask(old, next *egretmuxv1.Task) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range old.GetAttempts() {
		if task.Live(a.GetPhase()) {
			e := t.entry(a.GetWorker())
			e.held = e.held.Minus(task.HeldResources(old, a))
			delete(e.attempts, a.GetId())
		}
	}
	for _, a := range next.GetAttempts() {
		if task.Live(a.GetPhase()) {
			e := t.entry(a.GetWorker())
			e.held = e.held.Plus(task.HeldResources(next, a))
			e.attempts[a.GetId()] = next.GetId()
		}
	}
}

// liveAttempts returns the live attempts of a worker in ascending order.
func (t *workerTable) liveAttempts(id string) []liveAttempt {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.byID[id]
	if e == nil {
		return nil
	}
	out := make([]liveAttempt, 0, len(e.attempts))
	for attemptID, taskID := range e.attempts {
		out = append(out, liveAttempt{attempt: attemptID, task: taskID})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].attempt < out[j].attempt })
	return out
}

type liveAttempt struct{ attempt, task uint64 }

// registerWorker gives the worker a new epoch. Its live attempts that the
// command does not list as running are lost; the others continue.
func (s *Store) registerWorker(c *egretmuxv1.RegisterWorker) *Result {
	running := make(map[uint64]bool)
	for _, id := range c.GetRunning() {
		running[id] = true
	}
	s.markAttemptsLost(c.GetWorker().GetId(), "the worker registered anew without it", true, func(a uint64) bool { return !running[a] })
	s.mu.Lock()
	s.lastIDs.workerEpoch++
	epoch := s.lastIDs.workerEpoch
	s.mu.Unlock()
	w := clone(c.GetWorker())
	w.Epoch = epoch
	w.RegisteredUnixMs = s.now
	w.Phase = egretmuxv1.WorkerPhase_WORKER_PHASE_READY
	if phase := persistentPhase(s.workers.get(w.GetId())); phase != egretmuxv1.WorkerPhase_WORKER_PHASE_UNSPECIFIED {
		w.Phase = phase
		w.Reason = s.workers.get(w.GetId()).GetReason()
	}
	s.storeWorker(w)
	return &Result{Worker: w}
}

// persistentPhase returns the worker's phase if it persists through loss and
// registration, else unspecified.
func persistentPhase(w *egretmuxv1.Worker) egretmuxv1.WorkerPhase {
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
		next.PhaseBeforeLost = persistentPhase(w)
	}
	s.storeWorker(next)
	if c.GetPhase() == egretmuxv1.WorkerPhase_WORKER_PHASE_LOST {
		s.markAttemptsLost(w.GetId(), c.GetReason(), false, func(uint64) bool { return true })
	}
	return &Result{Worker: next, Applied: 1}
}

// markAttemptsLost marks the live attempts of a worker that match as lost.
func (s *Store) markAttemptsLost(id, reason string, restarted bool, match func(attempt uint64) bool) {
	for _, live := range s.workers.liveAttempts(id) {
		if !match(live.attempt) {
			continue
		}
		next := clone(s.tasks.get(live.task))
		s.changeAttempt(next, task.FindAttempt(next, live.attempt), &egretmuxv1.AttemptChange{
			Task: live.task, Attempt: live.attempt, Phase: egretmuxv1.AttemptPhase_ATTEMPT_PHASE_LOST, Detail: reason, WorkerRestarted: restarted,
		})
		s.updateTask(next)
	}
}

// Worker returns a worker or nil. The record must not be changed.
func (s *Store) Worker(id string) *egretmuxv1.Worker { return s.workers.get(id) }

// Workers returns all registered workers, ordered by id.
func (s *Store) Workers() []*egretmuxv1.Worker { return s.workers.all() }

// HeldOnWorker returns the resources that the live attempts on a worker hold, and
// their number.
func (s *Store) HeldOnWorker(id string) (worker.Resources, int) {
	s.workers.mu.RLock()
	defer s.workers.mu.RUnlock()
	if e := s.workers.byID[id]; e != nil {
		return e.held, len(e.attempts)
	}
	return worker.Resources{}, 0
}

// TaskOfAttempt returns the number of the task of a live attempt on a worker, or
// zero if there is no such attempt.
func (s *Store) TaskOfAttempt(workerID string, attempt uint64) uint64 {
	s.workers.mu.RLock()
	defer s.workers.mu.RUnlock()
	if e := s.workers.byID[workerID]; e != nil {
		return e.attempts[attempt]
	}
	return 0
}
