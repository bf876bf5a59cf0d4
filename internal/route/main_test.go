package route

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the size of the property tests unless a seed is
// given, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "20261203", "rapid.checks": "600", "rapid.steps": "120", "rapid.nofailfile": "true"}
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		for name, value := range fixed {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
