package jobcell

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/balance"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// adviceBalancer distributes calls to the advice service over the instances, because
// the service serves only one call at a time per calling instance.
type adviceBalancer struct {
	cell *Cell

	mu         sync.Mutex
	avoidUntil map[string]time.Time // end of the backoff after a failed call, by instance
	pendingMs  map[string]float64   // expected duration of the in-flight calls, by instance
	weights    *balance.Weights
}

func newAdviceBalancer(c *Cell) *adviceBalancer {
	return &adviceBalancer{
		cell: c, pendingMs: make(map[string]float64), avoidUntil: make(map[string]time.Time),
		weights: balance.New(balance.Advice),
	}
}

const (
	// adviceBackoff is the time for which an instance gets no calls after a failed
	// one. A restart takes about as long.
	adviceBackoff = 2 * time.Second
	// adviceSlack is the constant part of the first attempt's timeout. The other part
	// is twice the expected duration of the instance's pending calls.
	adviceSlack = 300 * time.Millisecond
	// adviceTolerance is the time that the service may take for an instance's calls, in
	// multiples of the expected one, before the instance counts as late.
	adviceTolerance = 1.5
)

// One in shortCallDivisor instances, starting with this one, makes only short calls,
// which then do not queue behind long ones.
const shortCallDivisor = 4

// Advise implements scheduler.AdviceClient. A call that fails on one instance is retried
// once, on another.
func (a *adviceBalancer) Advise(ctx context.Context, ask dispatch.Ask) (map[string]string, error) {
	tickets, err := a.adviseOnce(ctx, ask, true)
	if err == nil || ctx.Err() != nil {
		return tickets, err
	}
	telemetry.CountRetry("adviser-failed")
	return a.adviseOnce(ctx, ask, false)
}

// adviseOnce makes a call through the least loaded instance. An instance that fails,
// this one included, gets no calls during adviceBackoff. The first attempt times out
// once it takes longer than usual, which leaves time for the second.
func (a *adviceBalancer) adviseOnce(ctx context.Context, ask dispatch.Ask, firstAttempt bool) (map[string]string, error) {
	address, loadMs := a.acquire(ask.ExpectedMs)
	defer a.release(address, ask.ExpectedMs)
	if firstAttempt {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(2*loadMs*float64(time.Millisecond))+adviceSlack)
		defer cancel()
	}
	sent := time.Now()
	tickets, err := a.adviseAt(ctx, address, ask)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if err != nil {
		a.avoidUntil[address] = now.Add(adviceBackoff)
	}
	if err == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		a.weights.Observe(address, sent, now, adviceWait(now.Sub(sent), loadMs))
	}
	return tickets, err
}

// adviceWait returns the time of a call that the load of the instance does not explain, zero or
// less if it explains all.
func adviceWait(elapsed time.Duration, loadMs float64) time.Duration {
	return elapsed - time.Duration(adviceTolerance*loadMs*float64(time.Millisecond))
}

func (a *adviceBalancer) adviseAt(ctx context.Context, address string, ask dispatch.Ask) (map[string]string, error) {
	if address == a.cell.cfg.Address {
		return a.cell.cfg.Adviser.Advise(ctx, ask.Step.String(), ask.Workers)
	}
	resp, err := a.cell.dialer.Clients(address).Jobs.Advise(ctx, connect.NewRequest(&egretmuxv1.AdviseRequest{
		Step: ask.Step.String(), Workers: ask.Workers,
	}))
	if err != nil {
		return nil, err
	}
	out := make(map[string]string, len(resp.Msg.GetTickets()))
	for _, t := range resp.Msg.GetTickets() {
		out[t.GetWorker()] = t.GetTicket()
	}
	return out, nil
}

// Instances implements scheduler.AdviceClient. Instances that have lost a part of their
// weight count with what is left of it.
func (a *adviceBalancer) Instances() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	total := 0.0
	for _, candidate := range a.candidates(0, time.Now()) {
		total += a.weights.Of(candidate)
	}
	return int(math.Round(total))
}

// acquire assigns a call to the instance with the least load for its weight, and returns
// that instance's load in milliseconds, the new call included.
func (a *adviceBalancer) acquire(expectedMs float64) (address string, loadMs float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	least := math.Inf(1)
	for _, candidate := range a.candidates(expectedMs, time.Now()) {
		if load := (a.pendingMs[candidate] + expectedMs) / a.weights.Of(candidate); load < least {
			address, least = candidate, load
		}
	}
	a.pendingMs[address] += expectedMs
	return address, a.pendingMs[address]
}

// candidates returns the instances that may make a call of the given duration. The
// caller holds mu.
func (a *adviceBalancer) candidates(expectedMs float64, now time.Time) []string {
	all := []string{a.cell.cfg.Address}
	for _, m := range a.cell.directory.Responsive(now) {
		all = append(all, m.GetAddress())
	}
	out := slices.DeleteFunc(slices.Clone(all), func(address string) bool { return now.Before(a.avoidUntil[address]) })
	if len(out) == 0 {
		out = all
	}
	if reserved := len(out) / shortCallDivisor; expectedMs >= dispatch.LongAdviceMs && reserved > 0 {
		return out[reserved:]
	}
	return out
}

// release removes a finished call from an instance's load.
func (a *adviceBalancer) release(address string, expectedMs float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pendingMs[address] -= expectedMs; a.pendingMs[address] < 1e-6 {
		delete(a.pendingMs, address)
	}
}
