package standin

import "time"

const runningTimeStep = 10 * time.Millisecond

// RunningTime returns a channel that is closed once this process has run for d. It counts
// steps in which the process ran, so that a bound on an answer stays as strict on a machine
// that is busy with other work, and is not used up by it.
func RunningTime(d time.Duration) <-chan struct{} {
	over := make(chan struct{})
	go func() {
		defer close(over)
		ticker := time.NewTicker(runningTimeStep)
		defer ticker.Stop()
		for ; d > 0; d -= runningTimeStep {
			<-ticker.C
		}
	}()
	return over
}
