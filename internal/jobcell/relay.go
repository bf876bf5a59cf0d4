package jobcell

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// An instance that is cut off from the leader may still reach others that are
// not. It makes its clients' calls through one of them.
const (
	relayTime  = 400 * time.Millisecond // of one relayed call: a call to the leader and a hop
	relayTries = 2                      // instances asked for one call
	// relayRest follows a call that no instance could relay: there may be no leader.
	relayRest = 300 * time.Millisecond
	// relayKept is how long calls go through an instance that relayed one, before
	// the leader is called directly again.
	relayKept = 2 * time.Second
)

// relays makes calls to the leader through other instances.
type relays struct {
	cell *Cell

	mu    sync.Mutex
	via   string    // the instance that relayed the last call
	until time.Time // calls go through it
	rest  time.Time // no calls are relayed before
	next  int
}

func newRelays(c *Cell) *relays { return &relays{cell: c} }

// needed reports whether the leader could lately be reached only through another
// instance.
func (r *relays) needed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.until)
}

// allowed reports whether a call that did not reach the leader may be relayed.
func (r *relays) allowed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().After(r.rest)
}

// call makes a client's call through another instance. The call may be repeated
// without harm, so one that got no answer is tried through the next.
func (r *relays) call(ctx context.Context, call *egretmuxv1.JobCall) (*egretmuxv1.JobAnswer, error) {
	relayed := proto.CloneOf(call)
	relayed.Relayed = true
	var unknown *refusal.Error
	last := refusal.New(refusal.NoLeader, "retry shortly", "no other instance reaches the leader").After(time.Second)
	for _, address := range r.candidates(time.Now()) {
		try, cancel := context.WithTimeout(ctx, relayTime)
		resp, err := r.cell.dialer.Clients(address).Jobs.CallJob(try, connect.NewRequest(relayed))
		cancel()
		if err == nil {
			telemetry.CountRetry("relayed")
			r.keep(address, time.Now())
			return resp.Msg, nil
		}
		last, _ = refusalrpc.From(err)
		if settles(last, unknown) {
			return nil, last
		}
		unknown = maybe(unknown, last)
		if ctx.Err() != nil {
			break
		}
	}
	r.mu.Lock()
	r.until, r.rest = time.Time{}, time.Now().Add(relayRest)
	r.mu.Unlock()
	if unknown != nil {
		return nil, unknown
	}
	return nil, last
}

// candidates returns the instances to try: the one that worked last, then others
// in turn that announced themselves lately or that this instance was told of.
func (r *relays) candidates(now time.Time) []string {
	members := r.cell.members.members(now)
	leader := r.cell.leaderAddress()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	if r.via != "" && now.Before(r.until) {
		out = append(out, r.via)
	}
	for range members {
		m := members[r.next%len(members)]
		r.next++
		// Instances with a replica are cut off together with this one more often.
		if m.GetAddress() != leader && m.GetAddress() != r.via && m.GetReplica() == 0 {
			out = append(out, m.GetAddress())
		}
		if len(out) >= relayTries {
			break
		}
	}
	return out
}

func (r *relays) keep(address string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.via != address || now.After(r.until) {
		r.cell.cfg.Logger.Info().Str("event", "leader_reached_through").Str("via", address).Msg("")
	}
	r.via, r.until = address, now.Add(relayKept)
}
