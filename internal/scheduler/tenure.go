package scheduler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/periodic"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Timing of a tenure.
const (
	tickPeriod      = 100 * time.Millisecond // between checks of leases and due times
	planPause       = 3 * time.Millisecond   // minimum pause between two plans, so that events are batched
	planPauseFactor = 3                      // pause after a plan in multiples of its duration, if longer than planPause
	maxPlanPause    = 250 * time.Millisecond // longest pause after a plan
	confirmPeriod   = 300 * time.Millisecond // leases run from the last confirmation
	confirmValidity = 900 * time.Millisecond // age beyond which a confirmation no longer counts: three missed ones
	// New jobs are refused while a confirmation takes longer than
	// overloadConfirmThreshold; the election timeout of followers is twice as long.
	overloadConfirmThreshold = 300 * time.Millisecond
	maxCoreWait              = 100 * time.Millisecond // of a confirmation for the core
	plannerSlowThreshold     = 300 * time.Millisecond // wait for the planner from which it is logged
	confirmPause             = 20 * time.Millisecond  // minimum pause between two confirmations, so that reads are batched
	planSlowThreshold        = 50 * time.Millisecond  // from which a plan is logged
	planSlowLogPeriod        = time.Second            // shortest time between two such lines
	cleanupPeriod            = 5 * time.Second
	slowCommitThreshold      = 250 * time.Millisecond // from which a commit is logged; callers wait 500 ms for one
	slowCommitLogPeriod      = time.Second            // shortest time between two such lines
	silentWorkerTimeout      = 20 * time.Second       // after which a silent worker without runs is retired
	pollWait                 = time.Second            // longest time a poll waits for an end; also limits the age of listed progress
	frequentPollWait         = 400 * time.Millisecond // pollWait for workers with both serving tasks and fillers, whose tail latencies are read often
	pollRetryPause           = 250 * time.Millisecond
	pollPause                = 5 * time.Millisecond    // between two polls of a worker, so that ends are batched
	withheldPause            = 200 * time.Millisecond  // pollPause while listed ends stay unacknowledged: polls return at once then
	adviceTimeoutSlack       = 1500 * time.Millisecond // time-out beyond twice the expected time; calls queue at the advice service
)

// tenure is the leadership of this instance in one term.
type tenure struct {
	cfg   Config
	node  *consensus.Node
	book  *job.Book
	term  uint64
	began time.Time
	ctx   context.Context

	mu        sync.Mutex // guards core (but for what may be called at any time), pollers, endedAt, withdrawn and proposed
	core      *dispatch.Core
	pollers   map[dispatch.Target]*poller
	endedAt   map[string]time.Time // when a job was first seen as ended
	withdrawn map[job.JobKey]withdrawal
	proposed  map[string]int // by job: its submits whose outcome is not known

	proposalsMu sync.Mutex
	proposals   map[string]*callerProposal // by command: those that calls may join

	planRequested  chan struct{}
	slowPlanLogged time.Time     // only for planLoop
	coreKnows      chan struct{} // signals that the core has learned of a confirmation
	endsQueue      *endsQueue
	confirmations  confirmQueue
	// lastConfirmed is when the last confirmation began, in nanoseconds on the clock of cfg, as other
	// instances do not wait while this one's machine is suspended.
	lastConfirmed  atomic.Int64
	workerCount    atomic.Int64 // polled workers
	startLatency   atomic.Int64 // moving average, in nanoseconds
	confirmLatency atomic.Int64 // of the latest confirmation, in nanoseconds
	unknownSince   atomic.Int64 // when the first confirmation was made that the core does not know, in nanoseconds; zero if there is none
	// slowCommitLogged is when a slow commit was last logged, in nanoseconds of the time of day.
	slowCommitLogged atomic.Int64
	planLatency      atomic.Int64       // from the latest confirmation until the core knew of it, in nanoseconds
	confirmed        chan time.Duration // beginning of the latest confirmation, of which the core does not know yet
}

func newTenure(ctx context.Context, cfg Config, node *consensus.Node, book *job.Book, term uint64) *tenure {
	t := &tenure{
		ctx: ctx, cfg: cfg, node: node, book: book, term: term, began: time.Now(),
		pollers: make(map[dispatch.Target]*poller), endedAt: make(map[string]time.Time), withdrawn: make(map[job.JobKey]withdrawal), proposed: make(map[string]int), proposals: make(map[string]*callerProposal),
		planRequested: make(chan struct{}, 1), endsQueue: newEndsQueue(), confirmed: make(chan time.Duration, 1), coreKnows: make(chan struct{}, 1),
	}
	t.lastConfirmed.Store(int64(cfg.Clock()))
	return t
}

