package cli

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
)

// TestAttemptTimeoutLeavesTimeForOtherInstances checks that the time for a command
// is divided among its instances, within the bounds for one attempt.
func TestAttemptTimeoutLeavesTimeForOtherInstances(t *testing.T) {
	tests := []struct {
		instances     int
		timeout, want time.Duration
	}{
		{1, 30 * time.Second, 10 * time.Second},
		{3, 9 * time.Second, 3 * time.Second},
		{3, time.Minute, 10 * time.Second},
		{12, 5 * time.Second, 2 * time.Second},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
			defer cancel()
			c := &client{tasks: make([]egretmuxv1connect.TaskServiceClient, test.instances)}
			require.Equal(t, test.want, c.timeoutPerAttempt(ctx))
		})
	}
}
