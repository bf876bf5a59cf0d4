package job

import (
	"slices"

	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// WaveCompleted reports whether the upkeep of all machines of a wave has begun.
func WaveCompleted(w *egretmuxv1.Wave) bool {
	return !slices.ContainsFunc(w.GetMachines(), func(m string) bool { return !slices.Contains(w.GetBegun(), m) })
}

func (b *Book) putWave(w *egretmuxv1.Wave) Result {
	if b.waves[w.GetId()] != nil {
		return Result{Known: true}
	}
	b.waves[w.GetId()] = w
	return Result{}
}

func (b *Book) markWave(m *egretmuxv1.MarkWave) {
	held := b.waves[m.GetWave()]
	if held == nil {
		return
	}
	next := proto.Clone(held).(*egretmuxv1.Wave) // readers keep what they got
	if m.GetBegun() {
		next.Begun = include(next.GetBegun(), m.GetMachine())
	} else {
		next.Ordered = include(next.GetOrdered(), m.GetMachine())
	}
	b.waves[m.GetWave()] = next
}

func include(list []string, s string) []string {
	if slices.Contains(list, s) {
		return list
	}
	return append(list, s)
}

// Wave returns a wave, or nil. It must not be changed.
func (b *Book) Wave(id uint64) *egretmuxv1.Wave {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.waves[id]
}

// OpenWaves returns the waves that are not completed, lowest id first.
func (b *Book) OpenWaves() []*egretmuxv1.Wave {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var out []*egretmuxv1.Wave
	for _, w := range b.waves {
		if !WaveCompleted(w) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *egretmuxv1.Wave) int { return int(a.GetId()) - int(b.GetId()) })
	return out
}