// now returns the time since the tenure began.
func (t *tenure) now() time.Duration { return time.Since(t.began) }

// createCore creates the core from the book, which holds all state of earlier leaders.
func (t *tenure) createCore() {
	wall := t.began.UnixMilli()
	t.core = dispatch.New(dispatch.Config{
		Book: t.book, Term: t.term, Lease: t.cfg.Lease, FarFactor: t.cfg.FarFactor, StopTimeout: t.cfg.StopTimeout, GangTimeout: t.cfg.GangTimeout, RateWindow: t.cfg.RateWindow,
		UnixMs: func(now time.Duration) int64 { return wall + now.Milliseconds() },
	})
	for _, w := range t.book.Workers() {
		t.pollers[targetOf(w.Life)] = nil
	}
	t.workerCount.Store(int64(len(t.pollers)))
	t.book.Each(func(id string, r *job.Record) {
		if r.Ended() {
			t.endedAt[id] = t.began
		}
	})
	for _, w := range t.book.Withdrawn() {
		t.withdrawn[job.JobKey{Host: w.GetHost(), Prefix: w.GetPrefix(), ID: w.GetJob()}] = withdrawal{w.GetIndex(), t.began}
	}
}

func targetOf(life *egretmuxv1.WorkerLife) dispatch.Target {
	return dispatch.Target{Worker: life.GetWorker(), Born: life.GetBornUnixMs(), Address: life.GetAddress()}
}

// run starts the tenure's loops and waits until its context is done.
func (t *tenure) run() {
	ctx := t.ctx
	t.mu.Lock()
	workers, runs := len(t.pollers), t.core.RunCount()
	t.mu.Unlock()
	t.cfg.Logger.Info().Str("event", "tenure_began").Uint64("term", t.term).Int("workers", workers).Int("runs", runs).Msg("leading the cell")
	var loops sync.WaitGroup
	loops.Go(func() { t.confirmLoop(ctx) })
	loops.Go(func() { t.extendLeasesLoop(ctx) })
	loops.Go(func() {
		periodic.Run(ctx, tickPeriod, func(time.Time) {
			t.updateCore(func(c *dispatch.Core, now time.Duration) {
				c.SetAdviceCallers(t.cfg.AdviceClient.Instances())
				c.Tick(now)
			})
		})
	})
	loops.Go(func() { periodic.Run(ctx, cleanupPeriod, func(time.Time) { t.cleanUp() }) })
	loops.Go(func() { t.upkeepLoop(ctx) })
	loops.Go(func() { t.planLoop(ctx) })
	loops.Go(func() { t.storeEndsLoop(ctx) })
	t.mu.Lock()
	for target := range t.pollers {
		t.startPoller(target)
	}
	t.mu.Unlock()
	<-ctx.Done()
	loops.Wait()
	t.cfg.Logger.Info().Str("event", "tenure_ended").Uint64("term", t.term).Msg("no longer leading the cell")
}

// updateCore runs f on the core, executes the resulting actions and requests a plan.
func (t *tenure) updateCore(f func(*dispatch.Core, time.Duration)) {
	t.mu.Lock()
	f(t.core, t.now())
	t.executeActions()
	t.mu.Unlock()
	t.requestPlan()
}

// requestPlan requests a plan without waiting for the planner.
func (t *tenure) requestPlan() {
	select {
	case t.planRequested <- struct{}{}:
	default:
	}
}

func (t *tenure) planLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.planRequested:
		}
		t.mu.Lock()
		began := time.Now()
		t.core.Plan(t.now())
		cost := t.core.TakePlanCost()
		t.executeActions()
		t.mu.Unlock()
		took := time.Since(began)
		telemetry.ObserveSeconds("plan", took)
		t.notePlan(cost, took)
		time.Sleep(pauseAfterPlan(took))
	}
}

// pauseAfterPlan returns the pause after a plan of the given length. It is bounded, as tickets of the advice service last
// some seconds at most and have to be used by a later plan.
func pauseAfterPlan(took time.Duration) time.Duration {
	return min(maxPlanPause, max(planPause, planPauseFactor*took))
}

