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

// The seed is fixed unless -rapid.seed sets another.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")
	_ = flag.Set("rapid.nofailfile", "true")
}

func cloneOf[M proto.Message](m M) M { return proto.Clone(m).(M) }

func contractText(queue int) string {
	return fmt.Sprintf("[contract]\ncustomer = dixie\nshare = 0.5\ncredential_sha256 = 2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824\n\n[class.lookup]\nqueue = %d\n", queue)
}

// change commits a change of the contract through the current leader.
func (c *cluster) change(id string, base uint64, author string, queue int) (*egretmuxv1.ContractVersion, error) {
	c.mu.Lock()
	l := c.voters[c.leaderIndex].leader
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(c.ctx, time.Second)
	defer cancel()
	return l.ApplyContract(ctx, &egretmuxv1.ApplyContract{Customer: "dixie", BaseVersion: base, ChangeId: id, Author: author, Text: contractText(queue)})
}

// queryInForce asks every voter that acts as leader whether the newest version is
// in force everywhere.
func (c *cluster) queryInForce() bool {
	c.mu.Lock()
	version := c.committed.CellVersion()
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
			c.versionInForce = max(c.versionInForce, version)
			c.mu.Unlock()
		}
	}
	return everywhere
}

// violation returns the invariant that does not hold now, or "".
func (c *cluster) violation() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var granted int32
	for _, p := range c.allProcesses {
		if !p.relay.Lease().Valid() {
			continue
		}
		if p.book.Version() < c.versionInForce {
			return fmt.Sprintf("%s serves with version %d, but %d was reported in force everywhere", instanceName(p.id), p.book.Version(), c.versionInForce)
		}
		granted += p.routes.GrantedSlots("e1")
	}
	if granted > slotCount {
		return fmt.Sprintf("%d of %d slots of an endpoint are granted", granted, slotCount)
	}
	c.worker.mu.Lock()
	defer c.worker.mu.Unlock()
	w := c.committed.Worker("w1")
	if w.GetPhase() == egretmuxv1.WorkerPhase_WORKER_PHASE_LOST && c.worker.epoch == w.GetEpoch() && time.Now().Before(c.worker.leaseEnd) {
		return "the worker holds a lease of an epoch that was declared lost"
	}
	return ""
}

// step is one event in the cluster and the time to run after it.
type step struct {
	kind   string
	target int
	after  time.Duration
}

var stepGenerator = rapid.Custom(func(t *rapid.T) step {
	return step{
		kind:   rapid.SampledFrom([]string{"change", "change", "elect", "elect", "depose", "isolate", "heal", "restart", "pause", "pauseCommit", "wait"}).Draw(t, "kind"),
		target: rapid.IntRange(0, instanceCount-1).Draw(t, "target"),
		after:  time.Duration(rapid.IntRange(0, 9000).Draw(t, "after_ms")) * time.Millisecond,
	}
})

func (c *cluster) execute(s step, n int) {
	switch s.kind {
	case "change":
		c.mu.Lock()
		base := c.committed.Contract("dixie", 0).GetVersion()
		c.mu.Unlock()
		_, _ = c.change(fmt.Sprint("change ", n), base, "anna", n+1)
	case "elect":
		c.elect(s.target % voterCount)
	case "depose":
		c.notifyDeposed()
	case "isolate":
		c.mu.Lock()
		c.isolated[s.target] = true
		c.mu.Unlock()
	case "heal":
		c.mu.Lock()
		c.isolated = [instanceCount]bool{}
		c.mu.Unlock()
	case "restart":
		c.startProcess(s.target)
	case "pause":
		c.mu.Lock()
		c.voters[s.target%voterCount].pauseAfterConfirm = s.after * 2
		c.mu.Unlock()
	case "pauseCommit":
		c.mu.Lock()
		c.voters[s.target%voterCount].pauseAfterCommit = s.after * 2
		c.mu.Unlock()
	}
}

// runFor lets time pass and returns the first violation, or "".
func (c *cluster) runFor(d time.Duration) string {
	for end := time.Now().Add(d); time.Now().Before(end); {
		c.queryInForce()
		if problem := c.violation(); problem != "" {
			return problem
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ""
}

// runSchedule returns the first violation, or "".
func runSchedule(ctx context.Context, seed uint64, schedule []step) string {
	c := newCluster(ctx, seed)
	c.worker = &fakeWorker{}
	go c.worker.run(c)
	go c.announceEndpoint(ctx, "e1", 1)
	time.Sleep(2 * time.Second)
	c.mu.Lock()
	c.networkFaulty = true
	c.mu.Unlock()
	for n, s := range schedule {
		c.execute(s, n)
		if problem := c.runFor(s.after); problem != "" {
			return fmt.Sprintf("after step %d: %s", n, problem)
		}
	}
	c.execute(step{kind: "heal"}, 0)
	c.notifyDeposed()
	c.mu.Lock()
	c.networkFaulty = false
	c.mu.Unlock()
	return c.checkRecovery()
}

// checkRecovery checks that every instance serves again once the faults have stopped.
func (c *cluster) checkRecovery() string {
	const recovery = 40 * time.Second // the longest pause and the leases that a new leader waits for
	if problem := c.runFor(recovery); problem != "" {
		return "after the faults: " + problem
	}
	for _, p := range c.processes {
		if !p.relay.Lease().Valid() {
			return instanceName(p.id) + " has no lease after the faults have stopped"
		}
	}
	if !c.queryInForce() {
		resp, err := c.voters[c.leaderIndex].leader.ForceStatus(c.ctx, c.committed.CellVersion())
		return fmt.Sprintf("version %d is not in force everywhere after the faults have stopped: %v, %v", c.committed.CellVersion(), resp, err)
	}
	return ""
}

// TestModelLeases runs leaders and instances in virtual time over a network that
// delays and drops messages and isolates instances, with changes of leader,
// deposed leaders that have not noticed, pauses after a confirmation or a commit
// and restarts of instances.
func TestModelLeases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		schedule := rapid.SliceOfN(stepGenerator, 5, 20).Draw(rt, "schedule")
		problem := ""
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			problem = runSchedule(ctx, seed, schedule)
			cancel()
			time.Sleep(time.Minute) // lets all goroutines end
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}
