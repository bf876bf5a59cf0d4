package measure

import "testing"

// BenchmarkPlannerPolicy runs one measurement of the planner, to profile it.
func BenchmarkPlannerPolicy(b *testing.B) {
	for b.Loop() {
		Run(Cells[1], 1.1, &plannerPolicy{}, 20261203)
	}
}
