package speed

import (
	"math"
	"time"
)

const (
	// maxPresentRatio is how much slower than usual a run in progress counts at most. One run
	// alone stays below spellBegins: it may be a long one.
	maxPresentRatio = 4.0
	evidencePrior   = 1.0                     // runs that weigh as much as the assumption that there is no spell
	spellBegins     = 2.0                     // slowness at which runs in progress show a spell
	spellGoesOn     = 1.5                     // slowness at which they confirm one
	spellHold       = time.Second             // a spell counts in full for as long without confirmation
	spellFade       = 1500 * time.Millisecond // and then fades within this time
)

// Evidence is what the runs in progress on a worker together show about its present speed.
type Evidence struct{ sum, weight float64 }

// Change is what evidence has changed about a worker.
type Change int

// Changes of a worker.
const (
	Unchanged Change = iota
	Slowed
	Recovered
)

// AddPeers adds runs that progress as if they took ratio times as long as their peers let
// expect. Their weight is their number, or less if they may all be wrong in the same way. It
// reports whether they are as fast as usual.
func (w *Worker) AddPeers(e *Evidence, ratio, weight float64) (usual bool) {
	deviation := w.deviation(ratio)
	e.add(deviation, weight)
	return deviation < math.Log(spellGoesOn)
}

// AddChange adds a run that progresses as if it took ratio times as long as it seemed to
// before. Such a run tells of its worker, whatever its estimate.
func (e *Evidence) AddChange(ratio float64) { e.add(math.Log(ratio), 1) }

func (e *Evidence) add(deviation, weight float64) {
	e.sum += weight * min(math.Log(maxPresentRatio), deviation)
	e.weight += weight
}

// ObservePresent takes over the present speed of a worker.
func (w *Worker) ObservePresent(e Evidence, now time.Duration) Change {
	if e.weight == 0 {
		return Unchanged
	}
	present := e.sum / (e.weight + evidencePrior)
	slow := w.spellAt(now) > 0
	switch {
	case present > math.Log(spellBegins), slow && present > math.Log(spellGoesOn):
		w.spell, w.confirmedAt = max(present, e.sum/e.weight), now
		if !slow {
			return Slowed
		}
	case slow && e.weight >= evidencePrior && e.sum/e.weight < math.Log(spellGoesOn):
		w.spell = 0
		return Recovered
	}
	return Unchanged
}

// EndFadedSpell reports whether a spell has ended without evidence since the last call.
func (w *Worker) EndFadedSpell(now time.Duration) bool {
	if w.spell == 0 || w.spellAt(now) > 0 {
		return false
	}
	w.spell = 0
	return true
}

// Spell returns the factor of the spell, which is 1 if there is none.
func (w *Worker) Spell(now time.Duration) float64 { return math.Exp(w.spellAt(now)) }

// WorstSlowness is like Slowness, but counts a spell in full until it has ended.
func (w *Worker) WorstSlowness(now time.Duration) float64 {
	if w.spellAt(now) > 0 {
		return math.Exp(w.lasting() + w.spell)
	}
	return w.Slowness(now)
}

// spellAt returns the logarithm of the factor of the spell.
func (w *Worker) spellAt(now time.Duration) float64 {
	left := spellHold + spellFade - (now - w.confirmedAt)
	return w.spell * max(0, min(1, float64(left)/float64(spellFade)))
}
