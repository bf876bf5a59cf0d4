package route

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/endpoint"
)

const (
	shareEntries   = 12
	shareEndpoints = 12
	shareSlots     = 8
	shareWork      = 20 * time.Millisecond
	shareLength    = 3 * time.Second
	oneWay         = 1500 * time.Microsecond
	reportGather   = 10 * time.Millisecond
	reportPeriod   = 500 * time.Millisecond
)

// Ways of sharing endpoints among entries.
const (
	byDemand = "demand" // the leader moves grants
	static   = "static" // equal grants that stay
	byOwner  = "owner"  // each endpoint belongs to one entry, others forward to it
)

// shareCell runs the real tables of a leader and its entries in virtual time.
type shareCell struct {
	way    string
	mu     sync.Mutex
	leader *endpoint.Table
	tables []*Table
	wakes  []chan struct{}
	news   []chan struct{}
	waits  []time.Duration
	done   int
	end    time.Time // of the load; what ends later does not count as throughput
}

type countlessLinks struct{}

func (countlessLinks) Limit(string, int32)    {}
func (countlessLinks) OpenCount(string) int32 { return 0 }
func shareName(kind string, i int) string     { return fmt.Sprintf("%s%d", kind, i) }
func signalTo(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func newShareCell(ctx context.Context, way string) *shareCell {
	c := &shareCell{way: way, leader: endpoint.NewTable(time.Hour)}
	c.leader.Term = 1
	for i := range shareEndpoints {
		c.leader.Announce(&egretmuxv1.EndpointReport{Id: shareName("e", i), Service: "s", Address: shareName("e", i), Slots: shareSlots, Links: 60, Epoch: 1}, time.Now())
	}
	for i := range shareEntries {
		wake := make(chan struct{}, 1)
		c.wakes, c.news = append(c.wakes, wake), append(c.news, make(chan struct{}, 1))
		c.tables = append(c.tables, NewTable(Config{Limit: 1 << 20, Links: countlessLinks{}, Wake: func() { signalTo(wake) }, Logger: zerolog.Nop()}))
		c.leader.AddEntry(shareName("i", i), "")
	}
	if way == byOwner {
		for i, t := range c.tables {
			t.Update([]*egretmuxv1.EndpointState{{Id: shareName("e", i), Service: "s", Address: shareName("e", i), Slots: shareSlots, Links: 60, Grant: 1}})
		}
		return c
	}
	c.leader.Rebalance()
	for i := range c.tables {
		go c.report(ctx, i)
		go c.watch(ctx, i)
	}
	return c
}

// report is an entry's loop of reports.
func (c *shareCell) report(ctx context.Context, i int) {
	for ctx.Err() == nil {
		holdings := c.tables[i].Holdings(false)
		time.Sleep(oneWay)
		c.mu.Lock()
		for _, h := range holdings {
			if h.GetService() == "" || c.way == byDemand {
				c.leader.RecordHolding(shareName("i", i), h)
			}
		}
		if c.leader.Rebalance() {
			for _, n := range c.news {
				signalTo(n)
			}
		}
		c.mu.Unlock()
		time.Sleep(oneWay)
		select {
		case <-ctx.Done():
		case <-time.After(reportPeriod):
		case <-c.wakes[i]:
			time.Sleep(reportGather)
		}
	}
}

// watch is an entry's loop of watches.
func (c *shareCell) watch(ctx context.Context, i int) {
	var version uint64
	for ctx.Err() == nil {
		c.mu.Lock()
		states := c.leader.StatesSince(shareName("i", i), version)
		version = c.leader.Version()
		c.mu.Unlock()
		if len(states) > 0 {
			time.Sleep(oneWay)
			c.tables[i].Update(states)
			signalTo(c.wakes[i])
			continue
		}
		select {
		case <-ctx.Done():
		case <-c.news[i]:
		}
	}
}

// request uses a slot for a while, through the given entry.
func (c *shareCell) request(through, n int) {
	began := time.Now()
	if c.way == byOwner {
		through = n % shareEntries
		time.Sleep(oneWay)
		defer time.Sleep(oneWay)
	}
	slot, err := c.tables[through].Acquire(context.Background(), Request{Service: "s", Customer: "c", AtOnce: true, Deadline: began.Add(2 * time.Second)})
	if err != nil {
		return
	}
	waited := time.Since(began)
	time.Sleep(shareWork)
	slot.Release(Succeeded)
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.end) {
		c.done++
	}
	c.waits = append(c.waits, waited)
}

// load offers a part of the cell's capacity, one entry getting skew times as
// much as each other one. It returns the requests carried out a second and the
// waits at the median and the 99th percentile.
func load(t *testing.T, way string, part float64, skew int) (rate float64, p50, p99 time.Duration) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := newShareCell(ctx, way)
		time.Sleep(time.Second)
		pause := time.Duration(float64(shareWork) / (part * shareEndpoints * shareSlots))
		var all sync.WaitGroup
		begin := time.Now()
		c.end = begin.Add(shareLength)
		for n := 0; time.Since(begin) < shareLength; n++ {
			through := n % (shareEntries - 1 + skew)
			if through >= shareEntries {
				through = 0
			}
			all.Go(func() { c.request(through, n) })
			time.Sleep(pause)
		}
		all.Wait()
		rate = float64(c.done) / shareLength.Seconds()
		slices.Sort(c.waits)
		p50, p99 = c.waits[len(c.waits)/2], c.waits[len(c.waits)*99/100]
		cancel()
		time.Sleep(time.Second)
	})
	return rate, p50, p99
}

// Balancer skew of ten to one costs less than a tenth of the throughput.
func TestSkewedLoadCostsLessThanATenth(t *testing.T) {
	for _, part := range []float64{0.5, 0.8, 0.95} {
		for _, way := range []string{byDemand, static, byOwner} {
			even, e50, e99 := load(t, way, part, 1)
			skewed, s50, s99 := load(t, way, part, 10)
			t.Logf("load %.2f %-6s even %5.0f/s wait %s %s, skewed %5.0f/s wait %s %s", part, way, even, e50, e99, skewed, s50, s99)
			if way == byDemand {
				require.Greater(t, skewed, 0.9*even, "at load %.2f", part)
			}
		}
	}
}

// A slot that is idle at one entry is used within 100 ms of another wanting it.
func TestIdleSlotsAreUsedWithin100ms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := newShareCell(ctx, byDemand)
		time.Sleep(time.Second)
		const wanted = shareEndpoints * shareSlots / 2
		waits := make(chan time.Duration, wanted)
		release := make(chan struct{})
		for range wanted {
			go func() {
				began := time.Now()
				slot, err := c.tables[0].Acquire(ctx, Request{Service: "s", Customer: "c", AtOnce: true, Deadline: began.Add(time.Minute)})
				if err == nil {
					waits <- time.Since(began)
					<-release
					slot.Release(Succeeded)
				}
			}()
		}
		for range wanted {
			require.LessOrEqual(t, <-waits, 100*time.Millisecond)
		}
		close(release)
		cancel()
		time.Sleep(time.Second)
	})
}
