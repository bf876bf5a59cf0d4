package job

import (
	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// maxEndedLives bounds the memory of lives that are over. Heartbeats are late by seconds,
// in which far fewer workers end.
const maxEndedLives = 4096

// lifeKey identifies one life of a worker.
type lifeKey struct {
	worker string
	born   int64
}

// endedLives remembers lives that are over, so that a heartbeat that was delayed does not
// bring them back. Lives are compared one by one, not by age: the clock of a worker may
// have gone back between two of them.
type endedLives struct {
	known map[lifeKey]struct{}
	order []lifeKey // oldest first; part of the replicated state
}

func newEndedLives() *endedLives { return &endedLives{known: make(map[lifeKey]struct{})} }

func (e *endedLives) add(key lifeKey) {
	if _, known := e.known[key]; known {
		return
	}
	e.known[key] = struct{}{}
	e.order = append(e.order, key)
	if len(e.order) > maxEndedLives {
		delete(e.known, e.order[0])
		e.order = e.order[1:]
	}
}

// has reports whether a life is known to be over.
func (e *endedLives) has(life *egretmuxv1.WorkerLife) bool {
	_, known := e.known[lifeKey{life.GetWorker(), life.GetBornUnixMs()}]
	return known
}

func (e *endedLives) toProto() []*egretmuxv1.EndedLife {
	out := make([]*egretmuxv1.EndedLife, 0, len(e.order))
	for _, key := range e.order {
		out = append(out, &egretmuxv1.EndedLife{Worker: key.worker, BornUnixMs: key.born})
	}
	return out
}

func endedLivesFromProto(in []*egretmuxv1.EndedLife) *endedLives {
	e := newEndedLives()
	for _, l := range in {
		e.add(lifeKey{l.GetWorker(), l.GetBornUnixMs()})
	}
	return e
}
