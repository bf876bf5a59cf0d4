package scheduler

import (
	"context"
	"slices"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/refusal"
)

// MachineState is the state of a machine as the machines' API reports it.
type MachineState int

// States of a machine. One that the API does not list counts as up.
const (
	MachineUp MachineState = iota
	MachineDown
)

// UpkeepAnswer is the outcome of an upkeep order.
type UpkeepAnswer int

// Outcomes of an upkeep order.
const (
	UpkeepBegun      UpkeepAnswer = iota // the upkeep has begun, now or earlier
	UpkeepUnknown                        // no definite answer: the order may be carried out
	UpkeepBusy                           // the machine is not up; retry
	UpkeepRefused                        // final: the machine is unknown or not part of the wave
	UpkeepStaleFence                     // a newer leader has ordered the machine
)

// MachineAPI is the API that reports machine states and accepts upkeep orders.
type MachineAPI interface {
	States(ctx context.Context) (map[string]MachineState, error)
	Upkeep(ctx context.Context, machine string, wave, fence uint64) UpkeepAnswer
}

// Timing of upkeep.
const (
	upkeepPeriod  = 300 * time.Millisecond // between two checks of the machines while a wave is open
	upkeepTimeout = 2 * time.Second        // per call to the machines' API
	// evacuateTimeout is how long runs may take to end or move before the machine is
	// ordered anyway.
	evacuateTimeout = 3 * time.Second
)

// upkeepState is the tenure's state of machines in open waves.
type upkeepState struct {
	evacuationStarted map[string]time.Time // by machine
	down              map[string]bool      // upkeep has begun, and the machine was not seen up since
}

// upkeepLoop advances the open waves periodically.
func (t *tenure) upkeepLoop(ctx context.Context) {
	u := &upkeepState{evacuationStarted: make(map[string]time.Time), down: make(map[string]bool)}
	for ctx.Err() == nil {
		if waves := t.book.OpenWaves(); len(waves) > 0 && t.cfg.Machines != nil {
			t.advanceWaves(ctx, u, waves)
		}
		select {
		case <-ctx.Done():
		case <-time.After(upkeepPeriod):
		}
	}
}

func (t *tenure) advanceWaves(ctx context.Context, u *upkeepState, waves []*egretmuxv1.Wave) {
	calls, cancel := context.WithTimeout(ctx, upkeepTimeout)
	states, err := t.cfg.Machines.States(calls)
	cancel()
	if err != nil {
		t.cfg.Logger.Warn().Err(err).Str("event", "machines_not_read").Msg("")
		return
	}
	for m := range u.down {
		if states[m] == MachineUp {
			delete(u.down, m)
			// A repeated order may have cordoned the machine's next worker.
			t.updateCore(func(c *dispatch.Core, _ time.Duration) { c.Uncordon(m, "upkeep-done") })
		}
	}
	for _, w := range waves {
		t.advanceWave(ctx, u, w, states)
	}
}

// advanceWave orders the next machines of a wave, up to its limit of machines that
// are down. Machines with an order of unknown outcome come first: only they may be
// down without being reported as such.
func (t *tenure) advanceWave(ctx context.Context, u *upkeepState, w *egretmuxv1.Wave, states map[string]MachineState) {
	down := 0
	pending := make([]string, 0, len(w.GetMachines()))
	for _, m := range w.GetMachines() {
		begun := slices.Contains(w.GetBegun(), m)
		ordered := slices.Contains(w.GetOrdered(), m) && !begun
		if ordered || u.down[m] || (begun && states[m] != MachineUp) {
			down++
		}
		switch {
		case ordered:
			pending = slices.Insert(pending, 0, m)
		case !begun:
			pending = append(pending, m)
		}
	}
	for _, m := range pending {
		ordered := slices.Contains(w.GetOrdered(), m)
		if !ordered && down >= int(max(1, w.GetMaxDown())) {
			return
		}
		if !ordered {
			if !t.cordonAndCheckReady(u, m) {
				down++ // counts towards the limit while it is evacuated
				continue
			}
			if err := t.markWave(w, m, false /* settled */); err != nil {
				return
			}
			down++
		} else if !t.cordonAgain(m) {
			continue
		}
		t.orderUpkeep(ctx, u, w, m)
	}
}

