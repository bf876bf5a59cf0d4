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

// Periods of the leader's loops.
const (
	upkeepPeriod  = 100 * time.Millisecond
	garbagePeriod = time.Minute
	resendAfter   = 300 * time.Millisecond // a command not confirmed by then is sent again
	planPeriod    = 250 * time.Millisecond // planning without a change, for backoffs that end
	requestGiveUp = 15 * time.Minute       // a request without an outcome is unknown; longer than any may take
	startMax      = 10 * time.Second       // a start that a live worker has not confirmed by then is taken back
	checkpointMax = 3 * time.Second        // a checkpoint that takes longer is given up for a plain stop
	pauseLimit    = time.Second            // a longer gap between upkeeps means this process was paused
)

// tenure is the leader's volatile state during one term.
type tenure struct {
	leader  *Leader
	store   *state.Store
	term    uint64
	started time.Time

	plan    chan struct{}
	planner planner

	mu           sync.Mutex
	sessions     map[string]*session // by instance
	departures   []departure
	removing     map[string]bool      // instances whose removal is being committed
	closed       map[string]time.Time // when an instance's last session ended
	lastSequence uint64               // of commands, over closed sessions
	attached     *attachments
	workers      map[string]*workerView
	endpoints    *endpoint.Table
	first        bool                // no instance was known when the tenure began
	commands     map[uint64]*command // by attempt
	floor        time.Time           // silence before this time does not count
}

// workerView is what the leader has heard of a worker.
type workerView struct {
	heard    time.Time
	instance string // that the worker announces itself through
	usage    map[uint64]*egretmuxv1.AttemptUsage
	losing   bool // its loss is being committed; it gets no lease until that is decided
	complete bool // its running attempts and usage are fully known
}

// command is an instruction that a worker has not confirmed yet.
type command struct {
	task   uint64
	worker string
	stop   bool
	first  time.Time // first sent
	sent   time.Time // last sent
}

func newTenure(l *Leader, term uint64) *tenure {
	now := time.Now()
	t := &tenure{
		leader: l, store: l.store, term: term, started: now, floor: now,
		plan:      make(chan struct{}, 1),
		sessions:  make(map[string]*session),
		workers:   make(map[string]*workerView),
		removing:  make(map[string]bool),
		closed:    make(map[string]time.Time),
		attached:  newAttachments(),
		endpoints: endpoint.NewTable(l.timing.EndpointSilent),
		commands:  make(map[uint64]*command),
	}
	t.endpoints.Term, t.endpoints.Recovering = term, true
	t.first = len(l.store.Instances()) == 0
	t.planner.init()
	return t
}

// run does the leader's work until the context ends.
func (t *tenure) run(ctx context.Context) {
	t.loadPlanner()
	for _, x := range t.store.LiveTasks() {
		t.taskLoaded(x.GetId())
	}
	var loops sync.WaitGroup
	loops.Go(func() { t.runPlanner(ctx) })
	loops.Go(func() { t.runUpkeep(ctx) })
	loops.Go(func() { t.runGarbage(ctx) })
	loops.Go(func() { t.runMembers(ctx) })
	loops.Wait()
}

// taskLoaded takes in a task that existed when the tenure began. It reads the
// record under the lock, so that a newer one that taskChanged brings stays.
func (t *tenure) taskLoaded(id uint64) {
	t.planner.loadTask(t.store, id)
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.store.Task(id)
	for _, a := range x.GetAttempts() {
		t.noteAttempt(x, a)
	}
}

// taskChanged updates the planner and the commands to workers.
func (t *tenure) taskChanged(x *egretmuxv1.Task) {
	t.planner.setTask(x)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range x.GetAttempts() {
		t.noteAttempt(x, a)
	}
	t.wakePlanner()
}

