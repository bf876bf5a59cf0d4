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
	tickPeriod    = 100 * time.Millisecond // leases and due times are checked
	planPause     = 3 * time.Millisecond   // least time between two plans, so that events gather
	planPart      = 3                      // a plan that took long is followed by a pause so many times as long
	confirmPeriod = 300 * time.Millisecond // leases are counted from the last confirmation
	confirmFresh  = 900 * time.Millisecond // three missed confirmations
	slowConfirm   = 120 * time.Millisecond // a confirmation takes a few milliseconds, on a busy instance some tens
	slowLimit     = 4                      // times slowConfirm in a row after which another replica leads
	slowAppend    = 60 * time.Millisecond  // of the log; a disk in order takes 6 to 9 ms for a sync
	// overloadConfirm is the time of a confirmation beyond which new jobs are
	// refused; followers wait twice as long for a heartbeat before they elect.
	overloadConfirm = 300 * time.Millisecond
	confirmPause    = 10 * time.Millisecond // least time between two confirmations, so that reads gather
	forgetPeriod    = 5 * time.Second
	silentForget    = 20 * time.Second       // a silent worker without runs is dropped from the book
	lookWait        = time.Second            // so that progress is seen about as often
	watchWait       = 400 * time.Millisecond // at workers whose serving tasks others may slow down
	lookRetryPause  = 250 * time.Millisecond
	lookPause       = 5 * time.Millisecond    // between two looks at a worker, so that ends gather
	withheldPause   = 200 * time.Millisecond  // between two looks at a worker that answers at once
	adviceSlack     = 1500 * time.Millisecond // for advice, beyond twice its expected time: calls wait for their turn
)

// tenure is one leader's time in office.
type tenure struct {
	cfg   Config
	node  *consensus.Node
	book  *job.Book
	term  uint64
	began time.Time
	ctx   context.Context

	mu   sync.Mutex // guards core and what follows
	core *dispatch.Core
	look map[dispatch.Target]*looker
	over map[string]time.Time // ended jobs, by when that was first seen

	kick     chan struct{}
	notes    *notes
	confirms confirmer
	// lastConfirmed is when the last confirmation began, in nanoseconds of the tenure.
	lastConfirmed atomic.Int64
	watched       atomic.Int64 // workers
	startTook     atomic.Int64 // by starts of late, in nanoseconds
	confirmTook   atomic.Int64 // by the newest confirmation, in nanoseconds
}

func newTenure(ctx context.Context, cfg Config, node *consensus.Node, book *job.Book, term uint64) *tenure {
	return &tenure{
		ctx: ctx, cfg: cfg, node: node, book: book, term: term, began: time.Now(),
		look: make(map[dispatch.Target]*looker), over: make(map[string]time.Time),
		kick: make(chan struct{}, 1), notes: newNotes(),
	}
}

// now is the time since the tenure began.
func (t *tenure) now() time.Duration { return time.Since(t.began) }

// begin reads the book, which holds everything that earlier leaders stored.
func (t *tenure) begin() {
	wall := t.began.UnixMilli()
	t.core = dispatch.New(dispatch.Config{
		Book: t.book, Term: t.term, Lease: t.cfg.Lease, FarFactor: t.cfg.FarFactor, StopTimeout: t.cfg.StopTimeout,
		UnixMs: func(now time.Duration) int64 { return wall + now.Milliseconds() },
	})
	for _, w := range t.book.Workers() {
		t.look[targetOf(w.Life)] = nil
	}
	t.watched.Store(int64(len(t.look)))
	t.book.Each(func(id string, r *job.Record) {
		if r.Ended() {
			t.over[id] = t.began
		}
	})
}

func targetOf(life *egretmuxv1.WorkerLife) dispatch.Target {
	return dispatch.Target{Worker: life.GetWorker(), Born: life.GetBornUnixMs(), Address: life.GetAddress()}
}

// run acts until the tenure's context ends.
func (t *tenure) run() {
	ctx := t.ctx
	t.cfg.Logger.Info().Str("event", "tenure_began").Uint64("term", t.term).Int("workers", len(t.look)).Msg("")
	var loops sync.WaitGroup
	loops.Go(func() { t.confirmLoop(ctx) })
	loops.Go(func() {
		periodic.Run(ctx, tickPeriod, func(time.Time) {
			t.do(func(c *dispatch.Core, now time.Duration) {
				c.SetAdvisers(t.cfg.Adviser.Instances())
				c.Tick(now)
			})
		})
	})
	loops.Go(func() { periodic.Run(ctx, forgetPeriod, func(time.Time) { t.forget() }) })
	loops.Go(func() { t.upkeepLoop(ctx) })
	loops.Go(func() { t.planLoop(ctx) })
	loops.Go(func() { t.noteLoop(ctx) })
	t.mu.Lock()
	for target := range t.look {
		t.startLooking(target)
	}
	t.mu.Unlock()
	<-ctx.Done()
	loops.Wait()
	t.cfg.Logger.Info().Str("event", "tenure_ended").Uint64("term", t.term).Msg("")
}

// do runs f on the core, carries out what it decided and has a plan made.
func (t *tenure) do(f func(*dispatch.Core, time.Duration)) {
	t.mu.Lock()
	f(t.core, t.now())
	t.carryOut()
	t.mu.Unlock()
	select {
	case t.kick <- struct{}{}:
	default:
	}
}

