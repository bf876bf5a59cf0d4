package jobs

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	gangTestTimeout = 100 * time.Millisecond
	gangTestLease   = 5000 // milliseconds
)

// startMember submits a job with a gang of two and starts one member on a runner.
func startMember(t *testing.T, ledger *Ledger) *Runner {
	t.Helper()
	ledger.SetGangTimeout(gangTestTimeout)
	r := startLeaseRunner(t, ledger, "i-1", Step{Count: 2, CPU: 100, MemMB: 1, Ms: 1000, Gang: true})
	require.Equal(t, http.StatusOK, order(t, r, "/run-start", startOrder(1, r.clockMs()+gangTestLease)))
	return r
}

func awaitAlone(t *testing.T, ledger *Ledger) {
	t.Helper()
	require.Eventually(t, func() bool { return ledger.Gangs().Alone == 1 }, time.Second, time.Millisecond)
}

// Guards against a ledger that takes a member which waits for the others in vain for an end like any other.
func TestMemberOfAGangThatWaitsInVainIsAViolation(t *testing.T) {
	ledger := NewLedger()
	startMember(t, ledger)
	awaitAlone(t, ledger)
	require.Len(t, ledger.Violations(), 1)
	require.Contains(t, ledger.Violations()[0], "GANG")
	require.Contains(t, ledger.Violations()[0], "1 of 2 were there, it got no stop")
}

func TestMemberOfAGangThatIsStoppedInTimeIsNoViolation(t *testing.T) {
	ledger := NewLedger()
	r := startMember(t, ledger)
	require.Equal(t, http.StatusOK, order(t, r, "/run-stop", fmt.Sprintf(`{"task":"%s.0.0.0","run":1}`, leaseTestJob)))
	time.Sleep(2 * gangTestTimeout)
	require.Zero(t, ledger.Gangs().Alone)
	require.Empty(t, ledger.Violations())
}

func TestMemberOfAWholeGangDoesNotWaitInVain(t *testing.T) {
	ledger := NewLedger()
	r := startMember(t, ledger)
	second := fmt.Sprintf(`{"task":"%s.0.0.1","run":1,"spec":"run","deadline_ms":%d}`, leaseTestJob, r.clockMs()+gangTestLease)
	require.Equal(t, http.StatusOK, order(t, r, "/run-start", second))
	time.Sleep(2 * gangTestTimeout)
	require.Equal(t, 1, ledger.Gangs().Whole)
	require.Empty(t, ledger.Violations())
}

// Guards against findings in spans in which the rule asks for nothing.
func TestMemberOfAGangMayWaitInVainWhereAFaultIsNear(t *testing.T) {
	for name, excuse := range map[string]func(l *Ledger){
		"an instance has a fault":           func(l *Ledger) { l.SetInstanceFault("a", true) },
		"an instance had a fault":           func(l *Ledger) { l.SetInstanceFault("a", true); l.SetInstanceFault("a", false) },
		"instances are disturbed":           func(l *Ledger) { l.Disturb() },
		"a runner has a fault":              func(l *Ledger) { l.setRunnerFault("r", true) },
		"an order is carried out late":      func(l *Ledger) { l.noteLateMember(Task{Job: leaseTestJob, Index: 1}, 1) },
		"the job's client has cancelled it": func(l *Ledger) { l.RecordCancellation(leaseTestJob) },
	} {
		t.Run(name, func(t *testing.T) {
			ledger := NewLedger()
			startMember(t, ledger)
			excuse(ledger)
			time.Sleep(2 * gangTestTimeout)
			require.Empty(t, ledger.Violations())
		})
	}
}

// Guards against plays of slow instances that judge no gang.
func TestFaultsOfInstancesAreNoExcuseWhereGangsAreJudgedBesideThem(t *testing.T) {
	ledger := NewLedger()
	ledger.JudgeGangsBesideFaults()
	ledger.SetInstanceFault("a", true)
	startMember(t, ledger)
	ledger.noteLateMember(Task{Job: leaseTestJob, Index: 1}, 1)
	awaitAlone(t, ledger)
	require.Len(t, ledger.Violations(), 1)
}
