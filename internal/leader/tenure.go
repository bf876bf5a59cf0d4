package leader

import (
	"context"
	"sync"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/endpoint"
	"github.com/egretmux/egretmux/internal/lease"
	"github.com/egretmux/egretmux/internal/periodic"
	"github.com/egretmux/egretmux/internal/state"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Periods and timeouts of the leader's loops.
const (
	upkeepPeriod            = 100 * time.Millisecond
	garbageCollectionPeriod = time.Minute
	commandResendInterval   = 300 * time.Millisecond
	planPeriod              = 250 * time.Millisecond // interval of planning without a change, for backoffs that expire
	requestOutcomeTimeout   = 15 * time.Minute       // after this the outcome of a request is unknown; longer than any request may take
	startConfirmTimeout     = 10 * time.Second       // a start that a live worker has not confirmed by then is revoked
	checkpointTimeout       = 3 * time.Second        // a checkpoint that takes longer is replaced by a plain stop
	pauseThreshold          = time.Second            // a longer gap between upkeeps means that this process was paused
)

// tenure is the leader's volatile state during one term.
type tenure struct {
	leader  *Leader
	store   *state.Store
	term    uint64
	started time.Time

	planRequested chan struct{} // holds a value while a planning round is requested
	planner       planner

	mu                  sync.Mutex
	sessions            map[string]*session // by instance id
	retiredEntries      []retiredEntry
	removing            map[string]bool      // instances whose removal is being committed
	sessionEnds         map[string]time.Time // end of each instance's last session
	lastCommandSequence uint64               // greatest command sequence of any closed session
	attachments         *attachments
	workers             map[string]*workerView
	endpoints           *endpoint.Table
	newCell             bool                       // no instance was known when the tenure began
	pendingCommands     map[uint64]*pendingCommand // by attempt
	silenceFloor        time.Time                  // silence before this time does not count
}

// workerView is what the leader knows from a worker's reports.
type workerView struct {
	lastHeard     time.Time
	instance      string // id of the instance that the worker announces itself through
	usage         map[uint64]*egretmuxv1.AttemptUsage
	lossPending   bool // the loss is being committed; reports renew no lease until the outcome is known
	hasFullReport bool // a report has listed all running attempts and their usage
}

// pendingCommand is a start or stop that a worker has not confirmed yet.
type pendingCommand struct {
	task      uint64
	worker    string
	stop      bool
	firstSent time.Time
	lastSent  time.Time
}

func newTenure(l *Leader, term uint64) *tenure {
	now := time.Now()
	t := &tenure{
		leader: l, store: l.store, term: term, started: now, silenceFloor: now,
		planRequested:   make(chan struct{}, 1),
		sessions:        make(map[string]*session),
		workers:         make(map[string]*workerView),
		removing:        make(map[string]bool),
		sessionEnds:     make(map[string]time.Time),
		attachments:     newAttachments(),
		endpoints:       endpoint.NewTable(l.timing.EndpointSilent),
		pendingCommands: make(map[uint64]*pendingCommand),
	}
	t.endpoints.Term, t.endpoints.Recovering = term, true
	t.newCell = len(l.store.Instances()) == 0
	t.planner.init()
	return t
}

// run runs the leader's loops until the context ends.
func (t *tenure) run(ctx context.Context) {
	t.loadPlanner()
	for _, record := range t.store.LiveTasks() {
		t.loadTask(record.GetId())
	}
	var loops sync.WaitGroup
	loops.Go(func() { t.runPlanner(ctx) })
	loops.Go(func() { t.runUpkeep(ctx) })
	loops.Go(func() { t.runGarbageCollection(ctx) })
	loops.Go(func() { t.runInstanceUpkeep(ctx) })
	loops.Wait()
}

// loadTask adds a task that existed when the tenure began. It reads the record
// under the lock, so that it cannot overwrite a newer one set by taskChanged.
func (t *tenure) loadTask(id uint64) {
	t.planner.loadTask(t.store, id)
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.store.Task(id)
	for _, a := range record.GetAttempts() {
		t.updateCommand(record, a)
	}
}

// taskChanged updates the planner and the pending commands.
func (t *tenure) taskChanged(record *egretmuxv1.Task) {
	t.planner.setTask(record)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range record.GetAttempts() {
		t.updateCommand(record, a)
	}
	t.requestPlan()
}

// updateCommand replaces the pending command of an attempt by the one that the
// attempt's phase requires, if any. The caller holds the lock.
func (t *tenure) updateCommand(record *egretmuxv1.Task, a *egretmuxv1.Attempt) {
	pending := t.pendingCommands[a.GetId()]
	switch a.GetPhase() {
	case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STARTING:
		if pending == nil {
			t.pendingCommands[a.GetId()] = &pendingCommand{task: record.GetId(), worker: a.GetWorker()}
		}
	case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING:
		if pending == nil || !pending.stop {
			t.pendingCommands[a.GetId()] = &pendingCommand{task: record.GetId(), worker: a.GetWorker(), stop: true}
		}
	default:
		delete(t.pendingCommands, a.GetId())
		return
	}
	t.sendCommand(a.GetId(), time.Now())
}

// sendCommand queues a pending command for the instance that its worker
// announces itself through, at most once per commandResendInterval. It is resent
// until a report of the worker makes it obsolete.
func (t *tenure) sendCommand(attempt uint64, now time.Time) {
	pending := t.pendingCommands[attempt]
	if now.Sub(pending.lastSent) < commandResendInterval {
		return
	}
	view := t.workers[pending.worker]
	if view == nil {
		return
	}
	s := t.sessions[view.instance]
	w := t.store.Worker(pending.worker)
	record := t.store.Task(pending.task)
	a := task.FindAttempt(record, attempt)
	if s == nil || w == nil || a == nil {
		return
	}
	pending.lastSent = now
	if pending.firstSent.IsZero() {
		pending.firstSent = now
	}
	checkpoint := a.GetPreempted() && now.Sub(pending.firstSent) < checkpointTimeout
	s.enqueue(buildCommand(w, record, a, pending.stop, checkpoint))
}

func buildCommand(w *egretmuxv1.Worker, record *egretmuxv1.Task, a *egretmuxv1.Attempt, stop, checkpoint bool) *egretmuxv1.WorkerCommand {
	out := &egretmuxv1.WorkerCommand{Worker: w.GetId(), Address: w.GetAddress(), WorkerEpoch: w.GetEpoch()}
	if stop {
		out.Body = &egretmuxv1.WorkerCommand_Stop{Stop: &egretmuxv1.StopAttempt{
			Task: record.GetId(), Attempt: a.GetId(), Checkpoint: checkpoint,
		}}
		return out
	}
	out.Body = &egretmuxv1.WorkerCommand_Start{Start: &egretmuxv1.StartAttempt{
		Task: record.GetId(), Attempt: a.GetId(), Member: a.GetMember(), Spec: record.GetSpec(), ResumeMs: task.SavedRunMs(record, a.GetMember()),
	}}
	return out
}

func (t *tenure) requestPlan() {
	select {
	case t.planRequested <- struct{}{}:
	default:
	}
}

func (t *tenure) notifySessions() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.sessions {
		s.notify()
	}
}

