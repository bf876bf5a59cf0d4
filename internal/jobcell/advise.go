package jobcell

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// advisers spreads questions to the advice service, which answers each calling
// instance one at a time, over the instances.
type advisers struct {
	cell *Cell

	mu    sync.Mutex
	avoid map[string]time.Time // instances that failed a call, until then
	busy  map[string]float64   // expected milliseconds of the calls on their way, by instance
}

func newAdvisers(c *Cell) *advisers {
	return &advisers{cell: c, busy: make(map[string]float64), avoid: make(map[string]time.Time)}
}

// adviserRest is the time for which an instance that failed a call is not asked;
// a restart takes about as long.
const adviserRest = 2 * time.Second

// keptPart is the part of the instances, this one among them, that make no long
// calls, so that short ones need not wait behind them.
const keptPart = 4

// Advise implements scheduler.Adviser. A call that fails at another instance is
// made once more, here.
func (a *advisers) Advise(ctx context.Context, ask dispatch.Ask) (map[string]string, error) {
	address := a.take(ask.Expect)
	defer a.release(address, ask.Expect)
	tickets, err := a.adviseAt(ctx, address, ask)
	if err == nil || address == a.cell.cfg.Address {
		return tickets, err
	}
	telemetry.CountRetry("adviser-failed")
	a.mu.Lock()
	a.avoid[address] = time.Now().Add(adviserRest)
	a.mu.Unlock()
	return a.adviseAt(ctx, a.cell.cfg.Address, ask)
}

func (a *advisers) adviseAt(ctx context.Context, address string, ask dispatch.Ask) (map[string]string, error) {
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

// Instances implements scheduler.Adviser.
func (a *advisers) Instances() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	n := 1
	for _, m := range a.cell.members.live(now, memberBusy) {
		if now.After(a.avoid[m.GetAddress()]) {
			n++
		}
	}
	return n
}

// take chooses the instance with the least expected work before it.
func (a *advisers) take(expect float64) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	best := ""
	for _, address := range a.candidates(expect, time.Now()) {
		if best == "" || a.busy[address] < a.busy[best] {
			best = address
		}
	}
	a.busy[best] += expect
	return best
}

// candidates returns the instances that may make a call. The caller holds mu.
func (a *advisers) candidates(expect float64, now time.Time) []string {
	out := []string{a.cell.cfg.Address}
	for _, m := range a.cell.members.live(now, memberBusy) {
		if now.After(a.avoid[m.GetAddress()]) {
			out = append(out, m.GetAddress())
		}
	}
	if kept := len(out) / keptPart; expect >= dispatch.LongAdvice && kept > 0 {
		return out[kept:]
	}
	return out
}

func (a *advisers) release(address string, expect float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.busy[address] -= expect; a.busy[address] < 1e-6 {
		delete(a.busy, address)
	}
}
