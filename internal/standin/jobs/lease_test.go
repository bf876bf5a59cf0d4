package jobs

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const leaseTestJob = "5c0e7a21d94b36f8"

// startLeaseRunner starts a runner without heartbeats and submits a job of one task.
func startLeaseRunner(t *testing.T, ledger *Ledger, id string, step Step) *Runner {
	t.Helper()
	ledger.RecordSubmission(&Job{ID: leaseTestJob, Spec: "run", Attempts: 3, Steps: []Step{step}})
	r, err := StartRunner(RunnerConfig{ID: id, Pool: "p", Zone: "z", CPU: 4000, MemMB: 1000, Ledger: ledger, ClockRate: 0.98})
	require.NoError(t, err)
	t.Cleanup(r.Crash)
	return r
}

// order sends an order for the task.
func order(t *testing.T, r *Runner, path string, body string) int {
	t.Helper()
	resp, err := http.Post("http://"+r.Address()+path, "application/json", strings.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

func startOrder(number int, deadlineMs int64) string {
	return fmt.Sprintf(`{"task":"%s.0.0.0","run":%d,"spec":"run","deadline_ms":%d}`, leaseTestJob, number, deadlineMs)
}

// Guards against a ledger that sees two runs at once only where tasks are shorter than leases.
func TestTwoRunsAtOnceAreSeenUntilTheLeaseOfTheFirstEnds(t *testing.T) {
	ledger := NewLedger()
	step := Step{Count: 1, CPU: 100, MemMB: 1, Ms: 3_600_000}
	first, second, third := startLeaseRunner(t, ledger, "i-1", step), startLeaseRunner(t, ledger, "i-2", step), startLeaseRunner(t, ledger, "i-3", step)
	require.Equal(t, http.StatusOK, order(t, first, "/run-start", startOrder(1, first.clockMs()+2000)))
	require.Equal(t, http.StatusOK, order(t, second, "/run-start", startOrder(2, second.clockMs()+2000)))
	require.Len(t, ledger.Violations(), 1, "the lease of the first run goes on")
	require.Contains(t, ledger.Violations()[0], "run 2 on "+second.name()+" while run 1 is on "+first.name())
	time.Sleep(2200 * time.Millisecond)
	require.Equal(t, http.StatusOK, order(t, third, "/run-start", startOrder(3, third.clockMs()+2000)))
	require.Len(t, ledger.Violations(), 1, "both leases have ended")
}

// Guards against a runner that is short of processor time and takes an expired lease for one that goes on, and
// against ends that are recorded later than the lease ends by the runner's clock, which is 2% slow.
func TestRunEndsAtTheMomentAtWhichItsLeaseEnds(t *testing.T) {
	ledger := NewLedger()
	r := startLeaseRunner(t, ledger, "i-1", Step{Count: 1, CPU: 100, MemMB: 1, Ms: 3_600_000})
	deadline := r.clockMs() + 300
	require.Equal(t, http.StatusOK, order(t, r, "/run-start", startOrder(1, deadline)))
	end := r.started.Add(time.Duration(float64(deadline-clockStart) / 0.98 * float64(time.Millisecond)))
	r.mu.Lock() // the runner does nothing until its lease has ended
	time.Sleep(time.Until(end) + 50*time.Millisecond)
	r.extendLease(deadline + 5000)
	require.Empty(t, r.running)
	require.Equal(t, "lapsed", r.finished[0].outcome)
	require.WithinDuration(t, end, r.finished[0].at, time.Millisecond)
	r.mu.Unlock()
	require.Equal(t, r.finished[0].at, ledger.runs[Task{Job: leaseTestJob}][0].over)
}

// Guards against a ledger that lets copies start however long ago the task's end was acknowledged.
func TestCopyThatStartsLongAfterAnAcknowledgedEndIsSeen(t *testing.T) {
	ledger := NewLedger()
	ledger.RecordSubmission(&Job{ID: leaseTestJob, Spec: "run", Attempts: 3, Steps: []Step{{Count: 1, Speculative: true}}})
	task, lease := Task{Job: leaseTestJob}, &leaseEnd{}
	ledger.recordStart(task, 1, "i-1", "run", lease, false)
	ledger.recordEnd(task, 1, "i-1", "done", time.Now())
	ledger.recordAcknowledgement(task, 1, "i-1", "done")
	ledger.recordStart(task, 2, "i-2", "run", lease, false)
	require.Empty(t, ledger.Violations(), "a copy may start until a second after the end")
	ledger.doneAcknowledged[task] = time.Now().Add(-2 * staleStartTime)
	calm := ledger.Disturb()
	ledger.recordStart(task, 3, "i-2", "run", lease, false)
	calm()
	ledger.recordStart(task, 4, "i-2", "run", lease, false)
	require.Empty(t, ledger.Violations(), "no machine is in touch")
	ledger.calmSince = time.Now().Add(-2 * contactTime)
	ledger.recordStart(task, 5, "i-2", "run", lease, true)
	require.Empty(t, ledger.Violations(), "it is carried out late")
	ledger.recordStart(task, 6, "i-2", "run", lease, false)
	require.Len(t, ledger.Violations(), 1)
	require.Contains(t, ledger.Violations()[0], "TWICE")
}
