package state

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

const planContract = "[contract]\ncustomer = dixie\nshare = 1\ncredential_sha256 = 24c4d007ee3f27d97dbce7386487ffefd30e8a2bab33f2290aa00b6db0653ba1\n[quota]\ncores = 24\n[class.work]\n"

// planStore is a store with two workers, w1 and w2, of 16 cores each; their
// epochs are 1 and 2.
type planStore struct {
	*Store
	t     *testing.T
	index uint64
}

func newPlanStore(t *testing.T) *planStore {
	s := &planStore{Store: New(nil), t: t}
	s.propose(&egretmuxv1.Command{Body: &egretmuxv1.Command_ApplyContract{ApplyContract: &egretmuxv1.ApplyContract{Customer: "dixie", ChangeId: "c", Text: planContract}}})
	s.register("w1")
	s.register("w2")
	return s
}

func (s *planStore) propose(c *egretmuxv1.Command) *Result {
	if c.GetNowUnixMs() == 0 {
		c.NowUnixMs = 1_000_000 + int64(s.index)*10_000
	}
	data, err := proto.Marshal(c)
	require.NoError(s.t, err)
	s.index++
	return s.Apply(s.index, data).(*Result)
}

func (s *planStore) register(id string, running ...uint64) {
	w := &egretmuxv1.Worker{Id: id, Capacity: &egretmuxv1.Resources{CpuMillis: 16_000, MemoryMib: 65_536}}
	s.propose(&egretmuxv1.Command{Body: &egretmuxv1.Command_RegisterWorker{RegisterWorker: &egretmuxv1.RegisterWorker{Worker: w, Running: running}}})
}

func (s *planStore) submit(kind egretmuxv1.TaskKind, members int32, cpu int64, idempotent bool) uint64 {
	r := s.propose(&egretmuxv1.Command{Body: &egretmuxv1.Command_SubmitTask{SubmitTask: &egretmuxv1.SubmitTask{Spec: &egretmuxv1.TaskSpec{
		Customer: "dixie", Kind: kind, Members: members, Idempotent: idempotent, Resources: &egretmuxv1.Resources{CpuMillis: cpu, MemoryMib: 4096},
	}}}})
	require.Nil(s.t, r.Err)
	return r.Task.GetId()
}

func (s *planStore) commit(p *egretmuxv1.CommitPlan) int {
	return s.propose(&egretmuxv1.Command{Body: &egretmuxv1.Command_CommitPlan{CommitPlan: p}}).Applied
}

func (s *planStore) report(id, attempt uint64, phase egretmuxv1.AttemptPhase) {
	s.propose(&egretmuxv1.Command{Body: &egretmuxv1.Command_ReportAttempts{ReportAttempts: &egretmuxv1.ReportAttempts{Changes: []*egretmuxv1.AttemptChange{{
		Task: id, Attempt: attempt, Phase: phase,
	}}}}})
}

func planStart(id uint64, member int32, w string, epoch uint64) *egretmuxv1.PlanStart {
	return &egretmuxv1.PlanStart{Task: id, Member: member, Worker: w, WorkerEpoch: epoch}
}

func startPlan(list ...*egretmuxv1.PlanStart) *egretmuxv1.CommitPlan {
	return &egretmuxv1.CommitPlan{Starts: list}
}

const (
	batch = egretmuxv1.TaskKind_TASK_KIND_BATCH
	gang  = egretmuxv1.TaskKind_TASK_KIND_GANG
)

