package leader

import (
	"context"
	"sort"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/place"
	"github.com/egretmux/egretmux/internal/worker"
)

// Workers reports on each worker.
func (l *Leader) Workers(ctx context.Context) ([]*egretmuxv1.WorkerStatus, error) {
	t, err := l.confirmTenure(ctx)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*egretmuxv1.WorkerStatus
	for _, w := range l.store.Workers() {
		committed, attempts := l.store.HeldOnWorker(w.GetId())
		s := &egretmuxv1.WorkerStatus{Worker: w, Committed: committed.Proto(), Attempts: int32(attempts)}
		lastHeard := t.started
		if v := t.workers[w.GetId()]; v != nil {
			lastHeard = v.lastHeard
			s.Used = v.usedResources().Proto()
		}
		s.SilentMs = now.Sub(lastHeard).Milliseconds()
		out = append(out, s)
	}
	return out, nil
}

// usedResources returns the sum of the newest usage reports of the worker's attempts.
func (v *workerView) usedResources() worker.Resources {
	var sum worker.Resources
	for _, u := range v.usage {
		sum = sum.Plus(worker.ResourcesFromProto(u.GetUsed()))
	}
	return sum
}

// DrainWorker stops new attempts on a worker, or allows them again if undrain is set.
func (l *Leader) DrainWorker(ctx context.Context, id string, undrain bool, reason string) error {
	if _, err := l.currentTenure(); err != nil {
		return err
	}
	phase := egretmuxv1.WorkerPhase_WORKER_PHASE_DRAINING
	if undrain {
		phase = egretmuxv1.WorkerPhase_WORKER_PHASE_READY
	}
	_, err := l.propose(ctx, &egretmuxv1.Command{Body: &egretmuxv1.Command_SetWorkerPhase{SetWorkerPhase: &egretmuxv1.SetWorkerPhase{
		Worker: id, Phase: phase, Reason: reason,
	}}})
	return err
}

// Endpoints reports on the endpoints of a service, or of all services for "".
func (l *Leader) Endpoints(ctx context.Context, service string) ([]*egretmuxv1.EndpointStatus, error) {
	t, err := l.confirmTenure(ctx)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endpoints.Status(service, time.Now()), nil
}

// Services sums the endpoints of each service.
func (l *Leader) Services(ctx context.Context) ([]*egretmuxv1.ServiceStatus, error) {
	endpoints, err := l.Endpoints(ctx, "")
	if err != nil {
		return nil, err
	}
	byName := make(map[string]*egretmuxv1.ServiceStatus)
	var out []*egretmuxv1.ServiceStatus
	for _, e := range endpoints {
		s := byName[e.GetService()]
		if s == nil {
			s = &egretmuxv1.ServiceStatus{Service: e.GetService()}
			byName[e.GetService()] = s
			out = append(out, s)
		}
		s.Endpoints++
		s.Slots += e.GetSlots()
		s.Granted += e.GetGranted()
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetService() < out[j].GetService() })
	return out, nil
}

// Instances reports on each instance of the cell.
func (l *Leader) Instances(ctx context.Context) ([]*egretmuxv1.InstanceStatus, error) {
	t, err := l.confirmTenure(ctx)
	if err != nil {
		return nil, err
	}
	return t.instanceStatuses(time.Now()), nil
}

// Status summarises the cell.
func (l *Leader) Status(ctx context.Context) (*egretmuxv1.StatusResponse, error) {
	t, err := l.confirmTenure(ctx)
	if err != nil {
		return nil, err
	}
	node, _ := l.node.Status()
	resp := &egretmuxv1.StatusResponse{
		Term: t.term, AppliedIndex: l.store.Applied(), ContractVersion: l.store.CellVersion(),
		Instances: t.instanceStatuses(time.Now()), Customers: t.customerStatuses(),
	}
	for _, r := range node.Membership.GetReplicas() {
		if r.GetId() == node.Leader {
			resp.Leader = r.GetInstance()
		}
	}
	for _, w := range l.store.Workers() {
		if w.GetPhase() == egretmuxv1.WorkerPhase_WORKER_PHASE_READY {
			resp.WorkersReady++
		} else {
			resp.WorkersOther++
		}
	}
	for _, c := range resp.Customers {
		resp.TasksQueued += c.GetQueued()
		resp.TasksRunning += c.GetRunning()
	}
	endpoints, err := l.Endpoints(ctx, "")
	resp.Endpoints = int32(len(endpoints))
	return resp, err
}

// customerStatuses reports on the usage, share and forecast of each customer.
func (t *tenure) customerStatuses() []*egretmuxv1.CustomerStatus {
	forecasts := make(map[string]place.Forecast)
	for _, forecast := range t.planner.latestForecasts() {
		forecasts[forecast.Customer] = forecast
	}
	var out []*egretmuxv1.CustomerStatus
	for _, c := range t.store.ParsedContracts() {
		forecast := forecasts[c.Customer]
		out = append(out, &egretmuxv1.CustomerStatus{
			Customer: c.Customer, ContractVersion: t.store.Contract(c.Customer, 0).GetVersion(),
			Queued: int32(t.store.WaitingMembers(c.Customer)), Running: int32(t.store.LiveAttempts(c.Customer)),
			Share: c.Share, DominantShare: forecast.Held, UsedShare: forecast.UsedShare,
			PredictedLateMs: forecast.LateMs, PredictedLate: int32(forecast.LateTasks), LateTrendMsPerMin: forecast.TrendMsPerMin,
			LateReason: string(forecast.Reason), DeadlinesMet: forecast.Met, DeadlinesMissed: forecast.Missed,
		})
	}
	return out
}
