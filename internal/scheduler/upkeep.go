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

// MachineState is what the machines' API says of one machine.
type MachineState int

// States of a machine.
const (
	MachineUp MachineState = iota
	MachineAway
)

// UpkeepAnswer is what came of an order for upkeep.
type UpkeepAnswer int

// Answers to an order for upkeep.
const (
	UpkeepBegun   UpkeepAnswer = iota // also when it had begun before
	UpkeepUnknown                     // no clear answer: the order may be carried out
	UpkeepBusy                        // the machine is not up; try again
	UpkeepRefused                     // never: no such machine, or not of the wave
	UpkeepFenced                      // a newer leader has ordered the machine
)

// Machines is the API that machines are ordered by.
type Machines interface {
	States(ctx context.Context) (map[string]MachineState, error)
	Upkeep(ctx context.Context, machine string, wave, fence uint64) UpkeepAnswer
}

// Timing of upkeep.
const (
	upkeepPeriod  = 300 * time.Millisecond // between two looks at the machines while a wave is open
	upkeepTimeout = 2 * time.Second        // of one call to the machines' API
	// evacuateTime is waited for runs to end or move before a machine is taken.
	evacuateTime = 3 * time.Second
)

// upkeep is what this tenure knows of the machines of open waves.
type upkeep struct {
	cordoned map[string]time.Time // machines that are being emptied, since
	down     map[string]bool      // taken, and not seen up since
}

func (t *tenure) upkeepLoop(ctx context.Context) {
	u := &upkeep{cordoned: make(map[string]time.Time), down: make(map[string]bool)}
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

func (t *tenure) advanceWaves(ctx context.Context, u *upkeep, waves []*egretmuxv1.Wave) {
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
		}
	}
	for _, w := range waves {
		t.advanceWave(ctx, u, w, states)
	}
}

// advanceWave takes the next machines of a wave. Machines that may have been
// ordered before come first: only they may be down without being seen so.
func (t *tenure) advanceWave(ctx context.Context, u *upkeep, w *egretmuxv1.Wave, states map[string]MachineState) {
	down := 0
	open := make([]string, 0, len(w.GetMachines()))
	for _, m := range w.GetMachines() {
		begun := slices.Contains(w.GetBegun(), m)
		ordered := slices.Contains(w.GetOrdered(), m) && !begun
		if ordered || u.down[m] || (begun && states[m] != MachineUp) {
			down++
		}
		switch {
		case ordered:
			open = slices.Insert(open, 0, m)
		case !begun:
			open = append(open, m)
		}
	}
	for _, m := range open {
		ordered := slices.Contains(w.GetOrdered(), m)
		if !ordered && down >= int(max(1, w.GetMaxDown())) {
			return
		}
		if !ordered {
			if !t.emptied(u, m) {
				down++ // its place is taken while it is emptied
				continue
			}
			if err := t.mark(w, m, false); err != nil {
				return
			}
			down++
		}
		t.takeMachine(ctx, u, w, m)
	}
}

// emptied reports whether a machine may be taken now: it is idle, or has had
// its time. A machine whose tasks cannot be spared keeps them.
func (t *tenure) emptied(u *upkeep, machine string) bool {
	var present, allowed, idle bool
	t.do(func(c *dispatch.Core, now time.Duration) {
		var target dispatch.Target
		if target, present, allowed = c.Cordon(machine, now); present {
			idle = c.Idle(target)
		}
	})
	if !allowed {
		return false
	}
	if _, known := u.cordoned[machine]; !known {
		u.cordoned[machine] = time.Now()
	}
	return !present || idle || time.Since(u.cordoned[machine]) > evacuateTime
}

func (t *tenure) mark(w *egretmuxv1.Wave, machine string, begun bool) error {
	_, err := t.propose(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_MarkWave{MarkWave: &egretmuxv1.MarkWave{Wave: w.GetId(), Machine: machine, Begun: begun}}})
	if err != nil {
		t.cfg.Logger.Warn().Err(err).Str("event", "wave_not_marked").Uint64("wave", w.GetId()).Str("machine", machine).Msg("")
	}
	return err
}

func (t *tenure) takeMachine(ctx context.Context, u *upkeep, w *egretmuxv1.Wave, machine string) {
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
		if t.mark(w, machine, true) == nil {
			delete(u.cordoned, machine)
		}
	case UpkeepRefused:
		_ = t.mark(w, machine, true) // logged there; tried again at the next look
	case UpkeepFenced:
		t.recheck()
	}
}

// startWave stores a wave; the operator may send it again.
func (t *tenure) startWave(w *egretmuxv1.Wave) error {
	if w.GetId() == 0 || len(w.GetMachines()) == 0 {
		return refusal.New(refusal.Invalid, "give a number above zero and the machines", "the wave cannot be read")
	}
	_, err := t.propose(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_PutWave{PutWave: &egretmuxv1.PutWave{Wave: w}}})
	if err == nil {
		t.cfg.Logger.Info().Str("event", "wave_started").Uint64("wave", w.GetId()).Int("machines", len(w.GetMachines())).Uint32("max_down", w.GetMaxDown()).Msg("")
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
