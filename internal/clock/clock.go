// Package clock provides the clock by which permissions that expire are measured.
package clock

import "time"

// Clock returns the time since a fixed moment. It never goes back, and it goes on while
// the machine is suspended, unlike the monotonic reading of time.Now on Linux.
type Clock func() time.Duration

var processStart = time.Now()

// steady returns the monotonic time since the start of the process.
func steady() time.Duration { return time.Since(processStart) }
