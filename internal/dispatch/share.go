package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	shareTimeConstant   = 3 * time.Second // time constant of the averages of a customer; bursts last longer, tasks less
	shareSampleInterval = 200 * time.Millisecond
	minRelativeWeight   = 1e-100 // of customers with a weight, so that quotients by weights are finite
	minRoomInDemand     = 0.5    // of the room of all workers; less is in use only for a moment
)

// usageAverages are exponential moving averages over the last seconds.
type usageAverages struct {
	dominantShare float64 // largest part of a resource of all workers that its runs use
	withinRate    float64 // the same of its runs within rate
	// overRateCPU is the cpu that its jobs over rate have got, in thousandths of a core a second.
	overRateCPU float64
}

// updateShares samples what customers use, divides the room among them, and counts jobs over
// rate as within it as far as their customers have left rate unused.
func (c *Core) updateShares(now time.Duration) {
	elapsed := now - c.sharesUpdatedAt
	if len(c.customers) == 0 || elapsed < shareSampleInterval {
		return
	}
	c.sharesUpdatedAt = now
	c.capacity = c.totalCapacity()
	total := c.capacity
	waiting, overRate := c.waitingByCustomer()
	weight := 1 - math.Exp(-elapsed.Seconds()/shareTimeConstant.Seconds())
	customers := c.sortedCustomers()
	demands := make([]float64, len(customers))
	for n, customer := range customers {
		avg := &customer.averages
		avg.dominantShare += weight * (customer.inUse.dominantShare(total) - avg.dominantShare)
		avg.withinRate += weight * (customer.inUse.minus(customer.inUseOverRate).dominantShare(total) - avg.withinRate)
		avg.overRateCPU += weight * (float64(customer.overRateStarted)/elapsed.Seconds() - avg.overRateCPU)
		customer.overRateStarted = 0
		demands[n] = customer.inUse.plus(waiting[customer]).dominantShare(total)
	}
	divideRoom(customers, demands, c.roomInDemand(customers, now))
	for _, customer := range customers {
		c.promoteJobs(customer, overRate[customer], now)
	}
}

// divideRoom sets the part of each customer by its weight and what each of them uses or waits
// for.
func divideRoom(customers []*customer, demands []float64, room float64) {
	largest := 0.0
	for _, customer := range customers {
		largest = max(largest, customer.limits.GetWeight())
	}
	weighted := make([]shareDemand, 0, len(customers))
	for n, customer := range customers {
		if w := customer.relativeWeight(largest); w > 0 {
			weighted = append(weighted, shareDemand{demands[n], w})
		}
	}
	level := fairLevel(weighted, room)
	for _, customer := range customers {
		customer.part = math.Inf(1)
		if level < math.Inf(1) {
			customer.part = level * customer.relativeWeight(largest)
		}
	}
}

// relativeWeight returns a customer's weight as a fraction of the largest one: zero, or at
// least minRelativeWeight.
func (c *customer) relativeWeight(largest float64) float64 {
	weight := c.limits.GetWeight()
	if weight <= 0 {
		return 0
	}
	return max(minRelativeWeight, weight/largest)
}

// shareDemand is the part of the room that a customer uses or waits for, and its weight.
type shareDemand struct{ share, weight float64 }

// roomInDemand returns the part of the room that customers can have: all of it, or what they
// use while a pool is full, as headroom and fragments stay free.
func (c *Core) roomInDemand(customers []*customer, now time.Duration) float64 {
	for pool := range c.fullUntil {
		if c.isFull(pool, now) {
			used := 0.0
			for _, customer := range customers {
				used += customer.averages.dominantShare
			}
			return min(1, max(minRoomInDemand, used))
		}
	}
	return 1
}

// fairLevel returns the level at which the whole room is in use if each customer gets the
// level times its weight, or its demand if that is less. It is infinite if all demands fit.
func fairLevel(demands []shareDemand, room float64) float64 {
	slices.SortStableFunc(demands, func(a, b shareDemand) int { return cmp.Compare(a.share/a.weight, b.share/b.weight) })
	weights := make([]float64, len(demands)+1) // of each demand and all after it: differences would lose small weights
	for n := len(demands) - 1; n >= 0; n-- {
		weights[n] = weights[n+1] + demands[n].weight
	}
	for n, d := range demands {
		if level := room / weights[n]; d.share/d.weight > level {
			return level
		}
		room = max(0, room-d.share)
	}
	return math.Inf(1)
}

// sortedCustomers returns the customers sorted by name, so that decisions are deterministic.
func (c *Core) sortedCustomers() []*customer {
	out := slices.Collect(maps.Values(c.customers))
	slices.SortFunc(out, func(a, b *customer) int { return cmp.Compare(a.name, b.name) })
	return out
}

// dominantShare returns the largest part of a resource of the total.
func (r resources) dominantShare(total resources) float64 {
	share := 0.0
	for _, pair := range [][2]int64{{r.cpu, total.cpu}, {r.memory, total.memory}, {r.accelerators, total.accelerators}} {
		if pair[1] > 0 {
			share = max(share, float64(pair[0])/float64(pair[1]))
		}
	}
	return share
}

func (c *Core) totalCapacity() resources {
	total := resources{}
	for _, w := range c.workers {
		total = total.plus(w.capacity)
	}
	return total
}

// waitingByCustomer returns what the waiting tasks of each customer need, less those that
// its quota holds back, and the jobs over
// rate of its waiting steps.
func (c *Core) waitingByCustomer() (needs map[*customer]resources, overRate map[*customer][]*job) {
	needs, overRate = make(map[*customer]resources), make(map[*customer][]*job)
	for s := range c.unplaced {
		customer := s.job.customer
		if customer == nil || c.steps[s.key] != s {
			continue
		}
		if !s.waits() {
			continue
		}
		needs[customer] = needs[customer].plus(s.usage.times(s.unheldCount()))
		if s.job.overRate() {
			overRate[customer] = append(overRate[customer], s.job)
		}
	}
	return needs, overRate
}
