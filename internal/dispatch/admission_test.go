package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// newFullLoad returns a load in which the jobs of customer "a" fill a small pool and wait for
// more, and customer "b" may submit two jobs a second.
func newFullLoad(t *testing.T) *load {
	l := newLoad(t, 2, customer("a", 1, 100), customer("b", 1, 2))
	for range 6 {
		require.False(t, l.submitJob("a", rebuild).overRate)
	}
	l.run(loadStep)
	return l
}

// Load: a full pool in which others wait. A customer within its rate is never refused, and
// beyond it only once its own jobs wait.
func TestOnlySubmitsOverRateAreRefused(t *testing.T) {
	l := newFullLoad(t)
	for range 2 {
		s := l.submitJob("b", lookup)
		require.False(t, s.overRate || s.refused)
	}
	s := l.submitJob("b", lookup)
	require.True(t, s.overRate)
	require.False(t, s.refused, "no job over rate waits yet")
	require.True(t, l.submitJob("b", lookup).refused)
	require.False(t, l.submitJob("a", lookup).refused)
	l.takeActions()
	require.Equal(t, 1, countNotices(l.harness, "submit_refused", id(len(l.submits)-1)))
}

// Load: a customer's jobs over rate of a kind that can wait fill its backlog. Those that are
// urgent come before them and do not wait for them.
func TestBacklogThatCanWaitDoesNotRefuseUrgentJobs(t *testing.T) {
	l := newFullLoad(t)
	for range 3 {
		require.False(t, l.submitJob("b", rebuild).refused)
	}
	require.True(t, l.submitJob("b", rebuild).refused)
	s := l.submitJob("b", lookup)
	require.True(t, s.overRate)
	require.False(t, s.refused)
	require.True(t, l.submitJob("b", lookup).refused)
}

// Load: callers repeat submits whose answers were lost, while the pool is full.
func TestRepeatedSubmitKeepsItsMarkAndTakesNoToken(t *testing.T) {
	l := newFullLoad(t)
	spec := func(n int) *egretmuxv1.Job {
		return &egretmuxv1.Job{Id: id(n), Host: "h", Prefix: "/lookup/", Service: "ledger", Steps: []*egretmuxv1.JobStep{lookup.step}, Customer: "b"}
	}
	for range 5 {
		require.Zero(t, l.core.Admit(spec(1000), l.now), "it is being stored")
	}
	require.True(t, l.core.IsAdmitted(id(1000)))
	l.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: spec(1000)}}})
	l.core.JobAccepted(id(1000), l.now)
	require.False(t, l.core.IsAdmitted(id(1000)))
	for range 5 {
		require.Zero(t, l.core.Admit(spec(1000), l.now), "it is stored")
	}
	require.False(t, l.core.Admit(spec(1001), l.now).OverRate, "the second token is left")
	over := l.core.Admit(spec(1002), l.now)
	require.True(t, over.OverRate)
	require.True(t, l.core.Admit(spec(1003), l.now).Refused)
	require.Equal(t, over, l.core.Admit(spec(1002), l.now), "the first decision holds")
	l.core.AdmissionSettled(id(1002))
	require.False(t, l.core.IsAdmitted(id(1002)))
}

// Load: a leader is lost during a burst. The next one treats accepted jobs alike, and measures
// the rate anew.
func TestMarkOutlivesTheLeader(t *testing.T) {
	l := newFullLoad(t)
	for range 3 {
		l.submitJob("b", lookup)
	}
	require.Equal(t, uint64(1), l.usage("b").GetOverRateJobs())
	l.beginTenure()
	require.Equal(t, uint64(1), l.usage("b").GetOverRateJobs())
	for range 2 {
		require.False(t, l.submitJob("b", lookup).overRate)
	}
	require.True(t, l.submitJob("b", lookup).overRate)
}

func (l *load) usage(customer string) *egretmuxv1.CustomerUsage {
	for _, u := range l.core.CustomerUsage() {
		if u.GetName() == customer {
			return u
		}
	}
	return nil
}

