package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

const (
	testGangTimeout = 4 * time.Second
	gangStopTimeout = 900 * time.Millisecond
)

// newGangHarness returns a harness that has sent the starts of a gang of two, each on a worker of its own.
func newGangHarness(t *testing.T) (h *harness, starts []dispatch.StartOrder) {
	t.Helper()
	h = newHarness(t)
	h.gangTimeout, h.stopTimeout = testGangTimeout, gangStopTimeout
	h.beginTenure()
	h.addWorker("w1", 4)
	h.addWorker("w2", 4)
	h.submit("j1", &egretmuxv1.JobStep{Count: 2, CpuMillis: 3000, MemoryMib: 64, Gang: true})
	h.plan()
	require.Len(t, h.starts, 2)
	h.core.StartsSent(h.starts, h.now)
	starts, h.starts = h.starts, nil
	return h, starts
}

// passTime lets ticks pass, in which the worker of each given start lists its run.
func (h *harness) passTime(d time.Duration, progress float64, listed ...dispatch.StartOrder) {
	for end := h.now + d; h.now < end; {
		h.advance(100 * time.Millisecond)
		for _, s := range listed {
			run := listedRun(s)
			run.ProgressPercent = progress
			h.core.GrantLease(s.Target)
			h.handleListing(s.Target, []dispatch.ListedRun{run}, nil)
		}
	}
}

func (h *harness) stoppedWorkers() []string {
	var out []string
	for _, s := range h.stops {
		out = append(out, s.Worker)
	}
	return out
}

// Guards against GANG: members waited for one whose start got no answer until the last repeat of it had timed out.
func TestGangThatIsNotWholeInTimeIsStopped(t *testing.T) {
	h, starts := newGangHarness(t)
	h.core.StartAnswered(starts[0], dispatch.Accepted, h.now, h.now)
	limit := dispatch.FormTimeout(testGangTimeout, gangStopTimeout)
	h.passTime(limit-100*time.Millisecond, 0, starts[0])
	require.Empty(t, h.stops)
	h.passTime(200*time.Millisecond, 0, starts[0])
	require.ElementsMatch(t, []string{"w1", "w2"}, h.stoppedWorkers())
	require.Len(t, h.noticesOf("gang_not_whole"), 1)
	require.Equal(t, 1, h.noticesOf("gang_not_whole")[0].Lost)
}

// Guards against gangs that fail again and again on a worker that does not answer.
func TestWorkerOfAMemberThatDidNotBeginGetsNoStartsForAWhile(t *testing.T) {
	for silent := range 2 {
		h, starts := newGangHarness(t)
		h.core.StartAnswered(starts[1-silent], dispatch.Accepted, h.now, h.now)
		h.passTime(dispatch.FormTimeout(testGangTimeout, gangStopTimeout)+100*time.Millisecond, 0, starts[1-silent])
		require.Len(t, h.stops, 2)
		h.submit("j2", &egretmuxv1.JobStep{Count: 1, CpuMillis: 1000, MemoryMib: 64})
		h.plan()
		require.Len(t, h.starts, 1)
		require.Equal(t, starts[1-silent].Worker, h.starts[0].Worker)
	}
}

func TestGangThatIsWholeIsNotStopped(t *testing.T) {
	h, starts := newGangHarness(t)
	h.core.StartAnswered(starts[0], dispatch.Accepted, h.now, h.now)
	h.passTime(time.Second, 0, starts[0])
	h.core.StartAnswered(starts[1], dispatch.Accepted, h.now, h.now)
	h.passTime(2*testGangTimeout, 50, starts...)
	require.Empty(t, h.noticesOf("gang_not_whole"))
}

// Guards against GANG: a member was listed, and so had begun, although its start got no answer.
func TestMemberThatIsListedHasBegun(t *testing.T) {
	h, starts := newGangHarness(t)
	h.core.StartAnswered(starts[0], dispatch.Accepted, h.now, h.now)
	h.passTime(testGangTimeout, 0, starts...)
	require.Empty(t, h.noticesOf("gang_not_whole"))
}

// Guards against GANG: the worker of a member was gone as a new leader took over, and nothing but the rule for runs
// without progress stopped the others.
func TestGangOfAnEarlierLeaderIsStoppedIfTheLifeOfAMembersWorkerIsOver(t *testing.T) {
	h, starts := newGangHarness(t)
	h.core.StartAnswered(starts[0], dispatch.Accepted, h.now, h.now)
	gone := starts[1]
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_EndLife{EndLife: &egretmuxv1.EndLife{Worker: gone.Worker, BornUnixMs: gone.Born}}})
	h.beginTenure()
	h.passTime(dispatch.AdoptedFormTimeout(testGangTimeout, gangStopTimeout)+100*time.Millisecond, 0, starts[0])
	require.Equal(t, []string{starts[0].Worker}, h.stoppedWorkers())
	require.Empty(t, h.noticed("worker_suspected", "no-progress"), "its worker is not to blame")
}

