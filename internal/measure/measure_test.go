package measure

import "testing"

func BenchmarkOurs(b *testing.B) {
	for b.Loop() {
		Run(Cells[2], 0.9, &ours{}, 20261203)
	}
}
