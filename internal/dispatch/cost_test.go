package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/dispatch"
)

// Guards against plans whose cost grows with the number of starved steps, until tickets run out between two plans and
// nothing starts any more.
func TestCostOfPlansIsBoundedWhateverTheBacklog(t *testing.T) {
	const (
		workers          = 40
		stepsInPlan      = 300 // with a search of all workers in one part of a plan
		explainedASecond = 10  // steps
	)
	for _, steps := range []int{100, 1000, 4000} {
		c := starvedCore(t, workers, steps)
		explained, examined, starved, open := 0, 0, 0, 0
		for now := time.Duration(0); now < 4*time.Second; now += 50 * time.Millisecond {
			c.Plan(now)
			c.TakeActions()
			c.TakeNotices()
			cost := c.TakePlanCost()
			starved, open = max(starved, cost.Starved), max(open, cost.Pairs[dispatch.PartOpen])
			explained += cost.Pairs[dispatch.PartExplain]
			for part, pairs := range cost.Pairs {
				if dispatch.PlanPart(part) != dispatch.PartPlaceable { // once a second for each step
					examined = max(examined, pairs)
				}
			}
		}
		require.GreaterOrEqual(t, starved, steps-1) // one may get a probe
		require.Positive(t, explained)
		require.Positive(t, open)
		assert.LessOrEqual(t, explained, 4*explainedASecond*workers, "%d steps", steps)
		assert.LessOrEqual(t, examined, 2*stepsInPlan*workers, "%d steps", steps)
	}
}
