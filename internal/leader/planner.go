package leader

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/place"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/state"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// How often the customers' outlook is worked out; its cost grows with the
// unfinished tasks.
const (
	forecastPeriod = time.Second
	forecastSlower = 5 * time.Second
	manyTasks      = 1000
)

// planner guards the decision code.
type planner struct {
	mu        sync.Mutex
	place     *place.Planner
	forecasts []place.Forecast
	forecast  time.Time // when they were made
}

func (p *planner) init() { p.place = place.New() }

func (p *planner) setTask(x *egretmuxv1.Task) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.place.SetTask(x, time.Now().UnixMilli())
}

func (p *planner) loadTask(store *state.Store, id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := store.Task(id); x != nil {
		p.place.SetTask(x, time.Now().UnixMilli())
	}
}

func (p *planner) setWorker(w *egretmuxv1.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.place.SetWorker(w, time.Now().UnixMilli())
}

func (p *planner) setContract(store *state.Store, customer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := store.ParsedContract(customer); c != nil {
		p.place.SetContract(c)
		return
	}
	p.place.RemoveContract(customer)
}

func (p *planner) setUsage(worker string, usage []*egretmuxv1.AttemptUsage, now time.Time) {
	if len(usage) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.place.SetUsage(worker, usage, now.UnixMilli())
}

func (p *planner) decide() *place.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.place.Decide(time.Now().UnixMilli())
}

func (p *planner) admit(spec *egretmuxv1.TaskSpec) (*refusal.Error, []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.place.Admit(spec, time.Now().UnixMilli())
}

func (p *planner) explain(id uint64) place.Explanation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.place.Explain(id, time.Now().UnixMilli())
}

// latest returns the outlook as last worked out.
func (p *planner) latest() []place.Forecast {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.forecasts
}

// loadPlanner takes in the contracts and workers that existed when the tenure began.
func (t *tenure) loadPlanner() {
	for _, c := range t.store.ParsedContracts() {
		t.planner.setContract(t.store, c.Customer)
	}
	for _, w := range t.store.Workers() {
		t.planner.mu.Lock()
		t.planner.place.SetWorker(t.store.Worker(w.GetId()), time.Now().UnixMilli())
		t.planner.mu.Unlock()
	}
}

// runPlanner plans whenever something changed and commits what was decided.
func (t *tenure) runPlanner(ctx context.Context) {
	ticker := time.NewTicker(planPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.plan:
		case <-ticker.C:
		}
		t.planOnce(ctx)
	}
}

func (t *tenure) planOnce(ctx context.Context) {
	began := time.Now()
	plan := t.planner.decide()
	telemetry.ObserveSeconds("decision", time.Since(began))
	t.throttle(plan.Throttles)
	for _, phase := range plan.Phases {
		t.setPhase(ctx, phase)
	}
	if plan.More {
		t.wakePlanner()
	}
	if plan.Empty() {
		return
	}
	result, err := t.leader.propose(ctx, &egretmuxv1.Command{Body: &egretmuxv1.Command_CommitPlan{CommitPlan: plan.Commit}})
	if err != nil {
		t.leader.logger.Warn().Err(err).Str("event", "plan_not_committed").Msg("")
		return
	}
	countPlan(plan.Commit, result.Applied)
	t.leader.logger.Debug().Str("event", "plan_committed").Int("applied", result.Applied).Int("starts", len(plan.Commit.GetStarts())).Msg("")
}

// countPlan counts the parts of a plan and those that no longer held at commit.
func countPlan(c *egretmuxv1.CommitPlan, applied int) {
	metrics.GetOrCreateCounter(`egretmux_plan_parts_total{part="start"}`).Add(len(c.GetStarts()))
	metrics.GetOrCreateCounter(`egretmux_plan_parts_total{part="stop"}`).Add(len(c.GetStops()))
	metrics.GetOrCreateCounter(`egretmux_plan_parts_total{part="resize"}`).Add(len(c.GetResizes()))
	total := len(c.GetStarts()) + len(c.GetStops()) + len(c.GetResizes()) + len(c.GetRejects())
	metrics.GetOrCreateCounter("egretmux_plan_parts_stale_total").Add(total - applied)
}

// throttle passes throttles on. One that gets lost is decided again with the
// next usage report.
func (t *tenure) throttle(throttles []place.Throttle) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range throttles {
		telemetry.Count("throttles_total")
		w, view := t.store.Worker(x.Worker), t.workers[x.Worker]
		if w == nil || view == nil || t.sessions[view.instance] == nil {
			continue
		}
		t.sessions[view.instance].push(&egretmuxv1.WorkerCommand{
			Worker: w.GetId(), Address: w.GetAddress(), WorkerEpoch: w.GetEpoch(),
			Body: &egretmuxv1.WorkerCommand_Throttle{Throttle: &egretmuxv1.ThrottleAttempt{
				Task: x.Task, Attempt: x.Attempt, CpuMillis: x.CPUMillis,
			}},
		})
	}
}

// setPhase commits a worker's quarantine or release.
func (t *tenure) setPhase(ctx context.Context, phase *egretmuxv1.SetWorkerPhase) {
	_, err := t.leader.propose(ctx, &egretmuxv1.Command{Body: &egretmuxv1.Command_SetWorkerPhase{SetWorkerPhase: phase}})
	event := "worker_released"
	if phase.GetPhase() == egretmuxv1.WorkerPhase_WORKER_PHASE_QUARANTINED {
		event = "worker_quarantined"
	}
	telemetry.Count(event + "_total")
	t.leader.logger.Warn().AnErr("error", err).Str("event", event).Str("worker", phase.GetWorker()).Str("reason", phase.GetReason()).Msg("")
}

// forecast works out the customers' outlook now and then, and warns of
// deadlines that are about to slip.
func (t *tenure) forecast(now time.Time) {
	t.planner.mu.Lock()
	period := forecastPeriod
	if t.planner.place.Unfinished() > manyTasks {
		period = forecastSlower
	}
	due := now.Sub(t.planner.forecast) >= period
	if due {
		t.planner.forecast = now
		t.planner.forecasts = t.planner.place.Forecast(now.UnixMilli())
	}
	list := t.planner.forecasts
	t.planner.mu.Unlock()
	if !due {
		return
	}
	for i := range list {
		t.publish(&list[i])
	}
}

func (t *tenure) publish(f *place.Forecast) {
	label := `{customer="` + f.Customer + `"}`
	metrics.GetOrCreateGauge("egretmux_customer_predicted_late_ms"+label, nil).Set(float64(f.LateMs))
	metrics.GetOrCreateGauge("egretmux_customer_late_trend_ms_per_min"+label, nil).Set(f.TrendMsPerMin)
	metrics.GetOrCreateGauge("egretmux_customer_predicted_late_tasks"+label, nil).Set(float64(f.LateTasks))
	metrics.GetOrCreateGauge("egretmux_customer_dominant_share"+label, nil).Set(f.Held)
	metrics.GetOrCreateGauge("egretmux_customer_used_share"+label, nil).Set(f.UsedShare)
	metrics.GetOrCreateGauge("egretmux_customer_deadlines_missed"+label, nil).Set(float64(f.Missed))
	if f.Warning {
		telemetry.Count("lateness_warnings_total")
		t.leader.logger.Warn().Str("event", "lateness_predicted").Str("customer", f.Customer).Int64("late_ms", f.LateMs).
			Float64("trend_ms_per_min", f.TrendMsPerMin).Int("tasks", f.LateTasks).Str("reason", string(f.Reason)).Msg("")
	}
}
