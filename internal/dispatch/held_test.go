package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Load: a customer has many more tasks waiting than its quota lets start, in a full pool.
func TestHeldTasksCountForNoShare(t *testing.T) {
	cu := &customer{name: "a", shareLeft: shareLeft{withinRate: 0.5}}
	s := &step{job: &job{spec: &egretmuxv1.Job{}, customer: cu}, usage: resources{cpu: 10}, quotaHold: &quotaHold{startable: 3}}
	for range 100 {
		s.tasks = append(s.tasks, &task{step: s})
	}
	c := &Core{capacity: resources{cpu: 100}, unplaced: map[*step]struct{}{s: {}}, steps: map[StepKey]*step{s.key: s}}
	needs, _ := c.waitingByCustomer()
	require.Equal(t, resources{cpu: 30}, needs[cu])
	require.True(t, c.fitsShare(s, 0))
	require.InDelta(t, 0.2, cu.shareLeft.withinRate, 1e-9, "the rest is left to other steps")
}