// runUpkeep periodically expires leases and resends commands.
func (t *tenure) runUpkeep(ctx context.Context) {
	lastUpkeep := time.Now()
	periodic.Run(ctx, upkeepPeriod, func(now time.Time) {
		if now.Sub(lastUpkeep) > pauseThreshold {
			// Reports that arrived during the pause have not been read yet.
			t.mu.Lock()
			t.silenceFloor, t.endpoints.SilenceFloor = now, now
			t.mu.Unlock()
		}
		lastUpkeep = now
		t.upkeep(ctx, now)
	})
}

func (t *tenure) upkeep(ctx context.Context, now time.Time) {
	t.mu.Lock()
	for attempt := range t.pendingCommands {
		t.sendCommand(attempt, now)
	}
	t.expireEntries(now)
	changed := false
	if t.endpoints.Recovering {
		changed = t.recoverGrants(now)
	}
	changed = t.endpoints.Expire(now) || changed
	changed = t.endpoints.Rebalance() || changed
	if changed {
		for _, s := range t.sessions {
			s.notify()
		}
	}
	lost := t.markSilentWorkers(now)
	unconfirmed := t.unconfirmedStarts(now)
	t.mu.Unlock()
	t.revokeStarts(ctx, unconfirmed)
	t.updateForecasts(now)
	for _, w := range lost {
		t.declareWorkerLost(ctx, w)
	}
}

// unconfirmedStarts returns stops for the attempts whose start was not confirmed
// in time by a worker that has reported since.
func (t *tenure) unconfirmedStarts(now time.Time) []*egretmuxv1.PlanStop {
	var stops []*egretmuxv1.PlanStop
	for attempt, pending := range t.pendingCommands {
		v := t.workers[pending.worker]
		if pending.stop || pending.firstSent.IsZero() || now.Sub(pending.firstSent) < startConfirmTimeout || v == nil || !v.lastHeard.After(pending.firstSent) {
			continue
		}
		stops = append(stops, &egretmuxv1.PlanStop{Task: pending.task, Attempt: attempt, Reason: "the worker did not confirm the start"})
	}
	return stops
}

