package place

import (
	"math/bits"
	"sort"

	"github.com/egretmux/egretmux/internal/worker"
)

// Lower bounds of the index's levels.
var (
	cpuLevels         = []int64{0, 250, 500, 1000, 2000, 3000, 4000, 6000, 8000, 12000, 16000, 24000, 32000, 48000, 64000, 96000}
	memoryLevels      = []int64{0, 512, 1024, 2048, 4096, 8192, 12288, 16384, 24576, 32768, 49152, 65536, 98304, 131072, 196608, 262144}
	acceleratorLevels = []int64{0, 1, 2, 4, 8}
)

const (
	sideLevels = 16
	cellCount  = sideLevels * sideLevels * 5
	cellWords  = cellCount / 64
)

// index finds workers by free room. It sorts them into cells by the level of
// their free accelerators, processors and memory; a cell that is at least one
// level above the need in each dimension fits without looking at its workers.
// A search costs the number of cells, whatever the number of workers.
type index struct {
	cells    [cellCount][]*host
	occupied [cellWords]uint64
	order    [cellCount]int // cells from little room to much
	rank     [cellCount]int
}

func newIndex() *index {
	x := &index{}
	for i := range x.order {
		x.order[i] = i
	}
	weight := func(c int) int {
		a, cpu, mem := c/(sideLevels*sideLevels), c/sideLevels%sideLevels, c%sideLevels
		return a*10*sideLevels + cpu + mem
	}
	sort.SliceStable(x.order[:], func(i, j int) bool { return weight(x.order[i]) < weight(x.order[j]) })
	for i, c := range x.order {
		x.rank[c] = i
	}
	return x
}

// floorLevel returns the highest level whose bound is at most v.
func floorLevel(levels []int64, v int64) int {
	return max(0, sort.Search(len(levels), func(i int) bool { return levels[i] > v })-1)
}

// sureLevel returns the lowest level whose bound is at least v; it may be past
// the last one.
func sureLevel(levels []int64, v int64) int {
	return sort.Search(len(levels), func(i int) bool { return levels[i] >= v })
}

func cellOf(a, cpu, mem int) int { return (a*sideLevels+cpu)*sideLevels + mem }

func cellOfRoom(r worker.Resources) int {
	return cellOf(floorLevel(acceleratorLevels, r.Accelerators), floorLevel(cpuLevels, r.CPUMillis), floorLevel(memoryLevels, r.MemoryMiB))
}

// put files the host under its free room.
func (x *index) put(h *host) {
	rank := x.rank[cellOfRoom(h.free())]
	if h.cell == rank {
		return
	}
	x.remove(h)
	h.cell = rank
	h.pos = len(x.cells[rank])
	x.cells[rank] = append(x.cells[rank], h)
	x.occupied[rank/64] |= 1 << (rank % 64)
}

func (x *index) remove(h *host) {
	if h.cell < 0 {
		return
	}
	list := x.cells[h.cell]
	last := list[len(list)-1]
	list[h.pos] = last
	last.pos = h.pos
	list[len(list)-1] = nil
	x.cells[h.cell] = list[:len(list)-1]
	if len(list) == 1 {
		x.occupied[h.cell/64] &^= 1 << (h.cell % 64)
	}
	h.cell = -1
}

// search calls visit with hosts that fit the need, from those with little room
// to those with much, until it returns false. turn varies which hosts of a cell
// come first.
func (x *index) search(need worker.Resources, turn int, visit func(*host) bool) {
	sureA := sureLevel(acceleratorLevels, need.Accelerators)
	sureC, sureM := sureLevel(cpuLevels, need.CPUMillis), sureLevel(memoryLevels, need.MemoryMiB)
	lowA, lowC, lowM := floorLevel(acceleratorLevels, need.Accelerators), floorLevel(cpuLevels, need.CPUMillis), floorLevel(memoryLevels, need.MemoryMiB)
	for w := range x.occupied {
		for word := x.occupied[w]; word != 0; word &= word - 1 {
			rank := w*64 + bits.TrailingZeros64(word)
			c := x.order[rank]
			a, cpu, mem := c/(sideLevels*sideLevels), c/sideLevels%sideLevels, c%sideLevels
			if a < lowA || cpu < lowC || mem < lowM {
				continue
			}
			sure := a >= sureA && cpu >= sureC && mem >= sureM
			if !visitCell(x.cells[rank], need, sure, turn, visit) {
				return
			}
		}
	}
}

func visitCell(list []*host, need worker.Resources, sure bool, turn int, visit func(*host) bool) bool {
	n := len(list)
	for i := range n {
		h := list[(i+turn)%n]
		if (sure || need.Fits(h.free())) && !visit(h) {
			return false
		}
	}
	return true
}
