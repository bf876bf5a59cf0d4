// Package periodic runs a function at a steady rate.
package periodic

import (
	"context"
	"time"
)

// Run calls f once each period until the context ends. A call that takes
// longer than the period leaves out the calls it overlaps.
func Run(ctx context.Context, period time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f(time.Now())
	}
}
