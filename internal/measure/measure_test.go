package measure

import "testing"

func BenchmarkOurs(b *testing.B) {
	for b.Loop() {
		Run(Cells[1], 1.1, &ours{}, 20261203)
	}
}