// cordonAgain cordons a machine whose upkeep was ordered without an answer, perhaps by an earlier
// leader. It reports whether the order may be repeated: the machine has begun its upkeep, or its tasks
// can be spared.
func (t *tenure) cordonAgain(machine string) (allowed bool) {
	t.updateCore(func(c *dispatch.Core, now time.Duration) { _, allowed = c.Cordon(machine, now) })
	return allowed
}

// cordonAndCheckReady cordons a machine and reports whether its upkeep may be ordered:
// it is idle, or evacuateTimeout has passed. It returns false, without a cordon, while
// the core does not allow one, as the machine's tasks cannot be spared.
func (t *tenure) cordonAndCheckReady(u *upkeepState, machine string) bool {
	var idle, allowed bool
	t.updateCore(func(c *dispatch.Core, now time.Duration) { idle, allowed = c.Cordon(machine, now) })
	if !allowed {
		return false
	}
	if _, known := u.evacuationStarted[machine]; !known {
		u.evacuationStarted[machine] = time.Now()
	}
	return idle || time.Since(u.evacuationStarted[machine]) > evacuateTimeout
}

// markWave stores that upkeep of a machine is about to be ordered or, if settled is
// set, that it needs no further order: it has begun, or was refused for good.
func (t *tenure) markWave(w *egretmuxv1.Wave, machine string, settled bool) error {
	_, err := t.propose(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_MarkWave{MarkWave: &egretmuxv1.MarkWave{Wave: w.GetId(), Machine: machine, Begun: settled}}})
	if err != nil {
		t.cfg.Logger.Warn().Err(err).Str("event", "wave_not_marked").Uint64("wave", w.GetId()).Str("machine", machine).Msg("progress of the wave was not stored")
	}
	return err
}

func (t *tenure) orderUpkeep(ctx context.Context, u *upkeepState, w *egretmuxv1.Wave, machine string) {
	ctx, cancel := context.WithTimeout(ctx, upkeepTimeout)
	defer cancel()
	if err := t.confirm(ctx); err != nil {
		return
	}
	answer := t.cfg.Machines.Upkeep(ctx, machine, w.GetId(), t.term)
	t.cfg.Logger.Info().Str("event", "upkeep_ordered").Uint64("wave", w.GetId()).Str("machine", machine).Int("answer", int(answer)).Msg("")
	switch answer {
	case UpkeepBegun:
		u.down[machine] = true
		if t.markWave(w, machine, true /* settled */) == nil {
			delete(u.evacuationStarted, machine)
		}
	case UpkeepRefused:
		if t.markWave(w, machine, true /* settled */) == nil { // else it is ordered again
			delete(u.evacuationStarted, machine)
			t.updateCore(func(c *dispatch.Core, _ time.Duration) { c.Uncordon(machine, "upkeep-refused") })
		}
	case UpkeepStaleFence:
		t.requestConfirmation()
	}
}

// startWave stores a wave. Storing it again changes nothing.
func (t *tenure) startWave(ctx context.Context, w *egretmuxv1.Wave) error {
	if w.GetId() == 0 || len(w.GetMachines()) == 0 {
		return refusal.New(refusal.Invalid, "give a number above zero and the machines", "the wave has no number or no machines")
	}
	if t.book.Wave(w.GetId()) != nil { // a commit may take longer than the caller waits; a stored wave stays
		return nil
	}
	_, _, err := t.proposeOnce(ctx, &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_PutWave{PutWave: &egretmuxv1.PutWave{Wave: w}}}, nil)
	if err == nil {
		t.cfg.Logger.Info().Str("event", "wave_started").Uint64("wave", w.GetId()).Int("machines", len(w.GetMachines())).Uint32("max_down", w.GetMaxDown()).Msg("upkeep wave stored")
	}
	return err
}

func (t *tenure) showWave(ctx context.Context, id uint64) (*egretmuxv1.ShowWaveResponse, error) {
	if err := t.confirm(ctx); err != nil {
		return nil, err
	}
	w := t.book.Wave(id)
	return &egretmuxv1.ShowWaveResponse{Found: w != nil, Completed: w != nil && job.WaveCompleted(w)}, nil
}
