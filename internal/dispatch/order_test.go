package dispatch_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
)

// submitAs stores a job of a customer with a mark and hands it over.
func (h *harness) submitAs(customer string, overRate bool, prefix, id string, steps ...*egretmuxv1.JobStep) {
	h.t.Helper()
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: &egretmuxv1.Job{
		Id: id, Host: "h", Prefix: prefix, Service: "ledger", Steps: steps, Attempts: 2, AcceptedUnixMs: h.now.Milliseconds(), Customer: customer, OverRate: overRate,
	}}}})
	h.core.JobAccepted(id, h.now)
}

// putCustomers puts customers in force, with the queues of a mixed harness.
func (h *harness) putCustomers(customers ...*egretmuxv1.Customer) {
	c := h.book.Catalogue().Message
	h.apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_PutCatalogue{PutCatalogue: &egretmuxv1.PutCatalogue{Catalogue: &egretmuxv1.Catalogue{
		Version: c.GetVersion() + 1, Queues: c.GetQueues(), Pools: c.GetPools(), Customers: customers,
	}}}})
}

// startedJobs returns the jobs of the collected starts in their order.
func (h *harness) startedJobs() []string {
	var out []string
	for _, s := range h.starts {
		if len(out) == 0 || out[len(out)-1] != s.Task.Job {
			out = append(out, s.Task.Job)
		}
	}
	return out
}

// Load: a full pool and a mixed backlog. Without customers, and for customers within their
// rates and shares, the order is by lateness and slack alone.
func TestOrderIsBySlackWithoutContendingCustomers(t *testing.T) {
	const jobs = 12
	estimate := func(n int) int64 { return int64(300 + 100*(n*7%jobs)) }
	startsOf := func(customers ...*egretmuxv1.Customer) []string {
		h := newMixedHarness(t, "a", "b", "c", "d")
		h.putCustomers(customers...)
		name := func(n int) string {
			if len(customers) == 0 {
				return ""
			}
			return customers[n%len(customers)].GetName()
		}
		h.submitTo("/later/", id(1), tasks(16, 1))
		h.plan()
		occupying := h.acceptAll()
		for n := range jobs {
			step := tasks(1, 1)
			step.EstimateMs = estimate(n)
			h.submitAs(name(n), false, []string{"/q/", "/later/"}[n%2], id(100+n), step)
		}
		h.plan()
		h.advance(700 * time.Millisecond)
		for _, s := range occupying[:jobs] {
			h.endOne(s)
		}
		return h.startedJobs()
	}
	bySlack := slices.SortedFunc(slices.Values([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}), func(a, b int) int {
		return cmp.Or(cmp.Compare(a%2, b%2), cmp.Compare(estimate(a), estimate(b))) // all of "/later/" have more slack
	})
	var expected []string
	for _, n := range bySlack {
		expected = append(expected, id(100+n))
	}
	require.Equal(t, expected, startsOf())
	require.Equal(t, expected, startsOf(customer("x", 1, 0), customer("y", 1, 0), customer("z", 1, 0)))
}

// Load: room for one task, a job over rate with little slack and one within rate with much.
func TestJobsOverRateComeAfterThoseWithin(t *testing.T) {
	h := newMixedHarness(t, "a")
	h.putCustomers(customer("x", 1, 1), customer("y", 1, 1))
	h.submitAs("x", true, "/q/", id(1), tasks(1, 4))
	h.submitAs("y", false, "/later/", id(2), tasks(1, 4))
	h.plan()
	require.Equal(t, []string{id(2)}, h.startedJobs())
}

// Load: a gang over rate and one within rate wait for a full pool. Only the second keeps the
// room that comes free from steps that can wait.
func TestGangOverRateReservesNothing(t *testing.T) {
	for overRate, left := range map[bool]int{false: 0, true: 1} {
		h := newMixedHarness(t, "a", "b")
		h.putCustomers(customer("x", 1, 1), customer("y", 1, 1))
		h.submitTo("/later/", id(1), tasks(8, 1))
		h.plan()
		occupying := h.acceptAll()
		gang := tasks(2, 4)
		gang.Gang = true
		h.submitAs("x", overRate, "/q/", id(2), gang)
		h.submitAs("y", false, "/later/", id(3), tasks(1, 1))
		h.endOne(occupying[0])
		require.Len(t, h.starts, left, "gang over rate: %v", overRate)
	}
}

// Load: a wide task within rate waits until enough cores of a worker are free. Small tasks
// over rate leave it the room that it waits for, and use the rest.
func TestWorkOverRateLeavesRoomThatOthersWaitFor(t *testing.T) {
	h := newMixedHarness(t, "a", "b", "c", "d")
	h.putCustomers(customer("x", 1, 1), customer("y", 1, 1))
	h.submitTo("/later/", id(1), tasks(16, 1))
	h.plan()
	occupying := h.acceptAll()
	h.submitAs("y", false, "/later/", id(2), tasks(1, 4))
	h.submitAs("x", true, "/q/", id(3), tasks(8, 1))
	byWorker := make(map[string][]dispatch.StartOrder)
	for _, s := range occupying {
		byWorker[s.Worker] = append(byWorker[s.Worker], s)
	}
	for _, runs := range byWorker { // one core on each worker: the wide task fits on none
		h.endOne(runs[0])
	}
	require.Empty(t, h.starts, "four cores are free, and four are waited for")
	for _, s := range byWorker["a"][1:] {
		h.endOne(s)
	}
	require.Equal(t, map[string]int{id(2): 1, id(3): 3}, countStarts(h), "seven cores came free")
}

// countStarts returns the number of collected starts by job.
func countStarts(h *harness) map[string]int {
	out := make(map[string]int)
	for _, s := range h.starts {
		out[s.Task.Job]++
	}
	return out
}

// Load: work over rate on a queue with advice, while the calls of a busy cell go to others.
func TestWorkOverRateLeavesCallsForAdviceToOthers(t *testing.T) {
	advised := queue()
	advised.Advice = &egretmuxv1.QueueAdvice{DecideMs: 400, PerWorkerMs: 1, ValidityMs: 1500}
	h := newHarness(t, advised)
	h.putCustomers(customer("x", 1, 1), customer("y", 1, 1))
	h.addWorker("a", 64)
	h.submitAs("y", false, "/q/", id(1), tasks(1, 1))
	h.plan()
	require.Len(t, h.asks, 1)
	h.submitAs("x", true, "/q/", id(2), tasks(1, 1))
	h.submitAs("y", false, "/q/", id(3), tasks(1, 1))
	h.plan()
	require.Len(t, h.asks, 2)
	require.Equal(t, id(3), h.asks[1].Step.Job)
}

// Load: a task that is to run all the time fails over rate while others wait for more room than
// came free. It is due whenever it does not run, so it does not leave them its core.
func TestLongRunningTaskOverRateIsRestartedBesideWaitingSteps(t *testing.T) {
	h := newMixedHarness(t, "a", "b")
	h.putCustomers(customer("x", 1, 0.001), customer("y", 1, 0))
	service := tasks(1, 1)
	service.LongRunning = true
	h.submitAs("x", true, "/later/", id(1), service)
	h.plan()
	lasting := h.acceptAll()
	require.Len(t, lasting, 1)
	h.submitAs("y", false, "/later/", id(2), tasks(7, 1))
	h.plan()
	require.Len(t, h.acceptAll(), 7)
	h.submitAs("y", false, "/later/", id(3), tasks(2, 4))
	h.endOne(lasting[0])
	require.Equal(t, []string{id(1)}, h.startedJobs())
}
