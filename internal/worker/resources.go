// Package worker holds the rules of workers: what fits on them and how they
// are named in the cell.
package worker

import (
	"fmt"
	"math"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Resources is an amount of processors, memory and accelerators as a value.
type Resources struct {
	CPUMillis    int64
	MemoryMiB    int64
	Accelerators int64
}

// ResourcesFromProto converts the message form.
func ResourcesFromProto(r *egretmuxv1.Resources) Resources {
	return Resources{r.GetCpuMillis(), r.GetMemoryMib(), r.GetAccelerators()}
}

// Proto converts to the message form.
func (r Resources) Proto() *egretmuxv1.Resources {
	return &egretmuxv1.Resources{CpuMillis: r.CPUMillis, MemoryMib: r.MemoryMiB, Accelerators: r.Accelerators}
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPUMillis + o.CPUMillis, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators}
}

// Minus returns the difference, which may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPUMillis - o.CPUMillis, r.MemoryMiB - o.MemoryMiB, r.Accelerators - o.Accelerators}
}

// Times returns n times the amount.
func (r Resources) Times(n int64) Resources {
	return Resources{r.CPUMillis * n, r.MemoryMiB * n, r.Accelerators * n}
}

// Fits reports whether r is at most o in every dimension.
func (r Resources) Fits(o Resources) bool {
	return r.CPUMillis <= o.CPUMillis && r.MemoryMiB <= o.MemoryMiB && r.Accelerators <= o.Accelerators
}

// DominantShare returns the largest part that r takes of total, 0 when total is empty.
func (r Resources) DominantShare(total Resources) float64 {
	return max(part(r.CPUMillis, total.CPUMillis), part(r.MemoryMiB, total.MemoryMiB), part(r.Accelerators, total.Accelerators))
}

func part(x, of int64) float64 {
	if of <= 0 {
		return 0
	}
	return float64(x) / float64(of)
}

// String returns the amount for people.
func (r Resources) String() string {
	return fmt.Sprintf("%.3g cores, %d MiB, %d accelerators", float64(r.CPUMillis)/1000, r.MemoryMiB, r.Accelerators)
}

// Max returns the larger amount in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPUMillis, o.CPUMillis), max(r.MemoryMiB, o.MemoryMiB), max(r.Accelerators, o.Accelerators)}
}

// Min returns the smaller amount in each dimension.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.CPUMillis, o.CPUMillis), min(r.MemoryMiB, o.MemoryMiB), min(r.Accelerators, o.Accelerators)}
}

// Scale returns the processors and memory multiplied by f; accelerators stay.
func (r Resources) Scale(f float64) Resources {
	return Resources{int64(float64(r.CPUMillis) * f), int64(float64(r.MemoryMiB) * f), r.Accelerators}
}

// CountFitting returns how many of r fit into total at a time.
func (r Resources) CountFitting(total Resources) int64 {
	n := int64(math.MaxInt32)
	for _, d := range [][2]int64{{r.CPUMillis, total.CPUMillis}, {r.MemoryMiB, total.MemoryMiB}, {r.Accelerators, total.Accelerators}} {
		if d[0] > 0 {
			n = min(n, d[1]/d[0])
		}
	}
	return max(n, 0)
}
