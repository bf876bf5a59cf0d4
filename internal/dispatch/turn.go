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
	noticed     bool // whether it was logged that room is kept in this turn
	pausedUntil time.Duration
}

// take reports whether a gang may keep room in a plan, and whether its turn is over with it.
func (t *roomTurn) take(now, limit time.Duration) (may, over bool) {
	if now < t.pausedUntil {
		return false, false
	}
	if !t.active || now-t.last > roomTurnGap {
		*t = roomTurn{active: true, since: now}
	}
	t.last = now
	if now-t.since > limit {
		t.active, t.pausedUntil = false, now+limit
		return false, true
	}
	return true, false
}

// noticeRoomKept logs, once for each turn, that a gang keeps room.
func (c *Core) noticeRoomKept(s *step, t *roomTurn, reason string, now time.Duration) {
	if t.noticed {
		return
	}
	t.noticed = true
	c.addNotice(Notice{Event: "room_reserved", Job: s.key.Job, Task: s.key.String(), Reason: reason, Age: now - s.openedAt})
}

// noticeRoomReleased logs that a gang leaves the room to others, as its turn is over.
func (c *Core) noticeRoomReleased(s *step, t *roomTurn, reason string, now time.Duration) {
	c.addNotice(Notice{Event: "room_released", Job: s.key.Job, Task: s.key.String(), Reason: reason, Age: now - t.since})
}
