package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/job"
)

// BenchmarkDecisions runs jobs at the rate of a large site in virtual time: 350
// workers, 150 jobs of 1 to 9 tasks a second, a plan every 5 ms. It reports the
// processor time of the decisions per task, without calls and commits.
func BenchmarkDecisions(b *testing.B) {
	const workers, jobsPerSecond, planEvery = 350, 150, 5 * time.Millisecond
	eachCustomerCount(b, func(b *testing.B, customers int) {
		for b.Loop() {
			began := time.Now()
			tasks := simulate(b, customers, workers, jobsPerSecond, planEvery, 5*time.Second)
			b.ReportMetric(float64(time.Since(began).Microseconds())/float64(tasks), "us/task")
		}
	})
}

// eachCustomerCount runs a benchmark without customers, and with the jobs spread over some or
// many customers whose quotas hold nothing back.
func eachCustomerCount(b *testing.B, f func(b *testing.B, customers int)) {
	for _, customers := range []int{0, 20, 1000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) { f(b, customers) })
	}
}

func customersOf(count int) []*egretmuxv1.Customer {
	out := make([]*egretmuxv1.Customer, 0, count)
	for n := range count {
		out = append(out, &egretmuxv1.Customer{Name: fmt.Sprint("c", n), Weight: 1, JobsPerSecond: 10, Quota: &egretmuxv1.Resources{CpuMillis: 1e9, MemoryMib: 1e9}})
	}
	return out
}

// customerOf returns the customer of the nth job.
func customerOf(n, customers int) string {
	if customers == 0 {
		return ""
	}
	return fmt.Sprint("c", n%customers)
}

// runningTask is a started task and the time at which it ends.
type runningTask struct {
	start dispatch.StartOrder
	at    time.Duration
}

// simulate runs jobs for the given length of virtual time and returns the number of
// tasks that were done.
func simulate(b *testing.B, customers, workers, jobsPerSecond int, planEvery, length time.Duration) int {
	book := job.NewBook()
	apply := func(cmd *egretmuxv1.JobCommand) { applyTo(b, book, cmd) }
	q := queue()
	q.Advice = &egretmuxv1.QueueAdvice{DecideMs: 10, PerWorkerMs: 0.1, ValidityMs: 2000}
	apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_PutCatalogue{PutCatalogue: &egretmuxv1.PutCatalogue{Catalogue: &egretmuxv1.Catalogue{
		Version: 1, Queues: []*egretmuxv1.Queue{q}, Pools: []*egretmuxv1.Pool{{Name: "ledger"}}, Customers: customersOf(customers),
	}}}})
	c := dispatch.New(dispatch.Config{Book: book, Term: 2, Lease: testLease, FarFactor: 2, UnixMs: func(now time.Duration) int64 { return now.Milliseconds() }})
	c.SetAdviceCallers(40)
	for n := range workers {
		l := life(fmt.Sprintf("w%03d", n), 16)
		c.WorkerJoined(l, 0)
		c.HandleListing(targetOf(l), 0, 0, dispatch.Listing{Clock: 1000, Complete: true})
	}
	r := rand.New(rand.NewPCG(1, 1))
	endNumbers := make(map[string]uint64)
	var running []runningTask
	next, tasksDone := 0, 0
	for now := time.Duration(0); now < length; now += planEvery {
		c.LeaderConfirmed(now)
		for ; time.Duration(next)*time.Second/time.Duration(jobsPerSecond) <= now; next++ {
			count := uint32(1 + r.IntN(9))
			apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: &egretmuxv1.Job{
				Id: id(next), Host: "h", Prefix: "/q/", Service: "ledger", Attempts: 2, AcceptedUnixMs: now.Milliseconds(), Customer: customerOf(next, customers),
				Steps: []*egretmuxv1.JobStep{{Count: count, CpuMillis: 1500, MemoryMib: 100, EstimateMs: 1000}},
			}}}})
			c.JobAccepted(id(next), now)
		}
		stillRunning := running[:0]
		for _, task := range running {
			if task.at > now {
				stillRunning = append(stillRunning, task)
				continue
			}
			endNumbers[task.start.Worker]++
			c.HandleListing(task.start.Target, now, now, dispatch.Listing{Clock: 1000 + now.Milliseconds(), Complete: false, Ended: []dispatch.ListedEnd{{
				Number: endNumbers[task.start.Worker], Task: task.start.Task, Run: task.start.Run, Outcome: done, TaskParsed: true,
			}}})
			tasksDone++
		}
		running = stillRunning
		c.Plan(now)
		for actions := c.TakeActions(); len(actions.Starts)+len(actions.Asks)+len(actions.EndBatches) > 0; actions = c.TakeActions() {
			for _, s := range actions.Starts {
				c.StartAnswered(s, dispatch.Accepted, now, now)
				running = append(running, runningTask{s, now + time.Duration(200+r.IntN(1500))*time.Millisecond})
			}
			for _, a := range actions.Asks {
				tickets := make(map[string]string)
				for _, w := range a.Workers {
					if r.IntN(10) < 7 {
						tickets[w] = "t"
					}
				}
				c.AdviceAnswered(a, tickets, false, now, now)
			}
			for _, n := range actions.EndBatches {
				apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_NoteEnds{NoteEnds: &egretmuxv1.NoteEnds{Ends: n.Ends}}})
				c.EndsStored(n.Target, n.Cursor, n.Ends, now)
			}
		}
		c.TakeNotices()
		if now%(100*time.Millisecond) == 0 {
			c.Tick(now)
		}
	}
	return tasksDone
}