func TestCommitPlanSkipsInvalidParts(t *testing.T) {
	cases := map[string]struct {
		kind    egretmuxv1.TaskKind
		members int32
		cpu     int64
		plan    func(id uint64) *egretmuxv1.CommitPlan
		applied int
	}{
		"the second start that the worker cannot hold": {batch, 2, 10_000, func(id uint64) *egretmuxv1.CommitPlan {
			return startPlan(planStart(id, 0, "w1", 1), planStart(id, 1, "w1", 1))
		}, 1},
		"a start on an earlier epoch of the worker": {batch, 1, 4000, func(id uint64) *egretmuxv1.CommitPlan {
			return startPlan(planStart(id, 0, "w2", 1))
		}, 0},
		"a member that is started twice": {batch, 1, 4000, func(id uint64) *egretmuxv1.CommitPlan {
			return startPlan(planStart(id, 0, "w1", 1), planStart(id, 0, "w2", 2))
		}, 1},
		"a start over the customer's quota": {batch, 4, 7000, func(id uint64) *egretmuxv1.CommitPlan {
			return startPlan(planStart(id, 0, "w1", 1), planStart(id, 1, "w1", 1), planStart(id, 2, "w2", 2), planStart(id, 3, "w2", 2))
		}, 3},
		"a gang of which one member does not fit": {gang, 3, 7000, func(id uint64) *egretmuxv1.CommitPlan {
			return startPlan(planStart(id, 0, "w1", 1), planStart(id, 1, "w1", 1), planStart(id, 2, "w1", 1))
		}, 0},
		"a gang of which one member is not planned": {gang, 2, 4000, func(id uint64) *egretmuxv1.CommitPlan {
			return startPlan(planStart(id, 0, "w1", 1))
		}, 0},
		"nothing of a valid plan": {gang, 2, 9000, func(id uint64) *egretmuxv1.CommitPlan {
			return startPlan(planStart(id, 0, "w1", 1), planStart(id, 1, "w2", 2))
		}, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newPlanStore(t)
			require.Equal(t, c.applied, s.commit(c.plan(s.submit(c.kind, c.members, c.cpu, true))))
		})
	}
}

func TestQuarantinedWorkerTakesOneAttempt(t *testing.T) {
	s := newPlanStore(t)
	s.propose(&egretmuxv1.Command{Body: &egretmuxv1.Command_SetWorkerPhase{SetWorkerPhase: &egretmuxv1.SetWorkerPhase{
		Worker: "w1", Phase: egretmuxv1.WorkerPhase_WORKER_PHASE_QUARANTINED,
	}}})
	id := s.submit(batch, 2, 1000, true)
	require.Equal(t, 1, s.commit(startPlan(planStart(id, 0, "w1", 1), planStart(id, 1, "w1", 1))))
	require.Equal(t, 0, s.commit(startPlan(planStart(id, 1, "w1", 1))))
}

func TestAttemptHoldsAtLeastItsFloor(t *testing.T) {
	s := newPlanStore(t)
	id := s.submit(batch, 1, 4000, true)
	st := planStart(id, 0, "w1", 1)
	st.Held = &egretmuxv1.Resources{CpuMillis: 1}
	require.Equal(t, 1, s.commit(startPlan(st)))
	record := s.Task(id)
	floor := task.ResourceFloor(record.GetSpec())
	require.Equal(t, floor, task.HeldResources(record, record.GetAttempts()[0]))
	s.commit(&egretmuxv1.CommitPlan{Resizes: []*egretmuxv1.PlanResize{{Task: id, Attempt: record.GetAttempts()[0].GetId(), Held: &egretmuxv1.Resources{CpuMillis: 5000}}}})
	require.Equal(t, worker.Resources{CPUMillis: 5000, MemoryMiB: floor.MemoryMiB}, s.HeldByCustomer("dixie"))
	s.commit(&egretmuxv1.CommitPlan{Resizes: []*egretmuxv1.PlanResize{{Task: id, Attempt: record.GetAttempts()[0].GetId(), Held: &egretmuxv1.Resources{}}}})
	require.Equal(t, floor, s.HeldByCustomer("dixie"))
}

func TestBrokenGangRestartsAllMembers(t *testing.T) {
	s := newPlanStore(t)
	id := s.submit(gang, 2, 4000, true)
	require.Equal(t, 2, s.commit(startPlan(planStart(id, 0, "w1", 1), planStart(id, 1, "w2", 2))))
	// The second member succeeds after the first was lost and the gang stopped.
	s.report(id, 1, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_LOST)
	s.report(id, 2, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_SUCCEEDED)
	require.Equal(t, []int32{0, 1}, task.WaitingMembers(s.Task(id)))
}