// notePlan counts what a plan had to do, and logs it if the plan was slow.
func (t *tenure) notePlan(cost dispatch.PlanCost, took time.Duration) {
	telemetry.SetGauge(`plan_steps{state="waiting"}`, float64(cost.Waiting))
	telemetry.SetGauge(`plan_steps{state="starved"}`, float64(cost.Starved))
	for part, pairs := range cost.Pairs {
		telemetry.Add(`plan_pairs_total{part="`+dispatch.PlanPart(part).String()+`"}`, pairs)
	}
	if took < planSlowThreshold || time.Since(t.slowPlanLogged) < planSlowLogPeriod {
		return
	}
	t.slowPlanLogged = time.Now()
	e := t.cfg.Logger.Warn().Str("event", "plan_slow").Uint64("term", t.term).Int64("age_ms", took.Milliseconds()).Int("waiting", cost.Waiting).Int("starved", cost.Starved)
	for part, pairs := range cost.Pairs {
		e = e.Int(dispatch.PlanPart(part).String(), pairs)
	}
	e.Msg("a plan took long")
}

// executeActions starts the actions that the core has decided on. The caller holds
// mu.
func (t *tenure) executeActions() {
	acts := t.core.TakeActions()
	if len(acts.Starts) > 0 {
		go t.storeStarts(acts.Starts)
	}
	for _, s := range acts.Sends {
		go t.sendStart(s)
	}
	for _, s := range acts.Stops {
		go t.sendStop(s)
	}
	for _, p := range acts.Paces {
		go t.sendPace(p)
	}
	for _, a := range acts.Asks {
		go t.requestAdvice(a)
	}
	t.endsQueue.add(acts.EndBatches)
	for _, n := range t.core.TakeNotices() {
		t.logNotice(n)
	}
}

func (t *tenure) logNotice(n dispatch.Notice) {
	telemetry.Count(`decisions_total{event="` + n.Event + `",reason="` + n.Reason + `"}`)
	switch n.Event {
	case "job_begun":
		telemetry.ObserveSeconds(`job_begun{queue="`+n.Queue+`"}`, n.Age)
	case "job_ended":
		telemetry.ObserveSeconds(`job_ended{queue="`+n.Queue+`"}`, n.Age)
	}
	e := t.cfg.Logger.Info().Str("event", n.Event).Uint64("term", t.term)
	for _, f := range [][2]string{{"job", n.Job}, {"queue", n.Queue}, {"task", n.Task}, {"worker", n.Worker}, {"reason", n.Reason}, {"outcome", n.Outcome}, {"customer", n.Customer}, {"pool", n.Pool}, {"known_by", n.KnownBy}} {
		if f[1] != "" {
			e = e.Str(f[0], f[1])
		}
	}
	if n.Run != 0 {
		e = e.Uint64("run", n.Run)
	}
	if n.Born != 0 {
		e = e.Int64("born", n.Born)
	}
	if n.Age != 0 {
		e = e.Int64("age_ms", n.Age.Milliseconds())
	}
	if n.Asked != 0 {
		e = e.Int("asked", n.Asked).Int("good", n.Good)
	}
	if n.Event == "worker_resized" {
		e = e.Int64("cpu", n.CPU)
	}
	if n.Runs != 0 {
		e = e.Int("runs", n.Runs)
	}
	if n.Behind != 0 {
		e = e.Int("behind", n.Behind)
	}
	if n.Lost != 0 {
		e = e.Int("lost", n.Lost)
	}
	e.Msg("")
}

func (t *tenure) requestAdvice(a dispatch.Ask) {
	ctx, cancel := context.WithTimeout(t.ctx, time.Duration(2*a.ExpectedMs*float64(time.Millisecond))+adviceTimeoutSlack)
	defer cancel()
	asked := t.now()
	tickets, err := t.cfg.AdviceClient.Advise(ctx, a)
	telemetry.ObserveSeconds("advice", t.now()-asked)
	if err != nil {
		t.cfg.Logger.Warn().Err(err).Str("event", "advice_failed").Str("step", a.Step.String()).Msg("")
	}
	t.updateCore(func(c *dispatch.Core, now time.Duration) { c.AdviceAnswered(a, tickets, err != nil, asked, now) })
}

