package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/scheduler"
)

// Guards against plans that are further apart than tickets last, so that nothing starts and each plan is longer than the
// one before.
func TestPlansAreCloserTogetherThanTicketsLast(t *testing.T) {
	const validity, answer = 1500 * time.Millisecond, 500 * time.Millisecond // of the shortest-lived tickets, and of the call for them
	for _, took := range []time.Duration{time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond} {
		require.Less(t, took+scheduler.PauseAfterPlan(took), validity-answer, "a plan of %v", took)
	}
}
