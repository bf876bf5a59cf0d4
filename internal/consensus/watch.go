package consensus

import (
	"sync"
	"time"

	"github.com/egretmux/egretmux/internal/telemetry"
)

const (
	watchPeriod = 250 * time.Millisecond
	// stallThreshold is the length of a pass through the loop from which it counts as a
	// stall. Passes take milliseconds, and an idle loop passes at each tick.
	stallThreshold = 2 * time.Second
)

// startWatch starts a watch that reports when the loop of Run or a write of the log stands
// still, as on a disk that hangs or a lock that is not released. The returned function ends the watch.
//
// Ages are counted in ticks of the watch: while the whole process is frozen, neither
// the loop nor the watch goes on, and nothing counts as a stall of the replica.
func (n *Node) startWatch() (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		ticker := time.NewTicker(watchPeriod)
		defer ticker.Stop()
		w := loopWatch{node: n}
		for {
			select {
			case <-done:
				telemetry.SetGauge("replica_loop_age_seconds", 0)
				return
			case <-ticker.C:
				w.update()
			}
		}
	})
	return func() {
		close(done)
		running.Wait()
	}
}

// loopWatch is the watch's view of the loop.
type loopWatch struct {
	node    *Node
	passes  uint64        // number of passes at the last update
	writes  uint64        // number of writes that were done at the last update
	age     time.Duration // since passes changed, or writes while one is in progress
	stalled bool
}

// update is called once each watchPeriod.
func (w *loopWatch) update() {
	passes, writes := w.node.passes.Load(), w.node.writesDone.Load()
	writing := w.node.writesBegun.Load() != writes && !w.node.full.Load()
	if passes != w.passes && (!writing || writes != w.writes) {
		if w.stalled {
			w.node.cfg.Logger.Warn().Str("event", "replica_resumed").Int64("age_ms", w.age.Milliseconds()).Msg("the replica goes on")
		}
		w.passes, w.writes, w.age, w.stalled = passes, writes, 0, false
	} else {
		w.age += watchPeriod
	}
	telemetry.SetGauge("replica_loop_age_seconds", w.age.Seconds())
	if !w.stalled && w.age >= stallThreshold {
		w.stalled = true
		w.node.cfg.Logger.Error().Str("event", "replica_stalled").Int64("age_ms", w.age.Milliseconds()).Msg("the replica stands still: its disk hangs, or something holds a lock that it needs")
	}
}