// revokeStarts commits the stops of unconfirmed starts.
func (t *tenure) revokeStarts(ctx context.Context, stops []*egretmuxv1.PlanStop) {
	if len(stops) == 0 {
		return
	}
	telemetry.Count("leader_starts_taken_back_total")
	_, err := t.leader.propose(ctx, &egretmuxv1.Command{Body: &egretmuxv1.Command_CommitPlan{CommitPlan: &egretmuxv1.CommitPlan{Stops: stops}}})
	t.leader.logger.Warn().AnErr("error", err).Str("event", "starts_taken_back").Int("attempts", len(stops)).Msg("proposed to stop attempts whose start was not confirmed")
}

// grantRecoveryTimeout is how long a new leader waits for reports of all entries
// before it grants the slots that are known to be free.
const grantRecoveryTimeout = 2 * time.Second

// recoverGrants lets the leader grant slots once the entries' holdings are known
// or grantRecoveryTimeout has passed. Slots that may be held by entries that have
// not reported stay reserved.
func (t *tenure) recoverGrants(now time.Time) bool {
	timing := t.leader.timing
	leasesEnd := t.started.Add(lease.GrantorDuration(timing.EntryLease))
	switch {
	case t.newCell:
		t.endpoints.EndRecovery(now, time.Time{})
	case t.allHoldingsKnown(now):
		t.endpoints.EndRecovery(now, now.Add(timing.RequestLimit))
	case now.Sub(t.started) > grantRecoveryTimeout:
		t.endpoints.EndRecovery(leasesEnd, leasesEnd.Add(timing.RequestLimit))
	default:
		return false
	}
	return true
}

// markSilentWorkers returns the workers whose leases have certainly ended, and
// marks their loss as pending: their reports renew no lease until it is decided.
func (t *tenure) markSilentWorkers(now time.Time) []*egretmuxv1.Worker {
	var lost []*egretmuxv1.Worker
	for _, w := range t.store.Workers() {
		if w.GetPhase() == egretmuxv1.WorkerPhase_WORKER_PHASE_LOST {
			continue
		}
		lastHeard := t.silenceFloor
		if v := t.workers[w.GetId()]; v != nil && v.lastHeard.After(lastHeard) {
			lastHeard = v.lastHeard
		}
		if now.Sub(lastHeard) > lease.GrantorDuration(t.leader.timing.WorkerLease) {
			t.ensureWorkerView(w.GetId()).lossPending = true
			lost = append(lost, w)
		}
	}
	return lost
}

func (t *tenure) declareWorkerLost(ctx context.Context, w *egretmuxv1.Worker) {
	_, err := t.leader.propose(ctx, &egretmuxv1.Command{Body: &egretmuxv1.Command_SetWorkerPhase{SetWorkerPhase: &egretmuxv1.SetWorkerPhase{
		Worker: w.GetId(), Epoch: w.GetEpoch(), Phase: egretmuxv1.WorkerPhase_WORKER_PHASE_LOST, Reason: "silent for longer than its lease",
	}}})
	t.leader.logger.Warn().AnErr("error", err).Str("event", "worker_lost").Str("worker", w.GetId()).Msg("worker silent for longer than its lease")
	if err != nil {
		return // the outcome is unknown and the tenure is over
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ensureWorkerView(w.GetId()).lossPending = false
}

// runGarbageCollection periodically removes old records.
func (t *tenure) runGarbageCollection(ctx context.Context) {
	periodic.Run(ctx, garbageCollectionPeriod, func(now time.Time) {
		_, err := t.leader.propose(ctx, &egretmuxv1.Command{Body: &egretmuxv1.Command_CollectGarbage{CollectGarbage: &egretmuxv1.CollectGarbage{
			TasksEndedBeforeUnixMs:    now.Add(-t.leader.timing.TaskKeep).UnixMilli(),
			RequestsEndedBeforeUnixMs: now.Add(-t.leader.timing.RequestKeep).UnixMilli(),
			RequestsBegunBeforeUnixMs: now.Add(-requestOutcomeTimeout).UnixMilli(),
		}}})
		if err != nil {
			t.leader.logger.Warn().Err(err).Str("event", "garbage_not_collected").Msg("could not remove old records; trying again later")
		}
	})
}
