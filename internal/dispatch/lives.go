package dispatch

import (
	"strings"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// rackLabel begins the label that names a worker's rack.
const rackLabel = "r"

func rackOf(labels []string) string {
	for _, l := range labels {
		if strings.HasPrefix(l, rackLabel) && strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}

func (c *Core) addWorker(life *egretmuxv1.WorkerLife) {
	size := room{life.GetCpuMillis(), life.GetMemoryMib(), life.GetAccelerators()}
	c.workers[life.GetWorker()] = &worker{
		Target: Target{Worker: life.GetWorker(), Born: life.GetBornUnixMs(), Address: life.GetAddress()},
		life:   life, size: size, free: size, rack: rackOf(life.GetLabels()), pace: 1,
		lease: lease{length: c.cfg.Lease}, runs: make(map[runKey]*run), fillPace: fullPace,
	}
}

// Knows reports whether a life is the one that the core works with.
func (c *Core) Knows(t Target) bool {
	w := c.workers[t.Worker]
	return w != nil && w.Born == t.Born
}

// WorkerJoined takes up a stored life. An earlier life of the worker has ended, and so
// has any worker at the same address.
func (c *Core) WorkerJoined(life *egretmuxv1.WorkerLife, now time.Duration) {
	for _, w := range c.sortedWorkers() {
		same := w.Worker == life.GetWorker()
		if same && w.Born >= life.GetBornUnixMs() {
			return
		}
		if same || (w.Address == life.GetAddress() && w.Born < life.GetBornUnixMs()) {
			c.WorkerGone(w.Target, "replaced")
		}
	}
	c.addWorker(life)
	c.notice(Notice{Event: "worker_joined", Worker: life.GetWorker()})
}

// WorkerGone removes a life that has certainly ended with everything on it.
func (c *Core) WorkerGone(t Target, reason string) {
	w := c.workers[t.Worker]
	if w == nil || w.Born != t.Born {
		return
	}
	for _, r := range w.sortedRuns() {
		c.lose(r, "worker-"+reason)
	}
	delete(c.workers, t.Worker)
	c.notice(Notice{Event: "worker_gone", Worker: t.Worker, Reason: reason})
}

// WorkerDraining records that a worker takes no more work and stays for at least the
// given time.
func (c *Core) WorkerDraining(t Target, remaining, now time.Duration) {
	w := c.workers[t.Worker]
	if w == nil || w.Born != t.Born {
		return
	}
	if !w.draining {
		c.notice(Notice{Event: "worker_draining", Worker: t.Worker})
	}
	w.draining = true
	w.leavesAt = now + remaining
}

// PollUnanswered records a look that the worker did not answer.
func (c *Core) PollUnanswered(t Target) {
	w := c.workers[t.Worker]
	if w == nil || w.Born != t.Born {
		return
	}
	w.missed++
	if w.missed == missedLimit+1 {
		c.notice(Notice{Event: "worker_silent", Worker: t.Worker})
	}
}

// endLease gives up what ran on a worker whose lease has certainly ended.
func (c *Core) endLease(w *worker) {
	for _, r := range w.sortedRuns() {
		if r.state != ended {
			c.lose(r, "lease-ended")
		}
	}
}

// GrantLease returns what to tell a worker at a look: the end of its lease on its own
// clock, zero before its clock is known, and the last end that is durable.
func (c *Core) GrantLease(t Target) (leaseUntil int64, cursor uint64) {
	w := c.workers[t.Worker]
	if w == nil || w.Born != t.Born {
		return 0, 0
	}
	// A lease that a silent worker may have received could never be waited out.
	if w.fenced && w.missed == 0 {
		leaseUntil = w.lease.grant(c.confirmed)
	}
	if w.withheld > 0 {
		return leaseUntil, min(w.cursor, w.withheld-1)
	}
	return leaseUntil, w.cursor
}

// HasWithheldEnd reports whether a worker lists ends that are not acknowledged, so
// that a look at it does not wait for the next one.
func (c *Core) HasWithheldEnd(t Target) bool {
	w := c.workers[t.Worker]
	return w != nil && w.Born == t.Born && w.withheld > 0
}

// Draining reports whether a known life takes no more work.
func (c *Core) Draining(t Target) bool {
	w := c.workers[t.Worker]
	return w != nil && w.Born == t.Born && w.draining
}

// StoringEnds reports whether ends of a worker are on their way to the log.
func (c *Core) StoringEnds(t Target) bool {
	w := c.workers[t.Worker]
	return w != nil && w.Born == t.Born && w.noting > w.cursor
}

// WorkersSilentFor returns the workers that have not answered for the given time and
// on which nothing can run any more.
func (c *Core) WorkersSilentFor(limit, now time.Duration) []Target {
	var out []Target
	for _, w := range c.sortedWorkers() {
		if now-w.answered > limit && len(w.runs) == 0 && now > w.lease.lapsesAt {
			out = append(out, w.Target)
		}
	}
	return out
}
