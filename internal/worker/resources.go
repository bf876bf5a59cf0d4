// Package worker holds arithmetic on the resources of workers and tasks.
package worker

import (
	"fmt"
	"math"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Resources is an amount of CPU, memory and accelerators: the comparable value
// form of the message of the same name.
type Resources struct {
	CPUMillis    int64
	MemoryMiB    int64
	Accelerators int64
}

// ResourcesFromProto converts from the message form.
func ResourcesFromProto(r *egretmuxv1.Resources) Resources {
	return Resources{r.GetCpuMillis(), r.GetMemoryMib(), r.GetAccelerators()}
}

// Proto converts to the message form.
func (r Resources) Proto() *egretmuxv1.Resources {
	return &egretmuxv1.Resources{CpuMillis: r.CPUMillis, MemoryMib: r.MemoryMiB, Accelerators: r.Accelerators}
}

// Plus returns the sum.
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.CPUMillis + other.CPUMillis, r.MemoryMiB + other.MemoryMiB, r.Accelerators + other.Accelerators}
}

// Minus returns the difference, which may be negative.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.CPUMillis - other.CPUMillis, r.MemoryMiB - other.MemoryMiB, r.Accelerators - other.Accelerators}
}

// Times returns n times the amount.
func (r Resources) Times(n int64) Resources {
	return Resources{r.CPUMillis * n, r.MemoryMiB * n, r.Accelerators * n}
}

// Fits reports whether r is at most available in every dimension.
func (r Resources) Fits(available Resources) bool {
	return r.CPUMillis <= available.CPUMillis && r.MemoryMiB <= available.MemoryMiB && r.Accelerators <= available.Accelerators
}

// DominantShare returns the largest share that r takes of total in any
// dimension. A dimension that total lacks counts as zero.
func (r Resources) DominantShare(total Resources) float64 {
	return max(share(r.CPUMillis, total.CPUMillis), share(r.MemoryMiB, total.MemoryMiB), share(r.Accelerators, total.Accelerators))
}

func share(amount, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(amount) / float64(total)
}

// String returns the amount in readable form.
func (r Resources) String() string {
	return fmt.Sprintf("%.3g cores, %d MiB, %d accelerators", float64(r.CPUMillis)/1000, r.MemoryMiB, r.Accelerators)
}

// Max returns the larger amount in each dimension.
func (r Resources) Max(other Resources) Resources {
	return Resources{max(r.CPUMillis, other.CPUMillis), max(r.MemoryMiB, other.MemoryMiB), max(r.Accelerators, other.Accelerators)}
}

// Min returns the smaller amount in each dimension.
func (r Resources) Min(other Resources) Resources {
	return Resources{min(r.CPUMillis, other.CPUMillis), min(r.MemoryMiB, other.MemoryMiB), min(r.Accelerators, other.Accelerators)}
}

// Scale returns r with CPU and memory multiplied by factor and the same
// accelerators.
func (r Resources) Scale(factor float64) Resources {
	return Resources{int64(float64(r.CPUMillis) * factor), int64(float64(r.MemoryMiB) * factor), r.Accelerators}
}

// CountFitting returns how many times r fits into total, at most
// math.MaxInt32.
func (r Resources) CountFitting(total Resources) int64 {
	n := int64(math.MaxInt32)
	for _, d := range [][2]int64{{r.CPUMillis, total.CPUMillis}, {r.MemoryMiB, total.MemoryMiB}, {r.Accelerators, total.Accelerators}} {
		if d[0] > 0 {
			n = min(n, d[1]/d[0])
		}
	}
	return max(n, 0)
}
