package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

const loadStep = 40 * time.Millisecond // simulated time between two plans of a load

// jobKind is a kind of jobs of one step.
type jobKind struct {
	queue   *egretmuxv1.Queue
	step    *egretmuxv1.JobStep
	runTime time.Duration
}

func newKind(name string, priority uint32, target time.Duration, slack float64, count uint32, cpu int64, runTime time.Duration) *jobKind {
	return &jobKind{
		queue:   &egretmuxv1.Queue{Name: name, Host: "h", Prefix: "/" + name + "/", Service: "ledger", TimeoutMs: 3000, Attempts: 2, Priority: priority, TargetLatencyMs: target.Milliseconds(), SlackFactor: slack},
		step:    &egretmuxv1.JobStep{Count: count, CpuMillis: cpu, MemoryMib: 100, EstimateMs: runTime.Milliseconds()},
		runTime: runTime,
	}
}

func (k *jobKind) objective() time.Duration {
	return time.Duration(k.queue.GetTargetLatencyMs())*time.Millisecond + time.Duration(k.queue.GetSlackFactor()*float64(k.runTime))
}

// Urgent lookups, and a kind that can wait.
var (
	lookup  = newKind("lookup", 0, 250*time.Millisecond, 1.5, 3, 5000, 640*time.Millisecond)
	rebuild = newKind("rebuild", 2, 3*time.Second, 2, 10, 3500, 3400*time.Millisecond)
)

// source submits jobs of one kind for one customer at an even rate.
type source struct {
	customer  string
	kind      *jobKind
	perSecond func(at time.Duration) float64
	due       float64 // jobs that are due; those above one are submitted
}

// steady returns a rate that does not change.
func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// burst returns a rate that is a multiple of the usual one in a span.
func burst(usual, factor float64, from, until time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < until {
			return factor * usual
		}
		return usual
	}
}

// submitted is the outcome of a submit.
type submitted struct {
	customer   string
	kind       *jobKind
	at         time.Duration
	overRate   bool
	refused    bool
	retryAfter time.Duration
	endedAfter time.Duration // zero if it has not ended
}

func (s *submitted) inTime() bool { return s.endedAfter > 0 && s.endedAfter <= s.kind.objective() }

// load runs sources against a core in simulated time. Runs end after their run time, and
// workers answer all calls.
type load struct {
	*harness
	sources     []*source
	targets     []dispatch.Target
	running     []runningTask
	submits     []*submitted
	byID        map[string]*submitted
	outage      func(time.Duration) bool // while it holds, nothing starts or ends
	nextListing time.Duration
}

func customer(name string, weight, jobsPerSecond float64) *egretmuxv1.Customer {
	return &egretmuxv1.Customer{Name: name, Weight: weight, JobsPerSecond: jobsPerSecond}
}

func newLoad(t *testing.T, workers int, customers ...*egretmuxv1.Customer) *load {
	l := &load{harness: newHarness(t), byID: make(map[string]*submitted), outage: func(time.Duration) bool { return false }}
	l.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_PutCatalogue{PutCatalogue: &egretmuxv1.PutCatalogue{Catalogue: &egretmuxv1.Catalogue{
		Version: 2, Queues: []*egretmuxv1.Queue{lookup.queue, rebuild.queue}, Pools: []*egretmuxv1.Pool{{Name: "ledger"}}, Customers: customers,
	}}}})
	for n := range workers {
		l.targets = append(l.targets, l.addWorker(fmt.Sprintf("w%02d", n), 32))
	}
	return l
}

// submitJob submits one job of a customer as the leader does.
func (l *load) submitJob(customer string, kind *jobKind) *submitted {
	spec := &egretmuxv1.Job{
		Id: id(len(l.submits) + 1), Host: "h", Prefix: kind.queue.GetPrefix(), Service: "ledger", Attempts: 2,
		Steps: []*egretmuxv1.JobStep{kind.step}, Customer: customer, AcceptedUnixMs: l.now.Milliseconds(),
	}
	s := &submitted{customer: customer, kind: kind, at: l.now}
	l.submits = append(l.submits, s)
	admission := l.core.Admit(spec, l.now)
	s.overRate, s.refused, s.retryAfter = admission.OverRate, admission.Refused, admission.RetryAfter
	if s.refused {
		return s
	}
	spec.OverRate = admission.OverRate
	l.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: spec}}})
	l.core.JobAccepted(spec.GetId(), l.now)
	l.byID[spec.GetId()] = s
	return s
}

// run runs the load until the given time.
func (l *load) run(until time.Duration) {
	for ; l.now < until; l.now += loadStep {
		l.core.LeaderConfirmed(l.now)
		for _, s := range l.sources {
			for s.due += s.perSecond(l.now) * loadStep.Seconds(); s.due >= 1; s.due-- {
				l.submitJob(s.customer, s.kind)
			}
		}
		if l.outage(l.now) {
			continue
		}
		l.endRuns()
		if l.now >= l.nextListing {
			l.listRuns()
			l.nextListing = l.now + time.Second
		}
		l.core.Tick(l.now)
		l.plan()
		for _, s := range l.acceptStarts() {
			l.running = append(l.running, runningTask{s, l.now + l.byID[s.Task.Job].kind.runTime})
		}
	}
}

// endRuns hands over the ends of the runs whose time is over.
func (l *load) endRuns() {
	ends := make(map[dispatch.Target][]dispatch.ListedEnd)
	goesOn := l.running[:0]
	for _, r := range l.running {
		if r.at > l.now {
			goesOn = append(goesOn, r)
			continue
		}
		ends[r.start.Target] = append(ends[r.start.Target], l.listedEnd(r.start, done))
	}
	l.running = goesOn
	for _, w := range l.targets {
		if len(ends[w]) > 0 {
			l.core.HandleListing(w, l.now, l.now, dispatch.Listing{Clock: 1000 + l.now.Milliseconds(), Ended: ends[w]})
			l.takeActions()
		}
	}
	l.storeEnds()
	for _, n := range l.notices {
		if n.Event == "job_ended" {
			l.byID[n.Job].endedAfter = l.now - l.byID[n.Job].at
		}
	}
	l.notices = nil
}

// listRuns hands over the progress of all runs and renews the leases.
func (l *load) listRuns() {
	running := make(map[dispatch.Target][]dispatch.ListedRun)
	for _, r := range l.running {
		left := float64(r.at-l.now) / float64(l.byID[r.start.Task.Job].kind.runTime)
		running[r.start.Target] = append(running[r.start.Target], dispatch.ListedRun{Task: r.start.Task, Run: r.start.Run, ProgressPercent: 100 * max(0, 1-left)})
	}
	for _, w := range l.targets {
		l.core.GrantLease(w)
		l.handleListing(w, running[w], nil)
	}
}

// served returns how many of the submits that match ended in time, and how many match.
func (l *load) served(match func(*submitted) bool) (inTime, of int) {
	for _, s := range l.submits {
		if !match(s) {
			continue
		}
		of++
		if s.inTime() {
			inTime++
		}
	}
	return inTime, of
}

func requireAllServed(t *testing.T, l *load, what string, match func(*submitted) bool) {
	t.Helper()
	inTime, of := l.served(match)
	require.Positive(t, of, what)
	require.Equal(t, of, inTime, what)
}