func applyTo(b testing.TB, book *job.Book, cmd *egretmuxv1.JobCommand) {
	data, err := proto.Marshal(cmd)
	if err != nil {
		b.Fatal(err)
	}
	book.Apply(1, data)
}

// BenchmarkPlanWithBacklog plans while the workers of a large site are full, and 60 gangs
// and 200 steps that can wait have no room. They are of no customer, or of some.
func BenchmarkPlanWithBacklog(b *testing.B) { eachCustomerCount(b, planWithBacklog) }

func planWithBacklog(b *testing.B, customers int) {
	book := job.NewBook()
	apply := func(cmd *egretmuxv1.JobCommand) { applyTo(b, book, cmd) }
	gangs, later := queue(), queue()
	gangs.Priority = 1
	gangs.Advice = &egretmuxv1.QueueAdvice{DecideMs: 600, PerWorkerMs: 9, ValidityMs: 1500}
	later.Name, later.Prefix, later.Priority, later.SlackFactor = "later", "/later/", 2, 20
	apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_PutCatalogue{PutCatalogue: &egretmuxv1.PutCatalogue{Catalogue: &egretmuxv1.Catalogue{
		Version: 1, Queues: []*egretmuxv1.Queue{gangs, later}, Pools: []*egretmuxv1.Pool{{Name: "ledger"}}, Customers: customersOf(customers),
	}}}})
	c := dispatch.New(dispatch.Config{Book: book, Term: 2, Lease: testLease, FarFactor: 2, UnixMs: func(now time.Duration) int64 { return now.Milliseconds() }})
	c.SetAdviceCallers(100)
	for n := range 540 {
		l := life(fmt.Sprintf("w%03d", n), 16)
		c.WorkerJoined(l, 0)
		c.HandleListing(targetOf(l), 0, 0, dispatch.Listing{Clock: 1000, Complete: true})
	}
	submit := func(n int, prefix string, step *egretmuxv1.JobStep) {
		apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: &egretmuxv1.Job{
			Id: id(n), Host: "h", Prefix: prefix, Service: "ledger", Attempts: 2, Steps: []*egretmuxv1.JobStep{step},
			Customer: customerOf(n, customers), OverRate: customers > 0 && n%5 == 0,
		}}}})
		c.JobAccepted(id(n), 0)
	}
	for n := range customers { // all of them have jobs
		submit(2000+n, "/later/", tasks(1, 1))
	}
	submit(1, "/later/", tasks(8500, 1))
	c.Plan(0)
	for n := range 60 {
		gang := tasks(20, 4)
		gang.Gang, gang.EstimateMs = true, 5000
		submit(100+n, "/q/", gang)
	}
	for n := range 200 {
		submit(1000+n, "/later/", tasks(15, 2))
	}
	r := rand.New(rand.NewPCG(1, 1))
	for range 20 { // until it is known which workers may run the gangs
		c.Plan(time.Millisecond)
		for _, a := range c.TakeActions().Asks {
			tickets := make(map[string]string)
			for _, w := range a.Workers {
				if r.IntN(4) == 0 {
					tickets[w] = "t"
				}
			}
			c.AdviceAnswered(a, tickets, false, 0, time.Millisecond)
		}
	}
	for b.Loop() {
		c.Plan(2 * time.Millisecond)
		c.TakeActions()
		c.TakeNotices()
	}
}
