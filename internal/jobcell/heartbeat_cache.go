package jobcell

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// heartbeatCacheTTL is the time for which unchanged heartbeats of a worker are not
// forwarded to the leader again. The leader polls each worker anyway.
const heartbeatCacheTTL = 6 * time.Second

// cachedLifeRetention is the time after which a life of which no heartbeat came is
// removed from the cache.
const cachedLifeRetention = 60 * time.Second

// heartbeatCache holds the last heartbeat of each worker that the leader accepted.
type heartbeatCache struct {
	mu    sync.Mutex
	lives map[string]cachedLife
}

type cachedLife struct {
	life       *egretmuxv1.WorkerLife
	sequence   uint64 // of the last heartbeat that came here
	acceptedAt time.Time
}

func newHeartbeatCache() *heartbeatCache { return &heartbeatCache{lives: make(map[string]cachedLife)} }

// isUnchanged reports whether the leader recently accepted a heartbeat of the same
// incarnation with the same content, and all heartbeats since came here: another instance
// may have passed on one with other content, after which the same content is news.
// Heartbeats of draining or leaving workers always go to the leader, and remove the worker's
// entry.
func (c *heartbeatCache) isUnchanged(b *egretmuxv1.WorkerBeat, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.GetDraining() || b.GetLeaving() {
		delete(c.lives, b.GetLife().GetWorker())
		return false
	}
	cached, ok := c.lives[b.GetLife().GetWorker()]
	if !ok || now.Sub(cached.acceptedAt) >= heartbeatCacheTTL || b.GetSequence() != cached.sequence+1 || !proto.Equal(cached.life, b.GetLife()) {
		return false
	}
	cached.sequence = b.GetSequence()
	c.lives[b.GetLife().GetWorker()] = cached
	return true
}

func (c *heartbeatCache) store(b *egretmuxv1.WorkerBeat, now time.Time) {
	if b.GetDraining() || b.GetLeaving() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lives[b.GetLife().GetWorker()] = cachedLife{b.GetLife(), b.GetSequence(), now}
	for id, cached := range c.lives {
		if now.Sub(cached.acceptedAt) > cachedLifeRetention {
			delete(c.lives, id)
		}
	}
}
