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
	t, err := l.confirm(ctx)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*egretmuxv1.WorkerStatus
	for _, w := range l.store.Workers() {
		committed, attempts := l.store.Committed(w.GetId())
		s := &egretmuxv1.WorkerStatus{Worker: w, Committed: committed.Proto(), Attempts: int32(attempts)}
		heard := t.started
		if v := t.workers[w.GetId()]; v != nil {
			heard = v.heard
			s.Used = v.used().Proto()
		}
		s.SilentMs = now.Sub(heard).Milliseconds()
		out = append(out, s)
	}
	return out, nil
}

// used sums the newest usage reports.
func (v *workerView) used() worker.Resources {
	var sum worker.Resources
	for _, u := range v.usage {
		sum = sum.Plus(worker.ResourcesFromProto(u.GetUsed()))
	}
	return sum
}

// DrainWorker lets a worker take no new attempts, or take them again.
func (l *Leader) DrainWorker(ctx context.Context, id string, undrain bool, reason string) error {
	if _, err := l.current(); err != nil {
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

// Endpoints reports on the endpoints of a service, all for "".
func (l *Leader) Endpoints(ctx context.Context, service string) ([]*egretmuxv1.EndpointStatus, error) {
	t, err := l.confirm(ctx)
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
	t, err := l.confirm(ctx)
	if err != nil {
		return nil, err
	}
	return t.instances(time.Now()), nil
}

// Status summarises the cell.
func (l *Leader) Status(ctx context.Context) (*egretmuxv1.StatusResponse, error) {
	t, err := l.confirm(ctx)
	if err != nil {
		return nil, err
	}
	node, _ := l.node.Status()
	resp := &egretmuxv1.StatusResponse{
		Term: t.term, AppliedIndex: l.store.Applied(), ContractVersion: l.store.CellVersion(),
		Instances: t.instances(time.Now()), Customers: t.customers(),
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

// customers reports on each contract's use, share and outlook.
func (t *tenure) customers() []*egretmuxv1.CustomerStatus {
	outlook := make(map[string]place.Forecast)
	for _, f := range t.planner.latest() {
		outlook[f.Customer] = f
	}
	var out []*egretmuxv1.CustomerStatus
	for _, c := range t.store.ParsedContracts() {
		f := outlook[c.Customer]
		out = append(out, &egretmuxv1.CustomerStatus{
			Customer: c.Customer, ContractVersion: t.store.Contract(c.Customer, 0).GetVersion(),
			Queued: int32(t.store.WaitingMembers(c.Customer)), Running: int32(t.store.LiveAttempts(c.Customer)),
			Share: c.Share, DominantShare: f.Held, UsedShare: f.UsedShare,
			PredictedLateMs: f.LateMs, PredictedLate: int32(f.LateTasks), LateTrendMsPerMin: f.TrendMsPerMin,
			LateReason: string(f.Reason), DeadlinesMet: f.Met, DeadlinesMissed: f.Missed,
		})
	}
	return out
}