// Guards against GANG: an earlier leader had stored the starts of a gang and sent a part of them.
func TestGangThatAnEarlierLeaderDidNotStartAsAWholeIsStopped(t *testing.T) {
	h, starts := newGangHarness(t)
	h.beginTenure()
	h.passTime(dispatch.AdoptedFormTimeout(testGangTimeout, gangStopTimeout)+100*time.Millisecond, 0, starts[0]) // the other worker is silent
	require.ElementsMatch(t, []string{"w1", "w2"}, h.stoppedWorkers())
}

// Guards against the loss of work: members of a gang work only together, so that one at work shows that all have begun.
func TestGangAtWorkIsNotStoppedByTheNextLeader(t *testing.T) {
	h, starts := newGangHarness(t)
	h.beginTenure()
	h.passTime(2*time.Second, 7, starts[0]) // the other worker is silent
	require.Empty(t, h.stops)
}

// Guards against GANG: the others waited until a member whose start got no answer was known not to be there.
func TestUnansweredStartOfAMemberStopsItsGangAtOnce(t *testing.T) {
	h, starts := newGangHarness(t)
	h.core.StartAnswered(starts[0], dispatch.Accepted, h.now, h.now)
	h.core.StartAnswered(starts[1], dispatch.Unanswered, h.now, h.now)
	h.takeActions()
	require.ElementsMatch(t, []string{"w1", "w2"}, h.stoppedWorkers())
}

// Guards against members that are started as parts of different runs and so never work together: one of them had been
// started more often, as its worker's life was over when a new leader took over.
func TestMembersStartUnderOneNumberHoweverOftenEachWasStarted(t *testing.T) {
	h, starts := newGangHarness(t)
	again := starts[0]
	again.Run += 3
	h.store(again)
	h.beginTenure()
	for range 2 * int(testLease/(100*time.Millisecond)) {
		h.advance(100 * time.Millisecond)
		for _, name := range []string{"w1", "w2"} {
			h.core.GrantLease(targetOf(life(name, 4)))
			h.handleListing(targetOf(life(name, 4)), nil, nil)
		}
		h.plan()
	}
	require.GreaterOrEqual(t, len(h.starts), 2)
	require.Equal(t, h.starts[0].Run, h.starts[1].Run)
	require.Greater(t, h.starts[0].Run, again.Run)
}

// Guards against GANG and against work that goes on in vain: a member was gone, and the others went on.
func TestGangIsStoppedOnceAMemberIsGone(t *testing.T) {
	for name, lose := range map[string]func(h *harness, member dispatch.StartOrder){
		"not listed": func(h *harness, member dispatch.StartOrder) { h.handleListing(member.Target, nil, nil) },
		"ended": func(h *harness, member dispatch.StartOrder) {
			h.handleListing(member.Target, nil, []dispatch.ListedEnd{h.listedEnd(member, egretmuxv1.RunOutcome_RUN_OUTCOME_ALONE)})
			h.storeEnds()
		},
		"moved": func(h *harness, member dispatch.StartOrder) {
			h.core.WorkerDraining(member.Target, 0, h.now)
			h.advance(100 * time.Millisecond)
		},
		"its worker is gone": func(h *harness, member dispatch.StartOrder) { h.core.WorkerGone(member.Target, "another-life", h.now) },
	} {
		t.Run(name, func(t *testing.T) {
			h, starts := newGangHarness(t)
			for _, s := range starts {
				h.core.StartAnswered(s, dispatch.Accepted, h.now, h.now)
			}
			h.passTime(time.Second, 10, starts...)
			require.Empty(t, h.stops)
			lose(h, starts[1])
			h.takeActions()
			require.Contains(t, h.stoppedWorkers(), starts[0].Worker)
		})
	}
}

// Guards against the loss of work: after a change of the leader, gangs at work were stopped because none of their workers
// had been heard yet.
func TestGangOfAnEarlierLeaderIsNotStoppedBeforeItsWorkersAreHeard(t *testing.T) {
	h, starts := newGangHarness(t)
	h.beginTenure()
	h.passTime(3*time.Second, 0)
	require.Empty(t, h.stops)
	h.passTime(time.Second, 30, starts...)
	require.Empty(t, h.stops)
}
