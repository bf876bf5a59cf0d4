package jobs

import (
	"time"
)

// Loss is the share of a runner's traffic that is lost in each direction.
type Loss struct {
	Calls      float64 // of instances, which are not carried out
	Answers    float64 // to calls that were carried out
	Heartbeats float64
}

var allLost = Loss{Calls: 1, Answers: 1, Heartbeats: 1}

// traffic is one direction of what passes between a runner and the instances.
type traffic int

const (
	calls traffic = iota
	answers
	heartbeats
)

const (
	minLatePoll = 2 * time.Second // until a late poll is carried out
	maxLatePoll = 12 * time.Second
)

// SetLoss changes what is lost. What the runner runs goes on until the lease ends.
func (r *Runner) SetLoss(loss Loss) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loss = loss
	r.noteLoss(loss != Loss{})
}

// CutOffAtPoll cuts the runner off once it has carried out the next poll, so that its lease lasts as long as the
// leader may take it to, and no answer says so. SetCutOff ends that.
func (r *Runner) CutOffAtPoll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutAtPoll = true
	r.noteLoss(true)
}

// noteLoss records that a disruption of the runner's traffic begins or ends.
func (r *Runner) noteLoss(active bool) {
	r.cfg.Ledger.setRunnerFault(r, active)
	r.cfg.Ledger.setLinkFault(r, active)
}

// loses reports whether a message is lost.
func (r *Runner) loses(t traffic) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	share := [...]float64{r.loss.Calls, r.loss.Answers, r.loss.Heartbeats}[t]
	return share == 1 || (share > 0 && r.rng.Float64() < share)
}

// SetLatePollShare changes the share of polls that get no answer and are carried out late, with their deadlines
// and cursors.
func (r *Runner) SetLatePollShare(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateChance = share
	r.noteLoss(share > 0)
}

func (r *Runner) isLatePoll() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lateChance > 0 && r.rng.Float64() < r.lateChance
}

// pollLate carries a poll out after newer ones.
func (r *Runner) pollLate(order runnerOrder) {
	r.mu.Lock()
	delay := minLatePoll + time.Duration(r.rng.Int64N(int64(maxLatePoll-minLatePoll)))
	r.mu.Unlock()
	r.cfg.Ledger.addLateOrders(1)
	time.AfterFunc(delay, func() {
		defer r.cfg.Ledger.addLateOrders(-1)
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.ended || r.isFenced(order) {
			return
		}
		r.extendLease(order.DeadlineMs)
		r.dropAcknowledged(order.AckCursor)
	})
}

// stopTime returns how long a stop takes. The caller holds r.mu.
func (r *Runner) stopTime() time.Duration {
	if r.cfg.MaxStopDelay <= stopDelay {
		return stopDelay
	}
	return stopDelay + time.Duration(r.rng.Int64N(int64(r.cfg.MaxStopDelay-stopDelay)))
}

func (r *Runner) heartbeatPath() string { return "/Instances.Heartbeat/" + r.cfg.ID }

// heartbeat returns the next report of the runner about itself.
func (r *Runner) heartbeat() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	body := map[string]any{
		"service": r.cfg.Pool, "address": r.address, "zone": r.cfg.Zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": map[string]int64{"cpu": r.cpu, "mem_mb": r.cfg.MemMB, "gpu": 0},
		"labels": r.cfg.Labels, "clock_ms": r.clockMs(), "sequence": r.sequence,
		"born": r.born, "machine": r.cfg.Machine,
	}
	if r.draining {
		body["state"] = "draining"
		if left := time.Until(r.drainUntil); left > 0 {
			body["remaining_ms"] = left.Milliseconds()
		}
	}
	return body
}

// LateHeartbeat returns a function that sends a heartbeat as of now, also once the runner has ended.
func (r *Runner) LateHeartbeat() (send func()) {
	body := r.heartbeat()
	return func() { r.post(r.heartbeatPath(), body) }
}
