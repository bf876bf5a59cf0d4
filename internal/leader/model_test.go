package leader_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Runs are the same every time unless -rapid.seed says otherwise.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")
	_ = flag.Set("rapid.nofailfile", "true")
}

func cloneOf[M proto.Message](m M) M { return proto.Clone(m).(M) }

func contractText(queue int) string {
	return fmt.Sprintf("[contract]\ncustomer = dixie\nshare = 0.5\ncredential_sha256 = 2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824\n\n[class.lookup]\nqueue = %d\n", queue)
}

// change has the leader of the moment commit a change.
func (c *cluster) change(id string, base uint64, author string, queue int) (*egretmuxv1.ContractVersion, error) {
	c.mu.Lock()
	l := c.voters[c.lead].leader
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(c.ctx, time.Second)
	defer cancel()
	return l.ApplyContract(ctx, &egretmuxv1.ApplyContract{Customer: "dixie", BaseVersion: base, ChangeId: id, Author: author, Text: contractText(queue)})
}

// askForce asks every voter that believes to lead whether the newest version
// is in force everywhere.
func (c *cluster) askForce() bool {
	c.mu.Lock()
	version := c.ref.CellVersion()
	voters := append([]*voter(nil), c.voters...)
	c.mu.Unlock()
	everywhere := false
	for _, v := range voters {
		ctx, cancel := context.WithTimeout(c.ctx, 100*time.Millisecond)
		resp, err := v.leader.ForceStatus(ctx, version)
		cancel()
		if err == nil && resp.GetEverywhere() {
			everywhere = true
			c.mu.Lock()
			c.forced = max(c.forced, version)
			c.mu.Unlock()
		}
	}
	return everywhere
}

// broken returns the promise that does not hold now, or "".
func (c *cluster) broken() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var granted int32
	for _, p := range c.ever {
		if !p.relay.Lease().Valid() {
			continue
		}
		if p.book.Version() < c.forced {
			return fmt.Sprintf("%s serves with version %d, but %d was reported in force everywhere", instanceName(p.id), p.book.Version(), c.forced)
		}
		granted += p.routes.GrantedSlots("e1")
	}
	if granted > slotCount {
		return fmt.Sprintf("%d of %d slots of an endpoint are granted", granted, slotCount)
	}
	c.worker.mu.Lock()
	defer c.worker.mu.Unlock()
	w := c.ref.Worker("w1")
	if w.GetPhase() == egretmuxv1.WorkerPhase_WORKER_PHASE_LOST && c.worker.epoch == w.GetEpoch() && time.Now().Before(c.worker.until) {
		return "the worker holds a lease of an epoch that was declared lost"
	}
	return ""
}

// step is one thing that happens to the cluster, and the time after it.
type step struct {
	kind   string
	target int
	after  time.Duration
}

var steps = rapid.Custom(func(t *rapid.T) step {
	return step{
		kind:   rapid.SampledFrom([]string{"change", "change", "elect", "elect", "depose", "isolate", "heal", "restart", "pause", "pauseCommit", "wait"}).Draw(t, "kind"),
		target: rapid.IntRange(0, instanceCount-1).Draw(t, "target"),
		after:  time.Duration(rapid.IntRange(0, 9000).Draw(t, "after_ms")) * time.Millisecond,
	}
})

func (c *cluster) do(s step, n int) {
	switch s.kind {
	case "change":
		c.mu.Lock()
		base := c.ref.Contract("dixie", 0).GetVersion()
		c.mu.Unlock()
		_, _ = c.change(fmt.Sprint("change ", n), base, "anna", n+1)
	case "elect":
		c.elect(s.target % voterCount)
	case "depose":
		c.depose()
	case "isolate":
		c.mu.Lock()
		c.isolated[s.target] = true
		c.mu.Unlock()
	case "heal":
		c.mu.Lock()
		c.isolated = [instanceCount]bool{}
		c.mu.Unlock()
	case "restart":
		c.start(s.target)
	case "pause":
		c.mu.Lock()
		c.voters[s.target%voterCount].pause = s.after * 2
		c.mu.Unlock()
	case "pauseCommit":
		c.mu.Lock()
		c.voters[s.target%voterCount].commit = s.after * 2
		c.mu.Unlock()
	}
}

// watch lets time pass and looks for broken promises.
func (c *cluster) watch(d time.Duration) string {
	for end := time.Now().Add(d); time.Now().Before(end); {
		c.askForce()
		if problem := c.broken(); problem != "" {
			return problem
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ""
}

// runSchedule returns the first broken promise, or "".
func runSchedule(ctx context.Context, seed uint64, schedule []step) string {
	c := newCluster(ctx, seed)
	c.worker = &fakeWorker{}
	go c.worker.run(c)
	go c.announceEndpoint(ctx, "e1", 1)
	time.Sleep(2 * time.Second)
	c.mu.Lock()
	c.faulty = true
	c.mu.Unlock()
	for n, s := range schedule {
		c.do(s, n)
		if problem := c.watch(s.after); problem != "" {
			return fmt.Sprintf("after step %d: %s", n, problem)
		}
	}
	c.do(step{kind: "heal"}, 0)
	c.depose()
	c.mu.Lock()
	c.faulty = false
	c.mu.Unlock()
	return c.recovers()
}

// recovers checks that everything serves again once the faults have stopped.
func (c *cluster) recovers() string {
	const recovery = 40 * time.Second // the longest pause, and a lease that a new leader waits out
	if problem := c.watch(recovery); problem != "" {
		return "after the faults: " + problem
	}
	for _, p := range c.entries {
		if !p.relay.Lease().Valid() {
			return instanceName(p.id) + " has no lease after the faults have stopped"
		}
	}
	if !c.askForce() {
		resp, err := c.voters[c.lead].leader.ForceStatus(c.ctx, c.ref.CellVersion())
		return fmt.Sprintf("version %d is not in force everywhere after the faults have stopped: %v, %v", c.ref.CellVersion(), resp, err)
	}
	return ""
}

// TestModelLeases runs leaders and instances over a network that delays, drops
// and cuts, with changes of leader, deposed leaders that do not know it, pauses
// after a confirmation and restarts of instances, in virtual time.
func TestModelLeases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		schedule := rapid.SliceOfN(steps, 5, 20).Draw(rt, "schedule")
		problem := ""
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			problem = runSchedule(ctx, seed, schedule)
			cancel()
			time.Sleep(time.Minute) // every sleeper wakes and ends
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}
