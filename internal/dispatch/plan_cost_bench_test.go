package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/job"
)

// BenchmarkPlanOfStarvedSteps plans while the pool is idle, a worker rests, and steps of all kinds wait for tickets that
// do not come. Plans are 20 ms apart in virtual time.
func BenchmarkPlanOfStarvedSteps(b *testing.B) {
	for _, workers := range []int{350, 1119} {
		for _, steps := range []int{100, 1000, 10000} {
			b.Run(fmt.Sprintf("workers=%d/steps=%d", workers, steps), func(b *testing.B) {
				c, now := starvedCore(b, workers, steps), time.Duration(0)
				plan := func() {
					c.Plan(now)
					c.TakeActions()
					c.TakeNotices()
					now += 20 * time.Millisecond
				}
				for now < 3*time.Second {
					plan()
				}
				for b.Loop() {
					plan()
				}
			})
		}
	}
}

// starvedCore returns a core with steps of single tasks, of several, and of gangs that wait for tickets.
func starvedCore(tb testing.TB, workers, steps int) *dispatch.Core {
	book := job.NewBook()
	apply := func(cmd *egretmuxv1.JobCommand) { applyTo(tb, book, cmd) }
	q := queue()
	q.Priority = 1
	q.Advice = &egretmuxv1.QueueAdvice{DecideMs: 500, PerWorkerMs: 7, ValidityMs: 2500}
	plain := queue()
	plain.Name, plain.Prefix, plain.Attempts = "plain", "/plain/", 50
	apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_PutCatalogue{PutCatalogue: &egretmuxv1.PutCatalogue{Catalogue: &egretmuxv1.Catalogue{
		Version: 1, Queues: []*egretmuxv1.Queue{q, plain}, Pools: []*egretmuxv1.Pool{{Name: "ledger"}}, Customers: customersOf(20),
	}}}})
	c := dispatch.New(dispatch.Config{Book: book, Term: 2, Lease: testLease, FarFactor: 2, UnixMs: func(now time.Duration) int64 { return now.Milliseconds() }})
	c.SetAdviceCallers(40)
	for n := range workers {
		l := life(fmt.Sprintf("w%04d", n), 16)
		c.WorkerJoined(l, 0)
		if n > 0 {
			c.HandleListing(targetOf(l), 0, 0, dispatch.Listing{Clock: 1000, Complete: true})
		}
	}
	failAll(tb, c, apply)
	for n := range steps {
		step := tasks([]uint32{3, 25, 20}[n%3], 4)
		step.EstimateMs, step.Gang = 2000, n%3 == 2
		apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: &egretmuxv1.Job{
			Id: id(n), Host: "h", Prefix: "/q/", Service: "ledger", Attempts: 2, Customer: customerOf(n, 20), Steps: []*egretmuxv1.JobStep{step},
		}}}})
		c.JobAccepted(id(n), 0)
	}
	return c
}

// failAll lets all runs on a worker of its own fail, so that it rests.
func failAll(tb testing.TB, c *dispatch.Core, apply func(*egretmuxv1.JobCommand)) {
	tb.Helper()
	l := life("failing", 64)
	c.WorkerJoined(l, 0)
	c.HandleListing(targetOf(l), 0, 0, dispatch.Listing{Clock: 1000, Complete: true})
	apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: &egretmuxv1.Job{
		Id: id(1 << 20), Host: "h", Prefix: "/plain/", Service: "ledger", Attempts: 50, Steps: []*egretmuxv1.JobStep{tasks(3, 20)},
	}}}})
	c.JobAccepted(id(1<<20), 0)
	c.Plan(0)
	var listed []dispatch.ListedEnd
	for n, start := range c.TakeActions().Starts {
		c.StartAnswered(start, dispatch.Accepted, 0, 0)
		listed = append(listed, dispatch.ListedEnd{Number: uint64(n + 1), Task: start.Task, Run: start.Run, Outcome: failed, TaskParsed: true})
	}
	require.Len(tb, listed, 3)
	c.HandleListing(targetOf(l), 0, 0, dispatch.Listing{Clock: 1000, Ended: listed})
}

// BenchmarkFirstPlan makes the first plan of a new leader, which has no tickets.
func BenchmarkFirstPlan(b *testing.B) {
	for _, workers := range []int{350, 1119} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				c := starvedCore(b, workers, 1000)
				b.StartTimer()
				c.Plan(0)
			}
		})
	}
}

// BenchmarkAdmission decides about submits of a customer over its rate while steps of others wait; after each one, another
// job over rate is stored.
func BenchmarkAdmission(b *testing.B) {
	for _, steps := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("steps=%d", steps), func(b *testing.B) {
			book := job.NewBook()
			apply := func(cmd *egretmuxv1.JobCommand) { applyTo(b, book, cmd) }
			apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_PutCatalogue{PutCatalogue: &egretmuxv1.PutCatalogue{Catalogue: &egretmuxv1.Catalogue{
				Version: 1, Queues: []*egretmuxv1.Queue{queue()}, Pools: []*egretmuxv1.Pool{{Name: "ledger"}},
				Customers: []*egretmuxv1.Customer{{Name: "within", Weight: 1}, {Name: "beyond", Weight: 1, JobsPerSecond: 0.001}},
			}}}})
			c := dispatch.New(dispatch.Config{Book: book, Term: 2, Lease: testLease, FarFactor: 2, UnixMs: func(now time.Duration) int64 { return now.Milliseconds() }})
			l := life("w", 64)
			c.WorkerJoined(l, 0)
			c.HandleListing(targetOf(l), 0, 0, dispatch.Listing{Clock: 1000, Complete: true})
			jobOf := func(n int, customer string) *egretmuxv1.Job {
				return &egretmuxv1.Job{Id: id(n), Host: "h", Prefix: "/q/", Service: "ledger", Attempts: 2, Customer: customer, Steps: []*egretmuxv1.JobStep{tasks(25, 4)}}
			}
			store := func(j *egretmuxv1.Job) {
				apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: j}}})
				c.JobAccepted(j.GetId(), 0)
			}
			for n := range steps {
				store(jobOf(n, "within"))
			}
			next := steps
			for b.Loop() {
				c.Admit(jobOf(next, "beyond"), 0)
				b.StopTimer()
				stored := jobOf(next+1, "beyond")
				stored.OverRate = true
				stored.Steps[0].LongRunning = true // it does not count itself
				store(stored)
				next += 2
				b.StartTimer()
			}
		})
	}
}
