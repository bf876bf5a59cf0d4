package edge

import (
	"sync/atomic"
	"time"

	"github.com/egretmux/egretmux/internal/telemetry"
)

// Reasons for which a client is turned away.
const (
	pressedMemory      = "memory"      // there is no memory for its body, and no older body that is not complete
	pressedEvicted     = "evicted"     // its body was not complete when others needed its memory or its connection
	pressedIdle        = "idle"        // its connection had no request when others needed it
	pressedConnections = "connections" // all connections have a request
)

// pressureNoticePeriod is the time between two notices of clients that are turned away.
const pressureNoticePeriod = 5 * time.Second

// Pressure counts the clients that are turned away by the limits of a process, and tells of them now and then.
type Pressure struct {
	notify   func(reason string)
	notified atomic.Int64 // nanoseconds of the time of day
}

// NewPressure returns a Pressure that calls notify at most once in pressureNoticePeriod.
func NewPressure(notify func(reason string)) *Pressure { return &Pressure{notify: notify} }

func (p *Pressure) note(reason string) {
	telemetry.Count(`clients_turned_away_total{reason="` + reason + `"}`)
	now, last := time.Now().UnixNano(), p.notified.Load()
	if now-last >= int64(pressureNoticePeriod) && p.notified.CompareAndSwap(last, now) {
		p.notify(reason)
	}
}
