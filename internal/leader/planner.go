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

// Periods of the customers' forecasts. The cost of a forecast grows with the
// number of unfinished tasks, so above slowForecastTasks it runs less often.
const (
	forecastPeriod     = time.Second
	slowForecastPeriod = 5 * time.Second
	slowForecastTasks  = 1000
)

// planner serialises the use of a place.Planner and keeps its last forecasts.
type planner struct {
	mu           sync.Mutex
	placement    *place.Planner
	forecasts    []place.Forecast
	forecastTime time.Time // time of the last forecasts
}

func (p *planner) init() { p.placement = place.New() }

func (p *planner) setTask(record *egretmuxv1.Task) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placement.SetTask(record, time.Now().UnixMilli())
}

func (p *planner) loadTask(store *state.Store, id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if record := store.Task(id); record != nil {
		p.placement.SetTask(record, time.Now().UnixMilli())
	}
}

func (p *planner) setWorker(w *egretmuxv1.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placement.SetWorker(w, time.Now().UnixMilli())
}

func (p *planner) setContract(store *state.Store, customer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := store.ParsedContract(customer); c != nil {
		p.placement.SetContract(c)
		return
	}
	p.placement.RemoveContract(customer)
}

func (p *planner) setUsage(worker string, usage []*egretmuxv1.AttemptUsage, now time.Time) {
	if len(usage) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placement.SetUsage(worker, usage, now.UnixMilli())
}

func (p *planner) decide() *place.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placement.Decide(time.Now().UnixMilli())
}

func (p *planner) admit(spec *egretmuxv1.TaskSpec) (*refusal.Error, []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placement.Admit(spec, time.Now().UnixMilli())
}

func (p *planner) explain(id uint64) place.Explanation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placement.Explain(id, time.Now().UnixMilli())
}

// latestForecasts returns the last forecasts.
func (p *planner) latestForecasts() []place.Forecast {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.forecasts
}

// loadPlanner adds the contracts and workers that existed when the tenure began.
func (t *tenure) loadPlanner() {
	for _, c := range t.store.ParsedContracts() {
		t.planner.setContract(t.store, c.Customer)
	}
	for _, w := range t.store.Workers() {
		t.planner.mu.Lock()
		t.planner.placement.SetWorker(t.store.Worker(w.GetId()), time.Now().UnixMilli())
		t.planner.mu.Unlock()
	}
}

// runPlanner plans on request and every planPeriod, and commits the plans.
func (t *tenure) runPlanner(ctx context.Context) {
	ticker := time.NewTicker(planPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.planRequested:
		case <-ticker.C:
		}
		t.planOnce(ctx)
	}
}

func (t *tenure) planOnce(ctx context.Context) {
	began := time.Now()
	plan := t.planner.decide()
	telemetry.ObserveSeconds("decision", time.Since(began))
	t.sendThrottles(plan.Throttles)
	for _, phase := range plan.Phases {
		t.commitWorkerPhase(ctx, phase)
	}
	if plan.More {
		t.requestPlan()
	}
	if plan.Empty() {
		return
	}
	result, err := t.leader.propose(ctx, &egretmuxv1.Command{Body: &egretmuxv1.Command_CommitPlan{CommitPlan: plan.Commit}})
	if err != nil {
		t.leader.logger.Warn().Err(err).Str("event", "plan_not_committed").Msg("could not commit the plan; planning again")
		return
	}
	countPlan(plan.Commit, result.Applied)
	t.leader.logger.Debug().Str("event", "plan_committed").Int("applied", result.Applied).Int("starts", len(plan.Commit.GetStarts())).Msg("")
}

// countPlan counts the parts of a plan, and those that were stale at commit.
func countPlan(c *egretmuxv1.CommitPlan, applied int) {
	metrics.GetOrCreateCounter(`egretmux_plan_parts_total{part="start"}`).Add(len(c.GetStarts()))
	metrics.GetOrCreateCounter(`egretmux_plan_parts_total{part="stop"}`).Add(len(c.GetStops()))
	metrics.GetOrCreateCounter(`egretmux_plan_parts_total{part="resize"}`).Add(len(c.GetResizes()))
	total := len(c.GetStarts()) + len(c.GetStops()) + len(c.GetResizes()) + len(c.GetRejects())
	metrics.GetOrCreateCounter("egretmux_plan_parts_stale_total").Add(total - applied)
}

// sendThrottles sends throttles to their workers. One that gets lost is decided
// again at the next usage report.
func (t *tenure) sendThrottles(throttles []place.Throttle) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, throttle := range throttles {
		telemetry.Count("throttles_total")
		w, view := t.store.Worker(throttle.Worker), t.workers[throttle.Worker]
		if w == nil || view == nil || t.sessions[view.instance] == nil {
			continue
		}
		t.sessions[view.instance].enqueue(&egretmuxv1.WorkerCommand{
			Worker: w.GetId(), Address: w.GetAddress(), WorkerEpoch: w.GetEpoch(),
			Body: &egretmuxv1.WorkerCommand_Throttle{Throttle: &egretmuxv1.ThrottleAttempt{
				Task: throttle.Task, Attempt: throttle.Attempt, CpuMillis: throttle.CPUMillis,
			}},
		})
	}
}

// commitWorkerPhase commits the quarantine of a worker or its release.
func (t *tenure) commitWorkerPhase(ctx context.Context, phase *egretmuxv1.SetWorkerPhase) {
	_, err := t.leader.propose(ctx, &egretmuxv1.Command{Body: &egretmuxv1.Command_SetWorkerPhase{SetWorkerPhase: phase}})
	event := "worker_released"
	if phase.GetPhase() == egretmuxv1.WorkerPhase_WORKER_PHASE_QUARANTINED {
		event = "worker_quarantined"
	}
	telemetry.Count(event + "_total")
	t.leader.logger.Warn().AnErr("error", err).Str("event", event).Str("worker", phase.GetWorker()).Str("reason", phase.GetReason()).Msg("proposed a change of the worker's phase")
}

// updateForecasts periodically forecasts the customers' lateness, publishes it
// and warns of deadlines that are about to be missed.
func (t *tenure) updateForecasts(now time.Time) {
	t.planner.mu.Lock()
	period := forecastPeriod
	if t.planner.placement.Unfinished() > slowForecastTasks {
		period = slowForecastPeriod
	}
	due := now.Sub(t.planner.forecastTime) >= period
	if due {
		t.planner.forecastTime = now
		t.planner.forecasts = t.planner.placement.Forecast(now.UnixMilli())
	}
	forecasts := t.planner.forecasts
	t.planner.mu.Unlock()
	if !due {
		return
	}
	for i := range forecasts {
		t.publishForecast(&forecasts[i])
	}
}

func (t *tenure) publishForecast(f *place.Forecast) {
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
			Float64("trend_ms_per_min", f.TrendMsPerMin).Int("tasks", f.LateTasks).Str("reason", string(f.Reason)).Msg("deadlines of the customer are at risk")
	}
}