func TestAttemptMissingFromRegistrationIsLost(t *testing.T) {
	s := newPlanStore(t)
	idempotent, nonIdempotent := s.submit(batch, 1, 1000, true), s.submit(batch, 1, 1000, false)
	s.commit(startPlan(planStart(idempotent, 0, "w1", 1), planStart(nonIdempotent, 0, "w1", 1)))
	s.register("w1")
	require.Equal(t, egretmuxv1.TaskPhase_TASK_PHASE_QUEUED, s.Task(idempotent).GetPhase())
	require.Equal(t, egretmuxv1.TaskPhase_TASK_PHASE_UNKNOWN, s.Task(nonIdempotent).GetPhase())
}

func TestStoppedWithoutCheckpointIsUnknownUnlessIdempotent(t *testing.T) {
	s := newPlanStore(t)
	id := s.submit(batch, 1, 1000, false)
	s.commit(startPlan(planStart(id, 0, "w1", 1)))
	s.report(id, 1, egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPED)
	require.Equal(t, egretmuxv1.TaskPhase_TASK_PHASE_UNKNOWN, s.Task(id).GetPhase())
}

func TestRepeatedSubmitReturnsFirstAnswerDespiteRefusal(t *testing.T) {
	s := newPlanStore(t)
	submit := &egretmuxv1.SubmitTask{ChangeId: "night", Spec: &egretmuxv1.TaskSpec{Customer: "dixie", Kind: batch, Resources: &egretmuxv1.Resources{CpuMillis: 1000}}}
	first := s.propose(&egretmuxv1.Command{Body: &egretmuxv1.Command_SubmitTask{SubmitTask: submit}})
	submit.Refusal = &egretmuxv1.Refusal{Kind: string(refusal.DeadlineNotMet), Message: "too late"}
	again := s.propose(&egretmuxv1.Command{Body: &egretmuxv1.Command_SubmitTask{SubmitTask: submit}})
	require.Nil(t, again.Err)
	require.Equal(t, first.Task.GetId(), again.Task.GetId())
	submit.ChangeId = "other"
	refused := s.propose(&egretmuxv1.Command{Body: &egretmuxv1.Command_SubmitTask{SubmitTask: submit}})
	require.Equal(t, refusal.DeadlineNotMet, refused.Err.Kind)
}

func TestSnapshotRestoresHeldResources(t *testing.T) {
	s := newPlanStore(t)
	id := s.submit(batch, 2, 4000, true)
	s.commit(startPlan(planStart(id, 0, "w1", 1)))
	snap := &egretmuxv1.StateSnapshot{Contracts: s.contracts.all(), Workers: s.Workers(), Tasks: s.Tasks()}
	data, err := proto.Marshal(snap)
	require.NoError(t, err)
	restored := New(nil)
	require.NoError(t, restored.Restore(data))
	require.Equal(t, s.HeldByCustomer("dixie"), restored.HeldByCustomer("dixie"))
	require.Equal(t, 1, restored.WaitingMembers("dixie"))
}

func TestLostWorkerComesBackOnlyByRegistering(t *testing.T) {
	s := newPlanStore(t)
	set := func(phase egretmuxv1.WorkerPhase) *Result {
		return s.propose(&egretmuxv1.Command{Body: &egretmuxv1.Command_SetWorkerPhase{SetWorkerPhase: &egretmuxv1.SetWorkerPhase{Worker: "w1", Phase: phase}}})
	}
	require.Nil(t, set(egretmuxv1.WorkerPhase_WORKER_PHASE_LOST).Err)
	require.Equal(t, refusal.Invalid, set(egretmuxv1.WorkerPhase_WORKER_PHASE_READY).Err.Kind)
	require.Equal(t, egretmuxv1.WorkerPhase_WORKER_PHASE_LOST, s.Worker("w1").GetPhase())
	s.register("w1")
	require.Equal(t, egretmuxv1.WorkerPhase_WORKER_PHASE_READY, s.Worker("w1").GetPhase())
}

