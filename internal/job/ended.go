package job

import (
	"slices"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// maxEndedLives bounds the memory of lives that are over. Heartbeats are late by seconds,
// in which far fewer workers end.
const maxEndedLives = 4096

// endedLives remembers the newest life of each worker that is over, so that a heartbeat
// that was delayed does not bring the worker back.
type endedLives struct {
	born  map[string]int64 // by worker
	order []string         // oldest first; part of the replicated state
}

func newEndedLives() *endedLives { return &endedLives{born: make(map[string]int64)} }

func (e *endedLives) add(worker string, born int64) {
	if born == 0 || born <= e.born[worker] {
		return // without a birth time, a life cannot be told from the next one
	}
	if e.born[worker] != 0 {
		e.order = slices.DeleteFunc(e.order, func(other string) bool { return other == worker })
	}
	e.born[worker] = born
	e.order = append(e.order, worker)
	for len(e.order) > maxEndedLives {
		delete(e.born, e.order[0])
		e.order = e.order[1:]
	}
}

// has reports whether a life is known to be over.
func (e *endedLives) has(life *egretmuxv1.WorkerLife) bool {
	born, known := e.born[life.GetWorker()]
	return known && life.GetBornUnixMs() <= born
}

func (e *endedLives) toProto() []*egretmuxv1.EndedLife {
	out := make([]*egretmuxv1.EndedLife, 0, len(e.order))
	for _, worker := range e.order {
		out = append(out, &egretmuxv1.EndedLife{Worker: worker, BornUnixMs: e.born[worker]})
	}
	return out
}

func endedLivesFromProto(in []*egretmuxv1.EndedLife) *endedLives {
	e := newEndedLives()
	for _, l := range in {
		e.add(l.GetWorker(), l.GetBornUnixMs())
	}
	return e
}
