// Package worker holds the rules of workers: what fits on them and how they
// are named in the cell.
package worker

import (
	"fmt"
	"math"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Room is an amount of processors, memory and accelerators as a value.
type Room struct {
	CPUMillis    int64
	MemoryMiB    int64
	Accelerators int64
}

// RoomOf converts the message form.
func RoomOf(r *egretmuxv1.Resources) Room {
	return Room{r.GetCpuMillis(), r.GetMemoryMib(), r.GetAccelerators()}
}

// Resources converts to the message form.
func (r Room) Resources() *egretmuxv1.Resources {
	return &egretmuxv1.Resources{CpuMillis: r.CPUMillis, MemoryMib: r.MemoryMiB, Accelerators: r.Accelerators}
}

// Plus returns the sum.
func (r Room) Plus(o Room) Room {
	return Room{r.CPUMillis + o.CPUMillis, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators}
}

// Minus returns the difference, which may be negative.
func (r Room) Minus(o Room) Room {
	return Room{r.CPUMillis - o.CPUMillis, r.MemoryMiB - o.MemoryMiB, r.Accelerators - o.Accelerators}
}

// Times returns n times the amount.
func (r Room) Times(n int64) Room {
	return Room{r.CPUMillis * n, r.MemoryMiB * n, r.Accelerators * n}
}

// Fits reports whether r is at most o in every dimension.
func (r Room) Fits(o Room) bool {
	return r.CPUMillis <= o.CPUMillis && r.MemoryMiB <= o.MemoryMiB && r.Accelerators <= o.Accelerators
}

// Dominant returns the largest part that r takes of total, 0 when total is empty.
func (r Room) Dominant(total Room) float64 {
	return max(part(r.CPUMillis, total.CPUMillis), part(r.MemoryMiB, total.MemoryMiB), part(r.Accelerators, total.Accelerators))
}

func part(x, of int64) float64 {
	if of <= 0 {
		return 0
	}
	return float64(x) / float64(of)
}

// String returns the amount for people.
func (r Room) String() string {
	return fmt.Sprintf("%.3g cores, %d MiB, %d accelerators", float64(r.CPUMillis)/1000, r.MemoryMiB, r.Accelerators)
}

// Max returns the larger amount in each dimension.
func (r Room) Max(o Room) Room {
	return Room{max(r.CPUMillis, o.CPUMillis), max(r.MemoryMiB, o.MemoryMiB), max(r.Accelerators, o.Accelerators)}
}

// Min returns the smaller amount in each dimension.
func (r Room) Min(o Room) Room {
	return Room{min(r.CPUMillis, o.CPUMillis), min(r.MemoryMiB, o.MemoryMiB), min(r.Accelerators, o.Accelerators)}
}

// Scale returns the processors and memory multiplied by f; accelerators stay.
func (r Room) Scale(f float64) Room {
	return Room{int64(float64(r.CPUMillis) * f), int64(float64(r.MemoryMiB) * f), r.Accelerators}
}

// Count returns how many of r fit into total at a time.
func (r Room) Count(total Room) int64 {
	n := int64(math.MaxInt32)
	for _, d := range [][2]int64{{r.CPUMillis, total.CPUMillis}, {r.MemoryMiB, total.MemoryMiB}, {r.Accelerators, total.Accelerators}} {
		if d[0] > 0 {
			n = min(n, d[1]/d[0])
		}
	}
	return max(n, 0)
}
