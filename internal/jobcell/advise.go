package jobcell

import (
	"context"
	"slices"
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

const (
	// adviserRest is the time for which an instance that failed a call is not
	// asked; a restart takes about as long.
	adviserRest = 2 * time.Second
	// adviserPatience is waited for the answer of the first instance asked, beyond
	// twice the expected time of the calls before it and its own.
	adviserPatience = 300 * time.Millisecond
)

// keptPart is the part of the instances, this one among them, that make no long
// calls, so that short ones need not wait behind them.
const keptPart = 4

// Advise implements scheduler.Adviser. A call that fails at one instance is made
// once more, at another.
func (a *advisers) Advise(ctx context.Context, ask dispatch.Ask) (map[string]string, error) {
	tickets, err := a.adviseOnce(ctx, ask, true)
	if err == nil || ctx.Err() != nil {
		return tickets, err
	}
	telemetry.CountRetry("adviser-failed")
	return a.adviseOnce(ctx, ask, false)
}

// adviseOnce makes a call through the instance with the least work before it. One
// that fails is left alone for a while, this one like any other. With another try
// to come, the answer is waited for only as long as is usual.
func (a *advisers) adviseOnce(ctx context.Context, ask dispatch.Ask, another bool) (map[string]string, error) {
	address, load := a.take(ask.ExpectedMs)
	defer a.release(address, ask.ExpectedMs)
	if another {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(2*load*float64(time.Millisecond))+adviserPatience)
		defer cancel()
	}
	tickets, err := a.adviseAt(ctx, address, ask)
	if err != nil {
		a.mu.Lock()
		a.avoid[address] = time.Now().Add(adviserRest)
		a.mu.Unlock()
	}
	return tickets, err
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
	return len(a.candidates(0, time.Now()))
}

// take chooses the instance with the least expected work before it, and returns
// that work with the new call's, in milliseconds.
func (a *advisers) take(expect float64) (address string, load float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.candidates(expect, time.Now()) {
		if address == "" || a.busy[c] < a.busy[address] {
			address = c
		}
	}
	a.busy[address] += expect
	return address, a.busy[address]
}

// candidates returns the instances that may make a call. The caller holds mu.
func (a *advisers) candidates(expect float64, now time.Time) []string {
	all := []string{a.cell.cfg.Address}
	for _, m := range a.cell.members.live(now, memberBusy) {
		all = append(all, m.GetAddress())
	}
	out := slices.DeleteFunc(slices.Clone(all), func(address string) bool { return now.Before(a.avoid[address]) })
	if len(out) == 0 {
		out = all
	}
	if kept := len(out) / keptPart; expect >= dispatch.LongAdviceMs && kept > 0 {
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