func (t *tenure) noteAttempt(x *egretmuxv1.Task, a *egretmuxv1.Attempt) {
	old := t.commands[a.GetId()]
	switch a.GetPhase() {
	case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STARTING:
		if old == nil {
			t.commands[a.GetId()] = &command{task: x.GetId(), worker: a.GetWorker()}
		}
	case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING:
		if old == nil || !old.stop {
			t.commands[a.GetId()] = &command{task: x.GetId(), worker: a.GetWorker(), stop: true}
		}
	default:
		delete(t.commands, a.GetId())
		return
	}
	t.sendCommand(a.GetId(), time.Now())
}

// sendCommand hands a command to the instance its worker is attached to. It is
// repeated until the worker's report makes it obsolete.
func (t *tenure) sendCommand(attempt uint64, now time.Time) {
	c := t.commands[attempt]
	if now.Sub(c.sent) < resendAfter {
		return
	}
	view := t.workers[c.worker]
	if view == nil {
		return
	}
	s := t.sessions[view.instance]
	w := t.store.Worker(c.worker)
	x := t.store.Task(c.task)
	a := task.FindAttempt(x, attempt)
	if s == nil || w == nil || a == nil {
		return
	}
	c.sent = now
	if c.first.IsZero() {
		c.first = now
	}
	checkpoint := a.GetPreempted() && now.Sub(c.first) < checkpointMax
	s.push(buildCommand(w, x, a, c.stop, checkpoint))
}

func buildCommand(w *egretmuxv1.Worker, x *egretmuxv1.Task, a *egretmuxv1.Attempt, stop, checkpoint bool) *egretmuxv1.WorkerCommand {
	out := &egretmuxv1.WorkerCommand{Worker: w.GetId(), Address: w.GetAddress(), WorkerEpoch: w.GetEpoch()}
	if stop {
		out.Body = &egretmuxv1.WorkerCommand_Stop{Stop: &egretmuxv1.StopAttempt{
			Task: x.GetId(), Attempt: a.GetId(), Checkpoint: checkpoint,
		}}
		return out
	}
	out.Body = &egretmuxv1.WorkerCommand_Start{Start: &egretmuxv1.StartAttempt{
		Task: x.GetId(), Attempt: a.GetId(), Member: a.GetMember(), Spec: x.GetSpec(), ResumeMs: task.SavedRunMs(x, a.GetMember()),
	}}
	return out
}

func (t *tenure) wakePlanner() {
	select {
	case t.plan <- struct{}{}:
	default:
	}
}

func (t *tenure) wakeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.sessions {
		s.wakeUp()
	}
}

// runUpkeep expires leases and repeats commands.
func (t *tenure) runUpkeep(ctx context.Context) {
	last := time.Now()
	periodic.Run(ctx, upkeepPeriod, func(now time.Time) {
		if now.Sub(last) > pauseLimit {
			// Reports that arrived during the pause have not been read yet.
			t.mu.Lock()
			t.floor, t.endpoints.SilenceFloor = now, now
			t.mu.Unlock()
		}
		last = now
		t.upkeep(ctx, now)
	})
}

func (t *tenure) upkeep(ctx context.Context, now time.Time) {
	t.mu.Lock()
	for attempt := range t.commands {
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
			s.wakeUp()
		}
	}
	lost := t.silentWorkers(now)
	unconfirmed := t.unconfirmedStarts(now)
	t.mu.Unlock()
	t.takeBack(ctx, unconfirmed)
	t.forecast(now)
	for _, w := range lost {
		t.loseWorker(ctx, w)
	}
}

// unconfirmedStarts returns stops for the attempts whose start a worker keeps
// leaving unconfirmed although it announces itself.
func (t *tenure) unconfirmedStarts(now time.Time) []*egretmuxv1.PlanStop {
	var stops []*egretmuxv1.PlanStop
	for attempt, c := range t.commands {
		v := t.workers[c.worker]
		if c.stop || c.first.IsZero() || now.Sub(c.first) < startMax || v == nil || !v.heard.After(c.first) {
			continue
		}
		stops = append(stops, &egretmuxv1.PlanStop{Task: c.task, Attempt: attempt, Reason: "the worker did not confirm the start"})
	}
	return stops
}