// markEnded sets endedAt of a job if the book has it as ended. The caller holds mu.
func (t *tenure) markEnded(id string) {
	t.book.View(id, func(r *job.Record) {
		if r != nil && r.Ended() {
			if _, known := t.endedAt[id]; !known {
				t.endedAt[id] = time.Now()
			}
		}
	})
}

// cleanUp removes ended and withdrawn jobs whose retention is over, and retires workers that have left or
// have been silent for silentWorkerTimeout.
func (t *tenure) cleanUp() {
	var ids []string
	t.mu.Lock()
	for id, since := range t.endedAt {
		if time.Since(since) > t.cfg.StatusKeep {
			ids = append(ids, id)
			delete(t.endedAt, id)
		}
	}
	withdrawn := t.takeWithdrawnBefore(time.Now().Add(-t.cfg.StatusKeep))
	silent, left := t.core.WorkersSilentFor(silentWorkerTimeout, t.now()), t.core.WorkersThatLeft()
	t.mu.Unlock()
	if len(ids)+len(withdrawn) > 0 {
		t.proposeLogged("jobs_not_forgotten", &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_ForgetJobs{ForgetJobs: &egretmuxv1.ForgetJobs{Jobs: ids, Withdrawn: withdrawn}}})
	}
	t.retireWorkersThatLeft(left)
	for _, w := range silent {
		t.retireSilent(w)
	}
}

// retireSilent ends the life of a worker, unless it has answered meanwhile. The process may only be
// cut off, so its life is not over.
func (t *tenure) retireSilent(w dispatch.Target) {
	t.mu.Lock()
	silent := t.core.RetireSilent(w, silentWorkerTimeout, t.now())
	t.mu.Unlock()
	if !silent {
		return
	}
	if err := t.endLife(t.ctx, w, dispatch.GoneSilent, &egretmuxv1.EndLife{Worker: w.Worker, BornUnixMs: w.Born}); err != nil {
		t.updateCore(func(c *dispatch.Core, _ time.Duration) { c.KeepWorker(w) })
		t.cfg.Logger.Warn().Err(err).Str("event", "worker_not_retired").Str("worker", w.Worker).Msg("the end of the worker's life was not stored")
	}
}

// retireWorkersThatLeft ends the lives of workers that have announced their end, once their runs
// have ended.
func (t *tenure) retireWorkersThatLeft(left []dispatch.Left) {
	for _, w := range left {
		t.mu.Lock()
		empty := t.core.RetireLeft(w.Target)
		t.mu.Unlock()
		if !empty {
			continue
		}
		if err := t.retireLeft(t.ctx, w.Target, w.Over); err != nil {
			t.cfg.Logger.Warn().Err(err).Str("event", "worker_not_retired").Str("worker", w.Worker).Msg("the end of the worker's life was not stored")
		}
	}
}

// retireLeft ends the life of a worker that has left. over tells that it is certainly this
// life that is over, so that it does not come back.
func (t *tenure) retireLeft(ctx context.Context, w dispatch.Target, over bool) error {
	return t.endLife(ctx, w, dispatch.GoneLeft, &egretmuxv1.EndLife{Worker: w.Worker, BornUnixMs: w.Born, Over: over})
}

// retireCrashed ends a life that may be over without a drain. The runs that it took along
// are stored with its end, so that later leaders know of them.
func (t *tenure) retireCrashed(ctx context.Context, w dispatch.Target, reason string) error {
	t.mu.Lock()
	crashed := t.core.CrashedRuns(w)
	t.mu.Unlock()
	return t.endLife(ctx, w, reason, &egretmuxv1.EndLife{Worker: w.Worker, BornUnixMs: w.Born, Over: true, CrashedRuns: crashed})
}

// endLife ends a worker's life in the book and then in the core.
func (t *tenure) endLife(ctx context.Context, w dispatch.Target, reason string, end *egretmuxv1.EndLife) error {
	_, err := t.proposeForCaller(ctx, &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{EndLife: end}}, func(job.Result) {
		t.updateCore(func(c *dispatch.Core, now time.Duration) {
			c.WorkerGone(w, reason, now)
			c.CrashesStored(w, end.GetCrashedRuns(), now)
			for _, r := range end.GetCrashedRuns() {
				t.markEnded(r.GetJob())
			}
		})
	})
	return err
}

func (t *tenure) proposeLogged(event string, cmd *egretmuxv1.JobCommand) {
	if _, err := t.propose(cmd); err != nil {
		t.cfg.Logger.Warn().Err(err).Str("event", event).Msg("")
	}
}

