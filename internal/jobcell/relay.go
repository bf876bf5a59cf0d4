package jobcell

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/telemetry"
)

const (
	// relayCallTimeout covers the hop to the relaying instance and its call to the leader.
	relayCallTimeout = 400 * time.Millisecond
	maxRelayTries    = 2 // attempts per call, each through another instance
	// relayBackoff is the pause in relaying after a call that no instance could
	// relay, as there may be no leader.
	relayBackoff = 300 * time.Millisecond
	// relayReuseTime is the time for which calls go through an instance that relayed
	// one, unless the leader is reached directly before.
	relayReuseTime = 2 * time.Second
	// directProbeTimeout limits the call that checks whether the leader is reached
	// directly again: one try, no search for the leader.
	directProbeTimeout = leaderCallTimeout
)

// leaderRelay makes clients' calls to the leader through other instances, for an
// instance that is partitioned from the leader but not from them. It is unrelated to
// package relay.
type leaderRelay struct {
	cell *Cell

	mu           sync.Mutex
	via          string    // the instance that relayed the last call
	viaUntil     time.Time // when the path through it is given up, unless another call is relayed
	cutOffAt     time.Time // when the leader was last found not to be reached directly
	probeUntil   time.Time // deadline of the direct call that probes the leader
	directAt     time.Time // when the leader last answered a direct call
	pausedUntil  time.Time // end of the backoff
	nextInstance int       // round-robin position in the known instances
}

func newLeaderRelay(c *Cell) *leaderRelay { return &leaderRelay{cell: c} }

// preferred reports whether a call goes through another instance first, since the
// leader could recently be reached only that way. Once the leader has answered an
// announcement of this instance, one call at a time gets false and probes the direct
// path; the others are relayed until it succeeds.
func (r *leaderRelay) preferred() bool {
	leads := r.cell.scheduler.Leads()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if leads || !now.Before(r.viaUntil) {
		return false
	}
	if now.Before(r.probeUntil) || !r.cell.directory.ContactedSince(r.cutOffAt) {
		return true
	}
	r.probeUntil = now.Add(directProbeTimeout)
	return false
}

// directTimeout returns the limit on a direct call: a search for the leader, or the
// time of a probe while there is a path through another instance.
func (r *leaderRelay) directTimeout() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.viaUntil) {
		return directProbeTimeout
	}
	return leaderSearchTimeout
}

// directEnded records whether a direct call reached the leader.
func (r *leaderRelay) directEnded(reached bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.probeUntil = time.Time{}
	if !reached {
		if now.Before(r.viaUntil) {
			telemetry.CountRetry("leader-probe-failed")
		}
		r.cutOffAt = now
		return
	}
	r.directAt = now
	if now.Before(r.viaUntil) {
		r.cell.cfg.Logger.Info().Str("event", "leader_reached_directly").Str("via", r.via).Msg("the leader answers here again; calls go to it directly")
	}
	r.viaUntil = time.Time{}
}

// allowed reports whether a call that did not reach the leader may be relayed.
func (r *leaderRelay) allowed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().After(r.pausedUntil)
}

// call makes a client's call through another instance. Calls are idempotent, so one
// without an answer is tried again through the next instance.
func (r *leaderRelay) call(ctx context.Context, call *egretmuxv1.JobCall) (*egretmuxv1.JobAnswer, error) {
	relayed := proto.CloneOf(call)
	relayed.Relayed = true
	tried := attempts{call: call}
	last := refusal.New(refusal.NoLeader, "retry shortly", "no other instance reaches the leader").WithRetryAfter(time.Second)
	for _, address := range r.candidates(time.Now()) {
		began := time.Now()
		tryCtx, cancel := context.WithTimeout(ctx, relayCallTimeout)
		resp, err := r.cell.dialer.Clients(address).Jobs.CallJob(tryCtx, connect.NewRequest(relayed))
		cancel()
		if err == nil {
			telemetry.CountRetry("relayed")
			r.remember(address, began)
			_, answer, err := tried.settle(resp.Msg, nil)
			return answer, err
		}
		last = refusalOf(err)
		if final, _, err := tried.settle(nil, last); final {
			return nil, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	r.mu.Lock()
	r.viaUntil, r.pausedUntil = time.Time{}, time.Now().Add(relayBackoff)
	r.mu.Unlock()
	if tried.unknown != nil {
		return nil, tried.unknown
	}
	return nil, last
}

// candidates returns the instances to try: the one that relayed the last call, then
// other known instances in rotation.
func (r *leaderRelay) candidates(now time.Time) []string {
	known := r.cell.directory.Members()
	leader := r.cell.leaderAddress()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	if r.via != "" && now.Before(r.viaUntil) {
		out = append(out, r.via)
	}
	for range known {
		m := known[r.nextInstance%len(known)]
		r.nextInstance++
		// Instances with a replica are more often partitioned together with this one.
		if m.GetAddress() != leader && m.GetAddress() != r.via && m.GetReplica() == 0 {
			out = append(out, m.GetAddress())
		}
		if len(out) >= maxRelayTries {
			break
		}
	}
	return out
}

// remember makes the instance that relayed a call the path of the next ones. A call
// that began before the leader last answered directly is no reason for that.
func (r *leaderRelay) remember(address string, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if began.Before(r.directAt) {
		return
	}
	inUse := began.Before(r.viaUntil)
	if !inUse {
		r.cutOffAt = began
	}
	if r.via != address || !inUse {
		r.cell.cfg.Logger.Info().Str("event", "leader_reached_through").Str("via", address).Msg("leader not reachable directly; calls go through another instance")
	}
	r.via, r.viaUntil = address, began.Add(relayReuseTime)
}