func TestDrainOutlivesLossAndRegistration(t *testing.T) {
	s := newPlanStore(t)
	for _, phase := range []egretmuxv1.WorkerPhase{egretmuxv1.WorkerPhase_WORKER_PHASE_DRAINING, egretmuxv1.WorkerPhase_WORKER_PHASE_LOST} {
		s.propose(&egretmuxv1.Command{Body: &egretmuxv1.Command_SetWorkerPhase{SetWorkerPhase: &egretmuxv1.SetWorkerPhase{Worker: "w1", Phase: phase}}})
	}
	s.register("w1")
	require.Equal(t, egretmuxv1.WorkerPhase_WORKER_PHASE_DRAINING, s.Worker("w1").GetPhase())
}

// TestReusedChangeIDOfOtherWorkConflicts submits a task, the same task with a
// later deadline and another task under one change id.
func TestReusedChangeIDOfOtherWorkConflicts(t *testing.T) {
	s := newPlanStore(t)
	submit := func(cores, deadline int64) *Result {
		return s.propose(&egretmuxv1.Command{Body: &egretmuxv1.Command_SubmitTask{SubmitTask: &egretmuxv1.SubmitTask{ChangeId: "1", Spec: &egretmuxv1.TaskSpec{
			Customer: "dixie", Kind: batch, DeadlineUnixMs: deadline, Resources: &egretmuxv1.Resources{CpuMillis: cores, MemoryMib: 1},
		}}}})
	}
	first, again, other := submit(1000, 100), submit(1000, 200), submit(2000, 100)
	require.Nil(t, again.Err)
	require.Equal(t, first.Task.GetId(), again.Task.GetId())
	require.Equal(t, refusal.KeyConflict, other.Err.Kind)
}

// Guards against a task that crashes each worker that starts it and is started again
// without a limit: a lost attempt is not a failed one.
func TestTaskThatCrashesItsWorkersBacksOffAndFails(t *testing.T) {
	s := newPlanStore(t)
	id := s.submit(batch, 1, 1000, true)
	silent := s.submit(batch, 1, 1000, true)
	backoff := int64(0)
	for n := range maxLosses {
		require.Equal(t, egretmuxv1.TaskPhase_TASK_PHASE_QUEUED, s.Task(id).GetPhase())
		require.Equal(t, 1, s.commit(startPlan(planStart(id, 0, "w1", s.Worker("w1").GetEpoch()))))
		s.register("w1")
		if n > 1 {
			delay := s.Task(id).GetNotBeforeUnixMs() - s.now
			require.Greater(t, delay, backoff)
			backoff = delay
		}
	}
	require.Equal(t, egretmuxv1.TaskPhase_TASK_PHASE_FAILED, s.Task(id).GetPhase())
	require.Contains(t, s.Task(id).GetReason(), "lost with its worker")

	// A worker that is only silent may be cut off: its tasks are not given up.
	for range maxLosses + 1 {
		s.register("w2")
		require.Equal(t, 1, s.commit(startPlan(planStart(silent, 0, "w2", s.Worker("w2").GetEpoch()))))
		w := s.Worker("w2")
		s.propose(&egretmuxv1.Command{Body: &egretmuxv1.Command_SetWorkerPhase{SetWorkerPhase: &egretmuxv1.SetWorkerPhase{
			Worker: w.GetId(), Epoch: w.GetEpoch(), Phase: egretmuxv1.WorkerPhase_WORKER_PHASE_LOST,
		}}})
	}
	require.Equal(t, egretmuxv1.TaskPhase_TASK_PHASE_QUEUED, s.Task(silent).GetPhase())
}
