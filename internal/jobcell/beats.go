package jobcell

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// beatFresh is how long an unchanged report of a worker need not be carried to
// the leader again. The leader looks at each worker all the time.
const beatFresh = 6 * time.Second

// beatCache holds the reports that the leader has taken up.
type beatCache struct {
	mu    sync.Mutex
	taken map[string]takenBeat
}

type takenBeat struct {
	life *egretmuxv1.WorkerLife
	at   time.Time
}

func newBeatCache() *beatCache { return &beatCache{taken: make(map[string]takenBeat)} }

// known reports whether the leader has lately taken up the same life. Reports
// of draining or leaving workers always go to the leader.
func (c *beatCache) known(b *egretmuxv1.WorkerBeat, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.GetDraining() || b.GetLeaving() {
		delete(c.taken, b.GetLife().GetWorker())
		return false
	}
	held, ok := c.taken[b.GetLife().GetWorker()]
	return ok && now.Sub(held.at) < beatFresh && proto.Equal(held.life, b.GetLife())
}

func (c *beatCache) take(b *egretmuxv1.WorkerBeat, now time.Time) {
	if b.GetDraining() || b.GetLeaving() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taken[b.GetLife().GetWorker()] = takenBeat{b.GetLife(), now}
	for id, held := range c.taken {
		if now.Sub(held.at) > memberForget {
			delete(c.taken, id)
		}
	}
}
