package dispatch

import (
	"slices"
	"strings"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// rackLabelPrefix is the prefix of the label that names a worker's rack; the rest
// of the label contains a dash.
const rackLabelPrefix = "r"

func rackOf(labels []string) string {
	for _, l := range labels {
		if strings.HasPrefix(l, rackLabelPrefix) && strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}

// maxCapacity bounds each resource of a worker, so that sums over all workers do not overflow.
const maxCapacity = 1 << 32

// capacityOf returns the capacity of a worker. An earlier release may have stored any.
func capacityOf(life *egretmuxv1.WorkerLife) resources {
	bounded := func(size int64) int64 { return max(0, min(size, maxCapacity)) }
	return resources{bounded(life.GetCpuMillis()), bounded(life.GetMemoryMib()), bounded(life.GetAccelerators())}
}

func (c *Core) addWorker(life *egretmuxv1.WorkerLife) {
	size := capacityOf(life)
	c.workers[life.GetWorker()] = &worker{
		Target: Target{Worker: life.GetWorker(), Born: life.GetBornUnixMs(), Address: life.GetAddress()},
		life:   life, capacity: size, free: size, rack: rackOf(life.GetLabels()), speed: c.speedOf(life),
		lease: lease{length: c.cfg.Lease}, runs: make(map[runKey]*run), fillerPace: fullPace,
	}
	c.workers[life.GetWorker()].updateSlowness(0)
}

// Knows reports whether the target is the current incarnation of its worker.
func (c *Core) Knows(t Target) bool {
	w := c.workers[t.Worker]
	return w != nil && w.Born == t.Born
}

// Life returns the current incarnation of a worker, or nil.
func (c *Core) Life(worker string) *egretmuxv1.WorkerLife {
	if w := c.workers[worker]; w != nil {
		return w.life
	}
	return nil
}

// ReplacedBy returns the incarnations that have ended if the given one exists: earlier ones
// of the same worker, and of other workers at its address.
func (c *Core) ReplacedBy(life *egretmuxv1.WorkerLife) []Target {
	var out []Target
	for _, w := range c.sortedWorkers() {
		if (w.Worker == life.GetWorker() || w.Address == life.GetAddress()) && w.Born < life.GetBornUnixMs() {
			out = append(out, w.Target)
		}
	}
	return out
}

// WorkerJoined adds a stored incarnation of a worker. Earlier incarnations of the
// worker and earlier workers at the same address have ended.
func (c *Core) WorkerJoined(life *egretmuxv1.WorkerLife, now time.Duration) {
	if w := c.workers[life.GetWorker()]; w != nil && w.Born >= life.GetBornUnixMs() {
		return
	}
	for _, t := range c.ReplacedBy(life) {
		c.WorkerGone(t, "replaced", now)
	}
	c.addWorker(life)
	w := c.workers[life.GetWorker()]
	w.answeredAt = now
	// It may have been known before, with a lease that still runs.
	w.lease.expiresAt = now + inheritedLeaseWait(c.cfg.Lease)
	c.addNotice(Notice{Event: "worker_joined", Worker: life.GetWorker(), Born: life.GetBornUnixMs()})
}

// Reasons for which an incarnation is removed that may come back. Otherwise it has certainly ended.
const (
	GoneSilent = "silent"
	GoneLeft   = "left"
)

// WorkerGone removes an incarnation, with its runs. A run of one that may come back holds its task
// until the lease has certainly expired, and one whose end is listed until that is stored.
func (c *Core) WorkerGone(t Target, reason string, now time.Duration) {
	w := c.workers[t.Worker]
	if w == nil || w.Born != t.Born {
		return
	}
	lost := slices.DeleteFunc(w.sortedRuns(), func(r *run) bool { return r.state == ended })
	for _, r := range lost {
		if reason == GoneSilent || reason == GoneLeft {
			c.giveUpUnheard(r.task, w.Target, r.number, w.lease.expiresAt, now)
		}
		c.loseRun(r, "worker-"+reason, now)
	}
	w.dropLeftovers(nil)
	delete(c.workers, t.Worker)
	c.addNotice(Notice{Event: "worker_gone", Worker: t.Worker, Born: t.Born, Reason: reason, Age: now - w.heardAt, Lost: len(lost)})
}

// CapacityChanged takes note of a heartbeat of a known life and reports whether it has
// another capacity than the one in use. Heartbeats may overtake each other: one that is older
// than another that was noted changes nothing.
func (c *Core) CapacityChanged(life *egretmuxv1.WorkerLife, sequence uint64) bool {
	w := c.workers[life.GetWorker()]
	if w == nil || w.Born != life.GetBornUnixMs() || sequence < w.reportSequence {
		return false
	}
	w.reportSequence = sequence
	return capacityOf(life) != w.capacity
}

// WorkerResized takes over the capacity of a stored heartbeat, unless a newer one came
// meanwhile. Runs beyond a smaller capacity go on; the worker gets no others until it has
// room again.
func (c *Core) WorkerResized(life *egretmuxv1.WorkerLife, sequence uint64) {
	w := c.workers[life.GetWorker()]
	if w == nil || w.Born != life.GetBornUnixMs() || sequence < w.reportSequence {
		return
	}
	w.reportSequence = sequence
	size := capacityOf(life)
	if size == w.capacity {
		return
	}
	w.free = w.free.plus(size).minus(w.capacity)
	w.capacity, w.life = size, life
	c.addNotice(Notice{Event: "worker_resized", Worker: w.Worker, CPU: size.cpu})
}

// WorkerDraining records that a worker takes no new runs and stays for at least
// the remaining time.
func (c *Core) WorkerDraining(t Target, remaining, now time.Duration) {
	w := c.workers[t.Worker]
	if w == nil || w.Born != t.Born {
		return
	}
	if !w.draining {
		c.addNotice(Notice{Event: "worker_draining", Worker: t.Worker})
	}
	w.draining = true
	w.drainDeadline = now + remaining
}

// WorkerLeft records that a worker has announced its end. over tells that it is certainly this life
// that ends. Its runs go on until it ends, which may be seconds later if it did not get the
// acknowledgement: they are moved, or lost once its lease has certainly expired, which is not extended
// any more.
func (c *Core) WorkerLeft(t Target, over bool, now time.Duration) {
	c.WorkerDraining(t, 0, now)
	if w := c.workers[t.Worker]; w != nil && w.Born == t.Born {
		if !w.left {
			c.addNotice(Notice{Event: "worker_leaving", Worker: t.Worker, Runs: len(w.runs) + len(w.leftovers)})
		}
		w.left, w.over = true, w.over || over
	}
}

// MayRun reports whether runs may be present on a worker.
func (c *Core) MayRun(t Target) bool {
	w := c.workers[t.Worker]
	return w != nil && w.Born == t.Born && len(w.runs)+len(w.leftovers) > 0
}

// Left is a worker that has announced its end and has no runs any more.
type Left struct {
	Target
	Over bool // it is certainly this life that is over
}

// WorkersThatLeft returns the workers that have announced their end and have no runs any more.
func (c *Core) WorkersThatLeft() []Left {
	var out []Left
	for _, w := range c.sortedWorkers() {
		if w.left && !c.MayRun(w.Target) {
			out = append(out, Left{w.Target, w.over})
		}
	}
	return out
}

// PollUnanswered records a poll that the worker did not answer.
func (c *Core) PollUnanswered(t Target) {
	w := c.workers[t.Worker]
	if w == nil || w.Born != t.Born {
		return
	}
	w.missedPolls++
	if w.missedPolls == maxMissedPolls+1 {
		c.addNotice(Notice{Event: "worker_silent", Worker: t.Worker})
	}
}

// endLease removes the runs of a worker whose lease has certainly expired.
func (c *Core) endLease(w *worker, now time.Duration) {
	w.lapsedRuns = append(w.lapsedRuns, w.crashedRuns()...)
	w.givenUpAt = now
	c.addNotice(Notice{Event: "lease_expired", Worker: w.Worker, Runs: len(w.runs) + len(w.leftovers), Age: now - w.answeredAt})
	for _, r := range w.sortedRuns() {
		if r.state != ended {
			c.giveUpUnheard(r.task, w.Target, r.number, w.lease.expiresAt, now)
			c.loseRun(r, "lease-ended", now)
		}
	}
	w.dropLeftovers(nil)
}

// GrantLease extends a worker's lease and returns what the next poll tells the
// worker: the end of the lease on the worker's clock, zero if none is granted, and
// the number up to which its ends are acknowledged.
func (c *Core) GrantLease(t Target) (leaseUntil int64, cursor uint64) {
	w := c.workers[t.Worker]
	if w == nil || w.Born != t.Born {
		return 0, 0
	}
	// Each poll of a silent worker may have arrived; if they extended its lease,
	// the lease would never expire.
	if w.synced && w.missedPolls == 0 && !w.left && !w.retiring && w.mayExtendLease() {
		leaseUntil = w.lease.grant(c.confirmedAt)
	}
	if len(w.withheld) > 0 {
		return leaseUntil, min(w.storedCursor, w.withheld[0]-1)
	}
	return leaseUntil, w.storedCursor
}

// NeedsConfirmation reports whether a worker can be granted no lease before the next confirmation of
// this leader.
func (c *Core) NeedsConfirmation(t Target) bool {
	w := c.workers[t.Worker]
	return w != nil && w.Born == t.Born && w.synced && !w.lease.anchor.known
}

// HasWithheldEnd reports whether a worker keeps listing an end that is not
// acknowledged, so that it answers a poll at once instead of waiting for the next
// end.
func (c *Core) HasWithheldEnd(t Target) bool {
	w := c.workers[t.Worker]
	return w != nil && w.Born == t.Born && len(w.withheld) > 0
}

// Draining reports whether the target is a current incarnation that takes no new
// runs.
func (c *Core) Draining(t Target) bool {
	w := c.workers[t.Worker]
	return w != nil && w.Born == t.Born && w.draining
}

// StoringEnds reports whether ends of a worker are being stored in the log.
func (c *Core) StoringEnds(t Target) bool {
	w := c.workers[t.Worker]
	return w != nil && w.Born == t.Born && w.storingCursor > w.storedCursor
}

// WorkersSilentFor returns the workers that have not answered for longer than the
// limit and on which nothing can run any more.
func (c *Core) WorkersSilentFor(limit, now time.Duration) []Target {
	var out []Target
	for _, w := range c.sortedWorkers() {
		if w.silentFor(limit, now) {
			out = append(out, w.Target)
		}
	}
	return out
}

func (w *worker) silentFor(limit, now time.Duration) bool {
	return !w.retiring && now-w.answeredAt > limit && len(w.runs) == 0 && now > w.lease.expiresAt
}

// RetireSilent reports whether a worker is still silent, and if so uses it no more, so that the end of
// its life can be stored.
func (c *Core) RetireSilent(t Target, limit, now time.Duration) bool {
	w := c.workers[t.Worker]
	if w == nil || w.Born != t.Born || !w.silentFor(limit, now) {
		return false
	}
	w.retiring = true
	return true
}

// RetireLeft reports whether a worker has no runs, and if so uses it no more, so that the end of its
// life can be stored.
func (c *Core) RetireLeft(t Target) bool {
	w := c.workers[t.Worker]
	if w == nil || w.Born != t.Born || c.MayRun(t) {
		return false
	}
	w.retiring = true
	return true
}

// KeepWorker uses a worker again, as the end of its life was not stored.
func (c *Core) KeepWorker(t Target) {
	if w := c.workers[t.Worker]; w != nil && w.Born == t.Born {
		w.retiring = false
	}
}
