package leader

import (
	"context"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
)

// applyWorkerReports commits the reported changes of attempts and answers each
// worker. Only an answer that carries a worker's epoch renews its lease.
func (t *tenure) applyWorkerReports(ctx context.Context, req *egretmuxv1.ReportRequest, now time.Time, resp *egretmuxv1.ReportResponse) error {
	var changes []*egretmuxv1.AttemptChange
	for _, r := range req.GetWorkers() {
		reply, err := t.applyWorkerReport(ctx, req.GetInstance().GetId(), r, now)
		if err != nil {
			return err
		}
		resp.Workers = append(resp.Workers, reply)
		if !reply.GetRegister() {
			changes = append(changes, attemptChanges(r)...)
		}
	}
	return t.commitChanges(ctx, changes)
}

func (t *tenure) commitChanges(ctx context.Context, changes []*egretmuxv1.AttemptChange) error {
	if len(changes) == 0 {
		return nil
	}
	_, err := t.leader.propose(ctx, &egretmuxv1.Command{Body: &egretmuxv1.Command_ReportAttempts{ReportAttempts: &egretmuxv1.ReportAttempts{Changes: changes}}})
	return err
}

func (t *tenure) applyWorkerReport(ctx context.Context, instance string, r *egretmuxv1.WorkerReport, now time.Time) (*egretmuxv1.WorkerReply, error) {
	reply := &egretmuxv1.WorkerReply{Worker: r.GetWorker()}
	// The report is recorded before the worker's phase is read: a loss decided
	// later takes the report into account, and after one decided earlier nothing
	// is renewed.
	if !t.recordWorkerReport(r, instance, now, reply) {
		reply.Register = true
		return reply, nil
	}
	if r.GetRegister() != nil {
		return t.registerWorker(ctx, r, reply)
	}
	w := t.store.Worker(r.GetWorker())
	if w == nil || w.GetEpoch() != r.GetEpoch() || w.GetPhase() == egretmuxv1.WorkerPhase_WORKER_PHASE_LOST {
		reply.Register = true
		return reply, nil
	}
	reply.Epoch = w.GetEpoch()
	reply.StopAttempts = t.unknownAttempts(r)
	return reply, nil
}

// registerWorker gives a worker a new epoch once it runs only attempts that the
// cell knows; until then, unknown attempts occupy its resources.
func (t *tenure) registerWorker(ctx context.Context, r *egretmuxv1.WorkerReport, reply *egretmuxv1.WorkerReply) (*egretmuxv1.WorkerReply, error) {
	if unknown := t.unknownAttempts(r); len(unknown) > 0 {
		reply.Register = true
		reply.StopAttempts = unknown
		return reply, nil
	}
	// Attempts that have ended must not count as lost with the old epoch.
	if err := t.commitChanges(ctx, attemptChanges(r)); err != nil {
		return nil, err
	}
	result, err := t.leader.propose(ctx, &egretmuxv1.Command{Body: &egretmuxv1.Command_RegisterWorker{RegisterWorker: &egretmuxv1.RegisterWorker{
		Worker: r.GetRegister(), Running: r.GetRunning(),
	}}})
	if err != nil {
		return nil, err
	}
	reply.Epoch = result.Worker.GetEpoch()
	return reply, nil
}

// unknownAttempts returns the reported attempts that the state does not have on
// this worker.
func (t *tenure) unknownAttempts(r *egretmuxv1.WorkerReport) []uint64 {
	var unknown []uint64
	for _, a := range r.GetRunning() {
		if t.store.TaskOfAttempt(r.GetWorker(), a) == 0 {
			unknown = append(unknown, a)
		}
	}
	return unknown
}

// ensureWorkerView returns the view of a worker and creates it if needed. The
// caller holds the lock.
func (t *tenure) ensureWorkerView(worker string) *workerView {
	v := t.workers[worker]
	if v == nil {
		v = &workerView{usage: make(map[uint64]*egretmuxv1.AttemptUsage)}
		t.workers[worker] = v
	}
	return v
}

// recordWorkerReport updates the view of a worker. It returns false while the
// worker's loss is being decided.
func (t *tenure) recordWorkerReport(r *egretmuxv1.WorkerReport, instance string, now time.Time, reply *egretmuxv1.WorkerReply) bool {
	t.planner.setUsage(r.GetWorker(), r.GetUsage(), now)
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.ensureWorkerView(r.GetWorker())
	if v.lossPending {
		return false
	}
	if now.After(v.lastHeard) {
		v.lastHeard = now
	}
	v.instance = instance
	if r.GetFull() {
		v.usage = make(map[uint64]*egretmuxv1.AttemptUsage, len(r.GetUsage()))
		v.hasFullReport = true
	}
	for _, u := range r.GetUsage() {
		v.usage[u.GetAttempt()] = u
	}
	for _, a := range r.GetAttempts() {
		if !task.Live(a.GetPhase()) {
			delete(v.usage, a.GetAttempt())
		}
	}
	reply.NeedFull = !v.hasFullReport
	return true
}

func attemptChanges(r *egretmuxv1.WorkerReport) []*egretmuxv1.AttemptChange {
	changes := make([]*egretmuxv1.AttemptChange, 0, len(r.GetAttempts()))
	for _, a := range r.GetAttempts() {
		changes = append(changes, &egretmuxv1.AttemptChange{
			Task: a.GetTask(), Attempt: a.GetAttempt(), Phase: a.GetPhase(), Detail: a.GetDetail(), CheckpointMs: a.GetCheckpointMs(),
		})
	}
	return changes
}
