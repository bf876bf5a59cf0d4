// Package periodic runs a function at a fixed interval.
package periodic

import (
	"context"
	"time"
)

// Run calls f once each period until the context ends. Ticks during a call that
// takes longer than the period are dropped, as time.Ticker does.
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
