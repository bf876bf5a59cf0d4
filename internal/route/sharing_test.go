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
	entryCount       = 12
	endpointCount    = 12
	slotsPerEndpoint = 8
	workTime         = 20 * time.Millisecond
	loadDuration     = 3 * time.Second
	networkDelay     = 1500 * time.Microsecond
	reportDelay      = 10 * time.Millisecond
	reportPeriod     = 500 * time.Millisecond
)

// Policies of sharing endpoints among entries.
const (
	demandGrants = "demand" // the leader moves grants by demand
	staticGrants = "static" // equal grants that never change
	singleOwner  = "owner"  // each endpoint belongs to one entry, to which the others forward
)

// sharingCell runs the real tables of a leader and its entries in virtual time.
type sharingCell struct {
	policy         string
	mu             sync.Mutex
	leader         *endpoint.Table
	tables         []*Table
	reportRequests []chan struct{}
	stateChanges   []chan struct{}
	waits          []time.Duration
	completed      int
	loadEnd        time.Time // requests that end later don't count as throughput
}

type noLinks struct{}

func (noLinks) SetLimit(string, int32)       {}
func (noLinks) OpenCount(string) int32       { return 0 }
func numberedName(kind string, i int) string { return fmt.Sprintf("%s%d", kind, i) }
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func newSharingCell(ctx context.Context, policy string) *sharingCell {
	c := &sharingCell{policy: policy, leader: endpoint.NewTable(time.Hour)}
	c.leader.Term = 1
	for i := range endpointCount {
		c.leader.Announce(&egretmuxv1.EndpointReport{Id: numberedName("e", i), Service: "s", Address: numberedName("e", i), Slots: slotsPerEndpoint, Links: 60, Epoch: 1}, time.Now())
	}
	for i := range entryCount {
		reportRequest := make(chan struct{}, 1)
		c.reportRequests, c.stateChanges = append(c.reportRequests, reportRequest), append(c.stateChanges, make(chan struct{}, 1))
		c.tables = append(c.tables, NewTable(Config{MaxQueued: 1 << 20, Links: noLinks{}, RequestReport: func() { signal(reportRequest) }, Logger: zerolog.Nop()}))
		c.leader.AddEntry(numberedName("i", i), "")
	}
	if policy == singleOwner {
		for i, t := range c.tables {
			t.Update([]*egretmuxv1.EndpointState{{Id: numberedName("e", i), Service: "s", Address: numberedName("e", i), Slots: slotsPerEndpoint, Links: 60, Grant: 1}})
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

// report sends an entry's reports until the context ends.
func (c *sharingCell) report(ctx context.Context, i int) {
	for ctx.Err() == nil {
		holdings := c.tables[i].Holdings(false)
		time.Sleep(networkDelay)
		c.mu.Lock()
		for _, h := range holdings {
			if h.GetService() == "" || c.policy == demandGrants {
				c.leader.RecordHolding(numberedName("i", i), h)
			}
		}
		if c.leader.Rebalance() {
			for _, n := range c.stateChanges {
				signal(n)
			}
		}
		c.mu.Unlock()
		time.Sleep(networkDelay)
		select {
		case <-ctx.Done():
		case <-time.After(reportPeriod):
		case <-c.reportRequests[i]:
			time.Sleep(reportDelay)
		}
	}
}

// watch applies the leader's grants to an entry until the context ends.
func (c *sharingCell) watch(ctx context.Context, i int) {
	var version uint64
	for ctx.Err() == nil {
		c.mu.Lock()
		states := c.leader.StatesSince(numberedName("i", i), version)
		version = c.leader.Version()
		c.mu.Unlock()
		if len(states) > 0 {
			time.Sleep(networkDelay)
			c.tables[i].Update(states)
			signal(c.reportRequests[i])
			continue
		}
		select {
		case <-ctx.Done():
		case <-c.stateChanges[i]:
		}
	}
}

// request holds a slot for workTime, acquired through the given entry.
func (c *sharingCell) request(entry, n int) {
	start := time.Now()
	if c.policy == singleOwner {
		entry = n % entryCount
		time.Sleep(networkDelay)
		defer time.Sleep(networkDelay)
	}
	slot, err := c.tables[entry].Acquire(context.Background(), Request{Service: "s", Customer: "c", AtOnce: true, Deadline: start.Add(2 * time.Second)})
	if err != nil {
		return
	}
	waited := time.Since(start)
	time.Sleep(workTime)
	slot.Release(Succeeded)
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.loadEnd) {
		c.completed++
	}
	c.waits = append(c.waits, waited)
}

// runLoad offers loadFactor of the cell's capacity, with skew times as much load
// at one entry as at each other one. It returns the requests completed per second
// and the median and 99th percentile of the waits.
func runLoad(t *testing.T, policy string, loadFactor float64, skew int) (rate float64, p50, p99 time.Duration) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := newSharingCell(ctx, policy)
		time.Sleep(time.Second)
		interval := time.Duration(float64(workTime) / (loadFactor * endpointCount * slotsPerEndpoint))
		var requests sync.WaitGroup
		start := time.Now()
		c.loadEnd = start.Add(loadDuration)
		for n := 0; time.Since(start) < loadDuration; n++ {
			entry := n % (entryCount - 1 + skew)
			if entry >= entryCount {
				entry = 0
			}
			requests.Go(func() { c.request(entry, n) })
			time.Sleep(interval)
		}
		requests.Wait()
		rate = float64(c.completed) / loadDuration.Seconds()
		slices.Sort(c.waits)
		p50, p99 = c.waits[len(c.waits)/2], c.waits[len(c.waits)*99/100]
		cancel()
		time.Sleep(time.Second)
	})
	return rate, p50, p99
}

// Load that is skewed ten to one among the entries must cost less than a tenth
// of the throughput of evenly balanced load.
func TestSkewedLoadCostsLessThanATenth(t *testing.T) {
	for _, loadFactor := range []float64{0.5, 0.8, 0.95} {
		for _, policy := range []string{demandGrants, staticGrants, singleOwner} {
			even, e50, e99 := runLoad(t, policy, loadFactor, 1)
			skewed, s50, s99 := runLoad(t, policy, loadFactor, 10)
			t.Logf("load %.2f %-6s even %5.0f/s wait %s %s, skewed %5.0f/s wait %s %s", loadFactor, policy, even, e50, e99, skewed, s50, s99)
			if policy == demandGrants {
				require.Greater(t, skewed, 0.9*even, "at load %.2f", loadFactor)
			}
		}
	}
}

// An entry must get slots that are idle at other entries within 100 ms of a
// rise in its demand.
func TestIdleSlotsAreUsedWithin100ms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := newSharingCell(ctx, demandGrants)
		time.Sleep(time.Second)
		const wanted = endpointCount * slotsPerEndpoint / 2
		waits := make(chan time.Duration, wanted)
		release := make(chan struct{})
		for range wanted {
			go func() {
				start := time.Now()
				slot, err := c.tables[0].Acquire(ctx, Request{Service: "s", Customer: "c", AtOnce: true, Deadline: start.Add(time.Minute)})
				if err == nil {
					waits <- time.Since(start)
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
