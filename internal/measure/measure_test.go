package measure

import "testing"

// BenchmarkOurs is one measurement of the real decision code, for profiles.
func BenchmarkOurs(b *testing.B) {
	for b.Loop() {
		Run(Cells[1], 1.1, &ours{}, 20261203)
	}
}