func (t *tenure) planLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.kick:
		}
		t.mu.Lock()
		began := time.Now()
		t.core.Plan(t.now())
		t.carryOut()
		t.mu.Unlock()
		took := time.Since(began)
		telemetry.ObserveSeconds("plan", took)
		time.Sleep(max(planPause, planPart*took))
	}
}

// carryOut starts what the core wants done. The caller holds mu.
func (t *tenure) carryOut() {
	acts := t.core.TakeActions()
	if len(acts.Starts) > 0 {
		go t.storeStarts(acts.Starts)
	}
	for _, s := range acts.Stops {
		go t.sendStop(s)
	}
	for _, p := range acts.Paces {
		go t.sendPace(p)
	}
	for _, a := range acts.Asks {
		go t.ask(a)
	}
	t.notes.add(acts.EndBatches)
	for _, n := range t.core.TakeNotices() {
		t.log(n)
	}
}

func (t *tenure) log(n dispatch.Notice) {
	telemetry.Count(`decisions_total{event="` + n.Event + `",reason="` + n.Reason + `"}`)
	switch n.Event {
	case "job_begun":
		telemetry.ObserveSeconds(`job_begun{queue="`+n.Queue+`"}`, n.Age)
	case "job_ended":
		telemetry.ObserveSeconds(`job_ended{queue="`+n.Queue+`"}`, n.Age)
	}
	e := t.cfg.Logger.Info().Str("event", n.Event).Uint64("term", t.term)
	for _, f := range [][2]string{{"job", n.Job}, {"queue", n.Queue}, {"task", n.Task}, {"worker", n.Worker}, {"reason", n.Reason}} {
		if f[1] != "" {
			e = e.Str(f[0], f[1])
		}
	}
	if n.Run != 0 {
		e = e.Uint64("run", n.Run)
	}
	if n.Age != 0 {
		e = e.Int64("age_ms", n.Age.Milliseconds())
	}
	if n.Asked != 0 {
		e = e.Int("asked", n.Asked).Int("good", n.Good)
	}
	e.Msg("")
}

func (t *tenure) ask(a dispatch.Ask) {
	ctx, cancel := context.WithTimeout(t.ctx, time.Duration(2*a.ExpectedMs*float64(time.Millisecond))+adviceSlack)
	defer cancel()
	asked := t.now()
	tickets, err := t.cfg.Adviser.Advise(ctx, a)
	telemetry.ObserveSeconds("advice", t.now()-asked)
	if err != nil {
		t.cfg.Logger.Warn().Err(err).Str("event", "advice_failed").Str("step", a.Step.String()).Msg("")
	}
	t.do(func(c *dispatch.Core, now time.Duration) { c.AdviceAnswered(a, tickets, err != nil, asked, now) })
}

// markOver remembers when a job was first seen as ended. The caller holds mu.
func (t *tenure) markOver(id string) {
	t.book.View(id, func(r *job.Record) {
		if r != nil && r.Ended() {
			if _, known := t.over[id]; !known {
				t.over[id] = time.Now()
			}
		}
	})
}

// forget drops ended jobs that nobody may ask for any more, and the lives of
// workers that have long been silent.
func (t *tenure) forget() {
	var ids []string
	t.mu.Lock()
	for id, since := range t.over {
		if time.Since(since) > t.cfg.StatusKeep {
			ids = append(ids, id)
			delete(t.over, id)
		}
	}
	silent := t.core.WorkersSilentFor(silentForget, t.now())
	t.mu.Unlock()
	if len(ids) > 0 {
		t.proposeLogged("jobs_not_forgotten", &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_ForgetJobs{ForgetJobs: &egretmuxv1.ForgetJobs{Jobs: ids}}})
	}
	for _, w := range silent {
		if err := t.retire(w, "silent"); err != nil {
			t.cfg.Logger.Warn().Err(err).Str("event", "worker_not_retired").Str("worker", w.Worker).Msg("")
		}
	}
}

// retire ends a life in the book and in the core.
func (t *tenure) retire(w dispatch.Target, reason string) error {
	_, err := t.propose(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{EndLife: &egretmuxv1.EndLife{Worker: w.Worker, BornUnixMs: w.Born}}})
	if err != nil {
		return err
	}
	t.do(func(c *dispatch.Core, _ time.Duration) { c.WorkerGone(w, reason) })
	return nil
}

func (t *tenure) proposeLogged(event string, cmd *egretmuxv1.JobCommand) {
	if _, err := t.propose(cmd); err != nil {
		t.cfg.Logger.Warn().Err(err).Str("event", event).Msg("")
	}
}

// propose commits a command in this term. It is not bound to a caller's time:
// the outcome is wanted even when nobody waits any more.
func (t *tenure) propose(cmd *egretmuxv1.JobCommand) (job.Result, error) {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return job.Result{}, err
	}
	began := time.Now()
	value, err := t.node.ProposeIn(t.ctx, t.term, data)
	telemetry.ObserveSeconds("commit", time.Since(began))
	switch {
	case errors.Is(err, consensus.ErrNotLeader):
		return job.Result{}, noLeader()
	case err != nil:
		return job.Result{}, refusal.NewUnknown(refusal.OutcomeUnknown, "send it again", "leadership was lost before the outcome was known").Because(err)
	}
	if failed, ok := value.(error); ok {
		return job.Result{}, failed
	}
	return value.(job.Result), nil
}
