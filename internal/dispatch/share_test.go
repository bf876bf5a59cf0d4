package dispatch

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Load: customers whose weights differ by many orders of magnitude share a full pool, one of
// them without a weight.
func TestRoomIsDividedByExtremeWeights(t *testing.T) {
	const huge, tiny = math.MaxFloat64, math.SmallestNonzeroFloat64
	for name, test := range map[string]struct{ weights, demands, parts []float64 }{
		"alike":                {[]float64{1, 1, 0}, []float64{1, 1, 1}, []float64{0.5, 0.5, 0}},
		"the large wants less": {[]float64{1e9, 1e-9, 1e-9, 0}, []float64{0.5, 1, 1, 1}, []float64{0.5, 0.25, 0.25, 0}},
		"the large wants more": {[]float64{1e9, 1e-9, 0}, []float64{2, 1, 0}, []float64{1, 0, 0}},
		"the large wants none": {[]float64{1e9, 1e-9}, []float64{0, 2}, []float64{0, 1}},
		"largest numbers":      {[]float64{huge, huge, 1}, []float64{1, 1, 1}, []float64{0.5, 0.5, 0}},
		"smallest numbers":     {[]float64{tiny, tiny, 0}, []float64{1, 1, 1}, []float64{0.5, 0.5, 0}},
		"both":                 {[]float64{huge, tiny, tiny}, []float64{0.5, 1, 1}, []float64{0.5, 0.25, 0.25}},
		"no weights":           {[]float64{0, 0}, []float64{2, 2}, []float64{2, 2}},
	} {
		var customers []*customer
		for _, weight := range test.weights {
			customers = append(customers, &customer{limits: &egretmuxv1.Customer{Weight: weight}})
		}
		divideRoom(customers, test.demands, 1)
		for n, part := range test.parts {
			require.False(t, math.IsNaN(customers[n].part), name)
			require.InDelta(t, part, min(customers[n].part, test.demands[n]), 1e-6, "%s: part %d", name, n)
		}
	}
}
