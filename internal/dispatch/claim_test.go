package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	jobs "github.com/egretmux/egretmux/internal/job"
)

// Load: a step claims its customer's quota for two waiting tasks when one of them is started,
// and then copied. The claim for the other one stays.
func TestCopyTakesNothingFromTheClaimOfItsStep(t *testing.T) {
	c := New(Config{Book: jobs.NewBook()})
	cu := &customer{quota: resources{cpu: 10_000}}
	s := &step{
		job: &job{customer: cu, spec: &egretmuxv1.Job{}}, spec: &egretmuxv1.JobStep{},
		usage: resources{cpu: 1000}, runsOn: make(map[*worker]int), advice: newAdvice(),
	}
	s.claimQuota(2)
	copied := &task{step: s}
	for n, name := range []string{"a", "b"} {
		w := &worker{Target: Target{Worker: name}, runs: make(map[runKey]*run)}
		c.startTask(copied, w, uint64(n+1), 0)
		require.Equal(t, resources{cpu: 1000}, cu.claimed, "run %d", n+1)
	}
}