// propose commits a command in this term and waits for its outcome, or until the
// tenure is over.
func (t *tenure) propose(cmd *egretmuxv1.JobCommand) (job.Result, error) {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return job.Result{}, err
	}
	return t.commit(data)
}

// proposeForCaller is like propose, but returns an unknown outcome if ctx is done
// first. The proposal outlives its caller: onCommit, unless nil, runs once the command
// is committed, before proposeForCaller returns its result.
func (t *tenure) proposeForCaller(ctx context.Context, cmd *egretmuxv1.JobCommand, onCommit func(job.Result)) (job.Result, error) {
	result, _, err := t.proposeOrJoin(ctx, cmd, onCommit, false)
	return result, err
}

// proposeOnce is like proposeForCaller, but a command that is being stored is not proposed again: the call waits for the
// outcome of the first proposal, which may have been applied before the call began. It reports whether the call did so.
// All calls with the same command must have the same onCommit.
func (t *tenure) proposeOnce(ctx context.Context, cmd *egretmuxv1.JobCommand, onCommit func(job.Result)) (result job.Result, joined bool, err error) {
	return t.proposeOrJoin(ctx, cmd, onCommit, true)
}

func (t *tenure) proposeOrJoin(ctx context.Context, cmd *egretmuxv1.JobCommand, onCommit func(job.Result), join bool) (result job.Result, joined bool, err error) {
	data, err := proto.Marshal(cmd) // here, as the caller may change the command when it repeats its call
	if err != nil {
		return job.Result{}, false, err
	}
	submitted := cmd.GetSubmit().GetJob().GetId()
	p, joined := t.beginProposal(data, join)
	if joined {
		telemetry.CountRetry("proposal-joined")
		result, err = p.await(ctx)
		return result, true, err
	}
	if submitted != "" {
		t.beginStoring(submitted)
	}
	go func() {
		result, err := t.commit(data)
		if err == nil && onCommit != nil {
			onCommit(result)
		}
		if submitted != "" {
			t.endStoring(submitted, err)
		}
		if err != nil && ctx.Err() != nil {
			t.cfg.Logger.Warn().Err(err).Str("event", "proposal_failed").Uint64("term", t.term).Msg("a command whose caller had given up was not committed here")
		}
		t.endProposal(p, data, result, err)
	}()
	result, err = p.await(ctx)
	return result, false, err
}

func (t *tenure) commit(data []byte) (job.Result, error) {
	began := time.Now()
	value, err := t.node.ProposeInTerm(t.ctx, t.term, data)
	took := time.Since(began)
	telemetry.ObserveSeconds("commit", took)
	if took >= slowCommitThreshold {
		t.noteSlowCommit(took, err)
	}
	switch {
	case errors.Is(err, consensus.ErrNotLeader):
		return job.Result{}, noLeader()
	case err != nil:
		return job.Result{}, outcomeUnknown("leadership was lost before the outcome was known").WithCause(err)
	}
	if failed, ok := value.(error); ok {
		return job.Result{}, failed
	}
	return value.(job.Result), nil
}

// noteSlowCommit counts a slow commit and logs it, unless one was logged a moment ago. Replicas that lack entries of the
// leader's log tell slow disks and links from a leader that takes long itself.
func (t *tenure) noteSlowCommit(took time.Duration, err error) {
	telemetry.Count("commits_slow_total")
	now := time.Now().UnixNano()
	last := t.slowCommitLogged.Load()
	if now-last < int64(slowCommitLogPeriod) || !t.slowCommitLogged.CompareAndSwap(last, now) {
		return
	}
	status, _ := t.node.Status()
	behind := 0
	for _, match := range status.Match {
		if match < status.Last {
			behind++
		}
	}
	t.cfg.Logger.Warn().Str("event", "commit_slow").Uint64("term", t.term).Int64("age_ms", took.Milliseconds()).Int("replicas", len(status.Match)).Int("behind", behind).
		Uint64("uncommitted", status.Last-min(status.Commit, status.Last)).Bool("handing_over", status.TransferInProgressTo != 0).Err(err).Msg("a command took long to be stored")
}

func outcomeUnknown(message string) *refusal.Error {
	return refusal.NewUnknown(refusal.OutcomeUnknown, "send it again", "%s", message)
}
