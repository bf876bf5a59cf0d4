package leader

import (
	"context"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
)

// takeWorkerReports commits the changes of attempts and answers each worker.
// A worker's lease is renewed only by an answer that names its epoch.
func (t *tenure) takeWorkerReports(ctx context.Context, req *egretmuxv1.ReportRequest, now time.Time, resp *egretmuxv1.ReportResponse) error {
	var changes []*egretmuxv1.AttemptChange
	for _, r := range req.GetWorkers() {
		reply, err := t.takeWorkerReport(ctx, req.GetInstance().GetId(), r, now)
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

func (t *tenure) takeWorkerReport(ctx context.Context, instance string, r *egretmuxv1.WorkerReport, now time.Time) (*egretmuxv1.WorkerReply, error) {
	reply := &egretmuxv1.WorkerReply{Worker: r.GetWorker()}
	// The report must count before the worker's phase is read: a loss that is
	// decided later then sees it, and one decided before renews nothing.
	if !t.heard(r, instance, now, reply) {
		reply.Register = true
		return reply, nil
	}
	if r.GetRegister() != nil {
		return t.register(ctx, r, reply)
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

// register gives a worker a new epoch once it runs nothing that the cell does
// not know; until then unknown attempts hold its room.
func (t *tenure) register(ctx context.Context, r *egretmuxv1.WorkerReport, reply *egretmuxv1.WorkerReply) (*egretmuxv1.WorkerReply, error) {
	if unknown := t.unknownAttempts(r); len(unknown) > 0 {
		reply.Register = true
		reply.StopAttempts = unknown
		return reply, nil
	}
	// What has ended must not count as lost with the old epoch.
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

func (t *tenure) unknownAttempts(r *egretmuxv1.WorkerReport) []uint64 {
	var unknown []uint64
	for _, a := range r.GetRunning() {
		if t.store.TaskOfAttempt(r.GetWorker(), a) == 0 {
			unknown = append(unknown, a)
		}
	}
	return unknown
}

// view returns what is known of a worker. The caller holds the lock.
func (t *tenure) view(worker string) *workerView {
	v := t.workers[worker]
	if v == nil {
		v = &workerView{usage: make(map[uint64]*egretmuxv1.AttemptUsage)}
		t.workers[worker] = v
	}
	return v
}

// heard notes a worker's report, unless the worker's loss is being decided.
func (t *tenure) heard(r *egretmuxv1.WorkerReport, instance string, now time.Time, reply *egretmuxv1.WorkerReply) bool {
	t.planner.setUsage(r.GetWorker(), r.GetUsage(), now)
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.view(r.GetWorker())
	if v.losing {
		return false
	}
	if now.After(v.heard) {
		v.heard = now
	}
	v.instance = instance
	if r.GetFull() {
		v.usage = make(map[uint64]*egretmuxv1.AttemptUsage, len(r.GetUsage()))
		v.complete = true
	}
	for _, u := range r.GetUsage() {
		v.usage[u.GetAttempt()] = u
	}
	for _, a := range r.GetAttempts() {
		if !task.Live(a.GetPhase()) {
			delete(v.usage, a.GetAttempt())
		}
	}
	reply.NeedFull = !v.complete
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