// takeBack commits the stops of unconfirmed starts.
func (t *tenure) takeBack(ctx context.Context, stops []*egretmuxv1.PlanStop) {
	if len(stops) == 0 {
		return
	}
	telemetry.Count("leader_starts_taken_back_total")
	_, err := t.leader.propose(ctx, &egretmuxv1.Command{Body: &egretmuxv1.Command_CommitPlan{CommitPlan: &egretmuxv1.CommitPlan{Stops: stops}}})
	t.leader.logger.Warn().AnErr("error", err).Str("event", "starts_taken_back").Int("attempts", len(stops)).Msg("")
}

// grantRecovery is how long a new leader waits for all entries to report
// before it shares out the part of the slots that it knows of.
const grantRecovery = 2 * time.Second

// recoverGrants starts the sharing of slots once the entries' holdings are
// known. What entries that have not reported may hold stays theirs.
func (t *tenure) recoverGrants(now time.Time) bool {
	timing := t.leader.timing
	leasesEnd := t.started.Add(lease.GrantorDuration(timing.EntryLease))
	switch {
	case t.first:
		t.endpoints.EndRecovery(now, time.Time{})
	case t.entriesKnown(now):
		t.endpoints.EndRecovery(now, now.Add(timing.RequestLimit))
	case now.Sub(t.started) > grantRecovery:
		t.endpoints.EndRecovery(leasesEnd, leasesEnd.Add(timing.RequestLimit))
	default:
		return false
	}
	return true
}

// silentWorkers returns the workers whose leases have certainly ended. Until
// their loss is decided their reports renew nothing.
func (t *tenure) silentWorkers(now time.Time) []*egretmuxv1.Worker {
	var lost []*egretmuxv1.Worker
	for _, w := range t.store.Workers() {
		if w.GetPhase() == egretmuxv1.WorkerPhase_WORKER_PHASE_LOST {
			continue
		}
		heard := t.floor
		if v := t.workers[w.GetId()]; v != nil && v.heard.After(heard) {
			heard = v.heard
		}
		if now.Sub(heard) > lease.GrantorDuration(t.leader.timing.WorkerLease) {
			t.view(w.GetId()).losing = true
			lost = append(lost, w)
		}
	}
	return lost
}

func (t *tenure) loseWorker(ctx context.Context, w *egretmuxv1.Worker) {
	_, err := t.leader.propose(ctx, &egretmuxv1.Command{Body: &egretmuxv1.Command_SetWorkerPhase{SetWorkerPhase: &egretmuxv1.SetWorkerPhase{
		Worker: w.GetId(), Epoch: w.GetEpoch(), Phase: egretmuxv1.WorkerPhase_WORKER_PHASE_LOST, Reason: "silent for longer than its lease",
	}}})
	t.leader.logger.Warn().AnErr("error", err).Str("event", "worker_lost").Str("worker", w.GetId()).Msg("")
	if err != nil {
		return // the outcome is unknown and the tenure over
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view(w.GetId()).losing = false
}

// runGarbage drops old records now and then.
func (t *tenure) runGarbage(ctx context.Context) {
	periodic.Run(ctx, garbagePeriod, func(now time.Time) {
		_, err := t.leader.propose(ctx, &egretmuxv1.Command{Body: &egretmuxv1.Command_CollectGarbage{CollectGarbage: &egretmuxv1.CollectGarbage{
			TasksEndedBeforeUnixMs:    now.Add(-t.leader.timing.TaskKeep).UnixMilli(),
			RequestsEndedBeforeUnixMs: now.Add(-t.leader.timing.RequestKeep).UnixMilli(),
			RequestsBegunBeforeUnixMs: now.Add(-requestGiveUp).UnixMilli(),
		}}})
		if err != nil {
			t.leader.logger.Warn().Err(err).Str("event", "garbage_not_collected").Msg("")
		}
	})
}
