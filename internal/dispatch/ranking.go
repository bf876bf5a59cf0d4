package dispatch

import (
	"cmp"
	"container/heap"
	"iter"
)

// ranking is a heap of workers, the best one first. Where only a few of many workers are taken, it costs
// less than sorting them.
type ranking struct {
	workers []*worker
	compare func(a, b *worker) int
}

// Len implements heap.Interface.
func (r *ranking) Len() int { return len(r.workers) }

// Less implements heap.Interface.
func (r *ranking) Less(i, j int) bool { return r.compare(r.workers[i], r.workers[j]) < 0 }

// Swap implements heap.Interface.
func (r *ranking) Swap(i, j int) { r.workers[i], r.workers[j] = r.workers[j], r.workers[i] }

// Push implements heap.Interface.
func (r *ranking) Push(w any) { r.workers = append(r.workers, w.(*worker)) }

// Pop implements heap.Interface.
func (r *ranking) Pop() any {
	last := len(r.workers) - 1
	w := r.workers[last]
	r.workers = r.workers[:last]
	return w
}

// bestFirst yields workers in order, as far as they are taken. It reorders the slice.
func bestFirst(workers []*worker, compare func(a, b *worker) int) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		r := &ranking{workers, compare}
		heap.Init(r)
		for r.Len() > 0 {
			if !yield(heap.Pop(r).(*worker)) {
				return
			}
		}
	}
}

// compareScores puts the worker with the better score first, as rate has set it.
func compareScores(a, b *worker) int {
	return cmp.Or(cmp.Compare(a.stepScore, b.stepScore), cmp.Compare(a.Worker, b.Worker))
}

// compareRanks puts the worker with the higher rank first, and of equal ones the one with the better score.
func compareRanks(a, b *worker) int {
	return cmp.Or(cmp.Compare(b.stepRank, a.stepRank), compareScores(a, b))
}

// rate sets the scores of workers for a step.
func (s *step) rate(workers []*worker) {
	for _, w := range workers {
		w.stepScore = s.score(w)
	}
}
