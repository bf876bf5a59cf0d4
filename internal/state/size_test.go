package state_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/state"
)

// The size of the state that the users expect in two years.
const (
	targetEndedTasks      = 17000 * 7
	targetRunningTasks    = 8000
	targetWorkers         = 1100
	targetCustomers       = 34
	targetContractChanges = 1100 * 7
	targetHeapBytes       = 128 << 20
)

func targetTask(id uint64, ended bool) *egretmuxv1.Task {
	now := int64(1_800_000_000_000) + int64(id)
	t := &egretmuxv1.Task{
		Id: id, Phase: egretmuxv1.TaskPhase_TASK_PHASE_RUNNING, SubmittedUnixMs: now, ChangeIdHash: id * 0x9e3779b97f4a7c15,
		Spec: &egretmuxv1.TaskSpec{
			Customer: fmt.Sprint("customer-", id%targetCustomers), Name: fmt.Sprint("reconciliation-", id), Kind: egretmuxv1.TaskKind_TASK_KIND_BATCH,
			Members: 1, Resources: &egretmuxv1.Resources{CpuMillis: 2000, MemoryMib: 4096}, DeadlineUnixMs: now + 3_600_000, DeclaredRunMs: 60_000,
			Class: "reconciliation", Command: fmt.Sprint("reconcile --plaza ", id), MaxFailures: 2,
		},
		Attempts: []*egretmuxv1.Attempt{{
			Id: id, Worker: fmt.Sprint("se-atl-w", id%targetWorkers), Phase: egretmuxv1.AttemptPhase_ATTEMPT_PHASE_RUNNING,
			StartedUnixMs: now + 500, ConfirmedUnixMs: now + 600,
		}},
	}
	if ended {
		t.Phase, t.EndedUnixMs, t.DoneMembers = egretmuxv1.TaskPhase_TASK_PHASE_SUCCEEDED, now+60_000, []int32{0}
		t.Attempts[0].Phase, t.Attempts[0].EndedUnixMs = egretmuxv1.AttemptPhase_ATTEMPT_PHASE_SUCCEEDED, now+60_000
	}
	return t
}

// targetSnapshot returns the snapshot of a state of target size.
func targetSnapshot(t testing.TB) []byte {
	snap := &egretmuxv1.StateSnapshot{AppliedIndex: 1_000_000, LastTask: targetEndedTasks + targetRunningTasks, LastAttempt: targetEndedTasks + targetRunningTasks, CellVersion: targetContractChanges}
	for i := range targetCustomers {
		for v := range 50 {
			snap.Contracts = append(snap.Contracts, &egretmuxv1.ContractVersion{
				Customer: fmt.Sprint("customer-", i), Version: uint64(v + 1), CellVersion: uint64(v*targetCustomers + i + 1),
				Text: contractText(fmt.Sprint("customer-", i), v+1), Author: "anna", ChangeId: fmt.Sprint("change-", i, "-", v),
			})
		}
	}
	for i := range targetContractChanges {
		snap.Changes = append(snap.Changes, &egretmuxv1.ChangeRecord{ChangeId: fmt.Sprintf("change-%06d", i), Customer: "customer-1", Version: uint64(i), Author: "anna"})
	}
	for i := range targetWorkers {
		snap.Workers = append(snap.Workers, &egretmuxv1.Worker{
			Id: fmt.Sprint("se-atl-w", i), Address: "10.0.0.1:9000", Datacentre: "se-atl", Rack: "r1", Epoch: uint64(i + 1),
			Capacity: &egretmuxv1.Resources{CpuMillis: 64000, MemoryMib: 262144, Accelerators: 2}, Phase: egretmuxv1.WorkerPhase_WORKER_PHASE_READY,
		})
	}
	for i := range targetEndedTasks + targetRunningTasks {
		snap.Tasks = append(snap.Tasks, targetTask(uint64(i+1), i < targetEndedTasks))
	}
	data, err := proto.Marshal(snap)
	require.NoError(t, err)
	return data
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestTargetFitsMemory checks that a state of target size fits into
// targetHeapBytes and survives a snapshot.
func TestTargetFitsMemory(t *testing.T) {
	data := targetSnapshot(t)
	before := heapBytes()
	s := state.New(nil)
	require.NoError(t, s.Restore(data))
	after := heapBytes()
	used := int64(after) - int64(before)
	t.Logf("snapshot %.1f MiB, state %.1f MiB of heap", float64(len(data))/(1<<20), float64(used)/(1<<20))
	require.Less(t, used, int64(targetHeapBytes))
	require.Equal(t, targetEndedTasks+targetRunningTasks, s.Counts().Tasks)
	require.True(t, proto.Equal(targetTask(7, true), s.Task(7)))
	require.True(t, proto.Equal(targetTask(targetEndedTasks+7, false), s.Task(targetEndedTasks+7)))
	var written bytes.Buffer
	require.NoError(t, s.Capture()(&written))
	restored := state.New(nil)
	require.NoError(t, restored.Restore(written.Bytes()))
	require.Equal(t, written.Bytes(), capture(t, restored))
	require.Equal(t, s.Counts(), restored.Counts())
	for _, id := range []uint64{7, targetEndedTasks + 7} {
		require.True(t, proto.Equal(s.Task(id), restored.Task(id)), "task %d", id)
	}
}

// BenchmarkSnapshotAtTargetSize measures, for a state of target size, how long a
// snapshot blocks the applying goroutine and how long it takes to write and to
// restore.
func BenchmarkSnapshotAtTargetSize(b *testing.B) {
	data := targetSnapshot(b)
	s := state.New(nil)
	require.NoError(b, s.Restore(data))
	var stall, write, restore time.Duration
	for b.Loop() {
		var out bytes.Buffer
		began := time.Now()
		encode := s.Capture()
		stall = max(stall, time.Since(began))
		began = time.Now()
		require.NoError(b, encode(&out))
		write = max(write, time.Since(began))
		began = time.Now()
		require.NoError(b, state.New(nil).Restore(out.Bytes()))
		restore = max(restore, time.Since(began))
	}
	b.ReportMetric(float64(stall.Microseconds())/1000, "stall-ms")
	b.ReportMetric(float64(write.Microseconds())/1000, "write-ms")
	b.ReportMetric(float64(restore.Microseconds())/1000, "restore-ms")
}
