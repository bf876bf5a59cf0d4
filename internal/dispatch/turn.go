package dispatch

import "time"

// Limits of the time for which a gang keeps room from others without starting. What it waits
// for may never come, as the workers or runs that it counts on may not behave as expected.
const (
	maxRoomTurn = 10 * time.Second
	// maxIdleRoomTurn applies while most of the pool is free: then others could run but for
	// the gang.
	maxIdleRoomTurn = 2 * time.Second
	// roomTurnGap is the time without keeping room after which a new turn begins.
	roomTurnGap = time.Second
)

// roomTurn bounds the time for which a gang keeps room. After a turn it leaves the room to
// others for as long as the turn may last.
type roomTurn struct {
	since, last time.Duration // of this turn
	active      bool
	pausedUntil time.Duration
}

// take reports whether a gang may keep room in a plan, and whether its turn has begun or ended
// with it.
func (t *roomTurn) take(now, limit time.Duration) (may, changed bool) {
	if now < t.pausedUntil {
		return false, false
	}
	if !t.active || now-t.last > roomTurnGap {
		t.active, t.since, changed = true, now, true
	}
	t.last = now
	if now-t.since > limit {
		t.active, t.pausedUntil = false, now+limit
		return false, true
	}
	return true, changed
}

// takeRoomTurn is take with a log line for each turn.
func (c *Core) takeRoomTurn(s *step, t *roomTurn, reason string, limit, now time.Duration) bool {
	may, changed := t.take(now, limit)
	if changed {
		event := "room_reserved"
		if !may {
			event = "room_released"
		}
		c.addNotice(Notice{Event: event, Job: s.key.Job, Task: s.key.String(), Reason: reason, Age: now - s.openedAt})
	}
	return may
}