// Load: more periodic and long-running jobs than the rate in a full pool. Their runs are due
// at other times, so that they are marked but not refused.
func TestJobsThatStartLaterAreNotRefused(t *testing.T) {
	l := newFullLoad(t)
	for range 4 {
		l.submitJob("b", lookup)
	}
	periodic, lasting := *lookup, *lookup
	lasting.step = &egretmuxv1.JobStep{Count: 1, CpuMillis: 1000, LongRunning: true}
	require.True(t, l.submits[len(l.submits)-1].refused)
	spec := &egretmuxv1.Job{Id: id(1000), Host: "h", Prefix: "/lookup/", Service: "ledger", Customer: "b", Repeats: 2, Steps: []*egretmuxv1.JobStep{periodic.step}}
	admission := l.core.Admit(spec, l.now)
	require.True(t, admission.OverRate)
	require.False(t, admission.Refused)
	s := l.submitJob("b", &lasting)
	require.True(t, s.overRate)
	require.False(t, s.refused)
}

// Load: a customer sends a burst and then nothing, in a pool that others keep full. The rate
// that it leaves unused lets its earlier jobs count as within it.
func TestUnusedRateServesJobsThatWereOverIt(t *testing.T) {
	l := newFullLoad(t)
	l.sources = []*source{{customer: "a", kind: rebuild, perSecond: steady(4)}} // far more than fits
	for range 3 {
		l.submitJob("b", lookup)
	}
	over := l.submits[len(l.submits)-1]
	require.True(t, over.overRate)
	l.run(20 * time.Second)
	require.Positive(t, over.endedAfter)
	require.Zero(t, l.usage("b").GetOverRateJobs())
}

// Load: one customer's job fits no worker, or is held by its quota. It does not make another
// customer's submits over rate be refused beside an idle pool, nor keep room from them.
func TestWorkThatCannotStartDoesNotHoldUpWorkOverRate(t *testing.T) {
	tooLarge := func(l *load) { l.submitJob("a", newKind("lookup", 0, 0, 2, 50, 33000, time.Second)) }
	held := func(l *load) { l.submitJob("held", newKind("lookup", 0, 0, 2, 50, 5000, time.Second)) }
	for name, submit := range map[string]func(*load){"fits no worker": tooLarge, "held by the quota": held} {
		t.Run(name, func(t *testing.T) {
			limited := customer("held", 1, 0)
			limited.Quota = &egretmuxv1.Resources{CpuMillis: 1000}
			l := newLoad(t, 2, customer("a", 1, 0), customer("b", 1, 1), limited)
			submit(l)
			l.run(l.now + 2*loadStep)
			for range 3 { // 45 of 64 cores, of which some are headroom
				require.False(t, l.submitJob("b", lookup).refused)
			}
			l.plan()
			require.Len(t, l.acceptStarts(), 9)
			require.Zero(t, l.usage("a").GetInUse().GetCpuMillis()+l.usage("held").GetInUse().GetCpuMillis())
			for _, n := range l.notices {
				require.NotEqual(t, "pool_full", n.Event)
			}
		})
	}
}

// Load: jobs within rate wait for many times the pool's cpu, for whole workers, and none is
// idle. Submits over rate are accepted for the part of the pool that plans leave to their jobs.
func TestWaitingWorkClaimsAPartOfThePoolFromSubmitsOverRate(t *testing.T) {
	l := newLoad(t, 4, customer("a", 1, 0), customer("b", 1, 0.001))
	spread := newKind("rebuild", 2, 0, 1, 4, 1000, time.Minute)
	spread.step.MaxPerWorker = 1
	l.submitJob("a", spread)
	l.run(loadStep)
	l.submitJob("a", newKind("rebuild", 2, 0, 1, 12, 32000, time.Minute))
	l.run(2 * loadStep)
	for range 4 { // the first within rate; the others need 45 cores, and 60 are left to them
		require.False(t, l.submitJob("b", newKind("rebuild", 2, 0, 1, 1, 15000, time.Minute)).refused)
	}
	for range 8 {
		l.submitJob("b", newKind("rebuild", 2, 0, 1, 1, 15000, time.Minute))
	}
	require.True(t, l.submits[len(l.submits)-1].refused)
}

// Load: a customer sends a burst and then steadily a little less than its rate, in a pool that
// others keep full.
func TestRateThatASteadyCustomerLeavesUnusedServesJobsThatWereOverIt(t *testing.T) {
	l := newFullLoad(t)
	l.sources = []*source{{customer: "a", kind: rebuild, perSecond: steady(4)}} // far more than fits
	for range 3 {
		l.submitJob("b", lookup)
	}
	over := l.submits[len(l.submits)-1]
	require.True(t, over.overRate)
	l.sources = append(l.sources, &source{customer: "b", kind: lookup, perSecond: steady(1.8)})
	l.run(25 * time.Second)
	require.Positive(t, over.endedAfter)
}
