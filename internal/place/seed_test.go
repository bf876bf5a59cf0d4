package place_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the stateful tests unless -rapid.seed or SEED gives
// another, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("400"); err != nil {
			panic(err)
		}
	}
	if f := flag.Lookup("rapid.steps"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("80"); err != nil {
			panic(err)
		}
	}
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		seed := os.Getenv("SEED")
		if seed == "" {
			seed = "20261203"
		}
		if err := f.Value.Set(seed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
