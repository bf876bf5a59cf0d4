package consensus

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// fixedSeed makes the random tests run the same way each time; make fuzz gives another one.
const fixedSeed = "20260401"

func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed": fixedSeed, "rapid.checks": "100", "rapid.nofailfile": "true", "rapid.shrinktime": "10s",
	} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	code := m.Run()
	fmt.Printf("random tests: %+v\n", tally)
	os.Exit(code)
}
