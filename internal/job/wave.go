package job

import (
	"slices"

	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// WaveCompleted reports whether no machine of a wave needs another order: the upkeep of
// each has begun, or was refused for good.
func WaveCompleted(w *egretmuxv1.Wave) bool {
	return !slices.ContainsFunc(w.GetMachines(), func(m string) bool { return !slices.Contains(w.GetBegun(), m) })
}

// putWave stores a wave: a set of machines whose upkeep is planned, with a limit on how
// many of them may be down at the same time. Storing it again changes nothing.
func (b *Book) putWave(w *egretmuxv1.Wave) Result {
	if b.waves[w.GetId()] != nil {
		return Result{Known: true}
	}
	b.waves[w.GetId()] = w
	return Result{}
}

func (b *Book) markWave(m *egretmuxv1.MarkWave) {
	stored := b.waves[m.GetWave()]
	if stored == nil {
		return
	}
	updated := proto.Clone(stored).(*egretmuxv1.Wave) // readers may still hold the old one
	if m.GetBegun() {
		updated.Begun = appendUnique(updated.GetBegun(), m.GetMachine())
	} else {
		updated.Ordered = appendUnique(updated.GetOrdered(), m.GetMachine())
	}
	b.waves[m.GetWave()] = updated
}

// appendUnique appends value unless the list contains it.
func appendUnique(list []string, value string) []string {
	if slices.Contains(list, value) {
		return list
	}
	return append(list, value)
}

// Wave returns a wave, or nil if there is none. The caller must not modify it.
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
