package consensus

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// defaultSeed makes the random tests reproducible; make fuzz sets another seed.
const defaultSeed = "20260401"

func TestMain(m *testing.M) {
	flag.Parse()
	setFlags := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { setFlags[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed": defaultSeed, "rapid.checks": "100", "rapid.nofailfile": "true", "rapid.shrinktime": "10s",
	} {
		if !setFlags[name] {
			_ = flag.Set(name, value)
		}
	}
	code := m.Run()
	fmt.Printf("random tests: %+v\n", testStats)
	os.Exit(code)
}
