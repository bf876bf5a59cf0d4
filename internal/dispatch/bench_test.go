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
// workers, 150 jobs of 3 to 25 tasks a second, a plan each 5 ms. It reports the
// decisions' processor time for a task, without calls and commits.
func BenchmarkDecisions(b *testing.B) {
	const workers, jobsPerSecond, planEvery = 350, 150, 5 * time.Millisecond
	for b.Loop() {
		began := time.Now()
		tasks := simulate(b, workers, jobsPerSecond, planEvery, 5*time.Second)
		b.ReportMetric(float64(time.Since(began).Microseconds())/float64(tasks), "us/task")
	}
}

type finishing struct {
	start dispatch.Start
	at    time.Duration
}

func simulate(b *testing.B, workers, jobsPerSecond int, planEvery, length time.Duration) int {
	book := job.NewBook()
	apply := func(cmd *egretmuxv1.JobCommand) {
		data, err := proto.Marshal(cmd)
		if err != nil {
			b.Fatal(err)
		}
		book.Apply(1, data)
	}
	q := queue()
	q.Advice = &egretmuxv1.QueueAdvice{DecideMs: 10, PerWorkerMs: 0.1, ValidityMs: 2000}
	apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_PutCatalogue{PutCatalogue: &egretmuxv1.PutCatalogue{Catalogue: &egretmuxv1.Catalogue{
		Version: 1, Queues: []*egretmuxv1.Queue{q}, Pools: []*egretmuxv1.Pool{{Name: "ledger"}},
	}}}})
	c := dispatch.New(dispatch.Config{Book: book, Term: 2, Lease: testLease, FarFactor: 2, UnixMs: func(now time.Duration) int64 { return now.Milliseconds() }})
	c.SetAdvisers(40)
	for n := range workers {
		l := life(fmt.Sprintf("w%03d", n), 16)
		c.WorkerJoined(l, 0)
		c.HandleListing(targetOf(l), 0, 0, dispatch.Listing{Clock: 1000, Whole: true})
	}
	r := rand.New(rand.NewPCG(1, 1))
	numbers := make(map[string]uint64)
	var open []finishing
	next, tasksDone := 0, 0
	for now := time.Duration(0); now < length; now += planEvery {
		c.LeaderConfirmed(now)
		for ; time.Duration(next)*time.Second/time.Duration(jobsPerSecond) <= now; next++ {
			count := uint32(1 + r.IntN(9))
			apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: &egretmuxv1.Job{
				Id: id(next), Host: "h", Prefix: "/q/", Service: "ledger", Attempts: 2, AcceptedUnixMs: now.Milliseconds(),
				Steps: []*egretmuxv1.JobStep{{Count: count, CpuMillis: 1500, MemoryMib: 100, EstimateMs: 1000}},
			}}}})
			c.JobAccepted(id(next), now)
		}
		kept := open[:0]
		for _, f := range open {
			if f.at > now {
				kept = append(kept, f)
				continue
			}
			numbers[f.start.Worker]++
			c.HandleListing(f.start.Target, now, now, dispatch.Listing{Clock: 1000 + now.Milliseconds(), Whole: false, Ended: []dispatch.ListedEnd{{
				Number: numbers[f.start.Worker], Task: f.start.Task, Run: f.start.Run, Outcome: done, TaskParsed: true,
			}}})
			tasksDone++
		}
		open = kept
		c.Plan(now)
		for acts := c.TakeActions(); len(acts.Starts)+len(acts.Asks)+len(acts.EndBatches) > 0; acts = c.TakeActions() {
			for _, s := range acts.Starts {
				c.StartAnswered(s, dispatch.Accepted, now, now)
				open = append(open, finishing{s, now + time.Duration(200+r.IntN(1500))*time.Millisecond})
			}
			for _, a := range acts.Asks {
				tickets := make(map[string]string)
				for _, w := range a.Workers {
					if r.IntN(10) < 7 {
						tickets[w] = "t"
					}
				}
				c.AdviceAnswered(a, tickets, false, now, now)
			}
			for _, n := range acts.EndBatches {
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
